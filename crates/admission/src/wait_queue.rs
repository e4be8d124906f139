//! Requests that wait to be admitted: of the highest priority weight first, then those whose latency objective is over soonest.

use harrierdock_types::{ClassId, RequestId, TenantId, Timestamp};

/// The most requests kept; one more is decided on at once. Bounds memory and what a tick costs.
pub const MAX_WAITING: usize = 256;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WaitingRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) zones: u8,
    /// The highest admitted ratio that the request has been tried at.
    pub(crate) tried_ratio: f32,
    pub(crate) priority_weight: f64,
    /// When its latency objective is over.
    pub(crate) objective_at: Timestamp,
    /// When its wait is over.
    pub(crate) waits_until: Timestamp,
}

impl WaitingRequest {
    fn goes_before(&self, other: &WaitingRequest) -> bool {
        self.priority_weight
            .total_cmp(&other.priority_weight)
            .reverse()
            .then(self.objective_at.cmp(&other.objective_at))
            .is_le()
    }
}

/// All waiting requests, in order.
#[derive(Debug)]
pub(crate) struct WaitQueue {
    requests: Vec<WaitingRequest>,
}

impl WaitQueue {
    pub(crate) fn new() -> WaitQueue {
        WaitQueue {
            requests: Vec::with_capacity(MAX_WAITING),
        }
    }

    /// Adds a request in order, without allocating. Returns false if the queue is full or has the request already.
    pub(crate) fn push(&mut self, request: WaitingRequest) -> bool {
        let is_full = self.requests.len() >= MAX_WAITING;
        if is_full || self.requests.iter().any(|waiting| waiting.id == request.id) {
            return false;
        }
        let position = self
            .requests
            .partition_point(|waiting| waiting.goes_before(&request));
        self.requests.insert(position, request);
        true
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.retain(|request| request.id != id);
    }

    /// Goes through all requests in order; those for which `resolve` returns something leave.
    pub(crate) fn resolve_each<T>(
        &mut self,
        mut resolve: impl FnMut(&mut WaitingRequest) -> Option<T>,
        resolved: &mut Vec<T>,
    ) {
        self.requests.retain_mut(|request| match resolve(request) {
            Some(result) => {
                resolved.push(result);
                false
            }
            None => true,
        });
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

impl Default for WaitQueue {
    fn default() -> WaitQueue {
        WaitQueue::new()
    }
}
