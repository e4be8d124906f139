//! Export of flow records to collectors and to a file.

#[path = "../../../flow-export/src/exporter.rs"]
pub mod exporter;
#[path = "../../../flow-export/src/file_writer.rs"]
pub mod file;
