//! Inbound requests: running requests, and the stored completions of earlier requests. No request that was accepted or refused
//! once is accepted later, also after its completion is forgotten.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use harrierdock_site_messages::{ForwardingOutcome, GatewayName};
use harrierdock_types::{BuildId, TimeDelta, Timestamp};

use super::forgotten::ForgottenRequests;
use crate::{InboundId, PathId};

/// How long a completion is stored, in multiples of the longest timeout, so that a sender that asks late learns the outcome.
const STORED_TIMEOUTS: f64 = 2.0;
/// The maximum number of inbound requests that run at once.
const MAX_RUNNING: usize = 4096;
/// The maximum number of stored completions. Beyond it, the oldest are removed.
const MAX_COMPLETED: usize = 16_384;

/// Identifies an inbound request across gateways and their restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InboundKey {
    pub(crate) sender: GatewayName,
    pub(crate) sender_incarnation: u64,
    pub(crate) forwarding_id: u64,
}

/// The outcome of an inbound request, stored for late copies and status queries.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct InboundCompletion {
    pub(crate) outcome: ForwardingOutcome,
    pub(crate) build: Option<BuildId>,
    pub(crate) body: Vec<u8>,
}

impl InboundCompletion {
    /// A completion without a response from an endpoint.
    pub(crate) fn without_answer(outcome: ForwardingOutcome) -> InboundCompletion {
        InboundCompletion {
            outcome,
            build: None,
            body: Vec::new(),
        }
    }
}

/// The state of a known inbound request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum InboundState {
    /// The request runs at this site.
    Running {
        /// This gateway's id for the request.
        inbound: InboundId,
        /// The path on which the request arrived.
        path: PathId,
    },
    /// The request has ended or was refused.
    Completed(InboundCompletion),
}

pub(crate) struct InboundRequests {
    last_id: u64,
    states: BTreeMap<InboundKey, InboundState>,
    running: BTreeMap<InboundId, InboundKey>,
    /// The completed requests by time of completion.
    completed: BTreeSet<(Timestamp, InboundKey)>,
    forgotten: ForgottenRequests,
    stored_for: TimeDelta,
    stored_bytes: usize,
    max_stored_bytes: usize,
    /// The completed requests with a stored body, oldest first.
    with_body: VecDeque<InboundKey>,
}

impl InboundRequests {
    pub(crate) fn new(longest_timeout: TimeDelta, max_stored_bytes: usize) -> InboundRequests {
        InboundRequests {
            last_id: 0,
            states: BTreeMap::new(),
            running: BTreeMap::new(),
            completed: BTreeSet::new(),
            forgotten: ForgottenRequests::default(),
            stored_for: longest_timeout * STORED_TIMEOUTS,
            stored_bytes: 0,
            max_stored_bytes,
            with_body: VecDeque::new(),
        }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.running.len() >= MAX_RUNNING
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn state(&self, key: &InboundKey) -> Option<&InboundState> {
        self.states.get(key)
    }

    /// Whether a request without a state may have been accepted or refused before.
    pub(crate) fn may_have_forgotten(&self, key: &InboundKey) -> bool {
        self.forgotten.may_include(key)
    }

    /// Enters a request as running, and returns its new id.
    pub(crate) fn accept(&mut self, key: InboundKey, path: PathId) -> InboundId {
        self.last_id += 1;
        let inbound = InboundId(self.last_id);
        self.running.insert(inbound, key.clone());
        self.states
            .insert(key, InboundState::Running { inbound, path });
        inbound
    }

    /// The running requests that an earlier incarnation of the sender forwarded.
    pub(crate) fn running_for_earlier_incarnation(
        &self,
        sender: &GatewayName,
        incarnation: u64,
    ) -> Vec<InboundId> {
        let is_earlier =
            |key: &InboundKey| key.sender == *sender && key.sender_incarnation < incarnation;
        let earlier = self.running.iter().filter(|(_, key)| is_earlier(key));
        earlier.map(|(inbound, _)| *inbound).collect()
    }

    /// Completes a running request, and returns its key and the path on which it arrived.
    pub(crate) fn complete_running(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        completion: InboundCompletion,
    ) -> Option<(InboundKey, PathId)> {
        let key = self.running.remove(&inbound)?;
        let Some(InboundState::Running { path, .. }) = self.states.get(&key) else {
            return None;
        };
        let path = *path;
        self.complete(now, key.clone(), completion);
        Some((key, path))
    }

    /// Stores the completion of a request that ended or was refused, so that no copy of it runs.
    pub(crate) fn complete(
        &mut self,
        now: Timestamp,
        key: InboundKey,
        completion: InboundCompletion,
    ) {
        self.stored_bytes += completion.body.len();
        self.completed.insert((now, key.clone()));
        if !completion.body.is_empty() {
            self.with_body.push_back(key.clone());
        }
        self.states.insert(key, InboundState::Completed(completion));
        self.drop_oldest_bodies();
        while self.completed.len() > MAX_COMPLETED {
            self.remove_oldest();
        }
    }

    /// Drops the oldest bodies beyond the memory limit. The outcome of their requests becomes unknown.
    fn drop_oldest_bodies(&mut self) {
        while self.stored_bytes > self.max_stored_bytes {
            let Some(key) = self.with_body.pop_front() else {
                break;
            };
            if let Some(InboundState::Completed(completion)) = self.states.get_mut(&key) {
                self.stored_bytes -= completion.body.len();
                completion.outcome = ForwardingOutcome::Unknown;
                completion.body = Vec::new();
            }
        }
    }

    fn remove_oldest(&mut self) {
        let Some((_, key)) = self.completed.pop_first() else {
            return;
        };
        self.forgotten.record(&key);
        if self.with_body.front() == Some(&key) {
            self.with_body.pop_front();
        }
        if let Some(InboundState::Completed(completion)) = self.states.remove(&key) {
            self.stored_bytes -= completion.body.len();
        }
    }

    /// When the oldest completion expires.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        let oldest = self.completed.first();
        oldest.map(|(completed, _)| *completed + self.stored_for)
    }

    /// Removes the completions whose storage time has passed.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        while self.next_expiry().is_some_and(|at| at <= now) {
            self.remove_oldest();
        }
    }
}
