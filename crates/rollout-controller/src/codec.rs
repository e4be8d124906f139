//! The encoding of votes: 26 bytes, the first of which no text begins with, the last four a checksum over the rest.

use harrierdock_types::BuildId;
use thiserror::Error;

use crate::{Decision, RolloutStage, Vote, VoteMessage};

/// The first byte. No text begins with it, nor does another message between gateways.
pub const FIRST_BYTE: u8 = 0xF9;
/// The format's version: another one is refused.
const FORMAT_VERSION: u8 = 1;
/// The length of each message.
pub const MESSAGE_BYTES: usize = 26;
const CHECKSUM_OFFSET: usize = MESSAGE_BYTES - 4;

const NO_VOTE: u8 = 0;
const PROMOTE: u8 = 1;
const ROLL_BACK: u8 = 2;

/// Why bytes are no vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Another length, or another kind of message.
    #[error("a ballot has {MESSAGE_BYTES} bytes, not {0}: look for another program on the peers' addresses")]
    Length(usize),
    /// Another version of the format.
    #[error("a ballot's form is {FORMAT_VERSION}, not {0}: bring the gateways of the fleet to one version")]
    Version(u8),
    /// The bytes were changed on their way.
    #[error("a ballot's sum does not fit: look at the network between the gateways")]
    Checksum,
    /// An unknown decision.
    #[error(
        "a ballot's way is 0, 1 or 2, not {0}: bring the gateways of the fleet to one version"
    )]
    Decision(u8),
}

/// FNV-1a with 32 bits.
fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    })
}

/// Encodes a message. A stage's number has three bytes.
pub fn encode(message: &VoteMessage) -> [u8; MESSAGE_BYTES] {
    let no_stage = RolloutStage {
        build: BuildId(0),
        stage: 0,
    };
    let stage = message.vote.map_or(no_stage, |vote| vote.stage);
    let decision = match message.vote.map(|vote| vote.decision) {
        None => NO_VOTE,
        Some(Decision::Promote) => PROMOTE,
        Some(Decision::RollBack) => ROLL_BACK,
    };
    let mut bytes = [0; MESSAGE_BYTES];
    bytes[0] = FIRST_BYTE;
    bytes[1] = FORMAT_VERSION;
    bytes[2..10].copy_from_slice(&message.incarnation.to_le_bytes());
    bytes[10..14].copy_from_slice(&message.number.to_le_bytes());
    bytes[14..18].copy_from_slice(&stage.build.0.to_le_bytes());
    bytes[18..21].copy_from_slice(&(stage.stage as u32).to_le_bytes()[..3]);
    bytes[21] = decision;
    let sum = checksum(&bytes[..CHECKSUM_OFFSET]);
    bytes[CHECKSUM_OFFSET..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

fn little_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Decodes a message.
///
/// # Errors
/// The length, version, checksum or decision does not fit.
pub fn decode(bytes: &[u8]) -> Result<VoteMessage, DecodeError> {
    if bytes.len() != MESSAGE_BYTES || bytes[0] != FIRST_BYTE {
        return Err(DecodeError::Length(bytes.len()));
    }
    if bytes[1] != FORMAT_VERSION {
        return Err(DecodeError::Version(bytes[1]));
    }
    let sum = checksum(&bytes[..CHECKSUM_OFFSET]);
    if little_endian(&bytes[CHECKSUM_OFFSET..]) != u64::from(sum) {
        return Err(DecodeError::Checksum);
    }
    let decision = match bytes[21] {
        NO_VOTE => None,
        PROMOTE => Some(Decision::Promote),
        ROLL_BACK => Some(Decision::RollBack),
        unknown => return Err(DecodeError::Decision(unknown)),
    };
    let stage = RolloutStage {
        build: BuildId(little_endian(&bytes[14..18]) as u32),
        stage: little_endian(&bytes[18..21]) as usize,
    };
    Ok(VoteMessage {
        incarnation: little_endian(&bytes[2..10]),
        number: little_endian(&bytes[10..14]) as u32,
        vote: decision.map(|decision| Vote { stage, decision }),
    })
}
