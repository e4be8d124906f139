//! What gateways tell each other: fates to a speaker, paces and shedding back, and how a jam is seen in them.

use super::*;

impl Gateway {
    /// The circle whose test a gateway's outcomes go into, also the number of its speaker.
    pub(super) fn circle(&self, peer: PeerId) -> PeerId {
        PeerId(
            peer.0
                % if self.parameters.limits.gossip_enabled {
                    CIRCLES.min(self.parameters.gateway_count)
                } else {
                    self.parameters.gateway_count
                },
        )
    }

    pub(super) fn speaks(&self) -> bool {
        self.circle(self.parameters.local_peer) == self.parameters.local_peer
    }

    /// Guards against gateways that see too little to judge (departure H): the outcomes of a circle of them
    /// go into one test, which its speaker runs; so the players of the page stay few, each with its own requests.
    pub(super) fn pass_on(&mut self, told: OutcomeReport) {
        self.note(&told);
        if self.speaks() {
            return self.learn(told);
        }
        self.untold.push(told);
    }

    /// Answer times: each endpoint's pace beside the request class's mean; while no build is in question, the usual
    /// ones, by request class and model.
    fn note(&mut self, told: &OutcomeReport) {
        let usual_times = !self.on_trial(told.build) && !self.in_question();
        let served = told.event == ReportedEvent::Attempt(AttemptOutcome::Succeeded);
        let first = self.shortest_latency_objective() * LEAVE_OUT;
        let endpoint = self
            .gossip_ids
            .get(&told.gossip_id)
            .and_then(|ix| self.endpoints.get_mut(ix));
        let (Some(row), Some(endpoint)) = (self.rows.get_mut(told.class.0), endpoint) else {
            return;
        };
        let duration = row.latency_objective * told.latency_ratio;
        self.flow.answered += usize::from(
            served || told.event == ReportedEvent::Attempt(AttemptOutcome::ServerError),
        );
        if served || told.event == ReportedEvent::Attempt(AttemptOutcome::TimedOut) {
            endpoint.pace += 3.0 * LEARN * (duration.ratio_to(row.mean) - endpoint.pace);
        }
        // Guards against dead and quick-failing endpoints, whatever ails them; a speaker hears of them sooner.
        if let ReportedEvent::Attempt(
            AttemptOutcome::Succeeded
            | AttemptOutcome::ServerError
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Reset
            | AttemptOutcome::ConnectFailed,
        ) = told.event
        {
            endpoint.good += 2.0 * LEARN * (f64::from(served) - endpoint.good);
            if endpoint.good < FAILING {
                endpoint.left_out = self.now + first * f64::powi(2.0, endpoint.strikes.min(3));
                (endpoint.strikes, endpoint.good) = (endpoint.strikes + 1, (1.0 + FAILING) / 2.0);
            } else if served && endpoint.good > 1.0 - LEARN {
                endpoint.strikes = 0;
            }
            if told.event == ReportedEvent::Attempt(AttemptOutcome::ConnectFailed) {
                endpoint.dead_until = self.now + first * 1.5;
            }
        }
        if served && usual_times {
            let usual = self.usual.entry(endpoint.listed.model).or_insert(1.0);
            *usual += LEARN * LEARN * (duration.ratio_to(row.mean) - *usual);
            row.mean = row.mean + (duration - row.mean) * (LEARN * LEARN);
        }
    }

