//! Flow export: sends the flows of `harrierdock-flow-metering` to collectors over UDP, TCP or TLS, writes them to a file, and
//! reports on such files.
//!
//! Nothing here blocks the event loop: sockets are non-blocking, and a thread writes the file. Each call of
//! [`FlowExporter::export`] drives all connections and the file.

#![warn(missing_docs, unreachable_pub)]

mod collector;
mod connection;
mod error;
mod export_context;
mod exporter;
mod file_writer;
mod information_elements;
mod key_files;
mod observed_totals;
mod rate_limit;
pub mod report;
mod rollout_share;
mod rotating_file;
mod send_queue;
mod settings;
mod templates;
mod wire_names;

pub use collector::CollectorSummary;
pub use error::{FlowExportError, SettingsError};
pub use exporter::{ExportSummary, ExporterSetup, FinishedAttempt, FinishedRequest, FlowExporter};
pub use key_files::{KeyFileError, KeyFiles};
pub use settings::{
    CollectorSettings, FlowExportSettings, FlowFileSettings, MessageFormat, Transport,
};
