//! Records requests, attempts and rollout updates with the flow exporter, if one is configured.

use harrierdock_flow_export::{FinishedAttempt, FinishedRequest};
use harrierdock_flow_metering::{FlowOutcome, FlowPath};
use harrierdock_types::{AttemptOutcome, BuildId, RequestId, RolloutUpdate, TimeDelta, Timestamp};

use crate::dispatch::request_table::{EndedAttempt, RequestEntry, ServingSite};
use crate::runtime::gateway::Gateway;

/// A finished attempt to record.
pub(super) struct AttemptFlow<'a> {
    /// The request that the attempt belongs to.
    pub(super) id: RequestId,
    /// The attempt's number within its request, counted from 0.
    pub(super) attempt: usize,
    /// The attempt's endpoint, start and request size.
    pub(super) ended: &'a EndedAttempt,
    /// The outcome that is reported to the policy.
    pub(super) outcome: AttemptOutcome,
    /// The time from the policy's request for the attempt to its end.
    pub(super) duration: TimeDelta,
    /// The size of the response's body in bytes; 0 without a successful response.
    pub(super) response_bytes: usize,
}

fn flow_path(entry: &RequestEntry) -> FlowPath {
    match (entry.is_inbound, entry.serving_site) {
        (true, _) => FlowPath::Inbound,
        (false, ServingSite::Other) => FlowPath::Forwarded,
        (false, _) => FlowPath::Local,
    }
}

impl Gateway {
    /// Records the current rollout state.
    pub(super) fn record_rollout_update(&mut self, update: &RolloutUpdate) {
        if let Some(exporter) = &mut self.exporter {
            exporter.set_rollout(update);
        }
    }

    /// Counts a request received from a client or from the other site.
    pub(super) fn record_request_received(&mut self) {
        if let Some(exporter) = &mut self.exporter {
            exporter.count_received_request();
        }
    }

    /// Records the outcome of a request. Ignores a request that is not in the table.
    pub(super) fn record_request(&mut self, id: RequestId, outcome: FlowOutcome) {
        let entry = self.dispatcher.requests.get(id);
        if let (Some(exporter), Some(entry)) = (&mut self.exporter, entry) {
            let now = self.context.clock.now();
            let ended = FinishedRequest {
                class: entry.class,
                outcome,
                path: flow_path(entry),
                duration: now - entry.received_at,
            };
            exporter.record_request(now, &ended);
        }
    }

    /// Records the outcome of an attempt. Ignores an attempt whose request is not in the table.
    pub(super) fn record_attempt(&mut self, now: Timestamp, flow: &AttemptFlow<'_>) {
        let entry = self.dispatcher.requests.get(flow.id);
        let (Some(exporter), Some(entry)) = (&mut self.exporter, entry) else {
            return;
        };
        let endpoint = flow.ended.endpoint;
        let build = self.dispatcher.build_of(endpoint).unwrap_or(BuildId(0));
        let ended = FinishedAttempt {
            class: entry.class,
            build,
            endpoint,
            outcome: flow.outcome,
            duration: flow.duration,
            is_retry: flow.attempt > 0,
            is_inbound: entry.is_inbound,
            request_octets: flow.ended.body_bytes,
            response_octets: flow.response_bytes,
        };
        exporter.record_attempt(now, &ended);
    }
}
