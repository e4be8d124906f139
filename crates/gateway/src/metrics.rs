//! Counters of a gateway process, and the log line that prints them. Tools parse the names in the log line, so some differ from
//! the Rust names.

use std::fmt;

/// Declares the counters in log order, each with its name in the log line.
macro_rules! counters {
    ($($(#[$doc:meta])* $counter:ident => $name:literal,)*) => {
        /// A counter, which starts at zero when the process starts.
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
    /// Requests rejected because no endpoint answers within the time that their clients wait; counted as rejected, too.
    RequestsWithoutTime => "rejected-without-time",
    /// Requests that failed, with unknown effect.
    RequestsFailed => "failed",
    /// Clients that disconnected before they got a response.
    ClientsDisconnected => "client-disconnected",
    /// Readiness checks, duplicates of requests under way, and requests with an unknown path, method or field value.
    OtherRequests => "other-requests",
    /// Requests under the id of one that is under way or may have had an effect; from clients, counted as other requests, too.
    RepeatedRequests => "repeated",
    /// Requests that could not be parsed, or that timed out while incomplete.
    MalformedRequests => "malformed",
    /// Incomplete requests refused because another connection needed their descriptor or memory.
    IncompleteRequestsRefused => "incomplete-refused",
    /// Attempts with a successful response from the endpoint.
    AttemptsSucceeded => "attempt-succeeded",
    /// Attempts with an error response from the endpoint.
    AttemptsWithServerError => "server-error",
    /// Attempts that an endpoint rejected.
    AttemptsRejected => "attempt-rejected",
    /// Attempts without a response in time.
    AttemptsTimedOut => "timed-out",
    /// Attempts that timed out because their clients wait for less time than a response usually takes; counted as timed out, too.
    AttemptsTimedOutEarly => "timed-out-early",
    /// Attempts whose connection could not be established, or whose request was not written in full.
    ConnectsFailed => "connect-failed",
    /// Attempts whose connection broke, or whose response was malformed.
    AttemptsReset => "reset",
    /// Attempts whose response exceeded the limit of a head or of a body; counted as reset, too.
    EndpointResponsesTooLong => "responses-too-long",
    /// Attempts cancelled after they were sent.
    AttemptsCancelled => "cancelled",
    /// Attempts dropped before they were sent.
    AttemptsNotSent => "not-sent",
    /// Connections accepted from clients.
    ConnectionsAccepted => "connections-accepted",
    /// Client connections that were accepted and then rejected, because the event loop could not watch them.
    ConnectionsUnwatched => "connections-unwatched",
    /// Connections opened to endpoints.
    EndpointConnectionsOpened => "endpoint-connections-opened",
    /// Idle endpoint connections that were reused for another attempt.
    ConnectionsReused => "connections-reused",
    /// Idle endpoint connections that could not be reused because they were closed or too old.
    IdleConnectionsClosed => "idle-connections-closed",
    /// Attempts dropped because their precondition no longer held.
    PreconditionViolations => "precondition-violated",
    /// Endpoint lists applied, including a cached list from the configuration.
    EndpointLists => "endpoint-lists",
    /// Lines of discovery and of the rollout platform that were malformed or referred to unknown names.
    LinesRefused => "lines-refused",
    /// Endpoint lists, and lines of the rollout platform, that exceeded a limit on their size.
    LinesTooLong => "lines-too-long",
    /// Attempts to open a stream, including failed ones.
    StreamsOpened => "streams-opened",
    /// Established streams that the server closed, or whose connection broke.
    StreamsDisconnected => "streams-disconnected",
    /// Streams closed because their HTTP response could not be read.
    StreamsMalformed => "streams-malformed",
    /// Streams whose request was answered with a status other than 200.
    StreamsRefused => "streams-refused",
    /// Streams closed because they were silent, or because a line remained incomplete, for too long.
    StreamsUnresponsive => "streams-unresponsive",
    /// Rollout updates from the stream, from responses to votes and from the configuration.
    RolloutUpdates => "rollout-updates",
    /// Rollout updates received after an update with a later state.
    OutdatedRolloutUpdates => "rollout-updates-outdated",
    /// Client complaints about responses, received from the rollout platform.
    Complaints => "complaints",
    /// Votes posted to the rollout platform or passed to the rollout controller.
    Votes => "votes",
    /// Votes that ended without a rollout state in response.
    VotesRefused => "votes-refused",
    /// Responses to votes that could not be read.
    VoteResponsesMalformed => "vote-responses-malformed",
    /// Commands to the deployment controller that were not sent, or had no readable response in time.
    CommandsWithoutResult => "commands-without-result",
    /// Datagrams sent to peers; a broadcast counts once.
    GossipSent => "gossip-sent",
    /// Valid messages received from peers.
    GossipReceived => "gossip-received",
    /// Messages from unknown addresses, or malformed messages.
    GossipRefused => "gossip-refused",
    /// Requests forwarded to the other site.
    RequestsForwarded => "forwarded",
    /// Requests forwarded by the other site.
    InboundRequests => "inbound",
    /// Messages from the other site that could not be decoded.
    SiteMessagesRefused => "site-messages-refused",
    /// Times that no descriptor was available.
    DescriptorShortages => "no-descriptor",
    /// Times that no buffer was available.
    BufferShortages => "no-buffer",
    /// Waits of connections for a buffer that have ended.
    BufferWaits => "buffer-waits",
    /// Log lines dropped because the queue was full.
    DroppedLogLines => "log-lines-dropped",
    /// Buffers released with a changed capacity, or released without having been acquired.
    PoolViolations => "pool-broken",
    /// Detected violations of internal invariants.
    InvariantViolations => "broken",
}

/// The counter values, indexed by `Counter`.
pub(crate) struct Counters([u64; COUNTERS.len()]);

impl Default for Counters {
    fn default() -> Counters {
        Counters([0; COUNTERS.len()])
    }
}

impl Counters {
    /// Increments a counter.
    pub(crate) fn add(&mut self, counter: Counter) {
        self.0[counter as usize] += 1;
    }

    /// Sets a counter whose value is maintained elsewhere.
    pub(crate) fn set(&mut self, counter: Counter, value: u64) {
        self.0[counter as usize] = value;
    }

    /// Checks an internal invariant. Counts and logs a violation.
    ///
    /// # Panics
    ///
    /// In debug builds, if `holds` is false.
    pub(crate) fn check_invariant(&mut self, holds: bool, invariant: &str) {
        debug_assert!(holds, "{invariant}");
        if !holds {
            self.add(Counter::InvariantViolations);
            tracing::error!("invariant violated: {invariant}");
        }
    }
}

impl fmt::Display for Counters {
    /// Writes the nonzero counters as `name=value`, separated by spaces.
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
