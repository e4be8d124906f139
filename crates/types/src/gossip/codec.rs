//! The text encoding of gossip messages, at most 256 bytes each. Reports are written in base-64 digits, other numbers in
//! decimal.
//!
//! | message | encoding |
//! | --- | --- |
//! | elimination vote | `build.stage.weight.t` against the canary, `build.stage.weight.e` against the baseline |
//! | outcome reports | `received.original_requests.in_flight:` and six base-64 digits for each report |
//! | latency reports | `/`, one base-64 digit for the shed ratio, and four for each report |

use super::{GossipMessage, LatencyReport, OutcomeReport, ReportedEvent};
use crate::{Arm, AttemptOutcome, BuildId, ClassId, GossipId};

/// Maximum number of outcome reports in one message.
pub const MAX_OUTCOME_REPORTS: usize = 40;

/// Maximum number of latency reports in one message.
pub const MAX_LATENCY_REPORTS: usize = 60;

const DIGITS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
const DIGIT_BITS: usize = 6;
const OUTCOME_REPORT_DIGITS: usize = 6;
const LATENCY_REPORT_DIGITS: usize = 4;

const CANARY_LETTER: &str = "t";
const BASELINE_LETTER: &str = "e";
const LATENCY_REPORTS_PREFIX: char = '/';
const OUTCOME_REPORTS_SEPARATOR: char = ':';

/// The events of outcome reports, at the index that encodes them on the wire.
const EVENTS: [ReportedEvent; 10] = [
    ReportedEvent::Attempt(AttemptOutcome::Succeeded),
    ReportedEvent::Attempt(AttemptOutcome::ServerError),
    ReportedEvent::Attempt(AttemptOutcome::Rejected),
    ReportedEvent::Attempt(AttemptOutcome::TimedOut),
    ReportedEvent::Attempt(AttemptOutcome::ConnectFailed),
    ReportedEvent::Attempt(AttemptOutcome::Reset),
    ReportedEvent::Attempt(AttemptOutcome::Cancelled),
    ReportedEvent::Attempt(AttemptOutcome::NotSent),
    ReportedEvent::NotAttempted,
    ReportedEvent::Complaint,
];

// Bit fields of an outcome report, from the least significant: latency, event, class, build, endpoint.
const LATENCY_BITS: u32 = 6;
const EVENT_BITS: u32 = 4;
const CLASS_BITS: u32 = 4;
const BUILD_BITS: u32 = 6;
const GOSSIP_ID_BITS: u32 = 16;

/// Latencies are encoded on a logarithmic scale with this many steps per doubling.
const STEPS_PER_DOUBLING: f64 = 8.0;
/// The encoded step of a duration equal to the latency objective, in an outcome report.
const OBJECTIVE_STEP: f64 = 40.0;
/// The encoded step of an endpoint's usual latency, in a latency report.
const USUAL_LATENCY_STEP: f64 = 128.0;
const MAX_LATENCY_STEP: f64 = 255.0;
const MIN_RATIO: f64 = 1e-6;
const MAX_DIGIT: f64 = 63.0;

fn mask(bits: u32) -> u64 {
    (1 << bits) - 1
}

impl BuildId {
    /// The build as an outcome report carries it: the six least significant bits of its number.
    pub fn low_bits(self) -> BuildId {
        BuildId(self.0 & mask(BUILD_BITS) as u32)
    }
}

fn digit_value(digit: u8) -> Option<u64> {
    DIGITS
        .iter()
        .position(|candidate| *candidate == digit)
        .map(|value| value as u64)
}

fn push_digits(bits: u64, count: usize, text: &mut String) {
    for position in (0..count).rev() {
        let digit = bits >> (DIGIT_BITS * position) & mask(DIGIT_BITS as u32);
        text.push(char::from(DIGITS[digit as usize]));
    }
}

fn parse_digits(text: &[u8], count: usize) -> Option<u64> {
    if text.len() != count {
        return None;
    }
    text.iter().try_fold(0, |bits, digit| {
        Some(bits << DIGIT_BITS | digit_value(*digit)?)
    })
}

fn encode_outcome_report(report: &OutcomeReport, text: &mut String) {
    let event = EVENTS
        .iter()
        .position(|event| *event == report.event)
        .unwrap_or(0) as u64;
    let step =
        (report.latency_ratio.max(MIN_RATIO).log2() * STEPS_PER_DOUBLING).ceil() + OBJECTIVE_STEP;
    let latency = step.clamp(0.0, MAX_DIGIT) as u64;
    let mut bits = u64::from(report.gossip_id.0);
    bits = bits << BUILD_BITS | u64::from(report.build.low_bits().0);
    bits = bits << CLASS_BITS | (report.class.0 as u64 & mask(CLASS_BITS));
    bits = bits << EVENT_BITS | event;
    bits = bits << LATENCY_BITS | latency;
    push_digits(bits, OUTCOME_REPORT_DIGITS, text);
}

