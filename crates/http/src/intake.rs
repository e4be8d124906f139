//! Follows one message as its bytes come in. The head stays at the front of the buffer, the body follows it
//! with its coding taken off, and behind them may stand the beginning of the next message.

use std::ops::Range;

use crate::chunks::Chunks;
use crate::head::{AnswerHead, Framing, RequestHead};
use crate::{Fault, BODY_MOST, HEAD_MOST};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    More,
    /// More is to come, and the other side waits for a word before it sends it.
    Asks,
    Whole,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Head,
    Body(Framing),
    Whole,
}

#[derive(Debug, Default)]
pub struct Intake {
    stage: Stage,
    scanned: usize,
    head: usize,
    end: usize,
    chunks: Chunks,
    asked: bool,
    /// How much word that an answer is to come was passed over.
    interim: usize,
}

impl Intake {
    /// Whether nothing of a message has been seen yet.
    pub fn untouched(&self, bytes: &[u8]) -> bool {
        matches!(self.stage, Stage::Head) && bytes.is_empty()
    }

    pub fn in_head(&self) -> bool {
        matches!(self.stage, Stage::Head)
    }

    /// Whether only the end of the connection tells where the body ends, so that one cut off looks whole.
    pub fn is_open_ended(&self) -> bool {
        matches!(self.stage, Stage::Body(Framing::UntilEnd))
    }

    /// Whether something has come that is not yet whole: a head, a body, or the last line of a stream.
    pub fn is_in_part(&self, bytes: &[u8]) -> bool {
        if self.in_head() {
            !bytes.is_empty()
        } else {
            self.end > self.head
        }
    }

    pub fn head(&self) -> Range<usize> {
        0..self.head
    }

    pub fn body(&self) -> Range<usize> {
        self.head..self.end
    }

    /// Whether the bytes hold an empty line, behind which a head may end. Each byte is looked at once.
    fn head_may_end(&mut self, bytes: &[u8]) -> bool {
        let from = self.scanned.saturating_sub(2);
        self.scanned = bytes.len();
        let found = bytes[from..].windows(2).any(|w| w == b"\n\n" || w == b"\n\r");
        found
    }

    pub fn request(&mut self, bytes: &mut Vec<u8>) -> Result<Progress, Fault> {
        if self.in_head() {
            if !self.head_may_end(bytes) && bytes.len() < HEAD_MOST {
                return Ok(Progress::More);
            }
            let Some(head) = RequestHead::read(bytes)? else { return self.head_goes_on(bytes) };
            let (framing, asks) = (head.framing()?, head.awaits_continue());
            self.begin_body(head.size, framing);
            self.asked = asks;
        }
        let progress = self.follow(bytes, true)?;
        if progress == Progress::More && std::mem::take(&mut self.asked) {
            return Ok(Progress::Asks);
        }
        Ok(progress)
    }

    /// A whole answer; word that one is to come (1xx) is passed over.
    pub fn answer(&mut self, bytes: &mut Vec<u8>) -> Result<Progress, Fault> {
        self.answer_within(bytes, true)
    }

    /// An answer that goes on and on, whose lines `next_line` takes away.
    pub fn stream(&mut self, bytes: &mut Vec<u8>) -> Result<Progress, Fault> {
        self.answer_within(bytes, false)
    }

    fn answer_within(&mut self, bytes: &mut Vec<u8>, limited: bool) -> Result<Progress, Fault> {
        while self.in_head() {
            if !self.head_may_end(bytes) && bytes.len() < HEAD_MOST {
                return Ok(Progress::More);
            }
            let Some(head) = AnswerHead::read(bytes)? else { return self.head_goes_on(bytes) };
            let (size, status, framing) = (head.size, head.status, head.framing()?);
            if (100..200).contains(&status) {
                bytes.drain(..size);
                self.scanned = 0;
                // Guards against an answer that is for ever to come.
                self.interim += size;
                if self.interim > HEAD_MOST {
                    return Err(Fault::HeadTooLarge);
                }
                continue;
            }
            self.begin_body(size, framing);
        }
        self.follow(bytes, limited)
    }

    fn head_goes_on(&self, bytes: &[u8]) -> Result<Progress, Fault> {
        if bytes.len() >= HEAD_MOST {
            return Err(Fault::HeadTooLarge);
        }
        Ok(Progress::More)
    }

    fn begin_body(&mut self, head: usize, framing: Framing) {
        (self.head, self.end) = (head, head);
        self.stage = Stage::Body(framing);
    }

    fn follow(&mut self, bytes: &mut Vec<u8>, limited: bool) -> Result<Progress, Fault> {
        let Stage::Body(framing) = &self.stage else { return Ok(Progress::Whole) };
        let whole = match framing {
            Framing::Length(length) => {
                self.end = bytes.len().min(self.head + length);
                self.end == self.head + length
            }
            Framing::Chunked => {
                let (end, whole) = self.chunks.decode(bytes, self.end)?;
                self.end = end;
                whole
            }
            Framing::UntilEnd => {
                self.end = bytes.len();
                false
            }
        };
        if limited && self.end - self.head > BODY_MOST {
            return Err(Fault::BodyTooLarge);
        }
        if whole {
            self.stage = Stage::Whole;
        }
        Ok(if whole { Progress::Whole } else { Progress::More })
    }

    /// The other side sends nothing more: whether that makes the message whole.
    pub fn ends(&mut self) -> bool {
        if matches!(self.stage, Stage::Body(Framing::UntilEnd)) {
            self.stage = Stage::Whole;
        }
        matches!(self.stage, Stage::Whole)
    }

    /// Takes the next line of the body away, without its end.
    pub fn next_line(&mut self, bytes: &mut Vec<u8>) -> Option<Vec<u8>> {
        let at = bytes[self.body()].iter().position(|b| *b == b'\n')?;
        let mut line: Vec<u8> = bytes.drain(self.head..=self.head + at).collect();
        self.end -= line.len();
        line.truncate(line.trim_ascii_end().len());
        Some(line)
    }

    /// Takes the message away; what was sent behind it stays.
    pub fn consume(&mut self, bytes: &mut Vec<u8>) {
        bytes.drain(..self.end);
        *self = Intake::default();
    }
}
