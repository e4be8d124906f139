//! Information elements: the meaning, type and length of a record's field.

/// The enterprise number reserved for documentation (RFC 5612), under which the gateway's enterprise-specific elements are defined.
pub const ENTERPRISE_NUMBER: u32 = 32_473;
/// The length that a template states for a variable-length field, whose length is in each record (RFC 7011, section 7).
pub const VARIABLE_LENGTH: u16 = 65_535;

/// Abstract data types (RFC 7012, section 3.1). The discriminants are their numbers in type records (RFC 5610, section 3.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum DataType {
    /// An unsigned number of one octet.
    Unsigned8 = 1,
    /// An unsigned number of two octets.
    Unsigned16 = 2,
    /// An unsigned number of four octets.
    Unsigned32 = 3,
    /// An unsigned number of eight octets.
    Unsigned64 = 4,
    /// UTF-8 text.
    String = 13,
    /// Milliseconds since 1970.
    DateTimeMilliseconds = 15,
}

/// Data type semantics (RFC 7012, section 3.2). The discriminants are their numbers in type records (RFC 5610, section 3.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Semantics {
    /// No semantics apply.
    Default = 0,
    /// A measured value.
    Quantity = 1,
    /// A count since the exporting process started.
    TotalCounter = 2,
    /// A count over the record's interval.
    DeltaCounter = 3,
    /// A number that identifies something.
    Identifier = 4,
}

/// An information element, either from IANA's registry or enterprise-specific.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InformationElement {
    /// The number of the enterprise that defines the element; `None` for IANA's registry.
    pub enterprise: Option<u32>,
    /// The element's id, from 1 to 32,767.
    pub id: u16,
    /// The element's registered name.
    pub name: &'static str,
    /// The abstract data type of the element's values.
    pub data_type: DataType,
    /// The semantics of the element's values.
    pub semantics: Semantics,
    /// IANA's number of the unit (informationElementUnits, 345): 0 for none, 2 octets, 4 seconds, 5 milliseconds.
    pub units: u16,
}

impl InformationElement {
    /// Returns the length that an IPFIX template states, in octets; [`VARIABLE_LENGTH`] for text.
    pub const fn length(&self) -> u16 {
        match self.data_type {
            DataType::Unsigned8 => 1,
            DataType::Unsigned16 => 2,
            DataType::Unsigned32 => 4,
            DataType::Unsigned64 | DataType::DateTimeMilliseconds => 8,
            DataType::String => VARIABLE_LENGTH,
        }
    }
}
