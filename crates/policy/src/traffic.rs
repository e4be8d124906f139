//! Traffic counts. Owns the counts of this gateway's gossip group, and this gateway's counts that are not reported yet.

use harrierdock_types::{TimeDelta, Timestamp};

use crate::context::Context;
use crate::sliding_window::SlidingWindow;

/// How long the group's traffic is kept, as a ratio to the traffic window.
const KEPT_TRAFFIC_WINDOWS: f64 = 1.5;

/// Traffic counts of some period.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounts {
    /// Requests received.
    pub received: usize,
    /// Requests received that are not client retries.
    pub original_requests: usize,
    /// Responses from endpoints.
    pub answered: usize,
}

impl TrafficCounts {
    fn plus(self, other: &TrafficCounts) -> TrafficCounts {
        TrafficCounts {
            received: self.received + other.received,
            original_requests: self.original_requests + other.original_requests,
            answered: self.answered + other.answered,
        }
    }
}

/// The traffic of a gossip group by report interval, and of this gateway since its last report.
#[derive(Debug, Default)]
pub struct TrafficMonitor {
    group: SlidingWindow<TrafficCounts>,
    unreported: TrafficCounts,
    /// Unanswered requests whose clients are expected to retry; each is expected to be retried once.
    expected_retries: f64,
}

impl TrafficMonitor {
    /// Counts a request. Where clients don't mark their retries, one retry is assumed for each unanswered request.
    pub fn record_request(&mut self, context: &Context, is_marked_retry: bool) {
        let is_client_retry = if context.parameters.clients_mark_retries {
            is_marked_retry
        } else {
            self.expected_retries >= 1.0
        };
        self.unreported.received += 1;
        self.unreported.original_requests += usize::from(!is_client_retry);
        self.expected_retries = (self.expected_retries - 1.0).max(0.0);
    }

    /// Counts the requests that a group member has reported, in total and without client retries.
    pub fn record_member_requests(&mut self, received: usize, original_requests: usize) {
        self.unreported.received += received;
        self.unreported.original_requests += original_requests;
    }

    /// Counts a response from an endpoint.
    pub fn record_response(&mut self) {
        self.unreported.answered += 1;
    }

    /// Records the end of a request. `is_unanswered` means that its client got no response from an endpoint.
    pub fn record_request_end(&mut self, is_unanswered: bool) {
        self.expected_retries += f64::from(is_unanswered);
    }

    /// Returns the counts since the last report, and resets them.
    pub fn take_unreported(&mut self) -> TrafficCounts {
        std::mem::take(&mut self.unreported)
    }

    /// Adds a report interval of the group's traffic. Empty intervals are ignored, as they don't show how traffic is answered.
    pub fn record_group(&mut self, now: Timestamp, counts: TrafficCounts) {
        if counts.received + counts.answered > 0 {
            self.group.push(now, counts);
        }
    }

    /// Whether the first traffic is at least `window` old. Before that, requests have not had enough time to be answered.
    pub fn covers(&self, now: Timestamp, window: TimeDelta) -> bool {
        self.group
            .oldest()
            .is_some_and(|oldest| now - oldest >= window)
    }

    /// The group's traffic in the window that ends at `now`.
    pub fn recent(&self, now: Timestamp, window: TimeDelta) -> TrafficCounts {
        self.group
            .after(now - window)
            .fold(TrafficCounts::default(), |sum, counts| sum.plus(counts))
    }

    /// The number of the group's requests in the traffic window that are not client retries.
    pub fn recent_original_requests(&self, context: &Context) -> f64 {
        self.recent(context.now, context.traffic_window())
            .original_requests as f64
    }

    /// Forgets traffic that is older than any window in use.
    pub fn forget_expired(&mut self, context: &Context) {
        let kept = context.traffic_window() * KEPT_TRAFFIC_WINDOWS;
        self.group.drop_before(context.now - kept);
    }
}
