//! Export of flow records to collectors and to a file.

pub mod exporter;
pub mod file;
