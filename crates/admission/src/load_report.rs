//! The load reports that gateways send each other, and their encoding in at most 256 bytes. No text message starts with the same first byte.
//! Each count is encoded as a logarithm in one byte, which cannot represent NaN, infinity or negative numbers.

use thiserror::Error;

use crate::latency_histogram::{LatencyHistogram, BUCKETS};

/// The first byte of a load report. Builds that know only text messages reject a message that starts with it.
pub const FIRST_BYTE: u8 = 0xF8;
const VERSION: u8 = 1;
/// The maximum length of an encoded report.
pub const MAX_REPORT_BYTES: usize = 256;
/// The maximum number of request classes in a report.
pub const MAX_CLASSES: usize = 16;
/// The maximum number of zones in a report.
pub const MAX_ZONES: usize = 8;
/// The maximum number of tenants in a report.
pub const MAX_TENANTS: usize = 16;
/// The length of the first byte and the version together.
const HEADER_BYTES: usize = 2;
const CHECKSUM_BYTES: usize = 2;
/// Adjacent codes differ by 6%; the highest stands for about 620,000.
const CODES_PER_OCTAVE: f32 = 12.0;
const COUNT_SCALE: f32 = 4.0;
/// The code of a sustainable ratio of 1.
const RATIO_CODE_OF_ONE: f32 = 128.0;

/// The error if bytes cannot be decoded as a load report.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The message is too short.
    #[error("load report truncated at byte {length}: check the network path for a relay that truncates datagrams below 256 bytes")]
    Truncated {
        /// The length of the message in bytes.
        length: usize,
    },
    /// The first byte belongs to another kind of message.
    #[error(
        "message is not a load report (first byte {first:#04x}): check for an unrelated sender on this port"
    )]
    FirstByte {
        /// The first byte received, instead of `FIRST_BYTE`.
        first: u8,
    },
    /// The message has another version of the format.
    #[error("load report has version {version}, this build supports version {VERSION}: complete the rollout")]
    Version {
        /// The version in the report.
        version: u8,
    },
    /// The checksum or the structure is wrong: the message was corrupted in transit.
    #[error("load report is corrupted: check the network path to the sender if this persists")]
    Corrupted,
    /// The report has too many classes, zones or tenants.
    #[error(
        "load report has {classes} classes, {zones} zones and {tenants} tenants, more than supported: configure all gateways alike"
    )]
    Size {
        /// The number of request classes; at most `MAX_CLASSES` are supported.
        classes: usize,
        /// The number of zones; at most `MAX_ZONES` are supported.
        zones: usize,
        /// The number of tenants; at most `MAX_TENANTS` are supported.
        tenants: usize,
    },
}

/// Load observed by one gateway: exponentially decayed counts, and histograms of response times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadCounts {
    /// Requests received, by class.
    pub offered: Vec<f32>,
    /// Requests received, by tenant.
    pub offered_by_tenant: Vec<f32>,
    /// Attempts in flight now, by zone; not decayed.
    pub in_flight: Vec<f32>,
    /// Responses from endpoints, by zone.
    pub answered: Vec<f32>,
    /// Response times; the index is class times the number of zones, plus zone.
    pub histograms: Vec<LatencyHistogram>,
}

impl LoadCounts {
    /// Zero counts and empty histograms.
    pub fn new(classes: usize, zones: usize, tenants: usize) -> LoadCounts {
        LoadCounts {
            offered: vec![0.0; classes],
            offered_by_tenant: vec![0.0; tenants],
            in_flight: vec![0.0; zones],
            answered: vec![0.0; zones],
            histograms: vec![LatencyHistogram::default(); classes * zones],
        }
    }

    /// Zero counts for the same numbers of classes, zones and tenants.
    pub(crate) fn empty_like(&self) -> LoadCounts {
        LoadCounts::new(
            self.offered.len(),
            self.in_flight.len(),
            self.offered_by_tenant.len(),
        )
    }
}

/// A load report as sent by one gateway to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The incarnation of the sender.
    pub incarnation: u32,
    /// Increases with each report of one incarnation.
    pub sequence_number: u32,
    /// The sender's estimate of the ratio of all offered requests that the endpoints can sustain; `None` without data.
    pub sustainable_ratio: Option<f32>,
    /// Requests received, by class.
    pub offered: Vec<f32>,
    /// Requests received, by tenant.
    pub offered_by_tenant: Vec<f32>,
    /// Attempts in flight, by zone.
    pub in_flight: Vec<f32>,
    /// Responses from endpoints, by zone.
    pub answered: Vec<f32>,
    /// As many histograms as fit, each with its index in `LoadCounts::histograms`; later reports carry the others.
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

/// Encodes a ratio, clamped to 0.001 to 1000; code 0 stands for `None`.
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

/// Fletcher's checksum, which detects every single flipped bit.
fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut sum = 1_u32;
    let mut sum_of_sums = 0_u32;
    for byte in bytes {
        sum = (sum + u32::from(*byte)) % 255;
        sum_of_sums = (sum_of_sums + sum) % 255;
    }
    [sum as u8, sum_of_sums as u8]
}

