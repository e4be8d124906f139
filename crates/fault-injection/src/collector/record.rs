//! Converts data records of the gateways' templates to table rows.

use harrierdock_ipfix::{DataRecord, ENTERPRISE_NUMBER};

/// Standard information elements: flowStartMilliseconds and flowEndMilliseconds.
const START_MS: u16 = 152;
const END_MS: u16 = 153;

/// Numbers of the enterprise-specific information elements that gateways export.
pub(super) mod element {
    pub(in crate::collector) const BUILD: u16 = 1;
    pub(in crate::collector) const STAGE: u16 = 2;
    pub(in crate::collector) const CLASS: u16 = 3;
    pub(in crate::collector) const OUTCOME: u16 = 4;
    pub(in crate::collector) const PATH: u16 = 5;
    pub(in crate::collector) const COUNT: u16 = 7;
    pub(in crate::collector) const RETRIES: u16 = 8;
    pub(in crate::collector) const LATE: u16 = 9;
    pub(in crate::collector) const DURATION_US: u16 = 10;
    pub(in crate::collector) const EXPOSURE_LIMIT_PPM: u16 = 13;
    pub(in crate::collector) const RECEIVED_REQUESTS: u16 = 14;
    pub(in crate::collector) const DROPPED_ATTEMPTS: u16 = 17;
    pub(in crate::collector) const DROPPED_REQUESTS: u16 = 18;
}

/// Names of the numeric columns, in order.
pub const NUMBER_COLUMNS: [&str; 11] = [
    "domain", "start_ms", "end_ms", "build", "stage", "count", "second", "late", "time_us",
    "taken", "cap_ppm",
];

/// Names of the text columns, in order; they follow the numeric columns.
pub const TEXT_COLUMNS: [&str; 4] = ["kind", "product", "outcome", "road"];

/// The kind of a record, by its template.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordKind {
    Attempt,
    Request,
    Share,
}

impl RecordKind {
    /// Returns the kind of a template's records; `None` for a template that gateways don't send.
    pub(super) fn of_template(template_id: u16) -> Option<RecordKind> {
        match template_id {
            256 => Some(RecordKind::Attempt),
            257 => Some(RecordKind::Request),
            258 => Some(RecordKind::Share),
            _ => None,
        }
    }

    /// The kind's name in tables and in the gateways' log.
    pub(super) fn name(self) -> &'static str {
        match self {
            RecordKind::Attempt => "submission",
            RecordKind::Request => "txn",
            RecordKind::Share => "share",
        }
    }
}

/// A data record as a row of a table.
pub struct CollectedRecord {
    /// Values of [`NUMBER_COLUMNS`].
    pub numbers: [u64; NUMBER_COLUMNS.len()],
    /// Values of [`TEXT_COLUMNS`].
    pub texts: [String; TEXT_COLUMNS.len()],
}

impl CollectedRecord {
    /// Reads the columns from a record; columns without a value are 0 or empty.
    pub(super) fn new(domain: u32, kind: RecordKind, record: &DataRecord) -> CollectedRecord {
        let standard = |element| record.number(0, element).unwrap_or(0);
        let number = |element| record.number(ENTERPRISE_NUMBER, element).unwrap_or(0);
        let text = |element| record.text(ENTERPRISE_NUMBER, element).unwrap_or_default();
        CollectedRecord {
            numbers: [
                u64::from(domain),
                standard(START_MS),
                standard(END_MS),
                number(element::BUILD),
                number(element::STAGE),
                number(element::COUNT),
                number(element::RETRIES),
                number(element::LATE),
                number(element::DURATION_US),
                number(element::RECEIVED_REQUESTS),
                number(element::EXPOSURE_LIMIT_PPM),
            ],
            texts: [
                kind.name().into(),
                text(element::CLASS),
                text(element::OUTCOME),
                text(element::PATH),
            ],
        }
    }
}
