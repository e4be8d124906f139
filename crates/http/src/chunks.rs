//! The chunked coding, taken off in place.

use crate::Fault;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum At {
    #[default]
    Size,
    Extension,
    SizeEnd,
    Data,
    DataReturn,
    DataEnd,
    Trailer,
    TrailerEnd,
    Done,
}

/// Where in a chunked body its reader stands.
#[derive(Debug, Default)]
pub struct Chunks {
    at: At,
    left: usize,
    digits: usize,
    line: usize,
}

/// The longest size line's extension, and the longest trailer line, that is passed over.
const LINE_MOST: usize = 1024;

impl Chunks {
    /// Takes the coding off `bytes[from..]`; the body's bytes move down to `from`. Gives back where they end and
    /// whether the body is whole; what follows them then belongs to the next message.
    pub fn decode(&mut self, bytes: &mut Vec<u8>, from: usize) -> Result<(usize, bool), Fault> {
        let (mut read, mut written) = (from, from);
        while read < bytes.len() && self.at != At::Done {
            if self.at == At::Data {
                let run = self.left.min(bytes.len() - read);
                bytes.copy_within(read..read + run, written);
                (read, written, self.left) = (read + run, written + run, self.left - run);
                if self.left == 0 {
                    self.at = At::DataReturn;
                }
                continue;
            }
            self.step(bytes[read])?;
            read += 1;
        }
        bytes.copy_within(read.., written);
        bytes.truncate(bytes.len() - (read - written));
        Ok((written, self.at == At::Done))
    }

    fn step(&mut self, byte: u8) -> Result<(), Fault> {
        self.at = match (self.at, byte) {
            (At::Size, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') if self.digits < 8 => {
                let digit = char::from(byte).to_digit(16).unwrap_or(0) as usize;
                (self.left, self.digits) = (self.left * 16 + digit, self.digits + 1);
                At::Size
            }
            (At::Size, b'\r') if self.digits > 0 => At::SizeEnd,
            (At::Size, b';' | b' ' | b'\t') if self.digits > 0 => At::Extension,
            (At::Extension, b'\r') => At::SizeEnd,
            (At::Extension, b) if b != b'\n' && self.line < LINE_MOST => {
                self.line += 1;
                At::Extension
            }
            (At::SizeEnd, b'\n') => {
                (self.digits, self.line) = (0, 0);
                if self.left == 0 {
                    At::Trailer
                } else {
                    At::Data
                }
            }
            (At::DataReturn, b'\r') => At::DataEnd,
            (At::DataEnd, b'\n') => At::Size,
            (At::Trailer, b'\r') => At::TrailerEnd,
            (At::Trailer, b) if b != b'\n' && self.line < LINE_MOST => {
                self.line += 1;
                At::Trailer
            }
            (At::TrailerEnd, b'\n') if self.line == 0 => At::Done,
            (At::TrailerEnd, b'\n') => {
                self.line = 0;
                At::Trailer
            }
            _ => return Err(Fault::Malformed),
        };
        Ok(())
    }
}
