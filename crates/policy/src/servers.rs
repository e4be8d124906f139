//! Which endpoints there are, how warm and well each is, and what it may be sent.

use super::*;

impl Gateway {
    pub(super) fn roster(&mut self, kind: UpdateKind, lines: Vec<EndpointRecord>) {
        match (kind, self.watch) {
            (UpdateKind::Failed, _) => return self.watch = Watch::Failed(self.now),
            (UpdateKind::Delta | UpdateKind::Snapshot, Watch::Asked(_)) => {
                self.watch = Watch::Standing
            }
            _ => {}
        }
        for endpoint in self
            .endpoints
            .values_mut()
            .filter(|s| s.listed.lifecycle != Lifecycle::Removed)
        {
            endpoint.seen = self.now;
            if kind != UpdateKind::Delta {
                endpoint.listed.lifecycle = Lifecycle::Removed;
            }
        }
        for line in lines {
            let (held, started) = (
                self.endpoints.get_mut(&line.endpoint),
                line.age.map(|a| self.now - a),
            );
            let out = held.as_ref().map_or(0, |s| s.out);
            if let Some(same) =
                held.filter(|s| s.listed.build == line.build && s.started == started)
            {
                same.listed = line;
                continue;
            }
            // Guards against filling a new build's machines of a slow model, which have not shown it yet.
            let pace = self
                .usual
                .get(&line.model)
                .map_or(1.0, |usual| usual.max(1.0));
            let fresh = Endpoint {
                listed: line,
                started,
                out,
                pace,
                ..Endpoint::default()
            };
            let fresh = Endpoint {
                limit: FIRST_LIMIT,
                good: 1.0,
                dither: self.chance.generate(),
                ..fresh
            };
            self.gossip_ids
                .insert(fresh.listed.gossip_id, fresh.listed.endpoint);
            self.endpoints.insert(fresh.listed.endpoint, fresh);
        }
        self.survey();
    }

    /// What each request or message needs of the list, so that none walks it.
    pub(super) fn survey(&mut self) {
        // The fleet's places: while a build comes in, both may run on one place for a while.
        let mut of_build: BTreeMap<BuildId, usize> = BTreeMap::new();
        let (mut arms, mut newest) = ([Vec::new(), Vec::new()], None);
        for (ix, endpoint) in self
            .endpoints
            .iter()
            .filter(|(_, s)| s.listed.lifecycle == Lifecycle::Ready)
        {
            let build = endpoint.listed.build;
            *of_build.entry(build).or_default() += 1;
            arms[usize::from(self.on_trial(build))].push(*ix);
            if build == self.trial.build {
                newest = newest.max(endpoint.started);
            }
        }
        // Each gateway begins elsewhere in the same order, so that the few each keeps to are spread evenly.
        let begins = (self.parameters.local_peer.0 as f64 * GOLDEN).fract();
        for arm in &mut arms {
            arm.sort_by_key(|ix| self.endpoints[ix].listed.gossip_id);
            let at = (begins * arm.len() as f64) as usize;
            arm.rotate_left(at);
        }
        let ready = (arms[0].len() + arms[1].len()).max(1) as f64;
        let on: usize = of_build
            .iter()
            .filter(|(b, _)| **b >= self.trial.build)
            .map(|b| b.1)
            .sum();
        self.runs = (
            on as f64 / ready,
            of_build.get(&self.trial.build).copied().unwrap_or(0),
            newest,
        );
        self.arms = arms;
        self.fleet = of_build.into_values().fold(self.fleet, usize::max);
    }

    /// How many endpoints of an arm this gateway keeps to: as many as its traffic uses a connection to often
    /// before it would be closed. Guards against hundreds of gateways that each open connections to every
    /// endpoint, and meet each too seldom to know it. Harms by uneven loads where few have most traffic.
    pub(super) fn kept(&self, arm: usize) -> usize {
        let part = self
            .parameters
            .limits
            .idle_timeout
            .ratio_to(self.parameters.rollout.exposure_window)
            / USES;
        ((self.taken.len() as f64 * part) as usize)
            .max(SAMPLE)
            .min(self.arms[arm].len())
    }

    /// The part of its capacity that a endpoint has by now, at the least.
    pub(super) fn warmth(&self, endpoint: &Endpoint) -> f64 {
        self.warmth_at(endpoint, self.now)
    }

