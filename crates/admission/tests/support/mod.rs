//! Settings of three classes and two zones, and reports as peers may send them.

use harrierdock_admission::latency_histogram::LatencyHistogram;
use harrierdock_admission::load_report::LoadReport;
use harrierdock_admission::AdmissionParameters;
use harrierdock_types::{ClassParameters, IdempotencyScope, RetrySafety, TimeDelta};
use proptest::prelude::*;

pub const OBJECTIVE_US: i64 = 500_000;
pub const MIN_RETRY_AFTER: TimeDelta = TimeDelta(100_000);

fn class(
    retry_safety: RetrySafety,
    priority_weight: f64,
    late_value_ratio: f64,
) -> ClassParameters {
    let (latency_objective, timeout) = (TimeDelta(OBJECTIVE_US), TimeDelta(3 * OBJECTIVE_US));
    ClassParameters {
        retry_safety,
        latency_objective,
        timeout,
        priority_weight,
        late_value_ratio,
    }
}

/// `odd` stands for settings that may be no proper numbers.
pub fn parameters(seed: u64, odd: f64) -> AdmissionParameters {
    let keyed = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: TimeDelta(OBJECTIVE_US),
    };
    AdmissionParameters {
        classes: vec![
            class(RetrySafety::Idempotent, odd, 0.0),
            class(keyed, 5.0, odd),
            class(RetrySafety::NonIdempotent, 5.0, 0.2),
        ],
        zone_count: 2,
        tenant_quotas: vec![0.5, odd, 0.2],
        incarnation: 1,
        min_retry_after: Some(MIN_RETRY_AFTER),
        seed,
    }
}

fn count() -> impl Strategy<Value = f32> {
    prop_oneof![0.0..40.0_f32, Just(0.0), Just(6e5), 0.0..6e5_f32]
}

/// A report as it may be decoded from bytes, whoever wrote it.
pub fn report() -> impl Strategy<Value = LoadReport> {
    let counts = |n| prop::collection::vec(count(), n);
    let histograms = prop::collection::vec((0..6_usize, prop::array::uniform24(count())), 0..6);
    let ratio = prop::option::of(1e-3..1e3_f32);
    (
        counts(3),
        counts(3),
        counts(2),
        counts(2),
        histograms,
        ratio,
        any::<u32>(),
        0..3_u32,
    )
        .prop_map(
            |(
                offered,
                offered_by_tenant,
                in_flight,
                answered,
                histograms,
                sustainable_ratio,
                number,
                incarnation,
            )| {
                let histograms = histograms
                    .into_iter()
                    .map(|(n, counts)| (n, LatencyHistogram { counts }))
                    .collect();
                LoadReport {
                    incarnation,
                    number,
                    sustainable_ratio,
                    offered,
                    offered_by_tenant,
                    in_flight,
                    answered,
                    histograms,
                }
            },
        )
}
