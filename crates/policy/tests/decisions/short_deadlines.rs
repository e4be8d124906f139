//! Requests whose clients wait for less time than a response takes, beside requests that have enough.

use expect_test::expect;
use harrierdock_types::*;

use crate::support::*;

/// The answer time of the endpoints.
const USUAL_MS: i64 = 40;
/// The client timeout of usual requests.
const ENOUGH_MS: i64 = 1_500;
/// A usual request arrives at this interval.
const USUAL_INTERVAL_MS: i64 = 20;
const DURATION_MS: i64 = 4_000;

/// An attempt that has not finished yet.
struct OpenAttempt {
    request: u64,
    ends_at_ms: i64,
    outcome: AttemptOutcome,
    duration_ms: i64,
    is_short: bool,
}

/// A gateway with traffic whose attempts take their time.
struct Traffic {
    gateway: ScriptedGateway,
    now_ms: i64,
    open: Vec<OpenAttempt>,
    answer_ms: fn(usize) -> i64,
}

impl Traffic {
    /// `answer_ms` maps the endpoint to its answer time.
    fn new(gateway: ScriptedGateway, answer_ms: fn(usize) -> i64) -> Traffic {
        Traffic {
            gateway,
            now_ms: 0,
            open: Vec::new(),
            answer_ms,
        }
    }

    /// Sends a request, and returns the endpoint of its attempt if one starts at once.
    fn send(&mut self, timeout_ms: i64) -> Option<usize> {
        let request = self
            .gateway
            .receive_request_with_timeout(IDEMPOTENT, None, timeout_ms);
        let endpoint = self.gateway.last_endpoint_of(request)?;
        let answer_ms = (self.answer_ms)(endpoint);
        let outcome = if answer_ms <= timeout_ms {
            AttemptOutcome::Succeeded
        } else {
            AttemptOutcome::TimedOut
        };
        let duration_ms = answer_ms.min(timeout_ms);
        self.open.push(OpenAttempt {
            request,
            ends_at_ms: self.now_ms + duration_ms,
            outcome,
            duration_ms,
            is_short: timeout_ms < ENOUGH_MS,
        });
        Some(endpoint)
    }

    fn advance(&mut self) {
        self.now_ms += 1;
        self.gateway.run_until(self.now_ms);
        let now_ms = self.now_ms;
        let ended = self.open.extract_if(.., |open| open.ends_at_ms <= now_ms);
        for open in ended.collect::<Vec<_>>() {
            self.gateway
                .finish_attempt(open.request, 0, open.outcome, open.duration_ms);
        }
    }

    /// Sends usual requests, and beside them those of a client that waits for `short_ms` and sends the next request as soon as it
    /// has an answer. Returns the endpoints of the usual requests.
    fn run(&mut self, short_ms: Option<i64>) -> Vec<Option<usize>> {
        let end_ms = self.now_ms + DURATION_MS;
        let mut usual = Vec::new();
        while self.now_ms < end_ms {
            self.advance();
            let is_client_waiting = self.open.iter().any(|open| open.is_short);
            if let Some(short_ms) = short_ms.filter(|_| !is_client_waiting) {
                self.send(short_ms);
            }
            if self.now_ms % USUAL_INTERVAL_MS == 0 {
                usual.push(self.send(ENOUGH_MS));
            }
        }
        usual
    }
}

fn four_endpoints(phase: RolloutPhase) -> ScriptedGateway {
    let mut parameters = default_parameters();
    parameters.rollout.exposure_allowance = 1000.0;
    ScriptedGateway::with_endpoints(parameters, &[1, 1, 1, 2], phase)
}

/// How many usual requests are attempted beside a client that waits for each of these times.
fn usual_requests_beside(answer_ms: fn(usize) -> i64, client_timeouts_ms: &[i64]) -> String {
    let mut lines = String::new();
    for short_ms in client_timeouts_ms {
        let mut traffic = Traffic::new(four_endpoints(RolloutPhase::Released), answer_ms);
        traffic.run(None);
        let usual = traffic.run(Some(*short_ms));
        let attempted = usual.iter().flatten().count();
        let count = usual.len();
        lines += &format!("{short_ms} ms: {attempted} of {count} usual requests attempted\n");
    }
    lines
}

// Guards against a client with short deadlines that takes all endpoints from the others.
#[test]
fn requests_with_little_time_take_no_endpoints_from_others() {
    let lines = usual_requests_beside(|_| USUAL_MS, &[1, 5, 20, 39, 50]);
    expect![[r#"
        1 ms: 200 of 200 usual requests attempted
        5 ms: 200 of 200 usual requests attempted
        20 ms: 200 of 200 usual requests attempted
        39 ms: 200 of 200 usual requests attempted
        50 ms: 200 of 200 usual requests attempted
    "#]]
    .assert_eq(&lines);
}

// Guards against slower endpoints that others avoid because one client has too little time for them. One endpoint is fast, so
// that the time left does not tell which attempts are hopeless.
#[test]
fn attempts_with_too_little_time_are_no_evidence_about_their_endpoints() {
    const FAST: usize = 3;
    let answer_ms: fn(usize) -> i64 = |endpoint| if endpoint == FAST { 10 } else { USUAL_MS };
    let mut lines = String::new();
    for short_ms in [12, 20, 30] {
        let mut traffic = Traffic::new(four_endpoints(RolloutPhase::Released), answer_ms);
        traffic.run(None);
        let usual = traffic.run(Some(short_ms));
        let endpoints = usual.iter().flatten();
        let at_slower = endpoints.filter(|endpoint| **endpoint != FAST).count();
        let count = usual.len();
        lines += &format!("{short_ms} ms: {at_slower} of {count} at the slower endpoints\n");
    }
    expect![[r#"
        12 ms: 51 of 200 at the slower endpoints
        20 ms: 68 of 200 at the slower endpoints
        30 ms: 55 of 200 at the slower endpoints
    "#]]
    .assert_eq(&lines);
}

/// An endpoint that is too slow for clients who wait long enough for the others is still found and avoided.
#[test]
fn an_endpoint_that_is_slow_for_clients_with_enough_time_is_avoided() {
    let slow: fn(usize) -> i64 = |endpoint| if endpoint == 1 { 2_000 } else { USUAL_MS };
    let mut traffic = Traffic::new(four_endpoints(RolloutPhase::Released), slow);
    let first = traffic.run(None);
    let then = traffic.run(Some(1));
    let to_slow = |endpoints: &[Option<usize>]| {
        let used: Vec<usize> = endpoints.iter().flatten().copied().collect();
        share(&used, 1)
    };
    let lines = format!("first: {}, then: {}\n", to_slow(&first), to_slow(&then));
    expect![[r#"
        first: 3 of 200, then: 2 of 200
    "#]]
    .assert_eq(&lines);
}
