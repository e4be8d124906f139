//! Configuration: the platform's file, the extension file beside it, and what they may be refused for.

pub mod error;
pub mod extension;
pub mod gateway;
pub mod lease;
pub mod sites;
