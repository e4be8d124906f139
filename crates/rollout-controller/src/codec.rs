//! How a ballot is written: 26 bytes, the first of which no text begins with, the last four a sum over the rest.

use harrierdock_types::BuildId;
use thiserror::Error;

use crate::{Ballot, Told, Wave, Way};

/// Tells ballots apart from text, which never begins with it, and from the other messages of a fleet.
pub const FIRST: u8 = 0xF9;
/// The form: another one cannot be read by this version, and is refused.
const FORM: u8 = 1;
pub const LENGTH: usize = 26;
const SUM: usize = LENGTH - 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FormError {
    #[error(
        "a ballot has {LENGTH} bytes, not {0}: look for another program on the peers' addresses"
    )]
    Length(usize),
    #[error("a ballot's form is {FORM}, not {0}: bring the gateways of the fleet to one version")]
    Form(u8),
    #[error("a ballot's sum does not fit: look at the network between the gateways")]
    Sum,
    #[error(
        "a ballot's way is 0, 1 or 2, not {0}: bring the gateways of the fleet to one version"
    )]
    Way(u8),
}

/// FNV-1a over bytes.
fn sum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |h, b| {
        (h ^ u32::from(*b)).wrapping_mul(0x0100_0193)
    })
}

pub fn write(told: &Told) -> [u8; LENGTH] {
    let mut bytes = [0; LENGTH];
    let (wave, way) = match told.ballot {
        None => (
            Wave {
                build: BuildId(0),
                stage: 0,
            },
            0,
        ),
        Some(Ballot { wave, way: Way::On }) => (wave, 1),
        Some(Ballot {
            wave,
            way: Way::Back,
        }) => (wave, 2),
    };
    (bytes[0], bytes[1]) = (FIRST, FORM);
    bytes[2..10].copy_from_slice(&told.incarnation.to_le_bytes());
    bytes[10..14].copy_from_slice(&told.number.to_le_bytes());
    bytes[14..18].copy_from_slice(&wave.build.0.to_le_bytes());
    bytes[18..21].copy_from_slice(&(wave.stage as u32).to_le_bytes()[..3]);
    bytes[21] = way;
    let sum = sum(&bytes[..SUM]);
    bytes[SUM..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

fn number(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |all, b| all << 8 | u64::from(*b))
}

/// Reads a ballot.
///
/// # Errors
/// What does not fit: length, form, sum or way.
pub fn read(bytes: &[u8]) -> Result<Told, FormError> {
    if bytes.len() != LENGTH || bytes[0] != FIRST {
        return Err(FormError::Length(bytes.len()));
    }
    if bytes[1] != FORM {
        return Err(FormError::Form(bytes[1]));
    }
    if number(&bytes[SUM..]) != u64::from(sum(&bytes[..SUM])) {
        return Err(FormError::Sum);
    }
    let wave = Wave {
        build: BuildId(number(&bytes[14..18]) as u32),
        stage: number(&bytes[18..21]) as usize,
    };
    let ballot = match bytes[21] {
        0 => None,
        1 => Some(Ballot { wave, way: Way::On }),
        2 => Some(Ballot {
            wave,
            way: Way::Back,
        }),
        odd => return Err(FormError::Way(odd)),
    };
    Ok(Told {
        incarnation: number(&bytes[2..10]),
        number: number(&bytes[10..14]) as u32,
        ballot,
    })
}
