//! The decisions of one gateway. `Gateway::new(terms, seed)` makes an instance; `take(now, event)` tells it
//! one event and gives back the actions it wants, in order. What goes in and out is named in `interface.rs`.
//! Events change a wanted state (attempts, answers, a vote, drops told, a timer); `emit` alone compares it
//! to what is out already. The ordinary path and the votes follow docs/design.md, which letters departures.

mod circle;
mod judging;
mod routing;
mod servers;
mod sliding_window;
mod state;

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};

pub use crate::state::Gateway;
use crate::state::*;
use harrierdock_types::gossip::{MAX_LATENCY_REPORTS, MAX_OUTCOME_REPORTS};
use harrierdock_types::*;
use harrierdock_types::{TimeDelta, Timestamp};

const ETA: f64 = 0.9; // this and the next two: the design page's starting values
const DELTA: f64 = 0.05;
const FIRST_OUTCOMES: f64 = 20.0;
const EPSILON: f64 = 0.15; // the paper's approximation factor, for pace and for the time before
const QUICK: f64 = 1.5; // usual answer times that still count as quick
const MEMORY: f64 = 400.0; // outcomes without a build in question that service is compared to
const CALM: f64 = 0.9; // of the fleet: must be warm before worse service is held against a build
const BUSIER: f64 = 0.7; // of present traffic: when the usual is less, that explains worse service
const ASIDE: usize = 4; // one endpoint in this many is set aside in judging its build
const CIRCLES: usize = 8; // the most players a fleet of gateways makes up
const RETELL: TimeDelta = TimeDelta(1_000_000);
pub(crate) const FALLBACK: TimeDelta = TimeDelta(3_000_000); // also the longest hold

// Ratios to told or learned figures.
const BEAT: f64 = 0.1; // of the shortest latency objective: the periodic timer
const HOLD: f64 = 0.04; // of the latency objective: how soon a request without a endpoint is looked at again
const PATIENCE: f64 = 0.1; // of the latency objective: how long a request may wait for a endpoint
const SILENCE: f64 = 4.0; // mean answer times without a word from a endpoint that owes one
const COLD_PART: f64 = 0.5; // of the work that topples a cold endpoint: what all gateways may send together
const LEARN: f64 = 0.1; // weight of a new answer in running means
const FAILING: f64 = 0.6; // share of good answers below which a endpoint is left out
const LAG: f64 = 0.25; // of the latency objective: a mean answer time past this is a queue worth shrinking
const FIRST_LIMIT: f64 = 3.0; // attempts a endpoint may hold before it has shown what it bears
const PULSE: f64 = 0.25; // of the shortest latency objective: how often a member tells its speaker
const QUEUE: f64 = 0.6; // of the shortest latency objective: open attempts over answers a second; past it a jam
const SPARE: f64 = 0.85; // of what is answered: how much is let in while the queue is long
const DEAF: f64 = 12.0; // mean answer times owed by a zone's endpoints, one by one, since any of them answered
const GROWTH: f64 = 0.12; // of the requests let in: how many more are at each beat once the jam is over
const SHUT: f64 = 0.5; // of the latency objective: how long a endpoint that is full gets nothing
const EASE: f64 = 0.8; // what a endpoint's limit keeps of itself when it turns away or times out
const SAMPLE: usize = 20; // endpoints of a build that a request looks at, where it has more
const USES: f64 = 16.0; // of a kept connection, in the time after which it would be closed unused
const GOLDEN: f64 = 0.618_033_988_749_895; // the fractions of its multiples lie evenly, many or few
const LOST: f64 = 1000.0; // as a pace: a endpoint that is left out
const LEAVE_OUT: f64 = 2.0; // of the shortest latency objective: the first time that a failing endpoint is left out

