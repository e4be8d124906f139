//! Why a line stream or a request exchange ended, and how often streams were opened and ended.

use harrierdock_http::ParseError;
use thiserror::Error;

/// Why the connection of a line stream or of a request exchange is no longer usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StreamEnd {
    /// The server closed the connection.
    #[error("the server closed the connection")]
    ClosedByServer,
    /// The connection could not be established, or broke.
    #[error("the connection failed")]
    ConnectionFailed,
    /// The buffer pool has no input buffer left.
    #[error("no input buffer is available")]
    NoBuffer,
    /// The response is not an HTTP response that can be read.
    #[error("the response cannot be read: {0}")]
    MalformedResponse(ParseError),
    /// The response has a status other than 200.
    #[error("the request was refused")]
    Refused,
    /// The server ended a response that has no end.
    #[error("the server ended the response")]
    ResponseEnded,
    /// The response exceeds the limit of the stream.
    #[error("the response is too long")]
    ResponseTooLong,
}

/// How often line streams were opened, and how often they ended for which reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// Connection attempts, including failed ones.
    pub opened: u64,
    /// Established connections that were closed by the server, or broke.
    pub disconnected: u64,
    /// Responses that could not be read.
    pub malformed: u64,
    /// Requests that were answered with a status other than 200.
    pub refused: u64,
    /// Messages and responses that exceeded the limit of their stream.
    pub too_long: u64,
    /// Connections that were given up because they were silent, or because a line remained incomplete.
    pub unresponsive: u64,
}

impl StreamCounts {
    /// Counts the end of an established connection.
    pub(crate) fn record_end(&mut self, end: StreamEnd) {
        match end {
            StreamEnd::ClosedByServer | StreamEnd::ConnectionFailed | StreamEnd::ResponseEnded => {
                self.disconnected += 1;
            }
            StreamEnd::MalformedResponse(_) => self.malformed += 1,
            StreamEnd::Refused => self.refused += 1,
            // Counted where they show: shortages by the pool, long responses as long messages.
            StreamEnd::NoBuffer | StreamEnd::ResponseTooLong => {}
        }
    }
}
