//! Checks the rules of a soak against the records of clients and endpoints. Uses no sockets and no clock: all times count
//! from the start of the soak.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::plan::EARLIEST_KILL;
use super::records::{
    Arrival, AttemptRecord, HalfCloseAnswer, Observations, RefusedConnection, RequestOutcome,
    RequestRecord, SuddenKillRecord,
};
use super::requests::RequestClass;
use super::startup::{find_startup_violations, StartupCounts};

/// How long after its request's deadline an answer may arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// By how much the machine may lengthen any measured time.
const MEASUREMENT_TOLERANCE: Duration = Duration::from_millis(50);
/// How long after a request's last byte the client may still receive a close that the gateway sent before it read the
/// request: the longest stall of a process, plus the measurement tolerance.
const CROSSING_TIME: Duration = Duration::from_millis(200);
/// How long after the client closed its connection an attempt may still start.
const CLOSE_GRACE: Duration = Duration::from_millis(100);
/// By how much the time stated to an endpoint may exceed the request's remaining time.
const STATED_TIME_TOLERANCE: Duration = Duration::from_millis(150);
/// How long after discovery sent a drain an attempt may still go to the draining endpoint.
const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// How many violations of one rule the report describes.
const MAX_DESCRIPTIONS_PER_RULE: usize = 3;

/// A rule that every soak must keep.
#[derive(Clone, Copy, Debug)]
enum Rule {
    AnswerReceived,
    NoSecondEffect,
    AnswerInTime,
    NoDrainingEndpoint,
    NoAttemptAfterClose,
    StatedRemainingTime,
    ConnectionAccepted,
}

/// The counts and violations of a soak.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Requests that clients wrote in full.
    pub requests: usize,
    /// Requests with a complete answer that belongs to them.
    pub answered: usize,
    /// Requests that the gateway never read because it was closing the idle connection at that moment. Clients may safely
    /// send them again.
    pub sent_again: usize,
    /// Requests and connections that a kill without a preceding signal interrupted. They violate no rule.
    pub excused: usize,
    /// Requests whose client shut down its sending side before it had an answer. No rule requires an answer to them.
    pub half_closed: usize,
    /// Requests without an answer, or with the answer to another request.
    pub lost: usize,
    /// Non-idempotent requests that reached endpoints more than once.
    pub effects_twice: usize,
    /// Answers that arrived too late.
    pub late: usize,
    /// Attempts at an endpoint after its drain had been sent to every gateway.
    pub stale_endpoint: usize,
    /// Attempts that started after the client had closed its connection.
    pub after_close: usize,
    /// Attempts that stated more time than the request had left.
    pub overstated_time: usize,
    /// Connections that could not be established.
    pub refused: usize,
    /// Counts of the clients that connect during startups.
    pub starts: StartupCounts,
    /// Descriptions of violations, limited per rule.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn is_ok(&self) -> bool {
        self.lost
            + self.effects_twice
            + self.late
            + self.stale_endpoint
            + self.after_close
            + self.overstated_time
            + self.refused
            == 0
    }

    /// Counts a violation of a rule, and keeps its description unless [`MAX_DESCRIPTIONS_PER_RULE`] are kept already.
    fn add_violation(&mut self, rule: Rule, describe: impl FnOnce() -> String) {
        let count = match rule {
            Rule::AnswerReceived => &mut self.lost,
            Rule::NoSecondEffect => &mut self.effects_twice,
            Rule::AnswerInTime => &mut self.late,
            Rule::NoDrainingEndpoint => &mut self.stale_endpoint,
            Rule::NoAttemptAfterClose => &mut self.after_close,
            Rule::StatedRemainingTime => &mut self.overstated_time,
            Rule::ConnectionAccepted => &mut self.refused,
        };
        *count += 1;
        if *count <= MAX_DESCRIPTIONS_PER_RULE {
            self.violations.push(describe());
        }
    }
}

