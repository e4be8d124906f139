//! What is refused in the settings.

use thiserror::Error;

/// Why the settings are refused. The message names the field, its value and what it should be.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A field is missing, or is not of its type.
    #[error("{0}")]
    Malformed(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A name in a list is empty.
    #[error("{list}: a name is empty")]
    EmptyName {
        /// The list.
        list: &'static str,
    },
    /// A list has a name twice.
    #[error("{list}: {name}: there are two of this name")]
    DuplicateName {
        /// The list.
        list: &'static str,
        /// The name.
        name: String,
    },
    /// A number that has to be positive or zero is negative.
    #[error("{field}: {value} is negative")]
    Negative {
        /// The field, with what it belongs to.
        field: String,
        /// Its value.
        value: f64,
    },
    /// A ratio is out of its range.
    #[error("{field}: {value} is not between 0 and 1")]
    NotARatio {
        /// The field, with what it belongs to.
        field: String,
        /// Its value.
        value: f64,
    },
    /// A class leaves no time to answer in.
    #[error("{field}: {value} is no time to answer in")]
    NoTime {
        /// The field, with what it belongs to.
        field: String,
        /// Its value in microseconds.
        value: i64,
    },
    /// A class has idempotency keys, and it is not said which endpoints recognise them.
    #[error("classes: {class}: group: missing, so nobody knows which servers drop a repeat")]
    MissingIdempotencyScope {
        /// The class.
        class: String,
    },
    /// This gateway's place is not in its fleet.
    #[error("ordinal: {ordinal} is not below balancers, {gateway_count}")]
    OrdinalTooHigh {
        /// This gateway's place.
        ordinal: usize,
        /// How many gateways there are.
        gateway_count: usize,
    },
}
