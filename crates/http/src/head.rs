//! Message heads, and the body framing that they declare.

use httparse::{Header, Status, EMPTY_HEADER};

use crate::{ParseError, MAX_HEAD_BYTES};

const MAX_FIELDS: usize = 64;

const FIELD_CONNECTION: &str = "connection";
const FIELD_CONTENT_LENGTH: &str = "content-length";
const FIELD_EXPECT: &str = "expect";
const FIELD_TRANSFER_ENCODING: &str = "transfer-encoding";

/// The header fields of a message, in their original order and spelling.
pub struct HeaderFields<'b> {
    fields: [Header<'b>; MAX_FIELDS],
    count: usize,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(usize),
    /// The body ends with its last chunk.
    Chunked,
    /// The body ends when the connection is closed.
    UntilEnd,
}

/// The parsed head of a request. It borrows from the receive buffer.
pub struct RequestHead<'b> {
    /// The method, in the client's spelling.
    pub method: &'b str,
    /// The request target, in origin or absolute form.
    pub target: &'b str,
    /// The header fields, without the first line.
    pub fields: HeaderFields<'b>,
    /// The size in bytes, including the empty line at the end.
    pub size: usize,
    minor_version: u8,
}

/// The parsed head of a response. It borrows from the receive buffer.
pub struct ResponseHead<'b> {
    /// The status code, with 1xx for an interim response.
    pub status: u16,
    /// The header fields, without the first line.
    pub fields: HeaderFields<'b>,
    /// The size in bytes, including the empty line at the end.
    pub size: usize,
    minor_version: u8,
}

impl From<httparse::Error> for ParseError {
    fn from(error: httparse::Error) -> ParseError {
        match error {
            httparse::Error::TooManyHeaders => ParseError::HeadTooLarge,
            _ => ParseError::Malformed,
        }
    }
}

impl<'b> HeaderFields<'b> {
    fn values<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'b [u8]> + 's {
        let has_name = move |field: &&Header<'_>| field.name.eq_ignore_ascii_case(name);
        self.fields[..self.count]
            .iter()
            .filter(has_name)
            .map(|field| field.value)
    }

    /// The trimmed value of a field that may appear at most once; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// `Malformed` if the field appears twice or is not UTF-8.
    pub fn single(&self, name: &str) -> Result<Option<&'b str>, ParseError> {
        let mut values = self.values(name);
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(ParseError::Malformed);
        }
        let text = std::str::from_utf8(value).map_err(|_| ParseError::Malformed)?;
        Ok(Some(text.trim()))
    }

    /// Whether a comma-separated field contains this token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let is_token = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.values(name)
            .any(|value| value.split(|byte| *byte == b',').any(is_token))
    }

    fn keeps_alive(&self, minor_version: u8) -> bool {
        let is_default = minor_version > 0;
        !self.has_token(FIELD_CONNECTION, "close")
            && (is_default || self.has_token(FIELD_CONNECTION, "keep-alive"))
    }

    /// The body framing that the fields declare. Ambiguous framing (both a coding and a length, two lengths, a coding other
    /// than chunked) is rejected, to prevent request smuggling.
    fn framing(&self, minor_version: u8) -> Result<Option<Framing>, ParseError> {
        let coding = self.single(FIELD_TRANSFER_ENCODING)?;
        let length = self.single(FIELD_CONTENT_LENGTH)?;
        match (coding, length) {
            (None, None) => Ok(None),
            (Some(_), Some(_)) => Err(ParseError::Malformed),
            (Some(_), None) if minor_version == 0 => Err(ParseError::Malformed),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Some(Framing::Chunked))
            }
            (Some(_), None) => Err(ParseError::UnknownCoding),
            (None, Some(digits)) => parse_length(digits).map(Some),
        }
    }
}

fn parse_length(digits: &str) -> Result<Framing, ParseError> {
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::Malformed);
    }
    digits
        .parse()
        .map(Framing::Length)
        .map_err(|_| ParseError::BodyTooLarge)
}

