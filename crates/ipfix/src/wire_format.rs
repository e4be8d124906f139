//! The two wire formats, and their sizes and numbers.

/// Size of a text field in NetFlow v9, which has no variable-length fields. Shorter text is padded with zeros.
pub const NETFLOW_V9_STRING_OCTETS: u16 = 32;

/// NetFlow v9 pads each set to a multiple of this many octets.
pub(crate) const NETFLOW_V9_ALIGNMENT_OCTETS: usize = 4;
pub(crate) const IPFIX_VERSION: u16 = 10;
pub(crate) const NETFLOW_V9_VERSION: u16 = 9;
pub(crate) const IPFIX_HEADER_OCTETS: usize = 16;
pub(crate) const NETFLOW_V9_HEADER_OCTETS: usize = 20;
pub(crate) const SET_HEADER_OCTETS: usize = 4;
/// The lowest id of a data set. A data set has the id of its template.
pub(crate) const FIRST_DATA_SET_ID: u16 = 256;
/// The bit of an element id that marks an enterprise-specific element.
pub(crate) const ENTERPRISE_BIT: u16 = 0x8000;

/// The wire format of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireFormat {
    /// IPFIX (RFC 7011).
    Ipfix,
    /// NetFlow v9 (RFC 3954).
    NetflowV9,
}

/// What a set holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SetKind {
    Templates,
    OptionsTemplates,
    /// Data records of the template with this id.
    Data(u16),
}

impl WireFormat {
    pub(crate) fn header_octets(self) -> usize {
        match self {
            WireFormat::Ipfix => IPFIX_HEADER_OCTETS,
            WireFormat::NetflowV9 => NETFLOW_V9_HEADER_OCTETS,
        }
    }

    pub(crate) fn set_id(self, kind: SetKind) -> u16 {
        match (self, kind) {
            (WireFormat::Ipfix, SetKind::Templates) => 2,
            (WireFormat::Ipfix, SetKind::OptionsTemplates) => 3,
            (WireFormat::NetflowV9, SetKind::Templates) => 0,
            (WireFormat::NetflowV9, SetKind::OptionsTemplates) => 1,
            (_, SetKind::Data(template_id)) => template_id,
        }
    }

    pub(crate) fn set_kind(self, set_id: u16) -> Option<SetKind> {
        match (self, set_id) {
            (WireFormat::Ipfix, 2) | (WireFormat::NetflowV9, 0) => Some(SetKind::Templates),
            (WireFormat::Ipfix, 3) | (WireFormat::NetflowV9, 1) => Some(SetKind::OptionsTemplates),
            (_, FIRST_DATA_SET_ID..) => Some(SetKind::Data(set_id)),
            _ => None,
        }
    }
}
