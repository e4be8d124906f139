//! Log lines on standard error. A reader that is slow or gone holds nobody up: lines wait in a bounded queue,
//! and those that find it full are counted and lost.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// A pipe that takes anything takes this much without waiting.
const LINE_MOST: usize = 4096;
const WAITING_MOST: usize = 256;

#[derive(Default)]
struct Waiting {
    lines: VecDeque<Vec<u8>>,
    lost: u64,
}

struct Logger(Mutex<Waiting>);

static LOGGER: Logger = Logger(Mutex::new(Waiting { lines: VecDeque::new(), lost: 0 }));

pub fn start(level: LevelFilter) {
    // Only a second start could fail, and the first logger then stays.
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(level);
}

/// How many lines were lost so far.
pub fn lost() -> u64 {
    LOGGER.0.lock().map_or(0, |w| w.lost)
}

fn takes_a_line() -> bool {
    let error = std::io::stderr();
    let mut watched = [PollFd::new(&error, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut watched, Some(&at_once)).is_ok() && watched[0].revents().contains(PollFlags::OUT)
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("harrierdock")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let said = format!("{}", record.args()).replace(['\n', '\r'], " ");
        let level = record.level().as_str().to_ascii_lowercase();
        let mut line = format!("{}.{:03} {level} {said}", unix.as_secs(), unix.subsec_millis()).into_bytes();
        line.truncate(LINE_MOST - 1);
        line.push(b'\n');
        if let Ok(mut waiting) = self.0.lock() {
            if waiting.lines.len() < WAITING_MOST {
                waiting.lines.push_back(line);
            } else {
                waiting.lost += 1;
            }
        }
        self.flush();
    }

    fn flush(&self) {
        let Ok(mut waiting) = self.0.lock() else { return };
        while !waiting.lines.is_empty() && takes_a_line() {
            if let Some(line) = waiting.lines.pop_front() {
                let _ = std::io::stderr().write_all(&line);
            }
        }
    }
}
