//! How messages between gateways are written: short text, of at most 256 bytes. Nothing here decides.

use crate::interface::{Arm, Fate, Hearsay, Message, Outcome};

/// How many fates fit one message.
pub const MOST_FATES: usize = 40;

/// How many paces fit one message.
pub const MOST_PACES: usize = 60;

const DIGITS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
const FATES: [Fate; 10] = [
    Fate::Ended(Outcome::Served),
    Fate::Ended(Outcome::Errored),
    Fate::Ended(Outcome::Full),
    Fate::Ended(Outcome::TimedOut),
    Fate::Ended(Outcome::ConnectFailed),
    Fate::Ended(Outcome::Reset),
    Fate::Ended(Outcome::Recalled),
    Fate::Ended(Outcome::Moot),
    Fate::Unsent,
    Fate::Complaint,
];
/// Times are written in eighths of an octave, the SLA time itself being the last within it.
const SLA_STEP: f64 = 40.0;
const OCTAVE: f64 = 8.0;

fn digit(text: u8) -> Option<u64> {
    DIGITS.iter().position(|d| *d == text).map(|d| d as u64)
}

fn write_digits(bits: u64, count: usize, text: &mut String) {
    text.extend((0..count).rev().map(|at| char::from(DIGITS[(bits >> (6 * at) & 63) as usize])));
}

fn read_digits(text: &[u8], count: usize) -> Option<u64> {
    let bits = || text.iter().try_fold(0, |all, d| digit(*d).map(|d| all << 6 | d));
    (text.len() == count).then(bits).flatten()
}

/// Six digits of six bits: the server's mark, the build's low bits, the product, the fate, the time.
fn write_fate(told: &Hearsay, text: &mut String) {
    let fate = FATES.iter().position(|f| *f == told.fate).unwrap_or(0) as u64;
    let step = (told.lag.max(1e-6).log2() * OCTAVE).ceil() + SLA_STEP;
    let time = step.clamp(0.0, 63.0) as u64;
    let parts = [(u64::from(told.mark), 16), (u64::from(told.build) & 63, 6), (told.product as u64 & 15, 4)];
    let bits = parts.iter().chain(&[(fate, 4), (time, 6)]).fold(0, |all, (part, wide)| all << wide | part);
    write_digits(bits, 6, text);
}

fn read_fate(text: &[u8]) -> Option<Hearsay> {
    let bits = read_digits(text, 6)?;
    let step = (bits & 63) as f64 - 0.5 - SLA_STEP;
    Some(Hearsay {
        lag: (step / OCTAVE).exp2(),
        fate: *FATES.get((bits >> 6 & 15) as usize)?,
        product: (bits >> 10 & 15) as usize,
        build: (bits >> 14 & 63) as u32,
        mark: (bits >> 20 & 0xffff) as u16,
    })
}

/// Four digits: the server's mark, and its pace in eighths of an octave.
fn write_pace((mark, pace): &(u16, f64), text: &mut String) {
    let step = (pace.max(1e-6).log2() * OCTAVE).round() + 128.0;
    write_digits(u64::from(*mark) << 8 | step.clamp(0.0, 255.0) as u64, 4, text);
}

fn read_pace(text: &[u8]) -> Option<(u16, f64)> {
    let bits = read_digits(text, 4)?;
    Some(((bits >> 8) as u16, (((bits & 255) as f64 - 128.0) / OCTAVE).exp2()))
}

pub fn write(message: &Message) -> String {
    match message {
        Message::Drop { build, stage, drops, arm } => {
            let arm = if *arm == Arm::Trial { "t" } else { "e" };
            format!("{build}.{stage}.{drops}.{arm}")
        }
        Message::Fates { taken, fresh, open, fates } => {
            let mut text = format!("{taken}.{fresh}.{open}:");
            fates.iter().for_each(|f| write_fate(f, &mut text));
            text
        }
        Message::Paces { shed, paces } => {
            let mut text = String::from("/");
            write_digits((shed.clamp(0.0, 1.0) * 63.0) as u64, 1, &mut text);
            paces.iter().for_each(|p| write_pace(p, &mut text));
            text
        }
    }
}

/// A message of another kind or version says nothing.
pub fn read(text: &str) -> Option<Message> {
    if let Some((counts, fates)) = text.split_once(':') {
        let counts: Vec<usize> = counts.split('.').map(|n| n.parse().ok()).collect::<Option<_>>()?;
        let &[taken, fresh, open] = &counts[..] else { return None };
        let fates = fates.as_bytes().chunks(6).map(read_fate).collect::<Option<Vec<_>>>()?;
        return (fates.len() <= MOST_FATES).then_some(Message::Fates { taken, fresh, open, fates });
    }
    if let Some(paces) = text.strip_prefix('/') {
        let (shed, paces) = paces.as_bytes().split_at_checked(1)?;
        let shed = read_digits(shed, 1)? as f64 / 63.0;
        let paces = paces.chunks(4).map(read_pace).collect::<Option<Vec<_>>>()?;
        return Some(Message::Paces { shed, paces });
    }
    let mut parts = text.split('.');
    let (build, stage) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    let drops = parts.next()?.parse().ok()?;
    let arm = match parts.next()? {
        "t" => Arm::Trial,
        "e" => Arm::Earlier,
        _ => return None,
    };
    Some(Message::Drop { build, stage, drops, arm })
}
