//! The records of a report, from either kind of file.

use harrierdock_flow_metering::{FlowOutcome, RecordKind};

use super::AttemptCounts;
use crate::wire_names;

/// A build at a stage of its rollout.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BuildStage {
    pub(super) build: u64,
    pub(super) stage: u64,
}

/// A request class at a build's stage.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClassAtStage {
    pub(super) stage: BuildStage,
    pub(super) class: String,
}

/// A build in the interval that ended at `end_ms`, in milliseconds since 1970.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BuildAtTime {
    pub(super) end_ms: u64,
    pub(super) build: u64,
}

/// A flow of attempts.
pub(super) struct AttemptRecord {
    pub(super) end_ms: u64,
    pub(super) stage: BuildStage,
    pub(super) class: String,
    pub(super) counts: AttemptCounts,
}

/// A build's share of attempts.
pub(super) struct ShareRecord {
    pub(super) end_ms: u64,
    pub(super) stage: BuildStage,
    pub(super) attempts: u64,
    pub(super) received_requests: u64,
    pub(super) exposure_limit_ppm: u64,
}

/// A record that reports use.
pub(super) enum ReportRecord {
    Attempts(AttemptRecord),
    Share(ShareRecord),
}

/// The fields of a record; fields that it lacks are 0 or empty.
#[derive(Default)]
pub(super) struct RecordFields {
    pub(super) kind: String,
    pub(super) end_ms: u64,
    pub(super) build: u64,
    pub(super) stage: u64,
    pub(super) class: String,
    pub(super) outcome: String,
    pub(super) count: u64,
    pub(super) retries: u64,
    pub(super) late: u64,
    pub(super) duration_us: u64,
    pub(super) received_requests: u64,
    pub(super) exposure_limit_ppm: u64,
}

impl RecordFields {
    /// Converts the fields to a record; `None` if reports do not use its kind.
    pub(super) fn into_record(self) -> Option<ReportRecord> {
        let stage = BuildStage {
            build: self.build,
            stage: self.stage,
        };
        if self.kind == wire_names::kind(RecordKind::Attempt) {
            let counts = self.attempt_counts();
            return Some(ReportRecord::Attempts(AttemptRecord {
                end_ms: self.end_ms,
                stage,
                class: self.class,
                counts,
            }));
        }
        (self.kind == wire_names::SHARE_KIND).then_some(ReportRecord::Share(ShareRecord {
            end_ms: self.end_ms,
            stage,
            attempts: self.count,
            received_requests: self.received_requests,
            exposure_limit_ppm: self.exposure_limit_ppm,
        }))
    }

    fn attempt_counts(&self) -> AttemptCounts {
        AttemptCounts {
            attempts: self.count,
            succeeded: self.count_if(FlowOutcome::Succeeded),
            server_errors: self.count_if(FlowOutcome::ServerError),
            timed_out: self.count_if(FlowOutcome::TimedOut),
            late: self.late,
            duration_us: self.duration_us,
            retries: self.retries,
        }
    }

    fn count_if(&self, outcome: FlowOutcome) -> u64 {
        if self.outcome == wire_names::outcome(outcome) {
            self.count
        } else {
            0
        }
    }
}
