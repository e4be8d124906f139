//! The load reports that gateways send each other, and their encoding: at most 256 bytes, the first of which no text message begins with.
//! Counts are written as logarithms in a byte, so no NaN, negative number or infinity fits.

use thiserror::Error;

use crate::latency_histogram::{LatencyHistogram, BUCKETS};

/// The first byte. Builds that know only text messages refuse a message that begins so.
pub const FIRST_BYTE: u8 = 0xF8;
const VERSION: u8 = 1;
/// The longest report in bytes.
pub const MAX_REPORT_BYTES: usize = 256;
/// The most request classes in a report.
pub const MAX_CLASSES: usize = 16;
/// The most zones in a report.
pub const MAX_ZONES: usize = 8;
/// The most tenants in a report.
pub const MAX_TENANTS: usize = 16;
const CHECKSUM_BYTES: usize = 2;
/// Codes are 6% apart; the highest stands for some 620 thousand.
const CODES_PER_OCTAVE: f32 = 12.0;
const COUNT_SCALE: f32 = 4.0;
/// The code of a sustainable ratio of 1.
const RATIO_CODE_OF_ONE: f32 = 128.0;

/// Why bytes are no load report.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The report ends early.
    #[error("the message is cut short at byte {at}: look for a relay that cuts datagrams under 256 bytes")]
    Truncated {
        /// The length.
        at: usize,
    },
    /// Another kind of message.
    #[error(
        "the message is no load report (first byte {first:#04x}): look for a stray sender on this port"
    )]
    FirstByte {
        /// The first byte.
        first: u8,
    },
    /// Another version of the format.
    #[error("load report of version {version}, this build reads {VERSION}: finish the roll-out")]
    Version {
        /// The report's version.
        version: u8,
    },
    /// The bytes were changed on their way.
    #[error("the message is garbled: look at the line to its sender if this goes on")]
    Garbled,
    /// More classes, zones or tenants than a report may have.
    #[error(
        "load report of {classes} classes, {zones} zones, {tenants} tenants: give all gateways the same settings"
    )]
    Size {
        /// Request classes.
        classes: usize,
        /// Zones.
        zones: usize,
        /// Tenants.
        tenants: usize,
    },
}

/// What one gateway has seen lately of its own: decayed counts, and histograms by request class and zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadCounts {
    /// Requests that came, by class.
    pub offered: Vec<f32>,
    /// Requests that came, by tenant.
    pub offered_by_tenant: Vec<f32>,
    /// Attempts in flight now, by zone.
    pub in_flight: Vec<f32>,
    /// Answers, by zone.
    pub answered: Vec<f32>,
    /// Answer times, by class and then zone.
    pub histograms: Vec<LatencyHistogram>,
}

impl LoadCounts {
    /// Nothing seen yet.
    pub fn new(classes: usize, zones: usize, tenants: usize) -> LoadCounts {
        LoadCounts {
            offered: vec![0.0; classes],
            offered_by_tenant: vec![0.0; tenants],
            in_flight: vec![0.0; zones],
            answered: vec![0.0; zones],
            histograms: vec![LatencyHistogram::default(); classes * zones],
        }
    }

    /// Nothing seen yet, for the same classes, zones and tenants.
    pub(crate) fn empty_like(&self) -> LoadCounts {
        LoadCounts::new(
            self.offered.len(),
            self.in_flight.len(),
            self.offered_by_tenant.len(),
        )
    }
}

/// A load report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The sender's start.
    pub incarnation: u32,
    /// The sender's reports in order.
    pub number: u32,
    /// The ratio of all offered requests that the sender takes the endpoints to sustain; none if it knows nothing.
    pub sustainable_ratio: Option<f32>,
    /// Requests that came, by class.
    pub offered: Vec<f32>,
    /// Requests that came, by tenant.
    pub offered_by_tenant: Vec<f32>,
    /// Attempts in flight, by zone.
    pub in_flight: Vec<f32>,
    /// Answers, by zone.
    pub answered: Vec<f32>,
    /// Some of the histograms, with their numbers; the others come in their turn.
    pub histograms: Vec<(usize, LatencyHistogram)>,
}

fn count_to_code(count: f32) -> u8 {
    let count = if count > 0.0 { count } else { 0.0 };
    (CODES_PER_OCTAVE * (1.0 + COUNT_SCALE * count).log2())
        .round()
        .min(255.0) as u8
}

fn code_to_count(code: u8) -> f32 {
    ((f32::from(code) / CODES_PER_OCTAVE).exp2() - 1.0) / COUNT_SCALE
}

/// Ratios lie between a thousandth and a thousand; code 0 stands for none.
fn ratio_to_code(ratio: Option<f32>) -> u8 {
    ratio.map_or(0, |ratio| {
        (RATIO_CODE_OF_ONE + CODES_PER_OCTAVE * ratio.clamp(1e-3, 1e3).log2())
            .round()
            .clamp(1.0, 255.0) as u8
    })
}

fn code_to_ratio(code: u8) -> Option<f32> {
    (code > 0).then(|| ((f32::from(code) - RATIO_CODE_OF_ONE) / CODES_PER_OCTAVE).exp2())
}

/// Fletcher's checksum: one flipped bit always shows.
fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut sum = 1_u32;
    let mut sum_of_sums = 0_u32;
    for byte in bytes {
        sum = (sum + u32::from(*byte)) % 255;
        sum_of_sums = (sum_of_sums + sum) % 255;
    }
    [sum as u8, sum_of_sums as u8]
}

