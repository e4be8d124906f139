//! A long-lived stream of lines from one address. Its owner must reopen it when it disconnects or receives nothing for longer
//! than its protocol allows.
//!
//! A message may be longer than an input buffer: what has arrived of it is moved to a buffer of its own, whose size the owner
//! limits and which counts against the memory of the buffer pool.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_attempt_guard::{Transfer, TransferTimeouts};
use harrierdock_http::{write, MessageReader, Progress, ResponseHead};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::connection::Connection;
use crate::io_context::{IoContext, ResourceClass};
use crate::message_buffer::{MessageBuffer, MessageFraming};
use crate::stream_end::StreamEnd;
use crate::stream_event::{ResponseMode, StreamEvent};
use crate::stream_io::{ReadResult, WriteResult};

const STATUS_OK: u16 = 200;

/// The settings of a stream.
pub struct LineStreamSettings {
    /// Start of the log lines.
    pub name: &'static str,
    /// The address to connect to.
    pub address: SocketAddr,
    /// The longest time without input on a healthy stream.
    pub inactivity_timeout: TimeDelta,
    /// The longest time until a connection is established, and the longest pause within a message that arrives in pieces. The
    /// pause grows with consecutive stalls.
    pub connect_timeout: TimeDelta,
    /// How the messages of a response without an end are separated.
    pub framing: MessageFraming,
    /// The longest message, and the longest body of a complete response.
    pub max_message_bytes: usize,
}

/// A stream of lines with at most one connection at a time.
pub struct LineStream {
    settings: LineStreamSettings,
    connection: Option<Connection>,
    is_connected: bool,
    reader: MessageReader,
    mode: ResponseMode,
    /// What has arrived of the next message or response.
    message: MessageBuffer,
    last_input_at: Timestamp,
    /// When the incomplete message or response started to arrive. `None` if none is incomplete.
    partial_since: Option<Timestamp>,
    /// When input other than white space arrived.
    last_piece_at: Timestamp,
    transfer_timeouts: TransferTimeouts,
    opened_at: Timestamp,
}

impl LineStream {
    /// Creates a stream that is not open yet.
    pub fn new(settings: LineStreamSettings) -> LineStream {
        LineStream {
            connection: None,
            is_connected: false,
            reader: MessageReader::without_body_limit(),
            mode: ResponseMode::Lines,
            message: MessageBuffer::new(settings.framing, settings.max_message_bytes),
            last_input_at: Timestamp(0),
            partial_since: None,
            last_piece_at: Timestamp(0),
            transfer_timeouts: TransferTimeouts::new(
                settings.connect_timeout,
                settings.inactivity_timeout,
            ),
            opened_at: Timestamp(0) - settings.inactivity_timeout,
            settings,
        }
    }

    /// The address to which the stream connects.
    pub fn address(&self) -> SocketAddr {
        self.settings.address
    }

    /// Sets the address. If it changes, closes the stream, which must then be reopened, and returns true.
    pub fn set_address<D>(&mut self, context: &mut IoContext<D>, address: SocketAddr) -> bool {
        if self.settings.address == address {
            return false;
        }
        tracing::info!("{}: address changed to {address}", self.settings.name);
        self.settings.address = address;
        self.close(context);
        true
    }

    /// Whether a connection is established or being established.
    pub fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Whether the stream was last opened less than `interval` ago.
    pub fn was_opened_within(&self, now: Timestamp, interval: TimeDelta) -> bool {
        now - self.opened_at < interval
    }

    /// Whether the stream is open and has received nothing for this long.
    pub fn has_been_silent_for(&self, now: Timestamp, time: TimeDelta) -> bool {
        self.is_open() && now - self.last_input_at >= time
    }

