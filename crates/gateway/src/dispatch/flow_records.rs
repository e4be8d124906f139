//! What the flow exporter learns of requests, attempts and rollouts. Nothing is recorded without an exporter.

use harrierdock_flow_export::{AttemptEnded, RequestEnded};
use harrierdock_flow_metering::{FlowOutcome, FlowPath};
use harrierdock_types::{AttemptOutcome, BuildId, RequestId, RolloutUpdate, TimeDelta, Timestamp};

use crate::dispatch::request_table::{EndedAttempt, RequestEntry, ServingSite};
use crate::runtime::gateway::Gateway;

/// An attempt that has ended, as it is recorded.
pub(super) struct AttemptFlow<'a> {
    /// The request.
    pub(super) id: RequestId,
    /// The attempt, counted from 0.
    pub(super) attempt: usize,
    /// Where it went.
    pub(super) ended: &'a EndedAttempt,
    /// How it ended.
    pub(super) outcome: AttemptOutcome,
    /// How long it took.
    pub(super) duration: TimeDelta,
    /// The size of the response's body.
    pub(super) response_bytes: usize,
}

fn path_of(entry: &RequestEntry) -> FlowPath {
    match (entry.is_inbound, entry.serving_site) {
        (true, _) => FlowPath::Inbound,
        (false, ServingSite::Other) => FlowPath::Forwarded,
        (false, _) => FlowPath::Local,
    }
}

impl Gateway {
    /// Records a change of the rollout.
    pub(super) fn record_rollout_update(&mut self, update: &RolloutUpdate) {
        if let Some(exporter) = &mut self.exporter {
            exporter.set_rollout(update);
        }
    }

    /// Records that a request was received.
    pub(super) fn record_request_received(&mut self) {
        if let Some(exporter) = &mut self.exporter {
            exporter.count_received_request();
        }
    }

    /// Records how a request ended.
    pub(super) fn record_request(&mut self, id: RequestId, outcome: FlowOutcome) {
        let entry = self.dispatcher.requests.get(id);
        if let (Some(exporter), Some(entry)) = (&mut self.exporter, entry) {
            let now = self.context.clock.now();
            let ended = RequestEnded {
                class: entry.class,
                outcome,
                path: path_of(entry),
                duration: now - entry.received_at,
            };
            exporter.record_request(now, &ended);
        }
    }

    /// Records how an attempt ended.
    pub(super) fn record_attempt(&mut self, now: Timestamp, flow: &AttemptFlow<'_>) {
        let entry = self.dispatcher.requests.get(flow.id);
        let (Some(exporter), Some(entry)) = (&mut self.exporter, entry) else {
            return;
        };
        let endpoint = flow.ended.endpoint;
        let build = self.dispatcher.build_of(endpoint).unwrap_or(BuildId(0));
        let ended = AttemptEnded {
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
