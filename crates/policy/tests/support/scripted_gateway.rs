//! A single gateway that receives scripted events at given times and records its decisions as a trace.

use std::cell::Cell;

use harrierdock_policy::Policy;
use harrierdock_types::{
    gossip, Action, AffinityKey, AttemptOutcome, ClassId, EndpointId, EndpointRecord, Event,
    GossipMessage, OutcomeReport, Parameters, PeerId, PlatformStatus, RequestId, RolloutPhase,
    RolloutUpdate, StageControl, Timestamp, UpdateKind,
};

use super::parameters::{default_parameters, SCRIPTED_TIMEOUT_MS};
use super::{endpoints, ms, rollout_update, NON_IDEMPOTENT};

/// The latency of a failing attempt in a canary trial.
const ERROR_LATENCY_MS: i64 = 5;
/// The latency of a successful attempt.
const USUAL_LATENCY_MS: i64 = 50;

/// The outcome function for bulk traffic in which every attempt succeeds.
pub const ALWAYS_SUCCEEDS: fn(usize) -> (AttemptOutcome, i64) =
    |_| (AttemptOutcome::Succeeded, USUAL_LATENCY_MS);

/// An attempt that the gateway has started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentAttempt {
    pub request: u64,
    pub endpoint: usize,
}

/// A policy with its clock, timer and trace.
pub struct ScriptedGateway {
    policy: Policy,
    now: Timestamp,
    /// When the pending timer fires; `None` if none is pending.
    timer: Option<Timestamp>,
    last_request: u64,
    /// Whether the requests are marked as client retries.
    pub is_client_retry: bool,
    /// One line per action: the time in milliseconds and the action.
    pub trace: String,
    /// All attempts, in the order of their starts.
    pub sent: Vec<SentAttempt>,
}

impl ScriptedGateway {
    /// Creates a gateway without endpoints.
    pub fn new(parameters: Parameters) -> ScriptedGateway {
        ScriptedGateway {
            policy: Policy::new(parameters, 7),
            now: Timestamp(0),
            timer: None,
            last_request: 0,
            is_client_retry: false,
            trace: String::new(),
            sent: Vec::new(),
        }
    }

    /// Creates a gateway with one endpoint per build, numbered from 0. The last build is the one in rollout.
    pub fn with_endpoints(
        parameters: Parameters,
        builds: &[u32],
        phase: RolloutPhase,
    ) -> ScriptedGateway {
        let mut gateway = ScriptedGateway::new(parameters);
        gateway.update_endpoints(UpdateKind::Snapshot, endpoints(builds));
        gateway.update_rollout(builds.last().copied().unwrap_or(1), 0, phase, 1.0);
        gateway
    }

    /// The sizes of the tables that grow and shrink.
    pub fn retained_state(&self) -> String {
        format!(
            "{} endpoints, {} gossip ids, {} keys",
            self.policy.endpoint_count(),
            self.policy.gossip_id_count(),
            self.policy.sticky_key_count()
        )
    }

    /// The oldest builds that may serve a key here and at another site.
    pub fn sticky_builds(&self, key: u64) -> String {
        let key = AffinityKey(key);
        let here = self.policy.sticky_build(key);
        let elsewhere = self.policy.sticky_build_elsewhere(key);
        format!("build {here} here, {elsewhere} elsewhere")
    }

    /// Receives a datagram from a peer; a datagram that can't be decoded is dropped.
    pub fn receive_gossip(&mut self, from: usize, datagram: &str) {
        if let Some(message) = gossip::decode(datagram) {
            self.handle(Event::GossipReceived {
                from: PeerId(from),
                message,
            });
        }
    }

    /// Receives a peer's outcome reports and traffic counts as a datagram.
    pub fn receive_outcome_reports(
        &mut self,
        from: usize,
        received: usize,
        in_flight: usize,
        reports: Vec<OutcomeReport>,
    ) {
        let message = GossipMessage::OutcomeReports {
            received,
            original_requests: received,
            in_flight,
            reports,
        };
        self.receive_gossip(from, &gossip::encode(&message));
    }