    /// Whether the stream has received nothing for too long, has not connected within the connect timeout, or has a message or
    /// response that has stalled. Logs and counts it if so; the caller must reopen the stream.
    pub fn check_unresponsive<D>(&mut self, context: &mut IoContext<D>) -> bool {
        let now = context.now();
        let inactivity_timeout = if self.is_connected {
            self.settings.inactivity_timeout
        } else {
            self.settings.connect_timeout
        };
        let is_silent = self.has_been_silent_for(now, inactivity_timeout);
        let stalled = self
            .partial_transfer()
            .filter(|transfer| self.transfer_timeouts.has_stalled(*transfer, now));
        if !is_silent && stalled.is_none() {
            return false;
        }
        context.streams.unresponsive += 1;
        if let Some(transfer) = stalled {
            self.transfer_timeouts.record_stall();
            tracing::warn!(
                "{}: unresponsive, reopened: a message is incomplete after {:.3} s and {} bytes",
                self.settings.name,
                (now - transfer.started_at).as_seconds(),
                self.message.partial_bytes()
            );
        } else {
            tracing::warn!("{}: unresponsive, reopened: silent", self.settings.name);
        }
        true
    }

    /// The progress of the incomplete message or response, if there is one.
    fn partial_transfer(&self) -> Option<Transfer> {
        self.partial_since.map(|started_at| Transfer {
            started_at,
            last_piece_at: self.last_piece_at,
        })
    }

    /// Closes the current connection, reconnects and sends a request.
    pub fn open<D>(
        &mut self,
        context: &mut IoContext<D>,
        target: &str,
        mode: ResponseMode,
        on_ready: impl Fn(&mut D, Readiness) + 'static,
    ) {
        self.close(context);
        self.opened_at = context.now();
        self.last_input_at = context.now();
        match Connection::connect(
            context,
            self.settings.address,
            ResourceClass::Reserved,
            on_ready,
        ) {
            Ok(connection) => {
                context.streams.opened += 1;
                self.connection = Some(connection);
                self.request(context, target, mode);
            }
            Err(error) => tracing::warn!("{}: cannot connect: {error}", self.settings.name),
        }
    }

