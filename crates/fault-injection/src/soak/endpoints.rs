//! Endpoint stand-ins of a soak, which record each attempt.

use std::cell::Cell;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use nanorand::Rng;

use super::plan::{seeded_rng, HangWindow};
use super::records::{Arrival, AttemptRecord};
use super::sampler::read_processor_wait;
use crate::stand_ins::{serve_requests, ReceivedRequest};

/// How long an endpoint works on most requests. One request in [`LONG_WORK_IN`] takes [`LONG_WORK_MS`] instead.
const USUAL_WORK_MS: std::ops::RangeInclusive<u64> = 2..=40;
const LONG_WORK_MS: std::ops::RangeInclusive<u64> = 200..=900;
const LONG_WORK_IN: u32 = 12;
/// One answer in this many has a long body.
const LONG_BODY_IN: u32 = 8;
const LONG_BODY_BYTES: usize = 60_000;
/// An endpoint in [`EndpointMode::Closing`] closes its connection after one answer in this many.
const CLOSE_IN: u32 = 4;

/// How an endpoint responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointMode {
    /// Answers after a drawn delay.
    Answering,
    /// Never answers.
    Hanging,
    /// Answers, and closes some connections after the answer.
    Closing,
}

/// The attempts that all endpoints received.
#[derive(Clone)]
pub(super) struct AttemptLog {
    started_at: Instant,
    attempts: Arc<Mutex<Vec<AttemptRecord>>>,
}

impl AttemptLog {
    pub(super) fn new(started_at: Instant) -> AttemptLog {
        AttemptLog {
            started_at,
            attempts: Arc::default(),
        }
    }

    /// The moment from which the times of the attempts count.
    pub(super) fn started_at(&self) -> Instant {
        self.started_at
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub(super) fn take(&self) -> Vec<AttemptRecord> {
        std::mem::take(&mut *self.attempts.lock().expect("no endpoint panics"))
    }

    fn record(&self, endpoint: usize, request: &ReceivedRequest) {
        let stated_remaining_ms = request
            .field("X-Remaining-Ms")
            .and_then(|ms| ms.parse().ok());
        let attempt = AttemptRecord {
            id: request.field("X-Txn").unwrap_or_default().to_string(),
            endpoint,
            at: self.now(),
            stated_remaining: Duration::from_millis(stated_remaining_ms.unwrap_or(0)),
            arrival: measure_arrival(),
        };
        let mut attempts = self.attempts.lock().expect("no endpoint panics");
        attempts.push(attempt);
    }
}

thread_local! {
    /// Total processor wait of this thread at the previous attempt, if any. Each connection has its own thread.
    static PREVIOUS_WAIT: Cell<Option<Duration>> = const { Cell::new(None) };
}

fn measure_arrival() -> Arrival {
    let waited = read_processor_wait(Path::new("/proc/thread-self"));
    let previous = PREVIOUS_WAIT.replace(Some(waited));
    Arrival {
        is_first_on_connection: previous.is_none(),
        processor_wait: waited.saturating_sub(previous.unwrap_or_default()),
    }
}

/// Starts an endpoint on a loopback port and returns its address.
pub(super) fn start_endpoint(
    endpoint: usize,
    mode: EndpointMode,
    hang_window: Option<HangWindow>,
    seed: u64,
    log: &AttemptLog,
) -> SocketAddr {
    let log = log.clone();
    let rng = Mutex::new(seeded_rng(seed));
    serve_requests(move |request| {
        log.record(endpoint, request);
        let is_in_window = hang_window.is_some_and(|window| window.contains(log.now()));
        if mode == EndpointMode::Hanging || is_in_window {
            // Blocks until the gateway abandons the attempt and closes the connection.
            return request.stream.read(&mut [0; 1]).is_err();
        }
        let mut draw = rng.lock().expect("no endpoint panics").clone();
        rng.lock().expect("no endpoint panics").generate::<u64>();
        let work_ms = if draw.generate_range(0..LONG_WORK_IN) == 0 {
            draw.generate_range(LONG_WORK_MS)
        } else {
            draw.generate_range(USUAL_WORK_MS)
        };
        thread::sleep(Duration::from_millis(work_ms));
        let mut body = request.field("X-Txn").unwrap_or_default().to_string();
        if draw.generate_range(0..LONG_BODY_IN) == 0 {
            body += " ";
            body += &"x".repeat(LONG_BODY_BYTES);
        }
        let is_written = request.respond("200 OK", &body);
        is_written && !(mode == EndpointMode::Closing && draw.generate_range(0..CLOSE_IN) == 0)
    })
}
