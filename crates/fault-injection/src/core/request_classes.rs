//! The request classes of the simulated sites.

use harrierdock_multi_site::RequestClass;
use harrierdock_types::{IdempotencyScope, RetrySafety, TimeDelta};

pub(super) const DEDUPLICATION_WINDOW: TimeDelta = TimeDelta(1_000_000);
pub(super) const REQUEST_TIMEOUT: TimeDelta = TimeDelta(1_500_000);

pub(super) fn request_classes() -> Vec<RequestClass> {
    let class = |name: &str, repeat, priority_weight, spans| {
        let (name, latency_objective) = (name.to_string(), TimeDelta(400_000));
        RequestClass {
            name,
            retry_safety: repeat,
            latency_objective,
            timeout: REQUEST_TIMEOUT,
            priority_weight,
            deduplicates_across_sites: spans,
        }
    };
    let keyed = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: DEDUPLICATION_WINDOW,
    };
    vec![
        class("draft", RetrySafety::Idempotent, 1.0, false),
        class("payment", keyed, 5.0, true),
        class("ledger", keyed, 5.0, false),
        class("lodge", RetrySafety::NonIdempotent, 5.0, false),
    ]
}
