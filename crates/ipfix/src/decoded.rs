//! Decoded messages and their records.

/// Pseudo enterprise number of NetFlow v9 scope fields, whose type numbers are independent of element ids.
pub const NETFLOW_V9_SCOPE: u32 = u32::MAX;

/// One field of a decoded record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldValue {
    /// The enterprise number of the element: 0 for IANA's registry, [`NETFLOW_V9_SCOPE`] for a NetFlow v9 scope field.
    pub enterprise: u32,
    /// The information element's id, or the type of a NetFlow v9 scope field.
    pub element_id: u16,
    /// The encoded value.
    pub octets: Vec<u8>,
}

/// A decoded data record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataRecord {
    /// The id of the record's template.
    pub template_id: u16,
    /// The number of scope fields, which come first.
    pub scope_field_count: u16,
    /// The fields, in template order.
    pub fields: Vec<FieldValue>,
}

impl DataRecord {
    /// Returns the encoded value of an element; `None` if the record lacks it.
    pub fn octets(&self, enterprise: u32, element_id: u16) -> Option<&[u8]> {
        self.fields
            .iter()
            .find(|field| field.enterprise == enterprise && field.element_id == element_id)
            .map(|field| &field.octets[..])
    }

    /// Returns an element's value as a number; `None` if the record lacks it or it has more than eight octets.
    pub fn number(&self, enterprise: u32, element_id: u16) -> Option<u64> {
        let octets = self
            .octets(enterprise, element_id)
            .filter(|octets| octets.len() <= 8)?;
        Some(
            octets
                .iter()
                .fold(0, |number, octet| number << 8 | u64::from(*octet)),
        )
    }

    /// Returns an element's value as text, without the zero padding of NetFlow v9; `None` if the record lacks it.
    pub fn text(&self, enterprise: u32, element_id: u16) -> Option<String> {
        let octets = self.octets(enterprise, element_id)?;
        let text = String::from_utf8_lossy(octets);
        Some(text.trim_end_matches('\0').to_string())
    }
}

/// A decoded IPFIX or NetFlow v9 message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// 10 for IPFIX, 9 for NetFlow v9.
    pub version: u16,
    /// The export time, in seconds since 1970.
    pub export_time_s: u32,
    /// The number of data records (IPFIX) or messages (NetFlow v9) that the exporter sent before this message, modulo 2^32.
    pub sequence_number: u32,
    /// The observation domain id of IPFIX, or the source id of NetFlow v9.
    pub observation_domain: u32,
    /// The decoded data records, in message order.
    pub records: Vec<DataRecord>,
    /// The number of data sets skipped because their template is unknown.
    pub unknown_set_count: usize,
}