fn decode_outcome_report(text: &[u8]) -> Option<OutcomeReport> {
    let mut bits = parse_digits(text, OUTCOME_REPORT_DIGITS)?;
    let mut take_bits = |width: u32| {
        let part = bits & mask(width);
        bits >>= width;
        part
    };
    let step = take_bits(LATENCY_BITS) as f64 - 0.5 - OBJECTIVE_STEP;
    let event = *EVENTS.get(take_bits(EVENT_BITS) as usize)?;
    let class = ClassId(take_bits(CLASS_BITS) as usize);
    let build = BuildId(take_bits(BUILD_BITS) as u32);
    let gossip_id = GossipId(take_bits(GOSSIP_ID_BITS) as u16);
    Some(OutcomeReport {
        gossip_id,
        build,
        class,
        event,
        latency_ratio: (step / STEPS_PER_DOUBLING).exp2(),
    })
}

fn encode_latency_report(report: &LatencyReport, text: &mut String) {
    let step = (report.latency_ratio.max(MIN_RATIO).log2() * STEPS_PER_DOUBLING).round()
        + USUAL_LATENCY_STEP;
    let bits = u64::from(report.gossip_id.0) << 8 | step.clamp(0.0, MAX_LATENCY_STEP) as u64;
    push_digits(bits, LATENCY_REPORT_DIGITS, text);
}

fn decode_latency_report(text: &[u8]) -> Option<LatencyReport> {
    let bits = parse_digits(text, LATENCY_REPORT_DIGITS)?;
    let step = (bits & mask(8)) as f64 - USUAL_LATENCY_STEP;
    Some(LatencyReport {
        gossip_id: GossipId((bits >> 8) as u16),
        latency_ratio: (step / STEPS_PER_DOUBLING).exp2(),
    })
}

/// Encodes a message as text.
pub fn encode(message: &GossipMessage) -> String {
    match message {
        GossipMessage::EliminationVote {
            build,
            stage,
            weight,
            arm,
        } => {
            let arm = match arm {
                Arm::Canary => CANARY_LETTER,
                Arm::Baseline => BASELINE_LETTER,
            };
            format!("{build}.{stage}.{weight}.{arm}")
        }
        GossipMessage::OutcomeReports {
            received,
            original_requests,
            in_flight,
            reports,
        } => {
            let mut text =
                format!("{received}.{original_requests}.{in_flight}{OUTCOME_REPORTS_SEPARATOR}");
            for report in reports {
                encode_outcome_report(report, &mut text);
            }
            text
        }
        GossipMessage::LatencyReports {
            shed_ratio,
            reports,
        } => {
            let mut text = String::from(LATENCY_REPORTS_PREFIX);
            push_digits(
                (shed_ratio.clamp(0.0, 1.0) * MAX_DIGIT) as u64,
                1,
                &mut text,
            );
            for report in reports {
                encode_latency_report(report, &mut text);
            }
            text
        }
    }
}

/// Decodes a message. `None` if the text is malformed or of an unknown kind or version.
pub fn decode(text: &str) -> Option<GossipMessage> {
    if let Some((counts, reports)) = text.split_once(OUTCOME_REPORTS_SEPARATOR) {
        return decode_outcome_reports(counts, reports);
    }
    if let Some(rest) = text.strip_prefix(LATENCY_REPORTS_PREFIX) {
        return decode_latency_reports(rest);
    }
    decode_elimination_vote(text)
}

fn decode_outcome_reports(counts: &str, reports: &str) -> Option<GossipMessage> {
    let counts: Vec<usize> = counts
        .split('.')
        .map(|count| count.parse().ok())
        .collect::<Option<_>>()?;
    let &[received, original_requests, in_flight] = &counts[..] else {
        return None;
    };
    let chunks = reports.as_bytes().chunks(OUTCOME_REPORT_DIGITS);
    let reports = chunks
        .map(decode_outcome_report)
        .collect::<Option<Vec<_>>>()?;
    if reports.len() > MAX_OUTCOME_REPORTS {
        return None;
    }
    Some(GossipMessage::OutcomeReports {
        received,
        original_requests,
        in_flight,
        reports,
    })
}

fn decode_latency_reports(text: &str) -> Option<GossipMessage> {
    let (shed, reports) = text.as_bytes().split_at_checked(1)?;
    let shed_ratio = parse_digits(shed, 1)? as f64 / MAX_DIGIT;
    let chunks = reports.chunks(LATENCY_REPORT_DIGITS);
    let reports = chunks
        .map(decode_latency_report)
        .collect::<Option<Vec<_>>>()?;
    Some(GossipMessage::LatencyReports {
        shed_ratio,
        reports,
    })
}

fn decode_elimination_vote(text: &str) -> Option<GossipMessage> {
    let mut parts = text.split('.');
    let build = BuildId(parts.next()?.parse().ok()?);
    let stage = parts.next()?.parse().ok()?;
    let weight = parts.next()?.parse().ok()?;
    let arm = match parts.next()? {
        CANARY_LETTER => Arm::Canary,
        BASELINE_LETTER => Arm::Baseline,
        _ => return None,
    };
    Some(GossipMessage::EliminationVote {
        build,
        stage,
        weight,
        arm,
    })
}
