//! The decisions of one gateway. `Gateway::new(terms, seed)` makes an instance; `take(now, event)` tells it
//! one event and gives back the actions it wants, in order. What goes in and out is named in `interface.rs`.
//! Events change a wanted state (attempts, answers, a vote, drops told, a timer); `emit` alone compares it
//! to what is out already. The ordinary path and the votes follow docs/design.md, which letters departures.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};

use crate::interface::*;
use crate::mail::{MOST_FATES, MOST_PACES};
pub use crate::state::Gateway;
use crate::state::*;
use crate::time::{Point, Span};

// The design page's starting values.
const ETA: f64 = 0.9;
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
const FALLBACK: Span = Span(3_000_000); // also the longest hold

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

impl Payoff {
    /// How many factors of eta the KL-Racing test stands below a better arm by, `near` allowed: 0 is no drop.
    fn drops_below(&self, better: &Payoff, near: f64) -> usize {
        let t = self.count.min(better.count);
        let (mut low, mut high) = (self.mean(), better.mean() - near);
        if t < FIRST_OUTCOMES || low >= high {
            return 0;
        }
        for _ in 0..f64::MANTISSA_DIGITS {
            let q = (low + high) / 2.0;
            *(if self.strain(q) < better.strain(q + near) { &mut low } else { &mut high }) = q;
        }
        let eta = (t.ln() + 1.0) * (-self.strain(low)).exp();
        (eta.ln() / ETA.ln()).max(0.0) as usize
    }
}

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
            Event::Pinned { key, build } if self.terms.release.one_way => {
                let held = self.pins.get(&key).copied().unwrap_or(0);
                self.pins.insert(key, build.max(held));
            }
            Event::Complaint { server, product, .. } => {
                let Some(listed) = self.servers.get(&server).map(|s| &s.listed) else { return self.emit() };
                let (mark, build) = (listed.mark, listed.build);
                self.pass_on(Hearsay { mark, build, product, fate: Fate::Complaint, lag: 0.0 });
            }
            Event::Probed { .. } | Event::Tally { .. } | Event::Pinned { .. } => {}
        }
        self.emit()
    }

    // ---- servers ----

    fn roster(&mut self, scope: Scope, lines: Vec<Listed>) {
        match (scope, self.watch) {
            (Scope::Failed, _) => return self.watch = Watch::Failed(self.now),
            (Scope::Changes | Scope::Whole, Watch::Asked(_)) => self.watch = Watch::Standing,
            _ => {}
        }
        for server in self.servers.values_mut().filter(|s| s.listed.lifecycle != Lifecycle::Gone) {
            server.seen = self.now;
            if scope != Scope::Changes {
                server.listed.lifecycle = Lifecycle::Gone;
            }
        }
        for line in lines {
            let started = line.age.map(|a| self.now - a);
            let held = self.servers.get_mut(&line.server);
            let out = held.as_ref().map_or(0, |s| s.out);
            if let Some(same) = held.filter(|s| s.listed.build == line.build && s.started == started) {
                same.listed = line;
                continue;
            }
            let dither = self.chance.generate::<f64>();
            let fresh = Server { listed: line, started, out, dither, ..Server::default() };
            let fresh = Server { pace: 1.0, limit: FIRST_LIMIT, good: 1.0, ..fresh };
            self.marks.insert(fresh.listed.mark, fresh.listed.server);
            self.servers.insert(fresh.listed.server, fresh);
        }
        // Guards against keeping all servers that ever ran; a complaint may speak of one for a while.
        let edge = self.now - FALLBACK - self.terms.rules.ramp * 3.0;
        self.servers.retain(|_, s| s.listed.lifecycle != Lifecycle::Gone || s.out > 0 || s.seen > edge);
        self.marks.retain(|_, ix| self.servers.contains_key(ix));
        self.survey();
    }

    /// What each txn or message needs of the list, so that none walks it.
    fn survey(&mut self) {
        // The fleet's places: while a build comes in, both may run on one place for a while.
        let mut of_build: BTreeMap<Build, usize> = BTreeMap::new();
        let (mut arms, mut newest) = ([Vec::new(), Vec::new()], None);
        for (ix, server) in self.servers.iter().filter(|(_, s)| s.listed.lifecycle == Lifecycle::Ready) {
            let build = server.listed.build;
            *of_build.entry(build).or_default() += 1;
            arms[usize::from(self.on_trial(build))].push(*ix);
            if build == self.trial.build {
                newest = newest.max(server.started);
            }
        }
        // Each gateway begins elsewhere in the same order, so that the few each keeps to are spread evenly.
        let begins = (self.terms.ordinal as f64 * GOLDEN).fract();
        for arm in &mut arms {
            arm.sort_by_key(|ix| self.servers[ix].listed.mark);
            let at = (begins * arm.len() as f64) as usize;
            arm.rotate_left(at);
        }
        let ready = (arms[0].len() + arms[1].len()).max(1) as f64;
        let on: usize = of_build.iter().filter(|(b, _)| **b >= self.trial.build).map(|b| b.1).sum();
        self.runs = (on as f64 / ready, of_build.get(&self.trial.build).copied().unwrap_or(0), newest);
        self.arms = arms;
        // Guards against keeping every key: one has nowhere else to go where no earlier build is left.
        if self.runs.0 >= 1.0 && self.news.as_ref().is_some_and(|n| n.phase == Phase::Released) {
            self.pins.clear();
        }
        self.fleet = of_build.into_values().fold(self.fleet, usize::max);
    }

    /// How many servers of an arm this gateway keeps to: as many as its traffic uses a connection to often
    /// before it would be closed. Guards against hundreds of gateways that each open connections to every
    /// server, and meet each too seldom to know it. Harms by uneven loads where few have most traffic.
    fn kept(&self, arm: usize) -> usize {
        let part = self.terms.limits.idle.over(self.terms.release.window) / USES;
        ((self.taken.len() as f64 * part) as usize).max(SAMPLE).min(self.arms[arm].len())
    }

    /// The part of its capacity that a server has by now, at the least.
    fn warmth(&self, server: &Server) -> f64 {
        self.warmth_at(server, self.now)
    }

    fn warmth_at(&self, server: &Server, at: Point) -> f64 {
        let Some(started) = server.started else { return 1.0 };
        let (from, age) = (self.terms.rules.cold_from, at - started);
        (from + (1.0 - from) * age.over(self.terms.rules.ramp)).min(1.0)
    }

    /// Guards against pushing a cold server over: our share of what may go there within the stated time is
    /// what an average server answers us, times the part of that multiple that all gateways may use. Answers
    /// are counted, not txns taken: client retries multiply those, but no server answers more than it can.
    /// A gateway whose share is less than one submission in that time takes its chance, not a count: its
    /// share, over what it would send there if each look ended at one of the rivals by weight.
    fn may_warm(&self, server: &Server, rivals: f64, chance: f64) -> bool {
        let warmth = self.warmth(server);
        if warmth >= 1.0 {
            return true;
        }
        let rules = &self.terms.rules;
        let part = rules.fall.over(self.terms.release.window);
        let most = COLD_PART * rules.fall_multiple * warmth * part * self.served.len() as f64;
        let arm = usize::from(self.on_trial(server.listed.build));
        let (most, all) = (most / self.fleet.max(1) as f64, self.arms[arm].len() as f64);
        let sent = server.sends.count(self.now - rules.fall, |_| true);
        // The fewer keep to each server, the more each of them may send there.
        let counted = most * all / self.kept(arm).max(1) as f64;
        if counted >= 1.0 {
            return sent < (counted + server.dither).floor();
        }
        sent < 1.0 && chance * (self.looks.len() as f64 + 1.0) * part * self.weight(server) < most * rivals
    }

    /// A failing server is left out, but for one of a build whose drop is not settled (departure G): a build
    /// that fails everything would else give too few outcomes to be dropped, and the fallback move it on.
    fn healthy(&self, server: &Server) -> bool {
        let mean = self.rows.iter().map(|r| r.mean).max().unwrap_or(Span::ZERO);
        let judged = self.on_trial(server.listed.build) && !self.dropped(Arm::Trial, 1.0);
        (judged || self.now >= server.left_out)
            && self.zones.get(&server.listed.zone).is_none_or(|z| self.now >= z.left_out)
            && server.owes.is_none_or(|since| self.now - since < mean * SILENCE)
    }

    /// What part of the txns a server bears, beside one that is warm and of the usual pace.
    fn weight(&self, server: &Server) -> f64 {
        self.warmth(server) / server.pace.max(LEARN)
    }

    /// Of several servers one, with odds by weight. Guards against hundreds of gateways that hold nothing and
    /// rank alike: the one that all think least busy would get twice what the others do.
    fn any_of(&mut self, among: &[ServerIx]) -> Option<ServerIx> {
        let weights: Vec<f64> = among.iter().map(|ix| self.weight(&self.servers[ix])).collect();
        let mut left = self.chance.generate::<f64>() * weights.iter().sum::<f64>();
        let at = weights.iter().position(|w| (left -= w, left < 0.0).1);
        among.get(at.unwrap_or(0)).copied()
    }

    // ---- builds on trial ----

    fn on_trial(&self, build: Build) -> bool {
        match &self.news {
            Some(news) => build > news.build || (build == news.build && news.phase != Phase::Released),
            None => self.servers.values().any(|s| s.listed.build < build),
        }
    }

    /// Guards the exposure cap: one more submission must fit the window that ends now, and a tick beside it.
    fn within_cap(&self, build: Build, product: ProductIx) -> bool {
        let told = &self.terms.release;
        let cap = match self.news.as_ref().filter(|n| n.build == build) {
            Some(news) => news.cap,
            None => told.caps.first().copied().unwrap_or(0.0),
        };
        if cap <= 0.0 {
            return false;
        }
        let counts = |p: ProductIx| told.counting == Counting::Together || p == product;
        let (edge, tick) = (self.now - told.window, self.terms.tick);
        let sent = self.exposed.count(edge - tick - tick, |(p, b)| *b == build && counts(*p));
        sent + 1.0 <= told.free + cap * self.taken.count(edge + tick, |p| counts(*p))
    }

    /// The build that a key stays with: one that has answered it, or whose answer may be on its way by now.
    fn pin(&self, txn: &Txn) -> Build {
        txn.key.map_or(0, |key| self.pin_of(key))
    }

    pub fn pin_of(&self, key: Key) -> Build {
        if !self.terms.release.one_way {
            return 0;
        }
        let same = self.txns.values().filter(|t| t.key == Some(key)).flat_map(|t| &t.attempts);
        let back = self.news.as_ref().filter(|n| matches!(n.phase, Phase::GoingBack | Phase::Withdrawn));
        let until = back.map_or(Build::MAX, |n| n.build);
        let out = same.filter(|a| !a.closed() && a.build < until).map(|a| a.build).max();
        out.max(self.pins.get(&key).copied()).unwrap_or(0)
    }

    fn open_to(&self, server: &Server, txn: &Txn, pin: Build) -> bool {
        let build = server.listed.build;
        let on_trial = self.on_trial(build);
        let row = &self.rows[txn.product];
        let guarded = on_trial
            && self.news.as_ref().filter(|n| n.build == build).map_or(0, |n| n.stage)
                < self.terms.release.guarded_stages
            && row.repeat != Repeat::InquiryLike;
        server.listed.lifecycle == Lifecycle::Ready
            && build >= pin
            && !guarded
            && ((server.out + server.ghosts.len()) as f64) < server.limit
            && self.now >= server.shut
            && self.may_repeat_at(server, txn)
    }

    // ---- txns ----

    fn txn(&mut self, id: TxnId, product: ProductIx, key: Option<Key>, left: Span, again: bool) {
        self.taken.push(self.now, product);
        // Guards against taking retries for more traffic: unmarked, each txn not served comes back once.
        let again = if self.terms.marks_repeats { again } else { self.unserved >= 1.0 };
        self.flow.taken += 1;
        self.flow.fresh += usize::from(!again);
        for (of, row) in self.rows.iter_mut().enumerate() {
            row.share += LEARN * LEARN * (f64::from(of == product) - row.share);
        }
        self.unserved = (self.unserved - 1.0).max(0.0);
        let (taken, expiry, attempts) = (self.now, self.now + left, Vec::new());
        self.txns.insert(id, Txn { product, key, taken, expiry, attempts, answer: Answer::Owed, due: None });
        let pin = self.pin(&self.txns[&id]);
        self.pinned += LEARN * LEARN * (f64::from(pin > 0 && self.on_trial(pin)) - self.pinned);
        // Guards against a jam that no limit at a server holds off: hundreds of gateways keep one out each.
        if self.chance.generate::<f64>() < self.shed_of(product) {
            return self.give_up(id);
        }
        self.place(id);
    }

    /// Guards rule 2: whether this txn may go to this server after the submissions it has had.
    fn may_repeat_at(&self, server: &Server, txn: &Txn) -> bool {
        let mut maybe = txn.attempts.iter().filter(|a| a.may_have_run());
        match self.rows[txn.product].repeat {
            Repeat::InquiryLike => true,
            Repeat::OnceOnly => maybe.next().is_none(),
            Repeat::Referenced { group, memory } => maybe.all(|a| {
                let first = self.servers.get(&a.server).map(|s| (s.listed.zone, s.listed.cell));
                let here = (server.listed.zone, server.listed.cell);
                let together = match group {
                    Group::All => true,
                    Group::Zone => first.is_some_and(|f| f.0 == here.0),
                    Group::Cell => first == Some(here),
                };
                together && self.now + self.terms.tick < a.sent + memory
            }),
        }
    }

    fn may_decline(&self, txn: &Txn) -> bool {
        let repeat = self.rows[txn.product].repeat;
        matches!(repeat, Repeat::InquiryLike | Repeat::Referenced { group: Group::All, .. })
            || !txn.attempts.iter().any(Attempt::may_have_run)
    }

    /// Finds a server: the build by its share of ready servers, then two choices in it. Of a large fleet a
    /// sample stands for all, so that a txn costs the same in any.
    fn choose(&mut self, id: TxnId) -> Option<ServerIx> {
        self.looks.push(self.now, ()); // one that finds nothing is a chance at a cold server too
        let (mut sample, mut bears) = (Vec::new(), [0.0; 2]);
        for (arm, bears) in bears.iter_mut().enumerate() {
            let (all, of) = (self.arms[arm].len(), self.kept(arm));
            for n in 0..of.min(SAMPLE) {
                let at = if of > SAMPLE { self.chance.generate_range(0..of) } else { n };
                let (ix, stands_for) = (self.arms[arm][at], all as f64 / of.min(SAMPLE) as f64);
                *bears += stands_for * self.warmth(&self.servers[&ix]);
                sample.push((ix, stands_for));
            }
        }
        // A cold server counts for what it bears, or the warm ones of its build would bear its part too.
        // Keys that stay with the trial build are part of its share.
        let share = bears[1] / (bears[0] + bears[1]).max(f64::EPSILON);
        let share = ((share - self.pinned) / (1.0 - self.pinned).max(0.01)).max(0.0);
        let trial_first = self.chance.generate::<f64>() < share && self.txns[&id].attempts.is_empty();
        let txn = &self.txns[&id];
        let pin = self.pin(txn);
        let tier = |ix: ServerIx, server: &Server, on_trial: bool| {
            let tried = txn.attempts.iter().any(|a| a.server == ix);
            match (self.healthy(server), tried) {
                (true, false) => usize::from(on_trial != trial_first),
                (well, again) => 2 + 2 * usize::from(again || on_trial != trial_first) - usize::from(well),
            }
        };
        let mut within: Vec<(Build, bool)> = Vec::new();
        let mut open: BTreeMap<usize, Vec<(ServerIx, f64)>> = BTreeMap::new();
        for (ix, stands_for) in sample {
            let server = &self.servers[&ix];
            let (build, on_trial) = (server.listed.build, self.on_trial(server.listed.build));
            if on_trial && !within.iter().any(|w| w.0 == build) {
                within.push((build, self.within_cap(build, txn.product)));
            }
            if !within.contains(&(build, false)) && self.open_to(server, txn, pin) {
                open.entry(tier(ix, server, on_trial)).or_default().push((ix, stands_for));
            }
        }
        // Well servers of both arms share the first sends, so all of them are a cold one's rivals.
        let tiers = open.iter().map(|(tier, of)| {
            let beside = open.range(tier + 1..2.max(tier + 1)).flat_map(|o| o.1);
            let rivals = of.iter().chain(beside).map(|o| o.1 * self.weight(&self.servers[&o.0])).sum::<f64>();
            let may = of.iter().filter(|o| self.may_warm(&self.servers[&o.0], rivals, 0.0));
            (rivals, may.map(|o| o.0).collect::<Vec<ServerIx>>())
        });
        for (rivals, mut among) in tiers.collect::<Vec<_>>() {
            let Some(found) = self.pick(&among) else { continue };
            let chance = self.chance.generate::<f64>();
            if self.may_warm(&self.servers[&found], rivals, chance) {
                return Some(found);
            }
            among.retain(|ix| self.warmth(&self.servers[ix]) >= 1.0); // a look has one chance at the cold
            if let Some(found) = self.pick(&among) {
                return Some(found);
            }
        }
        None
    }

    fn pick(&mut self, among: &[ServerIx]) -> Option<ServerIx> {
        let (a, b) = (self.any_of(among)?, self.any_of(among)?);
        let busy = |ix| self.servers[&ix].out as f64 / self.weight(&self.servers[&ix]);
        Some(if busy(b) < busy(a) { b } else { a })
    }

    fn place(&mut self, id: TxnId) {
        let Some(txn) = self.txns.get(&id) else { return };
        // No second copy while one runs: where work is not stopped it fills servers that are slow already.
        if txn.answer != Answer::Owed || txn.attempts.iter().any(|a| !a.closed()) {
            return;
        }
        let (product, taken, expiry) = (txn.product, txn.taken, txn.expiry);
        let more = txn.attempts.len() < self.terms.limits.attempts && expiry > self.now;
        let sla = self.rows[product].sla;
        let Some(server) = more.then(|| self.choose(id)).flatten() else {
            if more && self.now + sla * HOLD < expiry.min(taken + sla * PATIENCE) {
                return self.look_again(id, self.now + sla * HOLD);
            }
            return self.give_up(id);
        };
        let Some(to) = self.servers.get_mut(&server) else { return };
        let build = to.listed.build;
        to.out += 1;
        to.owes = to.owes.or(Some(self.now));
        to.sends.push(self.now, ());
        if self.on_trial(build) {
            self.exposed.push(self.now, (product, build));
        }
        let attempt = Attempt { server, build, sent: self.now, standing: Standing::Wanted };
        self.changed.insert(id);
        if let Some(txn) = self.txns.get_mut(&id) {
            txn.attempts.push(attempt);
        }
    }

    fn give_up(&mut self, id: TxnId) {
        let Some(txn) = self.txns.get(&id) else { return };
        let unsent = txn.attempts.is_empty();
        let answer = if self.may_decline(txn) { Answer::Decline } else { Answer::Void };
        if unsent {
            let told = Hearsay { mark: 0, build: 0, product: txn.product, fate: Fate::Unsent, lag: 0.0 };
            self.pass_on(told);
        }
        self.finish(id, answer);
    }

    /// The txn needs nothing more: what is still out is called back, and nothing is due.
    fn finish(&mut self, id: TxnId, answer: Answer) {
        let Some(txn) = self.txns.get_mut(&id).filter(|t| t.answer != Answer::Given) else { return };
        let ran = txn.attempts.iter().any(|a| a.standing == Standing::Closed { may_have_run: true });
        self.unserved += f64::from(answer != Answer::Given || !ran);
        txn.answer = answer;
        if let Some(at) = txn.due.take() {
            self.due.remove(&(at, id));
        }
        for attempt in txn.attempts.iter_mut().filter(|a| a.standing == Standing::Out) {
            if self.terms.limits.recall && answer != Answer::Streaming {
                attempt.standing = Standing::Unwanted;
            }
        }
        self.changed.insert(id);
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
                self.pins.insert(key, build);
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

    // ---- the elimination test and the votes ----

    /// The circle whose test a gateway's outcomes go into, also the number of its speaker.
    fn circle(&self, peer: PeerIx) -> PeerIx {
        peer % if self.terms.limits.tell { CIRCLES.min(self.terms.balancers) } else { self.terms.balancers }
    }

    fn speaks(&self) -> bool {
        self.circle(self.terms.ordinal) == self.terms.ordinal
    }

    /// Guards against gateways that see too little to judge (departure H): the outcomes of a circle of them
    /// go into one test, which its speaker runs; so the players of the page stay few, each with its own txns.
    fn pass_on(&mut self, told: Hearsay) {
        self.note(&told);
        if self.speaks() {
            return self.learn(told);
        }
        self.untold.push(told);
    }

    /// Answer times: each server's pace beside the product's mean; while no build is in question, the usual
    /// ones, by product and model.
    fn note(&mut self, told: &Hearsay) {
        let usual_times = !self.on_trial(told.build) && !self.in_question();
        let served = told.fate == Fate::Ended(Outcome::Served);
        let first = self.shortest_sla() * LEAVE_OUT;
        let server = self.marks.get(&told.mark).and_then(|ix| self.servers.get_mut(ix));
        let (Some(row), Some(server)) = (self.rows.get_mut(told.product), server) else { return };
        let took = row.sla * told.lag;
        self.flow.answered += usize::from(served || told.fate == Fate::Ended(Outcome::Errored));
        if served || told.fate == Fate::Ended(Outcome::TimedOut) {
            server.pace += 3.0 * LEARN * (took.over(row.mean) - server.pace);
        }
        // Guards against dead and quick-failing servers, whatever ails them; a speaker hears of them sooner.
        if let Fate::Ended(
            Outcome::Served | Outcome::Errored | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed,
        ) = told.fate
        {
            server.good += 2.0 * LEARN * (f64::from(served) - server.good);
            if server.good < FAILING {
                server.left_out = self.now + first * f64::powi(2.0, server.strikes.min(3));
                (server.strikes, server.good) = (server.strikes + 1, (1.0 + FAILING) / 2.0);
            } else if served && server.good > 1.0 - LEARN {
                server.strikes = 0;
            }
            if told.fate == Fate::Ended(Outcome::ConnectFailed) {
                server.dead_until = self.now + first * 1.5;
            }
        }
        if served && usual_times {
            let usual = self.usual.entry(server.listed.model).or_insert(1.0);
            *usual += LEARN * LEARN * (took.over(row.mean) - *usual);
            row.mean = row.mean + (took - row.mean) * (LEARN * LEARN);
        }
    }

    /// One outcome of an arm, seen from each side. A cold server is slow whatever its build (departure C),
    /// but what it fails it would fail warm.
    fn learn(&mut self, told: Hearsay) {
        let Some(row) = self.rows.get(told.product) else { return };
        let (build, product, took, mean) = (told.build, told.product, row.sla * told.lag, row.mean);
        let outcome = match told.fate {
            Fate::Ended(outcome) => outcome,
            Fate::Unsent => return self.whole(product, false, false),
            Fate::Complaint => return self.complaint(&told),
        };
        let Some(&ix) = self.marks.get(&told.mark).filter(|_| self.news.is_some()) else { return };
        let Some(server) = self.servers.get(&ix).filter(|_| build <= self.trial.build) else { return };
        let arm = if build == self.trial.build { Arm::Trial } else { Arm::Earlier };
        let (served, failed) = (outcome == Outcome::Served, outcome == Outcome::Errored);
        // An answer is as cold as its server was when it was asked.
        let warmth = self.warmth_at(server, self.now - took);
        let in_time = served && told.lag <= 1.0;
        let paired = self.runs.0 < 1.0;
        let usual = mean * self.usual.get(&server.listed.model).copied().unwrap_or(1.0);
        let quick = served && took <= usual * QUICK / warmth;
        if served || outcome == Outcome::TimedOut {
            self.whole(product, in_time, quick);
        }
        // A connection that was not made says nothing of the build: a new server has none open yet.
        let made = !matches!(outcome, Outcome::Moot | Outcome::ConnectFailed);
        let sides = [
            (Side::InTime, in_time, paired && warmth >= 1.0 && made),
            (Side::Quick, quick, paired && served),
            (Side::Right, true, served && self.terms.release.complaint_share > 0.0),
            (Side::Sound, served, served || failed),
            (Side::SoundAt(product), served, served || failed),
        ];
        for (side, good, _) in sides.into_iter().filter(|s| s.2) {
            self.pay(side, arm, ix, f64::from(good), 1.0);
        }
    }

    /// All service, whatever the build: what was given up on unsent counts too, or shedding would hide a jam.
    /// It says something of a build that runs on enough of the fleet to lower it; till then it is the past.
    /// It is kept by product: what one product waits for at every server is set aside like a bad server.
    fn whole(&mut self, product: ProductIx, in_time: bool, quick: bool) {
        let untouched = !self.in_question() || self.runs.0 < EPSILON;
        let counts = self.now - self.troubled >= self.terms.rules.ramp * 2.0;
        for (side, good) in [(Side::Whole, in_time), (Side::Brisk, quick)] {
            if untouched {
                let before = self.before.entry(side).or_default();
                let keep = if before.count > MEMORY { 0.5 } else { 1.0 };
                *before = Payoff { count: 1.0, sum: f64::from(good) }.with(before, keep);
                let seen = before.count.min(MEMORY / 4.0);
                let fresh = self.lately(self.terms.release.window).fresh as f64;
                self.rate += (fresh - self.rate) / seen;
            } else if counts {
                self.pay(side, Arm::Trial, product, f64::from(good), 1.0);
            }
        }
    }

    /// Guards against wrong answers, which look like any other until a client complains: the answer that paid
    /// pays no more (departure F). A single complaint, which may be mistaken, does not reach the bound.
    fn complaint(&mut self, told: &Hearsay) {
        let judged = self.news.is_some() && told.build <= self.trial.build;
        let Some(&ix) = self.marks.get(&told.mark).filter(|_| judged) else { return };
        let arm = if told.build == self.trial.build { Arm::Trial } else { Arm::Earlier };
        self.pay(Side::Right, arm, ix, -1.0, 0.0);
    }

    /// Whether a new build is about, or was released so lately that its load has just come.
    fn in_question(&self) -> bool {
        let since = self.now - self.phase_from;
        match self.news.as_ref().map(|n| n.phase) {
            Some(Phase::Trial) => true,
            Some(Phase::Released) => self.trial.witnessed && since < self.terms.rules.ramp * 3.0 + FALLBACK,
            Some(_) => self.trial.witnessed && since < self.terms.rules.ramp,
            None => false,
        }
    }

    /// No known cause but the build for worse service: as many servers as ever, warm, none dead, and
    /// no more traffic.
    fn calm(&self) -> bool {
        let alive = |s: &&Server| s.listed.lifecycle == Lifecycle::Ready && self.now >= s.dead_until;
        let warm: f64 = self.servers.values().filter(alive).map(|s| self.warmth(s)).sum();
        let fresh = self.lately(self.terms.release.window).fresh as f64;
        warm >= CALM * self.fleet as f64 && BUSIER * (fresh - fresh.sqrt()) <= self.rate
    }

    fn pay(&mut self, side: Side, arm: Arm, ix: ServerIx, sum: f64, count: f64) {
        let seen = self.trial.payoffs.entry((side, arm)).or_default().entry(ix).or_default();
        seen.count += count;
        seen.sum += sum;
        self.unjudged = true;
    }

    /// An arm's payoffs without those of the quarter of its servers that lost most, if it has others: guards
    /// against quick errors, neighbours or pauses at some servers that would be held against their build
    /// (departure D). A bad build shows on most of its servers. Harms by waiting for more of them to show it.
    fn payoff(&self, side: Side, arm: Arm) -> Payoff {
        let Some(by_server) = self.trial.payoffs.get(&(side, arm)) else { return Payoff::default() };
        // Nor are machines the build's fault that fail most of theirs, where the earlier build has such too.
        let sound = |arm| self.trial.payoffs.get(&(Side::Sound, arm)).into_iter().flatten();
        let wreck = |s: &(&ServerIx, &Payoff)| s.1.sum < s.1.count * (1.0 - FAILING);
        let known = sound(Arm::Earlier).any(|s| wreck(&s)) && !matches!(side, Side::Whole | Side::Brisk);
        let wrecks: BTreeSet<&ServerIx> = sound(arm).filter(|s| known && wreck(s)).map(|s| s.0).collect();
        let all = by_server.keys().all(|ix| wrecks.contains(ix));
        let of = by_server.iter().filter(|s| all || !wrecks.contains(s.0));
        let mut seen: Vec<&Payoff> = of.map(|s| s.1).collect();
        seen.sort_by(|a, b| (b.count - b.sum).total_cmp(&(a.count - a.sum)));
        let aside = if seen.len() > 1 && side != Side::Right { (seen.len() / ASIDE).max(1) } else { 0 };
        seen[aside..].iter().fold(Payoff::default(), |all, p| all.with(p, 1.0))
    }

    /// Elimination between the two builds: KL-Racing in place of the page's bound (departure A). A drop
    /// counts once for each factor of eta that it holds at (departure B), and is held for the stage.
    fn eliminate(&mut self) {
        let sides: BTreeSet<Side> = self.trial.payoffs.keys().map(|k| k.0).collect();
        for side in sides {
            let (before, trial) = (self.before.get(&side).copied(), self.payoff(side, Arm::Trial));
            let earlier = before.unwrap_or_else(|| self.payoff(side, Arm::Earlier));
            // An arm within epsilon of the best is good enough; only pace differs between good builds.
            let near = match side {
                Side::Whole | Side::Brisk => 1.5 * EPSILON, // no arm beside it to share what else goes on
                Side::Quick => EPSILON,
                _ => 0.0,
            };
            self.count(Arm::Trial, self.terms.ordinal, trial.drops_below(&earlier, near));
            if side == Side::InTime {
                self.count(Arm::Earlier, self.terms.ordinal, earlier.drops_below(&trial, near));
            }
        }
    }

    fn count(&mut self, arm: Arm, from: PeerIx, drops: usize) {
        if drops > 0 && from < self.terms.balancers && self.circle(from) == from {
            let held = self.trial.drops[arm as usize].entry(from).or_default();
            *held = drops.max(*held);
        }
    }

    /// Whether the drops of an arm make up part of M, from half the balancers, at least one. Guards against
    /// one gateway in trouble of its own, however sure: where four vote, it makes up half of M at the most.
    fn dropped(&self, arm: Arm, part: f64) -> bool {
        let drops = &self.trial.drops[arm as usize];
        let enough = (DELTA.ln() / ETA.ln()).floor();
        let senders = (CIRCLES.min(self.terms.balancers) / 2).max(1);
        let most = enough / senders.min(2) as f64;
        drops.len() >= senders && drops.values().map(|d| most.min(*d as f64)).sum::<f64>() >= enough * part
    }

    fn stage(&mut self, news: StageNews) {
        if let Some((vote, ..)) = self.cast.filter(|_| news.answers_vote) {
            let (told, all) = (&self.terms.release, self.all_calls());
            let (wait, ballot) = match news.word {
                Word::Valid | Word::Moot => (all.clamp(told.vote_life / 2.0, told.vote_life), Ballot::Stands),
                _ => ((all * (self.chance.generate::<f64>() / 2.0)).max(told.vote_wait / 8.0), Ballot::Due),
            };
            self.cast = Some((vote, self.now + wait, ballot));
        }
        if news.word != Word::Valid {
            return;
        }
        // Guards against stale news, which binds the cap but takes no stage back.
        if (news.build, news.stage) > (self.trial.build, self.trial.stage) {
            let (build, stage, since) = (news.build, news.stage, self.now - news.age);
            // Counts restart each stage; failures, and pace beside the earlier build, stay with it (E).
            let mut payoffs = std::mem::take(&mut self.trial.payoffs);
            payoffs.retain(|(side, _), _| build == self.trial.build && *side >= Side::Quick);
            self.trial = Trial { build, stage, since, payoffs, ..Trial::default() };
        }
        if self.news.as_ref().is_none_or(|n| n.phase != news.phase) {
            self.phase_from = self.now - news.age;
        }
        self.trial.witnessed |= news.phase == Phase::Trial;
        if matches!(news.phase, Phase::GoingBack | Phase::Withdrawn) {
            self.pins.retain(|_, b| *b < news.build);
        }
        self.news = Some(news);
        self.survey();
        self.judge();
    }

    fn mail(&mut self, from: PeerIx, message: Message) {
        match message {
            Message::Drop { build, stage, drops, arm } => {
                if (build, stage) == (self.trial.build, self.trial.stage) && self.news.is_some() {
                    self.count(arm, from, drops);
                    self.judge();
                }
            }
            Message::Paces { shed, paces } if from == self.circle(self.terms.ordinal) => {
                self.shed = shed.min(1.0 - LEARN);
                let rest = self.shortest_sla() * LEAVE_OUT;
                self.servers.values_mut().for_each(|s| s.pace = s.pace.min(1.0));
                for (mark, pace) in paces {
                    let server = self.marks.get(&mark).and_then(|ix| self.servers.get_mut(ix));
                    let Some(server) = server else { continue };
                    if pace < LOST {
                        server.pace = pace;
                    } else {
                        server.left_out = server.left_out.max(self.now + rest);
                    }
                }
            }
            Message::Paces { .. } => {}
            Message::Fates { taken, fresh, open, fates } => {
                self.flow.taken += taken;
                self.flow.fresh += fresh;
                let before = self.members.get(&from).filter(|m| self.now - m.told < self.shortest_sla());
                let since = before.map_or(self.now, |m| m.since);
                self.members.insert(from, Member { since, told: self.now, open });
                for told in fates {
                    // Guards against a server id used again: the build told must be the one listed.
                    let server = self.marks.get(&told.mark).and_then(|ix| self.servers.get(ix));
                    let listed = server.map(|s| s.listed.build).filter(|b| b & 63 == told.build);
                    let Some(build) = listed.or((told.fate == Fate::Unsent).then_some(0)) else { continue };
                    let told = Hearsay { build, ..told };
                    self.note(&told);
                    self.learn(told);
                }
            }
        }
    }

    /// What to vote now: M trial drops back, M earlier drops on; hold at half under the clock; else on after
    /// the fallback wait where votes move the rollout.
    fn judge(&mut self) {
        self.vote = None;
        let on = |n: &&StageNews| matches!(n.phase, Phase::Trial | Phase::Released);
        let Some(news) = self.news.as_ref().filter(on) else { return };
        let (build, stage) = (self.trial.build, self.trial.stage);
        let back = self.dropped(Arm::Trial, 1.0);
        if back || news.phase == Phase::Released {
            return self.vote = back.then_some((build, stage, Verdict::Back));
        }
        if self.terms.release.control == Control::Clock {
            let half = self.dropped(Arm::Trial, 0.5);
            let from = *self.trial.held_from.get_or_insert(self.now);
            if half && self.now - from < FALLBACK {
                self.vote = Some((build, stage, Verdict::Hold));
            } else if !half {
                self.trial.held_from = None;
            }
            return;
        }
        let on = self.dropped(Arm::Earlier, 1.0) || self.waited_out();
        self.vote = on.then_some((build, stage, Verdict::On));
    }

    /// Whether the fallback wait after the start of the stage's newest machine is over.
    fn waited_out(&self) -> bool {
        let (_, ours, newest) = self.runs;
        let step = self.terms.release.steps.get(self.trial.stage).copied().unwrap_or(1.0);
        let all = ours as f64 >= (step * self.fleet as f64).floor().max(1.0) * COLD_PART;
        let since = newest.unwrap_or_default().max(self.trial.since);
        self.now - since >= FALLBACK * if all { 1.0 } else { 3.0 }
    }

    // ---- periodic work and output ----

    /// Our submissions that may yet be answered: at servers that are not silent.
    fn open(&self) -> usize {
        self.servers.values().filter(|s| s.out > 0 && self.healthy(s)).map(|s| s.out).sum()
    }

    /// Guards against a jam that no gateway sees in time, and against giving up on txns long after it: the
    /// circle's open submissions over its answers say at once how long the servers' queues are. While that is
    /// long, a part of as many txns as are answered is let in, lowered once in an SLA time, as it takes that
    /// long to show; else more at each beat. A member that hears no more lets all in again. The limits at
    /// servers do this for circles of one. Harms where servers are slow by nature, near half the SLA time.
    fn crowd(&mut self) {
        let (sla, mut room) = (self.shortest_sla(), 1.0);
        if self.speaks() && self.terms.balancers > CIRCLES {
            let flow = self.lately(sla);
            // Whoever began to tell just now has open what it was not heard to be answered.
            let known = self.members.values().filter(|m| self.now - m.since > sla * 1.5);
            let told = known.filter(|m| self.now - m.told < sla).map(|m| m.open);
            let (open, most) = ((told.sum::<usize>() + self.open()) as f64, QUEUE * flow.answered as f64);
            room = 1.0 - open / (most + 2.0 * most.sqrt() + FIRST_OUTCOMES / 4.0);
            if room < 0.0 && self.now - self.lowered >= sla {
                self.lowered = self.now;
                let borne = flow.answered as f64 / flow.taken.max(1) as f64;
                self.shed = (1.0 - SPARE * borne / (1.0 - room)).clamp(self.shed, 1.0 - LEARN);
            }
        }
        self.shed = (1.0 - (1.0 - self.shed) * (1.0 + GROWTH * room.max(0.0))).max(0.0);
    }

    /// Guards against a zone that is lost or cut off, which a gateway of little traffic would find silent one
    /// server at a time: what its servers owe counts together, a connection not made like three mean answer
    /// times, from the last word of any of them on. A silent zone is left out for doubling spans. Harms by
    /// leaving out a zone most of whose servers are dead.
    fn listen(&mut self) {
        let mean = self.rows.iter().map(|r| r.mean).max().unwrap_or(Span::ZERO);
        let (now, first) = (self.now, self.shortest_sla() * LEAVE_OUT);
        for zone in self.zones.values_mut() {
            zone.owed = zone.failed * (SILENCE - 1.0);
        }
        for server in self.servers.values().filter(|s| s.owes.is_some()) {
            let zone = self.zones.entry(server.listed.zone).or_default();
            let since = server.owes.unwrap_or(now).max(zone.heard);
            zone.owed += (now - since).over(mean);
        }
        for zone in self.zones.values_mut().filter(|z| z.owed > DEAF && now >= z.left_out) {
            zone.left_out = now + first * f64::powi(2.0, zone.strikes.min(3));
            (zone.strikes, zone.failed) = (zone.strikes + 1, 0.0);
        }
    }

    /// The part of a product's txns that is given up on: those of the least revenue go first.
    fn shed_of(&self, product: ProductIx) -> f64 {
        let revenue = |of: ProductIx| self.terms.products[of].revenue;
        let share = |of: &dyn Fn(f64) -> bool| -> f64 {
            let rows = self.rows.iter().enumerate().filter(|r| of(revenue(r.0)));
            rows.map(|r| r.1.share).sum()
        };
        let (below, level) = (share(&|r| r < revenue(product)), share(&|r| r == revenue(product)));
        ((self.shed - below * (1.0 - LEARN)) / level.max(LEARN * LEARN)).clamp(0.0, 1.0 - LEARN)
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

    /// How long the platform takes to accept a call from every gateway.
    fn all_calls(&self) -> Span {
        Span::secs(self.terms.balancers as f64 / self.terms.release.votes_a_second.max(1.0))
    }

    /// Guards against a platform that turns most votes away: where hundreds of gateways want one at a time,
    /// those let in first would take up all that it accepts by renewing theirs, and the rest never stand. So
    /// each takes its turn by chance, as many at once as it lets in after a rest (what it accepts in two
    /// seconds) and twice what it accepts from then on; and a vote that stands is renewed the later the more
    /// gateways there are. Harms by half of the calls being turned away while a large fleet wants to vote.
    fn emit_vote(&mut self, out: &mut Vec<Action>) {
        let wanted = match (self.vote, self.cast) {
            (Some(vote), _) => vote,
            // A hold that is over is taken away; other votes lapse with their stage.
            (None, Some(((build, stage, Verdict::Hold), _, _))) => (build, stage, Verdict::Withdraw),
            _ => return,
        };
        if self.cast.is_none_or(|c| c.0 != wanted) {
            let turn = self.all_calls() * (self.chance.generate::<f64>() / 2.0) - Span::secs(1.0);
            self.cast = Some((wanted, self.now + turn.max(Span::ZERO), Ballot::Due));
        }
        let Some((_, due, ballot)) = &mut self.cast else { return };
        if self.now < *due || (*ballot == Ballot::Stands && wanted.2 == Verdict::Withdraw) {
            return;
        }
        (*due, *ballot) = (self.now + self.terms.release.vote_wait + self.terms.tick, Ballot::Due);
        let (build, stage, verdict) = wanted;
        out.push(Action::Vote { build, stage, verdict });
    }

    /// Guards against servers that slow down or fail unseen, as each of many gateways meets one seldom: the
    /// speaker tells its circle the slowest, whom the odds by weight spare, and those left out (departure H).
    fn emit_paces(&mut self, out: &mut Vec<Action>) {
        let (since, pulse) = (self.now - self.paces_told, self.shortest_sla() * PULSE);
        if since < pulse || !self.terms.limits.tell || !self.speaks() {
            return;
        }
        let ready = self.servers.values().filter(|s| s.listed.lifecycle == Lifecycle::Ready);
        let left_out = |s: &Server| self.now < s.left_out;
        let paces = ready.map(|s| (s.listed.mark, if left_out(s) { LOST } else { s.pace }));
        let mut slow: Vec<(u16, f64)> = paces.filter(|p| p.1 > 1.0 + EPSILON).collect();
        let lost = slow.iter().filter(|p| p.1 >= LOST).count();
        if self.shed == 0.0 && lost <= self.lost_told && since < RETELL * 2.0 {
            return;
        }
        slow.sort_by(|a, b| b.1.total_cmp(&a.1));
        slow.truncate(MOST_PACES);
        let message = Message::Paces { shed: self.shed, paces: slow };
        let circle = (0..self.terms.balancers).filter(|p| *p != self.terms.ordinal);
        let circle = circle.filter(|p| self.circle(*p) == self.terms.ordinal);
        out.extend(circle.map(|p| Action::Tell { to: Some(p), message: message.clone() }));
        (self.paces_told, self.lost_told) = (self.now, lost);
    }

    fn emit_bits(&mut self, out: &mut Vec<Action>) {
        let due = self.now - self.passed_on >= self.shortest_sla() * PULSE;
        if due || self.untold.len() >= MOST_FATES {
            self.passed_on = self.now;
            let Flow { mut taken, mut fresh, .. } = self.flow;
            let (flow, open) = (std::mem::take(&mut self.flow), self.open());
            if self.speaks() {
                self.heard.push(self.now, flow);
            } else if taken + open + self.untold.len() > 0 {
                let untold = std::mem::take(&mut self.untold);
                let mut parts: Vec<Vec<Hearsay>> = untold.chunks(MOST_FATES).map(<[_]>::to_vec).collect();
                parts.resize(parts.len().max(1), Vec::new());
                for fates in parts {
                    let message = Message::Fates { taken, fresh, open, fates };
                    out.push(Action::Tell { to: Some(self.circle(self.terms.ordinal)), message });
                    (taken, fresh) = (0, 0);
                }
            }
        }
        let recently = self.trial.told.is_some_and(|at| self.now - at < RETELL);
        if !self.terms.limits.tell || self.terms.balancers < 2 || recently {
            return;
        }
        let (build, stage) = (self.trial.build, self.trial.stage);
        for arm in [Arm::Trial, Arm::Earlier] {
            if let Some(drops) = self.trial.drops[arm as usize].get(&self.terms.ordinal) {
                self.trial.told = Some(self.now);
                let message = Message::Drop { build, stage, drops: *drops, arm };
                out.push(Action::Tell { to: None, message });
            }
        }
    }

    fn emit_watch(&mut self, out: &mut Vec<Action>) {
        let within = self.terms.rules.ask_within;
        if self.terms.discovery == Discovery::Pushed {
            return;
        }
        let ask = match self.watch {
            Watch::Never => true,
            Watch::Standing => return,
            Watch::Asked(at) => self.now - at >= within / 2.0,
            Watch::Failed(at) => self.now - at >= within / 8.0,
        };
        if ask {
            self.watch = Watch::Asked(self.now);
            out.push(Action::Listen);
        }
    }
}
