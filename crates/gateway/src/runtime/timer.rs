//! The kinds of timers in a gateway.

use harrierdock_event_loop::ConnectionId;
use harrierdock_types::RequestId;

/// The purpose of a timer. Timers with the same deadline fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Timer that the policy requested.
    Policy,
    /// Timeout of an attempt that waits for its connection or its response.
    Attempt(ConnectionId),
    /// Timeout of a vote that waits for its response.
    Vote(ConnectionId),
    /// Time at which a request that is still unanswered fails: one tick after the deadline set on receipt.
    RequestDeadline(RequestId),
    /// Next deadline of the transport to the other site.
    SiteTransport,
    /// Timer that cross-site forwarding requested.
    MultiSite,
    /// Timer that the lease participant requested.
    Lease,
    /// Timer that the rollout controller requested.
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
