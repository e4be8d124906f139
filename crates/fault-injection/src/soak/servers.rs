//! The endpoints of a soak, which record each attempt.

use std::cell::Cell;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use nanorand::Rng;

use super::plan::{seeded, HangWindow};
use super::records::{Arrival, AttemptRecord};
use super::sampler::processor_wait;
use crate::stand_ins::{serve_requests, ReceivedRequest};

/// How long an endpoint works on most requests, and on one in [`LONG_WORK_IN`].
const USUAL_WORK_MS: std::ops::RangeInclusive<u64> = 2..=40;
const LONG_WORK_MS: std::ops::RangeInclusive<u64> = 200..=900;
const LONG_WORK_IN: u32 = 12;
/// One answer in this many has a long body.
const LONG_BODY_IN: u32 = 8;
const LONG_BODY_BYTES: usize = 60_000;
/// An endpoint that closes its connections does so after one answer in this many.
const CLOSE_IN: u32 = 4;

/// How an endpoint treats its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Conduct {
    /// Answers after some work.
    Works,
    /// Answers nothing.
    Hangs,
    /// Answers, and closes some connections behind the answer.
    Closes,
}

/// The attempts that all endpoints have received.
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

    /// The moment that the attempts' times count from.
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
        let stated_ms = request
            .field("X-Remaining-Ms")
            .and_then(|ms| ms.parse().ok());
        let attempt = AttemptRecord {
            id: request.field("X-Txn").unwrap_or_default().to_string(),
            endpoint,
            at: self.now(),
            stated: Duration::from_millis(stated_ms.unwrap_or(0)),
            arrival: take_arrival(),
        };
        let mut attempts = self.attempts.lock().expect("no endpoint panics");
        attempts.push(attempt);
    }
}

thread_local! {
    /// How long this thread had waited for a processor at the attempt before, if there was one. A connection has a thread.
    static WAITED: Cell<Option<Duration>> = const { Cell::new(None) };
}

fn take_arrival() -> Arrival {
    let waited = processor_wait(Path::new("/proc/thread-self"));
    let before = WAITED.replace(Some(waited));
    Arrival {
        is_first_on_connection: before.is_none(),
        processor_wait: waited.saturating_sub(before.unwrap_or_default()),
    }
}

/// Starts an endpoint.
pub(super) fn start_endpoint(
    endpoint: usize,
    conduct: Conduct,
    hang_window: Option<HangWindow>,
    seed: u64,
    log: &AttemptLog,
) -> SocketAddr {
    let log = log.clone();
    let rng = Mutex::new(seeded(seed));
    serve_requests(move |request| {
        log.record(endpoint, request);
        let is_in_window = hang_window.is_some_and(|window| window.contains(log.now()));
        if conduct == Conduct::Hangs || is_in_window {
            // Until the gateway gives up.
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
        is_written && !(conduct == Conduct::Closes && draw.generate_range(0..CLOSE_IN) == 0)
    })
}