/// Appends the histogram's index, a bit mask of its non-empty buckets, and the codes of those buckets.
fn encode_histogram(index: usize, histogram: &LatencyHistogram, bytes: &mut Vec<u8>) {
    let codes = histogram.counts.map(count_to_code);
    let mask = codes
        .iter()
        .enumerate()
        .fold(0_u32, |mask, (bucket, code)| {
            mask | u32::from(*code > 0) << bucket
        });
    bytes.push(index as u8);
    bytes.extend_from_slice(&mask.to_le_bytes()[..3]);
    bytes.extend(codes.iter().filter(|code| **code > 0));
}

/// Encodes a report of `counts` with as many histograms as fit, starting at index `first_histogram`. Uses only the incarnation, sequence
/// number and sustainable ratio of `head`. Returns the bytes, and the index of the histogram that the next report should start with.
pub fn encode(head: &LoadReport, counts: &LoadCounts, first_histogram: usize) -> (Vec<u8>, usize) {
    let mut bytes = vec![FIRST_BYTE, VERSION];
    bytes.extend_from_slice(&head.incarnation.to_le_bytes());
    bytes.extend_from_slice(&head.sequence_number.to_le_bytes());
    let lengths = [
        counts.offered.len(),
        counts.in_flight.len(),
        counts.offered_by_tenant.len(),
    ];
    bytes.extend(lengths.map(|length| length as u8));
    bytes.push(ratio_to_code(head.sustainable_ratio));
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
    let next_histogram = encode_histograms(&counts.histograms, first_histogram, &mut bytes);
    let sum = checksum(&bytes);
    bytes.extend(sum);
    (bytes, next_histogram)
}

/// Appends as many histograms as fit, starting at index `first`. Returns the index that the next report should start at.
fn encode_histograms(histograms: &[LatencyHistogram], first: usize, bytes: &mut Vec<u8>) -> usize {
    let mut encoded = Vec::new();
    let mut next = first;
    for offset in 0..histograms.len() {
        let index = (first + offset) % histograms.len();
        encoded.clear();
        encode_histogram(index, &histograms[index], &mut encoded);
        if bytes.len() + encoded.len() + CHECKSUM_BYTES > MAX_REPORT_BYTES {
            break;
        }
        bytes.extend_from_slice(&encoded);
        next = (index + 1) % histograms.len();
    }
    next
}

struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    fn is_at_end(&self) -> bool {
        self.position >= self.bytes.len()
    }

    fn read_bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let end = self.position + count;
        let bytes = self
            .bytes
            .get(self.position..end)
            .ok_or(DecodeError::Truncated {
                length: self.bytes.len(),
            })?;
        self.position = end;
        Ok(bytes)
    }

    fn read_array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let bytes = self.read_bytes(N)?;
        bytes.try_into().map_err(|_| DecodeError::Corrupted)
    }

    fn read_u32(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_le_bytes(self.read_array()?))
    }

    fn read_counts(&mut self, count: usize) -> Result<Vec<f32>, DecodeError> {
        let codes = self.read_bytes(count)?;
        Ok(codes.iter().map(|code| code_to_count(*code)).collect())
    }

    /// Reads a histogram and its index, which must be below `count`.
    fn read_histogram(&mut self, count: usize) -> Result<(usize, LatencyHistogram), DecodeError> {
        let [index, low, middle, high] = self.read_array()?;
        if usize::from(index) >= count {
            return Err(DecodeError::Corrupted);
        }
        let mask = u32::from_le_bytes([low, middle, high, 0]);
        let mut histogram = LatencyHistogram::default();
        for bucket in (0..BUCKETS).filter(|bucket| mask >> bucket & 1 == 1) {
            let [code] = self.read_array()?;
            histogram.counts[bucket] = code_to_count(code);
        }
        Ok((usize::from(index), histogram))
    }
}

/// Checks the first byte, version, length and checksum. Returns the message without the checksum.
fn checked_body(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    let [first, version, ..] = bytes else {
        return Err(DecodeError::Truncated {
            length: bytes.len(),
        });
    };
    if *first != FIRST_BYTE {
        return Err(DecodeError::FirstByte { first: *first });
    }
    if *version != VERSION {
        return Err(DecodeError::Version { version: *version });
    }
    let body_length = bytes
        .len()
        .checked_sub(CHECKSUM_BYTES)
        .ok_or(DecodeError::Truncated {
            length: bytes.len(),
        })?;
    let (body, sum) = bytes.split_at(body_length);
    if bytes.len() > MAX_REPORT_BYTES || checksum(body) != sum {
        return Err(DecodeError::Corrupted);
    }
    Ok(body)
}

/// Decodes a load report.
///
/// # Errors
/// If the bytes are not a valid report of this version, or the report has too many classes, zones or tenants.
pub fn decode(bytes: &[u8]) -> Result<LoadReport, DecodeError> {
    let body = checked_body(bytes)?;
    let mut reader = Reader {
        bytes: body,
        position: HEADER_BYTES,
    };
    let incarnation = reader.read_u32()?;
    let sequence_number = reader.read_u32()?;
    let [classes, zones, tenants, ratio_code] = reader.read_array()?;
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
        sequence_number,
        sustainable_ratio: code_to_ratio(ratio_code),
        offered: reader.read_counts(classes)?,
        offered_by_tenant: reader.read_counts(tenants)?,
        in_flight: reader.read_counts(zones)?,
        answered: reader.read_counts(zones)?,
        histograms: Vec::new(),
    };
    while !reader.is_at_end() {
        report
            .histograms
            .push(reader.read_histogram(classes * zones)?);
    }
    Ok(report)
}
