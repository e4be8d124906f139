//! Errors in the settings.

use thiserror::Error;

/// Why settings were rejected. The message names the field, its value and the allowed values.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A field is missing or has the wrong type.
    #[error("{0}")]
    Malformed(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A name in a list is empty.
    #[error("{list}: a name is empty")]
    EmptyName {
        /// The settings key of the list.
        list: &'static str,
    },
    /// A list contains the same name twice.
    #[error("{list}: {name}: duplicate name")]
    DuplicateName {
        /// The settings key of the list.
        list: &'static str,
        /// The duplicated name.
        name: String,
    },
    /// A number that must be zero or positive is negative.
    #[error("{field}: {value} is negative")]
    Negative {
        /// The settings field with its path, such as `classes: NAME: aim`.
        field: String,
        /// The negative value.
        value: f64,
    },
    /// A ratio is outside the range 0 to 1.
    #[error("{field}: {value} is not between 0 and 1")]
    NotARatio {
        /// The settings field with its path, such as `classes: NAME: aim`.
        field: String,
        /// The value out of range.
        value: f64,
    },
    /// A class's latency objective or timeout is zero or negative.
    #[error("{field}: {value} is not a positive duration")]
    NotPositive {
        /// The settings field with its path, such as `classes: NAME: aim`.
        field: String,
        /// The value in microseconds.
        value: i64,
    },
    /// A class uses idempotency keys, but its settings do not state which endpoints share their store of keys.
    #[error("classes: {class}: group: missing, but required to know which servers drop a duplicate request")]
    MissingIdempotencyScope {
        /// The name of the class.
        class: String,
    },
    /// This gateway's index is not below the size of the fleet.
    #[error("ordinal: {ordinal} is not below balancers, {gateway_count}")]
    OrdinalTooHigh {
        /// This gateway's index in the fleet.
        ordinal: usize,
        /// The configured number of gateways.
        gateway_count: usize,
    },
}
