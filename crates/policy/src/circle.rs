//! What gateways tell each other: fates to a speaker, paces and shedding back, and how a jam is seen in them.

use super::*;

impl Gateway {
    /// The circle whose test a gateway's outcomes go into, also the number of its speaker.
    pub(super) fn circle(&self, peer: PeerIx) -> PeerIx {
        peer % if self.terms.limits.tell { CIRCLES.min(self.terms.balancers) } else { self.terms.balancers }
    }

    pub(super) fn speaks(&self) -> bool {
        self.circle(self.terms.ordinal) == self.terms.ordinal
    }

    /// Guards against gateways that see too little to judge (departure H): the outcomes of a circle of them
    /// go into one test, which its speaker runs; so the players of the page stay few, each with its own txns.
    pub(super) fn pass_on(&mut self, told: Hearsay) {
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

    pub(super) fn mail(&mut self, from: PeerIx, message: Message) {
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

    /// Our submissions that may yet be answered: at servers that are not silent; at silent ones too where no
    /// other gateway tells of them, as a jam silences all that one meets.
    fn open(&self) -> usize {
        let cut = |s: &Server| self.zones.get(&s.listed.zone).is_some_and(|z| self.now < z.left_out);
        let alone = |s: &Server| !self.terms.limits.tell && self.now >= s.left_out && !cut(s);
        self.servers.values().filter(|s| alone(s) || self.healthy(s)).map(|s| s.out).sum()
    }

    /// Guards against a jam that no gateway sees in time, and against giving up on txns long after it: the
    /// circle's open submissions over its answers say at once how long the servers' queues are. While that is
    /// long, a part of as many txns as are answered is let in, lowered once in an SLA time, as it takes that
    /// long to show; else more at each beat. A member that hears no more lets all in again. The limits at
    /// servers do this for circles of one. Harms where servers are slow by nature, near half the SLA time.
    pub(super) fn crowd(&mut self) {
        let (sla, mut room) = (self.shortest_sla(), 1.0);
        if self.speaks() && self.terms.balancers > CIRCLES {
            let flow = self.lately(sla);
            // Whoever began to tell just now has open what it was not heard to be answered.
            let known = self.members.values().filter(|m| self.now - m.since > sla * 1.5);
            let told = known.filter(|m| self.now - m.told < sla).map(|m| m.open);
            let (open, most) = ((told.sum::<usize>() + self.open()) as f64, QUEUE * flow.answered as f64);
            room = 1.0 - open / (most + 2.0 * most.sqrt() + FIRST_OUTCOMES / 4.0);
            if room < 0.0 && self.now - self.lowered >= sla && self.heard_for(sla) {
                self.lowered = self.now;
                let borne = flow.answered as f64 / flow.taken.max(1) as f64;
                self.shed = (1.0 - SPARE * borne / (1.0 - room)).clamp(self.shed, 1.0 - LEARN);
            }
        }
        self.shed = (1.0 - (1.0 - self.shed) * (1.0 + GROWTH * room.max(0.0))).max(0.0);
    }

    /// The part of a product's txns that is given up on: those of the least revenue go first.
    pub(super) fn shed_of(&self, product: ProductIx) -> f64 {
        let revenue = |of: ProductIx| self.terms.products[of].revenue;
        let share = |of: &dyn Fn(f64) -> bool| -> f64 {
            let rows = self.rows.iter().enumerate().filter(|r| of(revenue(r.0)));
            rows.map(|r| r.1.share).sum()
        };
        let (below, level) = (share(&|r| r < revenue(product)), share(&|r| r == revenue(product)));
        ((self.shed - below * (1.0 - LEARN)) / level.max(LEARN * LEARN)).clamp(0.0, 1.0 - LEARN)
    }

    pub(super) fn emit_bits(&mut self, out: &mut Vec<Action>) {
        let due = self.now - self.passed_on >= self.shortest_sla() * PULSE;
        if due || self.untold.len() >= MOST_FATES {
            self.passed_on = self.now;
            let Flow { mut taken, mut fresh, .. } = self.flow;
            let (flow, open) = (std::mem::take(&mut self.flow), self.open());
            if self.speaks() {
                self.hear_flow(flow);
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

    /// Guards against servers that slow down or fail unseen, as each of many gateways meets one seldom: the
    /// speaker tells its circle the slowest, whom the odds by weight spare, and those left out (departure H).
    pub(super) fn emit_paces(&mut self, out: &mut Vec<Action>) {
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
}