    pub(super) fn mail(&mut self, from: PeerId, message: GossipMessage) {
        match message {
            GossipMessage::EliminationVote {
                build,
                stage,
                weight: drops,
                arm,
            } => {
                if (build, stage) == (self.trial.build, self.trial.stage) && self.news.is_some() {
                    self.count(arm, from, drops);
                    self.judge();
                }
            }
            GossipMessage::LatencyReports {
                shed_ratio: shed,
                reports: paces,
            } if from == self.circle(self.parameters.local_peer) => {
                self.shed = shed.min(1.0 - LEARN);
                let rest = self.shortest_latency_objective() * LEAVE_OUT;
                self.endpoints
                    .values_mut()
                    .for_each(|s| s.pace = s.pace.min(1.0));
                for LatencyReport {
                    gossip_id,
                    latency_ratio: pace,
                } in paces
                {
                    let endpoint = self
                        .gossip_ids
                        .get(&gossip_id)
                        .and_then(|ix| self.endpoints.get_mut(ix));
                    let Some(endpoint) = endpoint else { continue };
                    if pace < LOST {
                        endpoint.pace = pace;
                    } else {
                        endpoint.left_out = endpoint.left_out.max(self.now + rest);
                    }
                }
            }
            GossipMessage::LatencyReports { .. } => {}
            GossipMessage::OutcomeReports {
                received: taken,
                first_tries: fresh,
                in_flight: open,
                reports: fates,
            } => {
                self.flow.taken += taken;
                self.flow.fresh += fresh;
                let before = self
                    .members
                    .get(&from)
                    .filter(|m| self.now - m.told < self.shortest_latency_objective());
                let since = before.map_or(self.now, |m| m.since);
                self.members.insert(
                    from,
                    Member {
                        since,
                        told: self.now,
                        open,
                    },
                );
                for told in fates {
                    // Guards against a endpoint id used again: the build told must be the one listed.
                    let endpoint = self
                        .gossip_ids
                        .get(&told.gossip_id)
                        .and_then(|ix| self.endpoints.get(ix));
                    let listed = endpoint
                        .map(|s| s.listed.build)
                        .filter(|b| b.low_bits() == told.build);
                    let Some(build) = listed
                        .or((told.event == ReportedEvent::NotAttempted).then_some(BuildId(0)))
                    else {
                        continue;
                    };
                    let told = OutcomeReport { build, ..told };
                    self.note(&told);
                    self.learn(told);
                }
            }
        }
    }

    /// Our attempts that may yet be answered: at endpoints that are not silent; at silent ones too where no
    /// other gateway tells of them, as a jam silences all that one meets.
    fn open(&self) -> usize {
        let cut = |s: &Endpoint| {
            self.zones
                .get(&s.listed.zone)
                .is_some_and(|z| self.now < z.left_out)
        };
        let alone = |s: &Endpoint| {
            !self.parameters.limits.gossip_enabled && self.now >= s.left_out && !cut(s)
        };
        self.endpoints
            .values()
            .filter(|s| alone(s) || self.healthy(s))
            .map(|s| s.out)
            .sum()
    }

    /// Guards against a jam that no gateway sees in time, and against giving up on requests long after it: the
    /// circle's open attempts over its answers say at once how long the endpoints' queues are. While that is
    /// long, a part of as many requests as are answered is let in, lowered once in an latency objective, as it takes that
    /// long to show; else more at each beat. A member that hears no more lets all in again. The limits at
    /// endpoints do this for circles of one. Harms where endpoints are slow by nature, near half the latency objective.
    pub(super) fn crowd(&mut self) {
        let (latency_objective, mut room) = (self.shortest_latency_objective(), 1.0);
        if self.speaks() && self.parameters.gateway_count > CIRCLES {
            let flow = self.lately(latency_objective);
            // Whoever began to tell just now has open what it was not heard to be answered.
            let known = self
                .members
                .values()
                .filter(|m| self.now - m.since > latency_objective * 1.5);
            let told = known
                .filter(|m| self.now - m.told < latency_objective)
                .map(|m| m.open);
            let (open, most) = (
                (told.sum::<usize>() + self.open()) as f64,
                QUEUE * flow.answered as f64,
            );
            room = 1.0 - open / (most + 2.0 * most.sqrt() + FIRST_OUTCOMES / 4.0);
            if room < 0.0
                && self.now - self.lowered >= latency_objective
                && self.heard_for(latency_objective)
            {
                self.lowered = self.now;
                let borne = flow.answered as f64 / flow.taken.max(1) as f64;
                self.shed = (1.0 - SPARE * borne / (1.0 - room)).clamp(self.shed, 1.0 - LEARN);
            }
        }
        self.shed = (1.0 - (1.0 - self.shed) * (1.0 + GROWTH * room.max(0.0))).max(0.0);
    }

