//! Reports on files of exported flows: a table by build, stage and request class, with exposure limits, and charts of each build's
//! share and failures over time.

mod chart;
mod ipfix_file;
mod parquet_table;
mod record;
mod table;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use harrierdock_ipfix::{DecodeError, FileError};
use parquet::errors::ParquetError;
use thiserror::Error;

use record::{AttemptRecord, BuildAtTime, BuildStage, ClassAtStage, ReportRecord, ShareRecord};

/// An error of reading flow files or drawing charts.
#[derive(Debug, Error)]
#[error("{}: {cause}", path.display())]
pub struct ReportError {
    /// The file that is read or drawn.
    pub path: PathBuf,
    /// The error of that file.
    #[source]
    pub cause: ReportErrorCause,
}

/// Why a file cannot be read or drawn.
#[derive(Debug, Error)]
pub enum ReportErrorCause {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The file holds something other than IPFIX messages.
    #[error(transparent)]
    NotIpfix(#[from] FileError),
    /// A message cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The file is not a valid Parquet table.
    #[error(transparent)]
    Parquet(#[from] ParquetError),
    /// The files contain no attempts to draw.
    #[error("there are no attempts to draw")]
    NoAttempts,
    /// The chart cannot be drawn.
    #[error(transparent)]
    Chart(Box<dyn std::error::Error>),
}

impl ReportErrorCause {
    fn with_path(self, path: &Path) -> ReportError {
        ReportError {
            path: path.to_path_buf(),
            cause: self,
        }
    }
}

/// Counts of attempts, by outcome and in total.
#[derive(Clone, Copy, Default)]
struct AttemptCounts {
    attempts: u64,
    succeeded: u64,
    server_errors: u64,
    timed_out: u64,
    late: u64,
    duration_us: u64,
    retries: u64,
}

impl AttemptCounts {
    fn add(&mut self, other: &AttemptCounts) {
        self.attempts += other.attempts;
        self.succeeded += other.succeeded;
        self.server_errors += other.server_errors;
        self.timed_out += other.timed_out;
        self.late += other.late;
        self.duration_us += other.duration_us;
        self.retries += other.retries;
    }
}

/// A build's attempts among all received requests, and its exposure limit.
#[derive(Clone, Copy, Default)]
struct ShareCounts {
    attempts: u64,
    received_requests: u64,
    exposure_limit_ppm: u64,
}

impl ShareCounts {
    fn add(&mut self, share: &ShareRecord) {
        self.attempts += share.attempts;
        self.received_requests += share.received_requests;
        self.exposure_limit_ppm = share.exposure_limit_ppm;
    }
}

/// The totals of files of exported flows.
#[derive(Default)]
pub struct FlowReport {
    by_class: BTreeMap<ClassAtStage, AttemptCounts>,
    by_time: BTreeMap<BuildAtTime, AttemptCounts>,
    shares_by_stage: BTreeMap<BuildStage, ShareCounts>,
    shares_by_time: BTreeMap<BuildAtTime, ShareCounts>,
    notes: Vec<String>,
}

impl FlowReport {
    /// Reads files, oldest first. Files with the extension `parquet` are tables; all others hold IPFIX messages.
    ///
    /// # Errors
    /// A file is unreadable or invalid. An incomplete last message is no error; it is skipped with a note.
    pub fn read(paths: &[PathBuf]) -> Result<FlowReport, ReportError> {
        let mut report = FlowReport::default();
        for path in paths {
            let is_parquet = path.extension().is_some_and(|e| e == "parquet");
            let read = if is_parquet {
                parquet_table::read(path, &mut report)
            } else {
                ipfix_file::read(path, &mut report)
            };
            read.map_err(|cause| cause.with_path(path))?;
        }
        Ok(report)
    }

    /// Returns notes on the files, such as incomplete messages, one line each.
    pub fn notes(&self) -> &[String] {
        &self.notes
    }

    /// Returns the table as text, with a line for each build, stage and request class.
    pub fn table(&self) -> String {
        table::format(self)
    }

    /// Draws two charts as SVG: each build's share of attempts with its exposure limit, and the ratio of its attempts that did not
    /// succeed.
    ///
    /// # Errors
    /// There are no attempts, or the file cannot be written.
    pub fn draw_charts(&self, path: &Path) -> Result<(), ReportError> {
        chart::draw(self, path).map_err(|cause| cause.with_path(path))
    }

    fn add_note(&mut self, note: String) {
        self.notes.push(note);
    }

    fn add(&mut self, record: ReportRecord) {
        match record {
            ReportRecord::Attempts(attempts) => self.add_attempts(attempts),
            ReportRecord::Share(share) => self.add_share(&share),
        }
    }

    fn add_attempts(&mut self, record: AttemptRecord) {
        let at_time = BuildAtTime {
            end_ms: record.end_ms,
            build: record.stage.build,
        };
        let class_at_stage = ClassAtStage {
            stage: record.stage,
            class: record.class,
        };
        self.by_class
            .entry(class_at_stage)
            .or_default()
            .add(&record.counts);
        self.by_time.entry(at_time).or_default().add(&record.counts);
    }

    fn add_share(&mut self, share: &ShareRecord) {
        let at_time = BuildAtTime {
            end_ms: share.end_ms,
            build: share.stage.build,
        };
        self.shares_by_stage
            .entry(share.stage)
            .or_default()
            .add(share);
        self.shares_by_time.entry(at_time).or_default().add(share);
    }
}
