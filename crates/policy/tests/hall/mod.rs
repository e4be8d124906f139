//! A hall full of gateways on one told clock: each is told events by name and time, its mail goes to its peers,
//! its votes to a platform that takes so many a second, its attempts to endpoints that answer as a test says.

use std::collections::{BTreeMap, BTreeSet};

use harrierdock_policy::Policy;
use harrierdock_types::gossip;
use harrierdock_types::*;

pub fn ms(n: i64) -> TimeDelta {
    TimeDelta(n * 1000)
}

pub fn parameters(gateway_count: usize) -> Parameters {
    let class = |retry_safety| ClassParameters {
        retry_safety,
        latency_objective: ms(800),
        timeout: ms(2400),
        ..ClassParameters::default()
    };
    let noted = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: ms(1600),
    };
    Parameters {
        gateway_count,
        tick: ms(1),
        classes: vec![
            class(RetrySafety::Idempotent),
            class(noted),
            class(RetrySafety::NonIdempotent),
        ],
        rollout: RolloutParameters {
            exposure_limits: vec![0.1, 1.0],
            stage_ratios: vec![0.2, 1.0],
            exposure_window: ms(2000),
            exposure_allowance: 1.0,
            vote_ttl: ms(4000),
            vote_timeout: ms(800),
            votes_per_second: 600.0,
            ..RolloutParameters::default()
        },
        safety: SafetyParameters {
            initial_capacity_ratio: 0.3,
            slow_start_window: ms(3000),
            overload_window: ms(1000),
            overload_multiple: 4.0,
            ..SafetyParameters::default()
        },
        limits: LimitParameters {
            max_attempts: 3,
            can_cancel: true,
            gossip_enabled: true,
            retry_after: Some(ms(1000)),
            connect_timeout: ms(250),
            idle_timeout: ms(30_000),
            ..LimitParameters::default()
        },
        ..Parameters::default()
    }
}

/// Takes so many calls a second, twice that at once after a rest; a vote stands for its life.
#[derive(Default)]
pub struct Platform {
    calls_a_second: f64,
    life: TimeDelta,
    spare: f64,
    filled: Timestamp,
    standing: BTreeMap<PeerId, Timestamp>,
    pub accepted: usize,
    pub refused: usize,
    pub most_standing: usize,
    pub first_call: Option<Timestamp>,
}

impl Platform {
    fn call(&mut self, now: Timestamp, from: PeerId) -> bool {
        self.first_call.get_or_insert(now);
        let full = 2.0 * self.calls_a_second;
        self.spare =
            (self.spare + (now - self.filled).as_seconds() * self.calls_a_second).min(full);
        self.filled = now;
        if self.spare < 1.0 {
            self.refused += 1;
            return false;
        }
        self.spare -= 1.0;
        self.accepted += 1;
        self.standing.insert(from, now + self.life);
        self.standing.retain(|_, until| *until > now);
        self.most_standing = self.most_standing.max(self.standing.len());
        true
    }
}

/// Works on so many at a time, in the order in which they come; what it is asked for too late it passes over.
#[derive(Clone)]
pub struct Machine {
    free: Vec<Timestamp>,
    pub work: TimeDelta,
    /// Says nothing at all, and lets no connection come up.
    pub lost: bool,
    /// Fails all at once.
    pub failing: bool,
    pub got: usize,
}

impl Machine {
    /// When it will have answered what comes now, if it does by then.
    fn answers(&mut self, now: Timestamp, until: Timestamp) -> Option<Timestamp> {
        self.got += 1;
        let free = self.free.iter_mut().min().filter(|_| !self.lost)?;
        let start = now.max(*free);
        if start >= until {
            return None;
        }
        *free = start + self.work;
        Some(*free).filter(|done| *done < until)
    }
}

/// What became of the requests of one second and request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ended {
    pub asked: usize,
    pub in_time: usize,
    pub declined: usize,
}

pub struct Hall {
    pub gateways: Vec<Policy>,
    pub platform: Platform,
    pub machines: Vec<Machine>,
    pub ended: BTreeMap<(i64, ClassId), Ended>,
    /// The requests that are out: request class, when taken, when over.
    requests: BTreeMap<RequestId, (ClassId, Timestamp, Timestamp)>,
    attempts: BTreeMap<RequestId, usize>,
    /// Which gateway has sent something to which endpoint.
    pub met: BTreeSet<(PeerId, EndpointId)>,
    now: Timestamp,
    /// What is to come, in order: a number keeps those of one moment in theirs.
    due: BTreeMap<(Timestamp, u64), (PeerId, Event)>,
    wakes: Vec<Option<Timestamp>>,
    news: Option<RolloutUpdate>,
    count: u64,
}

