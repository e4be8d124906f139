//! Log lines on standard error, plain or as JSON. A reader that is slow or gone holds nobody up: lines wait in
//! a bounded queue, and those that find it full are counted and lost.

use std::collections::VecDeque;
use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// The least that is logged.
pub type Level = tracing::level_filters::LevelFilter;

/// How a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Plain,
    Json,
}

impl FromStr for Form {
    type Err = String;
    fn from_str(text: &str) -> Result<Form, String> {
        match text {
            "plain" => Ok(Form::Plain),
            "json" => Ok(Form::Json),
            odd => Err(format!("'{odd}' is neither plain nor json")),
        }
    }
}

/// A pipe that takes anything takes this much without waiting.
const LINE_MOST: usize = 4096;
const WAITING_MOST: usize = 256;

struct Waiting {
    lines: VecDeque<Vec<u8>>,
    lost: u64,
}

static WAITING: Mutex<Waiting> = Mutex::new(Waiting { lines: VecDeque::new(), lost: 0 });

/// Starts logging for the whole program; a second start changes nothing.
pub fn start(level: Level, form: Form) {
    let ours = filter_fn(|metadata| metadata.target().starts_with("harrierdock"));
    let layer = tracing_subscriber::fmt::layer().with_writer(|| Line(Vec::new())).with_ansi(false);
    let layer = match form {
        Form::Plain => layer.event_format(Plain).boxed(),
        Form::Json => layer.json().flatten_event(true).with_current_span(false).with_span_list(false).boxed(),
    };
    let _ = tracing_subscriber::registry().with(layer.with_filter(ours).with_filter(level)).try_init();
}

/// How many lines were lost so far.
pub fn lost() -> u64 {
    WAITING.lock().map_or(0, |w| w.lost)
}

/// Writes what waits, as far as it is taken without waiting.
pub fn flush() {
    let Ok(mut waiting) = WAITING.lock() else { return };
    while !waiting.lines.is_empty() && takes_a_line() {
        if let Some(line) = waiting.lines.pop_front() {
            let _ = io::stderr().write_all(&line);
        }
    }
}

fn takes_a_line() -> bool {
    let error = io::stderr();
    let mut watched = [PollFd::new(&error, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut watched, Some(&at_once)).is_ok() && watched[0].revents().contains(PollFlags::OUT)
}

/// One event's line as it is written; it joins those that wait once it is whole.
struct Line(Vec<u8>);

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let mut line = std::mem::take(&mut self.0);
        if line.is_empty() {
            return;
        }
        line.truncate(LINE_MOST - 1);
        if line.last() != Some(&b'\n') {
            line.push(b'\n');
        }
        if let Ok(mut waiting) = WAITING.lock() {
            if waiting.lines.len() < WAITING_MOST {
                waiting.lines.push_back(line);
            } else {
                waiting.lost += 1;
            }
        }
        flush();
    }
}

/// Seconds since 1970, level, text: `1764600000.123 info n0 serves on 127.0.0.1:8443`.
struct Plain;

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut to: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        let mut said = String::new();
        context.field_format().format_fields(Writer::new(&mut said), event)?;
        let said = said.replace(['\n', '\r'], " ");
        writeln!(to, "{}.{:03} {level} {said}", unix.as_secs(), unix.subsec_millis())
    }
}
