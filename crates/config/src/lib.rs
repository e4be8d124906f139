//! Reads the settings of the configuration into the policy's parameters, and keeps the names behind its identifiers.
//!
//! Unknown settings are ignored. One that is left out gets the value that grants least. One that no gateway could keep to is
//! refused with its field.

#![warn(missing_docs, unreachable_pub)]

mod error;
mod hash;
mod names;
mod parameters;
mod settings;

pub use error::SettingsError;
pub use hash::{fnv1a, gossip_id};
pub use names::{ClassNames, EndpointNames, Names};
pub use parameters::read;
