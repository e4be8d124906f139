//! Errors in the lease settings.

use thiserror::Error;

use crate::configuration::{MAX_CLOCK_DRIFT_RATIO, MAX_ELECTORS, MAX_LEASES, MIN_ELECTORS};

/// Why settings or a changed electorate are refused. Each message says how to correct the setting.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigurationError {
    /// The gateway's own name is not in the list of gateways.
    #[error(
        "own name {name} is not listed: add it to `gateways`, or start this gateway under a listed name"
    )]
    UnknownOwnName {
        /// The gateway's own name.
        name: String,
    },
    /// A name is listed twice.
    #[error("name {name} is listed twice: remove one from `gateways`")]
    DuplicateName {
        /// The name that occurs twice.
        name: String,
    },
    /// Two names have the same hash, which identifies a gateway in messages.
    #[error(
        "names {one} and {other} have the same hash in messages: rename one of these gateways"
    )]
    NameHashCollision {
        /// The first name.
        one: String,
        /// The second name.
        other: String,
    },
    /// Too few electors for the quorum to survive the failure of one.
    #[error(
        "{count} electors are too few: list at least {MIN_ELECTORS} in `electorate`, so that one may fail"
    )]
    TooFewElectors {
        /// How many are listed.
        count: usize,
    },
    /// Too many electors: more would add traffic and delay.
    #[error("{count} electors are too many: list at most {MAX_ELECTORS} in `electorate`, since each adds traffic and delay")]
    TooManyElectors {
        /// How many are listed.
        count: usize,
    },
    /// An elector is not in the list of gateways.
    #[error("elector {name} is not listed: add it to `gateways`, or remove it from `electorate`")]
    UnknownElector {
        /// The elector's name.
        name: String,
    },
    /// An elector is listed twice.
    #[error("elector {name} is listed twice: remove one from `electorate`")]
    DuplicateElector {
        /// The elector's name.
        name: String,
    },
    /// The lease lasts less than two heartbeat intervals, so one lost renewal would end it.
    #[error(
        "a lease of {lease_ms} ms is shorter than two heartbeats of {heartbeat_ms} ms: increase `lease_ms` or \
             reduce `heartbeat_ms`, so that one lost message doesn't end a lease"
    )]
    LeaseTooShort {
        /// The lease's duration in milliseconds.
        lease_ms: i64,
        /// The renewal interval in milliseconds.
        heartbeat_ms: i64,
    },
    /// The lease duration is out of range.
    #[error("a lease of {lease_ms} ms is out of range: configure 100 ms to 60 s")]
    LeaseOutOfRange {
        /// The lease's duration in milliseconds.
        lease_ms: i64,
    },
    /// The renewal interval is out of range.
    #[error("a heartbeat of {heartbeat_ms} ms is out of range: configure at least 10 ms")]
    HeartbeatOutOfRange {
        /// The renewal interval in milliseconds.
        heartbeat_ms: i64,
    },
    /// The clock drift is out of range.
    #[error(
        "a clock drift of {ratio} is out of range: configure a ratio from 0 to {MAX_CLOCK_DRIFT_RATIO}, such as 0.02"
    )]
    ClockDriftOutOfRange {
        /// The largest error of a clock's rate, as a ratio.
        ratio: f64,
    },
    /// The longest lease of the running gateways is shorter than the configured lease.
    #[error(
        "a longest lease of {longest_ms} ms is shorter than the lease: configure the longest lease of any running gateway"
    )]
    LongestLeaseTooShort {
        /// The longest lease's duration in milliseconds.
        longest_ms: i64,
    },
    /// There is no lease with this name.
    #[error("lease {name} is unknown: use `steward` (rollout controller), `heir` (recovery owner) or `speaker:NUMBER` (aggregator) in `duties`")]
    UnknownLease {
        /// The configured name.
        name: String,
    },
    /// A lease is listed twice.
    #[error("lease {name} is listed twice: remove one from `duties`")]
    DuplicateLease {
        /// The lease's name.
        name: String,
    },
    /// Too many leases: each adds the traffic of its renewals.
    #[error("{count} leases are too many: list at most {MAX_LEASES} in `duties`, since each adds traffic")]
    TooManyLeases {
        /// How many are listed.
        count: usize,
    },
    /// The new electorate's number isn't the current number plus one.
    #[error(
        "electorate {proposed} cannot follow {current}: increase `electorate_number` by exactly one at each change"
    )]
    ElectorateNumberNotNext {
        /// The proposed electorate's number.
        proposed: u32,
        /// The current electorate's number.
        current: u32,
    },
    /// The new electorate doesn't differ by exactly one member.
    #[error("the members of electorate {proposed} and electorate {current} do not differ by exactly one: add or remove one at a time")]
    ElectorateChangeNotByOne {
        /// The proposed electorate's number.
        proposed: u32,
        /// The current electorate's number.
        current: u32,
    },
    /// The current electorate is not in force yet, so it can't be replaced.
    #[error(
        "electorate {current} is not in force yet: reload again once a majority of the electors uses it"
    )]
    ElectorateNotInForce {
        /// The current electorate's number.
        current: u32,
    },
}
