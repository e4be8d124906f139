//! The precondition that an attempt carries from its decision to its write.

use harrierdock_types::{BuildId, Lifecycle, Timestamp};

/// What an attempt was decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Precondition {
    /// The endpoint's build.
    pub build: BuildId,
    /// When the endpoint started, if discovery says.
    pub started_at: Option<Timestamp>,
    /// The exposure limit of the build.
    pub exposure_limit: f64,
    /// From then on endpoints may no longer recognise the idempotency key of an earlier attempt. `None` if no earlier attempt may
    /// have had its effect.
    pub deduplicated_until: Option<Timestamp>,
}

/// An endpoint as it is listed when an attempt is about to be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Whether it takes requests.
    pub lifecycle: Lifecycle,
    /// Its build.
    pub build: BuildId,
    /// When it started, if discovery says.
    pub started_at: Option<Timestamp>,
}

/// The state of affairs when an attempt is about to be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentState {
    /// The current time.
    pub now: Timestamp,
    /// Whether the request has its answer, or its client has left.
    pub is_request_finished: bool,
    /// Whether the endpoint list may no longer be acted on.
    pub is_list_stale: bool,
    /// The endpoint, if it is listed at the address that the connection was made to.
    pub endpoint: Option<ListedEndpoint>,
    /// The exposure limit of the attempt's build.
    pub exposure_limit: f64,
    /// The oldest build that may answer the request's affinity key.
    pub sticky_build: BuildId,
}

/// Why an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The request has its answer, or its client has left.
    RequestFinished,
    /// The endpoint list is stale, see `ListFreshness`.
    ListStale,
    /// The endpoint drains or is gone. A request counts as sent with its first byte, however long ago it was decided on.
    EndpointDraining,
    /// Another start, or another build, now runs at the address.
    EndpointReplaced,
    /// The exposure limit of the build has been lowered. It binds what arrives under it, whenever that was decided.
    ExposureLimitLowered,
    /// Connections that came up late and together carry more attempts than the exposure limit admits.
    ExposureLimitReached,
    /// A newer build has answered the request's affinity key.
    StickyVersion,
    /// Endpoints may no longer recognise the idempotency key, so the request could have its effect twice.
    DeduplicationExpired,
}

impl Precondition {
    /// Why an attempt with this precondition may not be written, if it may not.
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
        let expired = self
            .deduplicated_until
            .is_some_and(|until| current.now >= until);
        expired.then_some(Violation::DeduplicationExpired)
    }

    fn endpoint_violation(&self, endpoint: Option<ListedEndpoint>) -> Option<Violation> {
        let Some(endpoint) = endpoint else {
            return Some(Violation::EndpointReplaced);
        };
        if endpoint.lifecycle != Lifecycle::Ready {
            return Some(Violation::EndpointDraining);
        }
        let is_same = endpoint.build == self.build && endpoint.started_at == self.started_at;
        (!is_same).then_some(Violation::EndpointReplaced)
    }
}
