//! Log lines on standard error, plain or as JSON. A slow or absent reader never blocks the process: lines wait in a bounded
//! queue, and are dropped and counted when it is full.

use std::collections::VecDeque;
use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use thiserror::Error;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// The least severe level that is logged.
pub type Level = tracing::level_filters::LevelFilter;

/// How a log line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Seconds since 1970, level and text.
    Plain,
    /// One JSON object.
    Json,
}

/// The rejected name of an unknown log format.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{0}' is neither plain nor json")]
pub struct UnknownFormat(String);

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Format, UnknownFormat> {
        match text {
            "plain" => Ok(Format::Plain),
            "json" => Ok(Format::Json),
            other => Err(UnknownFormat(other.into())),
        }
    }
}

/// A writable pipe accepts this many bytes without blocking.
const MAX_LINE_BYTES: usize = 4096;
const MAX_QUEUED_LINES: usize = 256;

struct LineQueue {
    lines: VecDeque<Vec<u8>>,
    dropped: u64,
}

static QUEUE: Mutex<LineQueue> = Mutex::new(LineQueue {
    lines: VecDeque::new(),
    dropped: 0,
});

/// Starts logging for the whole process. Further calls have no effect.
pub fn start(level: Level, format: Format) {
    let own_targets = filter_fn(|metadata| metadata.target().starts_with("harrierdock"));
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(|| Line(Vec::new()))
        .with_ansi(false);
    let layer = match format {
        Format::Plain => layer.event_format(PlainFormat).boxed(),
        Format::Json => layer
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .boxed(),
    };
    let _ = tracing_subscriber::registry()
        .with(layer.with_filter(own_targets).with_filter(level))
        .try_init();
}

/// The number of lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    QUEUE.lock().map_or(0, |queue| queue.dropped)
}

/// Writes queued lines until standard error would block.
pub fn flush() {
    let Ok(mut queue) = QUEUE.lock() else {
        return;
    };
    while !queue.lines.is_empty() && stderr_is_writable() {
        if let Some(line) = queue.lines.pop_front() {
            let _ = io::stderr().write_all(&line);
        }
    }
}

fn stderr_is_writable() -> bool {
    let stderr = io::stderr();
    let mut watched = [PollFd::new(&stderr, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut watched, Some(&no_wait)).is_ok() && watched[0].revents().contains(PollFlags::OUT)
}

/// The log line of one event, queued on drop.
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
        line.truncate(MAX_LINE_BYTES - 1);
        if line.last() != Some(&b'\n') {
            line.push(b'\n');
        }
        if let Ok(mut queue) = QUEUE.lock() {
            if queue.lines.len() < MAX_QUEUED_LINES {
                queue.lines.push_back(line);
            } else {
                queue.dropped += 1;
            }
        }
        flush();
    }
}

/// The plain format, with Unix time in seconds, level and text: `1764600000.123 info n0 serves on 127.0.0.1:8443`.
struct PlainFormat;

impl<S, N> FormatEvent<S, N> for PlainFormat
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
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        let mut text = String::new();
        context
            .field_format()
            .format_fields(Writer::new(&mut text), event)?;
        let text = text.replace(['\n', '\r'], " ");
        writeln!(
            to,
            "{}.{:03} {level} {text}",
            unix.as_secs(),
            unix.subsec_millis()
        )
    }
}