impl Hall {
    pub fn new(count: usize, set: impl Fn(&mut Parameters)) -> Hall {
        let one = |number| {
            let mut parameters = Parameters {
                local_peer: PeerId(number),
                ..parameters(count)
            };
            set(&mut parameters);
            Policy::new(parameters, 7 + number as u64)
        };
        let gateways: Vec<Policy> = (0..count).map(one).collect();
        let told = &gateways[0].parameters().rollout;
        let (calls_a_second, life) = (told.votes_per_second, told.vote_ttl);
        let platform = Platform {
            calls_a_second,
            life,
            spare: 2.0 * calls_a_second,
            ..Platform::default()
        };
        Hall {
            gateways,
            platform,
            machines: Vec::new(),
            ended: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            met: BTreeSet::new(),
            now: Timestamp(0),
            due: BTreeMap::new(),
            wakes: vec![None; count],
            news: None,
            count: 0,
        }
    }

    fn plan(&mut self, after: TimeDelta, to: PeerId, event: Event) {
        self.count += 1;
        self.due.insert((self.now + after, self.count), (to, event));
    }

    pub fn all(&mut self, event: &Event) {
        (0..self.gateways.len()).for_each(|to| self.tell(PeerId(to), event.clone()));
    }

    /// Servers 0.. of these builds, all of them up for long.
    pub fn list(&mut self, builds: &[u32]) {
        let line = |(number, build): (usize, &u32)| EndpointRecord {
            endpoint: EndpointId(number),
            build: BuildId(*build),
            zone: ZoneId(number % 2),
            gossip_id: GossipId(number as u16),
            ..EndpointRecord::default()
        };
        let endpoints = builds.iter().enumerate().map(line).collect();
        self.all(&Event::EndpointsUpdated {
            kind: UpdateKind::Snapshot,
            endpoints,
        });
    }

    pub fn news(&mut self, build: u32, stage: usize, phase: RolloutPhase, exposure_limit: f64) {
        let (build, status, answers_vote, age) = (
            BuildId(build),
            PlatformStatus::Valid,
            false,
            TimeDelta::ZERO,
        );
        let news = RolloutUpdate {
            build,
            stage,
            phase,
            exposure_limit,
            status,
            answers_vote,
            age,
        };
        self.news = Some(news.clone());
        self.all(&Event::RolloutUpdated(news));
    }

    pub fn mail_all(&mut self, from: usize, text: &str) {
        if let Some(message) = gossip::decode(text) {
            self.all(&Event::GossipReceived {
                from: PeerId(from),
                message,
            });
        }
    }

    /// Servers that work on `cores` requests at a time, each for so long; all run build 1.
    pub fn serve(&mut self, endpoints: usize, cores: usize, work: TimeDelta) {
        let machine = Machine {
            free: vec![Timestamp(0); cores],
            work,
            lost: false,
            failing: false,
            got: 0,
        };
        self.machines = vec![machine; endpoints];
        self.list(&vec![1; endpoints]);
        self.news(1, 0, RolloutPhase::Released, 1.0);
    }

    /// Each gateway takes a request each `apart`, of one request class after the other, until then.
    pub fn traffic(&mut self, apart: TimeDelta, until: i64) {
        let (count, from) = (self.gateways.len(), self.now);
        let end = Timestamp(0) + ms(until);
        for g in 0..count {
            let mut at = from + apart * (g as f64 / count as f64);
            let mut n = g;
            while at < end {
                self.count += 1;
                let (id, class) = (RequestId(self.count), ClassId(n % 3));
                let time_left = self.gateways[g].parameters().classes[class.0].timeout;
                let event = Event::RequestReceived {
                    id,
                    class,
                    key: None,
                    is_client_retry: false,
                    time_left,
                };
                self.due.insert((at, self.count), (PeerId(g), event));
                (at, n) = (at + apart, n + 1);
            }
        }
        self.until(until);
    }

    /// All of some seconds and a request class.
    pub fn over(&self, seconds: std::ops::Range<i64>, class: usize) -> Ended {
        let of = self
            .ended
            .iter()
            .filter(|((s, p), _)| seconds.contains(s) && p.0 == class);
        of.fold(Ended::default(), |all, (_, e)| Ended {
            asked: all.asked + e.asked,
            in_time: all.in_time + e.in_time,
            declined: all.declined + e.declined,
        })
    }

