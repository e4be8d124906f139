//! Forwarded requests that await a response. Their number is bounded by the clients' open requests and their timeouts.

use std::collections::{BTreeMap, BTreeSet};

use harrierdock_site_messages::GatewayName;
use harrierdock_types::{ClassId, RequestId, RetrySafety, TimeDelta, Timestamp};

use crate::{Membership, PathId};

/// A forwarded request that awaits a response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OutboundRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassId,
    pub(crate) peer: GatewayName,
    /// The incarnation of the receiver when the request was forwarded.
    pub(crate) receiver_incarnation: u64,
    pub(crate) sent: Timestamp,
    /// When the request fails if no response has arrived.
    pub(crate) deadline: Timestamp,
    /// Whether the local policy has rejected the request, so that it is not served locally any more.
    pub(crate) locally_rejected: bool,
    pub(crate) retry_safety: RetrySafety,
    pub(crate) deduplicates_across_sites: bool,
    pub(crate) path: PathId,
}

impl OutboundRequest {
    /// Whether a client retry is safe even if this attempt has run.
    pub(crate) fn is_retry_safe(&self) -> bool {
        match self.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::IdempotencyKey { .. } => self.deduplicates_across_sites,
            RetrySafety::NonIdempotent => false,
        }
    }

    /// The time left to run the request at the local site although it may have run at the other site. `None` if the request is
    /// not retry-safe or too little time is left. An idempotency key makes a request retry-safe only if a deduplication group
    /// spans both sites; then both runs must lie within the deduplication window.
    pub(crate) fn local_retry_time(&self, now: Timestamp, tick: TimeDelta) -> Option<TimeDelta> {
        let remaining = match self.retry_safety {
            RetrySafety::Idempotent => self.deadline - now,
            RetrySafety::IdempotencyKey {
                deduplication_window,
                ..
            } if self.deduplicates_across_sites => {
                (self.deadline - now).min(self.sent + deduplication_window - tick - now)
            }
            RetrySafety::IdempotencyKey { .. } | RetrySafety::NonIdempotent => return None,
        };
        (remaining > tick).then_some(remaining)
    }
}

/// A request of a lost path that runs again at the local site.
pub(crate) struct LocalRetry {
    pub(crate) request: OutboundRequest,
    /// The time within which the local site must answer.
    pub(crate) remaining: TimeDelta,
}

/// A forwarded request whose response has not arrived.
pub(crate) struct MissingResponse {
    pub(crate) forwarding_id: u64,
    pub(crate) receiver_incarnation: u64,
}

/// All forwarded requests without a response, by forwarding id.
#[derive(Default)]
pub(crate) struct OutboundRequests {
    last_id: u64,
    requests: BTreeMap<u64, OutboundRequest>,
    by_request: BTreeMap<RequestId, u64>,
    deadlines: BTreeSet<(Timestamp, u64)>,
}

impl OutboundRequests {
    /// Adds a request and returns its forwarding id.
    pub(crate) fn insert(&mut self, request: OutboundRequest) -> u64 {
        self.last_id += 1;
        let forwarding_id = self.last_id;
        self.deadlines.insert((request.deadline, forwarding_id));
        self.by_request.insert(request.id, forwarding_id);
        self.requests.insert(forwarding_id, request);
        forwarding_id
    }

    /// Removes and returns a request that `peer` has answered. `None` if it was not forwarded to `peer`.
    pub(crate) fn take_answered(
        &mut self,
        forwarding_id: u64,
        peer: &GatewayName,
    ) -> Option<OutboundRequest> {
        let request = self.requests.get(&forwarding_id)?;
        if request.peer != *peer {
            return None;
        }
        self.remove(forwarding_id)
    }

    /// Removes and returns a request whose client disconnected, with its forwarding id.
    pub(crate) fn take_abandoned(&mut self, id: RequestId) -> Option<(u64, OutboundRequest)> {
        let forwarding_id = *self.by_request.get(&id)?;
        Some((forwarding_id, self.remove(forwarding_id)?))
    }

    /// Removes and returns a request whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Option<OutboundRequest> {
        let (deadline, forwarding_id) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(forwarding_id)
    }

    /// Removes and returns the requests of a lost path that may run again at the local site. Two kinds of requests still
    /// wait for a response: requests whose receiver is reachable on another path, and requests that are not retry-safe.
    pub(crate) fn take_local_retries(
        &mut self,
        path: PathId,
        membership: &Membership,
        now: Timestamp,
        tick: TimeDelta,
    ) -> Vec<LocalRetry> {
        let mut retries = Vec::new();
        for (forwarding_id, request) in &self.requests {
            if request.path != path || membership.is_reachable(&request.peer) {
                continue;
            }
            if let Some(remaining) = request.local_retry_time(now, tick) {
                retries.push((*forwarding_id, remaining));
            }
        }
        let take = |(forwarding_id, remaining)| {
            let request = self.remove(forwarding_id)?;
            Some(LocalRetry { request, remaining })
        };
        retries.into_iter().filter_map(take).collect()
    }

    /// Removes and returns the requests that were forwarded to an earlier incarnation of `peer`.
    pub(crate) fn take_lost_by_restart(
        &mut self,
        peer: &GatewayName,
        incarnation: u64,
    ) -> Vec<OutboundRequest> {
        let is_lost = |request: &OutboundRequest| {
            request.peer == *peer && request.receiver_incarnation < incarnation
        };
        let lost = self.requests.iter().filter(|(_, r)| is_lost(r));
        let lost: Vec<u64> = lost.map(|(forwarding_id, _)| *forwarding_id).collect();
        lost.into_iter()
            .filter_map(|forwarding_id| self.remove(forwarding_id))
            .collect()
    }

    /// The requests that `peer` has not answered.
    pub(crate) fn missing_responses(&self, peer: &GatewayName) -> Vec<MissingResponse> {
        self.requests
            .iter()
            .filter(|(_, request)| request.peer == *peer)
            .map(|(forwarding_id, request)| MissingResponse {
                forwarding_id: *forwarding_id,
                receiver_incarnation: request.receiver_incarnation,
            })
            .collect()
    }

    /// The earliest deadline of all requests.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    fn remove(&mut self, forwarding_id: u64) -> Option<OutboundRequest> {
        let request = self.requests.remove(&forwarding_id)?;
        self.deadlines.remove(&(request.deadline, forwarding_id));
        self.by_request.remove(&request.id);
        Some(request)
    }
}
