//! Where a txn goes: the builds that it may go to, the server, its repeats, and giving up.

use super::*;

impl Gateway {
    pub(super) fn on_trial(&self, build: Build) -> bool {
        match &self.news {
            Some(news) => build > news.build || (build == news.build && news.phase != Phase::Released),
            None => self.servers.values().any(|s| s.listed.build < build),
        }
    }

    /// Guards the exposure cap: one more submission must fit the window that ends now, and a tick beside it.
    fn within_cap(&self, build: Build, product: ProductIx) -> bool {
        let told = &self.terms.release;
        let cap = self.cap_of(build);
        if cap <= 0.0 {
            return false;
        }
        let counts = |p: ProductIx| told.counting == Counting::Together || p == product;
        let (edge, tick) = (self.now - told.window, self.terms.tick);
        let sent = self.exposed.count(edge - tick - tick, |(p, b)| *b == build && counts(*p));
        sent + 1.0 <= told.free + cap * self.taken.count(edge + tick, |p| counts(*p))
    }

    /// Whether an attempt counted from `since` on may arrive only now; then it counts from now on. Guards the
    /// exposure cap, which counts what arrives, against connections that come up late, many at once.
    pub fn arrives(&mut self, now: Point, since: Point, product: ProductIx, build: Build) -> bool {
        self.now = now;
        self.exposed.take_back(since, &(product, build));
        let on_trial = self.on_trial(build);
        let room = !on_trial || self.within_cap(build, product);
        if on_trial && room {
            self.exposed.push(now, (product, build));
        }
        room
    }

    /// The build that a key stays with: one that has answered it, or whose answer may be on its way by now.
    pub fn pin_of(&self, key: Key) -> Build {
        if !self.terms.release.one_way {
            return 0;
        }
        let same = self.txns.values().filter(|t| t.key == Some(key)).flat_map(|t| &t.attempts);
        let back = self.news.as_ref().filter(|n| matches!(n.phase, Phase::GoingBack | Phase::Withdrawn));
        let back = back.map(|n| n.build);
        let out = same.filter(|a| !a.closed() && Some(a.build) != back).map(|a| a.build).max();
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

    pub(super) fn txn(&mut self, id: TxnId, product: ProductIx, key: Option<Key>, left: Span, again: bool) {
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
        let pin = key.map_or(0, |key| self.pin_of(key));
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
        let pin = txn.key.map_or(0, |key| self.pin_of(key));
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

    /// Of several servers one, with odds by weight. Guards against hundreds of gateways that hold nothing and
    /// rank alike: the one that all think least busy would get twice what the others do.
    fn any_of(&mut self, among: &[ServerIx]) -> Option<ServerIx> {
        let weights: Vec<f64> = among.iter().map(|ix| self.weight(&self.servers[ix])).collect();
        let mut left = self.chance.generate::<f64>() * weights.iter().sum::<f64>();
        let at = weights.iter().position(|w| (left -= w, left < 0.0).1);
        among.get(at.unwrap_or(0)).copied()
    }

    fn pick(&mut self, among: &[ServerIx]) -> Option<ServerIx> {
        let (a, b) = (self.any_of(among)?, self.any_of(among)?);
        let busy = |ix| self.servers[&ix].out as f64 / self.weight(&self.servers[&ix]);
        Some(if busy(b) < busy(a) { b } else { a })
    }

    pub(super) fn place(&mut self, id: TxnId) {
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
    pub(super) fn finish(&mut self, id: TxnId, answer: Answer) {
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
}
