//! Information elements, templates made of them, and their values.

/// The enterprise number kept for documentation (RFC 5612), under which our own elements stand.
pub const ENTERPRISE: u32 = 32_473;
/// The length that says that a field tells its own (RFC 7011, 7).
pub const VARIABLE: u16 = 65_535;

/// Abstract data types (RFC 7012, 3.1), with their numbers for type records (RFC 5610, 3.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    Unsigned8 = 1,
    Unsigned16 = 2,
    Unsigned32 = 3,
    Unsigned64 = 4,
    Text = 13,
    /// Milliseconds since 1970.
    Milliseconds = 15,
}

/// Data type semantics (RFC 7012, 3.2), with their numbers for type records (RFC 5610, 3.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Semantics {
    Default = 0,
    Quantity = 1,
    TotalCounter = 2,
    DeltaCounter = 3,
    Identifier = 4,
}

/// An information element: of IANA's registry, or of an enterprise's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Element {
    pub enterprise: Option<u32>,
    /// From 1 to 32,767.
    pub id: u16,
    pub name: &'static str,
    pub kind: Kind,
    pub semantics: Semantics,
    /// IANA's number of the unit (informationElementUnits, 345): 0 none, 2 octets, 4 seconds, 5 milliseconds.
    pub units: u16,
}

impl Element {
    /// The length in octets in a template; texts tell their own.
    pub const fn length(&self) -> u16 {
        match self.kind {
            Kind::Unsigned8 => 1,
            Kind::Unsigned16 => 2,
            Kind::Unsigned32 => 4,
            Kind::Unsigned64 | Kind::Milliseconds => 8,
            Kind::Text => VARIABLE,
        }
    }
}

/// A template, or an options template if some of its first fields are a scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// From 256 on.
    pub id: u16,
    pub scope: u16,
    pub fields: Vec<Element>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    Number(u64),
    Text(String),
}

impl From<u64> for Value {
    fn from(number: u64) -> Value {
        Value::Number(number)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::Text(text.into())
    }
}
