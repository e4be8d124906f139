//! Golden bytes of load reports and their histograms of response times.

#[path = "../../types/tests/golden/mod.rs"]
mod golden;

use golden::{check, Case};
use harrierdock_admission::latency_histogram::{LatencyHistogram, BUCKETS};
use harrierdock_admission::load_report::{
    decode, encode as encode_report, LoadCounts, LoadReport, MAX_REPORT_BYTES,
};

/// The arguments of `encode`: the head, the counts, and the index of the first histogram.
type EncodeArguments = (LoadReport, LoadCounts, usize);

/// The count that a code stands for.
fn count_of_code(code: u8) -> f32 {
    ((f32::from(code) / 12.0).exp2() - 1.0) / 4.0
}

/// The ratio that a code stands for.
fn ratio_of_code(code: u8) -> Option<f32> {
    Some(((f32::from(code) - 128.0) / 12.0).exp2())
}

fn head(sustainable_ratio: Option<f32>) -> LoadReport {
    LoadReport {
        incarnation: 0x0102_0304,
        sequence_number: 0x0506_0708,
        sustainable_ratio,
        ..LoadReport::default()
    }
}

fn histogram(counts: &[(usize, f32)]) -> LatencyHistogram {
    let mut histogram = LatencyHistogram::default();
    counts
        .iter()
        .for_each(|(bucket, count)| histogram.counts[*bucket] = *count);
    histogram
}

/// A case in which the offered counts `written` decode as `decoded`.
fn counts_case(name: &str, written: &[f32], decoded: &[f32]) -> Case<EncodeArguments, LoadReport> {
    let counts = LoadCounts {
        offered: written.to_vec(),
        ..LoadCounts::default()
    };
    (
        name.into(),
        (head(None), counts, 0),
        LoadReport {
            offered: decoded.to_vec(),
            ..head(None)
        },
    )
}

fn compare(golden: &str, cases: &[Case<EncodeArguments, LoadReport>]) {
    let encode = |(head, counts, first_histogram): &EncodeArguments| {
        encode_report(head, counts, *first_histogram).0
    };
    check(golden, cases, encode, |bytes| {
        decode(bytes).expect("a report")
    });
    assert!(cases
        .iter()
        .all(|(_, report, _)| encode(report).len() <= MAX_REPORT_BYTES));
}

#[test]
fn counts_and_ratios() {
    let octaves: Vec<f32> = (0..16).map(|n| ((1 << n) as f32 - 1.0) / 4.0).collect();
    let mut cases = vec![
        counts_case("none", &[], &[]),
        counts_case("octaves", &octaves, &octaves),
        counts_case(
            "rounded",
            &[0.005, 0.02, 0.26, 10.0, 300.0],
            &[
                0.0,
                count_of_code(1),
                0.25,
                count_of_code(64),
                count_of_code(123),
            ],
        ),
        counts_case(
            "highest",
            &[524_287.75, 6.1e5, 6.4e5, 1e9],
            &[
                524_287.75,
                count_of_code(255),
                count_of_code(255),
                count_of_code(255),
            ],
        ),
        counts_case(
            "refused",
            &[-1.0, f32::NAN, f32::INFINITY, -0.0],
            &[0.0, 0.0, count_of_code(255), 0.0],
        ),
    ];
    // Every code, 16 in each report.
    for from in (0..=240).step_by(16) {
        let codes: Vec<f32> = (from..=from + 15).map(count_of_code).collect();
        cases.push(counts_case(&format!("codes_from_{from}"), &codes, &codes));
    }
    let ratios = [
        ("one", Some(1.0), Some(1.0)),
        ("half", Some(0.5), Some(0.5)),
        ("sixteen", Some(16.0), Some(16.0)),
        ("rounded", Some(0.8), ratio_of_code(124)),
        ("lowest", Some(1e-9), ratio_of_code(8)),
        ("highest", Some(1e9), ratio_of_code(248)),
        ("zero", Some(0.0), ratio_of_code(8)),
    ];
    for (name, ratio, decoded) in ratios {
        cases.push((
            format!("share_{name}"),
            (head(ratio), LoadCounts::default(), 0),
            head(decoded),
        ));
    }
    let largest = LoadReport {
        incarnation: u32::MAX,
        sequence_number: u32::MAX,
        ..LoadReport::default()
    };
    cases.push((
        "largest_head".into(),
        (largest.clone(), LoadCounts::default(), 0),
        largest,
    ));
    compare(include_str!("golden/counts.txt"), &cases);
}

#[test]
fn histograms() {
    let set_counts = |report: &mut LoadReport| {
        (report.offered, report.offered_by_tenant) = (vec![0.25, 0.75, 1.75], vec![3.75, 0.0]);
        (report.in_flight, report.answered) = (vec![7.75, 15.75], vec![31.75, 63.75]);
    };
    let all_buckets: Vec<(usize, f32)> = (0..BUCKETS)
        .map(|bucket| (bucket, count_of_code(bucket as u8 + 1)))
        .collect();
    let histograms = vec![
        histogram(&[]),
        histogram(&[(0, 0.25)]),
        histogram(&[(BUCKETS - 1, 0.75)]),
        histogram(&[(0, 1.75), (8, 3.75), (16, 7.75), (23, 15.75)]),
        histogram(&all_buckets),
        histogram(&[(17, count_of_code(255)), (18, 0.25)]),
    ];
    let mut filled = head(Some(1.0));
    set_counts(&mut filled);
    let LoadReport {
        offered,
        offered_by_tenant,
        in_flight,
        answered,
        ..
    } = filled.clone();
    let counts = LoadCounts {
        offered,
        offered_by_tenant,
        in_flight,
        answered,
        histograms: histograms.clone(),
    };
    let mut cases = Vec::new();
    for first_histogram in 0..6 {
        let sent = (0..6)
            .map(|n| (first_histogram + n) % 6)
            .map(|index| (index, histograms[index]))
            .collect();
        let decoded = LoadReport {
            histograms: sent,
            ..filled.clone()
        };
        cases.push((
            format!("from_{first_histogram}"),
            (head(Some(1.0)), counts.clone(), first_histogram),
            decoded,
        ));
    }
    // The maximum numbers of counts, and as many histograms as fit after them.
    let mut full = LoadCounts::new(16, 8, 16);
    full.histograms.fill(histogram(&all_buckets));
    let full_report = LoadReport {
        offered: vec![0.0; 16],
        offered_by_tenant: vec![0.0; 16],
        in_flight: vec![0.0; 8],
        answered: vec![0.0; 8],
        ..head(None)
    };
    for (first_histogram, sent) in [(0, [0, 1, 2, 3, 4, 5]), (125, [125, 126, 127, 0, 1, 2])] {
        let sent = sent.map(|index| (index, histogram(&all_buckets))).to_vec();
        let decoded = LoadReport {
            histograms: sent,
            ..full_report.clone()
        };
        cases.push((
            format!("full_from_{first_histogram}"),
            (head(None), full.clone(), first_histogram),
            decoded,
        ));
    }
    compare(include_str!("golden/histograms.txt"), &cases);
}
