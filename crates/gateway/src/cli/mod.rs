//! The command line and `harrierdock keys`.

pub(crate) mod arguments;
pub(crate) mod keys;
