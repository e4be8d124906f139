//! Configuration: the platform's configuration file, the extension file, and their errors.

pub(crate) mod environment;
pub(crate) mod error;
pub(crate) mod extension;
pub(crate) mod gateway;
pub(crate) mod lease;
pub(crate) mod sites;
