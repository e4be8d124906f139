//! Where a request goes: the builds that it may go to, the endpoint, its repeats, and giving up.

use super::*;

impl Gateway {
    pub(super) fn on_trial(&self, build: BuildId) -> bool {
        match &self.news {
            Some(news) => {
                build > news.build || (build == news.build && news.phase != RolloutPhase::Released)
            }
            None => self.endpoints.values().any(|s| s.listed.build < build),
        }
    }

    /// Guards the exposure cap: one more attempt must fit the window that ends now, and a tick beside it.
    fn within_cap(&self, build: BuildId, class: ClassId) -> bool {
        let told = &self.parameters.rollout;
        let exposure_limit = self.cap_of(build);
        if exposure_limit <= 0.0 {
            return false;
        }
        let counts =
            |p: ClassId| told.exposure_counting == ExposureCounting::Combined || p == class;
        let (edge, tick) = (self.now - told.exposure_window, self.parameters.tick);
        let sent = self
            .exposed
            .count(edge - tick - tick, |(p, b)| *b == build && counts(*p));
        sent + 1.0
            <= told.exposure_allowance
                + exposure_limit * self.taken.count(edge + tick, |p| counts(*p))
    }

    /// Whether an attempt counted from `since` on may arrive only now; then it counts from now on. Guards the
    /// exposure cap, which counts what arrives, against connections that come up late, many at once.
    pub fn arrives(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        class: ClassId,
        build: BuildId,
    ) -> bool {
        self.now = now;
        self.exposed.take_back(since, &(class, build));
        let on_trial = self.on_trial(build);
        let room = !on_trial || self.within_cap(build, class);
        if on_trial && room {
            self.exposed.push(now, (class, build));
        }
        room
    }

    /// The build that a key stays with: one that has answered it, or whose answer may be on its way by now.
    pub fn pin_of(&self, key: AffinityKey) -> BuildId {
        if !self.parameters.rollout.monotonic_versions {
            return BuildId(0);
        }
        let same = self
            .requests
            .values()
            .filter(|t| t.key == Some(key))
            .flat_map(|t| &t.attempts);
        let back = self.news.as_ref().filter(|n| {
            matches!(
                n.phase,
                RolloutPhase::RollingBack | RolloutPhase::RolledBack
            )
        });
        let back = back.map(|n| n.build);
        let out = same
            .filter(|a| !a.closed() && Some(a.build) != back)
            .map(|a| a.build)
            .max();
        out.max(self.pins.get(&key).copied()).unwrap_or(BuildId(0))
    }

    fn open_to(&self, endpoint: &Endpoint, request: &Txn, pin: BuildId) -> bool {
        let build = endpoint.listed.build;
        let on_trial = self.on_trial(build);
        let row = &self.rows[request.class.0];
        let guarded = on_trial
            && self
                .news
                .as_ref()
                .filter(|n| n.build == build)
                .map_or(0, |n| n.stage)
                < self.parameters.rollout.guarded_stages
            && row.retry_safety != RetrySafety::Idempotent;
        endpoint.listed.lifecycle == Lifecycle::Ready
            && build >= pin
            && !guarded
            && ((endpoint.out + endpoint.ghosts.len()) as f64) < endpoint.limit
            && self.now >= endpoint.shut
            && self.may_repeat_at(endpoint, request)
    }

    pub(super) fn request(
        &mut self,
        id: RequestId,
        class: ClassId,
        key: Option<AffinityKey>,
        left: TimeDelta,
        is_client_retry: bool,
    ) {
        self.taken.push(self.now, class);
        // Guards against taking retries for more traffic: unmarked, each request not served comes back once.
        let is_client_retry = if self.parameters.clients_mark_retries {
            is_client_retry
        } else {
            self.unserved >= 1.0
        };
        self.flow.taken += 1;
        self.flow.fresh += usize::from(!is_client_retry);
        for (of, row) in self.rows.iter_mut().enumerate() {
            row.share += LEARN * LEARN * (f64::from(of == class.0) - row.share);
        }
        self.unserved = (self.unserved - 1.0).max(0.0);
        let (taken, deadline, attempts) = (self.now, self.now + left, Vec::new());
        self.requests.insert(
            id,
            Txn {
                class,
                key,
                taken,
                deadline,
                attempts,
                answer: Answer::Owed,
                due: None,
            },
        );
        let pin = key.map_or(BuildId(0), |key| self.pin_of(key));
        self.pinned +=
            LEARN * LEARN * (f64::from(pin > BuildId(0) && self.on_trial(pin)) - self.pinned);
        // Guards against a jam that no limit at a endpoint holds off: hundreds of gateways keep one out each.
        if self.chance.generate::<f64>() < self.shed_of(class) {
            return self.give_up(id);
        }
        self.place(id);
    }

