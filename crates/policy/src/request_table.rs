//! The requests that are unanswered or have unfinished attempts. Owns their attempts and retry timers, and emits the actions
//! that bring each request to its desired state.

use std::collections::{BTreeMap, BTreeSet};

use harrierdock_types::{
    Action, AffinityKey, BuildId, ClassId, EndpointId, RequestId, TimeDelta, Timestamp,
};

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptState {
    /// To be started by the next emitted action.
    PendingStart,
    /// In flight.
    Started,
    /// To be cancelled by the next emitted action.
    PendingCancel,
    /// Cancellation was requested, but the attempt has not finished yet.
    Cancelled,
    /// Succeeded, failed, or cancelled.
    Finished {
        /// Whether the attempt may have taken effect.
        may_have_effect: bool,
    },
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// The build of the endpoint.
    pub build: BuildId,
    /// When the endpoint was selected.
    pub started: Timestamp,
    /// How far the attempt has progressed.
    pub state: AttemptState,
}

impl Attempt {
    /// Whether the attempt is no longer in flight or pending.
    pub fn is_finished(&self) -> bool {
        matches!(self.state, AttemptState::Finished { .. })
    }

    /// Whether the attempt may have taken effect, or may still do so.
    pub fn may_have_effect(&self) -> bool {
        self.state
            != AttemptState::Finished {
                may_have_effect: false,
            }
    }
}

/// The state of a request's final answer to its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Not answered yet.
    Pending,
    /// A response is being streamed to the client.
    Streaming,
    /// To be rejected by the next emitted action.
    Reject,
    /// To be failed by the next emitted action.
    Fail,
    /// Answered, or the client has disconnected.
    Done,
}

/// A client request and its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// Selects the latency objective, timeout and retry safety.
    pub class: ClassId,
    /// The affinity key; `None` if the request has none.
    pub key: Option<AffinityKey>,
    /// When the request arrived.
    pub received: Timestamp,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// All attempts so far, oldest first.
    pub attempts: Vec<Attempt>,
    /// The state of the final answer.
    pub answer: Answer,
    /// When the retry timer fires; `None` if no retry is scheduled.
    pub retry_at: Option<Timestamp>,
}

impl Request {
    /// Creates an unanswered request without attempts.
    pub fn new(
        class: ClassId,
        key: Option<AffinityKey>,
        received: Timestamp,
        deadline: Timestamp,
    ) -> Request {
        Request {
            class,
            key,
            received,
            deadline,
            attempts: Vec::new(),
            answer: Answer::Pending,
            retry_at: None,
        }
    }

    /// Whether the request is unanswered and no attempt is running. There is at most one running attempt per request: where
    /// attempts can't be cancelled, additional ones would add load to endpoints that are slow already.
    pub fn needs_endpoint(&self) -> bool {
        self.answer == Answer::Pending && self.attempts.iter().all(Attempt::is_finished)
    }

    fn has_finished_attempt_with_possible_effect(&self) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.state
                == AttemptState::Finished {
                    may_have_effect: true,
                }
        })
    }

    /// Emits the pending starts and cancellations.
    fn emit_attempts(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            match attempt.state {
                AttemptState::PendingStart => {
                    attempt.state = AttemptState::Started;
                    actions.push(Action::StartAttempt {
                        id,
                        endpoint: attempt.endpoint,
                        timeout: TimeDelta::ZERO,
                    });
                }
                AttemptState::PendingCancel => {
                    attempt.state = AttemptState::Cancelled;
                    actions.push(Action::CancelAttempt { id, attempt: index });
                }
                AttemptState::Started | AttemptState::Cancelled | AttemptState::Finished { .. } => {
                }
            }
        }
    }

    fn emit_answer(
        &mut self,
        id: RequestId,
        retry_after: Option<TimeDelta>,
        actions: &mut Vec<Action>,
    ) {
        let action = match self.answer {
            Answer::Reject => Action::Reject { id, retry_after },
            Answer::Fail => Action::Fail { id },
            Answer::Pending | Answer::Streaming | Answer::Done => return,
        };
        actions.push(action);
        self.answer = Answer::Done;
    }

    fn is_complete(&self) -> bool {
        self.answer == Answer::Done && self.attempts.iter().all(Attempt::is_finished)
    }
}

/// An entry of [`RequestTable::retry_timers`], ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RetryTimer {
    at: Timestamp,
    id: RequestId,
}

