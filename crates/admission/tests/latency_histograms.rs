//! Compares the histogram with other sketches: size and error on response times of exponential work behind a queue, as gateways see them.
//! `cargo test -p harrierdock-admission --test latency_histograms -- --nocapture` prints the table.

use harrierdock_admission::latency_histogram::LatencyHistogram;
use hdrhistogram::serialization::{Serializer, V2Serializer};
use hdrhistogram::Histogram;
use nanorand::{Rng, WyRand};
use sketches_ddsketch::{Config, DDSketch};
use tdigest::TDigest;

const QUANTILES: [f64; 3] = [0.5, 0.75, 0.9];

fn response_times(count: usize, seed: u64) -> Vec<f64> {
    let mut rng = WyRand::new_seed(seed);
    let mut draw_exponential = || -(1.0 - rng.generate::<f64>()).ln();
    // As ratios to the latency objective: three queued requests, then the request's own work.
    (0..count)
        .map(|_| {
            0.05 * (draw_exponential() + draw_exponential() + draw_exponential())
                + 0.16 * draw_exponential()
        })
        .collect()
}

/// The largest relative error of the estimated quantiles.
fn max_error(sorted: &[f64], estimate: impl Fn(f64) -> f64) -> f64 {
    let exact = |q: f64| sorted[((sorted.len() - 1) as f64 * q) as usize];
    QUANTILES
        .iter()
        .map(|q| (estimate(*q) / exact(*q) - 1.0).abs())
        .fold(0.0, f64::max)
}

fn encoded_length(histogram: &LatencyHistogram) -> usize {
    4 + histogram.counts.iter().filter(|c| **c > 0.0).count()
}

#[test]
fn fixed_buckets_are_small_and_accurate_enough() {
    println!(
        "| responses | buckets | DDSketch 2% | t-digest 20 | HDR 2 digits | (bytes, largest error)"
    );
    for count in [30, 300, 3000] {
        let mut times = response_times(count, 11);
        let (mut own, mut dd) = (
            LatencyHistogram::default(),
            DDSketch::new(Config::new(0.02, 256, 1e-3)),
        );
        let mut hdr = Histogram::<u64>::new_with_bounds(1, 100_000, 2).expect("bounds");
        for time in &times {
            own.record(*time as f32);
            dd.add(*time);
            hdr.record((time * 10_000.0) as u64 + 1)
                .expect("within bounds");
        }
        let digest = TDigest::new_with_size(20).merge_unsorted(times.clone());
        times.sort_by(f64::total_cmp);
        let mut bytes = Vec::new();
        let hdr_bytes = V2Serializer::new()
            .serialize(&hdr, &mut bytes)
            .expect("a serialized histogram");
        let own_error = max_error(&times, |q| f64::from(own.quantile(q as f32).expect("some")));
        let dd_error = max_error(&times, |q| dd.quantile(q).expect("within").expect("some"));
        let digest_error = max_error(&times, |q| digest.estimate_quantile(q));
        let hdr_error = max_error(&times, |q| hdr.value_at_quantile(q) as f64 / 10_000.0);
        // DDSketch takes two bytes for each bin from the lowest to the highest used one, t-digest four bytes each for a centroid's mean
        // and weight.
        let bins = (times[count - 1] / times[0]).ln() / (1.02_f64 / 0.98).ln();
        let (own_bytes, dd_bytes) = (encoded_length(&own), 4.0 + 2.0 * bins);
        println!(
            "| {count} | {own_bytes}, {own_error:.3} | {dd_bytes:.0}, {dd_error:.3} \
             | {}, {digest_error:.3} | {hdr_bytes}, {hdr_error:.3} |",
            20 * 8,
        );
        assert!(
            encoded_length(&own) <= 28,
            "a larger histogram does not fit nine times into a report with counts"
        );
        assert!(
            own_error < 0.27,
            "error above the width of a bucket, a third of an octave: {own_error}"
        );
    }
}

#[test]
fn merged_histograms_equal_a_single_one_and_widening_keeps_the_total() {
    let times = response_times(400, 3);
    let (mut all, mut parts) = (
        LatencyHistogram::default(),
        [LatencyHistogram::default(); 2],
    );
    for (n, time) in times.iter().enumerate() {
        all.record(*time as f32);
        parts[n % 2].record(*time as f32);
    }
    let mut merged = parts[0];
    merged.merge(&parts[1], 1.0);
    assert_eq!(merged, all);
    let (before, spread) = (
        all.total(),
        all.quantile(0.95).expect("some") / all.quantile(0.05).expect("some"),
    );
    (0..5).for_each(|_| all.widen(0.5));
    assert!((all.total() - before).abs() < 1e-2);
    assert!(all.quantile(0.95).expect("some") / all.quantile(0.05).expect("some") > spread * 1.1);
}
