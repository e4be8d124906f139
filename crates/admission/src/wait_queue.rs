//! The queue of requests that wait for admission, ordered by descending priority weight, then by the end of the latency objective.

use harrierdock_types::{ClassId, RequestId, TenantId, Timestamp};

/// The capacity of the wait queue, which bounds memory and the cost of a tick. A request that would exceed it is rejected at once.
pub const MAX_WAITING: usize = 256;

/// A request in the wait queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WaitingRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) zones: u8,
    /// The highest admitted ratio at which admitting the request was tried.
    pub(crate) tried_ratio: f32,
    pub(crate) priority_weight: f64,
    /// The end of the request's latency objective.
    pub(crate) objective_at: Timestamp,
    /// The end of the request's wait.
    pub(crate) waits_until: Timestamp,
}

impl WaitingRequest {
    fn is_ordered_before(&self, other: &WaitingRequest) -> bool {
        self.priority_weight
            .total_cmp(&other.priority_weight)
            .reverse()
            .then(self.objective_at.cmp(&other.objective_at))
            .is_le()
    }
}

/// The waiting requests in order.
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

    /// Inserts a request in order, without allocating. Returns false if the queue is full or already contains the request.
    pub(crate) fn push(&mut self, request: WaitingRequest) -> bool {
        let is_full = self.requests.len() >= MAX_WAITING;
        if is_full || self.requests.iter().any(|waiting| waiting.id == request.id) {
            return false;
        }
        let position = self
            .requests
            .partition_point(|waiting| waiting.is_ordered_before(&request));
        self.requests.insert(position, request);
        true
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.retain(|request| request.id != id);
    }

    /// Calls `resolve` for all requests in order. Removes those for which it returns a result, and appends the results to `resolved`.
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
