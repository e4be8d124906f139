//! Reports on files of exported flows: a table by build, stage and request class beside the exposure limits, and charts of the
//! builds' shares and failures over time.

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

/// Why a report cannot be made.
#[derive(Debug, Error)]
#[error("{}: {cause}", path.display())]
pub struct ReportError {
    /// The file that is read, or that a chart is drawn to.
    pub path: PathBuf,
    /// What is wrong with it.
    #[source]
    pub cause: ReportErrorCause,
}

/// What is wrong with a file.
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
    /// The file is no Parquet table.
    #[error(transparent)]
    Parquet(#[from] ParquetError),
    /// There is nothing to draw.
    #[error("there are no submissions to draw")]
    NoAttempts,
    /// The chart cannot be drawn.
    #[error(transparent)]
    Chart(Box<dyn std::error::Error>),
}

impl ReportErrorCause {
    fn at(self, path: &Path) -> ReportError {
        ReportError {
            path: path.to_path_buf(),
            cause: self,
        }
    }
}

/// Counts of attempts.
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

/// A build's share of attempts, beside its exposure limit.
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

/// What files of exported flows hold, summed up.
#[derive(Default)]
pub struct FlowReport {
    by_class: BTreeMap<ClassAtStage, AttemptCounts>,
    by_time: BTreeMap<BuildAtTime, AttemptCounts>,
    shares_by_stage: BTreeMap<BuildStage, ShareCounts>,
    shares_by_time: BTreeMap<BuildAtTime, ShareCounts>,
    notes: Vec<String>,
}

impl FlowReport {
    /// Reads files, the oldest first: Parquet tables by their extension, all others as IPFIX messages.
    ///
    /// # Errors
    /// A file cannot be read. A truncated last message is noted and skipped.
    pub fn read(paths: &[PathBuf]) -> Result<FlowReport, ReportError> {
        let mut report = FlowReport::default();
        for path in paths {
            let is_parquet = path.extension().is_some_and(|e| e == "parquet");
            let read = if is_parquet {
                parquet_table::read(path, &mut report)
            } else {
                ipfix_file::read(path, &mut report)
            };
            read.map_err(|cause| cause.at(path))?;
        }
        Ok(report)
    }

    /// Notes on the files, one line each.
    pub fn notes(&self) -> &[String] {
        &self.notes
    }

    /// The table: a line for each build, stage and request class.
    pub fn table(&self) -> String {
        table::format(self)
    }

    /// Draws two charts as SVG: each build's share of attempts with its exposure limit, and the share of its attempts that did
    /// not succeed.
    ///
    /// # Errors
    /// There are no attempts, or the file cannot be written.
    pub fn draw_charts(&self, path: &Path) -> Result<(), ReportError> {
        chart::draw(self, path).map_err(|cause| cause.at(path))
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
        let class = ClassAtStage {
            stage: record.stage,
            class: record.class,
        };
        self.by_class.entry(class).or_default().add(&record.counts);
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
