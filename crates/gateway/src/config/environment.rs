//! The variables of the environment that stand beside the configuration file.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use super::error::{ConfigError, FileError};

/// Gives this gateway's name.
pub(super) const NAME_VARIABLE: &str = "LB_NAME";
/// Gives the address to listen on.
pub(super) const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// Gives the address of discovery.
pub(super) const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";
const LISTEN_FIELD: &str = "listen";

/// A field that a variable of the environment may give.
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

/// Whether the environment or the file comes first.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Precedence {
    Environment,
    File,
}

/// The address to listen on, if the environment names it. It is known before any file is read.
///
/// # Errors
///
/// The variable holds no address.
pub(crate) fn listen_address() -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(text) = std::env::var(LISTEN_VARIABLE) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(source) => Err(ConfigError::ListenVariable { text, source }),
    }
}

/// Checks that a file names no other address than the one that is listened on.
pub(super) fn check_listen_address(
    fields: &Map<String, Value>,
    listening_on: SocketAddr,
) -> Result<(), FileError> {
    let Some(named) = fields.get(LISTEN_FIELD).and_then(Value::as_str) else {
        return Ok(());
    };
    if named.parse() == Ok(listening_on) {
        return Ok(());
    }
    Err(FileError::ListenDiffers {
        named: named.into(),
        listening_on,
    })
}

/// Sets the fields that the environment gives.
pub(super) fn apply(fields: &mut Map<String, Value>, precedence: Precedence) {
    for EnvironmentField { variable, field } in ENVIRONMENT_FIELDS {
        let Ok(value) = std::env::var(variable) else {
            continue;
        };
        if precedence == Precedence::Environment || !fields.contains_key(field) {
            fields.insert(field.into(), value.into());
        }
    }
}
