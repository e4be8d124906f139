//! Formats the table of a report.

use std::fmt::Write;

use super::record::ClassAtStage;
use super::{AttemptCounts, FlowReport, ShareCounts};

/// The names of the columns are stable. `product` is the request class, `submissions` the attempts, `served` the succeeded attempts,
/// `errored` the server errors, `second` the retries, `share` the stage's share of the requests, and `cap` its exposure limit.
const HEADER: &str =
    "build stage product      submissions  served errored timed-out   late   mean-ms second  share    cap\n";
const PPM: f64 = 1e6;

pub(super) fn format(report: &FlowReport) -> String {
    let mut text = String::from(HEADER);
    for (class, counts) in &report.by_class {
        let share = report
            .shares_by_stage
            .get(&class.stage)
            .copied()
            .unwrap_or_default();
        write_row(&mut text, class, counts, &share);
    }
    text.trim_end().to_string()
}

fn write_row(text: &mut String, class: &ClassAtStage, counts: &AttemptCounts, share: &ShareCounts) {
    let percent = |count: u64| 100.0 * count as f64 / counts.attempts.max(1) as f64;
    let exposure_limit = if share.exposure_limit_ppm > 0 {
        format!("{:.1}%", share.exposure_limit_ppm as f64 / PPM * 100.0)
    } else {
        "-".into()
    };
    let share_percent = 100.0 * share.attempts as f64 / share.received_requests.max(1) as f64;
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "{:5} {:5} {:12} {:11} {:6.1}% {:6.1}% {:8.1}% {:5.1}% {:9.1} {:6} {share_percent:5.1}% {exposure_limit:>6}",
        class.stage.build,
        class.stage.stage,
        class.class,
        counts.attempts,
        percent(counts.succeeded),
        percent(counts.server_errors),
        percent(counts.timed_out),
        percent(counts.late),
        counts.duration_us as f64 / 1000.0 / counts.attempts.max(1) as f64,
        counts.retries,
    );
}