    fn end(&mut self, id: RequestId, how: impl Fn(&mut Ended, bool)) {
        let Some((class, taken, _)) = self.requests.remove(&id) else {
            return;
        };
        let ended = self.ended.entry((taken.0 / 1_000_000, class)).or_default();
        how(ended, self.now - taken <= ms(800));
    }

    fn submit(&mut self, from: PeerId, id: RequestId, endpoint: EndpointId) {
        let Some(&(_, _, over)) = self.requests.get(&id) else {
            return;
        };
        let attempt = *self.attempts.entry(id).and_modify(|a| *a += 1).or_insert(0);
        let machine = &mut self.machines[endpoint.0];
        self.met.insert((from, endpoint));
        // Half of the connections are kept ones, on which a lost endpoint says nothing.
        let (outcome, done) = match machine.answers(self.now, over) {
            _ if machine.lost && id.0.is_multiple_of(2) => {
                (AttemptOutcome::ConnectFailed, self.now + ms(250))
            }
            _ if machine.failing => (AttemptOutcome::ServerError, self.now + ms(5)),
            Some(done) => (AttemptOutcome::Succeeded, done),
            None => (AttemptOutcome::TimedOut, over),
        };
        let (duration, request_finished) = (done - self.now, false);
        self.plan(
            duration,
            from,
            Event::AttemptFinished {
                id,
                attempt,
                endpoint,
                outcome,
                duration,
                request_finished,
            },
        );
    }

    pub fn tell(&mut self, to: PeerId, event: Event) {
        match &event {
            Event::RequestReceived {
                id,
                class,
                time_left,
                ..
            } => {
                self.requests
                    .insert(*id, (*class, self.now, self.now + *time_left));
                self.ended
                    .entry((self.now.0 / 1_000_000, *class))
                    .or_default()
                    .asked += 1;
            }
            Event::AttemptFinished {
                id,
                outcome: AttemptOutcome::Succeeded,
                ..
            } => {
                self.end(*id, |e, in_time| e.in_time += usize::from(in_time));
            }
            _ => {}
        }
        for action in self.gateways[to.0].handle(self.now, event) {
            match action {
                Action::StartAttempt { id, endpoint, .. } => self.submit(to, id, endpoint),
                Action::Reject { id, .. } => self.end(id, |e, _| e.declined += 1),
                Action::Fail { id } => self.end(id, |_, _| {}),
                Action::SetTimer { after } => self.wakes[to.0] = Some(self.now + after),
                Action::Vote { .. } => {
                    let counts = self.platform.call(self.now, to);
                    let status = if counts {
                        PlatformStatus::Valid
                    } else {
                        PlatformStatus::Overloaded
                    };
                    if let Some(news) = self.news.clone() {
                        self.plan(
                            ms(80),
                            to,
                            Event::RolloutUpdated(RolloutUpdate {
                                status,
                                answers_vote: true,
                                ..news
                            }),
                        );
                    }
                }
                Action::SendGossip {
                    to: Some(peer),
                    message,
                } => {
                    self.plan(ms(5), peer, Event::GossipReceived { from: to, message });
                }
                Action::SendGossip { to: None, message } => {
                    for peer in (0..self.gateways.len()).map(PeerId).filter(|p| *p != to) {
                        self.plan(
                            ms(5),
                            peer,
                            Event::GossipReceived {
                                from: to,
                                message: message.clone(),
                            },
                        );
                    }
                }
                _ => {}
            }
        }
    }

    pub fn until(&mut self, at: i64) {
        let end = Timestamp(0) + ms(at);
        loop {
            let wake = self
                .wakes
                .iter()
                .enumerate()
                .filter_map(|(g, w)| w.map(|w| (w, g)))
                .min();
            let event = self.due.first_key_value().map(|(k, _)| k.0);
            match (wake, event) {
                (Some((at, g)), event) if at <= end && event.is_none_or(|e| at < e) => {
                    self.now = at.max(self.now);
                    self.wakes[g] = None;
                    self.tell(PeerId(g), Event::TimerFired);
                }
                (_, Some(at)) if at <= end => {
                    self.now = at;
                    if let Some((_, (to, event))) = self.due.pop_first() {
                        self.tell(to, event);
                    }
                }
                _ => break,
            }
        }
        self.now = end;
    }
}
