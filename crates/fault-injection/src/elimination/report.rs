//! The measured figures of each rule, by fleet size, number of bad endpoints and stage.

use std::fmt::Write;

use harrierdock_policy::payoff::DELTA;
use serde::Serialize;

use super::scenario::STAGE_RATIOS;
use super::trial::StageVerdicts;

/// A rule is late if its median exceeds the policy's median by more than this factor.
const MAX_MEDIAN_FACTOR: f64 = 1.1;
const MEDIAN: f64 = 0.5;
const LATE_QUANTILE: f64 = 0.95;

/// The figures of one rule in one row.
#[derive(Clone, Debug, Serialize)]
pub struct RuleFigures {
    /// Name of the rule.
    pub rule: &'static str,
    /// The share of good builds that were eliminated.
    pub good_eliminated_ratio: f64,
    /// The share of bad builds that were eliminated.
    pub bad_eliminated_ratio: f64,
    /// When half of the bad builds were eliminated, from the stage's start; `None` if fewer were eliminated in the stage.
    pub median_seconds: Option<f64>,
    /// When 95% of the bad builds were eliminated, from the stage's start; `None` if fewer were eliminated.
    pub late_seconds: Option<f64>,
}

/// The figures for one fleet size, number of bad endpoints and stage.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Fleet size.
    pub gateways: usize,
    /// Endpoints with a fault.
    pub bad_endpoints: usize,
    /// All endpoints, good and bad.
    pub endpoints: usize,
    /// The share of endpoints that run the canary in this stage.
    pub stage_ratio: f64,
    /// The figures of each rule; the policy's rule is the first.
    pub rules: Vec<RuleFigures>,
}

/// The number of rows in which a rule misses the goals.
#[derive(Clone, Debug, Serialize)]
pub struct RuleSummary {
    /// Name of the rule.
    pub rule: &'static str,
    /// Rows in which more than δ of the good builds were eliminated.
    pub rows_over_delta: usize,
    /// The largest share of good builds eliminated in any row.
    pub most_good_eliminated_ratio: f64,
    /// Rows in which the rule's median is more than 10% above the policy's.
    pub rows_late: usize,
    /// Rows that `rows_over_delta` or `rows_late` counts.
    pub rows_missed: usize,
    /// Mean over all rows of the share of bad builds eliminated.
    pub bad_eliminated_ratio: f64,
}

/// The printed report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed from which all draws follow.
    pub seed: u64,
    /// Draws of good builds, and the same number of bad builds, in each row.
    pub draws: usize,
    /// δ, the largest allowed share of eliminated good builds.
    pub delta: f64,
    /// Duration of a stage.
    pub stage_seconds: f64,
    /// The summary of each rule over all rows.
    pub summaries: Vec<RuleSummary>,
    /// The figures by fleet size, number of bad endpoints and stage.
    pub rows: Vec<Row>,
}

/// The verdicts for one fleet size and number of bad endpoints, indexed by draw and rule.
#[derive(Debug)]
pub(super) struct Draws {
    pub(super) gateways: usize,
    pub(super) endpoints: usize,
    pub(super) bad_endpoints: usize,
    pub(super) good: Vec<Vec<StageVerdicts>>,
    pub(super) bad: Vec<Vec<StageVerdicts>>,
}