    /// Writes a request. Any earlier request must have had its complete response.
    pub fn request<D>(&mut self, context: &mut IoContext<D>, target: &str, mode: ResponseMode) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        self.reader = MessageReader::without_body_limit();
        self.mode = mode;
        let size = target.len() + write::MAX_FIELDS_BYTES;
        let Some(out) = connection.output_buffer(context, size) else {
            return self.close(context);
        };
        write::request_line(out, "GET", target);
        write::field(out, "Host", self.settings.address);
        write::end_of_head(out);
        if self.is_connected && self.flush(context).is_err() {
            // The next read reports the failure.
            tracing::debug!("{}: the request cannot be written", self.settings.name);
        }
    }

    /// Closes the connection if it is open.
    pub fn close<D>(&mut self, context: &mut IoContext<D>) {
        self.is_connected = false;
        self.partial_since = None;
        context.buffers.uncharge(self.message.partial_bytes());
        self.message.clear();
        if let Some(connection) = self.connection.take() {
            connection.close(context);
        }
    }

    /// Writes pending output and reads input. The connection is closed after `Disconnected`.
    pub fn handle_readiness<D>(
        &mut self,
        context: &mut IoContext<D>,
        readiness: Readiness,
    ) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        if let Err(end) = self.transfer(context, readiness, &mut events) {
            if self.is_connected {
                tracing::warn!("{}: disconnected: {end}", self.settings.name);
                context.streams.record_end(end);
            }
            self.close(context);
            events.push(StreamEvent::Disconnected);
        }
        events
    }

    /// Transfers pending output and input.
    ///
    /// # Errors
    ///
    /// Why the connection cannot be used any more.
    fn transfer<D>(
        &mut self,
        context: &mut IoContext<D>,
        readiness: Readiness,
        events: &mut Vec<StreamEvent>,
    ) -> Result<(), StreamEnd> {
        if self.connection.is_none() {
            return Ok(());
        }
        if readiness.writable {
            self.record_connected()?;
            self.flush(context)?;
        }
        if !readiness.readable {
            return Ok(());
        }
        let Some(connection) = &mut self.connection else {
            return Ok(());
        };
        let read = match connection.read(context) {
            ReadResult::Data => Ok(()),
            ReadResult::WouldBlock => return Ok(()),
            ReadResult::NoBuffer | ReadResult::BufferFull => Err(StreamEnd::NoBuffer),
            ReadResult::EndOfStream => Err(StreamEnd::ClosedByServer),
            ReadResult::Failed => Err(StreamEnd::ConnectionFailed),
        };
        self.last_input_at = context.now();
        context.buffers.uncharge(self.message.partial_bytes());
        let parsed = self.parse_input(events);
        context.buffers.charge(self.message.partial_bytes());
        self.record_progress(events);
        self.report_skipped(context, events);
        parsed.and(read)
    }

    /// Records that the connection is established.
    ///
    /// # Errors
    ///
    /// The connection attempt failed.
    fn record_connected(&mut self) -> Result<(), StreamEnd> {
        if self.is_connected {
            return Ok(());
        }
        let failed = self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.check_connected().is_err());
        if failed {
            return Err(StreamEnd::ConnectionFailed);
        }
        self.is_connected = true;
        tracing::info!("{}: connected", self.settings.name);
        Ok(())
    }

    fn flush<D>(&mut self, context: &mut IoContext<D>) -> Result<(), StreamEnd> {
        let Some(connection) = &mut self.connection else {
            return Ok(());
        };
        let result = connection.flush(context);
        connection.set_interest(context, true, result == WriteResult::Partial);
        match result {
            WriteResult::Complete | WriteResult::Partial => Ok(()),
            WriteResult::Failed => Err(StreamEnd::ConnectionFailed),
        }
    }

    /// Updates the progress of the incomplete message after input was read that ended with these events.
    fn record_progress(&mut self, events: &[StreamEvent]) {
        if events.iter().any(StreamEvent::is_message) {
            self.partial_since = None;
            self.transfer_timeouts.record_completion();
        }
        let is_head_partial = self
            .connection
            .as_ref()
            .is_some_and(|connection| self.reader.is_partial(&connection.input));
        let is_partial = is_head_partial || self.message.is_partial();
        self.partial_since = is_partial.then(|| self.partial_since.unwrap_or(self.last_input_at));
    }

    /// Logs and counts the messages that exceeded the limit.
    fn report_skipped<D>(&self, context: &mut IoContext<D>, events: &[StreamEvent]) {
        for _ in events.iter().filter(|e| **e == StreamEvent::TooLong) {
            context.streams.too_long += 1;
            tracing::warn!(
                "{}: a message exceeds the limit of {} bytes and is skipped",
                self.settings.name,
                self.message.max_bytes()
            );
        }
    }

    /// Parses input into events.
    ///
    /// # Errors
    ///
    /// The response cannot be read, or does not continue.
    fn parse_input(&mut self, events: &mut Vec<StreamEvent>) -> Result<(), StreamEnd> {
        let Some(connection) = &mut self.connection else {
            return Ok(());
        };
        let input = &mut connection.input;
        let progress = self
            .reader
            .read_response(input)
            .map_err(StreamEnd::MalformedResponse)?;
        if self.reader.is_in_head() {
            self.last_piece_at = self.last_input_at;
            return Ok(());
        }
        let status = ResponseHead::parse(input)
            .ok()
            .flatten()
            .map(|head| head.status);
        if status != Some(STATUS_OK) {
            events.push(StreamEvent::Refused(status));
            return Err(StreamEnd::Refused);
        }
        let body = &input[self.reader.body()];
        // A sign of life is no progress of an incomplete message.
        if !body.trim_ascii().is_empty() {
            self.last_piece_at = self.last_input_at;
        }
        let has_ended = progress == Progress::Complete;
        match self.mode {
            ResponseMode::Single => {
                if !self.message.append(body) {
                    events.push(StreamEvent::TooLong);
                    return Err(StreamEnd::ResponseTooLong);
                }
                self.reader.discard_body(input);
                if has_ended {
                    events.push(StreamEvent::Response(self.message.take()));
                    self.reader.consume(input);
                }
                Ok(())
            }
            ResponseMode::Lines => {
                let messages = self.message.push_lines(body);
                events.extend(messages.into_iter().map(StreamEvent::from));
                self.reader.discard_body(input);
                if has_ended {
                    return Err(StreamEnd::ResponseEnded);
                }
                Ok(())
            }
        }
    }
}
