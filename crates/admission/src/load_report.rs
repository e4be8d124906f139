//! What gateways tell each other, and its form: at most 256 bytes, the first of which no text mail begins
//! with. Counts are written as logarithms in a byte, so nothing absurd fits: no NaN, nothing negative, no
//! infinity.

use thiserror::Error;

use crate::latency_histogram::{Sketch, BUCKETS};

/// Builds that know only text mail refuse a message that begins so.
pub const MARK: u8 = 0xF7;
const VERSION: u8 = 1;
pub const MOST_BYTES: usize = 256;
pub const MOST_PRODUCTS: usize = 16;
pub const MOST_ZONES: usize = 8;
pub const MOST_TENANTS: usize = 16;
const CHECK: usize = 2;
/// A code is twelve steps an octave: 6% apart; the highest stands for some 620 thousand.
const STEPS: f32 = 12.0;
const FINE: f32 = 4.0;

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Unreadable {
    #[error("the message is cut short at byte {at}: look for a relay that cuts datagrams under 256 bytes")]
    Short { at: usize },
    #[error(
        "the message is no admission news (first byte {first:#04x}): look for a stray sender on this port"
    )]
    Other { first: u8 },
    #[error(
        "admission news of version {version}, this build reads {VERSION}: finish the roll-out"
    )]
    Version { version: u8 },
    #[error("the message is garbled: look at the line to its sender if this goes on")]
    Garbled,
    #[error(
        "news of {classes} products, {zones} zones, {tenants} tenants: give all gateways the same settings"
    )]
    Size {
        classes: usize,
        zones: usize,
        tenants: usize,
    },
}

/// What one gateway has seen lately of its own: decayed counts, and sketches by request class and zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    pub offered: Vec<f32>,
    pub tenants: Vec<f32>,
    /// Submissions out now, and answers lately, by zone.
    pub open: Vec<f32>,
    pub answered: Vec<f32>,
    /// By request class, then zone.
    pub sketches: Vec<Sketch>,
}

