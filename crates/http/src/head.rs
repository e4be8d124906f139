//! The first lines of requests and answers, and what they say of the body behind them.

use httparse::{Error, Header, Status, EMPTY_HEADER};

use crate::{Fault, BODY_MOST, HEAD_MOST};

const FIELDS_MOST: usize = 64;

/// The fields of a head, as they were written.
pub struct Fields<'b> {
    all: [Header<'b>; FIELDS_MOST],
    count: usize,
}

/// How far a body goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    UntilEnd,
}

pub struct RequestHead<'b> {
    pub method: &'b str,
    pub target: &'b str,
    pub fields: Fields<'b>,
    pub size: usize,
    minor: u8,
}

pub struct AnswerHead<'b> {
    pub status: u16,
    pub fields: Fields<'b>,
    pub size: usize,
    minor: u8,
}

fn fault(error: Error) -> Fault {
    match error {
        Error::TooManyHeaders => Fault::HeadTooLarge,
        _ => Fault::Malformed,
    }
}

impl<'b> Fields<'b> {
    fn named<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'b [u8]> + 's {
        let of_name = move |h: &&Header| h.name.eq_ignore_ascii_case(name);
        self.all[..self.count].iter().filter(of_name).map(|h| h.value)
    }

    /// The field's value, if it stands there once, as text.
    pub fn one(&self, name: &str) -> Result<Option<&'b str>, Fault> {
        let mut values = self.named(name);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(Fault::Malformed);
        }
        std::str::from_utf8(value).map(|v| Some(v.trim())).map_err(|_| Fault::Malformed)
    }

    pub fn says(&self, name: &str, token: &str) -> bool {
        let said =
            |v: &[u8]| v.split(|b| *b == b',').any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()));
        self.named(name).any(said)
    }

    fn keeps(&self, minor: u8) -> bool {
        !self.says("connection", "close") && (minor > 0 || self.says("connection", "keep-alive"))
    }

    /// What the fields say of the body. Guards against two readers who part a message in two ways: both kinds
    /// of length, two lengths, or a coding that is not plainly chunked are refused.
    fn framing(&self, minor: u8) -> Result<Option<Framing>, Fault> {
        let (coding, length) = (self.one("transfer-encoding")?, self.one("content-length")?);
        match (coding, length) {
            (None, None) => Ok(None),
            (Some(_), Some(_)) => Err(Fault::Malformed),
            (Some(_), None) if minor == 0 => Err(Fault::Malformed),
            (Some(c), None) if c.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
            (Some(_), None) => Err(Fault::UnknownCoding),
            (None, Some(digits)) if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) => {
                Err(Fault::Malformed)
            }
            (None, Some(digits)) => match digits.parse() {
                Ok(length) if length <= BODY_MOST => Ok(Some(Framing::Length(length))),
                _ => Err(Fault::BodyTooLarge),
            },
        }
    }
}

/// Reads a head into room for its fields; none while it is not whole.
fn fields<'b>(
    read: impl FnOnce(&mut [Header<'b>]) -> Result<Status<usize>, Error>,
) -> Result<Option<(Fields<'b>, usize)>, Fault> {
    let mut all = [EMPTY_HEADER; FIELDS_MOST];
    let Status::Complete(size) = read(&mut all).map_err(fault)? else { return Ok(None) };
    if size > HEAD_MOST {
        return Err(Fault::HeadTooLarge);
    }
    let count = all.iter().position(|h| h.name.is_empty()).unwrap_or(FIELDS_MOST);
    Ok(Some((Fields { all, count }, size)))
}

impl<'b> RequestHead<'b> {
    pub fn read(bytes: &'b [u8]) -> Result<Option<RequestHead<'b>>, Fault> {
        let (mut method, mut target, mut minor) = ("", "", 1);
        let found = fields(|all| {
            let mut request = httparse::Request::new(all);
            let status = request.parse(bytes)?;
            method = request.method.unwrap_or("");
            target = request.path.unwrap_or("");
            minor = request.version.unwrap_or(1);
            Ok(status)
        })?;
        Ok(found.map(|(fields, size)| RequestHead { method, target, fields, size, minor }))
    }

    pub fn framing(&self) -> Result<Framing, Fault> {
        Ok(self.fields.framing(self.minor)?.unwrap_or(Framing::Length(0)))
    }

    pub fn keeps(&self) -> bool {
        self.fields.keeps(self.minor)
    }

    pub fn awaits_continue(&self) -> bool {
        self.minor > 0 && self.fields.says("expect", "100-continue")
    }

    /// The target's path, whether or not the authority stands before it.
    pub fn path(&self) -> &'b str {
        let path = self.target.split_once('?').map_or(self.target, |(path, _)| path);
        let Some((_, rest)) = path.split_once("://") else { return path };
        rest.find('/').map_or("/", |at| &rest[at..])
    }

    /// The first query parameter of this name.
    pub fn parameter(&self, name: &str) -> Option<&'b str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|p| p.0 == name).map(|p| p.1)
    }
}

impl<'b> AnswerHead<'b> {
    pub fn read(bytes: &'b [u8]) -> Result<Option<AnswerHead<'b>>, Fault> {
        let (mut status, mut minor) = (0, 1);
        let found = fields(|all| {
            let mut answer = httparse::Response::new(all);
            let read = answer.parse(bytes)?;
            (status, minor) = (answer.code.unwrap_or(0), answer.version.unwrap_or(1));
            Ok(read)
        })?;
        Ok(found.map(|(fields, size)| AnswerHead { status, fields, size, minor }))
    }

    pub fn framing(&self) -> Result<Framing, Fault> {
        if self.status < 200 || matches!(self.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(self.fields.framing(self.minor)?.unwrap_or(Framing::UntilEnd))
    }

    pub fn keeps(&self) -> bool {
        self.fields.keeps(self.minor)
    }
}
