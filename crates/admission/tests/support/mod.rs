//! Parameters of three classes and two zones, and arbitrary load reports of the same size.

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

/// Parameters in which `unusual` replaces a priority weight, a late value ratio and a quota. It may be NaN, infinite or negative.
pub fn parameters(seed: u64, unusual: f64) -> AdmissionParameters {
    let keyed = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: TimeDelta(OBJECTIVE_US),
    };
    AdmissionParameters {
        classes: vec![
            class(RetrySafety::Idempotent, unusual, 0.0),
            class(keyed, 5.0, unusual),
            class(RetrySafety::NonIdempotent, 5.0, 0.2),
        ],
        zone_count: 2,
        tenant_quotas: vec![0.5, unusual, 0.2],
        incarnation: 1,
        min_retry_after: Some(MIN_RETRY_AFTER),
        seed,
    }
}

fn count() -> impl Strategy<Value = f32> {
    prop_oneof![0.0..40.0_f32, Just(0.0), Just(6e5), 0.0..6e5_f32]
}

/// Any report that decoding can return, whether or not a gateway would send it.
pub fn report() -> impl Strategy<Value = LoadReport> {
    let counts = |length| prop::collection::vec(count(), length);
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
                sequence_number,
                incarnation,
            )| {
                let histograms = histograms
                    .into_iter()
                    .map(|(index, counts)| (index, LatencyHistogram { counts }))
                    .collect();
                LoadReport {
                    incarnation,
                    sequence_number,
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
