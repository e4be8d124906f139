//! Templates, and the values of their fields.

use crate::InformationElement;

/// A template; an options template if it has scope fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// The template's id, at least 256.
    pub id: u16,
    /// The number of scope fields, which come first.
    pub scope_field_count: u16,
    /// The fields of a record, in order.
    pub fields: Vec<InformationElement>,
}

/// The value of a field to encode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// The value of a numeric field, or a time in milliseconds since 1970.
    Number(u64),
    /// The value of a text field.
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
