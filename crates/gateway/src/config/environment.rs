//! Environment variables that set fields of the configuration.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use super::error::{ConfigError, FileError};

/// Sets the gateway's name.
pub(super) const NAME_VARIABLE: &str = "LB_NAME";
/// Sets the address to listen on for clients.
pub(super) const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// Sets the address of the discovery service.
pub(super) const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";
const LISTEN_FIELD: &str = "listen";

/// A configuration field and the environment variable that sets it.
struct EnvironmentField {
    variable: &'static str,
    field: &'static str,
}

const ENVIRONMENT_FIELDS: [EnvironmentField; 3] = [
    EnvironmentField {
        variable: NAME_VARIABLE,
        field: "name",
    },
    EnvironmentField {
        variable: LISTEN_VARIABLE,
        field: LISTEN_FIELD,
    },
    EnvironmentField {
        variable: DISCOVERY_VARIABLE,
        field: "discovery",
    },
];

/// Which source takes precedence if both the environment and the file set a field.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Precedence {
    Environment,
    File,
}

/// Returns the address to listen on if the environment sets it. It is available before the configuration file is read.
///
/// # Errors
///
/// The variable does not contain a socket address.
pub(crate) fn listen_address() -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(text) = std::env::var(LISTEN_VARIABLE) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(source) => Err(ConfigError::ListenVariable { text, source }),
    }
}

/// Checks that `listen`, if the file sets it, equals the address that is already bound.
pub(super) fn check_listen_address(
    fields: &Map<String, Value>,
    listening_on: SocketAddr,
) -> Result<(), FileError> {
    let Some(in_file) = fields.get(LISTEN_FIELD).and_then(Value::as_str) else {
        return Ok(());
    };
    if in_file.parse() == Ok(listening_on) {
        return Ok(());
    }
    Err(FileError::ListenDiffers {
        in_file: in_file.into(),
        listening_on,
    })
}

/// Sets the fields for which the environment has a value.
pub(super) fn set_fields(fields: &mut Map<String, Value>, precedence: Precedence) {
    for EnvironmentField { variable, field } in ENVIRONMENT_FIELDS {
        let Ok(value) = std::env::var(variable) else {
            continue;
        };
        if precedence == Precedence::Environment || !fields.contains_key(field) {
            fields.insert(field.into(), value.into());
        }
    }
}
