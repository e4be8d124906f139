//! Messages of a fleet, and their form: a first byte that no text in UTF-8 has, the form's number, the
//! message by postcard, and a sum of all that. None is longer than 256 bytes. Nothing here decides.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Duty, Epoch};

/// The longest message, in bytes: what goes into a datagram of the told roads.
pub const MOST: usize = 256;
/// The first byte. Text in UTF-8 has none from 0xF5 on, so a build that expects text refuses it plainly.
pub const FIRST: u8 = 0xF7;
/// The number of this form. It is raised when the meaning of a field changes.
pub const FORM: u8 = 1;
/// Holdings told in one piece of hearsay at the most.
pub const HEARSAY: usize = 8;
const SUM: usize = 4;

/// A vote asked for or given, or hearsay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Of the sender's process: Unix time in milliseconds at its start.
    pub incarnation: u64,
    /// The number of the sender's electorate.
    pub electorate: u32,
    /// A sum of its members, so that two told unlike lists under one number count no votes of each other.
    pub digest: u8,
    pub body: Body,
}

/// Which holding an answer is about: the asker's epoch, and which of the asker's processes asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    pub epoch: Epoch,
    /// The asker's incarnation in few bits.
    pub asker: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    pub duty: Duty,
    pub epoch: Epoch,
    /// The holder by the number of its name; 0 if it gave the duty up.
    pub holder: u32,
    /// For how long the lease ran yet, in milliseconds, by whoever tells it.
    pub left_ms: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Would the elector let this gateway hold the duty? `after` is a holding whose holder has passed it on.
    Ask {
        duty: Duty,
        epoch: Epoch,
        after: Option<Epoch>,
    },
    /// It would: it lets no older one have it from now on.
    Open { duty: Duty, ballot: Ballot },
    /// Hold it for this long.
    Take {
        duty: Duty,
        epoch: Epoch,
        round: u16,
        lease_ms: u16,
    },
    Granted {
        duty: Duty,
        ballot: Ballot,
        round: u16,
        waiting: Option<u32>,
    },
    /// Not now. `epoch` is the newest that the elector knows of; `left_ms` is how long another holds it yet;
    /// `place` is how many that wait are heard before the asker.
    Held {
        duty: Duty,
        ballot: Ballot,
        epoch: Epoch,
        left_ms: u16,
        place: u8,
        holder: u32,
    },
    /// The holder gives it up.
    Release { duty: Duty, epoch: Epoch },
    /// The holder gives it up, and whoever reads this may have it.
    Pass { duty: Duty, epoch: Epoch },
    /// Who holds what, as far as the sender has heard.
    KnownLeases { holdings: Vec<Holding> },
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unread {
    #[error("{len} bytes are no message of a fleet: look for another program that sends here")]
    Length { len: usize },
    #[error(
        "the first byte is {byte:#04x}: this is mail of another kind, or of a build without duties"
    )]
    Kind { byte: u8 },
    #[error(
        "form {form} is not known, {FORM} is: bring the older of the two builds up to the newer"
    )]
    Form { form: u8 },
    #[error(
        "the sum does not match: the message was garbled on its way; look at the road if it happens often"
    )]
    Garbled,
    #[error("the message has a good sum but no known content: a newer build has sent it under this form")]
    Content,
}

/// FNV-1a with 32 bits. Any change within one byte changes the sum; others pass once in four billion.
fn sum(bytes: &[u8]) -> [u8; SUM] {
    let hash = bytes.iter().fold(0x811c_9dc5_u32, |h, b| {
        (h ^ u32::from(*b)).wrapping_mul(0x0100_0193)
    });
    hash.to_le_bytes()
}

pub fn write(message: &Message) -> Vec<u8> {
    let mut bytes = vec![FIRST, FORM];
    // Writing plain values to memory does not fail; an empty message would be refused by whoever reads it.
    bytes.extend(postcard::to_stdvec(message).unwrap_or_default());
    bytes.extend(sum(&bytes));
    bytes
}

pub fn read(bytes: &[u8]) -> Result<Message, Unread> {
    let len = bytes.len();
    let first = *bytes.first().ok_or(Unread::Length { len })?;
    if first != FIRST {
        return Err(Unread::Kind { byte: first });
    }
    if !(2 + SUM..=MOST).contains(&len) {
        return Err(Unread::Length { len });
    }
    if bytes[1] != FORM {
        return Err(Unread::Form { form: bytes[1] });
    }
    let (text, told) = bytes.split_at(len - SUM);
    // Guards against a vote made by noise: a garbled one could be for another duty, or of another epoch.
    if sum(text) != told {
        return Err(Unread::Garbled);
    }
    match postcard::take_from_bytes::<Message>(&text[2..]) {
        Ok((message, [])) if message.bounded() => Ok(message),
        _ => Err(Unread::Content),
    }
}

impl Message {
    fn bounded(&self) -> bool {
        !matches!(&self.body, Body::KnownLeases { holdings } if holdings.len() > HEARSAY)
    }
}
