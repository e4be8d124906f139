//! What is refused in the settings of leases.

use thiserror::Error;

use crate::configuration::{MAX_CLOCK_DRIFT_RATIO, MAX_ELECTORS, MAX_LEASES, MIN_ELECTORS};

/// Why settings or a changed electorate are refused, and what to do.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigurationError {
    /// The gateway's own name is not listed.
    #[error(
        "own name {name} is not among the names: add it to `names`, or start with another name"
    )]
    UnknownOwnName {
        /// The gateway's name.
        name: String,
    },
    /// A name is listed twice.
    #[error("name {name} is listed twice: remove one from `names`")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// Two names have the same number in messages.
    #[error("names {one} and {other} cannot be distinguished in messages: rename one of them")]
    NameHashCollision {
        /// The first name.
        one: String,
        /// The second name.
        other: String,
    },
    /// No elector could fail.
    #[error(
        "{count} electors: name at least {MIN_ELECTORS} in `electorate`, so that one may fail"
    )]
    TooFewElectors {
        /// How many are listed.
        count: usize,
    },
    /// More electors than are of use.
    #[error("{count} electors: name at most {MAX_ELECTORS} in `electorate`; more cost bytes and decide later")]
    TooManyElectors {
        /// How many are listed.
        count: usize,
    },
    /// An elector is no listed gateway.
    #[error(
        "elector {name} is not among the names: add it to `names`, or remove it from `electorate`"
    )]
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
    /// One lost renewal would end the lease.
    #[error(
        "a lease of {lease_ms} ms is shorter than two heartbeats of {heartbeat_ms} ms: lengthen `lease` or \
             shorten `heartbeat`, so that one lost message ends no holding"
    )]
    LeaseTooShort {
        /// The lease's duration in milliseconds.
        lease_ms: i64,
        /// The renewal interval in milliseconds.
        heartbeat_ms: i64,
    },
    /// The lease's duration is outside what is supported.
    #[error("a lease of {lease_ms} ms is out of range: tell 100 ms to 60 s")]
    LeaseOutOfRange {
        /// The lease's duration in milliseconds.
        lease_ms: i64,
    },
    /// The renewal interval is outside what is supported.
    #[error("a heartbeat of {heartbeat_ms} ms is out of range: tell at least 10 ms")]
    HeartbeatOutOfRange {
        /// The renewal interval in milliseconds.
        heartbeat_ms: i64,
    },
    /// The clock drift is outside what is supported.
    #[error(
        "a drift of {ratio} is out of range: tell a part from 0 to {MAX_CLOCK_DRIFT_RATIO}, such as 0.02"
    )]
    ClockDriftOutOfRange {
        /// The largest error of a clock's rate, as a ratio.
        ratio: f64,
    },
    /// The longest lease in use is shorter than the configured one.
    #[error(
        "a longest lease of {longest_ms} ms is shorter than the lease: tell the longest lease still in use"
    )]
    LongestLeaseTooShort {
        /// The longest lease's duration in milliseconds.
        longest_ms: i64,
    },
    /// No lease has this name.
    #[error("lease {name} is unknown: tell `steward`, `heir` or `speaker:NUMBER` in `duties`")]
    UnknownLease {
        /// The name.
        name: String,
    },
    /// A lease is listed twice.
    #[error("lease {name} is listed twice: remove one from `duties`")]
    DuplicateLease {
        /// The lease's name.
        name: String,
    },
    /// More leases than a fleet may share.
    #[error("{count} leases: tell at most {MAX_LEASES}; each costs its bytes")]
    TooManyLeases {
        /// How many are listed.
        count: usize,
    },
    /// The electorate's number is not the one after the current one's.
    #[error(
        "electorate {proposed} follows {current}: raise `electorate_number` by exactly one at each change"
    )]
    ElectorateNumberNotNext {
        /// The proposed electorate's number.
        proposed: u32,
        /// The current electorate's number.
        current: u32,
    },
    /// The electorate changes by more or less than one member.
    #[error("electorate {proposed} differs from {current} by more or less than one member: change one at a time")]
    ElectorateChangeNotByOne {
        /// The proposed electorate's number.
        proposed: u32,
        /// The current electorate's number.
        current: u32,
    },
    /// The current electorate may not be followed by another one yet.
    #[error(
        "electorate {current} is not yet in force at most electors: wait until the status says so"
    )]
    ElectorateNotInForce {
        /// The current electorate's number.
        current: u32,
    },
}
