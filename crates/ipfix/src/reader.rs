//! Reads messages by the templates that came before. Whatever comes in ends in records or an error.

use std::collections::BTreeMap;

/// Templates kept for each domain, fields in each, and domains, at the most.
const TEMPLATES_MOST: usize = 256;
const FIELDS_MOST: usize = 256;
const DOMAINS_MOST: usize = 64;

/// What stands in the place of an enterprise for scopes of NetFlow v9, whose types are numbered by themselves.
pub const V9_SCOPE: u32 = u32::MAX;

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Version(u16),
    /// It ends before it says it does, or says it is longer than it is.
    Length,
    /// A template or set that cannot be.
    Form,
    /// More templates, fields or domains than are kept.
    TooMany,
}

/// One record, field by field: enterprise (0 for IANA's), element, octets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub template: u16,
    /// How many of the first fields are a scope.
    pub scope: u16,
    pub fields: Vec<(u32, u16, Vec<u8>)>,
}

impl Record {
    /// The octets of one element.
    pub fn octets(&self, enterprise: u32, id: u16) -> Option<&[u8]> {
        self.fields
            .iter()
            .find(|f| f.0 == enterprise && f.1 == id)
            .map(|f| &f.2[..])
    }

    /// An element as a number of up to eight octets.
    pub fn number(&self, enterprise: u32, id: u16) -> Option<u64> {
        let octets = self.octets(enterprise, id).filter(|o| o.len() <= 8)?;
        Some(octets.iter().fold(0, |n, o| n << 8 | u64::from(*o)))
    }

    /// An element as text, without the noughts that NetFlow v9 puts behind it.
    pub fn text(&self, enterprise: u32, id: u16) -> Option<String> {
        let octets = self.octets(enterprise, id)?;
        Some(
            String::from_utf8_lossy(octets)
                .trim_end_matches('\0')
                .to_string(),
        )
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub version: u16,
    /// Unix seconds.
    pub time: u32,
    pub sequence: u32,
    pub domain: u32,
    pub records: Vec<Record>,
    /// Sets passed over because their template has not come.
    pub unknown_sets: usize,
}

#[derive(Clone)]
struct Held {
    scope: u16,
    fields: Vec<(u32, u16, u16)>,
}

/// Reads messages of one exporter, and keeps its templates within bounds.
#[derive(Default)]
pub struct Reader {
    templates: BTreeMap<u32, BTreeMap<u16, Held>>,
}

struct Bytes<'a>(&'a [u8]);

impl<'a> Bytes<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], Fault> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(Fault::Length)?;
        self.0 = rest;
        Ok(taken)
    }

    fn u16(&mut self) -> Result<u16, Fault> {
        self.take(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }

    fn u32(&mut self) -> Result<u32, Fault> {
        self.take(4)
            .map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }
}

impl Reader {
    /// The length that a message at the beginning of these bytes has, as soon as it can be told (IPFIX only).
    ///
    /// # Errors
    /// Says that no message begins here.
    pub fn length(bytes: &[u8]) -> Result<Option<usize>, Fault> {
        let mut head = Bytes(bytes);
        let (Ok(version), Ok(length)) = (head.u16(), head.u16()) else {
            return Ok(None);
        };
        match (version, usize::from(length)) {
            (10, length) if length >= 16 => Ok(Some(length)),
            (10, _) => Err(Fault::Length),
            (odd, _) => Err(Fault::Version(odd)),
        }
    }

    /// Forgets all templates, as a collector that has started anew.
    pub fn forget(&mut self) {
        self.templates.clear();
    }

