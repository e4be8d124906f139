//! The request classes of the simulated sites.

use harrierdock_multi_site::RequestClass;
use harrierdock_types::{IdempotencyScope, RetrySafety, TimeDelta};

/// How long an idempotency group remembers the key of a request.
pub(super) const DEDUPLICATION_WINDOW: TimeDelta = TimeDelta(1_000_000);
/// How long a client waits for an answer.
pub(super) const REQUEST_TIMEOUT: TimeDelta = TimeDelta(1_500_000);
const LATENCY_OBJECTIVE: TimeDelta = TimeDelta(400_000);
const LOW_PRIORITY_WEIGHT: f64 = 1.0;
const HIGH_PRIORITY_WEIGHT: f64 = 5.0;

/// One class per kind of retry safety. Of the two with an idempotency key, `payment` deduplicates across both sites and
/// `ledger` does not.
pub(super) fn request_classes() -> Vec<RequestClass> {
    let keyed = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: DEDUPLICATION_WINDOW,
    };
    vec![
        RequestClass {
            priority_weight: LOW_PRIORITY_WEIGHT,
            ..request_class("draft", RetrySafety::Idempotent)
        },
        RequestClass {
            deduplicates_across_sites: true,
            ..request_class("payment", keyed)
        },
        request_class("ledger", keyed),
        request_class("lodge", RetrySafety::NonIdempotent),
    ]
}

fn request_class(name: &str, retry_safety: RetrySafety) -> RequestClass {
    RequestClass {
        name: name.to_string(),
        retry_safety,
        latency_objective: LATENCY_OBJECTIVE,
        timeout: REQUEST_TIMEOUT,
        priority_weight: HIGH_PRIORITY_WEIGHT,
        deduplicates_across_sites: false,
    }
}