impl Draws {
    /// One row for each stage.
    pub(super) fn rows(&self, rules: &[&'static str]) -> Vec<Row> {
        let row = |(stage, ratio): (usize, &f64)| Row {
            gateways: self.gateways,
            bad_endpoints: self.bad_endpoints,
            endpoints: self.endpoints,
            stage_ratio: *ratio,
            rules: rules
                .iter()
                .enumerate()
                .map(|(index, rule)| self.figures(rule, index, stage))
                .collect(),
        };
        STAGE_RATIOS.iter().enumerate().map(row).collect()
    }

    fn figures(&self, rule: &'static str, index: usize, stage: usize) -> RuleFigures {
        let good = elimination_times(&self.good, index, stage);
        let bad = elimination_times(&self.bad, index, stage);
        RuleFigures {
            rule,
            good_eliminated_ratio: ratio(good.len(), self.good.len()),
            bad_eliminated_ratio: ratio(bad.len(), self.bad.len()),
            median_seconds: quantile(&bad, self.bad.len(), MEDIAN),
            late_seconds: quantile(&bad, self.bad.len(), LATE_QUANTILE),
        }
    }
}

/// When a rule eliminated the canary in each draw, in seconds from the stage's start, sorted.
fn elimination_times(draws: &[Vec<StageVerdicts>], rule: usize, stage: usize) -> Vec<f64> {
    let mut times: Vec<f64> = draws
        .iter()
        .filter_map(|verdicts| verdicts[rule][stage])
        .collect();
    times.sort_by(f64::total_cmp);
    times
}

/// The time by which the canary is eliminated in a share of all draws; `None` if it is eliminated in fewer.
fn quantile(sorted_times: &[f64], draws: usize, share: f64) -> Option<f64> {
    let rank = (share * draws as f64).ceil() as usize;
    sorted_times.get(rank.max(1) - 1).copied()
}

fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Summarizes each rule over all rows.
pub(super) fn summarize(rows: &[Row], rules: &[&'static str]) -> Vec<RuleSummary> {
    rules
        .iter()
        .enumerate()
        .map(|(index, rule)| summarize_rule(rows, rule, index))
        .collect()
}

fn summarize_rule(rows: &[Row], rule: &'static str, index: usize) -> RuleSummary {
    let is_over_delta = |row: &&Row| row.rules[index].good_eliminated_ratio > DELTA;
    let is_late = |row: &&Row| exceeds_policy_median(&row.rules[index], &row.rules[0]);
    let bad_eliminated: f64 = rows
        .iter()
        .map(|row| row.rules[index].bad_eliminated_ratio)
        .sum();
    RuleSummary {
        rule,
        rows_over_delta: rows.iter().filter(is_over_delta).count(),
        most_good_eliminated_ratio: rows
            .iter()
            .map(|row| row.rules[index].good_eliminated_ratio)
            .fold(0.0, f64::max),
        rows_late: rows.iter().filter(is_late).count(),
        rows_missed: rows
            .iter()
            .filter(|row| is_over_delta(row) || is_late(row))
            .count(),
        bad_eliminated_ratio: bad_eliminated / rows.len().max(1) as f64,
    }
}

/// Whether a rule's median exceeds [`MAX_MEDIAN_FACTOR`] times the policy's. A policy that eliminates fewer than half of the bad
/// builds has no median to compare with.
fn exceeds_policy_median(figures: &RuleFigures, policy: &RuleFigures) -> bool {
    match (figures.median_seconds, policy.median_seconds) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(median), Some(policy_median)) => median > MAX_MEDIAN_FACTOR * policy_median,
    }
}

impl Report {
    /// Formats the report as text tables.
    pub fn table(&self) -> String {
        let mut text = String::from(
            "rule            over δ  most good  late  missed  bad found   (rows, share, rows, rows, share)\n",
        );
        for summary in &self.summaries {
            let _ = writeln!(
                text,
                "{:<15} {:>6} {:>10.3} {:>5} {:>7} {:>10.3}",
                summary.rule,
                summary.rows_over_delta,
                summary.most_good_eliminated_ratio,
                summary.rows_late,
                summary.rows_missed,
                summary.bad_eliminated_ratio,
            );
        }
        text.push_str(
            "\ngateways  bad/endpoints  stage  rule             good   bad  median    p95\n",
        );
        for row in &self.rows {
            for figures in &row.rules {
                write_figures(&mut text, row, figures);
            }
        }
        text
    }
}

fn write_figures(text: &mut String, row: &Row, figures: &RuleFigures) {
    let bad_endpoints = format!("{}/{}", row.bad_endpoints, row.endpoints);
    let seconds = |time: Option<f64>| time.map_or("-".to_owned(), |time| format!("{time:.2}"));
    let _ = writeln!(
        text,
        "{:>8} {:>14} {:>6.2}  {:<15} {:>5.3} {:>5.3} {:>7} {:>6}",
        row.gateways,
        bad_endpoints,
        row.stage_ratio,
        figures.rule,
        figures.good_eliminated_ratio,
        figures.bad_eliminated_ratio,
        seconds(figures.median_seconds),
        seconds(figures.late_seconds),
    );
}
