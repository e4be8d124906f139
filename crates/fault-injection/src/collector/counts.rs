//! A collector's counts of received messages and records.

use std::collections::BTreeMap;

use harrierdock_ipfix::{DataRecord, Message, MessageReader, ENTERPRISE_NUMBER};

use super::record::{element, CollectedRecord, RecordKind};

/// Maximum number of records kept for the CSV and Parquet tables. Later records are only counted.
const TABLE_RECORD_LIMIT: usize = 1_000_000;
/// The version number of IPFIX messages. IPFIX sequence numbers count records, those of NetFlow v9 count messages.
const IPFIX_VERSION: u16 = 10;

/// The key by which attempts and requests are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKey {
    /// `submission` for attempts, `txn` for requests.
    pub kind: String,
    /// The build of the endpoint that answered.
    pub build: u64,
    /// The name of the request class.
    pub class: String,
}

/// Counts of one exporter's observation domain.
#[derive(Clone, Default)]
pub struct DomainCounts {
    /// The sequence number expected in the next message; `None` before the first message.
    pub next_sequence_number: Option<u32>,
    /// Data records received.
    pub records: u64,
    /// Records (IPFIX) or messages (NetFlow v9) that the sequence numbers show to be missing.
    pub sequence_gap: u64,
    /// Numbers of attempts and of requests that the exporter dropped, as last reported by the exporter.
    pub dropped: [u64; 2],
}

/// A collector's counts, with the octets and records that it received.
#[derive(Default)]
pub struct Counts {
    /// Sums of the counts in attempt and request records.
    pub totals: BTreeMap<RecordKey, u64>,
    /// Counts by observation domain.
    pub domains: BTreeMap<u32, DomainCounts>,
    /// Octets received, by observation domain and second since the collector's start.
    pub octets: BTreeMap<(u32, u64), u64>,
    /// Messages received.
    pub messages: u64,
    /// Messages that can't be decoded.
    pub malformed_messages: u64,
    /// Data sets received without their template.
    pub unknown_sets: u64,
    /// Datagrams that the collector dropped, as configured or while it wasn't running.
    pub dropped_datagrams: u64,
    /// The octets of all messages counted.
    pub raw: Vec<u8>,
    /// The first records received, for the CSV and Parquet tables.
    pub records: Vec<CollectedRecord>,
}

impl Counts {
    /// Counts a message received in the given second since the collector's start.
    pub(super) fn add_message(&mut self, reader: &mut MessageReader, octets: &[u8], second: u64) {
        self.raw.extend_from_slice(octets);
        self.messages += 1;
        let Ok(message) = reader.read(octets) else {
            self.malformed_messages += 1;
            return;
        };
        self.unknown_sets += message.unknown_set_count as u64;
        let octet_count = self
            .octets
            .entry((message.observation_domain, second))
            .or_default();
        *octet_count += octets.len() as u64;
        self.add_to_domain(&message);
        for record in &message.records {
            self.add_record(message.observation_domain, record);
        }
    }

    fn add_to_domain(&mut self, message: &Message) {
        let domain = self.domains.entry(message.observation_domain).or_default();
        domain.sequence_gap += sequence_gap(domain.next_sequence_number, message.sequence_number);
        let sequence_step = if message.version == IPFIX_VERSION {
            message.records.len() as u32
        } else {
            1
        };
        domain.next_sequence_number = Some(message.sequence_number.wrapping_add(sequence_step));
        domain.records += message.records.len() as u64;
        for record in &message.records {
            let number = |element| record.number(ENTERPRISE_NUMBER, element);
            let attempts = number(element::DROPPED_ATTEMPTS);
            let requests = number(element::DROPPED_REQUESTS);
            if let (Some(attempts), Some(requests)) = (attempts, requests) {
                domain.dropped = [attempts, requests];
            }
        }
    }

    fn add_record(&mut self, domain: u32, record: &DataRecord) {
        let Some(kind) = RecordKind::of_template(record.template_id) else {
            return;
        };
        if self.records.len() < TABLE_RECORD_LIMIT {
            self.records
                .push(CollectedRecord::new(domain, kind, record));
        }
        if kind == RecordKind::Share {
            return;
        }
        let number = |element| record.number(ENTERPRISE_NUMBER, element).unwrap_or(0);
        let key = RecordKey {
            kind: kind.name().to_string(),
            build: number(element::BUILD),
            class: record
                .text(ENTERPRISE_NUMBER, element::CLASS)
                .unwrap_or_default(),
        };
        *self.totals.entry(key).or_default() += number(element::COUNT);
    }
}

/// Returns how many records or messages are missing before this sequence number. The first message of a session, and one
/// that arrives late, count as no gap.
fn sequence_gap(expected: Option<u32>, sequence_number: u32) -> u64 {
    let gap = expected.map_or(0, |expected| sequence_number.wrapping_sub(expected));
    if sequence_number == 0 || gap > u32::MAX / 2 {
        return 0;
    }
    u64::from(gap)
}
