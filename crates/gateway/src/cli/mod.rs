//! Sub-commands and their arguments.

pub mod arguments;
pub mod keys;
