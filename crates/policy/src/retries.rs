//! Whether a request may be retried at an endpoint, and whether it may be rejected. Stateless.

use harrierdock_types::{IdempotencyScope, RetrySafety};

use crate::context::Context;
use crate::endpoint_table::{Endpoint, EndpointTable};
use crate::request_table::{Attempt, Request};

/// Whether a request may go to an endpoint, given its earlier attempts.
pub(crate) fn may_retry_at(
    context: &Context,
    endpoints: &EndpointTable,
    endpoint: &Endpoint,
    request: &Request,
) -> bool {
    let mut attempts_with_possible_effect = request
        .attempts
        .iter()
        .filter(|attempt| attempt.may_have_effect());
    match context.class(request.class).retry_safety {
        RetrySafety::Idempotent => true,
        RetrySafety::NonIdempotent => attempts_with_possible_effect.next().is_none(),
        RetrySafety::IdempotencyKey {
            scope,
            deduplication_window,
        } => attempts_with_possible_effect.all(|attempt| {
            let shares_keys = share_idempotency_keys(endpoints, attempt, endpoint, scope);
            let arrival = context.now + context.parameters.clock_resolution;
            shares_keys && arrival < attempt.started + deduplication_window
        }),
    }
}

/// Whether an endpoint recognises the idempotency key of an attempt at another endpoint.
fn share_idempotency_keys(
    endpoints: &EndpointTable,
    attempt: &Attempt,
    endpoint: &Endpoint,
    scope: IdempotencyScope,
) -> bool {
    let first = endpoints.get(attempt.endpoint).map(|first| &first.record);
    let record = &endpoint.record;
    match scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => first.is_some_and(|first| first.zone == record.zone),
        IdempotencyScope::Cell => {
            first.is_some_and(|first| first.zone == record.zone && first.cell == record.cell)
        }
    }
}

/// Whether a request may be rejected, which promises the client that a retry is safe. Otherwise it must be failed.
pub(crate) fn may_reject(context: &Context, request: &Request) -> bool {
    let is_safe_anywhere = matches!(
        context.class(request.class).retry_safety,
        RetrySafety::Idempotent
            | RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::All,
                ..
            }
    );
    is_safe_anywhere || !request.attempts.iter().any(Attempt::may_have_effect)
}
