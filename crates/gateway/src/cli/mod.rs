//! Sub-commands and their arguments.

pub mod arguments;
pub mod flow_report;
pub mod keys;
