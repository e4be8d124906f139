//! In-place decoding of the chunked transfer coding (RFC 9112, section 7.1).

use crate::ParseError;

/// The maximum length of a chunk extension and of a trailer line; both are skipped.
const MAX_SKIPPED_LINE_BYTES: usize = 1024;
/// The maximum number of hexadecimal digits in a chunk's size.
const MAX_SIZE_DIGITS: usize = 8;

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Size,
    Extension,
    SizeEnd,
    Data,
    DataCarriageReturn,
    DataLineFeed,
    Trailer,
    TrailerEnd,
    Complete,
}

/// The state of decoding one chunked body.
#[derive(Debug, Default)]
pub(crate) struct ChunkedDecoder {
    state: State,
    /// Bytes of the current chunk that have not arrived.
    remaining: usize,
    size_digits: usize,
    line_bytes: usize,
}

/// The result of decoding the bytes received so far.
pub(crate) struct Decoded {
    /// The end of the decoded body in the buffer.
    pub(crate) end: usize,
    /// Whether the whole body has arrived; bytes after it belong to the next message.
    pub(crate) is_complete: bool,
}

impl ChunkedDecoder {
    /// Removes the coding from `bytes[from..]`; the body's bytes move down to `from`.
    pub(crate) fn decode(
        &mut self,
        bytes: &mut Vec<u8>,
        from: usize,
    ) -> Result<Decoded, ParseError> {
        let mut read = from;
        let mut written = from;
        while read < bytes.len() && self.state != State::Complete {
            if self.state != State::Data {
                self.process_framing_byte(bytes[read])?;
                read += 1;
                continue;
            }
            let run = self.remaining.min(bytes.len() - read);
            bytes.copy_within(read..read + run, written);
            read += run;
            written += run;
            self.remaining -= run;
            if self.remaining == 0 {
                self.state = State::DataCarriageReturn;
            }
        }
        bytes.copy_within(read.., written);
        bytes.truncate(bytes.len() - (read - written));
        Ok(Decoded {
            end: written,
            is_complete: self.state == State::Complete,
        })
    }

    /// Processes one byte of the framing.
    fn process_framing_byte(&mut self, byte: u8) -> Result<(), ParseError> {
        self.state = match (self.state, byte) {
            (State::Size, digit)
                if digit.is_ascii_hexdigit() && self.size_digits < MAX_SIZE_DIGITS =>
            {
                let value = char::from(digit).to_digit(16).unwrap_or(0) as usize;
                self.remaining = self.remaining * 16 + value;
                self.size_digits += 1;
                State::Size
            }
            (State::Size, b'\r') if self.size_digits > 0 => State::SizeEnd,
            (State::Size, b';' | b' ' | b'\t') if self.size_digits > 0 => State::Extension,
            (State::Extension, b'\r') => State::SizeEnd,
            (State::SizeEnd, b'\n') => self.end_size_line(),
            (State::DataCarriageReturn, b'\r') => State::DataLineFeed,
            (State::DataLineFeed, b'\n') => State::Size,
            (State::Trailer, b'\r') => State::TrailerEnd,
            (State::TrailerEnd, b'\n') => self.end_trailer_line(),
            (State::Extension | State::Trailer, other) if other != b'\n' => {
                self.skip_line_byte()?
            }
            _ => return Err(ParseError::Malformed),
        };
        Ok(())
    }

    fn end_size_line(&mut self) -> State {
        self.size_digits = 0;
        self.line_bytes = 0;
        if self.remaining == 0 {
            State::Trailer
        } else {
            State::Data
        }
    }

    /// An empty trailer line ends the body.
    fn end_trailer_line(&mut self) -> State {
        if self.line_bytes == 0 {
            return State::Complete;
        }
        self.line_bytes = 0;
        State::Trailer
    }

    fn skip_line_byte(&mut self) -> Result<State, ParseError> {
        if self.line_bytes >= MAX_SKIPPED_LINE_BYTES {
            return Err(ParseError::Malformed);
        }
        self.line_bytes += 1;
        Ok(self.state)
    }
}
