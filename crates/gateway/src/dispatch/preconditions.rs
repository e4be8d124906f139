//! Preconditions: each attempt records the state that its decision relied on. The attempt is cancelled before its last byte is
//! written if the recorded state no longer holds.

use harrierdock_attempt_guard::{CurrentState, ListedEndpoint, Precondition, Violation};
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::{BuildId, ClassParameters, EndpointId, RetrySafety, TimeDelta, Timestamp};

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::request_table::RequestEntry;
use crate::metrics::Counter;
use crate::runtime::gateway::Gateway;
use crate::upstream::UnsentAttempt;

/// The state outside the dispatcher at the time when an attempt is about to be written.
struct WriteState {
    now: Timestamp,
    is_client_waiting: bool,
    is_list_stale: bool,
}

impl Dispatcher {
    /// The precondition of an attempt of this request at this endpoint, from the current state.
    pub(super) fn precondition(&self, entry: &RequestEntry, endpoint: EndpointId) -> Precondition {
        let listed = self.policy.endpoint(endpoint);
        let build = listed.map_or(BuildId(0), |record| record.build);
        let class = self.policy.parameters().classes.get(entry.class.0);
        Precondition {
            build,
            started_at: self.policy.endpoint_start(endpoint),
            exposure_limit: self.policy.exposure_limit(build),
            deduplicated_until: deduplicated_until(entry, class, self.tick),
        }
    }

    /// Checks the precondition of an attempt whose last byte is still unwritten. Returns the first violation.
    fn find_violation(&self, attempt: &UnsentAttempt, state: &WriteState) -> Option<Violation> {
        let Some(entry) = self.requests.get(attempt.id.request) else {
            return Some(Violation::RequestFinished);
        };
        let record = entry.attempts.get(attempt.id.attempt)?;
        let endpoint = self
            .policy
            .endpoint(record.endpoint)
            .filter(|_| attempt.is_instance_listed);
        record.precondition.violation(&CurrentState {
            now: state.now,
            is_request_finished: entry.is_answered || !state.is_client_waiting,
            is_list_stale: state.is_list_stale,
            endpoint: endpoint.map(|endpoint| ListedEndpoint {
                lifecycle: endpoint.lifecycle,
                build: endpoint.build,
                started_at: self.policy.endpoint_start(record.endpoint),
            }),
            exposure_limit: self.policy.exposure_limit(record.precondition.build),
            sticky_build: entry.key.map_or(BuildId(0), |key| self.sticky_build(key)),
        })
    }

    /// Counts the attempt against the exposure limit at `now` instead of at its earlier time. Returns a violation if the limit no
    /// longer admits the attempt.
    fn recount_exposure(&mut self, now: Timestamp, attempt: &UnsentAttempt) -> Option<Violation> {
        let entry = self.requests.get_mut(attempt.id.request)?;
        let class = entry.class;
        let record = entry.attempts.get_mut(attempt.id.attempt)?;
        let counted_at = std::mem::replace(&mut record.exposure_counted_at, now);
        let build = record.precondition.build;
        let fits = self
            .policy
            .admits_late_attempt(now, counted_at, class, build);
        (!fits).then_some(Violation::ExposureLimitReached)
    }
}

/// When endpoints may forget the request's idempotency key. `None` if no attempt can have had an effect, or if the class has no
/// idempotency keys.
fn deduplicated_until(
    entry: &RequestEntry,
    class: Option<&ClassParameters>,
    tick: TimeDelta,
) -> Option<Timestamp> {
    let Some(RetrySafety::IdempotencyKey {
        deduplication_window,
        ..
    }) = class.map(|class| class.retry_safety)
    else {
        return None;
    };
    let first = entry
        .attempts
        .iter()
        .find(|attempt| !attempt.had_no_effect)?;
    Some(first.started_at + deduplication_window - tick)
}

impl Gateway {
    /// Cancels the attempt on this connection if its precondition no longer holds and its last byte is unwritten. The endpoint
    /// cannot have started to process the attempt.
    pub(crate) fn cancel_on_violation(&mut self, connection_id: ConnectionId) {
        let Some(attempt) = self.upstream.unsent_attempt(connection_id) else {
            return;
        };
        let id = attempt.id.request;
        let is_client_waiting = self.dispatcher.requests.is_inbound(id)
            || self.downstream.is_client_waiting(&mut self.context, id);
        let state = WriteState {
            now: self.context.now(),
            is_client_waiting,
            is_list_stale: self.is_list_stale(),
        };
        let violation = self
            .dispatcher
            .find_violation(&attempt, &state)
            .or_else(|| self.dispatcher.recount_exposure(state.now, &attempt));
        if let Some(violation) = violation {
            tracing::debug!("upstream: cancelled an attempt before it was sent: {violation:?}");
            self.context.counters.add(Counter::PreconditionViolations);
            self.upstream
                .cancel_unsent(&mut self.context, connection_id);
        }
    }
}
