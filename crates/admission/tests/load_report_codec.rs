//! The encoding of load reports: reports round-trip, and arbitrary bytes decode to a report or an error.

use harrierdock_admission::load_report::{
    decode, encode, DecodeError, LoadCounts, LoadReport, FIRST_BYTE, MAX_REPORT_BYTES,
};
use nanorand::{Rng, WyRand};
use proptest::prelude::*;

fn load_counts(classes: usize, zones: usize, tenants: usize, seed: u64) -> LoadCounts {
    let mut rng = WyRand::new_seed(seed);
    let mut counts = LoadCounts::new(classes, zones, tenants);
    let lists = [
        &mut counts.offered,
        &mut counts.offered_by_tenant,
        &mut counts.in_flight,
        &mut counts.answered,
    ];
    lists
        .into_iter()
        .flatten()
        .for_each(|count| *count = 300.0 * rng.generate::<f32>());
    for histogram in &mut counts.histograms {
        (0..30).for_each(|_| histogram.record(rng.generate::<f32>()));
    }
    counts
}

fn head() -> LoadReport {
    LoadReport {
        incarnation: 3,
        sequence_number: 7,
        sustainable_ratio: Some(0.8),
        ..LoadReport::default()
    }
}

#[test]
fn reports_round_trip_and_successive_reports_carry_all_histograms() {
    for (classes, zones, tenants) in [(3, 3, 4), (16, 8, 16), (1, 1, 0)] {
        let counts = load_counts(classes, zones, tenants, 5);
        let (mut first_histogram, mut is_sent) = (0, vec![false; classes * zones]);
        for _ in 0..classes * zones {
            let (bytes, next_histogram) = encode(&head(), &counts, first_histogram);
            assert!(
                bytes.len() <= MAX_REPORT_BYTES && bytes[0] >= 0xF5,
                "{} bytes",
                bytes.len()
            );
            let report = decode(&bytes).expect("an encoded report");
            assert_eq!((report.incarnation, report.sequence_number), (3, 7));
            assert!((report.sustainable_ratio.expect("a ratio") / 0.8 - 1.0).abs() < 0.06);
            for (count, decoded) in counts.offered.iter().zip(&report.offered) {
                assert!(
                    (decoded / count - 1.0).abs() < 0.04,
                    "{count} decoded as {decoded}"
                );
            }
            for (index, histogram) in &report.histograms {
                is_sent[*index] = true;
                let total = counts.histograms[*index].total();
                assert!(
                    (histogram.total() / total - 1.0).abs() < 0.06,
                    "a total of {total} decoded as {}",
                    histogram.total()
                );
            }
            first_histogram = next_histogram;
        }
        assert!(
            is_sent.iter().all(|is_sent| *is_sent),
            "some histograms were not sent"
        );
    }
}

#[test]
fn every_prefix_and_every_flipped_bit_is_rejected() {
    let (bytes, _) = encode(&head(), &load_counts(3, 3, 4, 9), 0);
    for end in 0..bytes.len() {
        assert!(
            decode(&bytes[..end]).is_err(),
            "a prefix of {end} bytes was decoded"
        );
    }
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(
            decode(&flipped).is_err(),
            "flipped bit {bit} was not detected"
        );
    }
}

#[test]
fn errors_state_the_failure_and_a_remedy() {
    assert_eq!(
        decode(b"12.0.3:").unwrap_err().to_string(),
        "message is not a load report (first byte 0x31): check for an unrelated sender on this port"
    );
    assert_eq!(
        decode(&[FIRST_BYTE, 9, 0]).unwrap_err(),
        DecodeError::Version { version: 9 }
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_decode_to_a_report_or_an_error(
        mut bytes in prop::collection::vec(any::<u8>(), 0..400),
        has_valid_checksum: bool,
    ) {
        if let [first, version, ..] = &mut bytes[..] {
            (*first, *version) = (FIRST_BYTE, 1);
        }
        // A valid checksum lets decoding proceed to the rest of the message.
        if has_valid_checksum {
            let (sum, sum_of_sums) = bytes.iter().fold((1_u32, 0_u32), |(sum, sum_of_sums), byte| {
                let sum = (sum + u32::from(*byte)) % 255;
                (sum, (sum + sum_of_sums) % 255)
            });
            bytes.extend([sum as u8, sum_of_sums as u8]);
        }
        if let Ok(report) = decode(&bytes) {
            prop_assert!(report.offered.len() <= 16 && report.in_flight.len() <= 8 && report.histograms.len() <= 128);
            let counts = report.offered.iter().chain(&report.in_flight).chain(&report.answered);
            let mut counts = counts.chain(report.histograms.iter().flat_map(|(_, histogram)| &histogram.counts));
            prop_assert!(counts.all(|count| count.is_finite() && *count >= 0.0));
        }
    }
}