impl Gateway {
    pub fn new(parameters: Parameters, seed: u64) -> Gateway {
        let share = 1.0 / parameters.classes.len().max(1) as f64;
        let row = |p: &ClassParameters| Row {
            retry_safety: p.retry_safety,
            latency_objective: p.latency_objective,
            mean: p.latency_objective / 4.0,
            share,
        };
        let rows = parameters.classes.iter().map(row).collect();
        Gateway {
            rows,
            chance: WyRand::new_seed(seed),
            parameters,
            ..Gateway::default()
        }
    }

    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.roster(kind, endpoints),
            Event::RequestReceived {
                id,
                class,
                key,
                time_left,
                is_client_retry,
            } => self.request(id, class, key, time_left, is_client_retry),
            Event::ClientDisconnected { id } => self.finish(id, Answer::Given),
            Event::ResponseStarted { id } => self.finish(id, Answer::Streaming),
            Event::AttemptFinished {
                id,
                attempt,
                endpoint,
                outcome,
                duration,
                request_finished: ended,
            } => self.closed(id, attempt, endpoint, outcome, duration, ended),
            Event::RolloutUpdated(news) => self.stage(news),
            Event::GossipReceived { from, message } => self.mail(from, message),
            Event::TimerFired => self.wake(),
            // Guards a key that a newer build has answered at another site (departure J).
            Event::StickyVersionLearned { key, build }
                if self.parameters.rollout.monotonic_versions =>
            {
                self.keep_pin(key, build)
            }
            Event::ComplaintReceived { endpoint, class } => {
                let Some(listed) = self.endpoints.get(&endpoint).map(|s| &s.listed) else {
                    return self.emit();
                };
                let (gossip_id, build) = (listed.gossip_id, listed.build);
                self.pass_on(OutcomeReport {
                    gossip_id,
                    build,
                    class,
                    event: ReportedEvent::Complaint,
                    latency_ratio: 0.0,
                });
            }
            Event::Unused | Event::StickyVersionLearned { .. } => {}
        }
        self.emit()
    }

    fn closed(
        &mut self,
        id: RequestId,
        hop: usize,
        ix: EndpointId,
        outcome: AttemptOutcome,
        duration: TimeDelta,
        ended: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(hop) else {
            return;
        };
        let proven = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        let recalled = outcome == AttemptOutcome::Cancelled;
        attempt.standing = Standing::Closed {
            may_have_run: !proven,
        };
        let (build, sent, class, key) = (attempt.build, attempt.sent, request.class, request.key);
        let served = outcome == AttemptOutcome::Succeeded;
        if served {
            self.served.push(self.now, ());
        }
        let (lag, shortest) = (
            duration.ratio_to(self.rows[class.0].latency_objective),
            self.shortest_latency_objective(),
        );
        if let Some(endpoint) = self.endpoints.get_mut(&ix) {
            let zone = self.zones.entry(endpoint.listed.zone).or_default();
            match outcome {
                AttemptOutcome::ConnectFailed => zone.failed += 1.0,
                AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
                _ => {
                    *zone = Zone {
                        heard: self.now,
                        ..Zone::default()
                    }
                }
            }
            endpoint.out = endpoint.out.saturating_sub(1);
            if !matches!(
                outcome,
                AttemptOutcome::TimedOut
                    | AttemptOutcome::ConnectFailed
                    | AttemptOutcome::Cancelled
            ) {
                endpoint.owes = (endpoint.out > 0).then_some(self.now);
            } else if endpoint.out == 0 {
                endpoint.owes = None;
            }
            // Guards against work that a time-out or a recall does not stop: it counts as held until the
            // endpoint has answered something sent later, or the longest expiry has passed.
            if matches!(
                outcome,
                AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
            ) {
                endpoint.ghosts.push(sent);
            } else if served {
                endpoint.ghosts.retain(|g| *g > sent);
            } else if outcome == AttemptOutcome::Rejected {
                endpoint.shut = self.now + self.rows[class.0].latency_objective * SHUT;
            }
            // Guards against jams, whatever fills the endpoints (overload, a slow build, a neighbour): what is
            // kept out at a endpoint shrinks as its answers take longer, and grows while they are quick and
            // it is reached. Harms where answers are slow by nature, near the latency objective.
            if served {
                endpoint.lag += 2.0 * LEARN * (lag - endpoint.lag);
                if endpoint.lag > LAG {
                    endpoint.limit *= 1.0 - LEARN * (endpoint.lag / LAG - 1.0).min(1.0);
                } else if (endpoint.out + 2) as f64 > endpoint.limit {
                    endpoint.limit += 1.0 / endpoint.limit;
                }
            } else if matches!(
                outcome,
                AttemptOutcome::TimedOut | AttemptOutcome::Rejected | AttemptOutcome::Reset
            ) {
                endpoint.limit *= EASE;
            }
            endpoint.limit = endpoint.limit.max(1.0);
            if outcome == AttemptOutcome::ConnectFailed {
                (endpoint.good, endpoint.shut) = (0.0, self.now + shortest * LEAVE_OUT);
            }
        }
        // Guards a key that the newest build answered, on trial or released, from any earlier one, even if
        // that answer could not be read or was not waited for. Harms by keeping keys that it never answered.
        if self.parameters.rollout.monotonic_versions
            && !proven
            && outcome != AttemptOutcome::ServerError
        {
            if let Some(key) = key.filter(|_| self.news.as_ref().is_none_or(|n| build >= n.build)) {
                self.keep_pin(key, build);
            }
        }
        if !recalled || duration >= self.rows[class.0].latency_objective {
            let gossip_id = self
                .endpoints
                .get(&ix)
                .map_or(GossipId(0), |s| s.listed.gossip_id);
            self.pass_on(OutcomeReport {
                gossip_id,
                build,
                class,
                event: ReportedEvent::Attempt(outcome),
                latency_ratio: lag,
            });
        }
        if ended || served {
            self.finish(id, Answer::Given);
        } else if outcome == AttemptOutcome::Rejected {
            // Guards against a storm of attempts when all endpoints turn away.
            self.look_again(id, self.now + self.rows[class.0].latency_objective * HOLD);
        } else if !recalled {
            self.place(id);
        }
        self.changed.insert(id);
    }

    fn wake(&mut self) {
        self.crowd();
        self.listen();
        if std::mem::take(&mut self.unjudged) {
            self.eliminate();
        }
        if self.speaks() && !self.calm() {
            // What was seen just before is the trouble's, and so is what follows until all are warm again.
            self.troubled = self.now;
            self.trial
                .payoffs
                .retain(|(side, _), _| !matches!(side, Side::Whole | Side::Brisk));
        }
        self.armed = self.armed.filter(|at| self.now < *at);
        while let Some(&(at, id)) = self.due.first().filter(|d| d.0 <= self.now) {
            self.due.remove(&(at, id));
            if let Some(request) = self.requests.get_mut(&id) {
                request.due = None;
            }
            self.place(id);
        }
        self.forget();
        self.judge();
    }

    /// The difference between what is wanted and what is out already.
    fn emit(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        for id in std::mem::take(&mut self.changed) {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            for (hop, attempt) in request.attempts.iter_mut().enumerate() {
                let (endpoint, timeout) = (attempt.endpoint, TimeDelta::ZERO);
                let (standing, action) = match attempt.standing {
                    Standing::Wanted => (
                        Standing::Out,
                        Action::StartAttempt {
                            id,
                            endpoint,
                            timeout,
                        },
                    ),
                    Standing::Unwanted => (
                        Standing::Recalled,
                        Action::CancelAttempt { id, attempt: hop },
                    ),
                    _ => continue,
                };
                attempt.standing = standing;
                out.push(action);
            }
            let answer = match request.answer {
                Answer::Decline => Some(Action::Reject {
                    id,
                    retry_after: self.parameters.limits.retry_after,
                }),
                Answer::Void => Some(Action::Fail { id }),
                _ => None,
            };
            if let Some(answer) = answer {
                out.push(answer);
                request.answer = Answer::Given;
            }
            if request.answer == Answer::Given && request.attempts.iter().all(Attempt::closed) {
                self.requests.remove(&id);
            }
        }
        self.emit_vote(&mut out);
        self.emit_bits(&mut out);
        self.emit_paces(&mut out);
        self.emit_watch(&mut out);
        if self.beat <= self.now {
            self.beat = self.now + self.shortest_latency_objective() * BEAT;
        }
        let next = self
            .due
            .first()
            .map_or(self.beat, |d| d.0.min(self.beat))
            .max(self.now + TimeDelta(1));
        if self.armed.is_none_or(|at| at <= self.now || next < at) {
            self.armed = Some(next);
            out.push(Action::SetTimer {
                after: next - self.now,
            });
        }
        out
    }
}
