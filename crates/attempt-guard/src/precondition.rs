//! The precondition that is checked between the decision to make an attempt and its write.

use harrierdock_types::{BuildId, Lifecycle, Timestamp};

/// The state that the decision to make an attempt relied on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Precondition {
    /// The build that the endpoint runs.
    pub build: BuildId,
    /// When the endpoint started; `None` if discovery does not report it.
    pub started_at: Option<Timestamp>,
    /// The exposure limit of the build, as a share of requests.
    pub exposure_limit: f64,
    /// When endpoints may stop recognising the idempotency key of an earlier attempt. `None` if no earlier attempt may have taken
    /// effect.
    pub deduplicated_until: Option<Timestamp>,
}

/// The list entry of an endpoint when an attempt is about to be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Whether the endpoint accepts requests.
    pub lifecycle: Lifecycle,
    /// The build that the endpoint runs.
    pub build: BuildId,
    /// When the endpoint started; `None` if discovery does not report it.
    pub started_at: Option<Timestamp>,
}

/// The current state when an attempt is about to be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentState {
    /// The current time.
    pub now: Timestamp,
    /// Whether the request was answered, or its client disconnected.
    pub is_request_finished: bool,
    /// Whether the endpoint list is too old to use, see `ListFreshness`.
    pub is_list_stale: bool,
    /// The endpoint; `None` if it is not listed at the address of the connection.
    pub endpoint: Option<ListedEndpoint>,
    /// The current exposure limit of the attempt's build.
    pub exposure_limit: f64,
    /// The oldest build that may serve the request's affinity key.
    pub sticky_build: BuildId,
}

/// Why an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The request was answered, or its client disconnected.
    RequestFinished,
    /// The endpoint list is stale, see `ListFreshness`.
    ListStale,
    /// The endpoint is draining or removed. What counts is the time of the first byte, not of the decision.
    EndpointDraining,
    /// The endpoint was restarted, runs another build, or is no longer listed at the address.
    EndpointReplaced,
    /// The exposure limit of the build was lowered. The limit applies to all attempts that reach endpoints after that, whenever
    /// they were decided on.
    ExposureLimitLowered,
    /// The exposure limit admits no further attempt now, as several delayed connections opened at the same time.
    ExposureLimitReached,
    /// A newer build has already served the request's affinity key.
    StickyVersion,
    /// Endpoints may no longer recognise the idempotency key, so the request could take effect twice.
    DeduplicationExpired,
}

impl Precondition {
    /// Why an attempt with this precondition may not be written; `None` if it may.
    pub fn violation(&self, current: &CurrentState) -> Option<Violation> {
        if current.is_request_finished {
            return Some(Violation::RequestFinished);
        }
        if current.is_list_stale {
            return Some(Violation::ListStale);
        }
        if let Some(violation) = self.endpoint_violation(current.endpoint) {
            return Some(violation);
        }
        if current.exposure_limit < self.exposure_limit {
            return Some(Violation::ExposureLimitLowered);
        }
        if self.build < current.sticky_build {
            return Some(Violation::StickyVersion);
        }
        let is_deduplication_expired = self
            .deduplicated_until
            .is_some_and(|until| current.now >= until);
        is_deduplication_expired.then_some(Violation::DeduplicationExpired)
    }

    fn endpoint_violation(&self, endpoint: Option<ListedEndpoint>) -> Option<Violation> {
        let Some(endpoint) = endpoint else {
            return Some(Violation::EndpointReplaced);
        };
        if endpoint.lifecycle != Lifecycle::Ready {
            return Some(Violation::EndpointDraining);
        }
        let is_same_instance =
            endpoint.build == self.build && endpoint.started_at == self.started_at;
        (!is_same_instance).then_some(Violation::EndpointReplaced)
    }
}