    /// Reads one whole message, IPFIX or NetFlow v9.
    ///
    /// # Errors
    /// The first thing in it that cannot be; templates read before that are kept.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Message, Fault> {
        let mut rest = Bytes(bytes);
        let version = rest.u16()?;
        let second = rest.u16()?;
        let v9 = match version {
            10 if usize::from(second) == bytes.len() => false,
            10 => return Err(Fault::Length),
            9 => true,
            odd => return Err(Fault::Version(odd)),
        };
        if v9 {
            rest.u32()?;
        }
        let (time, sequence, domain) = (rest.u32()?, rest.u32()?, rest.u32()?);
        let (records, unknown_sets) = (Vec::new(), 0);
        let mut message = Message {
            version,
            time,
            sequence,
            domain,
            records,
            unknown_sets,
        };
        while !rest.0.is_empty() {
            let (id, length) = (rest.u16()?, usize::from(rest.u16()?));
            let set = Bytes(rest.take(length.checked_sub(4).ok_or(Fault::Length)?)?);
            match (v9, id) {
                (false, 2) | (true, 0) => self.learn(domain, set, v9, false)?,
                (false, 3) | (true, 1) => self.learn(domain, set, v9, true)?,
                (_, 256..) => self.data(&mut message, id, set)?,
                _ => return Err(Fault::Form),
            }
        }
        Ok(message)
    }

    fn learn(&mut self, domain: u32, mut set: Bytes, v9: bool, options: bool) -> Result<(), Fault> {
        if !self.templates.contains_key(&domain) && self.templates.len() >= DOMAINS_MOST {
            return Err(Fault::TooMany);
        }
        // What is left over, less than a template's head, is padding.
        while set.0.len() >= 4 {
            let id = set.u16()?;
            if id < 256 {
                return if id == 0 && set.0.iter().all(|b| *b == 0) {
                    Ok(())
                } else {
                    Err(Fault::Form)
                };
            }
            let (mut count, mut scope) = (usize::from(set.u16()?), 0);
            if options && v9 {
                (scope, count) = (count as u16 / 4, count / 4 + usize::from(set.u16()?) / 4);
            } else if options {
                scope = set.u16()?;
            }
            if count == 0 && !options {
                // A withdrawal (RFC 7011, 8.1).
                self.templates.entry(domain).or_default().remove(&id);
                continue;
            }
            if count > FIELDS_MOST || count == 0 || usize::from(scope) > count {
                return Err(Fault::TooMany);
            }
            let mut fields = Vec::with_capacity(count);
            for at in 0..count {
                let (element, length) = (set.u16()?, set.u16()?);
                let enterprise = if element & 0x8000 != 0 && !v9 {
                    set.u32()?
                } else {
                    0
                };
                // NetFlow v9 has no numbers of enterprises: its large types are taken for ours.
                let enterprise = if v9 && element & 0x8000 != 0 {
                    crate::ENTERPRISE
                } else {
                    enterprise
                };
                // Scopes of NetFlow v9 are numbered by themselves.
                let enterprise = if v9 && at < usize::from(scope) {
                    V9_SCOPE
                } else {
                    enterprise
                };
                fields.push((enterprise, element & 0x7fff, length));
            }
            let held = self.templates.entry(domain).or_default();
            if !held.contains_key(&id) && held.len() >= TEMPLATES_MOST {
                return Err(Fault::TooMany);
            }
            held.insert(id, Held { scope, fields });
        }
        Ok(())
    }

    fn data(&self, message: &mut Message, id: u16, mut set: Bytes) -> Result<(), Fault> {
        let Some(held) = self.templates.get(&message.domain).and_then(|t| t.get(&id)) else {
            message.unknown_sets += 1;
            return Ok(());
        };
        let least: usize = held
            .fields
            .iter()
            .map(|f| {
                if f.2 == crate::VARIABLE {
                    1
                } else {
                    usize::from(f.2)
                }
            })
            .sum();
        // Guards against a template of empty fields, whose records would never end.
        if least == 0 {
            return Err(Fault::Form);
        }
        while set.0.len() >= least {
            let mut fields = Vec::with_capacity(held.fields.len());
            for (enterprise, element, length) in &held.fields {
                let mut count = usize::from(*length);
                if *length == crate::VARIABLE {
                    count = usize::from(set.take(1)?[0]);
                    if count == 255 {
                        count = usize::from(set.u16()?);
                    }
                }
                fields.push((*enterprise, *element, set.take(count)?.to_vec()));
            }
            message.records.push(Record {
                template: id,
                scope: held.scope,
                fields,
            });
        }
        Ok(())
    }
}

/// How a file of messages ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Torn {
    Whole,
    /// The last message stops before its end, at this octet of the file.
    At(usize),
}

/// The messages of a file, and how it ends.
pub type Split<'a> = (Vec<&'a [u8]>, Torn);

/// The messages of a file (RFC 5655), and whether the last one is whole.
///
/// # Errors
/// Says at which octet no message begins where one should.
pub fn split_file(bytes: &[u8]) -> Result<Split<'_>, (usize, Fault)> {
    let (mut at, mut messages) = (0, Vec::new());
    while at < bytes.len() {
        match Reader::length(&bytes[at..]).map_err(|e| (at, e))? {
            Some(length) if at + length <= bytes.len() => {
                messages.push(&bytes[at..at + length]);
                at += length;
            }
            _ => return Ok((messages, Torn::At(at))),
        }
    }
    Ok((messages, Torn::Whole))
}
