//! A TCP connection with a readiness callback, an input buffer and an output buffer. A buffer is held only while it contains
//! data, and is exchanged for a longer one when it is full.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Range;
use std::rc::Rc;

use calloop::{Interest, Readiness, RegistrationToken};
use harrierdock_http::BUFFER_BYTES;
use rustix::buffer::spare_capacity;
use rustix::io::Errno;
use rustix::net::{recv, RecvFlags};
use socket2::{Domain, Protocol, Socket, Type};
use thiserror::Error;

use crate::buffer_pool::Buffer;
use crate::interest::StreamSource;
use crate::io_context::{IoContext, ResourceClass};
use crate::stream_io::{read_result, respond_and_close, write_from, ReadResult, WriteResult};

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
    /// Length of the message in the input buffer, if it is known to need a longer buffer. Zero if it is not known.
    expected_bytes: usize,
    /// Number of bytes of `output` already written.
    written: usize,
    /// A buffer with the end of the last message of the output. Without capacity if `output` holds all of it.
    output_body: Buffer,
    /// The part of `output_body` that is not written yet.
    body_range: Range<usize>,
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
            expected_bytes: 0,
            written: 0,
            output_body: Buffer::new(),
            body_range: 0..0,
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
        if self.input.len() == BUFFER_BYTES {
            return ReadResult::BufferFull;
        }
        if !self.reserve_input(context) {
            context.buffer_shortages.record();
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

    /// Makes room for input. Returns false if the input buffer is full and no longer one is available.
    fn reserve_input<D>(&mut self, context: &mut IoContext<D>) -> bool {
        // What arrives on a reserved connection is moved out of the buffer at once, so a long one saves reads.
        let prefers_long = self.class == ResourceClass::Reserved && self.input.is_empty();
        let bytes = self.next_input_bytes();
        let buffers = &mut context.buffers;
        (prefers_long && buffers.reserve(&mut self.input, BUFFER_BYTES, self.class))
            || buffers.reserve(&mut self.input, bytes, self.class)
    }

    /// Whether there is room for more input, or a longer buffer is available.
    pub fn can_read<D>(&self, context: &IoContext<D>) -> bool {
        let bytes = self.next_input_bytes();
        context.buffers.can_reserve(&self.input, bytes, self.class)
    }

    /// Sets the length of the message whose start is in the input buffer. If it exceeds the buffer, the next one fits it.
    pub fn expect_input(&mut self, message_bytes: usize) {
        self.expected_bytes = message_bytes.min(BUFFER_BYTES);
    }

    fn next_input_bytes(&self) -> usize {
        match self.input.len() < self.input.capacity() {
            true => 1,
            false => self.expected_bytes.saturating_sub(self.input.len()).max(1),
        }
    }

    /// Whether input has filled its buffer, so that more may be waiting that the last read had no room for.
    pub fn is_input_full(&self) -> bool {
        self.input.capacity() > 0 && self.input.len() == self.input.capacity()
    }

    /// Reads once and discards the input. Needs no pooled buffer.
    pub fn discard_input<D>(&mut self, context: &mut IoContext<D>) -> ReadResult {
        let received = recv(&self.stream, &mut context.discard[..], RecvFlags::empty());
        read_result(received.map(|(count, _)| count))
    }

    /// Releases the empty buffers.
    pub fn release_empty_buffers<D>(&mut self, context: &mut IoContext<D>) {
        if self.input.is_empty() {
            self.expected_bytes = 0;
            context.buffers.release(&mut self.input);
        }
        if self.output.is_empty() {
            context.buffers.release(&mut self.output);
        }
    }

    /// The output buffer, with room for this many more bytes. `None` if it needs a longer buffer and none is available.
    pub fn output_buffer<D>(
        &mut self,
        context: &mut IoContext<D>,
        bytes: usize,
    ) -> Option<&mut Buffer> {
        let buffers = &mut context.buffers;
        if !buffers.reserve(&mut self.output, bytes, ResourceClass::Upstream) {
            context.buffer_shortages.record();
            return None;
        }
        Some(&mut self.output)
    }

    /// Adds the rest of a message, which is written after the output buffer from the buffer that holds it. So a message of any
    /// length needs no buffer besides that one and a short one. Any earlier output must have been written.
    pub fn set_output_body(&mut self, buffer: Buffer, range: Range<usize>) {
        debug_assert!(
            self.output_body.capacity() == 0,
            "a message has one body, and the one before was written"
        );
        self.output_body = buffer;
        self.body_range = range;
    }

    /// The memory that the connection's buffers take, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity() + self.output_body.capacity()
    }

    /// Writes output until it is empty or the socket would block.
    pub fn flush<D>(&mut self, context: &mut IoContext<D>) -> WriteResult {
        let head = write_from(&self.stream, &self.output, &mut self.written);
        if head != WriteResult::Complete {
            return head;
        }
        let body = &self.output_body[..self.body_range.end];
        let rest = write_from(&self.stream, body, &mut self.body_range.start);
        if rest != WriteResult::Complete {
            return rest;
        }
        self.written = 0;
        self.output.clear();
        self.body_range = 0..0;
        context.buffers.release(&mut self.output_body);
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

    /// Writes a last response, as far as the socket accepts it at once, and closes the connection.
    pub fn close_with_response<D>(self, context: &mut IoContext<D>, response: &[u8]) {
        respond_and_close(&self.stream, response);
        self.close(context);
    }

    /// Closes the connection and releases its buffers and descriptor.
    pub fn close<D>(mut self, context: &mut IoContext<D>) {
        context.handle.remove(self.token);
        context.buffers.release(&mut self.input);
        context.buffers.release(&mut self.output);
        context.buffers.release(&mut self.output_body);
        if self.class != ResourceClass::Reserved {
            context.descriptors.release();
        }
    }
}
