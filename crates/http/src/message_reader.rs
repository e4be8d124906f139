//! Parses one message incrementally as its bytes arrive.
//!
//! The head stays at the front of the caller's buffer. The body follows it with its transfer coding removed. The start of the
//! next message may follow the body. The caller of a reader without a body limit removes the body piece by piece as it arrives.

use std::ops::Range;

use crate::chunked::ChunkedDecoder;
use crate::head::{Framing, RequestHead, ResponseHead};
use crate::{ParseError, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// How much of a message has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The message is incomplete.
    Incomplete,
    /// The head has arrived, and the client waits for `100 Continue` before it sends the body.
    ExpectsContinue,
    /// The whole message has arrived.
    Complete,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Head,
    Body(Framing),
    Complete,
}

/// The parser state of one message. The caller owns the buffer with the bytes.
#[derive(Debug, Default)]
pub struct MessageReader {
    stage: Stage,
    /// Number of bytes already searched for the end of the head.
    scanned: usize,
    head_end: usize,
    body_end: usize,
    chunked: ChunkedDecoder,
    expects_continue: bool,
    /// Whether the body may be longer than `MAX_BODY_BYTES`.
    is_body_unlimited: bool,
    /// Bytes of interim responses (1xx) that were skipped.
    interim_bytes: usize,
}

impl MessageReader {
    /// Creates a reader that does not limit the body. The caller removes the body with `discard_body` as it arrives, and limits
    /// what it keeps.
    pub fn without_body_limit() -> MessageReader {
        MessageReader {
            is_body_unlimited: true,
            ..MessageReader::default()
        }
    }

    /// Whether no byte of a message has arrived.
    pub fn is_untouched(&self, bytes: &[u8]) -> bool {
        self.is_in_head() && bytes.is_empty()
    }

    /// Whether the head is still incomplete.
    pub fn is_in_head(&self) -> bool {
        matches!(self.stage, Stage::Head)
    }

    /// Whether the body extends to the end of the connection, so that truncation cannot be detected.
    pub fn is_open_ended(&self) -> bool {
        matches!(self.stage, Stage::Body(Framing::UntilEnd))
    }

    /// Whether part of a head, or of a body that is still in the buffer, has arrived.
    pub fn is_partial(&self, bytes: &[u8]) -> bool {
        if self.is_in_head() {
            !bytes.is_empty()
        } else {
            self.body_end > self.head_end
        }
    }

    /// The length of head and body, if the head has arrived and states it.
    pub fn announced_bytes(&self) -> Option<usize> {
        match self.stage {
            Stage::Body(Framing::Length(length)) => Some(self.head_end + length),
            Stage::Complete => Some(self.body_end),
            Stage::Head | Stage::Body(Framing::Chunked | Framing::UntilEnd) => None,
        }
    }

    /// The range of the head in the buffer.
    pub fn head(&self) -> Range<usize> {
        0..self.head_end
    }

    /// The range in the buffer of the body received so far.
    pub fn body(&self) -> Range<usize> {
        self.head_end..self.body_end
    }

    /// Continues to read a request.
    ///
    /// # Errors
    ///
    /// The message is malformed or too large; the connection cannot be used any more.
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
            self.start_body(size, framing)?;
        }
        let progress = self.read_body(bytes)?;
        if progress == Progress::Incomplete && std::mem::take(&mut self.expects_continue) {
            return Ok(Progress::ExpectsContinue);
        }
        Ok(progress)
    }

    /// Continues to read a response. Interim responses (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// The message is malformed or too large; the connection cannot be used any more.
    pub fn read_response(&mut self, bytes: &mut Vec<u8>) -> Result<Progress, ParseError> {
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
                self.start_body(size, framing)?;
            }
        }
        self.read_body(bytes)
    }

    /// Records that the sender has closed its sending side, and returns whether the message is complete.
    pub fn record_end_of_input(&mut self) -> bool {
        if self.is_open_ended() {
            self.stage = Stage::Complete;
        }
        matches!(self.stage, Stage::Complete)
    }

    /// Removes the part of the body received so far from the buffer. The head stays.
    pub fn discard_body(&mut self, bytes: &mut Vec<u8>) {
        let body = self.body();
        if let Stage::Body(Framing::Length(remaining)) = &mut self.stage {
            *remaining -= body.len();
        }
        self.body_end = self.head_end;
        bytes.drain(body);
    }

    /// Removes the message from the buffer; bytes after it stay.
    pub fn consume(&mut self, bytes: &mut Vec<u8>) {
        bytes.drain(..self.body_end);
        *self = MessageReader {
            is_body_unlimited: self.is_body_unlimited,
            ..MessageReader::default()
        };
    }

    /// Skips an interim response. The total size of interim responses is limited, so that a server cannot send them forever.
    fn skip_interim(&mut self, bytes: &mut Vec<u8>, size: usize) -> Result<(), ParseError> {
        bytes.drain(..size);
        self.scanned = 0;
        self.interim_bytes += size;
        if self.interim_bytes > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLarge);
        }
        Ok(())
    }

    /// Whether to parse the head: an empty line has arrived, or the head is too large. Each byte is searched only once.
    fn may_have_head(&mut self, bytes: &[u8]) -> bool {
        let from = self.scanned.saturating_sub(2);
        self.scanned = bytes.len();
        let has_empty_line = bytes[from..]
            .windows(2)
            .any(|pair| pair == b"\n\n" || pair == b"\n\r");
        has_empty_line || bytes.len() >= MAX_HEAD_BYTES
    }

    /// Starts to read the body behind a complete head.
    ///
    /// # Errors
    ///
    /// The head announces a body that exceeds the limit.
    fn start_body(&mut self, head_size: usize, framing: Framing) -> Result<(), ParseError> {
        if let Framing::Length(length) = framing {
            self.check_body_size(length)?;
        }
        self.head_end = head_size;
        self.body_end = head_size;
        self.stage = Stage::Body(framing);
        Ok(())
    }

    fn check_body_size(&self, size: usize) -> Result<(), ParseError> {
        if !self.is_body_unlimited && size > MAX_BODY_BYTES {
            return Err(ParseError::BodyTooLarge);
        }
        Ok(())
    }

    fn read_body(&mut self, bytes: &mut Vec<u8>) -> Result<Progress, ParseError> {
        let Stage::Body(framing) = &self.stage else {
            return Ok(Progress::Complete);
        };
        let is_complete = match framing {
            Framing::Length(length) => {
                let end = self.head_end.saturating_add(*length);
                self.body_end = bytes.len().min(end);
                self.body_end == end
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
        self.check_body_size(self.body().len())?;
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
