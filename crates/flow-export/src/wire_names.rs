//! The names of kinds, outcomes and paths in records, reports and the log.

use harrierdock_flow_metering::{FlowOutcome, FlowPath, RecordKind};

/// Returns a record kind's name in tables and in the log.
pub(crate) const fn kind(kind: RecordKind) -> &'static str {
    match kind {
        RecordKind::Attempt => "submission",
        RecordKind::Request => "txn",
    }
}

/// The record kind of a build's share of attempts, in tables.
pub(crate) const SHARE_KIND: &str = "share";

/// Returns an outcome's value of the information element `hdOutcome`.
pub(crate) const fn outcome(outcome: FlowOutcome) -> &'static str {
    match outcome {
        FlowOutcome::Succeeded => "served",
        FlowOutcome::ServerError => "errored",
        FlowOutcome::Rejected => "full",
        FlowOutcome::TimedOut => "timed-out",
        FlowOutcome::ConnectFailed => "connect-failed",
        FlowOutcome::Reset => "reset",
        FlowOutcome::Cancelled => "recalled",
        FlowOutcome::NotSent => "moot",
        FlowOutcome::RequestSucceeded => "settled",
        FlowOutcome::RequestRejected => "declined",
        FlowOutcome::RequestFailed => "voided",
        FlowOutcome::ClientDisconnected => "left",
    }
}

/// Returns a path's value of the information element `hdRoad`.
pub(crate) const fn path(path: FlowPath) -> &'static str {
    match path {
        FlowPath::Local => "here",
        FlowPath::Forwarded => "across",
        FlowPath::Inbound => "inward",
    }
}