    /// Guards rule 2: whether this request may go to this endpoint after the attempts it has had.
    fn may_repeat_at(&self, endpoint: &Endpoint, request: &Txn) -> bool {
        let mut maybe = request.attempts.iter().filter(|a| a.may_have_run());
        match self.rows[request.class.0].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => maybe.next().is_none(),
            RetrySafety::IdempotencyKey {
                scope: group,
                deduplication_window: memory,
            } => maybe.all(|a| {
                let first = self
                    .endpoints
                    .get(&a.endpoint)
                    .map(|s| (s.listed.zone, s.listed.cell));
                let here = (endpoint.listed.zone, endpoint.listed.cell);
                let together = match group {
                    IdempotencyScope::All => true,
                    IdempotencyScope::Zone => first.is_some_and(|f| f.0 == here.0),
                    IdempotencyScope::Cell => first == Some(here),
                };
                together && self.now + self.parameters.tick < a.sent + memory
            }),
        }
    }

    fn may_decline(&self, request: &Txn) -> bool {
        let retry_safety = self.rows[request.class.0].retry_safety;
        matches!(
            retry_safety,
            RetrySafety::Idempotent
                | RetrySafety::IdempotencyKey {
                    scope: IdempotencyScope::All,
                    ..
                }
        ) || !request.attempts.iter().any(Attempt::may_have_run)
    }

    /// Finds a endpoint: the build by its share of ready endpoints, then two choices in it. Of a large fleet a
    /// sample stands for all, so that a request costs the same in any.
    fn choose(&mut self, id: RequestId) -> Option<EndpointId> {
        self.looks.push(self.now, ()); // one that finds nothing is a chance at a cold endpoint too
        let (mut sample, mut bears) = (Vec::new(), [0.0; 2]);
        for (arm, bears) in bears.iter_mut().enumerate() {
            let (all, of) = (self.arms[arm].len(), self.kept(arm));
            for n in 0..of.min(SAMPLE) {
                let at = if of > SAMPLE {
                    self.chance.generate_range(0..of)
                } else {
                    n
                };
                let (ix, stands_for) = (self.arms[arm][at], all as f64 / of.min(SAMPLE) as f64);
                *bears += stands_for * self.warmth(&self.endpoints[&ix]);
                sample.push((ix, stands_for));
            }
        }
        // A cold endpoint counts for what it bears, or the warm ones of its build would bear its part too.
        // Keys that stay with the trial build are part of its share.
        let share = bears[1] / (bears[0] + bears[1]).max(f64::EPSILON);
        let share = ((share - self.pinned) / (1.0 - self.pinned).max(0.01)).max(0.0);
        let trial_first =
            self.chance.generate::<f64>() < share && self.requests[&id].attempts.is_empty();
        let request = &self.requests[&id];
        let pin = request.key.map_or(BuildId(0), |key| self.pin_of(key));
        let tier = |ix: EndpointId, endpoint: &Endpoint, on_trial: bool| {
            let tried = request.attempts.iter().any(|a| a.endpoint == ix);
            match (self.healthy(endpoint), tried) {
                (true, false) => usize::from(on_trial != trial_first),
                (well, is_client_retry) => {
                    2 + 2 * usize::from(is_client_retry || on_trial != trial_first)
                        - usize::from(well)
                }
            }
        };
        let mut within: Vec<(BuildId, bool)> = Vec::new();
        let mut open: BTreeMap<usize, Vec<(EndpointId, f64)>> = BTreeMap::new();
        for (ix, stands_for) in sample {
            let endpoint = &self.endpoints[&ix];
            let (build, on_trial) = (endpoint.listed.build, self.on_trial(endpoint.listed.build));
            if on_trial && !within.iter().any(|w| w.0 == build) {
                within.push((build, self.within_cap(build, request.class)));
            }
            if !within.contains(&(build, false)) && self.open_to(endpoint, request, pin) {
                open.entry(tier(ix, endpoint, on_trial))
                    .or_default()
                    .push((ix, stands_for));
            }
        }
        // Well endpoints of both arms share the first sends, so all of them are a cold one's rivals.
        let tiers = open.iter().map(|(tier, of)| {
            let beside = open.range(tier + 1..2.max(tier + 1)).flat_map(|o| o.1);
            let rivals = of
                .iter()
                .chain(beside)
                .map(|o| o.1 * self.weight(&self.endpoints[&o.0]))
                .sum::<f64>();
            let may = of
                .iter()
                .filter(|o| self.may_warm(&self.endpoints[&o.0], rivals, 0.0));
            (rivals, may.map(|o| o.0).collect::<Vec<EndpointId>>())
        });
        for (rivals, mut among) in tiers.collect::<Vec<_>>() {
            let Some(found) = self.pick(&among) else {
                continue;
            };
            let chance = self.chance.generate::<f64>();
            if self.may_warm(&self.endpoints[&found], rivals, chance) {
                return Some(found);
            }
            among.retain(|ix| self.warmth(&self.endpoints[ix]) >= 1.0); // a look has one chance at the cold
            if let Some(found) = self.pick(&among) {
                return Some(found);
            }
        }
        None
    }

    /// Of several endpoints one, with odds by weight. Guards against hundreds of gateways that hold nothing and
    /// rank alike: the one that all think least busy would get twice what the others do.
    fn any_of(&mut self, among: &[EndpointId]) -> Option<EndpointId> {
        let weights: Vec<f64> = among
            .iter()
            .map(|ix| self.weight(&self.endpoints[ix]))
            .collect();
        let mut left = self.chance.generate::<f64>() * weights.iter().sum::<f64>();
        let at = weights.iter().position(|w| (left -= w, left < 0.0).1);
        among.get(at.unwrap_or(0)).copied()
    }

    fn pick(&mut self, among: &[EndpointId]) -> Option<EndpointId> {
        let (a, b) = (self.any_of(among)?, self.any_of(among)?);
        let busy = |ix| self.endpoints[&ix].out as f64 / self.weight(&self.endpoints[&ix]);
        Some(if busy(b) < busy(a) { b } else { a })
    }

    pub(super) fn place(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        // No second copy while one runs: where work is not stopped it fills endpoints that are slow already.
        if request.answer != Answer::Owed || request.attempts.iter().any(|a| !a.closed()) {
            return;
        }
        let (class, taken, deadline) = (request.class, request.taken, request.deadline);
        let more =
            request.attempts.len() < self.parameters.limits.max_attempts && deadline > self.now;
        let latency_objective = self.rows[class.0].latency_objective;
        let Some(endpoint) = more.then(|| self.choose(id)).flatten() else {
            if more
                && self.now + latency_objective * HOLD
                    < deadline.min(taken + latency_objective * PATIENCE)
            {
                return self.look_again(id, self.now + latency_objective * HOLD);
            }
            return self.give_up(id);
        };
        let Some(to) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let build = to.listed.build;
        to.out += 1;
        to.owes = to.owes.or(Some(self.now));
        to.sends.push(self.now, ());
        if self.on_trial(build) {
            self.exposed.push(self.now, (class, build));
        }
        let attempt = Attempt {
            endpoint,
            build,
            sent: self.now,
            standing: Standing::Wanted,
        };
        self.changed.insert(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(attempt);
        }
    }

    fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let unsent = request.attempts.is_empty();
        let answer = if self.may_decline(request) {
            Answer::Decline
        } else {
            Answer::Void
        };
        if unsent {
            let told = OutcomeReport {
                gossip_id: GossipId(0),
                build: BuildId(0),
                class: request.class,
                event: ReportedEvent::NotAttempted,
                latency_ratio: 0.0,
            };
            self.pass_on(told);
        }
        self.finish(id, answer);
    }

    /// The request needs nothing more: what is still out is called back, and nothing is due.
    pub(super) fn finish(&mut self, id: RequestId, answer: Answer) {
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|t| t.answer != Answer::Given)
        else {
            return;
        };
        let ran = request
            .attempts
            .iter()
            .any(|a| a.standing == Standing::Closed { may_have_run: true });
        self.unserved += f64::from(answer != Answer::Given || !ran);
        request.answer = answer;
        if let Some(at) = request.due.take() {
            self.due.remove(&(at, id));
        }
        for attempt in request
            .attempts
            .iter_mut()
            .filter(|a| a.standing == Standing::Out)
        {
            if self.parameters.limits.can_cancel && answer != Answer::Streaming {
                attempt.standing = Standing::Unwanted;
            }
        }
        self.changed.insert(id);
    }
}
