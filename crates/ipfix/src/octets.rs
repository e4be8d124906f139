//! Reads big-endian numbers from the front of a slice, and appends them to a buffer.

use crate::DecodeError;

/// The octets not read yet.
pub(crate) struct Octets<'a>(pub(crate) &'a [u8]);

impl<'a> Octets<'a> {
    pub(crate) fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (front, rest) = self
            .0
            .split_at_checked(count)
            .ok_or(DecodeError::WrongLength)?;
        self.0 = rest;
        Ok(front)
    }

    pub(crate) fn u16(&mut self) -> Result<u16, DecodeError> {
        self.take(2)
            .map(|octets| u16::from_be_bytes([octets[0], octets[1]]))
    }

    pub(crate) fn u32(&mut self) -> Result<u32, DecodeError> {
        self.take(4)
            .map(|octets| u32::from_be_bytes([octets[0], octets[1], octets[2], octets[3]]))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

pub(crate) fn put_u16(buffer: &mut Vec<u8>, number: u16) {
    buffer.extend_from_slice(&number.to_be_bytes());
}
