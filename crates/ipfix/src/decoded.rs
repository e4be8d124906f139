//! Decoded messages and their records.

/// Stands for the enterprise of scope fields of NetFlow v9, whose types are a number space of their own.
pub const NETFLOW_V9_SCOPE: u32 = u32::MAX;

/// One field of a decoded record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldValue {
    /// The enterprise that defines the element: 0 for IANA's registry, [`NETFLOW_V9_SCOPE`] for a scope field of NetFlow v9.
    pub enterprise: u32,
    /// The element's number.
    pub element_id: u16,
    /// The value as it was sent.
    pub octets: Vec<u8>,
}

/// One decoded record, field by field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataRecord {
    /// The number of the record's template.
    pub template_id: u16,
    /// How many of the first fields are scope fields.
    pub scope_field_count: u16,
    /// The fields, in the template's order.
    pub fields: Vec<FieldValue>,
}

impl DataRecord {
    /// The octets of one element.
    pub fn octets(&self, enterprise: u32, element_id: u16) -> Option<&[u8]> {
        self.fields
            .iter()
            .find(|field| field.enterprise == enterprise && field.element_id == element_id)
            .map(|field| &field.octets[..])
    }

    /// An element as a number; none if it has more than eight octets.
    pub fn number(&self, enterprise: u32, element_id: u16) -> Option<u64> {
        let octets = self
            .octets(enterprise, element_id)
            .filter(|octets| octets.len() <= 8)?;
        Some(octets.iter().fold(0, |n, o| n << 8 | u64::from(*o)))
    }

    /// An element as text, without the zeros that NetFlow v9 pads it with.
    pub fn text(&self, enterprise: u32, element_id: u16) -> Option<String> {
        let octets = self.octets(enterprise, element_id)?;
        let text = String::from_utf8_lossy(octets);
        Some(text.trim_end_matches('\0').to_string())
    }
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// 10 for IPFIX, 9 for NetFlow v9.
    pub version: u16,
    /// When the message was exported, in Unix seconds.
    pub export_time_s: u32,
    /// The sequence number of the message's first record (IPFIX) or of the message (NetFlow v9).
    pub sequence_number: u32,
    /// The observation domain, or the source of NetFlow v9.
    pub observation_domain: u32,
    /// The data records.
    pub records: Vec<DataRecord>,
    /// How many sets were skipped because their template has not been received.
    pub unknown_set_count: usize,
}
