//! Draws the charts of a report as SVG.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::path::Path;

use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

use super::{AttemptCounts, FlowReport, ReportErrorCause};

/// The maximum number of points per line.
const MAX_POINTS: u64 = 120;
/// The minimum time between two points.
const MIN_BIN_MS: u64 = 1000;
const WIDTH: u32 = 960;
const HEIGHT: u32 = 640;
const PPM: f64 = 1e6;
const LINE_WIDTH: u32 = 3;
const EXPOSURE_LIMIT_WIDTH: u32 = 1;
const LEGEND_LINE_WIDTH: i32 = 18;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
/// Seconds since the first bin, and a ratio.
type Point = (f64, f64);

/// A build in one bin of time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BuildInBin {
    bin: u64,
    build: u64,
}

/// The data of the charts, summed by time bin.
struct ChartData {
    bin_ms: u64,
    builds: BTreeSet<u64>,
    bins: BTreeSet<u64>,
    attempts: BTreeMap<BuildInBin, AttemptCounts>,
    exposure_limits_ppm: BTreeMap<BuildInBin, u64>,
}

/// The ratio that a chart shows for each build.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ChartKind {
    /// The build's share of attempts, and its exposure limit as a thin line.
    Shares,
    /// The ratio of the build's attempts that did not succeed.
    Failures,
}

pub(super) fn draw(report: &FlowReport, path: &Path) -> Result<(), ReportErrorCause> {
    let data = ChartData::new(report).ok_or(ReportErrorCause::NoAttempts)?;
    draw_charts(&data, path).map_err(ReportErrorCause::Chart)
}

impl ChartData {
    /// Sums up the attempts and exposure limits; `None` if there are no attempts.
    fn new(report: &FlowReport) -> Option<ChartData> {
        let first_ms = report.by_time.keys().next()?.end_ms;
        let last_ms = report.by_time.keys().next_back()?.end_ms;
        let bin_ms = ((last_ms - first_ms) / MAX_POINTS + 1).max(MIN_BIN_MS);
        let in_bin = |end_ms: u64, build: u64| BuildInBin {
            bin: end_ms.saturating_sub(first_ms) / bin_ms,
            build,
        };
        let mut attempts: BTreeMap<BuildInBin, AttemptCounts> = BTreeMap::new();
        for (at_time, counts) in &report.by_time {
            let key = in_bin(at_time.end_ms, at_time.build);
            attempts.entry(key).or_default().add(counts);
        }
        let mut exposure_limits_ppm = BTreeMap::new();
        for (at_time, share) in &report.shares_by_time {
            exposure_limits_ppm.insert(
                in_bin(at_time.end_ms, at_time.build),
                share.exposure_limit_ppm,
            );
        }
        Some(ChartData {
            bin_ms,
            builds: report.by_time.keys().map(|at_time| at_time.build).collect(),
            bins: attempts.keys().map(|key| key.bin).collect(),
            attempts,
            exposure_limits_ppm,
        })
    }

    fn seconds(&self, bin: u64) -> f64 {
        (bin * self.bin_ms) as f64 / 1000.0
    }

    fn end_seconds(&self) -> f64 {
        let last_bin = self.bins.last().copied().unwrap_or(0);
        self.seconds(last_bin).max(1.0)
    }

    /// Returns a line with a point for each bin that has a value.
    fn line(&self, value: impl Fn(u64) -> Option<f64>) -> Vec<Point> {
        self.bins
            .iter()
            .filter_map(|bin| Some((self.seconds(*bin), value(*bin)?)))
            .collect()
    }

    fn attempts_of(&self, build: u64, bin: u64) -> AttemptCounts {
        let key = BuildInBin { bin, build };
        self.attempts.get(&key).copied().unwrap_or_default()
    }

    fn attempts_in(&self, bin: u64) -> u64 {
        let first = BuildInBin { bin, build: 0 };
        let last = BuildInBin {
            bin,
            build: u64::MAX,
        };
        let counts = self.attempts.range(first..=last);
        counts.map(|(_, counts)| counts.attempts).sum()
    }

    fn shares(&self, build: u64) -> Vec<Point> {
        self.line(|bin| {
            let attempts = self.attempts_of(build, bin).attempts;
            Some(attempts as f64 / self.attempts_in(bin).max(1) as f64)
        })
    }

    fn exposure_limits(&self, build: u64) -> Vec<Point> {
        self.line(|bin| {
            let limit_ppm = self.exposure_limits_ppm.get(&BuildInBin { bin, build })?;
            Some(*limit_ppm as f64 / PPM)
        })
    }

    fn failures(&self, build: u64) -> Vec<Point> {
        self.line(|bin| {
            let counts = self.attempts_of(build, bin);
            let succeeded = counts.succeeded as f64 / counts.attempts as f64;
            (counts.attempts > 0).then_some(1.0 - succeeded)
        })
    }
}

impl ChartKind {
    fn title(self) -> &'static str {
        match self {
            ChartKind::Shares => "share of attempts by build (thin line: exposure limit)",
            ChartKind::Failures => "ratio of attempts that did not succeed",
        }
    }
}

fn draw_charts(data: &ChartData, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(HEIGHT / 2);
    draw_chart(data, &upper, ChartKind::Shares)?;
    draw_chart(data, &lower, ChartKind::Failures)?;
    root.present()?;
    Ok(())
}

fn draw_chart(data: &ChartData, area: &Area, kind: ChartKind) -> Result<(), Box<dyn Error>> {
    let mut chart = ChartBuilder::on(area)
        .caption(kind.title(), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..data.end_seconds(), 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_label_formatter(&|ratio: &f64| format!("{:.0}%", ratio * 100.0))
        .light_line_style(WHITE)
        .draw()?;
    for (index, build) in data.builds.iter().enumerate() {
        draw_build(data, &mut chart, kind, index, *build)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}

fn draw_build(
    data: &ChartData,
    chart: &mut Chart,
    kind: ChartKind,
    color_index: usize,
    build: u64,
) -> Result<(), Box<dyn Error>> {
    let color = Palette99::pick(color_index).to_rgba();
    if kind == ChartKind::Shares {
        let style = color.mix(0.5).stroke_width(EXPOSURE_LIMIT_WIDTH);
        chart.draw_series(LineSeries::new(data.exposure_limits(build), style))?;
    }
    let points = match kind {
        ChartKind::Shares => data.shares(build),
        ChartKind::Failures => data.failures(build),
    };
    let style = color.stroke_width(LINE_WIDTH);
    chart
        .draw_series(LineSeries::new(points, style))?
        .label(format!("build {build}"))
        .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_WIDTH, y)], style));
    Ok(())
}
