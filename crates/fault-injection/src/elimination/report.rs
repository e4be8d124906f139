//! What was measured: by size of the fleet, number of bad endpoints and stage, for each rule.

use std::fmt::Write;

use harrierdock_policy::payoff::DELTA;
use serde::Serialize;

use super::scenario::STAGE_RATIOS;
use super::trial::StageVerdicts;

/// How much later than the policy's a rule's median may be.
const MAX_MEDIAN_FACTOR: f64 = 1.1;
const MEDIAN: f64 = 0.5;
const LATE_QUANTILE: f64 = 0.95;

/// What one rule did in the draws of one row.
#[derive(Clone, Debug, Serialize)]
pub struct RuleFigures {
    /// The rule.
    pub rule: &'static str,
    /// The share of good builds that were eliminated.
    pub good_eliminated_ratio: f64,
    /// The share of bad builds that were.
    pub bad_eliminated_ratio: f64,
    /// When half of the bad builds were; `None` if fewer were in the stage.
    pub median_seconds: Option<f64>,
    /// When 95% of them were.
    pub late_seconds: Option<f64>,
}

/// One size of fleet, number of bad endpoints and stage.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Gateways of the fleet.
    pub gateways: usize,
    /// Bad endpoints over all.
    pub bad_endpoints: usize,
    /// All endpoints.
    pub endpoints: usize,
    /// The share of endpoints on the canary.
    pub stage_ratio: f64,
    /// Each rule's figures, the policy's first.
    pub rules: Vec<RuleFigures>,
}

/// In how many rows a rule misses the goal.
#[derive(Clone, Debug, Serialize)]
pub struct RuleSummary {
    /// The rule.
    pub rule: &'static str,
    /// Rows with more than δ of the good builds eliminated.
    pub rows_over_delta: usize,
    /// The largest share of good builds eliminated in a row.
    pub most_good_eliminated_ratio: f64,
    /// Rows whose median is more than a tenth later than the policy's.
    pub rows_late: usize,
    /// Rows in which it misses either.
    pub rows_missed: usize,
    /// Bad builds eliminated, over all rows.
    pub bad_eliminated_ratio: f64,
}

/// All rows.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Draws of good builds and as many of bad ones in each row.
    pub draws: usize,
    /// The share of good builds that may be eliminated.
    pub delta: f64,
    /// How long a stage lasts.
    pub stage_seconds: f64,
    /// Each rule over all rows.
    pub summaries: Vec<RuleSummary>,
    /// What was measured.
    pub rows: Vec<Row>,
}

/// The draws of one size of fleet and number of bad endpoints, by draw and rule.
#[derive(Debug)]
pub(super) struct Draws {
    pub(super) gateways: usize,
    pub(super) endpoints: usize,
    pub(super) bad_endpoints: usize,
    pub(super) good: Vec<Vec<StageVerdicts>>,
    pub(super) bad: Vec<Vec<StageVerdicts>>,
}

impl Draws {
    /// A row for each stage.
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

/// When the draws in which a rule eliminates were, in order.
fn elimination_times(draws: &[Vec<StageVerdicts>], rule: usize, stage: usize) -> Vec<f64> {
    let mut times: Vec<f64> = draws
        .iter()
        .filter_map(|verdicts| verdicts[rule][stage])
        .collect();
    times.sort_by(f64::total_cmp);
    times
}

/// The time by which a share of all draws has ended; those without a time have not.
fn quantile(sorted_times: &[f64], draws: usize, share: f64) -> Option<f64> {
    let rank = (share * draws as f64).ceil() as usize;
    sorted_times.get(rank.max(1) - 1).copied()
}

fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Each rule over all rows.
pub(super) fn summarize(rows: &[Row], rules: &[&'static str]) -> Vec<RuleSummary> {
    rules
        .iter()
        .enumerate()
        .map(|(index, rule)| summarize_rule(rows, rule, index))
        .collect()
}

fn summarize_rule(rows: &[Row], rule: &'static str, index: usize) -> RuleSummary {
    let is_over_delta = |row: &&Row| row.rules[index].good_eliminated_ratio > DELTA;
    let is_late = |row: &&Row| is_later(&row.rules[index], &row.rules[0]);
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

/// Whether a rule's median is too much later than the policy's. Where the policy finds fewer than half there is none to keep to.
fn is_later(figures: &RuleFigures, policy: &RuleFigures) -> bool {
    match (figures.median_seconds, policy.median_seconds) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(median), Some(policy_median)) => median > MAX_MEDIAN_FACTOR * policy_median,
    }
}

impl Report {
    /// The report as tables in text.
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
