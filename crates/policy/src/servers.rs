//! Which servers there are, how warm and well each is, and what it may be sent.

use super::*;

impl Gateway {
    pub(super) fn roster(&mut self, scope: Scope, lines: Vec<Listed>) {
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
            let (held, started) = (self.servers.get_mut(&line.server), line.age.map(|a| self.now - a));
            let out = held.as_ref().map_or(0, |s| s.out);
            if let Some(same) = held.filter(|s| s.listed.build == line.build && s.started == started) {
                same.listed = line;
                continue;
            }
            // Guards against filling a new build's machines of a slow model, which have not shown it yet.
            let pace = self.usual.get(&line.model).map_or(1.0, |usual| usual.max(1.0));
            let fresh = Server { listed: line, started, out, pace, ..Server::default() };
            let fresh = Server { limit: FIRST_LIMIT, good: 1.0, dither: self.chance.generate(), ..fresh };
            self.marks.insert(fresh.listed.mark, fresh.listed.server);
            self.servers.insert(fresh.listed.server, fresh);
        }
        self.survey();
    }

    /// What each txn or message needs of the list, so that none walks it.
    pub(super) fn survey(&mut self) {
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
        self.fleet = of_build.into_values().fold(self.fleet, usize::max);
    }

    /// How many servers of an arm this gateway keeps to: as many as its traffic uses a connection to often
    /// before it would be closed. Guards against hundreds of gateways that each open connections to every
    /// server, and meet each too seldom to know it. Harms by uneven loads where few have most traffic.
    pub(super) fn kept(&self, arm: usize) -> usize {
        let part = self.terms.limits.idle.over(self.terms.release.window) / USES;
        ((self.taken.len() as f64 * part) as usize).max(SAMPLE).min(self.arms[arm].len())
    }

    /// The part of its capacity that a server has by now, at the least.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        self.warmth_at(server, self.now)
    }

    pub(super) fn warmth_at(&self, server: &Server, at: Point) -> f64 {
        let Some(started) = server.started else { return 1.0 };
        let (from, age) = (self.terms.rules.cold_from, at - started);
        (from + (1.0 - from) * age.over(self.terms.rules.ramp)).min(1.0)
    }

    /// Guards against pushing a cold server over: our share of what may go there within the stated time is
    /// what an average server answers us, times the part of that multiple that all gateways may use. Answers
    /// are counted, not txns taken: client retries multiply those, but no server answers more than it can.
    /// A gateway whose share is less than one submission in that time takes its chance, not a count: its
    /// share, over what it would send there if each look ended at one of the rivals by weight.
    pub(super) fn may_warm(&self, server: &Server, rivals: f64, chance: f64) -> bool {
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
    pub(super) fn healthy(&self, server: &Server) -> bool {
        let mean = self.rows.iter().map(|r| r.mean).max().unwrap_or(Span::ZERO);
        let judged = self.on_trial(server.listed.build) && !self.dropped(Arm::Trial, 1.0);
        (judged || self.now >= server.left_out)
            && self.zones.get(&server.listed.zone).is_none_or(|z| self.now >= z.left_out)
            && server.owes.is_none_or(|since| self.now - since < mean * SILENCE)
    }

    /// What part of the txns a server bears, beside one that is warm and of the usual pace.
    pub(super) fn weight(&self, server: &Server) -> f64 {
        self.warmth(server) / server.pace.max(LEARN)
    }

    /// Guards against a zone that is lost or cut off, which a gateway of little traffic would find silent one
    /// server at a time: what its servers owe counts together, a connection not made like three mean answer
    /// times, from the last word of any on. A silent zone is left out for doubling spans if another is not
    /// (else its silent servers rank like live ones). Harms by leaving out a zone with few live servers.
    pub(super) fn listen(&mut self) {
        let mean = self.rows.iter().map(|r| r.mean).max().unwrap_or(Span::ZERO);
        let (now, first) = (self.now, self.shortest_sla() * LEAVE_OUT);
        self.zones.values_mut().for_each(|z| z.owed = z.failed * (SILENCE - 1.0));
        for server in self.servers.values().filter(|s| s.owes.is_some()) {
            let zone = self.zones.entry(server.listed.zone).or_default();
            zone.owed += (now - server.owes.unwrap_or(now).max(zone.heard)).over(mean);
        }
        let other = self.zones.values().any(|z| z.owed <= DEAF && now >= z.left_out);
        for zone in self.zones.values_mut().filter(|z| other && z.owed > DEAF && now >= z.left_out) {
            zone.left_out = now + first * f64::powi(2.0, zone.strikes.min(3));
            (zone.strikes, zone.failed, self.cut) = (zone.strikes + 1, 0.0, zone.left_out);
        }
    }

    pub(super) fn emit_watch(&mut self, out: &mut Vec<Action>) {
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
