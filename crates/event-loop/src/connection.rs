//! A TCP connection that calls back when it is ready, with a buffer for input and one for output. A buffer is held only while
//! something is in it.

use std::cell::Cell;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::{Interest, Readiness, RegistrationToken};
use rustix::buffer::spare_capacity;
use rustix::io::Errno;
use rustix::net::{recv, send, RecvFlags, SendFlags};
use socket2::{Domain, Protocol, Socket, Type};
use thiserror::Error;

use crate::buffer_pool::Buffer;
use crate::interest::StreamSource;
use crate::io_context::{IoContext, ResourceClass};

/// How much input is discarded at once.
const DISCARD_BYTES: usize = 4096;
/// How often input is discarded before a connection is closed, so that a client that keeps sending holds up nobody.
const MAX_DISCARDS: usize = 16;

/// What a read came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Bytes were read.
    Data,
    /// There is nothing to read now.
    WouldBlock,
    /// The buffer is full, or none is available.
    NoBuffer,
    /// The other side has closed its sending side.
    EndOfStream,
    /// The connection broke.
    Failed,
}

/// What a write came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// All output was written.
    Complete,
    /// The socket takes no more now.
    Partial,
    /// The connection broke.
    Failed,
}

/// The loop cannot watch a stream.
#[derive(Debug, Error)]
#[error("the loop cannot watch a connection: {source}")]
pub struct RegisterError {
    /// The stream, which is still open.
    pub stream: Rc<TcpStream>,
    /// Why.
    #[source]
    pub source: calloop::Error,
}

impl From<RegisterError> for io::Error {
    fn from(error: RegisterError) -> io::Error {
        io::Error::other(error.source)
    }
}

/// Answers on a stream that the loop does not watch, and closes it. What the client has sent so far is discarded, so that the
/// close does not reset the connection before the response is read. Nothing blocks: a response that does not fit into the
/// socket's buffer is cut.
pub fn respond_and_close(stream: &TcpStream, response: &[u8]) {
    let mut discarded = [0_u8; DISCARD_BYTES];
    for _ in 0..MAX_DISCARDS {
        match recv(stream, &mut discarded[..], RecvFlags::DONTWAIT) {
            Ok((count, _)) if count > 0 => {}
            _ => break,
        }
    }
    // The client has gone if either fails.
    let _ = send(stream, response, SendFlags::DONTWAIT | SendFlags::NOSIGNAL);
    let _ = stream.shutdown(Shutdown::Write);
}

/// A TCP connection in the loop. It has to be closed with `close`, which releases its buffers and descriptor.
pub struct Connection {
    stream: Rc<TcpStream>,
    interest: Rc<Cell<Interest>>,
    token: RegistrationToken,
    class: ResourceClass,
    /// What was read and not yet consumed.
    pub input: Buffer,
    /// What is to be written.
    pub output: Buffer,
    /// Bytes of the output that are written.
    written: usize,
}

impl Connection {
    /// Registers a stream that is open already.
    ///
    /// # Errors
    ///
    /// The loop cannot watch the socket. The error holds the stream.
    pub fn register<D>(
        context: &mut IoContext<D>,
        stream: TcpStream,
        interest: Interest,
        class: ResourceClass,
        on_ready: impl Fn(&mut D, Readiness) + 'static,
    ) -> Result<Connection, RegisterError> {
        let stream = Rc::new(stream);
        let interest = Rc::new(Cell::new(interest));
        let source = StreamSource::new(stream.clone(), interest.clone());
        let callback = move |readiness, _: &mut (), data: &mut D| on_ready(data, readiness);
        let token = context
            .handle
            .insert_source(source, callback)
            .map_err(|e| RegisterError {
                stream: stream.clone(),
                source: e.error,
            })?;
        if class != ResourceClass::Reserved {
            context.descriptors.acquire();
        }
        Ok(Connection {
            stream,
            interest,
            token,
            class,
            input: Buffer::new(),
            output: Buffer::new(),
            written: 0,
        })
    }

