//! The elimination test between two builds, what counts in it, and the votes that carry its result.

use super::*;

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
            *(if self.strain(q) < better.strain(q + near) {
                &mut low
            } else {
                &mut high
            }) = q;
        }
        let eta = (t.ln() + 1.0) * (-self.strain(low)).exp();
        (eta.ln() / ETA.ln()).max(0.0) as usize
    }
}

impl Gateway {
    /// One outcome of an arm, seen from each side. A cold endpoint is slow whatever its build (departure C),
    /// but what it fails it would fail warm.
    pub(super) fn learn(&mut self, told: OutcomeReport) {
        let Some(row) = self.rows.get(told.class.0) else {
            return;
        };
        let (build, class, duration, mean) = (
            told.build,
            told.class,
            row.latency_objective * told.latency_ratio,
            row.mean,
        );
        let outcome = match told.event {
            ReportedEvent::Attempt(outcome) => outcome,
            ReportedEvent::NotAttempted => return self.whole(class, false, false),
            ReportedEvent::Complaint => return self.complaint(&told),
        };
        let Some(&ix) = self
            .gossip_ids
            .get(&told.gossip_id)
            .filter(|_| self.news.is_some())
        else {
            return;
        };
        let Some(endpoint) = self
            .endpoints
            .get(&ix)
            .filter(|_| build <= self.trial.build)
        else {
            return;
        };
        let arm = if build == self.trial.build {
            Arm::Canary
        } else {
            Arm::Baseline
        };
        let (served, failed) = (
            outcome == AttemptOutcome::Succeeded,
            outcome == AttemptOutcome::ServerError,
        );
        // An answer is as cold as its endpoint was when it was asked.
        let warmth = self.warmth_at(endpoint, self.now - duration);
        let in_time = served && told.latency_ratio <= 1.0;
        // Guards against a silent zone held against a build (K): its time-outs are told late, and not of both
        // arms alike. Harms by a slow build that is told later while a zone is cut off.
        let paired =
            self.runs.0 < 1.0 && self.now - self.cut >= self.parameters.safety.slow_start_window;
        let usual = mean
            * self
                .usual
                .get(&endpoint.listed.model)
                .copied()
                .unwrap_or(1.0);
        let quick = served && duration <= usual * QUICK / warmth;
        if served || outcome == AttemptOutcome::TimedOut {
            self.whole(class, in_time, quick);
        }
        // A connection that was not made says nothing of the build: a new endpoint has none open yet.
        let made = !matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::ConnectFailed
        );
        let sides = [
            (Side::InTime, in_time, paired && warmth >= 1.0 && made),
            (Side::Quick, quick, paired && served),
            (
                Side::Right,
                true,
                served && self.parameters.rollout.complaint_ratio > 0.0,
            ),
            (Side::Sound, served, served || failed),
            (Side::SoundAt(class), served, served || failed),
        ];
        for (side, good, _) in sides.into_iter().filter(|s| s.2) {
            self.pay(side, arm, ix, f64::from(good), 1.0);
        }
    }

    /// All service, whatever the build: what was given up on unsent counts too, or shedding would hide a jam.
    /// It says something of a build that runs on enough of the fleet to lower it; till then it is the past.
    /// It is kept by request class: what one request class waits for at every endpoint is set aside like a bad endpoint.
    fn whole(&mut self, class: ClassId, in_time: bool, quick: bool) {
        let untouched = !self.in_question() || self.runs.0 < EPSILON;
        let counts = self.now - self.troubled >= self.parameters.safety.slow_start_window * 2.0;
        for (side, good) in [(Side::Whole, in_time), (Side::Brisk, quick)] {
            if untouched {
                let before = self.before.entry(side).or_default();
                let keep = if before.count > MEMORY { 0.5 } else { 1.0 };
                *before = Payoff {
                    count: 1.0,
                    sum: f64::from(good),
                }
                .with(before, keep);
                let seen = before.count.min(MEMORY / 4.0);
                let fresh = self.lately(self.flow_span()).fresh as f64;
                self.rate += (fresh - self.rate) / seen;
            } else if counts {
                self.pay(side, Arm::Canary, EndpointId(class.0), f64::from(good), 1.0);
            }
        }
    }

    /// Guards against wrong answers, which look like any other until a client complains: the answer that paid
    /// pays no more (departure F). A single complaint, which may be mistaken, does not reach the bound.
    fn complaint(&mut self, told: &OutcomeReport) {
        let judged = self.news.is_some() && told.build <= self.trial.build;
        let Some(&ix) = self.gossip_ids.get(&told.gossip_id).filter(|_| judged) else {
            return;
        };
        let arm = if told.build == self.trial.build {
            Arm::Canary
        } else {
            Arm::Baseline
        };
        self.pay(Side::Right, arm, ix, -1.0, 0.0);
    }

    /// Whether a new build is about, or was released so lately that its load has just come.
    pub(super) fn in_question(&self) -> bool {
        let since = self.now - self.phase_from;
        match self.news.as_ref().map(|n| n.phase) {
            Some(RolloutPhase::Canary) => true,
            Some(RolloutPhase::Released) => {
                self.trial.witnessed
                    && since < self.parameters.safety.slow_start_window * 3.0 + FALLBACK
            }
            Some(_) => self.trial.witnessed && since < self.parameters.safety.slow_start_window,
            None => false,
        }
    }

    /// No known cause but the build for worse service: as many endpoints as ever, warm, none dead, no zone
    /// silent, and no more traffic.
    pub(super) fn calm(&self) -> bool {
        let alive =
            |s: &&Endpoint| s.listed.lifecycle == Lifecycle::Ready && self.now >= s.dead_until;
        let warm: f64 = self
            .endpoints
            .values()
            .filter(alive)
            .map(|s| self.warmth(s))
            .sum();
        let fresh = self.lately(self.flow_span()).fresh as f64;
        warm >= CALM * self.fleet as f64
            && BUSIER * (fresh - fresh.sqrt()) <= self.rate
            && self.now >= self.cut
    }

    fn pay(&mut self, side: Side, arm: Arm, ix: EndpointId, sum: f64, count: f64) {
        let seen = self
            .trial
            .payoffs
            .entry((side, arm))
            .or_default()
            .entry(ix)
            .or_default();
        seen.count += count;
        seen.sum += sum;
        self.unjudged = true;
    }

    /// An arm's payoffs without those of endpoints that stand out for what they lost, a quarter at most: guards
    /// against errors, neighbours or pauses at some held against their build (departure D). A bad build shows
    /// on most; what chance gives each is no endpoint's own. Harms by waiting for more of them to show it.
    fn payoff(&self, side: Side, arm: Arm) -> Payoff {
        let Some(by_server) = self.trial.payoffs.get(&(side, arm)) else {
            return Payoff::default();
        };
        // Nor are machines the build's fault that fail most of theirs, where the earlier build has such too.
        let sound = |arm| {
            self.trial
                .payoffs
                .get(&(Side::Sound, arm))
                .into_iter()
                .flatten()
        };
        let wreck = |s: &(&EndpointId, &Payoff)| s.1.sum < s.1.count * (1.0 - FAILING);
        let whole = matches!(side, Side::Whole | Side::Brisk); // by request class, and one of them is set aside
        let known = sound(Arm::Baseline).any(|s| wreck(&s)) && !whole;
        let wrecks: BTreeSet<&EndpointId> = sound(arm)
            .filter(|s| known && wreck(s))
            .map(|s| s.0)
            .collect();
        let all = by_server.keys().all(|ix| wrecks.contains(ix));
        let of = by_server.iter().filter(|s| all || !wrecks.contains(s.0));
        let mut seen: Vec<&Payoff> = of.map(|s| s.1).collect();
        seen.sort_by(|a, b| (b.count - b.sum).total_cmp(&(a.count - a.sum)));
        let most = if seen.len() > 1 && side != Side::Right {
            (seen.len() / ASIDE).max(1)
        } else {
            0
        };
        let sum = |of: &[&Payoff]| of.iter().fold(Payoff::default(), |all, p| all.with(p, 1.0));
        let own = |n: &usize| whole || seen[*n].strain_below(&sum(&seen[n + 1..])) > -DELTA.ln();
        sum(&seen[(0..most).take_while(own).count()..])
    }

    /// Elimination between the two builds: KL-Racing in place of the page's bound (departure A). A drop
    /// counts once for each factor of eta that it holds at (departure B), and is held for the stage.
    pub(super) fn eliminate(&mut self) {
        let sides: BTreeSet<Side> = self.trial.payoffs.keys().map(|k| k.0).collect();
        for side in sides {
            let (before, trial) = (
                self.before.get(&side).copied(),
                self.payoff(side, Arm::Canary),
            );
            let earlier = before.unwrap_or_else(|| self.payoff(side, Arm::Baseline));
            // An arm within epsilon of the best is good enough; only pace differs between good builds.
            let near = match side {
                Side::Whole | Side::Brisk => 1.5 * EPSILON, // no arm beside it to share what else goes on
                Side::Quick => EPSILON,
                _ => 0.0,
            };
            self.count(
                Arm::Canary,
                self.parameters.local_peer,
                trial.drops_below(&earlier, near),
            );
            if side == Side::InTime {
                self.count(
                    Arm::Baseline,
                    self.parameters.local_peer,
                    earlier.drops_below(&trial, near),
                );
            }
        }
    }

    pub(super) fn count(&mut self, arm: Arm, from: PeerId, drops: usize) {
        if drops > 0 && from.0 < self.parameters.gateway_count && self.circle(from) == from {
            let held = self.trial.drops[arm as usize].entry(from).or_default();
            *held = drops.max(*held);
        }
    }

    /// Whether the drops of an arm make up part of M, from half the balancers, at least one. Guards against
    /// one gateway in trouble of its own, however sure: where four vote, it makes up half of M at the most.
    /// One that no other can tell is the only player of its own test.
    pub(super) fn dropped(&self, arm: Arm, part: f64) -> bool {
        let drops = &self.trial.drops[arm as usize];
        let enough = (DELTA.ln() / ETA.ln()).floor();
        let players = if self.parameters.limits.gossip_enabled {
            CIRCLES.min(self.parameters.gateway_count)
        } else {
            1
        };
        let senders = (players / 2).max(1);
        let most = enough / senders.min(2) as f64;
        drops.len() >= senders
            && drops.values().map(|d| most.min(*d as f64)).sum::<f64>() >= enough * part
    }

    pub(super) fn stage(&mut self, news: RolloutUpdate) {
        if let Some((vote, ..)) = self.cast.filter(|_| news.answers_vote) {
            let (told, all) = (&self.parameters.rollout, self.all_calls());
            let (wait, ballot) = match news.status {
                PlatformStatus::Valid | PlatformStatus::Superseded => (
                    all.clamp(told.vote_ttl / 2.0, told.vote_ttl),
                    Ballot::Stands,
                ),
                _ => (
                    (all * (self.chance.generate::<f64>() / 2.0)).max(told.vote_timeout / 8.0),
                    Ballot::Due,
                ),
            };
            self.cast = Some((vote, self.now + wait, ballot));
        }
        if news.status != PlatformStatus::Valid {
            return;
        }
        // Guards against stale news, which binds the cap but takes no stage back.
        if (news.build, news.stage) > (self.trial.build, self.trial.stage) {
            let (build, stage, since) = (news.build, news.stage, self.now - news.age);
            // Counts restart each stage; failures, and pace beside the earlier build, stay with it (E).
            let mut payoffs = std::mem::take(&mut self.trial.payoffs);
            payoffs.retain(|(side, _), _| build == self.trial.build && *side >= Side::Quick);
            self.trial = Trial {
                build,
                stage,
                since,
                payoffs,
                ..Trial::default()
            };
        }
        if self.news.as_ref().is_none_or(|n| n.phase != news.phase) {
            self.phase_from = self.now - news.age;
        }
        self.trial.witnessed |= news.phase == RolloutPhase::Canary;
        if matches!(
            news.phase,
            RolloutPhase::RollingBack | RolloutPhase::RolledBack
        ) {
            self.pins.retain(|_, b| *b != news.build); // this may be told again when a later one has answered
        }
        self.news = Some(news);
        self.survey();
        self.judge();
    }

    /// What to vote now: M trial drops back, M earlier drops on; hold at half under the clock; else on after
    /// the fallback wait where votes move the rollout.
    pub(super) fn judge(&mut self) {
        self.vote = None;
        let on =
            |n: &&RolloutUpdate| matches!(n.phase, RolloutPhase::Canary | RolloutPhase::Released);
        let Some(news) = self.news.as_ref().filter(on) else {
            return;
        };
        let (build, stage) = (self.trial.build, self.trial.stage);
        let back = self.dropped(Arm::Canary, 1.0);
        if back || news.phase == RolloutPhase::Released {
            return self.vote = back.then_some((build, stage, RolloutDecision::RollBack));
        }
        if self.parameters.rollout.stage_control == StageControl::Clock {
            let half = self.dropped(Arm::Canary, 0.5);
            let from = *self.trial.held_from.get_or_insert(self.now);
            if half && self.now - from < FALLBACK {
                self.vote = Some((build, stage, RolloutDecision::Hold));
            } else if !half {
                self.trial.held_from = None;
            }
            return;
        }
        let on = self.dropped(Arm::Baseline, 1.0) || self.waited_out();
        self.vote = on.then_some((build, stage, RolloutDecision::Promote));
    }

    /// Whether the fallback wait after the start of the stage's newest machine is over.
    fn waited_out(&self) -> bool {
        let (_, ours, newest) = self.runs;
        let step = self
            .parameters
            .rollout
            .stage_ratios
            .get(self.trial.stage)
            .copied()
            .unwrap_or(1.0);
        let all = ours as f64 >= (step * self.fleet as f64).floor().max(1.0) * COLD_PART;
        let since = newest.unwrap_or_default().max(self.trial.since);
        self.now - since >= FALLBACK * if all { 1.0 } else { 3.0 }
    }

    /// How long the platform takes to accept a call from every gateway.
    fn all_calls(&self) -> TimeDelta {
        TimeDelta::from_seconds(
            self.parameters.gateway_count as f64
                / self.parameters.rollout.votes_per_second.max(1.0),
        )
    }

    /// Guards against a platform that turns most votes away: where hundreds of gateways want one at a time,
    /// those let in first would take up all that it accepts by renewing theirs, and the rest never stand. So
    /// each takes its turn by chance, as many at once as it lets in after a rest (what it accepts in two
    /// seconds) and twice what it accepts from then on; and a vote that stands is renewed the later the more
    /// gateways there are. Harms by half of the calls being turned away while a large fleet wants to vote.
    pub(super) fn emit_vote(&mut self, out: &mut Vec<Action>) {
        let wanted = match (self.vote, self.cast) {
            (Some(vote), _) => vote,
            // A hold that is over is taken away; other votes lapse with their stage.
            (None, Some(((build, stage, RolloutDecision::Hold), _, _))) => {
                (build, stage, RolloutDecision::Withdraw)
            }
            _ => return,
        };
        if self.cast.is_none_or(|c| c.0 != wanted) {
            let turn = self.all_calls() * (self.chance.generate::<f64>() / 2.0)
                - TimeDelta::from_seconds(1.0);
            self.cast = Some((wanted, self.now + turn.max(TimeDelta::ZERO), Ballot::Due));
        }
        let Some((_, due, ballot)) = &mut self.cast else {
            return;
        };
        if self.now < *due || (*ballot == Ballot::Stands && wanted.2 == RolloutDecision::Withdraw) {
            return;
        }
        (*due, *ballot) = (
            self.now + self.parameters.rollout.vote_timeout + self.parameters.tick,
            Ballot::Due,
        );
        let (build, stage, decision) = wanted;
        out.push(Action::Vote {
            build,
            stage,
            decision,
        });
    }
}
