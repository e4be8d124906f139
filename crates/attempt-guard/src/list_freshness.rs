//! How long an endpoint list may be acted on, where lists are polled.

use harrierdock_types::{DiscoveryMode, Parameters, TimeDelta, Timestamp};

/// A gateway counts as notified of a change this long after discovery had it, whatever became of its calls.
pub const NOTIFICATION_DEADLINE: TimeDelta = TimeDelta::from_millis(6_000);

/// How long a list counts that was kept over a start. It is older than the start by an unknown time, so this is half of the
/// notification deadline.
pub(crate) const CACHED_LIST_LIFETIME: TimeDelta = TimeDelta::from_millis(3_000);

/// A call to discovery fails within 2 s if it fails at all; one that has lasted a tenth longer has succeeded.
const MAX_FAILING_CALL: TimeDelta = TimeDelta::from_millis(2_200);

/// How long ago the held list was last confirmed.
#[derive(Clone, Copy, Debug)]
pub struct ListFreshness {
    is_polled: bool,
    grace: TimeDelta,
    started_at: Timestamp,
    confirmed_at: Option<Timestamp>,
}

impl ListFreshness {
    /// The freshness of a list that was kept over a start at `started_at`.
    ///
    /// Where lists are pushed it never becomes stale: an agent that is silent has not been notified of anything.
    pub fn new(parameters: &Parameters, started_at: Timestamp) -> ListFreshness {
        let grace = parameters.safety.drain_grace - parameters.tick;
        ListFreshness {
            is_polled: parameters.discovery_mode == DiscoveryMode::Poll,
            grace: grace.max(TimeDelta::ZERO),
            started_at,
            confirmed_at: None,
        }
    }

    /// Whether a call that was made at `called_at` and has not failed by `now` has succeeded, though it has returned no list.
    pub fn has_call_succeeded(called_at: Timestamp, now: Timestamp) -> bool {
        now - called_at > MAX_FAILING_CALL
    }

    /// Notes that discovery has sent a list, or that nothing has changed.
    pub fn confirm(&mut self, now: Timestamp) {
        self.confirmed_at = Some(now);
    }

    /// Whether the list may no longer be acted on, because an endpoint on it may have begun to drain.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        let (since, lifetime) = match self.confirmed_at {
            Some(confirmed_at) => (confirmed_at, NOTIFICATION_DEADLINE + self.grace),
            None => (self.started_at, CACHED_LIST_LIFETIME),
        };
        self.is_polled && now - since >= lifetime
    }
}