/// Checks every rule against the observations.
pub fn check_rules(observations: &Observations) -> Verdict {
    let mut attempts_by_id: BTreeMap<&str, Vec<&AttemptRecord>> = BTreeMap::new();
    for attempt in &observations.attempts {
        attempts_by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let mut verdict = Verdict {
        requests: observations.requests.len(),
        starts: StartupCounts::from_connections(&observations.startup_connections),
        ..Verdict::default()
    };
    for request in &observations.requests {
        let attempts = attempts_by_id.get(request.id.as_str());
        let attempts = attempts.map_or(&[][..], Vec::as_slice);
        check_answer_and_count(&mut verdict, observations, request, attempts);
        check_attempts(&mut verdict, observations, request, attempts);
    }
    for refused in &observations.refused_connections {
        if is_refused_by_sudden_kill(observations, refused) {
            verdict.excused += 1;
            continue;
        }
        verdict.add_violation(Rule::ConnectionAccepted, || {
            let moment = describe_moment(observations, refused.gateway, refused.at, Duration::ZERO);
            format!("n{} refused a connection {moment}", refused.gateway)
        });
    }
    for violation in find_startup_violations(&observations.startup_connections) {
        verdict.add_violation(Rule::ConnectionAccepted, || violation.describe());
    }
    if let Some(drain) = observations.drain {
        let is_stale = |attempt: &&AttemptRecord| {
            attempt.endpoint == drain.endpoint && attempt.at > drain.published_at + DRAIN_GRACE
        };
        for attempt in observations.attempts.iter().filter(is_stale) {
            verdict.add_violation(Rule::NoDrainingEndpoint, || {
                let late = (attempt.at - drain.published_at).as_millis();
                format!(
                    "{} reached a draining endpoint {late} ms after discovery sent the drain",
                    attempt.id
                )
            });
        }
    }
    verdict
}

/// Checks a request's answer, and adds the request to the startup counts if a startup client sent it.
fn check_answer_and_count(
    verdict: &mut Verdict,
    observations: &Observations,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) {
    let (answered, lost) = (verdict.answered, verdict.lost);
    check_answer(verdict, observations, request, attempts);
    if request.is_startup_client {
        let (is_answered, is_lost) = (verdict.answered > answered, verdict.lost > lost);
        verdict.starts.add_request(is_answered, is_lost);
    }
}

fn check_answer(
    verdict: &mut Verdict,
    observations: &Observations,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) {
    match request.outcome {
        RequestOutcome::ClientClosed { .. } => {}
        RequestOutcome::HalfClosed {
            answer: HalfCloseAnswer::None | HalfCloseAnswer::Matching,
            ..
        } => verdict.half_closed += 1,
        RequestOutcome::HalfClosed {
            answer: HalfCloseAnswer::Mismatched,
            ..
        }
        | RequestOutcome::Answered {
            is_matching: false, ..
        } => {
            verdict.add_violation(Rule::AnswerReceived, || {
                describe_violation(observations, request, "received another request's answer")
            });
        }
        RequestOutcome::Answered { at, .. } => {
            verdict.answered += 1;
            let latest =
                request.written_at + request.deadline + ANSWER_GRACE + MEASUREMENT_TOLERANCE;
            if at > latest && !request.reads_slowly {
                let late = (at - latest).as_millis();
                verdict.add_violation(Rule::AnswerInTime, || {
                    describe_violation(
                        observations,
                        request,
                        &format!("was answered {late} ms late"),
                    )
                });
            }
        }
        RequestOutcome::Unanswered { at, received_bytes } => {
            if is_interrupted_by_sudden_kill(observations, request, at) {
                verdict.excused += 1;
                return;
            }
            let may_have_crossed_close = request.is_connection_reused
                && received_bytes == 0
                && attempts.is_empty()
                && at < request.written_at + CROSSING_TIME;
            if may_have_crossed_close {
                verdict.sent_again += 1;
                return;
            }
            let after = at.saturating_sub(request.written_at).as_millis();
            let what = format!(
                "was lost after {after} ms with {received_bytes} bytes of an answer and {} attempts",
                attempts.len()
            );
            verdict.add_violation(Rule::AnswerReceived, || {
                describe_violation(observations, request, &what)
            });
        }
    }
}

/// Whether a request was in flight when its gateway was killed without a preceding signal, and its connection ended with the
/// kill.
fn is_interrupted_by_sudden_kill(
    observations: &Observations,
    request: &RequestRecord,
    ended_at: Duration,
) -> bool {
    find_sudden_kills(observations, request.gateway).any(|kill| {
        request.written_at <= kill.until + MEASUREMENT_TOLERANCE
            && (kill.from..=kill.until + CROSSING_TIME).contains(&ended_at)
    })
}

/// Whether a connection was refused because its gateway was killed during the attempt to connect. After the kill, clients
/// stop connecting until the gateway has restarted.
fn is_refused_by_sudden_kill(observations: &Observations, refused: &RefusedConnection) -> bool {
    find_sudden_kills(observations, refused.gateway)
        .any(|kill| (kill.from..=kill.until + MEASUREMENT_TOLERANCE).contains(&refused.at))
}

fn find_sudden_kills(
    observations: &Observations,
    gateway: usize,
) -> impl Iterator<Item = &SuddenKillRecord> {
    let kills = observations.sudden_kills.iter();
    kills.filter(move |kill| kill.gateway == gateway)
}

fn check_attempts(
    verdict: &mut Verdict,
    observations: &Observations,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) {
    if request.class == RequestClass::NonIdempotent && attempts.len() > 1 {
        let what = format!("reached endpoints {} times", attempts.len());
        verdict.add_violation(Rule::NoSecondEffect, || {
            describe_violation(observations, request, &what)
        });
    }
    for attempt in attempts {
        if let RequestOutcome::ClientClosed { at } | RequestOutcome::HalfClosed { at, .. } =
            request.outcome
        {
            if attempt.at > at + CLOSE_GRACE + MEASUREMENT_TOLERANCE {
                let after = (attempt.at - at).as_millis();
                let what = format!("was attempted {after} ms after its client had closed");
                verdict.add_violation(Rule::NoAttemptAfterClose, || {
                    describe_violation(observations, request, &what)
                });
            }
        }
        let left = (request.written_at + request.deadline).saturating_sub(attempt.at);
        if attempt.stated_remaining > left + STATED_TIME_TOLERANCE + MEASUREMENT_TOLERANCE {
            let stated = attempt.stated_remaining.as_millis();
            let what = format!(
                "stated {stated} ms to an endpoint with {} ms left, {}",
                left.as_millis(),
                describe_arrival(attempt.arrival)
            );
            verdict.add_violation(Rule::StatedRemainingTime, || {
                describe_violation(observations, request, &what)
            });
        }
    }
}

/// Describes a moment relative to the signal of the shutdown that overlaps the time from `at` to `at + span`, or else
/// relative to a sudden kill.
fn describe_moment(
    observations: &Observations,
    gateway: usize,
    at: Duration,
    span: Duration,
) -> String {
    let in_shutdown = observations.shutdowns.iter().find(|shutdown| {
        shutdown.gateway == gateway
            && at + span > shutdown.signal_at
            && at < shutdown.signal_at + EARLIEST_KILL
    });
    let kill = find_sudden_kills(observations, gateway).next();
    match (in_shutdown, kill) {
        (Some(shutdown), _) => {
            let after_signal = at.as_millis() as i64 - shutdown.signal_at.as_millis() as i64;
            format!("{after_signal} ms after the signal")
        }
        (None, Some(kill)) => {
            let after_kill = at.as_millis() as i64 - kill.from.as_millis() as i64;
            format!("{after_kill} ms after the kill")
        }
        (None, None) => "outside any shutdown".into(),
    }
}

fn describe_arrival(arrival: Arrival) -> String {
    let waited = arrival.processor_wait.as_millis();
    let connection = if arrival.is_first_on_connection {
        "a new"
    } else {
        "an open"
    };
    format!("on {connection} connection to it, its thread waited {waited} ms for a processor")
}

/// Describes a violation with the details that a test needs to reproduce it.
fn describe_violation(observations: &Observations, request: &RequestRecord, what: &str) -> String {
    let RequestRecord { id, gateway, .. } = request;
    let moment = describe_moment(observations, *gateway, request.written_at, request.deadline);
    let connection = match (request.is_connection_reused, request.is_startup_client) {
        (true, _) => "an open",
        (false, true) => "a startup client's",
        (false, false) => "a new",
    };
    format!(
        "{id} ({}, {} ms) at n{gateway} on {connection} connection, written {moment}: {what}",
        request.class.name(),
        request.deadline.as_millis()
    )
}
