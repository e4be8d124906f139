//! Command line arguments and the `harrierdock keys` command.

pub(crate) mod arguments;
pub(crate) mod keys;
