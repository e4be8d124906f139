//! The command line and `harrierdock keys`.

pub mod arguments;
pub mod keys;
