//! `harrierdock flows`: reads files of exported flows, prints them by release, stage and request class beside the caps told,
//! and draws the releases' shares and failures over time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs::File;
use std::path::{Path, PathBuf};

use harrierdock_ipfix::{split_file, DataRecord, FileEnd, MessageReader, ENTERPRISE_NUMBER};
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::Field;
use plotters::prelude::*;

/// Points of the chart along its time, at the most.
const POINTS: u64 = 120;
const SIZE: (u32, u32) = (960, 640);
const MILLION: f64 = 1e6;

#[derive(Clone, Copy, Default)]
struct Sum {
    count: u64,
    served: u64,
    errored: u64,
    timed_out: u64,
    late: u64,
    time_us: u64,
    second: u64,
}

impl Sum {
    fn add(&mut self, other: &Sum) {
        self.count += other.count;
        self.served += other.served;
        self.errored += other.errored;
        self.timed_out += other.timed_out;
        self.late += other.late;
        self.time_us += other.time_us;
        self.second += other.second;
    }
}

#[derive(Clone, Copy, Default)]
struct Share {
    submissions: u64,
    taken: u64,
    exposure_limit: u64,
}

/// One record, of whichever kind of file.
#[derive(Default)]
struct Line {
    kind: String,
    until: u64,
    build: u64,
    stage: u64,
    class: String,
    outcome: String,
    count: u64,
    second: u64,
    late: u64,
    time_us: u64,
    taken: u64,
    exposure_limit: u64,
}

/// What the files hold.
#[derive(Default)]
pub struct Read {
    by_key: BTreeMap<(u64, u64, String), Sum>,
    /// By the point at which an interval ended, and build.
    by_time: BTreeMap<(u64, u64), Sum>,
    shares: BTreeMap<(u64, u64), Share>,
    share_of: BTreeMap<(u64, u64), Share>,
    pub notes: Vec<String>,
}

fn own(record: &DataRecord, id: u16) -> u64 {
    record.number(ENTERPRISE_NUMBER, id).unwrap_or(0)
}

impl Read {
    /// Reads files, the oldest first.
    ///
    /// # Errors
    /// One line with the file and what is wrong with it. A torn end is noted and does not matter.
    pub fn files(paths: &[PathBuf]) -> Result<Read, String> {
        let mut read = Read::default();
        for path in paths {
            let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
            if path.extension().is_some_and(|e| e == "parquet") {
                read.parquet(path)?;
                continue;
            }
            let bytes = std::fs::read(path).map_err(|e| wrong(&e))?;
            let split = split_file(&bytes).map_err(|e| wrong(&e))?;
            if let FileEnd::TruncatedAt(at) = split.end {
                read.notes.push(format!(
                    "{}: the last message is torn at octet {at} and passed over",
                    path.display()
                ));
            }
            let mut reader = MessageReader::default();
            for message in split.messages {
                let message = reader.read(message).map_err(|e| wrong(&e))?;
                message.records.iter().for_each(|record| read.take(record));
            }
        }
        Ok(read)
    }

    fn take(&mut self, record: &DataRecord) {
        let kind = match record.template_id {
            256 => "submission",
            258 => "share",
            _ => return,
        };
        let text = |id| record.text(ENTERPRISE_NUMBER, id).unwrap_or_default();
        self.add(&Line {
            kind: kind.into(),
            until: record.number(0, 153).unwrap_or(0),
            build: own(record, 1),
            stage: own(record, 2),
            class: text(3),
            outcome: text(4),
            count: own(record, 7),
            second: own(record, 8),
            late: own(record, 9),
            time_us: own(record, 10),
            taken: own(record, 14),
            exposure_limit: own(record, 13),
        });
    }

    /// Reads a collector's table.
    fn parquet(&mut self, path: &Path) -> Result<(), String> {
        let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let file = File::open(path).map_err(|e| wrong(&e))?;
        let reader = SerializedFileReader::new(file).map_err(|e| wrong(&e))?;
        for row in reader.get_row_iter(None).map_err(|e| wrong(&e))? {
            let mut line = Line::default();
            for (name, field) in row.map_err(|e| wrong(&e))?.get_column_iter() {
                let number = if let Field::Long(n) = field {
                    *n as u64
                } else {
                    0
                };
                let text = || {
                    if let Field::Str(text) = field {
                        text.clone()
                    } else {
                        String::new()
                    }
                };
                match name.as_str() {
                    "kind" => line.kind = text(),
                    "product" => line.class = text(),
                    "outcome" => line.outcome = text(),
                    "end_ms" => line.until = number,
                    "build" => line.build = number,
                    "stage" => line.stage = number,
                    "count" => line.count = number,
                    "second" => line.second = number,
                    "late" => line.late = number,
                    "time_us" => line.time_us = number,
                    "taken" => line.taken = number,
                    "cap_ppm" => line.exposure_limit = number,
                    _ => {}
                }
            }
            self.add(&line);
        }
        Ok(())
    }

    fn add(&mut self, line: &Line) {
        let Line {
            until,
            build,
            stage,
            count,
            ..
        } = *line;
        if line.kind == "submission" {
            let of = |name: &str| if line.outcome == name { count } else { 0 };
            let sum = Sum {
                count,
                served: of("served"),
                errored: of("errored"),
                timed_out: of("timed-out"),
                late: line.late,
                time_us: line.time_us,
                second: line.second,
            };
            self.by_key
                .entry((build, stage, line.class.clone()))
                .or_default()
                .add(&sum);
            self.by_time.entry((until, build)).or_default().add(&sum);
        } else if line.kind == "share" {
            let of = (
                self.shares.entry((build, stage)),
                self.share_of.entry((until, build)),
            );
            for share in [of.0.or_default(), of.1.or_default()] {
                share.submissions += count;
                share.taken += line.taken;
                share.exposure_limit = line.exposure_limit;
            }
        }
    }

