//! The encoding of vote messages. A message has 26 bytes: a first byte that no UTF-8 text contains, the fields in little-endian
//! byte order, and a four-byte checksum over all bytes before it.

use harrierdock_types::BuildId;
use thiserror::Error;

use crate::{Decision, RolloutStage, Vote, VoteMessage};

/// First byte of every vote message. It begins neither UTF-8 text nor any other message between gateways.
pub const FIRST_BYTE: u8 = 0xF9;
/// Version of the format. Messages of other versions are rejected.
const FORMAT_VERSION: u8 = 1;
/// Length of every vote message.
pub const MESSAGE_BYTES: usize = 26;
const CHECKSUM_OFFSET: usize = MESSAGE_BYTES - 4;

const NO_VOTE: u8 = 0;
const PROMOTE: u8 = 1;
const ROLL_BACK: u8 = 2;

/// Why bytes do not decode to a vote message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The length or the first byte is wrong. Holds the received length.
    #[error("not a vote message: received {0} bytes, expected {MESSAGE_BYTES} bytes that start with {FIRST_BYTE:#04x}: check for another program on the peers' addresses")]
    Length(usize),
    /// The format version is not the supported one. Holds the received version.
    #[error("unsupported vote format version {0}, expected {FORMAT_VERSION}: run the same version on all gateways of the fleet")]
    Version(u8),
    /// The checksum does not match the message.
    #[error("vote message has a wrong checksum: check the network between the gateways")]
    Checksum,
    /// The decision has no meaning in this version. Holds the received number.
    #[error("unknown vote decision {0}, expected 0, 1 or 2: run the same version on all gateways of the fleet")]
    Decision(u8),
}

/// The 32-bit FNV-1a hash.
fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    })
}

/// Encodes a message. Only the low three bytes of the stage number are kept.
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
    bytes[10..14].copy_from_slice(&message.sequence.to_le_bytes());
    bytes[14..18].copy_from_slice(&stage.build.0.to_le_bytes());
    bytes[18..21].copy_from_slice(&(stage.stage as u32).to_le_bytes()[..3]);
    bytes[21] = decision;
    let sum = checksum(&bytes[..CHECKSUM_OFFSET]);
    bytes[CHECKSUM_OFFSET..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

fn decode_little_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Decodes a message.
///
/// # Errors
/// Fails if the length, first byte, version, checksum or decision is invalid.
pub fn decode(bytes: &[u8]) -> Result<VoteMessage, DecodeError> {
    if bytes.len() != MESSAGE_BYTES || bytes[0] != FIRST_BYTE {
        return Err(DecodeError::Length(bytes.len()));
    }
    if bytes[1] != FORMAT_VERSION {
        return Err(DecodeError::Version(bytes[1]));
    }
    let sum = checksum(&bytes[..CHECKSUM_OFFSET]);
    if decode_little_endian(&bytes[CHECKSUM_OFFSET..]) != u64::from(sum) {
        return Err(DecodeError::Checksum);
    }
    let decision = match bytes[21] {
        NO_VOTE => None,
        PROMOTE => Some(Decision::Promote),
        ROLL_BACK => Some(Decision::RollBack),
        unknown => return Err(DecodeError::Decision(unknown)),
    };
    let stage = RolloutStage {
        build: BuildId(decode_little_endian(&bytes[14..18]) as u32),
        stage: decode_little_endian(&bytes[18..21]) as usize,
    };
    Ok(VoteMessage {
        incarnation: decode_little_endian(&bytes[2..10]),
        sequence: decode_little_endian(&bytes[10..14]) as u32,
        vote: decision.map(|decision| Vote { stage, decision }),
    })
}