    pub(super) fn warmth_at(&self, endpoint: &Endpoint, at: Timestamp) -> f64 {
        let Some(started) = endpoint.started else {
            return 1.0;
        };
        let (from, age) = (self.parameters.safety.initial_capacity_ratio, at - started);
        (from + (1.0 - from) * age.ratio_to(self.parameters.safety.slow_start_window)).min(1.0)
    }

    /// Guards against pushing a cold endpoint over: our share of what may go there within the stated time is
    /// what an average endpoint answers us, times the part of that multiple that all gateways may use. Answers
    /// are counted, not requests taken: client retries multiply those, but no endpoint answers more than it can.
    /// A gateway whose share is less than one attempt in that time takes its chance, not a count: its
    /// share, over what it would send there if each look ended at one of the rivals by weight.
    pub(super) fn may_warm(&self, endpoint: &Endpoint, rivals: f64, chance: f64) -> bool {
        let warmth = self.warmth(endpoint);
        if warmth >= 1.0 {
            return true;
        }
        let rules = &self.parameters.safety;
        let part = rules
            .overload_window
            .ratio_to(self.parameters.rollout.exposure_window);
        let most = COLD_PART * rules.overload_multiple * warmth * part * self.served.len() as f64;
        let arm = usize::from(self.on_trial(endpoint.listed.build));
        let (most, all) = (most / self.fleet.max(1) as f64, self.arms[arm].len() as f64);
        let sent = endpoint
            .sends
            .count(self.now - rules.overload_window, |_| true);
        // The fewer keep to each endpoint, the more each of them may send there.
        let counted = most * all / self.kept(arm).max(1) as f64;
        if counted >= 1.0 {
            return sent < (counted + endpoint.dither).floor();
        }
        sent < 1.0
            && chance * (self.looks.len() as f64 + 1.0) * part * self.weight(endpoint)
                < most * rivals
    }

    /// A failing endpoint is left out, but for one of a build whose drop is not settled (departure G): a build
    /// that fails everything would else give too few outcomes to be dropped, and the fallback move it on.
    pub(super) fn healthy(&self, endpoint: &Endpoint) -> bool {
        let mean = self
            .rows
            .iter()
            .map(|r| r.mean)
            .max()
            .unwrap_or(TimeDelta::ZERO);
        let judged = self.on_trial(endpoint.listed.build) && !self.dropped(Arm::Canary, 1.0);
        (judged || self.now >= endpoint.left_out)
            && self
                .zones
                .get(&endpoint.listed.zone)
                .is_none_or(|z| self.now >= z.left_out)
            && endpoint
                .owes
                .is_none_or(|since| self.now - since < mean * SILENCE)
    }

    /// What part of the requests a endpoint bears, beside one that is warm and of the usual pace.
    pub(super) fn weight(&self, endpoint: &Endpoint) -> f64 {
        self.warmth(endpoint) / endpoint.pace.max(LEARN)
    }

    /// Guards against a zone that is lost or cut off, which a gateway of little traffic would find silent one
    /// endpoint at a time: what its endpoints owe counts together, a connection not made like three mean answer
    /// times, from the last word of any on. A silent zone is left out for doubling spans if another is not
    /// (else its silent endpoints rank like live ones). Harms by leaving out a zone with few live endpoints.
    pub(super) fn listen(&mut self) {
        let mean = self
            .rows
            .iter()
            .map(|r| r.mean)
            .max()
            .unwrap_or(TimeDelta::ZERO);
        let (now, first) = (self.now, self.shortest_latency_objective() * LEAVE_OUT);
        self.zones
            .values_mut()
            .for_each(|z| z.owed = z.failed * (SILENCE - 1.0));
        for endpoint in self.endpoints.values().filter(|s| s.owes.is_some()) {
            let zone = self.zones.entry(endpoint.listed.zone).or_default();
            zone.owed += (now - endpoint.owes.unwrap_or(now).max(zone.heard)).ratio_to(mean);
        }
        let other = self
            .zones
            .values()
            .any(|z| z.owed <= DEAF && now >= z.left_out);
        for zone in self
            .zones
            .values_mut()
            .filter(|z| other && z.owed > DEAF && now >= z.left_out)
        {
            zone.left_out = now + first * f64::powi(2.0, zone.strikes.min(3));
            (zone.strikes, zone.failed, self.cut) = (zone.strikes + 1, 0.0, zone.left_out);
        }
    }

    pub(super) fn emit_watch(&mut self, out: &mut Vec<Action>) {
        let within = self.parameters.safety.max_poll_interval;
        if self.parameters.discovery_mode == DiscoveryMode::Push {
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
            out.push(Action::WatchEndpoints);
        }
    }
}