/// Parses a head, and returns its fields and its size in bytes. `None` while the head is incomplete.
fn parse_fields<'b>(
    parse_head: impl FnOnce(&mut [Header<'b>]) -> httparse::Result<usize>,
) -> Result<Option<(HeaderFields<'b>, usize)>, ParseError> {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let Status::Complete(size) = parse_head(&mut fields)? else {
        return Ok(None);
    };
    if size > MAX_HEAD_BYTES {
        return Err(ParseError::HeadTooLarge);
    }
    let count = fields
        .iter()
        .position(|field| field.name.is_empty())
        .unwrap_or(MAX_FIELDS);
    Ok(Some((HeaderFields { fields, count }, size)))
}

impl<'b> RequestHead<'b> {
    /// Parses the head at the start of `bytes`. `None` while the head is incomplete.
    ///
    /// # Errors
    ///
    /// The head is malformed or too large.
    pub fn parse(bytes: &'b [u8]) -> Result<Option<RequestHead<'b>>, ParseError> {
        let mut method = "";
        let mut target = "";
        let mut minor_version = 1;
        let parsed = parse_fields(|fields| {
            let mut request = httparse::Request::new(fields);
            let status = request.parse(bytes)?;
            method = request.method.unwrap_or("");
            target = request.path.unwrap_or("");
            minor_version = request.version.unwrap_or(1);
            Ok(status)
        })?;
        Ok(parsed.map(|(fields, size)| RequestHead {
            method,
            target,
            fields,
            size,
            minor_version,
        }))
    }

    /// How the end of the body is determined.
    ///
    /// # Errors
    ///
    /// The fields are ambiguous, or the length is not a number that fits.
    pub fn framing(&self) -> Result<Framing, ParseError> {
        Ok(self
            .fields
            .framing(self.minor_version)?
            .unwrap_or(Framing::Length(0)))
    }

    /// Whether the client requests a persistent connection.
    pub fn keeps_alive(&self) -> bool {
        self.fields.keeps_alive(self.minor_version)
    }

    /// Whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.minor_version > 0 && self.fields.has_token(FIELD_EXPECT, "100-continue")
    }

    /// The path of the target, in origin or absolute form.
    pub fn path(&self) -> &'b str {
        let path = self
            .target
            .split_once('?')
            .map_or(self.target, |(path, _)| path);
        let Some((_, authority_and_path)) = path.split_once("://") else {
            return path;
        };
        match authority_and_path.find('/') {
            Some(at) => &authority_and_path[at..],
            None => "/",
        }
    }

    /// The value of the first query parameter of this name.
    pub fn query_parameter(&self, name: &str) -> Option<&'b str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

impl<'b> ResponseHead<'b> {
    /// Parses the head at the start of `bytes`. `None` while the head is incomplete.
    ///
    /// # Errors
    ///
    /// The head is malformed or too large.
    pub fn parse(bytes: &'b [u8]) -> Result<Option<ResponseHead<'b>>, ParseError> {
        let mut status = 0;
        let mut minor_version = 1;
        let parsed = parse_fields(|fields| {
            let mut response = httparse::Response::new(fields);
            let parsed = response.parse(bytes)?;
            status = response.code.unwrap_or(0);
            minor_version = response.version.unwrap_or(1);
            Ok(parsed)
        })?;
        Ok(parsed.map(|(fields, size)| ResponseHead {
            status,
            fields,
            size,
            minor_version,
        }))
    }

    /// Whether this is an interim response (1xx), which a final one follows.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// How the end of the body is determined.
    ///
    /// # Errors
    ///
    /// The fields are ambiguous, or the length is not a number that fits.
    pub fn framing(&self) -> Result<Framing, ParseError> {
        if self.status < 200 || matches!(self.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(self
            .fields
            .framing(self.minor_version)?
            .unwrap_or(Framing::UntilEnd))
    }

    /// Whether the server keeps the connection open.
    pub fn keeps_alive(&self) -> bool {
        self.fields.keeps_alive(self.minor_version)
    }
}
