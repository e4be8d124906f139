//! How much traffic there is. Owns the counts of this gateway's gossip group and those not reported to it yet.

use harrierdock_types::{TimeDelta, Timestamp};

use crate::context::Context;
use crate::sliding_window::SlidingWindow;

/// Traffic windows that are kept.
const KEPT_TRAFFIC_WINDOWS: f64 = 1.5;

/// What traffic came to in a while.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounts {
    /// Requests received.
    pub received: usize,
    /// Those of them that are no client's retry.
    pub first_tries: usize,
    /// Answers by endpoints.
    pub answered: usize,
}

impl TrafficCounts {
    fn plus(self, other: &TrafficCounts) -> TrafficCounts {
        TrafficCounts {
            received: self.received + other.received,
            first_tries: self.first_tries + other.first_tries,
            answered: self.answered + other.answered,
        }
    }
}

/// Traffic of a gossip group, one report interval at a time, and of this gateway since its last report.
#[derive(Debug, Default)]
pub struct TrafficMonitor {
    group: SlidingWindow<TrafficCounts>,
    unreported: TrafficCounts,
    /// Requests whose clients were left without an answer, and are expected to come back once each.
    expected_retries: f64,
}

impl TrafficMonitor {
    /// Counts a request. Where clients don't mark their retries, each unanswered request is taken to come back once.
    pub fn record_request(&mut self, context: &Context, is_marked_retry: bool) {
        let is_client_retry = if context.parameters.clients_mark_retries {
            is_marked_retry
        } else {
            self.expected_retries >= 1.0
        };
        self.unreported.received += 1;
        self.unreported.first_tries += usize::from(!is_client_retry);
        self.expected_retries = (self.expected_retries - 1.0).max(0.0);
    }

    /// Counts requests that a member of the group has reported.
    pub fn record_reported(&mut self, received: usize, first_tries: usize) {
        self.unreported.received += received;
        self.unreported.first_tries += first_tries;
    }

    /// Counts an answer of an endpoint.
    pub fn record_answer(&mut self) {
        self.unreported.answered += 1;
    }

    /// Notes whether a request's client was left without an endpoint's answer.
    pub fn record_end(&mut self, is_unanswered: bool) {
        self.expected_retries += f64::from(is_unanswered);
    }

    /// What has not been reported yet.
    pub fn take_unreported(&mut self) -> TrafficCounts {
        std::mem::take(&mut self.unreported)
    }

    /// Adds a report interval of the group's traffic. An empty one says nothing of how traffic is answered.
    pub fn record_group(&mut self, now: Timestamp, counts: TrafficCounts) {
        if counts.received + counts.answered > 0 {
            self.group.push(now, counts);
        }
    }

    /// Whether there has been traffic for this long. Before, requests have had no time to be answered.
    pub fn covers(&self, now: Timestamp, window: TimeDelta) -> bool {
        self.group
            .oldest()
            .is_some_and(|oldest| now - oldest >= window)
    }

    /// The group's traffic within a window that ends now.
    pub fn recent(&self, now: Timestamp, window: TimeDelta) -> TrafficCounts {
        self.group
            .after(now - window)
            .fold(TrafficCounts::default(), |sum, counts| sum.plus(counts))
    }

    /// The group's first tries within the traffic window.
    pub fn recent_first_tries(&self, context: &Context) -> f64 {
        self.recent(context.now, context.traffic_window())
            .first_tries as f64
    }

    /// Forgets traffic that no window holds any more.
    pub fn forget(&mut self, context: &Context) {
        let kept = context.traffic_window() * KEPT_TRAFFIC_WINDOWS;
        self.group.drop_before(context.now - kept);
    }
}
