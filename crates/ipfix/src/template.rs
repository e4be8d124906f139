//! Templates, and the values that fill their fields.

use crate::InformationElement;

/// A template, or an options template if some of its first fields are scope fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    /// The template's number, from 256 on.
    pub id: u16,
    /// How many of the first fields are scope fields.
    pub scope_field_count: u16,
    /// The fields of each record, in order.
    pub fields: Vec<InformationElement>,
}

/// The value of one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// The value of a field of a numeric type, or a time in milliseconds since 1970.
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
