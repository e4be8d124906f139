//! Configuration: the platform's file, the extension file beside it, and what they may be refused for.

pub(crate) mod environment;
pub(crate) mod error;
pub(crate) mod extension;
pub(crate) mod gateway;
pub(crate) mod lease;
pub(crate) mod sites;
