//! Judges a soak by what clients and endpoints saw. Without sockets and clock: all times count from the soak's start.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::plan::EARLIEST_KILL;
use super::records::{
    Arrival, AttemptRecord, HalfCloseAnswer, Observations, RefusedConnection, RequestEnd,
    RequestRecord, SuddenKillRecord,
};
use super::requests::RequestClass;
use super::starts::{start_violations, StartCounts};

/// How long after its deadline an answer may come.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// What the machine may add to any time that is measured here.
const MEASURING_SLACK: Duration = Duration::from_millis(50);
/// How long after a request's last byte a close can still have crossed it: as long as a process may stall, and the slack.
const CROSSING_TIME: Duration = Duration::from_millis(200);
/// How long after its client has closed an attempt may still begin.
const CLOSE_GRACE: Duration = Duration::from_millis(100);
/// How much more time than is left an attempt may be told.
const STATED_TIME_SLACK: Duration = Duration::from_millis(150);
/// How long after discovery has written it a drain may still be unknown to an attempt.
const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// How many violations of one rule are told.
const MAX_VIOLATIONS_OF_A_RULE: usize = 3;

/// What is judged.
#[derive(Clone, Copy, Debug)]
enum Rule {
    Answer,
    NoSecondEffect,
    AnswerInTime,
    NoDrainingEndpoint,
    NothingAfterClose,
    StatedTime,
    Connection,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Requests whose last byte was written.
    pub requests: usize,
    /// Those with a whole answer of their own.
    pub answered: usize,
    /// Those that crossed the close of a connection between requests, and were not read.
    pub sent_again: usize,
    /// Requests and connections that a kill with no signal before it met, which the gateway does not answer for.
    pub excused: usize,
    /// Requests whose client ended its writing side before it had its answer. None is owed to it.
    pub half_closed: usize,
    /// Those without an answer, or with another's.
    pub lost: usize,
    /// Requests that may not be repeated and reached endpoints more than once.
    pub effects_twice: usize,
    /// Answers that came too late.
    pub late: usize,
    /// Attempts at an endpoint that was known to drain.
    pub stale_endpoint: usize,
    /// Attempts that began after their client had closed.
    pub after_close: usize,
    /// Attempts that were told more time than was left.
    pub overstated_time: usize,
    /// Connections that did not come up.
    pub refused: usize,
    /// What clients saw that connect from the spawn of a gateway on.
    pub starts: StartCounts,
    /// Some of the violations.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Whether every rule was kept.
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

    /// Counts a violation of a rule, and keeps its description if few of that rule are kept so far.
    fn add_violation(&mut self, rule: Rule, describe: impl FnOnce() -> String) {
        let count = match rule {
            Rule::Answer => &mut self.lost,
            Rule::NoSecondEffect => &mut self.effects_twice,
            Rule::AnswerInTime => &mut self.late,
            Rule::NoDrainingEndpoint => &mut self.stale_endpoint,
            Rule::NothingAfterClose => &mut self.after_close,
            Rule::StatedTime => &mut self.overstated_time,
            Rule::Connection => &mut self.refused,
        };
        *count += 1;
        if *count <= MAX_VIOLATIONS_OF_A_RULE {
            self.violations.push(describe());
        }
    }
}

