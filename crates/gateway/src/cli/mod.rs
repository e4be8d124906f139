//! Sub-commands and their arguments.

pub mod arguments;
#[path = "../../../flow-export/src/report/mod.rs"]
pub mod flow_report;
pub mod keys;
