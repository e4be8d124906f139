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
use harrierdock_types::gossip::{MOST_FATES, MOST_PACES};
use harrierdock_types::interface::*;
use harrierdock_types::time::{Point, Span};

const ETA: f64 = 0.9; // this and the next two: the design page's starting values
const DELTA: f64 = 0.05;
const FIRST_OUTCOMES: f64 = 20.0;
const EPSILON: f64 = 0.15; // the paper's approximation factor, for pace and for the time before
const QUICK: f64 = 1.5; // usual answer times that still count as quick
const MEMORY: f64 = 400.0; // outcomes without a build in question that service is compared to
const CALM: f64 = 0.9; // of the fleet: must be warm before worse service is held against a build
const BUSIER: f64 = 0.7; // of present traffic: when the usual is less, that explains worse service
const ASIDE: usize = 4; // one server in this many is set aside in judging its build
const CIRCLES: usize = 8; // the most players a fleet of gateways makes up
const RETELL: Span = Span(1_000_000);
pub(crate) const FALLBACK: Span = Span(3_000_000); // also the longest hold

// Ratios to told or learned figures.
const BEAT: f64 = 0.1; // of the shortest SLA time: the periodic timer
const HOLD: f64 = 0.04; // of the SLA time: how soon a txn without a server is looked at again
const PATIENCE: f64 = 0.1; // of the SLA time: how long a txn may wait for a server
const SILENCE: f64 = 4.0; // mean answer times without a word from a server that owes one
const COLD_PART: f64 = 0.5; // of the work that topples a cold server: what all gateways may send together
const LEARN: f64 = 0.1; // weight of a new answer in running means
const FAILING: f64 = 0.6; // share of good answers below which a server is left out
const LAG: f64 = 0.25; // of the SLA time: a mean answer time past this is a queue worth shrinking
const FIRST_LIMIT: f64 = 3.0; // submissions a server may hold before it has shown what it bears
const PULSE: f64 = 0.25; // of the shortest SLA time: how often a member tells its speaker
const QUEUE: f64 = 0.6; // of the shortest SLA time: open submissions over answers a second; past it a jam
const SPARE: f64 = 0.85; // of what is answered: how much is let in while the queue is long
const DEAF: f64 = 12.0; // mean answer times owed by a zone's servers, one by one, since any of them answered
const GROWTH: f64 = 0.12; // of the txns let in: how many more are at each beat once the jam is over
const SHUT: f64 = 0.5; // of the SLA time: how long a server that is full gets nothing
const EASE: f64 = 0.8; // what a server's limit keeps of itself when it turns away or times out
const SAMPLE: usize = 20; // servers of a build that a txn looks at, where it has more
const USES: f64 = 16.0; // of a kept connection, in the time after which it would be closed unused
const GOLDEN: f64 = 0.618_033_988_749_895; // the fractions of its multiples lie evenly, many or few
const LOST: f64 = 1000.0; // as a pace: a server that is left out
const LEAVE_OUT: f64 = 2.0; // of the shortest SLA time: the first time that a failing server is left out

impl Gateway {
    pub fn new(terms: Terms, seed: u64) -> Gateway {
        let share = 1.0 / terms.products.len().max(1) as f64;
        let row = |p: &ProductTerms| Row { repeat: p.repeat, sla: p.sla, mean: p.sla / 4.0, share };
        let rows = terms.products.iter().map(row).collect();
        Gateway { rows, chance: WyRand::new_seed(seed), terms, ..Gateway::default() }
    }