    /// A line for each release, stage and request class.
    pub fn table(&self) -> String {
        let mut text = String::from(
            "build stage product      submissions  served errored timed-out   late   mean-ms second  share    cap\n",
        );
        for ((build, stage, class), sum) in &self.by_key {
            let of = |part: u64| 100.0 * part as f64 / sum.count.max(1) as f64;
            let share = self
                .shares
                .get(&(*build, *stage))
                .copied()
                .unwrap_or_default();
            let exposure_limit = if share.exposure_limit > 0 {
                format!("{:.1}%", share.exposure_limit as f64 / MILLION * 100.0)
            } else {
                "-".into()
            };
            let part = 100.0 * share.submissions as f64 / share.taken.max(1) as f64;
            // Writing to a text cannot fail.
            let _ = writeln!(
                text,
                "{build:5} {stage:5} {class:12} {:11} {:6.1}% {:6.1}% {:8.1}% {:5.1}% {:9.1} {:6} {part:5.1}% {exposure_limit:>6}",
                sum.count,
                of(sum.served),
                of(sum.errored),
                of(sum.timed_out),
                of(sum.late),
                sum.time_us as f64 / 1000.0 / sum.count.max(1) as f64,
                sum.second,
            );
        }
        text.trim_end().to_string()
    }

    /// Two charts under each other, as SVG: each release's share of attempts with its cap, and the part of its
    /// attempts that was not served.
    ///
    /// # Errors
    /// Says why nothing can be drawn.
    pub fn chart(&self, path: &Path) -> Result<(), String> {
        let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let times: Vec<u64> = self.by_time.keys().map(|k| k.0).collect();
        let (Some(from), Some(until)) = (times.first(), times.last()) else {
            return Err(wrong(&"there are no submissions to draw"));
        };
        let width = ((until - from) / POINTS + 1).max(1000);
        let builds: BTreeSet<u64> = self.by_time.keys().map(|k| k.1).collect();
        let mut sums: BTreeMap<(u64, u64), Sum> = BTreeMap::new();
        for ((at, build), sum) in &self.by_time {
            sums.entry(((at - from) / width, *build))
                .or_default()
                .add(sum);
        }
        let mut caps: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        for ((at, build), share) in &self.share_of {
            caps.insert(
                (at.saturating_sub(*from) / width, *build),
                share.exposure_limit,
            );
        }
        let second = |bin: u64| (bin * width) as f64 / 1000.0;
        let bins: BTreeSet<u64> = sums.keys().map(|k| k.0).collect();
        let all = |bin: u64| {
            sums.range((bin, 0)..=(bin, u64::MAX))
                .map(|(_, s)| s.count)
                .sum::<u64>()
        };
        let line = |build: u64, of: &dyn Fn(u64, Sum) -> Option<f64>| -> Vec<(f64, f64)> {
            let point = |bin: &u64| {
                Some((
                    second(*bin),
                    of(*bin, sums.get(&(*bin, build)).copied().unwrap_or_default())?,
                ))
            };
            bins.iter().filter_map(point).collect()
        };
        let end = second(bins.last().copied().unwrap_or(0)).max(1.0);
        let root = SVGBackend::new(path, SIZE).into_drawing_area();
        let draw = || -> Result<(), Box<dyn std::error::Error>> {
            root.fill(&WHITE)?;
            let (upper, lower) = root.split_vertically(SIZE.1 / 2);
            for (area, title) in [
                (&upper, "share of submissions by release (thin: cap)"),
                (&lower, "part of submissions not served"),
            ] {
                let mut chart = ChartBuilder::on(area)
                    .caption(title, ("sans-serif", 18))
                    .margin(10)
                    .x_label_area_size(34)
                    .y_label_area_size(52)
                    .build_cartesian_2d(0.0..end, 0.0..1.0)?;
                chart
                    .configure_mesh()
                    .x_desc("seconds")
                    .y_label_formatter(&|y: &f64| format!("{:.0}%", y * 100.0))
                    .light_line_style(WHITE)
                    .draw()?;
                for (at, build) in builds.iter().enumerate() {
                    let color = Palette99::pick(at).to_rgba();
                    let points = if std::ptr::eq(area, &upper) {
                        let capped = bins.iter().filter_map(|b| {
                            Some((second(*b), *caps.get(&(*b, *build))? as f64 / MILLION))
                        });
                        chart
                            .draw_series(LineSeries::new(capped, color.mix(0.5).stroke_width(1)))?;
                        line(*build, &|bin, sum| {
                            Some(sum.count as f64 / all(bin).max(1) as f64)
                        })
                    } else {
                        line(*build, &|_, sum| {
                            (sum.count > 0).then(|| 1.0 - sum.served as f64 / sum.count as f64)
                        })
                    };
                    chart
                        .draw_series(LineSeries::new(points, color.stroke_width(3)))?
                        .label(format!("build {build}"))
                        .legend(move |(x, y)| {
                            PathElement::new([(x, y), (x + 18, y)], color.stroke_width(3))
                        });
                }
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .border_style(BLACK.mix(0.3))
                    .draw()?;
            }
            root.present()?;
            Ok(())
        };
        draw().map_err(|e| wrong(&e))
    }
}