    /// The part of a request class's requests that is given up on: those of the least priority weight go first.
    pub(super) fn shed_of(&self, class: ClassId) -> f64 {
        let priority_weight = |of: ClassId| self.parameters.classes[of.0].priority_weight;
        let share = |of: &dyn Fn(f64) -> bool| -> f64 {
            let rows = self
                .rows
                .iter()
                .enumerate()
                .filter(|r| of(priority_weight(ClassId(r.0))));
            rows.map(|r| r.1.share).sum()
        };
        let (below, level) = (
            share(&|r| r < priority_weight(class)),
            share(&|r| r == priority_weight(class)),
        );
        ((self.shed - below * (1.0 - LEARN)) / level.max(LEARN * LEARN)).clamp(0.0, 1.0 - LEARN)
    }

    pub(super) fn emit_bits(&mut self, out: &mut Vec<Action>) {
        let due = self.now - self.passed_on >= self.shortest_latency_objective() * PULSE;
        if due || self.untold.len() >= MAX_OUTCOME_REPORTS {
            self.passed_on = self.now;
            let Flow {
                mut taken,
                mut fresh,
                ..
            } = self.flow;
            let (flow, open) = (std::mem::take(&mut self.flow), self.open());
            if self.speaks() {
                self.hear_flow(flow);
            } else if taken + open + self.untold.len() > 0 {
                let untold = std::mem::take(&mut self.untold);
                let mut parts: Vec<Vec<OutcomeReport>> = untold
                    .chunks(MAX_OUTCOME_REPORTS)
                    .map(<[_]>::to_vec)
                    .collect();
                parts.resize(parts.len().max(1), Vec::new());
                for fates in parts {
                    let message = GossipMessage::OutcomeReports {
                        received: taken,
                        first_tries: fresh,
                        in_flight: open,
                        reports: fates,
                    };
                    out.push(Action::SendGossip {
                        to: Some(self.circle(self.parameters.local_peer)),
                        message,
                    });
                    (taken, fresh) = (0, 0);
                }
            }
        }
        let recently = self.trial.told.is_some_and(|at| self.now - at < RETELL);
        if !self.parameters.limits.gossip_enabled || self.parameters.gateway_count < 2 || recently {
            return;
        }
        let (build, stage) = (self.trial.build, self.trial.stage);
        for arm in [Arm::Canary, Arm::Baseline] {
            if let Some(drops) = self.trial.drops[arm as usize].get(&self.parameters.local_peer) {
                self.trial.told = Some(self.now);
                let message = GossipMessage::EliminationVote {
                    build,
                    stage,
                    weight: *drops,
                    arm,
                };
                out.push(Action::SendGossip { to: None, message });
            }
        }
    }

    /// Guards against endpoints that slow down or fail unseen, as each of many gateways meets one seldom: the
    /// speaker tells its circle the slowest, whom the odds by weight spare, and those left out (departure H).
    pub(super) fn emit_paces(&mut self, out: &mut Vec<Action>) {
        let (since, pulse) = (
            self.now - self.paces_told,
            self.shortest_latency_objective() * PULSE,
        );
        if since < pulse || !self.parameters.limits.gossip_enabled || !self.speaks() {
            return;
        }
        let ready = self
            .endpoints
            .values()
            .filter(|s| s.listed.lifecycle == Lifecycle::Ready);
        let left_out = |s: &Endpoint| self.now < s.left_out;
        let paces = ready.map(|s| LatencyReport {
            gossip_id: s.listed.gossip_id,
            latency_ratio: if left_out(s) { LOST } else { s.pace },
        });
        let mut slow: Vec<LatencyReport> =
            paces.filter(|p| p.latency_ratio > 1.0 + EPSILON).collect();
        let lost = slow.iter().filter(|p| p.latency_ratio >= LOST).count();
        if self.shed == 0.0 && lost <= self.lost_told && since < RETELL * 2.0 {
            return;
        }
        slow.sort_by(|a, b| b.latency_ratio.total_cmp(&a.latency_ratio));
        slow.truncate(MAX_LATENCY_REPORTS);
        let message = GossipMessage::LatencyReports {
            shed_ratio: self.shed,
            reports: slow,
        };
        let circle = (0..self.parameters.gateway_count)
            .map(PeerId)
            .filter(|p| *p != self.parameters.local_peer);
        let circle = circle.filter(|p| self.circle(*p) == self.parameters.local_peer);
        out.extend(circle.map(|p| Action::SendGossip {
            to: Some(p),
            message: message.clone(),
        }));
        (self.paces_told, self.lost_told) = (self.now, lost);
    }
}
