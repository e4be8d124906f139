//! What a line stream reads: one response, or messages without an end.

use crate::message_buffer::AssembledMessage;

/// The kind of response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// One complete response.
    Single,
    /// A response without an end, read message by message.
    Lines,
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The body of a complete response.
    Response(Vec<u8>),
    /// A message of a response without an end, without the line break at its end. Empty for an empty line.
    Line(Vec<u8>),
    /// A message exceeds the limit and is skipped.
    TooLong,
    /// The response status is not 200. `None` if its head is malformed.
    Refused(Option<u16>),
    /// The connection was closed.
    Disconnected,
}

impl StreamEvent {
    /// Whether this is a complete message that is not empty, or a complete response.
    pub(crate) fn is_message(&self) -> bool {
        match self {
            StreamEvent::Response(_) => true,
            StreamEvent::Line(text) => !text.is_empty(),
            StreamEvent::TooLong | StreamEvent::Refused(_) | StreamEvent::Disconnected => false,
        }
    }
}

impl From<AssembledMessage> for StreamEvent {
    fn from(message: AssembledMessage) -> StreamEvent {
        match message {
            AssembledMessage::Complete(text) => StreamEvent::Line(text),
            AssembledMessage::TooLong => StreamEvent::TooLong,
        }
    }
}