impl Figures {
    pub fn new(classes: usize, zones: usize, tenants: usize) -> Figures {
        Figures {
            offered: vec![0.0; classes],
            tenants: vec![0.0; tenants],
            open: vec![0.0; zones],
            answered: vec![0.0; zones],
            sketches: vec![Sketch::default(); classes * zones],
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    pub incarnation: u32,
    pub number: u32,
    /// The part of all offered requests that its sender holds to be borne; none if it knows nothing.
    pub view: Option<f32>,
    pub offered: Vec<f32>,
    pub tenants: Vec<f32>,
    pub open: Vec<f32>,
    pub answered: Vec<f32>,
    /// Some of the sketches by number; the others come in their turn.
    pub sketches: Vec<(usize, Sketch)>,
}

fn code(value: f32) -> u8 {
    let value = if value > 0.0 { value } else { 0.0 };
    (STEPS * (1.0 + FINE * value).log2()).round().min(255.0) as u8
}

fn value(code: u8) -> f32 {
    ((f32::from(code) / STEPS).exp2() - 1.0) / FINE
}

/// Views lie between a hundredth and some tens; nothing known is 0.
fn view_code(view: Option<f32>) -> u8 {
    view.map_or(0, |v| {
        (128.0 + STEPS * v.clamp(1e-3, 1e3).log2())
            .round()
            .clamp(1.0, 255.0) as u8
    })
}

fn view_value(code: u8) -> Option<f32> {
    (code > 0).then(|| ((f32::from(code) - 128.0) / STEPS).exp2())
}

/// Fletcher's sum: one flipped bit always shows.
fn check(bytes: &[u8]) -> [u8; CHECK] {
    let sums = bytes.iter().fold((1_u32, 0_u32), |(a, b), byte| {
        let a = (a + u32::from(*byte)) % 255;
        (a, (a + b) % 255)
    });
    [sums.0 as u8, sums.1 as u8]
}

fn sketch_bytes(number: usize, sketch: &Sketch, out: &mut Vec<u8>) {
    let codes = sketch.counts.map(code);
    let mask = codes
        .iter()
        .enumerate()
        .fold(0_u32, |m, (at, c)| m | u32::from(*c > 0) << at);
    out.push(number as u8);
    out.extend_from_slice(&mask.to_le_bytes()[..3]);
    out.extend(codes.iter().filter(|c| **c > 0));
}

/// Writes the figures, and the sketches from number `turn` on as far as they fit; gives back whose turn is
/// next.
pub fn write(news: &News, figures: &Figures, turn: usize) -> (Vec<u8>, usize) {
    let mut out = vec![MARK, VERSION];
    out.extend_from_slice(&news.incarnation.to_le_bytes());
    out.extend_from_slice(&news.number.to_le_bytes());
    out.extend(
        [
            figures.offered.len(),
            figures.open.len(),
            figures.tenants.len(),
        ]
        .map(|n| n as u8),
    );
    out.push(view_code(news.view));
    let counts = [
        &figures.offered,
        &figures.tenants,
        &figures.open,
        &figures.answered,
    ];
    out.extend(counts.into_iter().flatten().map(|c| code(*c)));
    let (all, mut one, mut next) = (figures.sketches.len().max(1), Vec::new(), turn);
    for n in 0..figures.sketches.len() {
        let number = (turn + n) % all;
        one.clear();
        sketch_bytes(number, &figures.sketches[number], &mut one);
        if out.len() + one.len() + CHECK > MOST_BYTES {
            break;
        }
        out.extend_from_slice(&one);
        next = (number + 1) % all;
    }
    let sum = check(&out);
    out.extend(sum);
    (out, next)
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], Unreadable> {
        let end = self.at + count;
        let part = self.bytes.get(self.at..end).ok_or(Unreadable::Short {
            at: self.bytes.len(),
        })?;
        self.at = end;
        Ok(part)
    }

    fn number(&mut self) -> Result<u32, Unreadable> {
        Ok(self
            .take(4)?
            .iter()
            .rev()
            .fold(0, |all, b| all << 8 | u32::from(*b)))
    }

    fn counts(&mut self, count: usize) -> Result<Vec<f32>, Unreadable> {
        Ok(self.take(count)?.iter().map(|c| value(*c)).collect())
    }
}

pub fn read(bytes: &[u8]) -> Result<News, Unreadable> {
    let [first, version, ..] = bytes else {
        return Err(Unreadable::Short { at: bytes.len() });
    };
    if *first != MARK {
        return Err(Unreadable::Other { first: *first });
    }
    if *version != VERSION {
        return Err(Unreadable::Version { version: *version });
    }
    let body = bytes
        .len()
        .checked_sub(CHECK)
        .ok_or(Unreadable::Short { at: bytes.len() })?;
    let (body, sum) = bytes.split_at(body);
    if bytes.len() > MOST_BYTES || check(body) != sum {
        return Err(Unreadable::Garbled);
    }
    let mut reader = Reader { bytes: body, at: 2 };
    let (incarnation, number) = (reader.number()?, reader.number()?);
    let &[classes, zones, tenants, view] = reader.take(4)? else {
        return Err(Unreadable::Garbled);
    };
    let (classes, zones, tenants) = (
        usize::from(classes),
        usize::from(zones),
        usize::from(tenants),
    );
    if classes > MOST_PRODUCTS || zones > MOST_ZONES || tenants > MOST_TENANTS {
        return Err(Unreadable::Size {
            classes,
            zones,
            tenants,
        });
    }
    let mut news = News {
        incarnation,
        number,
        view: view_value(view),
        ..News::default()
    };
    news.offered = reader.counts(classes)?;
    news.tenants = reader.counts(tenants)?;
    news.open = reader.counts(zones)?;
    news.answered = reader.counts(zones)?;
    while reader.at < body.len() {
        let &[number, low, mid, high] = reader.take(4)? else {
            return Err(Unreadable::Garbled);
        };
        let (number, mask) = (usize::from(number), u32::from_le_bytes([low, mid, high, 0]));
        if number >= classes * zones {
            return Err(Unreadable::Garbled);
        }
        let mut sketch = Sketch::default();
        for at in (0..BUCKETS).filter(|at| mask >> at & 1 == 1) {
            sketch.counts[at] = value(reader.take(1)?[0]);
        }
        news.sketches.push((number, sketch));
    }
    Ok(news)
}
