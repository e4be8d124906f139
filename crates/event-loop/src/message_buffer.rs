//! Assembles the messages of a stream from pieces of any size, up to a maximum length.

use crate::json_boundary::JsonBoundary;

/// How the messages of a stream are separated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageFraming {
    /// Each line is a message.
    Line,
    /// A message is a JSON document that ends with a line. It may span several lines, as an indented document does. An empty
    /// line between documents is a message, too.
    JsonDocument,
}

/// A message of a stream, or what is known of one that is too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssembledMessage {
    /// A message without the line break at its end.
    Complete(Vec<u8>),
    /// A message exceeds the limit. Its bytes are discarded, up to the next line break.
    TooLong,
}

/// The incomplete message of a stream. Each byte is searched for the end of the message once.
pub struct MessageBuffer {
    framing: MessageFraming,
    max_bytes: usize,
    bytes: Vec<u8>,
    boundary: JsonBoundary,
    /// Whether the rest of the line belongs to a message that is too long.
    is_discarding: bool,
}

impl MessageBuffer {
    /// Creates an empty buffer for messages of up to `max_bytes`.
    pub fn new(framing: MessageFraming, max_bytes: usize) -> MessageBuffer {
        MessageBuffer {
            framing,
            max_bytes,
            bytes: Vec::new(),
            boundary: JsonBoundary::default(),
            is_discarding: false,
        }
    }

    /// The limit on the length of a message.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Length of the incomplete message.
    pub fn partial_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Whether part of a message has arrived.
    pub fn is_partial(&self) -> bool {
        self.is_discarding || !self.bytes.is_empty()
    }

    /// Discards the incomplete message.
    pub fn clear(&mut self) {
        *self = MessageBuffer::new(self.framing, self.max_bytes);
    }

    /// Appends a piece of the stream, and returns the messages that it ends.
    pub fn push_lines(&mut self, piece: &[u8]) -> Vec<AssembledMessage> {
        let mut messages = Vec::new();
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            let is_line_end = part.ends_with(b"\n");
            if self.is_discarding {
                self.is_discarding = !is_line_end;
            } else if !self.append(part) {
                self.is_discarding = !is_line_end;
                messages.push(AssembledMessage::TooLong);
            } else if self.has_ended(part, is_line_end) {
                messages.push(AssembledMessage::Complete(self.take()));
            }
        }
        messages
    }

    /// Appends a piece of the only message. Returns false, and discards the message, if it exceeds the limit.
    pub fn append(&mut self, piece: &[u8]) -> bool {
        if self.bytes.len() + piece.len() > self.max_bytes {
            self.clear();
            return false;
        }
        self.bytes.extend_from_slice(piece);
        true
    }

    /// Removes the message and returns it without white space at its end.
    pub fn take(&mut self) -> Vec<u8> {
        let mut message = std::mem::take(&mut self.bytes);
        message.truncate(message.trim_ascii_end().len());
        self.clear();
        message
    }

    /// Whether the message ends with the part that was appended last. A malformed document ends where that shows, so that its
    /// owner refuses it instead of waiting for its end.
    fn has_ended(&mut self, part: &[u8], is_line_end: bool) -> bool {
        match self.framing {
            MessageFraming::Line => is_line_end,
            MessageFraming::JsonDocument => {
                let is_malformed = self.boundary.advance(part).is_err();
                is_malformed || (is_line_end && self.boundary.is_closed())
            }
        }
    }
}
