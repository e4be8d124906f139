//! One request and its response on a dedicated connection.
//!
//! The request is written only once the connection is established, right before it is sent, so that the caller can check at
//! that moment whether it may still be sent.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_http::{write, MessageReader, Progress, ResponseHead};

use crate::connection::Connection;
use crate::io_context::{IoContext, ResourceClass};
use crate::stream_end::StreamEnd;
use crate::stream_io::{ReadResult, WriteResult};

/// The progress of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// The connection is established: the caller must write the request or close.
    Connected,
    /// The exchange continues without an event.
    Pending,
    /// The response has arrived.
    Responded {
        /// The status code of the response.
        status: u16,
        /// The body with its transfer coding removed.
        body: Vec<u8>,
    },
    /// No response can arrive any more, or it cannot be read.
    Failed(StreamEnd),
}

/// A request on a dedicated connection with reserved descriptors.
pub struct RequestExchange {
    address: SocketAddr,
    connection: Connection,
    reader: MessageReader,
    is_composed: bool,
    is_written: bool,
}

impl RequestExchange {
    /// Starts to connect. `None` if the connection fails immediately.
    pub fn connect<D>(
        context: &mut IoContext<D>,
        address: SocketAddr,
        on_ready: impl Fn(&mut D, Readiness) + 'static,
    ) -> Option<RequestExchange> {
        let connection =
            Connection::connect(context, address, ResourceClass::Reserved, on_ready).ok()?;
        Some(RequestExchange {
            address,
            connection,
            reader: MessageReader::default(),
            is_composed: false,
            is_written: false,
        })
    }

    /// Writes a POST request with a JSON body. Returns whether any of it may have been sent.
    pub fn post<D>(&mut self, context: &mut IoContext<D>, path: &str, body: &[u8]) -> bool {
        let address = self.address;
        let size = path.len() + body.len() + write::MAX_FIELDS_BYTES;
        let Some(out) = self.connection.output_buffer(context, size) else {
            return false;
        };
        write::request_line(out, "POST", path);
        write::field(out, "Host", address);
        write::field(out, "Connection", "close");
        write::field(out, "Content-Type", "application/json");
        write::body(out, body);
        self.is_composed = true;
        self.flush(context) != WriteResult::Failed
    }

    /// Advances the exchange when its connection is readable or writable.
    pub fn handle_readiness<D>(
        &mut self,
        context: &mut IoContext<D>,
        readiness: Readiness,
    ) -> ExchangeEvent {
        if !self.is_composed {
            return self.handle_connecting(readiness);
        }
        if !self.is_written && readiness.writable && self.flush(context) == WriteResult::Failed {
            return ExchangeEvent::Failed(StreamEnd::ConnectionFailed);
        }
        if !readiness.readable || !self.is_written {
            return ExchangeEvent::Pending;
        }
        self.read_response(context)
    }

    /// Whether the request's last byte was written.
    pub fn is_written(&self) -> bool {
        self.is_written
    }

    /// Closes the connection, whether or not a response has arrived.
    pub fn close<D>(self, context: &mut IoContext<D>) {
        self.connection.close(context);
    }

    fn handle_connecting(&self, readiness: Readiness) -> ExchangeEvent {
        match self.connection.check_connected() {
            Ok(()) if readiness.writable => ExchangeEvent::Connected,
            Ok(()) => ExchangeEvent::Pending,
            Err(_) => ExchangeEvent::Failed(StreamEnd::ConnectionFailed),
        }
    }

    fn flush<D>(&mut self, context: &mut IoContext<D>) -> WriteResult {
        let result = self.connection.flush(context);
        if result == WriteResult::Complete {
            self.is_written = true;
            self.connection.set_interest(context, true, false);
        }
        result
    }

    fn read_response<D>(&mut self, context: &mut IoContext<D>) -> ExchangeEvent {
        let read = self.connection.read(context);
        let progress = self.reader.read_response(&mut self.connection.input);
        let progress = match progress {
            Ok(progress) => progress,
            Err(error) => return ExchangeEvent::Failed(StreamEnd::MalformedResponse(error)),
        };
        let is_ended_by_close =
            read == ReadResult::EndOfStream && self.reader.record_end_of_input();
        if progress == Progress::Complete || is_ended_by_close {
            return self.response();
        }
        match read {
            ReadResult::Data | ReadResult::WouldBlock => ExchangeEvent::Pending,
            ReadResult::NoBuffer | ReadResult::BufferFull => {
                ExchangeEvent::Failed(StreamEnd::NoBuffer)
            }
            ReadResult::EndOfStream => ExchangeEvent::Failed(StreamEnd::ClosedByServer),
            ReadResult::Failed => ExchangeEvent::Failed(StreamEnd::ConnectionFailed),
        }
    }

    fn response(&self) -> ExchangeEvent {
        let input = &self.connection.input;
        match ResponseHead::parse(input) {
            Ok(Some(head)) => ExchangeEvent::Responded {
                status: head.status,
                body: input[self.reader.body()].to_vec(),
            },
            Ok(None) => ExchangeEvent::Failed(StreamEnd::ClosedByServer),
            Err(error) => ExchangeEvent::Failed(StreamEnd::MalformedResponse(error)),
        }
    }
}