    pub fn take(&mut self, now: Point, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Roster { scope, lines } => self.roster(scope, lines),
            Event::Txn { id, product, key, left, again, .. } => self.txn(id, product, key, left, again),
            Event::Left { id } => self.finish(id, Answer::Given),
            Event::Streaming { id, .. } => self.finish(id, Answer::Streaming),
            Event::Closed { id, attempt, server, outcome, took, ended, .. } => {
                self.closed(id, attempt, server, outcome, took, ended)
            }
            Event::Stage(news) => self.stage(news),
            Event::Mail { from, message } => self.mail(from, message),
            Event::Wake => self.wake(),
            // Guards a key that a newer build has answered at another site (departure J).
            Event::Pinned { key, build } if self.terms.release.one_way => self.keep_pin(key, build),
            Event::Complaint { server, product, .. } => {
                let Some(listed) = self.servers.get(&server).map(|s| &s.listed) else { return self.emit() };
                let (mark, build) = (listed.mark, listed.build);
                self.pass_on(Hearsay { mark, build, product, fate: Fate::Complaint, lag: 0.0 });
            }
            Event::Probed { .. } | Event::Tally { .. } | Event::Pinned { .. } => {}
        }
        self.emit()
    }

    fn closed(&mut self, id: TxnId, hop: usize, ix: ServerIx, outcome: Outcome, took: Span, ended: bool) {
        let Some(txn) = self.txns.get_mut(&id) else { return };
        let Some(attempt) = txn.attempts.get_mut(hop) else { return };
        let proven = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
        let recalled = outcome == Outcome::Recalled;
        attempt.standing = Standing::Closed { may_have_run: !proven };
        let (build, sent, product, key) = (attempt.build, attempt.sent, txn.product, txn.key);
        let served = outcome == Outcome::Served;
        if served {
            self.served.push(self.now, ());
        }
        let (lag, shortest) = (took.over(self.rows[product].sla), self.shortest_sla());
        if let Some(server) = self.servers.get_mut(&ix) {
            let zone = self.zones.entry(server.listed.zone).or_default();
            match outcome {
                Outcome::ConnectFailed => zone.failed += 1.0,
                Outcome::TimedOut | Outcome::Recalled | Outcome::Moot => {}
                _ => *zone = Zone { heard: self.now, ..Zone::default() },
            }
            server.out = server.out.saturating_sub(1);
            if !matches!(outcome, Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Recalled) {
                server.owes = (server.out > 0).then_some(self.now);
            } else if server.out == 0 {
                server.owes = None;
            }
            // Guards against work that a time-out or a recall does not stop: it counts as held until the
            // server has answered something sent later, or the longest expiry has passed.
            if matches!(outcome, Outcome::TimedOut | Outcome::Recalled) {
                server.ghosts.push(sent);
            } else if served {
                server.ghosts.retain(|g| *g > sent);
            } else if outcome == Outcome::Full {
                server.shut = self.now + self.rows[product].sla * SHUT;
            }
            // Guards against jams, whatever fills the servers (overload, a slow build, a neighbour): what is
            // kept out at a server shrinks as its answers take longer, and grows while they are quick and
            // it is reached. Harms where answers are slow by nature, near the SLA time.
            if served {
                server.lag += 2.0 * LEARN * (lag - server.lag);
                if server.lag > LAG {
                    server.limit *= 1.0 - LEARN * (server.lag / LAG - 1.0).min(1.0);
                } else if (server.out + 2) as f64 > server.limit {
                    server.limit += 1.0 / server.limit;
                }
            } else if matches!(outcome, Outcome::TimedOut | Outcome::Full | Outcome::Reset) {
                server.limit *= EASE;
            }
            server.limit = server.limit.max(1.0);
            if outcome == Outcome::ConnectFailed {
                (server.good, server.shut) = (0.0, self.now + shortest * LEAVE_OUT);
            }
        }
        // Guards a key that the newest build answered, on trial or released, from any earlier one, even if
        // that answer could not be read or was not waited for. Harms by keeping keys that it never answered.
        if self.terms.release.one_way && !proven && outcome != Outcome::Errored {
            if let Some(key) = key.filter(|_| self.news.as_ref().is_none_or(|n| build >= n.build)) {
                self.keep_pin(key, build);
            }
        }
        if !recalled || took >= self.rows[product].sla {
            let mark = self.servers.get(&ix).map_or(0, |s| s.listed.mark);
            self.pass_on(Hearsay { mark, build, product, fate: Fate::Ended(outcome), lag });
        }
        if ended || served {
            self.finish(id, Answer::Given);
        } else if outcome == Outcome::Full {
            // Guards against a storm of submissions when all servers turn away.
            self.look_again(id, self.now + self.rows[product].sla * HOLD);
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
            self.trial.payoffs.retain(|(side, _), _| !matches!(side, Side::Whole | Side::Brisk));
        }
        self.armed = self.armed.filter(|at| self.now < *at);
        while let Some(&(at, id)) = self.due.first().filter(|d| d.0 <= self.now) {
            self.due.remove(&(at, id));
            if let Some(txn) = self.txns.get_mut(&id) {
                txn.due = None;
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
            let Some(txn) = self.txns.get_mut(&id) else { continue };
            for (hop, attempt) in txn.attempts.iter_mut().enumerate() {
                let (server, timeout) = (attempt.server, Span::ZERO);
                let (standing, action) = match attempt.standing {
                    Standing::Wanted => (Standing::Out, Action::Submit { id, server, timeout }),
                    Standing::Unwanted => (Standing::Recalled, Action::Recall { id, attempt: hop }),
                    _ => continue,
                };
                attempt.standing = standing;
                out.push(action);
            }
            let answer = match txn.answer {
                Answer::Decline => Some(Action::Decline { id, retry_after: self.terms.limits.retry_after }),
                Answer::Void => Some(Action::Void { id }),
                _ => None,
            };
            if let Some(answer) = answer {
                out.push(answer);
                txn.answer = Answer::Given;
            }
            if txn.answer == Answer::Given && txn.attempts.iter().all(Attempt::closed) {
                self.txns.remove(&id);
            }
        }
        self.emit_vote(&mut out);
        self.emit_bits(&mut out);
        self.emit_paces(&mut out);
        self.emit_watch(&mut out);
        if self.beat <= self.now {
            self.beat = self.now + self.shortest_sla() * BEAT;
        }
        let next = self.due.first().map_or(self.beat, |d| d.0.min(self.beat)).max(self.now + Span(1));
        if self.armed.is_none_or(|at| at <= self.now || next < at) {
            self.armed = Some(next);
            out.push(Action::Wake { after: next - self.now });
        }
        out
    }
}
