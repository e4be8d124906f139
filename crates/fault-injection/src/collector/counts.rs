//! What a collector has counted.

use std::collections::BTreeMap;

use harrierdock_ipfix::{DataRecord, Message, MessageReader, ENTERPRISE_NUMBER};

use super::record::{element, CollectedRecord, RecordKind};

/// How many records are kept for a table, at the most.
const TABLE_RECORD_LIMIT: usize = 1_000_000;
/// The version number of IPFIX messages; their sequence numbers count records, those of NetFlow v9 messages.
const IPFIX_VERSION: u16 = 10;

/// What is counted apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKey {
    /// `submission` for attempts, `txn` for requests.
    pub kind: String,
    /// The build that answered.
    pub build: u64,
    /// The request class.
    pub class: String,
}

/// What the messages of one exporter's observation domain said.
#[derive(Clone, Default)]
pub struct DomainCounts {
    /// The next sequence number if nothing is lost.
    pub next_sequence_number: Option<u32>,
    /// Data records received.
    pub records: u64,
    /// Records (IPFIX) or messages (NetFlow v9) that the sequence numbers show to be missing.
    pub sequence_gap: u64,
    /// What it last said that it had dropped: attempts, requests.
    pub dropped: [u64; 2],
}

/// What a collector has counted, and what it has kept for a table and a search.
#[derive(Default)]
pub struct Counts {
    /// Attempts and requests, as the records count them.
    pub totals: BTreeMap<RecordKey, u64>,
    /// By observation domain.
    pub domains: BTreeMap<u32, DomainCounts>,
    /// Octets by observation domain and second since the start.
    pub octets: BTreeMap<(u32, u64), u64>,
    /// Messages received.
    pub messages: u64,
    /// Messages that can't be decoded.
    pub malformed_messages: u64,
    /// Sets without a template.
    pub unknown_sets: u64,
    /// Datagrams that the collector dropped itself.
    pub dropped_datagrams: u64,
    /// All octets received.
    pub raw: Vec<u8>,
    /// The first records received.
    pub records: Vec<CollectedRecord>,
}

impl Counts {
    /// Counts a message that came in this second since the start.
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

/// How many records or messages are missing before this sequence number. A session that begins anew, or a message that
/// comes late, shows none.
fn sequence_gap(expected: Option<u32>, sequence_number: u32) -> u64 {
    let gap = expected.map_or(0, |expected| sequence_number.wrapping_sub(expected));
    if sequence_number == 0 || gap > u32::MAX / 2 {
        return 0;
    }
    u64::from(gap)
}
