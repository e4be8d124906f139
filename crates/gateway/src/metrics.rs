//! The counters, and the line in which they are logged.

use std::fmt;

/// Declares the counters with the names that they are logged by, in the order in which they are logged.
macro_rules! counters {
    ($($(#[$doc:meta])* $counter:ident => $name:literal,)*) => {
        /// What is counted, since the start.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Counter {
            $($(#[$doc])* $counter,)*
        }

        const COUNTERS: &[(Counter, &str)] = &[$((Counter::$counter, $name),)*];
    };
}

counters! {
    /// Requests received from clients.
    RequestsReceived => "received",
    /// Requests answered with an endpoint's response.
    RequestsSucceeded => "succeeded",
    /// Requests rejected without effect.
    RequestsRejected => "rejected",
    /// Requests that ended with unknown effect.
    RequestsFailed => "failed",
    /// Clients that left before their answer.
    ClientsDisconnected => "client-disconnected",
    /// Readiness checks, and what else is not a request to be served.
    OtherRequests => "other-requests",
    /// Requests that could not be read, or were left incomplete.
    MalformedRequests => "malformed",
    /// Attempts that an endpoint answered.
    AttemptsSucceeded => "attempt-succeeded",
    /// Attempts that an endpoint answered with an error.
    AttemptsWithServerError => "server-error",
    /// Attempts that an endpoint rejected.
    AttemptsRejected => "attempt-rejected",
    /// Attempts without a response in time.
    AttemptsTimedOut => "timed-out",
    /// Attempts whose connection did not come up, or whose request was not written in full.
    ConnectsFailed => "connect-failed",
    /// Attempts whose connection broke, or whose response was malformed.
    AttemptsReset => "reset",
    /// Attempts cancelled after they were sent.
    AttemptsCancelled => "cancelled",
    /// Attempts dropped before they were sent.
    AttemptsNotSent => "not-sent",
    /// Connections accepted from clients.
    ConnectionsAccepted => "connections-accepted",
    /// Connections accepted from clients that could not be watched, and were rejected.
    ConnectionsUnwatched => "connections-unwatched",
    /// Connections opened to endpoints.
    EndpointConnectionsOpened => "endpoint-connections-opened",
    /// Idle connections to endpoints that carried another attempt.
    ConnectionsReused => "connections-reused",
    /// Idle connections to endpoints that were closed or too old when they were to be reused.
    IdleConnectionsClosed => "idle-connections-closed",
    /// Attempts dropped because their precondition no longer held.
    PreconditionViolations => "precondition-violated",
    /// Endpoint lists received.
    EndpointLists => "endpoint-lists",
    /// Lines of discovery and of the rollout platform that could not be read.
    LinesRefused => "lines-refused",
    /// Streams opened, tries included.
    StreamsOpened => "streams-opened",
    /// Rollout updates received.
    RolloutUpdates => "rollout-updates",
    /// Rollout updates received after later ones.
    OutdatedRolloutUpdates => "rollout-updates-outdated",
    /// Complaints of clients about answers.
    Complaints => "complaints",
    /// Votes cast.
    Votes => "votes",
    /// Votes that brought back no state.
    VotesRefused => "votes-refused",
    /// Messages sent to peers.
    GossipSent => "gossip-sent",
    /// Messages received from peers.
    GossipReceived => "gossip-received",
    /// Messages from strangers, or malformed ones.
    GossipRefused => "gossip-refused",
    /// Requests forwarded to the other site.
    RequestsForwarded => "forwarded",
    /// Requests that the other site forwarded.
    InboundRequests => "inbound",
    /// Messages of the other site that could not be read.
    SiteMessagesRefused => "site-messages-refused",
    /// Times that no descriptor was available.
    DescriptorShortages => "no-descriptor",
    /// Times that no buffer was available.
    BufferShortages => "no-buffer",
    /// Log lines dropped because the queue was full.
    DroppedLogLines => "log-lines-dropped",
    /// Buffers that came back in another state than they were taken in.
    PoolViolations => "pool-broken",
    /// Invariants that did not hold.
    InvariantViolations => "broken",
}

/// The value of each counter.
pub(crate) struct Counters([u64; COUNTERS.len()]);

impl Default for Counters {
    fn default() -> Counters {
        Counters([0; COUNTERS.len()])
    }
}

impl Counters {
    /// Adds one.
    pub(crate) fn add(&mut self, counter: Counter) {
        self.0[counter as usize] += 1;
    }

    /// Sets a counter that is counted elsewhere.
    pub(crate) fn set(&mut self, counter: Counter, value: u64) {
        self.0[counter as usize] = value;
    }

    /// Checks an invariant. A violation is counted and logged.
    ///
    /// # Panics
    ///
    /// In debug builds, if it does not hold.
    pub(crate) fn check_invariant(&mut self, holds: bool, invariant: &str) {
        debug_assert!(holds, "{invariant}");
        if !holds {
            self.add(Counter::InvariantViolations);
            tracing::error!("broken: {invariant}");
        }
    }
}

impl fmt::Display for Counters {
    /// Writes the counters that are not zero.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (counter, name) in COUNTERS {
            let value = self.0[*counter as usize];
            if value > 0 {
                write!(f, "{separator}{name}={value}")?;
                separator = " ";
            }
        }
        Ok(())
    }
}
