//! A gateway at a desk: told events by hand at stated milliseconds, its decisions written down as a trace.

use expect_test::Expect;
use harrierdock_policy::Policy;
use harrierdock_types::gossip;
use harrierdock_types::*;

pub const ASK: ClassId = ClassId(0);
pub const NOTE: ClassId = ClassId(1);
pub const LODGE: ClassId = ClassId(2);

pub const FINE: fn(usize) -> (AttemptOutcome, i64) = |_| (AttemptOutcome::Succeeded, 50);

pub fn ms(n: i64) -> TimeDelta {
    TimeDelta(n * 1000)
}

/// Three request classes, two zones, two stages; a single balancer unless a test says otherwise.
pub fn parameters() -> Parameters {
    let class = |retry_safety| ClassParameters {
        retry_safety,
        latency_objective: ms(500),
        timeout: ms(1500),
        priority_weight: 1.0,
        ..ClassParameters::default()
    };
    let noted = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::Zone,
        deduplication_window: ms(1000),
    };
    Parameters {
        gateway_count: 1,
        tick: ms(5),
        classes: vec![
            class(RetrySafety::Idempotent),
            class(noted),
            class(RetrySafety::NonIdempotent),
        ],
        rollout: RolloutParameters {
            exposure_limits: vec![0.2, 1.0],
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
            slow_start_window: ms(5000),
            overload_window: ms(1000),
            overload_multiple: 3.0,
            max_poll_interval: ms(8000),
            drain_grace: ms(500),
        },
        limits: LimitParameters {
            max_attempts: 3,
            can_cancel: true,
            gossip_enabled: true,
            retry_after: Some(ms(400)),
            ..LimitParameters::default()
        },
        ..Parameters::default()
    }
}

pub fn endpoint(number: usize, build: u32) -> EndpointRecord {
    EndpointRecord {
        endpoint: EndpointId(number),
        build: BuildId(build),
        weight: 1.0,
        zone: ZoneId(number % 2),
        gossip_id: GossipId(number as u16),
        ..EndpointRecord::default()
    }
}

pub struct Desk {
    gateway: Policy,
    now: Timestamp,
    wake: Option<Timestamp>,
    next: u64,
    pub is_client_retry: bool,
    pub trace: String,
    pub sent: Vec<(u64, usize)>,
}

impl Desk {
    pub fn new(parameters: Parameters) -> Desk {
        let gateway = Policy::new(parameters, 7);
        Desk {
            gateway,
            now: Timestamp(0),
            wake: None,
            next: 0,
            is_client_retry: false,
            trace: String::new(),
            sent: Vec::new(),
        }
    }

    /// With endpoints 0.. of the given builds, and the last of the builds as the newest.
    pub fn with(parameters: Parameters, builds: &[u32], phase: RolloutPhase) -> Desk {
        let mut desk = Desk::new(parameters);
        let endpoints = builds
            .iter()
            .enumerate()
            .map(|(number, build)| endpoint(number, *build))
            .collect();
        desk.tell(Event::EndpointsUpdated {
            kind: UpdateKind::Snapshot,
            endpoints,
        });
        desk.stage(builds.last().copied().unwrap_or(1), 0, phase, 1.0);
        desk
    }

    /// How much it keeps that comes and goes.
    pub fn kept(&self) -> String {
        let (endpoints, gossip_ids) = (
            self.gateway.endpoint_count(),
            self.gateway.gossip_id_count(),
        );
        format!(
            "{endpoints} servers, {gossip_ids} marks, {} keys",
            self.gateway.sticky_key_count()
        )
    }

    pub fn mail(&mut self, from: usize, text: &str) {
        if let Some(message) = gossip::decode(text) {
            self.tell(Event::GossipReceived {
                from: PeerId(from),
                message,
            });
        }
    }

