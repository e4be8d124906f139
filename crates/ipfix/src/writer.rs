//! Collects template and data records into messages of a given size.

use crate::octets::put_u16;
use crate::wire_format::{
    SetKind, IPFIX_VERSION, NETFLOW_V9_ALIGNMENT_OCTETS, NETFLOW_V9_VERSION, SET_HEADER_OCTETS,
};
use crate::{RecordTooLarge, Template, Value, WireFormat};

const MIN_MESSAGE_OCTETS: usize = 512;
const MAX_MESSAGE_OCTETS: usize = 65_535;

/// An encoded message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedMessage {
    /// The message, header included.
    pub octets: Vec<u8>,
    /// The number of data records in the message.
    pub record_count: u32,
}

/// The last set of the current message, to which records can still be added.
#[derive(Clone, Copy)]
struct OpenSet {
    offset: usize,
    id: u16,
}

/// Collects records into messages. Sequence numbers count data records in IPFIX (RFC 7011, section 3.1) and messages in
/// NetFlow v9, modulo 2^32.
pub struct MessageWriter {
    format: WireFormat,
    observation_domain: u32,
    max_message_octets: usize,
    sequence_number: u32,
    /// The current message: empty, or a header followed by sets.
    message: Vec<u8>,
    open_set: Option<OpenSet>,
    record_count: u32,
    /// Data and template records of the current message, for the count in a NetFlow v9 header.
    header_count: u16,
    finished: Vec<EncodedMessage>,
}

impl MessageWriter {
    /// Creates a writer of messages of at most `max_message_octets` octets, which is clamped to 512..=65,535.
    pub fn new(
        format: WireFormat,
        observation_domain: u32,
        max_message_octets: usize,
    ) -> MessageWriter {
        MessageWriter {
            format,
            observation_domain,
            max_message_octets: max_message_octets.clamp(MIN_MESSAGE_OCTETS, MAX_MESSAGE_OCTETS),
            sequence_number: 0,
            message: Vec::new(),
            open_set: None,
            record_count: 0,
            header_count: 0,
            finished: Vec::new(),
        }
    }

    /// Returns the sequence number of the next message.
    pub fn sequence_number(&self) -> u32 {
        self.sequence_number
    }

    /// Sets the sequence number of the next message.
    pub fn set_sequence_number(&mut self, sequence_number: u32) {
        self.sequence_number = sequence_number;
    }

    /// Adds a template. Collectors need it before its first data record.
    ///
    /// # Errors
    /// The template is larger than the maximum message size.
    pub fn add_template(&mut self, template: &Template) -> Result<(), RecordTooLarge> {
        let octets = self.format.encode_template(template);
        let kind = if template.scope_field_count > 0 {
            SetKind::OptionsTemplates
        } else {
            SetKind::Templates
        };
        self.append(kind, &octets)
    }

    /// Adds a data record. A value that is missing or of the wrong type is written as zero or empty text.
    ///
    /// # Errors
    /// The record is larger than the maximum message size.
    pub fn add_record(
        &mut self,
        template: &Template,
        values: &[Value],
    ) -> Result<(), RecordTooLarge> {
        let octets = self.format.encode_record(template, values);
        self.append(SetKind::Data(template.id), &octets)?;
        self.record_count += 1;
        Ok(())
    }

    fn append(&mut self, kind: SetKind, record: &[u8]) -> Result<(), RecordTooLarge> {
        let max_padding = match self.format {
            WireFormat::Ipfix => 0,
            WireFormat::NetflowV9 => NETFLOW_V9_ALIGNMENT_OCTETS - 1,
        };
        let header = self.format.header_octets();
        if header + SET_HEADER_OCTETS + record.len() + max_padding > self.max_message_octets {
            return Err(RecordTooLarge);
        }
        let set_id = self.format.set_id(kind);
        let set_header = if self.is_open(set_id) {
            0
        } else {
            SET_HEADER_OCTETS
        };
        let added = record.len() + set_header + max_padding;
        if !self.message.is_empty() && self.message.len() + added > self.max_message_octets {
            self.flush();
        }
        if self.message.is_empty() {
            self.message = vec![0; header];
        }
        if !self.is_open(set_id) {
            self.begin_set(set_id);
        }
        self.message.extend_from_slice(record);
        self.header_count = self.header_count.saturating_add(1);
        Ok(())
    }

    fn is_open(&self, set_id: u16) -> bool {
        self.open_set.is_some_and(|set| set.id == set_id)
    }

    fn begin_set(&mut self, set_id: u16) {
        self.close_set();
        self.open_set = Some(OpenSet {
            offset: self.message.len(),
            id: set_id,
        });
        put_u16(&mut self.message, set_id);
        // Placeholder for the length, which `close_set` fills in.
        put_u16(&mut self.message, 0);
    }

    fn close_set(&mut self) {
        let Some(OpenSet { offset, .. }) = self.open_set.take() else {
            return;
        };
        if self.format == WireFormat::NetflowV9 {
            let length =
                (self.message.len() - offset).next_multiple_of(NETFLOW_V9_ALIGNMENT_OCTETS);
            self.message.resize(offset + length, 0);
        }
        let length = (self.message.len() - offset) as u16;
        self.message[offset + 2..offset + 4].copy_from_slice(&length.to_be_bytes());
    }

    /// Finishes the current message, if it is not empty.
    pub fn flush(&mut self) {
        if self.message.is_empty() {
            return;
        }
        self.close_set();
        let mut octets = std::mem::take(&mut self.message);
        let record_count = std::mem::take(&mut self.record_count);
        let header_count = std::mem::take(&mut self.header_count);
        let header = self.encode_header(octets.len(), header_count);
        octets[..header.len()].copy_from_slice(&header);
        let sequence_step = match self.format {
            WireFormat::Ipfix => record_count,
            WireFormat::NetflowV9 => 1,
        };
        self.sequence_number = self.sequence_number.wrapping_add(sequence_step);
        self.finished.push(EncodedMessage {
            octets,
            record_count,
        });
    }

    /// Encodes a header, with the export time and uptime set to zero.
    fn encode_header(&self, message_octets: usize, header_count: u16) -> Vec<u8> {
        let mut header = Vec::with_capacity(self.format.header_octets());
        match self.format {
            WireFormat::Ipfix => {
                put_u16(&mut header, IPFIX_VERSION);
                put_u16(&mut header, message_octets as u16);
                header.extend_from_slice(&[0; 4]);
            }
            WireFormat::NetflowV9 => {
                put_u16(&mut header, NETFLOW_V9_VERSION);
                put_u16(&mut header, header_count);
                header.extend_from_slice(&[0; 8]);
            }
        }
        header.extend_from_slice(&self.sequence_number.to_be_bytes());
        header.extend_from_slice(&self.observation_domain.to_be_bytes());
        header
    }

    /// Takes the finished messages, after writing the export time (seconds since 1970) and, for NetFlow v9, the exporter's uptime
    /// into their headers.
    pub fn take_messages(&mut self, export_time_s: u32, uptime_ms: u32) -> Vec<EncodedMessage> {
        let mut finished = std::mem::take(&mut self.finished);
        for message in &mut finished {
            let octets = &mut message.octets;
            match self.format {
                WireFormat::Ipfix => octets[4..8].copy_from_slice(&export_time_s.to_be_bytes()),
                WireFormat::NetflowV9 => {
                    octets[4..8].copy_from_slice(&uptime_ms.to_be_bytes());
                    octets[8..12].copy_from_slice(&export_time_s.to_be_bytes());
                }
            }
        }
        finished
    }
}
