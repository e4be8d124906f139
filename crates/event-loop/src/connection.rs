//! A TCP connection with a readiness callback, an input buffer and an output buffer. A buffer is held only while it contains
//! data.

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

/// Bytes of input discarded per read.
const DISCARD_BYTES: usize = 4096;
/// Maximum number of discarding reads before a connection is closed, so that a client that keeps sending blocks no others.
const MAX_DISCARDS: usize = 16;

/// The result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Bytes were read.
    Data,
    /// No input is available now.
    WouldBlock,
    /// The buffer is full, or none is available.
    NoBuffer,
    /// The other side has closed its sending side.
    EndOfStream,
    /// The connection failed and is no longer usable.
    Failed,
}

/// The result of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// All output was written.
    Complete,
    /// The socket accepts no more output now.
    Partial,
    /// The connection failed and is no longer usable.
    Failed,
}

/// A stream could not be registered with the event loop.
#[derive(Debug, Error)]
#[error("cannot register a connection with the event loop: {source}")]
pub struct RegisterError {
    /// The stream, which is still open.
    pub stream: Rc<TcpStream>,
    /// The error of the event loop.
    #[source]
    pub source: calloop::Error,
}

impl From<RegisterError> for io::Error {
    fn from(error: RegisterError) -> io::Error {
        io::Error::other(error.source)
    }
}

/// Responds on a stream that is not registered with the event loop, and closes its sending side. Input received so far is
/// discarded, so that closing does not reset the connection before the response is read. Never blocks: a response that does
/// not fit into the socket's send buffer is truncated.
pub fn respond_and_close(stream: &TcpStream, response: &[u8]) {
    let mut discarded = [0_u8; DISCARD_BYTES];
    for _ in 0..MAX_DISCARDS {
        match recv(stream, &mut discarded[..], RecvFlags::DONTWAIT) {
            Ok((count, _)) if count > 0 => {}
            _ => break,
        }
    }
    // If either call fails, the client has disconnected.
    let _ = send(stream, response, SendFlags::DONTWAIT | SendFlags::NOSIGNAL);
    let _ = stream.shutdown(Shutdown::Write);
}

/// A TCP connection registered with the event loop. Must be closed with `close`, which releases its buffers and descriptor.
pub struct Connection {
    stream: Rc<TcpStream>,
    interest: Rc<Cell<Interest>>,
    token: RegistrationToken,
    class: ResourceClass,
    /// Received bytes that are not consumed yet.
    pub input: Buffer,
    /// Bytes to write, including those already written.
    pub output: Buffer,
    /// Number of bytes of `output` already written.
    written: usize,
}

impl Connection {
    /// Registers a connected stream with the event loop.
    ///
    /// # Errors
    ///
    /// The event loop cannot register the socket. The error holds the stream.
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

    /// Starts to connect. The callback runs once the connection is established or has failed.
    ///
    /// # Errors
    ///
    /// No socket can be created, or the connection fails immediately.
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

    /// Checks whether a connection that became writable is established.
    ///
    /// # Errors
    ///
    /// The error of the connection attempt.
    pub fn check_connected(&self) -> io::Result<()> {
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    /// Reads once into the input buffer, so that a busy socket does not starve others.
    pub fn read<D>(&mut self, context: &mut IoContext<D>) -> ReadResult {
        if self.input.capacity() == 0 {
            let Some(buffer) = context.buffers.acquire(self.class) else {
                context.buffer_shortages.record();
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

    /// Reads once and discards the input. Needs no pooled buffer.
    pub fn discard_input<D>(&mut self, context: &mut IoContext<D>) -> ReadResult {
        let received = recv(&self.stream, &mut context.discard[..], RecvFlags::empty());
        read_result(received.map(|(count, _)| count))
    }

    /// Releases the empty buffers.
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
                context.buffer_shortages.record();
                return None;
            };
            self.output = buffer;
        }
        Some(&mut self.output)
    }

    /// Writes output until it is empty or the socket would block.
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

    /// Whether an idle connection is still open and has no unread input.
    pub fn is_open_without_input(&self) -> bool {
        let mut byte = [0_u8; 1];
        let peeked = recv(
            &self.stream,
            &mut byte,
            RecvFlags::PEEK | RecvFlags::DONTWAIT,
        );
        matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Sets which kinds of readiness run the callback.
    pub fn set_interest<D>(&self, context: &IoContext<D>, readable: bool, writable: bool) {
        let before = self.interest.replace(Interest { readable, writable });
        if (before.readable, before.writable) != (readable, writable) {
            if let Err(error) = context.handle.update(&self.token) {
                tracing::warn!("cannot update the event loop registration of a socket: {error}");
            }
        }
    }

    /// Whether the callback runs when input is available.
    pub fn is_reading(&self) -> bool {
        self.interest.get().readable
    }

    /// Closes the sending side.
    pub fn shut_down_sending(&self) {
        // Fails only if the connection is already closed.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes the connection and releases its buffers and descriptor.
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