/// Judges what was seen.
pub fn judge(seen: &Observations) -> Verdict {
    let mut attempts_by_id: BTreeMap<&str, Vec<&AttemptRecord>> = BTreeMap::new();
    for attempt in &seen.attempts {
        attempts_by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let mut verdict = Verdict {
        requests: seen.requests.len(),
        starts: StartCounts::of_connections(&seen.startup_connections),
        ..Verdict::default()
    };
    for request in &seen.requests {
        let attempts = attempts_by_id.get(request.id.as_str());
        let attempts = attempts.map_or(&[][..], Vec::as_slice);
        judge_answer_and_count(&mut verdict, seen, request, attempts);
        judge_attempts(&mut verdict, seen, request, attempts);
    }
    for refused in &seen.refused_connections {
        if is_refused_by_kill(seen, refused) {
            verdict.excused += 1;
            continue;
        }
        verdict.add_violation(Rule::Connection, || {
            let moment = moment(seen, refused.gateway, refused.at, Duration::ZERO);
            format!("n{} refuses a connection {moment}", refused.gateway)
        });
    }
    for violation in start_violations(&seen.startup_connections) {
        verdict.add_violation(Rule::Connection, || violation.describe());
    }
    if let Some(drain) = seen.drain {
        let is_stale = |attempt: &&AttemptRecord| {
            attempt.endpoint == drain.endpoint && attempt.at > drain.told_at + DRAIN_GRACE
        };
        for attempt in seen.attempts.iter().filter(is_stale) {
            verdict.add_violation(Rule::NoDrainingEndpoint, || {
                let late = (attempt.at - drain.told_at).as_millis();
                format!(
                    "{} came to a draining endpoint {late} ms after the list",
                    attempt.id
                )
            });
        }
    }
    verdict
}

/// Judges a request's answer, and counts it with the starts if it belongs to one.
fn judge_answer_and_count(
    verdict: &mut Verdict,
    seen: &Observations,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) {
    let (answered, lost) = (verdict.answered, verdict.lost);
    judge_answer(verdict, seen, request, attempts);
    if request.is_in_start {
        let (is_answered, is_lost) = (verdict.answered > answered, verdict.lost > lost);
        verdict.starts.add_request(is_answered, is_lost);
    }
}

fn judge_answer(
    verdict: &mut Verdict,
    seen: &Observations,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) {
    match request.end {
        RequestEnd::Left { .. } => {}
        RequestEnd::HalfClosed {
            answer: HalfCloseAnswer::None | HalfCloseAnswer::Own,
            ..
        } => verdict.half_closed += 1,
        RequestEnd::HalfClosed {
            answer: HalfCloseAnswer::Foreign,
            ..
        }
        | RequestEnd::Answered { is_own: false, .. } => {
            verdict.add_violation(Rule::Answer, || {
                describe(seen, request, "has another request's answer")
            });
        }
        RequestEnd::Answered { at, .. } => {
            verdict.answered += 1;
            let due = request.written_at + request.deadline + ANSWER_GRACE + MEASURING_SLACK;
            if at > due && !request.reads_slowly {
                let late = (at - due).as_millis();
                verdict.add_violation(Rule::AnswerInTime, || {
                    describe(seen, request, &format!("is {late} ms late"))
                });
            }
        }
        RequestEnd::Unanswered { at, received_bytes } => {
            if is_under_way_at_kill(seen, request, at) {
                verdict.excused += 1;
                return;
            }
            let may_have_crossed = request.is_connection_reused
                && received_bytes == 0
                && attempts.is_empty()
                && at < request.written_at + CROSSING_TIME;
            if may_have_crossed {
                verdict.sent_again += 1;
                return;
            }
            let after = at.saturating_sub(request.written_at).as_millis();
            let what = format!(
                "is lost after {after} ms with {received_bytes} bytes of an answer and {} attempts",
                attempts.len()
            );
            verdict.add_violation(Rule::Answer, || describe(seen, request, &what));
        }
    }
}

/// Whether a request had been written when its gateway was killed with no signal before, and its connection ended by that.
fn is_under_way_at_kill(seen: &Observations, request: &RequestRecord, ended_at: Duration) -> bool {
    kills_of(seen, request.gateway).any(|kill| {
        request.written_at <= kill.until + MEASURING_SLACK
            && (kill.from..=kill.until + CROSSING_TIME).contains(&ended_at)
    })
}

/// Whether a connection was refused because its gateway was killed as it was tried. From the kill on, none is tried.
fn is_refused_by_kill(seen: &Observations, refused: &RefusedConnection) -> bool {
    kills_of(seen, refused.gateway)
        .any(|kill| (kill.from..=kill.until + MEASURING_SLACK).contains(&refused.at))
}

fn kills_of(seen: &Observations, gateway: usize) -> impl Iterator<Item = &SuddenKillRecord> {
    let kills = seen.sudden_kills.iter();
    kills.filter(move |kill| kill.gateway == gateway)
}

fn judge_attempts(
    verdict: &mut Verdict,
    seen: &Observations,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) {
    if request.class == RequestClass::NonIdempotent && attempts.len() > 1 {
        let what = format!("reached endpoints {} times", attempts.len());
        verdict.add_violation(Rule::NoSecondEffect, || describe(seen, request, &what));
    }
    for attempt in attempts {
        if let RequestEnd::Left { at } | RequestEnd::HalfClosed { at, .. } = request.end {
            if attempt.at > at + CLOSE_GRACE + MEASURING_SLACK {
                let after = (attempt.at - at).as_millis();
                let what = format!("was attempted {after} ms after its client had closed");
                verdict.add_violation(Rule::NothingAfterClose, || describe(seen, request, &what));
            }
        }
        let left = (request.written_at + request.deadline).saturating_sub(attempt.at);
        if attempt.stated > left + STATED_TIME_SLACK + MEASURING_SLACK {
            let stated = attempt.stated.as_millis();
            let what = format!(
                "states {stated} ms to an endpoint with {} ms left, {}",
                left.as_millis(),
                describe_arrival(attempt.arrival)
            );
            verdict.add_violation(Rule::StatedTime, || describe(seen, request, &what));
        }
    }
}

/// A moment relative to the signal of the shutdown that it or the time after it falls into.
fn moment(seen: &Observations, gateway: usize, at: Duration, lasting: Duration) -> String {
    let in_shutdown = seen.shutdowns.iter().find(|shutdown| {
        shutdown.gateway == gateway
            && at + lasting > shutdown.signal_at
            && at < shutdown.signal_at + EARLIEST_KILL
    });
    let kill = kills_of(seen, gateway).next();
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

/// A violation, with what the forced test of it needs to know.
fn describe(seen: &Observations, request: &RequestRecord, what: &str) -> String {
    let RequestRecord { id, gateway, .. } = request;
    let moment = moment(seen, *gateway, request.written_at, request.deadline);
    let connection = match (request.is_connection_reused, request.is_in_start) {
        (true, _) => "an open",
        (false, true) => "a start's first",
        (false, false) => "a new",
    };
    format!(
        "{id} ({}, {} ms) at n{gateway} on {connection} connection, written {moment}: {what}",
        request.class.name(),
        request.deadline.as_millis()
    )
}