/// All requests that are not complete.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// The requests that may have pending actions.
    changed: BTreeSet<RequestId>,
    retry_timers: BTreeSet<RetryTimer>,
}

impl RequestTable {
    /// Adds a request, replacing any request with the same id.
    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    /// The request with this id; `None` once it is complete.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Adds an attempt to a request; [`RequestTable::emit`] starts it.
    pub fn start_attempt(&mut self, id: RequestId, attempt: Attempt) {
        self.changed.insert(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(attempt);
        }
    }

    /// Marks an attempt as finished, and returns it with its request's class and key. `None` if there is no such attempt.
    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        index: usize,
        may_have_effect: bool,
    ) -> Option<FinishedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(index)?;
        attempt.state = AttemptState::Finished { may_have_effect };
        Some(FinishedAttempt {
            build: attempt.build,
            started: attempt.started,
            class: request.class,
            key: request.key,
            client_timeout: request.deadline - request.received,
        })
    }

    /// Makes the next [`RequestTable::emit`] check this request for pending actions and completion.
    pub fn mark_changed(&mut self, id: RequestId) {
        self.changed.insert(id);
    }

    /// Sets the request's retry timer to `at`, or to the request's deadline if that is earlier. Replaces any earlier timer.
    pub fn schedule_retry(&mut self, id: RequestId, at: Timestamp) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let at = at.min(request.deadline);
        if let Some(previous) = request.retry_at.replace(at) {
            self.retry_timers.remove(&RetryTimer { at: previous, id });
        }
        self.retry_timers.insert(RetryTimer { at, id });
    }

    /// When the earliest retry timer fires; `None` if no retry is scheduled.
    pub fn next_retry(&self) -> Option<Timestamp> {
        self.retry_timers.first().map(|timer| timer.at)
    }

    /// Removes the earliest retry timer if it has expired, and returns its request.
    pub fn pop_expired_retry(&mut self, now: Timestamp) -> Option<RequestId> {
        let timer = *self.retry_timers.first().filter(|timer| timer.at <= now)?;
        self.retry_timers.remove(&timer);
        if let Some(request) = self.requests.get_mut(&timer.id) {
            request.retry_at = None;
        }
        Some(timer.id)
    }

    /// Sets the final answer of a request, cancels its attempts in flight if `can_cancel` is set, and removes its retry timer.
    /// Returns whether the client gets no response from an endpoint.
    pub fn finish(&mut self, id: RequestId, answer: Answer, can_cancel: bool) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        if request.answer == Answer::Done {
            return false;
        }
        let is_unanswered =
            answer != Answer::Done || !request.has_finished_attempt_with_possible_effect();
        request.answer = answer;
        if let Some(at) = request.retry_at.take() {
            self.retry_timers.remove(&RetryTimer { at, id });
        }
        if can_cancel && answer != Answer::Streaming {
            for attempt in &mut request.attempts {
                if attempt.state == AttemptState::Started {
                    attempt.state = AttemptState::PendingCancel;
                }
            }
        }
        self.changed.insert(id);
        is_unanswered
    }

    /// The newest build with an unfinished attempt for this key, ignoring the build that is being rolled back.
    pub fn newest_build_in_flight(
        &self,
        key: AffinityKey,
        rolled_back: Option<BuildId>,
    ) -> Option<BuildId> {
        self.requests
            .values()
            .filter(|request| request.key == Some(key))
            .flat_map(|request| &request.attempts)
            .filter(|attempt| !attempt.is_finished() && Some(attempt.build) != rolled_back)
            .map(|attempt| attempt.build)
            .max()
    }

    /// Emits the pending actions of the changed requests, and removes those that are complete.
    pub fn emit(&mut self, retry_after: Option<TimeDelta>, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.changed) {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            request.emit_attempts(id, actions);
            request.emit_answer(id, retry_after, actions);
            if request.is_complete() {
                self.requests.remove(&id);
            }
        }
    }
}

/// A finished attempt with details of its request.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt {
    /// The build of the endpoint.
    pub build: BuildId,
    /// When the endpoint was selected.
    pub started: Timestamp,
    /// The request's class.
    pub class: ClassId,
    /// The request's affinity key; `None` if the request has none.
    pub key: Option<AffinityKey>,
    /// How long the client waits, from the request's receipt.
    pub client_timeout: TimeDelta,
}