    /// Receives an endpoint list from discovery.
    pub fn update_endpoints(&mut self, kind: UpdateKind, endpoints: Vec<EndpointRecord>) {
        self.handle(Event::EndpointsUpdated { kind, endpoints });
    }

    /// Handles an event at the current time, and appends the actions to the trace.
    pub fn handle(&mut self, event: Event) {
        for action in self.policy.handle(self.now, event) {
            match &action {
                Action::SetTimer { after } => {
                    self.timer = Some(self.now + *after);
                    continue;
                }
                Action::StartAttempt { id, endpoint, .. } => self.sent.push(SentAttempt {
                    request: id.0,
                    endpoint: endpoint.0,
                }),
                _ => {}
            }
            let at_ms = self.now.0 / 1000;
            let line = trace_line(&action);
            self.trace.push_str(&format!("{at_ms}: {line}\n"));
        }
    }

    /// Advances the clock to `end_ms` after its origin, and fires the timer when it expires.
    pub fn run_until(&mut self, end_ms: i64) {
        let end = Timestamp(0) + ms(end_ms);
        while let Some(timer) = self.timer.filter(|timer| *timer <= end) {
            self.now = timer.max(self.now);
            self.timer = None;
            self.handle(Event::TimerFired);
        }
        self.now = end;
    }

    /// Advances the clock by a time span, and fires the timer when it expires.
    pub fn advance(&mut self, milliseconds: i64) {
        self.run_until(self.now.0 / 1000 + milliseconds);
    }

    /// Receives a rollout update from the platform.
    pub fn update_rollout(
        &mut self,
        build: u32,
        stage: usize,
        phase: RolloutPhase,
        exposure_limit: f64,
    ) {
        let update = rollout_update(build, stage, phase, exposure_limit);
        self.handle(Event::RolloutUpdated(update));
    }

    /// Receives the platform's answer to a vote on a canary.
    pub fn answer_vote(&mut self, build: u32, stage: usize, status: PlatformStatus) {
        let update = rollout_update(build, stage, RolloutPhase::Canary, 1.0);
        self.handle(Event::RolloutUpdated(RolloutUpdate {
            status,
            is_vote_response: true,
            ..update
        }));
    }

    /// Receives a request and returns its number.
    pub fn receive_request(&mut self, class: ClassId, key: Option<u64>) -> u64 {
        self.receive_request_with_timeout(class, key, SCRIPTED_TIMEOUT_MS)
    }

    /// Receives a request whose client waits for this long, and returns its number.
    pub fn receive_request_with_timeout(
        &mut self,
        class: ClassId,
        key: Option<u64>,
        timeout_ms: i64,
    ) -> u64 {
        self.last_request += 1;
        self.handle(Event::RequestReceived {
            id: RequestId(self.last_request),
            class,
            key: key.map(AffinityKey),
            is_client_retry: self.is_client_retry,
            time_left: ms(timeout_ms),
        });
        self.last_request
    }

    /// Finishes an attempt. `attempt` is its index among the request's attempts.
    pub fn finish_attempt(
        &mut self,
        request: u64,
        attempt: usize,
        outcome: AttemptOutcome,
        duration_ms: i64,
    ) {
        let endpoint = self
            .sent
            .iter()
            .filter(|sent| sent.request == request)
            .nth(attempt)
            .map_or(0, |sent| sent.endpoint);
        self.handle(Event::AttemptFinished {
            id: RequestId(request),
            attempt,
            endpoint: EndpointId(endpoint),
            outcome,
            duration: ms(duration_ms),
            is_request_finished: outcome == AttemptOutcome::Succeeded,
        });
    }

    /// Sends `count` requests at intervals of `interval_ms`, and finishes their first attempts at once. `outcome_at` maps the
    /// endpoint to the outcome and the duration in milliseconds. Returns the endpoints of all attempts.
    pub fn run_traffic(
        &mut self,
        count: usize,
        interval_ms: i64,
        outcome_at: impl Fn(usize) -> (AttemptOutcome, i64),
    ) -> Vec<usize> {
        let first = self.sent.len();
        for _ in 0..count {
            self.advance(interval_ms);
            let request = self.receive_request(NON_IDEMPOTENT, None);
            if let Some(endpoint) = self.last_endpoint_of(request) {
                let (outcome, duration_ms) = outcome_at(endpoint);
                self.finish_attempt(request, 0, outcome, duration_ms);
            }
        }
        self.endpoints_used_since(first)
    }

