//! Finds the end of a JSON document that spans several lines.

/// The deepest nesting that the JSON parser accepts.
const MAX_NESTING: usize = 128;

/// The text cannot be the beginning of a JSON document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MalformedDocument;

/// Tracks the brackets of a document whose text arrives in pieces. Each byte is examined once. The values between the brackets
/// are left to the parser.
#[derive(Default)]
pub(crate) struct JsonBoundary {
    /// The open brackets, outermost first.
    open: Vec<u8>,
    is_in_string: bool,
    is_escaped: bool,
    /// The last byte that is neither white space nor part of a string.
    previous: u8,
}

impl JsonBoundary {
    /// Whether every bracket and string is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.open.is_empty() && !self.is_in_string
    }

    /// Examines the next piece of the text.
    ///
    /// # Errors
    ///
    /// No document continues like this.
    pub(crate) fn advance(&mut self, piece: &[u8]) -> Result<(), MalformedDocument> {
        piece.iter().try_for_each(|byte| self.advance_byte(*byte))
    }

    fn advance_byte(&mut self, byte: u8) -> Result<(), MalformedDocument> {
        if self.is_in_string {
            return self.advance_string(byte);
        }
        match byte {
            b'"' => self.is_in_string = true,
            b'{' | b'[' => self.open_bracket(byte)?,
            b'}' => self.close_bracket(b'{')?,
            b']' => self.close_bracket(b'[')?,
            _ => {}
        }
        if !byte.is_ascii_whitespace() {
            self.previous = byte;
        }
        Ok(())
    }

    fn advance_string(&mut self, byte: u8) -> Result<(), MalformedDocument> {
        match byte {
            b'\n' => return Err(MalformedDocument),
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' => self.is_escaped = true,
            b'"' => self.is_in_string = false,
            _ => {}
        }
        Ok(())
    }

    /// Opens a nested value. In an object it follows a colon, in an array the opening bracket or a comma.
    fn open_bracket(&mut self, byte: u8) -> Result<(), MalformedDocument> {
        let is_allowed = match self.open.last() {
            None => true,
            Some(b'{') => self.previous == b':',
            Some(_) => matches!(self.previous, b'[' | b','),
        };
        if !is_allowed || self.open.len() == MAX_NESTING {
            return Err(MalformedDocument);
        }
        self.open.push(byte);
        Ok(())
    }

    fn close_bracket(&mut self, opening: u8) -> Result<(), MalformedDocument> {
        if self.open.pop() != Some(opening) {
            return Err(MalformedDocument);
        }
        Ok(())
    }
}