    pub fn tell(&mut self, event: Event) {
        for action in self.gateway.handle(self.now, event) {
            let at = self.now.0 / 1000;
            let line = match action {
                Action::SetTimer { after } => {
                    self.wake = Some(self.now + after);
                    continue;
                }
                Action::StartAttempt { id, endpoint, .. } => {
                    self.sent.push((id.0, endpoint.0));
                    format!("submit #{} to {endpoint}", id.0)
                }
                Action::CancelAttempt { id, attempt } => {
                    format!("recall #{} attempt {attempt}", id.0)
                }
                Action::Reject { id, retry_after } => {
                    format!(
                        "decline #{}, back in {} ms",
                        id.0,
                        retry_after.map_or(0, |s| s.0 / 1000)
                    )
                }
                Action::Fail { id } => format!("void #{}", id.0),
                Action::Vote {
                    build,
                    stage,
                    decision,
                } => {
                    format!("vote {decision:?} on {build} stage {stage}")
                }
                Action::SendGossip { to: None, message } => {
                    format!("tell {}", gossip::encode(&message))
                }
                Action::SendGossip {
                    to: Some(to),
                    message,
                } => format!("tell {to} {}", gossip::encode(&message)),
                other => format!("{other:?}"),
            };
            self.trace.push_str(&format!("{at}: {line}\n"));
        }
    }

    /// Lets time pass, with the timer's wakes on the way.
    pub fn until(&mut self, at: i64) {
        while let Some(wake) = self.wake.filter(|w| *w <= Timestamp(0) + ms(at)) {
            self.now = wake.max(self.now);
            self.wake = None;
            self.tell(Event::TimerFired);
        }
        self.now = Timestamp(0) + ms(at);
    }

    pub fn pass(&mut self, span: i64) {
        self.until(self.now.0 / 1000 + span);
    }

    pub fn stage(&mut self, build: u32, stage: usize, phase: RolloutPhase, exposure_limit: f64) {
        self.status(
            build,
            stage,
            phase,
            exposure_limit,
            PlatformStatus::Valid,
            false,
        );
    }

    pub fn status(
        &mut self,
        build: u32,
        stage: usize,
        phase: RolloutPhase,
        exposure_limit: f64,
        status: PlatformStatus,
        answers_vote: bool,
    ) {
        let (build, age) = (BuildId(build), TimeDelta::ZERO);
        self.tell(Event::RolloutUpdated(RolloutUpdate {
            build,
            stage,
            phase,
            exposure_limit,
            status,
            answers_vote,
            age,
        }));
    }

    /// A request comes in; its number is given back.
    pub fn request(&mut self, class: ClassId, key: Option<u64>) -> u64 {
        self.next += 1;
        let id = RequestId(self.next);
        let key = key.map(AffinityKey);
        self.tell(Event::RequestReceived {
            id,
            class,
            key,
            is_client_retry: self.is_client_retry,
            time_left: ms(1500),
        });
        self.next
    }

    /// An attempt ends; `ended` as the wire would say it.
    pub fn close(&mut self, request: u64, attempt: usize, outcome: AttemptOutcome, duration: i64) {
        let endpoint = self
            .sent
            .iter()
            .filter(|s| s.0 == request)
            .nth(attempt)
            .map_or(0, |s| s.1);
        let request_finished = outcome == AttemptOutcome::Succeeded;
        let (id, endpoint, duration) = (RequestId(request), EndpointId(endpoint), ms(duration));
        self.tell(Event::AttemptFinished {
            id,
            attempt,
            endpoint,
            outcome,
            duration,
            request_finished,
        });
    }

    /// `count` requests a given time apart, each answered as `how` says of its endpoint; returns the endpoints used.
    pub fn traffic(
        &mut self,
        count: usize,
        apart: i64,
        how: impl Fn(usize) -> (AttemptOutcome, i64),
    ) -> Vec<usize> {
        let from = self.sent.len();
        for _ in 0..count {
            let at = self.now.0 / 1000 + apart;
            self.until(at);
            let request = self.request(LODGE, None);
            if let Some(&(_, to)) = self.sent.last().filter(|s| s.0 == request) {
                let (outcome, duration) = how(to);
                self.close(request, 0, outcome, duration);
            }
        }
        self.sent[from..].iter().map(|s| s.1).collect()
    }

    /// The trace without the attempts and void notices of bulk traffic.
    pub fn decisions(&self) -> String {
        let bulk = |l: &&str| !l.contains("submit") && !l.contains("void");
        self.trace
            .lines()
            .filter(bulk)
            .map(|l| format!("{l}\n"))
            .collect()
    }
}

pub fn share(used: &[usize], of: usize) -> String {
    format!(
        "{} of {}",
        used.iter().filter(|s| **s == of).count(),
        used.len()
    )
}

pub fn check(desk: &Desk, expected: Expect) {
    expected.assert_eq(&desk.trace);
}
