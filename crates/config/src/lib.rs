//! Reads the configuration's settings into the policy's parameters, and maps names to identifiers.
//!
//! Unknown settings are ignored. A missing setting gets the most restrictive value. An invalid setting is rejected with an
//! error that names its field.

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