    /// The endpoint of the last attempt, if that attempt belongs to this request.
    pub fn last_endpoint_of(&self, request: u64) -> Option<usize> {
        self.sent
            .last()
            .filter(|sent| sent.request == request)
            .map(|sent| sent.endpoint)
    }

    /// The endpoint of the last attempt.
    pub fn last_endpoint(&self) -> Option<usize> {
        self.sent.last().map(|sent| sent.endpoint)
    }

    /// The endpoints of all attempts except the first `first`.
    pub fn endpoints_used_since(&self, first: usize) -> Vec<usize> {
        self.sent[first..]
            .iter()
            .map(|sent| sent.endpoint)
            .collect()
    }

    /// The trace without the attempts and failures of bulk traffic.
    pub fn decisions(&self) -> String {
        self.trace
            .lines()
            .filter(|line| !line.contains("attempt #") && !line.contains("fail #"))
            .map(|line| format!("{line}\n"))
            .collect()
    }

    /// The first line of the decisions, or `default` if there are none.
    pub fn first_decision(&self, default: &str) -> String {
        self.decisions()
            .lines()
            .next()
            .unwrap_or(default)
            .to_string()
    }
}

fn trace_line(action: &Action) -> String {
    match action {
        Action::StartAttempt { id, endpoint, .. } => format!("attempt #{id} to {endpoint}"),
        Action::CancelAttempt { id, attempt } => format!("cancel #{id} attempt {attempt}"),
        Action::Reject { id, retry_after } => {
            let retry_after_ms = retry_after.map_or(0, |after| after.0 / 1000);
            format!("reject #{id}, retry after {retry_after_ms} ms")
        }
        Action::Fail { id } => format!("fail #{id}"),
        Action::Vote {
            build,
            stage,
            decision,
        } => format!("vote {decision:?} on {build} stage {stage}"),
        Action::SendGossip { to: None, message } => {
            format!("gossip {}", gossip::encode(message))
        }
        Action::SendGossip {
            to: Some(to),
            message,
        } => format!("gossip {to} {}", gossip::encode(message)),
        Action::WatchEndpoints | Action::SetTimer { .. } => format!("{action:?}"),
    }
}

/// How often `endpoint` occurs in `used`, as text.
pub fn share(used: &[usize], endpoint: usize) -> String {
    let count = used.iter().filter(|used| **used == endpoint).count();
    format!("{count} of {}", used.len())
}

/// One gateway of a fleet, with the canary (build 2) on one of five endpoints.
pub fn group_member(gateway_count: usize, local_peer: usize) -> ScriptedGateway {
    let mut parameters = default_parameters();
    parameters.gateway_count = gateway_count;
    parameters.local_peer = PeerId(local_peer);
    ScriptedGateway::with_endpoints(parameters, &[1, 1, 1, 1, 2], RolloutPhase::Canary)
}

/// Runs traffic with a canary on one of four endpoints until the canary has this many outcomes. `fails` decides by the outcome's
/// number, from 1, whether it is a server error.
pub fn canary_trial(
    gateway_count: usize,
    control: StageControl,
    outcomes: usize,
    fails: impl Fn(usize) -> bool,
) -> ScriptedGateway {
    let mut parameters = default_parameters();
    parameters.gateway_count = gateway_count;
    parameters.rollout.stage_control = control;
    parameters.rollout.exposure_allowance = 1000.0;
    let mut gateway =
        ScriptedGateway::with_endpoints(parameters, &[1, 1, 1, 2], RolloutPhase::Canary);
    let seen = Cell::new(0);
    while seen.get() < outcomes {
        gateway.run_traffic(1, 10, |endpoint| {
            let is_canary = endpoint == 3;
            seen.set(seen.get() + usize::from(is_canary));
            if is_canary && fails(seen.get()) {
                (AttemptOutcome::ServerError, ERROR_LATENCY_MS)
            } else {
                (AttemptOutcome::Succeeded, USUAL_LATENCY_MS)
            }
        });
    }
    gateway
}
