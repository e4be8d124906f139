//! The requests that have not had their answer, or whose attempts have not all ended. Owns their attempts and retry timers, and
//! emits the difference between what is wanted of them and what was asked for already.

use std::collections::{BTreeMap, BTreeSet};

use harrierdock_types::{
    Action, AffinityKey, BuildId, ClassId, EndpointId, RequestId, TimeDelta, Timestamp,
};

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptState {
    /// To be started.
    Wanted,
    /// Started, and not ended.
    Started,
    /// To be cancelled.
    Unwanted,
    /// Cancelled, and not ended yet.
    Cancelled,
    /// Ended.
    Finished {
        /// Whether it may have had its effect.
        may_have_run: bool,
    },
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Where it goes.
    pub endpoint: EndpointId,
    /// The build of the endpoint.
    pub build: BuildId,
    /// When it started.
    pub started: Timestamp,
    /// Where it stands.
    pub state: AttemptState,
}

impl Attempt {
    /// Whether it has ended.
    pub fn is_finished(&self) -> bool {
        matches!(self.state, AttemptState::Finished { .. })
    }

    /// Whether it may have had its effect, or may yet have it.
    pub fn may_have_run(&self) -> bool {
        self.state
            != AttemptState::Finished {
                may_have_run: false,
            }
    }
}

/// How a request is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Not answered yet.
    Owed,
    /// An attempt's answer has begun to reach the client.
    Streaming,
    /// To be rejected.
    Reject,
    /// To be failed.
    Fail,
    /// Answered, or in no need of an answer.
    Given,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its class.
    pub class: ClassId,
    /// Its affinity key, if it has one.
    pub key: Option<AffinityKey>,
    /// When it came.
    pub received: Timestamp,
    /// When its client stops waiting.
    pub deadline: Timestamp,
    /// Its attempts, oldest first.
    pub attempts: Vec<Attempt>,
    /// How it is answered.
    pub answer: Answer,
    /// When an endpoint is looked for again, if that is to be.
    pub retry_at: Option<Timestamp>,
}

impl Request {
    /// A request without attempts.
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
            answer: Answer::Owed,
            retry_at: None,
        }
    }

    /// Whether it waits for an endpoint. No second copy goes out while one runs: where work isn't stopped, copies fill endpoints
    /// that are slow already.
    pub fn needs_endpoint(&self) -> bool {
        self.answer == Answer::Owed && self.attempts.iter().all(Attempt::is_finished)
    }

    fn has_run(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::Finished { may_have_run: true })
    }

    /// Moves each attempt to what is wanted of it.
    fn emit_attempts(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            match attempt.state {
                AttemptState::Wanted => {
                    attempt.state = AttemptState::Started;
                    actions.push(Action::StartAttempt {
                        id,
                        endpoint: attempt.endpoint,
                        timeout: TimeDelta::ZERO,
                    });
                }
                AttemptState::Unwanted => {
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
            Answer::Owed | Answer::Streaming | Answer::Given => return,
        };
        actions.push(action);
        self.answer = Answer::Given;
    }

    fn is_over(&self) -> bool {
        self.answer == Answer::Given && self.attempts.iter().all(Attempt::is_finished)
    }
}

/// An entry of the retry timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RetryTimer {
    at: Timestamp,
    id: RequestId,
}

/// All requests.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// Those that may differ from what was emitted.
    changed: BTreeSet<RequestId>,
    retry_timers: BTreeSet<RetryTimer>,
}

impl RequestTable {
    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    /// A request, unless it is over.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Adds an attempt to a request.
    pub fn start_attempt(&mut self, id: RequestId, attempt: Attempt) {
        self.changed.insert(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(attempt);
        }
    }

    /// Notes that an attempt has ended, and returns it with its request's class and key. `None` if there is no such attempt.
    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        index: usize,
        may_have_run: bool,
    ) -> Option<FinishedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(index)?;
        attempt.state = AttemptState::Finished { may_have_run };
        Some(FinishedAttempt {
            build: attempt.build,
            started: attempt.started,
            class: request.class,
            key: request.key,
        })
    }

    /// Marks a request as one to look at when actions are emitted.
    pub fn mark_changed(&mut self, id: RequestId) {
        self.changed.insert(id);
    }

    /// Looks for an endpoint again at this time, or at the request's deadline if that is earlier.
    pub fn schedule_retry(&mut self, id: RequestId, at: Timestamp) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let at = at.min(request.deadline);
        if let Some(before) = request.retry_at.replace(at) {
            self.retry_timers.remove(&RetryTimer { at: before, id });
        }
        self.retry_timers.insert(RetryTimer { at, id });
    }

    /// The earliest retry timer.
    pub fn next_retry(&self) -> Option<Timestamp> {
        self.retry_timers.first().map(|timer| timer.at)
    }

    /// Takes the earliest retry timer that is due, and returns its request.
    pub fn pop_due_retry(&mut self, now: Timestamp) -> Option<RequestId> {
        let timer = *self.retry_timers.first().filter(|timer| timer.at <= now)?;
        self.retry_timers.remove(&timer);
        if let Some(request) = self.requests.get_mut(&timer.id) {
            request.retry_at = None;
        }
        Some(timer.id)
    }

    /// Ends a request with this answer: attempts that are out are cancelled if they can be, and its retry timer is removed.
    /// Returns whether its client is left without an endpoint's answer.
    pub fn finish(&mut self, id: RequestId, answer: Answer, can_cancel: bool) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        if request.answer == Answer::Given {
            return false;
        }
        let is_unanswered = answer != Answer::Given || !request.has_run();
        request.answer = answer;
        if let Some(at) = request.retry_at.take() {
            self.retry_timers.remove(&RetryTimer { at, id });
        }
        if can_cancel && answer != Answer::Streaming {
            for attempt in &mut request.attempts {
                if attempt.state == AttemptState::Started {
                    attempt.state = AttemptState::Unwanted;
                }
            }
        }
        self.changed.insert(id);
        is_unanswered
    }

    /// The newest build that an attempt of this key is out at, other than the one that is rolled back.
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

    /// Emits what the changed requests want and has not been asked for, and removes those that are over.
    pub fn emit(&mut self, retry_after: Option<TimeDelta>, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.changed) {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            request.emit_attempts(id, actions);
            request.emit_answer(id, retry_after, actions);
            if request.is_over() {
                self.requests.remove(&id);
            }
        }
    }
}

/// What is known of an attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt {
    /// The build of the endpoint.
    pub build: BuildId,
    /// When it started.
    pub started: Timestamp,
    /// The request's class.
    pub class: ClassId,
    /// The request's affinity key, if it has one.
    pub key: Option<AffinityKey>,
}
