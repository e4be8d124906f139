//! The configuration, its environment variables and the extension file.

pub mod extensions;
pub mod gateway;
pub mod lease;