/// Its number, a bit for each bucket that is not empty, and those buckets' codes.
fn encode_histogram(number: usize, histogram: &LatencyHistogram, bytes: &mut Vec<u8>) {
    let codes = histogram.counts.map(count_to_code);
    let mask = codes
        .iter()
        .enumerate()
        .fold(0_u32, |mask, (bucket, code)| {
            mask | u32::from(*code > 0) << bucket
        });
    bytes.push(number as u8);
    bytes.extend_from_slice(&mask.to_le_bytes()[..3]);
    bytes.extend(codes.iter().filter(|code| **code > 0));
}

/// Encodes a report of these counts, with the histograms from number `turn` on as far as they fit. Of `report` only the head is used:
/// incarnation, number and sustainable ratio. Returns the bytes, and the number of the histogram whose turn is next.
pub fn encode(report: &LoadReport, counts: &LoadCounts, turn: usize) -> (Vec<u8>, usize) {
    let mut bytes = vec![FIRST_BYTE, VERSION];
    bytes.extend_from_slice(&report.incarnation.to_le_bytes());
    bytes.extend_from_slice(&report.number.to_le_bytes());
    let lengths = [
        counts.offered.len(),
        counts.in_flight.len(),
        counts.offered_by_tenant.len(),
    ];
    bytes.extend(lengths.map(|length| length as u8));
    bytes.push(ratio_to_code(report.sustainable_ratio));
    let lists = [
        &counts.offered,
        &counts.offered_by_tenant,
        &counts.in_flight,
        &counts.answered,
    ];
    bytes.extend(
        lists
            .into_iter()
            .flatten()
            .map(|count| count_to_code(*count)),
    );
    let next_turn = encode_histograms(&counts.histograms, turn, &mut bytes);
    let sum = checksum(&bytes);
    bytes.extend(sum);
    (bytes, next_turn)
}

/// Appends histograms as far as they fit. Returns whose turn is next.
fn encode_histograms(histograms: &[LatencyHistogram], turn: usize, bytes: &mut Vec<u8>) -> usize {
    let mut encoded = Vec::new();
    let mut next_turn = turn;
    for offset in 0..histograms.len() {
        let number = (turn + offset) % histograms.len();
        encoded.clear();
        encode_histogram(number, &histograms[number], &mut encoded);
        if bytes.len() + encoded.len() + CHECKSUM_BYTES > MAX_REPORT_BYTES {
            break;
        }
        bytes.extend_from_slice(&encoded);
        next_turn = (number + 1) % histograms.len();
    }
    next_turn
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn is_at_end(&self) -> bool {
        self.at >= self.bytes.len()
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let end = self.at + count;
        let taken = self.bytes.get(self.at..end).ok_or(DecodeError::Truncated {
            at: self.bytes.len(),
        })?;
        self.at = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let taken = self.take(N)?;
        taken.try_into().map_err(|_| DecodeError::Garbled)
    }

    fn number(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn counts(&mut self, count: usize) -> Result<Vec<f32>, DecodeError> {
        let codes = self.take(count)?;
        Ok(codes.iter().map(|code| code_to_count(*code)).collect())
    }

    /// A histogram whose number is below `count`.
    fn histogram(&mut self, count: usize) -> Result<(usize, LatencyHistogram), DecodeError> {
        let [number, low, middle, high] = self.array()?;
        if usize::from(number) >= count {
            return Err(DecodeError::Garbled);
        }
        let mask = u32::from_le_bytes([low, middle, high, 0]);
        let mut histogram = LatencyHistogram::default();
        for bucket in (0..BUCKETS).filter(|bucket| mask >> bucket & 1 == 1) {
            let [code] = self.array()?;
            histogram.counts[bucket] = code_to_count(code);
        }
        Ok((usize::from(number), histogram))
    }
}

/// The bytes between the first two and the checksum, if all of those fit.
fn checked_body(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    let [first, version, ..] = bytes else {
        return Err(DecodeError::Truncated { at: bytes.len() });
    };
    if *first != FIRST_BYTE {
        return Err(DecodeError::FirstByte { first: *first });
    }
    if *version != VERSION {
        return Err(DecodeError::Version { version: *version });
    }
    let body = bytes
        .len()
        .checked_sub(CHECKSUM_BYTES)
        .ok_or(DecodeError::Truncated { at: bytes.len() })?;
    let (body, sum) = bytes.split_at(body);
    if bytes.len() > MAX_REPORT_BYTES || checksum(body) != sum {
        return Err(DecodeError::Garbled);
    }
    Ok(body)
}

/// Decodes a report.
///
/// # Errors
/// The bytes are no report of this version, or of more classes, zones or tenants than there may be.
pub fn decode(bytes: &[u8]) -> Result<LoadReport, DecodeError> {
    let body = checked_body(bytes)?;
    let mut reader = Reader { bytes: body, at: 2 };
    let incarnation = reader.number()?;
    let number = reader.number()?;
    let [classes, zones, tenants, ratio_code] = reader.array()?;
    let [classes, zones, tenants] = [classes, zones, tenants].map(usize::from);
    if classes > MAX_CLASSES || zones > MAX_ZONES || tenants > MAX_TENANTS {
        return Err(DecodeError::Size {
            classes,
            zones,
            tenants,
        });
    }
    let mut report = LoadReport {
        incarnation,
        number,
        sustainable_ratio: code_to_ratio(ratio_code),
        offered: reader.counts(classes)?,
        offered_by_tenant: reader.counts(tenants)?,
        in_flight: reader.counts(zones)?,
        answered: reader.counts(zones)?,
        histograms: Vec::new(),
    };
    while !reader.is_at_end() {
        report.histograms.push(reader.histogram(classes * zones)?);
    }
    Ok(report)
}
