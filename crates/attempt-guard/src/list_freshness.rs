//! Decides how long an endpoint list may be used in poll mode.

use harrierdock_types::{DiscoveryMode, Parameters, TimeDelta, Timestamp};

/// A gateway counts as notified of a change this long after discovery received it, whether or not its calls succeeded.
pub const NOTIFICATION_DEADLINE: TimeDelta = TimeDelta::from_millis(6_000);

/// How long after a start a cached list may be used. The list is older than the start by an unknown time, so this is half of the
/// notification deadline.
pub(crate) const CACHED_LIST_LIFETIME: TimeDelta = TimeDelta::from_millis(3_000);

/// A gateway counts as notified of all that its new discovery address knows this long after it was told of that address.
const MOVE_DEADLINE: TimeDelta = TimeDelta::from_millis(4_000);

/// A call to discovery that fails does so within 2 s. A call that lasts a tenth longer counts as successful.
const MAX_FAILED_CALL_DURATION: TimeDelta = TimeDelta::from_millis(2_200);

/// Tracks how long ago discovery last confirmed the current endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListFreshness {
    /// Whether discovery is polled. A pushed list is never stale.
    is_polled: bool,
    /// How long the list may be used after the notification deadline.
    grace: TimeDelta,
    /// When the gateway started.
    started_at: Timestamp,
    /// When discovery last confirmed the list; `None` while the cached list is used.
    confirmed_at: Option<Timestamp>,
    /// When the first move of discovery since then was; `None` if there was none.
    moved_at: Option<Timestamp>,
}

impl ListFreshness {
    /// Creates the freshness of a cached list after a start at `started_at`.
    ///
    /// In push mode a list never becomes stale: an agent that sends nothing has not been notified of any change.
    pub fn new(parameters: &Parameters, started_at: Timestamp) -> ListFreshness {
        let grace = parameters.safety.drain_grace - parameters.clock_resolution;
        ListFreshness {
            is_polled: parameters.discovery_mode == DiscoveryMode::Poll,
            grace: grace.max(TimeDelta::ZERO),
            started_at,
            confirmed_at: None,
            moved_at: None,
        }
    }

    /// Whether a call made at `called_at` that has neither failed nor returned a list by `now` counts as successful.
    pub fn has_call_succeeded(called_at: Timestamp, now: Timestamp) -> bool {
        now - called_at > MAX_FAILED_CALL_DURATION
    }

    /// Records that discovery sent a list, or reported no change.
    pub fn confirm(&mut self, now: Timestamp) {
        self.confirmed_at = Some(now);
        self.moved_at = None;
    }

    /// Records that discovery has another address. What it knows there may differ from what the former address confirmed.
    pub fn record_move(&mut self, now: Timestamp) {
        self.moved_at = self.moved_at.or(Some(now));
    }

    /// Whether the list is too old to use, because an endpoint on it may have started draining.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        let usable_until = match self.confirmed_at {
            Some(confirmed_at) => confirmed_at + NOTIFICATION_DEADLINE + self.grace,
            None => self.started_at + CACHED_LIST_LIFETIME,
        };
        let notified_at = self.moved_at.map(|at| at + MOVE_DEADLINE + self.grace);
        let usable_until = notified_at.map_or(usable_until, |at| at.min(usable_until));
        self.is_polled && now >= usable_until
    }
}
