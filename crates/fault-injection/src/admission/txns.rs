//! What becomes of one request in simulated time, from its coming to its end, at its gateway and at its server.

use harrierdock_admission::{AdmissionRequest, Decision, Event};
use harrierdock_types::ClassId;
use harrierdock_types::TenantId;
use harrierdock_types::TimeDelta;
use harrierdock_types::ZoneId;
use harrierdock_types::{AttemptOutcome, RequestId};
use nanorand::Rng;

use super::day::{COUNTED, FASTEST, QUEUE, SLOTS, TROUBLE};
use super::ways::{choose, lag, Way};
use super::world::{Due, Job, State, Txn, World};

const ATTEMPTS: u8 = 3;

impl World<'_> {
    fn counted(&self, txn: usize) -> bool {
        (COUNTED.0..COUNTED.1).contains(&self.day.comes[txn].at)
    }

    fn troubled(&self, txn: usize) -> bool {
        (TROUBLE.0..TROUBLE.1).contains(&self.day.comes[txn].at)
    }

    pub(super) fn come(&mut self, txn: usize) {
        let come = self.day.comes[txn];
        // Clients of a gateway that is down turn to the next.
        let of = self.day.gateways;
        let gateway = (0..of)
            .map(|n| (come.gateway + n) % of)
            .find(|g| self.gateways[*g].up);
        let Some(gateway) = gateway else { return };
        let incarnation = self.gateways[gateway].incarnation;
        self.txns[txn] = Txn {
            gateway,
            incarnation,
            ..Txn::default()
        };
        if self.troubled(txn) {
            self.sums.tenants[self.day.level(come.class)][come.tenant].0 += 1.0;
            self.sums.gateways[come.gateway].0 += 1.0;
        }
        let expiry = self.day.classes[come.class].timeout;
        match self.way {
            Way::Alone => self.place(txn),
            Way::Shed => {
                let circle = &mut self.gateways[gateway].circle;
                circle.taken += 1;
                for (of, share) in circle.share.iter_mut().enumerate() {
                    *share += 0.01 * (f64::from(of == come.class) - *share);
                }
                let part = circle.shed_of(self.day, come.class);
                if self.chance.generate::<f64>() < part {
                    return self.decline(txn);
                }
                self.place(txn);
            }
            Way::Shared => {
                let (id, class) = (RequestId(txn as u64), come.class);
                let (tenant, zones, age, left) = (Some(come.tenant), 0, TimeDelta::ZERO, expiry);
                let ask = AdmissionRequest {
                    id,
                    class: ClassId(class),
                    tenant: tenant.map(TenantId),
                    zones,
                    age,
                    remaining: left,
                    may_have_effect: false,
                };
                let (now, admission) = (self.point(), self.gateways[gateway].admission.as_mut());
                match admission.map(|a| a.decide(now, &ask)) {
                    Some(Decision::Wait { .. }) => {
                        self.txns[txn].state = State::Waits;
                        self.waits[txn] = true;
                        self.sums.waited += 1;
                    }
                    Some(Decision::Reject { .. }) => self.decline(txn),
                    _ => self.place(txn),
                }
            }
            Way::Bound { cheap, dear } => {
                match choose(self.day, &self.loads, come.class, cheap, dear) {
                    Some(server) => self.send(txn, server),
                    None => self.decline(txn),
                }
            }
        }
    }

    pub(super) fn decline(&mut self, txn: usize) {
        self.txns[txn].state = State::Ended;
        self.sums.declined += usize::from(self.counted(txn));
    }

    /// Two servers by chance, the one that holds less of this gateway's. Limits count but where slack is
    /// shared.
    pub(super) fn place(&mut self, txn: usize) {
        let limits = self.way != Way::Shared;
        let gateway = &self.gateways[self.txns[txn].gateway];
        let all = gateway.kept.len();
        let mut found: Option<usize> = None;
        let mut seen = 0;
        for _ in 0..24 {
            let at = self.chance.generate_range(0..all);
            let kept = &gateway.kept[at];
            // Odds by pace, which is taken as known.
            if self.chance.generate::<f64>() * FASTEST > self.day.speeds[at] {
                continue;
            }
            if (limits && f64::from(kept.out + 1) > kept.limit) || self.now < kept.shut {
                continue;
            }
            seen += 1;
            if found.is_none_or(|f| kept.out < gateway.kept[f].out) {
                found = Some(at);
            }
            if seen == 2 {
                break;
            }
        }
        if let Some(server) = found {
            return self.send(txn, server);
        }
        let (come, latency_objective) = (
            self.day.comes[txn],
            self.day.classes[self.day.comes[txn].class]
                .latency_objective
                .0,
        );
        if self.now - come.at >= latency_objective / 10 {
            return self.decline(txn);
        }
        self.txns[txn].state = State::Waits;
        self.at(self.now + latency_objective / 25, Due::Look { txn });
    }

    fn send(&mut self, txn: usize, server: usize) {
        let come = self.day.comes[txn];
        let kept = &mut self.txns[txn];
        if kept.attempts == 0 {
            self.sums.sent += usize::from((COUNTED.0..COUNTED.1).contains(&come.at));
            if let Some(tenth) = self.sums.tenths.get_mut((self.now / 100_000) as usize) {
                *tenth += 1.0;
            }
        }
        kept.attempts += 1;
        (kept.state, kept.server, kept.sent) = (State::Out, server, self.now);
        let (gateway, incarnation, attempt) = (kept.gateway, kept.incarnation, kept.attempts);
        self.gateways[gateway].kept[server].out += 1;
        self.tell(
            gateway,
            Event::AttemptStarted {
                zone: ZoneId(self.day.zone(server)),
            },
        );
        let job = Job {
            txn,
            gateway,
            incarnation,
            attempt,
            sent: self.now,
        };
        if self.running[server] < SLOTS {
            self.start(server, job);
        } else if self.queues[server].len() < QUEUE {
            self.queues[server].push_back(job);
        } else {
            return self.full(job, server);
        }
        self.loads[server] = self.running[server] + self.queues[server].len();
        if attempt == 1 {
            let expiry = self.day.classes[come.class].timeout.0;
            self.at(come.at + expiry, Due::Expire { txn, attempt });
        }
    }

    fn start(&mut self, server: usize, job: Job) {
        self.running[server] += 1;
        let work = self.day.comes[job.txn].work as f64 / self.day.speeds[server];
        self.at(self.now + work as i64, Due::Done { server, job });
    }

    fn full(&mut self, job: Job, server: usize) {
        self.end(job, server, AttemptOutcome::Rejected);
        let kept = &mut self.gateways[job.gateway].kept[server];
        kept.shut = self.now
            + self.day.classes[self.day.comes[job.txn].class]
                .latency_objective
                .0
                / 2;
        kept.lost();
        if job.attempt < ATTEMPTS {
            self.place(job.txn);
        } else {
            self.decline(job.txn);
        }
    }

    /// A attempt is no longer out, if its gateway still knows of it.
    fn end(&mut self, job: Job, server: usize, outcome: AttemptOutcome) -> bool {
        let gateway = &mut self.gateways[job.gateway];
        if gateway.incarnation != job.incarnation || !gateway.up {
            return false;
        }
        gateway.kept[server].out = gateway.kept[server].out.saturating_sub(1);
        let (class, zone, took) = (
            self.day.comes[job.txn].class,
            self.day.zone(server),
            TimeDelta(self.now - job.sent),
        );
        self.tell(
            job.gateway,
            Event::AttemptFinished {
                class: ClassId(class),
                zone: ZoneId(zone),
                outcome,
                duration: took,
            },
        );
        true
    }

    pub(super) fn done(&mut self, server: usize, job: Job) {
        self.running[server] -= 1;
        while self.running[server] < SLOTS {
            let Some(next) = self.queues[server].pop_front() else {
                break;
            };
            let come = self.day.comes[next.txn];
            // Dropped as expired: whoever sent it has given up on it.
            if self.now < come.at + self.day.classes[come.class].timeout.0 {
                self.start(server, next);
            }
        }
        self.loads[server] = self.running[server] + self.queues[server].len();
        let txn = self.txns[job.txn];
        if txn.state != State::Out
            || txn.attempts != job.attempt
            || !self.end(job, server, AttemptOutcome::Succeeded)
        {
            return;
        }
        self.txns[job.txn].state = State::Ended;
        let come = self.day.comes[job.txn];
        let (terms, took) = (&self.day.classes[come.class], self.now - come.at);
        let gateway = &mut self.gateways[job.gateway];
        gateway.circle.answered += 1;
        gateway.kept[server].served(lag(self.day, come.class, self.now - job.sent));
        let in_time = took <= terms.latency_objective.0;
        let priority_weight =
            terms.priority_weight * if in_time { 1.0 } else { terms.late_value_ratio };
        if self.counted(job.txn) {
            self.sums.priority_weight += priority_weight;
            self.sums.late += usize::from(!in_time);
            self.sums.waited_in_time += usize::from(in_time && self.waits[job.txn]);
        }
        if self.troubled(job.txn) {
            self.sums.revenue_in_trouble += priority_weight;
            self.sums.tenants[self.day.level(come.class)][come.tenant].1 += f64::from(in_time);
            self.sums.gateways[come.gateway].1 += f64::from(in_time);
        }
    }

    pub(super) fn expire(&mut self, txn: usize) {
        let kept = self.txns[txn];
        if kept.state != State::Out {
            return;
        }
        self.txns[txn].state = State::Ended;
        let Txn {
            gateway,
            incarnation,
            attempts,
            server,
            sent,
            ..
        } = kept;
        if self.end(
            Job {
                txn,
                gateway,
                incarnation,
                attempt: attempts,
                sent,
            },
            server,
            AttemptOutcome::TimedOut,
        ) {
            self.gateways[gateway].kept[server].lost();
        }
        self.sums.late += usize::from(self.counted(txn));
    }
}
