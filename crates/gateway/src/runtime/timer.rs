//! The kinds of timers in a gateway.

use harrierdock_event_loop::ConnectionId;
use harrierdock_types::RequestId;

/// What a timer is for. Timers with one deadline fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The policy asked for it.
    Policy,
    /// An attempt has waited for its connection or its response for as long as it may.
    Attempt(ConnectionId),
    /// A vote has waited for its response for as long as it may.
    Vote(ConnectionId),
    /// A request must have been answered.
    RequestDeadline(RequestId),
    /// The transport to the other site asked for it.
    SiteTransport,
    /// Cross-site forwarding asked for it.
    MultiSite,
    /// The leases asked for it.
    Lease,
    /// The rollout controller asked for it.
    RolloutController,
    /// A rollout command has waited for its response for as long as it may.
    RolloutCommand(ConnectionId),
    /// Idle connections, streams and descriptors are checked.
    Maintenance,
    /// The counters are logged.
    Report,
    /// A gateway that shuts down checks whether it can end.
    Shutdown,
}
