//! Access to the values of an event or of an endpoint list entry, both of which are JSON arrays.

use serde_json::Value;

use crate::error::EventError;

const HEX_DIGITS: usize = 16;

/// The values of an array, by index. A missing value is read as null.
#[derive(Clone, Copy)]
pub(crate) struct Row<'a>(pub(crate) &'a [Value]);

impl<'a> Row<'a> {
    pub(crate) fn value(self, at: usize) -> &'a Value {
        self.0.get(at).unwrap_or(&Value::Null)
    }

    pub(crate) fn integer(self, at: usize) -> Result<i64, EventError> {
        self.value(at).as_i64().ok_or(EventError::WrongValue {
            at,
            expected: "a whole number",
        })
    }

    pub(crate) fn count(self, at: usize) -> Result<usize, EventError> {
        let count = self.value(at).as_u64().ok_or(EventError::WrongValue {
            at,
            expected: "a count",
        })?;
        Ok(count as usize)
    }

    pub(crate) fn flag(self, at: usize) -> Result<bool, EventError> {
        self.value(at).as_bool().ok_or(EventError::WrongValue {
            at,
            expected: "true or false",
        })
    }

    pub(crate) fn text(self, at: usize) -> Result<&'a str, EventError> {
        self.value(at).as_str().ok_or(EventError::WrongValue {
            at,
            expected: "text",
        })
    }

    /// Reads a number of exactly 16 lowercase hexadecimal digits.
    pub(crate) fn hex(self, at: usize) -> Result<u64, EventError> {
        let wrong = EventError::WrongValue {
            at,
            expected: "16 hex digits",
        };
        let digits = self.text(at)?;
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if digits.len() != HEX_DIGITS || !digits.bytes().all(is_digit) {
            return Err(wrong);
        }
        u64::from_str_radix(digits, 16).map_err(|_| wrong)
    }

    pub(crate) fn integer_or_zero(self, at: usize) -> i64 {
        self.value(at).as_i64().unwrap_or(0)
    }
}
