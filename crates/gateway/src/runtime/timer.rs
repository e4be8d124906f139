//! The kinds of timers in a gateway.

use harrierdock_event_loop::ConnectionId;
use harrierdock_types::RequestId;

/// The purpose of a timer. Timers with the same deadline fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Alarm set by the policy.
    Policy,
    /// Timeout of an attempt that waits for its connection or its response.
    Attempt(ConnectionId),
    /// Timeout of a vote that waits for its response.
    Vote(ConnectionId),
    /// Deadline of a request.
    RequestDeadline(RequestId),
    /// Next timer of the transport to the other site.
    SiteTransport,
    /// Next timer of forwarding between sites.
    MultiSite,
    /// Next timer of the leases.
    Lease,
    /// Next timer of the rollout controller.
    RolloutController,
    /// Timeout of a rollout command that waits for its response.
    RolloutCommand(ConnectionId),
    /// Next check of idle connections, streams and descriptors.
    Maintenance,
    /// Next log line with the counters.
    Report,
    /// Next check whether a gateway that is shutting down can exit.
    Shutdown,
}
