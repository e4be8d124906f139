//! Follows one message as its bytes arrive.
//!
//! The head stays at the front of the caller's buffer. The body follows it with its transfer coding removed. Behind them may
//! stand the beginning of the next message.

use std::ops::Range;

use crate::chunked::ChunkedDecoder;
use crate::head::{Framing, RequestHead, ResponseHead};
use crate::{ParseError, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// How much of a message has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More is to come.
    Incomplete,
    /// More is to come, and the sender waits for `100 Continue` before it sends it.
    ExpectsContinue,
    /// All of it.
    Complete,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Head,
    Body(Framing),
    Complete,
}

/// The state of reading one message. The bytes themselves stay with the caller.
#[derive(Debug, Default)]
pub struct MessageReader {
    stage: Stage,
    /// Bytes in which the end of the head has been searched for.
    scanned: usize,
    head_end: usize,
    body_end: usize,
    chunked: ChunkedDecoder,
    expects_continue: bool,
    /// Bytes of interim responses (1xx) that were skipped.
    interim_bytes: usize,
}

impl MessageReader {
    /// Whether nothing of a message has arrived.
    pub fn is_untouched(&self, bytes: &[u8]) -> bool {
        self.is_in_head() && bytes.is_empty()
    }

    /// Whether the head is still incomplete.
    pub fn is_in_head(&self) -> bool {
        matches!(self.stage, Stage::Head)
    }

    /// Whether only the end of the connection ends the body, so that a truncated one cannot be told from a complete one.
    pub fn is_open_ended(&self) -> bool {
        matches!(self.stage, Stage::Body(Framing::UntilEnd))
    }

    /// Whether part of a head, of a body, or of the last line of a stream has arrived.
    pub fn is_partial(&self, bytes: &[u8]) -> bool {
        if self.is_in_head() {
            !bytes.is_empty()
        } else {
            self.body_end > self.head_end
        }
    }

    /// Where the head stands in the buffer.
    pub fn head(&self) -> Range<usize> {
        0..self.head_end
    }

    /// Where the body stands in the buffer, as far as it has arrived.
    pub fn body(&self) -> Range<usize> {
        self.head_end..self.body_end
    }

    /// Reads on in a request.
    ///
    /// # Errors
    ///
    /// The message is malformed or too large; the connection is of no more use.
    pub fn read_request(&mut self, bytes: &mut Vec<u8>) -> Result<Progress, ParseError> {
        if self.is_in_head() {
            if !self.may_have_head(bytes) {
                return Ok(Progress::Incomplete);
            }
            let Some(head) = RequestHead::parse(bytes)? else {
                return incomplete_head(bytes);
            };
            let (size, framing) = (head.size, head.framing()?);
            self.expects_continue = head.expects_continue();
            self.begin_body(size, framing);
        }
        let progress = self.read_body(bytes, true)?;
        if progress == Progress::Incomplete && std::mem::take(&mut self.expects_continue) {
            return Ok(Progress::ExpectsContinue);
        }
        Ok(progress)
    }

    /// Reads on in a response of limited size. Interim responses (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// The message is malformed or too large; the connection is of no more use.
    pub fn read_response(&mut self, bytes: &mut Vec<u8>) -> Result<Progress, ParseError> {
        self.read_response_head_and_body(bytes, true)
    }

    /// Reads on in a response without end, whose lines `next_line` removes.
    ///
    /// # Errors
    ///
    /// The message is malformed; the connection is of no more use.
    pub fn read_stream(&mut self, bytes: &mut Vec<u8>) -> Result<Progress, ParseError> {
        self.read_response_head_and_body(bytes, false)
    }

    /// Notes that the sender has closed its side, and returns whether the message is complete.
    pub fn end_of_input(&mut self) -> bool {
        if self.is_open_ended() {
            self.stage = Stage::Complete;
        }
        matches!(self.stage, Stage::Complete)
    }

    /// Removes the next line of the body and returns it without its end.
    pub fn next_line(&mut self, bytes: &mut Vec<u8>) -> Option<Vec<u8>> {
        let length = bytes[self.body()].iter().position(|byte| *byte == b'\n')?;
        let mut line: Vec<u8> = bytes
            .drain(self.head_end..=self.head_end + length)
            .collect();
        self.body_end -= line.len();
        line.truncate(line.trim_ascii_end().len());
        Some(line)
    }

    /// Removes the message; what was sent behind it stays.
    pub fn consume(&mut self, bytes: &mut Vec<u8>) {
        bytes.drain(..self.body_end);
        *self = MessageReader::default();
    }

    fn read_response_head_and_body(
        &mut self,
        bytes: &mut Vec<u8>,
        is_limited: bool,
    ) -> Result<Progress, ParseError> {
        while self.is_in_head() {
            if !self.may_have_head(bytes) {
                return Ok(Progress::Incomplete);
            }
            let Some(head) = ResponseHead::parse(bytes)? else {
                return incomplete_head(bytes);
            };
            let (size, framing) = (head.size, head.framing()?);
            if head.is_interim() {
                self.skip_interim(bytes, size)?;
            } else {
                self.begin_body(size, framing);
            }
        }
        self.read_body(bytes, is_limited)
    }

    /// Skips an interim response. Their total is limited, so that a final response comes at some time.
    fn skip_interim(&mut self, bytes: &mut Vec<u8>, size: usize) -> Result<(), ParseError> {
        bytes.drain(..size);
        self.scanned = 0;
        self.interim_bytes += size;
        if self.interim_bytes > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLarge);
        }
        Ok(())
    }

    /// Whether the head is worth parsing: an empty line has arrived, or the head is too large. Each byte is searched once.
    fn may_have_head(&mut self, bytes: &[u8]) -> bool {
        let from = self.scanned.saturating_sub(2);
        self.scanned = bytes.len();
        let has_empty_line = bytes[from..]
            .windows(2)
            .any(|pair| pair == b"\n\n" || pair == b"\n\r");
        has_empty_line || bytes.len() >= MAX_HEAD_BYTES
    }

    fn begin_body(&mut self, head_size: usize, framing: Framing) {
        self.head_end = head_size;
        self.body_end = head_size;
        self.stage = Stage::Body(framing);
    }

    fn read_body(&mut self, bytes: &mut Vec<u8>, is_limited: bool) -> Result<Progress, ParseError> {
        let Stage::Body(framing) = &self.stage else {
            return Ok(Progress::Complete);
        };
        let is_complete = match framing {
            Framing::Length(length) => {
                self.body_end = bytes.len().min(self.head_end + length);
                self.body_end == self.head_end + length
            }
            Framing::Chunked => {
                let decoded = self.chunked.decode(bytes, self.body_end)?;
                self.body_end = decoded.end;
                decoded.is_complete
            }
            Framing::UntilEnd => {
                self.body_end = bytes.len();
                false
            }
        };
        if is_limited && self.body_end - self.head_end > MAX_BODY_BYTES {
            return Err(ParseError::BodyTooLarge);
        }
        if !is_complete {
            return Ok(Progress::Incomplete);
        }
        self.stage = Stage::Complete;
        Ok(Progress::Complete)
    }
}

fn incomplete_head(bytes: &[u8]) -> Result<Progress, ParseError> {
    if bytes.len() >= MAX_HEAD_BYTES {
        return Err(ParseError::HeadTooLarge);
    }
    Ok(Progress::Incomplete)
}
