//! A stream of lines from one address, for as long as the program runs. One that breaks, or is silent for longer than its
//! protocol allows, is to be opened again by its owner.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_http::{write, MessageReader, Progress, ResponseHead, MAX_BODY_BYTES};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::connection::{Connection, ReadResult, WriteResult};
use crate::io_context::{IoContext, ResourceClass};

const STATUS_OK: u16 = 200;

/// What response a request expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// One complete response.
    Single,
    /// A response without end, line by line.
    Lines,
}

/// What has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The body of a complete response.
    Response(Vec<u8>),
    /// A line, without its end.
    Line(Vec<u8>),
    /// The request was refused, with this status if one can be read.
    Refused(Option<u16>),
    /// The connection is gone.
    Disconnected,
}

/// A stream of lines.
pub struct LineStream {
    address: SocketAddr,
    name: &'static str,
    connection: Option<Connection>,
    is_connected: bool,
    reader: MessageReader,
    mode: ResponseMode,
    last_input_at: Timestamp,
    /// Since when the last input is only part of a line or response.
    partial_since: Option<Timestamp>,
    opened_at: Timestamp,
    /// How long a healthy stream may be silent.
    max_silence: TimeDelta,
}

impl LineStream {
    /// A stream that is still to be opened. `name` is what log lines call it.
    pub fn new(name: &'static str, address: SocketAddr, max_silence: TimeDelta) -> LineStream {
        LineStream {
            address,
            name,
            connection: None,
            is_connected: false,
            reader: MessageReader::default(),
            mode: ResponseMode::Lines,
            last_input_at: Timestamp(0),
            partial_since: None,
            opened_at: Timestamp(0) - max_silence,
            max_silence,
        }
    }

    /// The address that it is opened at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the address. Returns whether it is another one; the stream is then closed and has to be opened.
    pub fn set_address<D>(&mut self, context: &mut IoContext<D>, address: SocketAddr) -> bool {
        if self.address == address {
            return false;
        }
        tracing::info!("{}: address changed to {address}", self.name);
        self.address = address;
        self.close(context);
        true
    }

    /// Whether there is a connection, be it up or still coming up.
    pub fn is_open(&self) -> bool {
        self.connection.is_some()
    }

    /// Whether it was last opened less than this long ago.
    pub fn was_opened_within(&self, now: Timestamp, interval: TimeDelta) -> bool {
        now - self.opened_at < interval
    }

    /// Whether it has been silent for too long, has not come up within the connect timeout, or has left a line or response
    /// incomplete for that long.
    pub fn is_unresponsive(&self, now: Timestamp, connect_timeout: TimeDelta) -> bool {
        let max_silence = if self.is_connected {
            self.max_silence
        } else {
            connect_timeout
        };
        let is_silent = now - self.last_input_at >= max_silence;
        let is_stalled = self
            .partial_since
            .is_some_and(|since| now - since > connect_timeout);
        let is_unresponsive = self.is_open() && (is_silent || is_stalled);
        if is_unresponsive {
            tracing::warn!("{}: unresponsive, reopened", self.name);
        }
        is_unresponsive
    }

    /// Opens the stream anew with this request.
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
        match Connection::connect(context, self.address, ResourceClass::Reserved, on_ready) {
            Ok(connection) => {
                context.streams_opened += 1;
                self.connection = Some(connection);
                self.request(context, target, mode);
            }
            Err(error) => tracing::warn!("{}: cannot connect: {error}", self.name),
        }
    }

    /// Writes a request: the first, or one after a complete response.
    pub fn request<D>(&mut self, context: &mut IoContext<D>, target: &str, mode: ResponseMode) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        self.reader = MessageReader::default();
        self.mode = mode;
        let Some(out) = connection.output_buffer(context) else {
            return self.close(context);
        };
        write::request_line(out, "GET", target);
        write::field(out, "Host", self.address);
        write::end_of_head(out);
        if self.is_connected {
            self.flush(context);
        }
    }

    /// Closes the connection.
    pub fn close<D>(&mut self, context: &mut IoContext<D>) {
        self.is_connected = false;
        self.partial_since = None;
        if let Some(connection) = self.connection.take() {
            connection.close(context);
        }
    }

    /// Reads what has arrived. After `Disconnected` the connection is closed.
    pub fn handle_readiness<D>(
        &mut self,
        context: &mut IoContext<D>,
        readiness: Readiness,
    ) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        if !self.transfer(context, readiness, &mut events) {
            if self.is_connected {
                tracing::warn!("{}: disconnected", self.name);
            }
            self.close(context);
            events.push(StreamEvent::Disconnected);
        }
        events
    }

    /// Returns whether the connection is still of use.
    fn transfer<D>(
        &mut self,
        context: &mut IoContext<D>,
        readiness: Readiness,
        events: &mut Vec<StreamEvent>,
    ) -> bool {
        if self.connection.is_none() {
            return true;
        }
        if readiness.writable && !(self.note_connected() && self.flush(context)) {
            return false;
        }
        if !readiness.readable {
            return true;
        }
        let Some(connection) = &mut self.connection else {
            return true;
        };
        let is_open = match connection.read(context) {
            ReadResult::Data => true,
            ReadResult::WouldBlock => return true,
            ReadResult::NoBuffer | ReadResult::EndOfStream | ReadResult::Failed => false,
        };
        self.last_input_at = context.now();
        let is_readable = self.parse_input(events);
        self.note_partial_input();
        is_readable && is_open
    }

    /// Returns whether the connection has come up.
    fn note_connected(&mut self) -> bool {
        if self.is_connected {
            return true;
        }
        let failed = self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.check_connected().is_err());
        if failed {
            return false;
        }
        self.is_connected = true;
        tracing::info!("{}: connected", self.name);
        true
    }

    fn flush<D>(&mut self, context: &mut IoContext<D>) -> bool {
        let Some(connection) = &mut self.connection else {
            return false;
        };
        let result = connection.flush(context);
        connection.set_interest(context, true, result == WriteResult::Partial);
        result != WriteResult::Failed
    }

    fn note_partial_input(&mut self) {
        let is_partial = self
            .connection
            .as_ref()
            .is_some_and(|connection| self.reader.is_partial(&connection.input));
        self.partial_since = is_partial.then(|| self.partial_since.unwrap_or(self.last_input_at));
    }

    /// Returns whether the input is readable and the response goes on.
    fn parse_input(&mut self, events: &mut Vec<StreamEvent>) -> bool {
        let Some(connection) = &mut self.connection else {
            return false;
        };
        let input = &mut connection.input;
        let progress = match self.mode {
            ResponseMode::Single => self.reader.read_response(input),
            ResponseMode::Lines => self.reader.read_stream(input),
        };
        let Ok(progress) = progress else {
            return false;
        };
        if self.reader.is_in_head() {
            return true;
        }
        let status = ResponseHead::parse(input)
            .ok()
            .flatten()
            .map(|head| head.status);
        if status != Some(STATUS_OK) {
            events.push(StreamEvent::Refused(status));
            return false;
        }
        match self.mode {
            ResponseMode::Single => {
                if progress == Progress::Complete {
                    events.push(StreamEvent::Response(input[self.reader.body()].to_vec()));
                    self.reader.consume(input);
                }
                true
            }
            ResponseMode::Lines => {
                while let Some(line) = self.reader.next_line(input) {
                    events.push(StreamEvent::Line(line));
                }
                progress != Progress::Complete && self.reader.body().len() <= MAX_BODY_BYTES
            }
        }
    }
}