    /// Begins to connect. The callback comes once the connection is up or has failed.
    ///
    /// # Errors
    ///
    /// There is no socket to be had, or the connection fails at once.
    pub fn connect<D>(
        context: &mut IoContext<D>,
        address: SocketAddr,
        class: ResourceClass,
        on_ready: impl Fn(&mut D, Readiness) + 'static,
    ) -> io::Result<Connection> {
        let kind = Type::STREAM.nonblocking().cloexec();
        let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
        socket.set_tcp_nodelay(true)?;
        if let Err(error) = socket.connect(&address.into()) {
            if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) {
                return Err(error);
            }
        }
        let connection =
            Connection::register(context, socket.into(), Interest::WRITE, class, on_ready)?;
        Ok(connection)
    }

    /// Whether a connection that became writable has come up.
    ///
    /// # Errors
    ///
    /// Why it has not.
    pub fn check_connected(&self) -> io::Result<()> {
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    /// Reads once into the input buffer, so that a busy socket gives way to the others.
    pub fn read<D>(&mut self, context: &mut IoContext<D>) -> ReadResult {
        if self.input.capacity() == 0 {
            let Some(buffer) = context.buffers.acquire(self.class) else {
                context.buffer_shortages += 1;
                return ReadResult::NoBuffer;
            };
            self.input = buffer;
        }
        if self.input.len() == self.input.capacity() {
            return ReadResult::NoBuffer;
        }
        let received = recv(
            &self.stream,
            spare_capacity(&mut self.input),
            RecvFlags::empty(),
        );
        let result = read_result(received.map(|(count, _)| count));
        self.release_empty_buffers(context);
        result
    }

    /// Reads once and discards what was read. Needs no buffer.
    pub fn discard_input<D>(&mut self, context: &mut IoContext<D>) -> ReadResult {
        let received = recv(&self.stream, &mut context.discard[..], RecvFlags::empty());
        read_result(received.map(|(count, _)| count))
    }

    /// Releases the buffers that hold nothing.
    pub fn release_empty_buffers<D>(&mut self, context: &mut IoContext<D>) {
        if self.input.is_empty() {
            context.buffers.release(&mut self.input);
        }
        if self.output.is_empty() {
            context.buffers.release(&mut self.output);
        }
    }

    /// The output buffer. `None` if none is available.
    pub fn output_buffer<D>(&mut self, context: &mut IoContext<D>) -> Option<&mut Buffer> {
        if self.output.capacity() == 0 {
            let Some(buffer) = context.buffers.acquire(ResourceClass::Upstream) else {
                context.buffer_shortages += 1;
                return None;
            };
            self.output = buffer;
        }
        Some(&mut self.output)
    }

    /// Writes the output, as much of it as the socket takes.
    pub fn flush<D>(&mut self, context: &mut IoContext<D>) -> WriteResult {
        while self.written < self.output.len() {
            match (&*self.stream).write(&self.output[self.written..]) {
                Ok(0) => return WriteResult::Failed,
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return WriteResult::Partial,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return WriteResult::Failed,
            }
        }
        self.written = 0;
        self.output.clear();
        self.release_empty_buffers(context);
        WriteResult::Complete
    }

    /// Whether an idle connection is still open, with nothing received on it.
    pub fn is_open_and_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        let peeked = recv(
            &self.stream,
            &mut byte,
            RecvFlags::PEEK | RecvFlags::DONTWAIT,
        );
        matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Sets what the connection waits for.
    pub fn set_interest<D>(&self, context: &IoContext<D>, readable: bool, writable: bool) {
        let before = self.interest.replace(Interest { readable, writable });
        if (before.readable, before.writable) != (readable, writable) {
            if let Err(error) = context.handle.update(&self.token) {
                tracing::warn!("a socket cannot be watched: {error}");
            }
        }
    }

    /// Whether the connection waits for input.
    pub fn is_reading(&self) -> bool {
        self.interest.get().readable
    }

    /// Closes the sending side.
    pub fn shut_down_sending(&self) {
        // Nothing is lost if the connection is gone already.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes the connection and releases what it holds.
    pub fn close<D>(mut self, context: &mut IoContext<D>) {
        context.handle.remove(self.token);
        context.buffers.release(&mut self.input);
        context.buffers.release(&mut self.output);
        if self.class != ResourceClass::Reserved {
            context.descriptors.release();
        }
    }
}

fn read_result(received: Result<usize, Errno>) -> ReadResult {
    match received {
        Ok(0) => ReadResult::EndOfStream,
        Ok(_) => ReadResult::Data,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            ReadResult::WouldBlock
        }
        Err(_) => ReadResult::Failed,
    }
}
