//! Simulates a few gateways, each with its own clock, on a network with a uniform delay. Records acquired and lost leases in a trace.

use std::collections::BTreeMap;
use std::fmt::Write;

use harrierdock_lease::{
    codec, Action, Epoch, Event, LeaseManager, LeaseName, LeaseParameters, LeaseSettings,
};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};

pub const LEASE: LeaseName = LeaseName::RolloutController;
/// The Unix time at the start of the simulation. The trace prints epochs relative to it.
pub const UNIX_START_MS: u64 = 1_000_000;

pub fn settings(own: usize, gateways: usize, electors: usize) -> LeaseSettings {
    let names: Vec<String> = (0..gateways).map(|i| format!("g{i}")).collect();
    LeaseSettings {
        own_name: names[own].clone(),
        electorate: names[..electors].to_vec(),
        peer_names: names,
        electorate_number: 1,
        lease_duration: TimeDelta::from_seconds(2.0),
        heartbeat_interval: TimeDelta::from_seconds(0.8),
        longest_lease_duration: None,
        clock_drift_ratio: 0.02,
        lease_names: vec![LEASE.to_string()],
    }
}

pub fn parameters(own: usize, gateways: usize, electors: usize) -> LeaseParameters {
    settings(own, gateways, electors)
        .parameters()
        .expect("valid settings")
}

pub struct Simulation {
    pub now_us: i64,
    /// `None` for a gateway that is not running.
    pub managers: Vec<Option<LeaseManager>>,
    /// The rate of each gateway's clock; 1.0 is exact.
    pub clock_rates: Vec<f64>,
    /// The transit time of each message.
    pub delay_us: i64,
    pub stalled_until_us: Vec<i64>,
    /// Whether a message from one gateway to another, sent at a time in microseconds, arrives.
    pub passes: fn(usize, usize, i64) -> bool,
    /// One line for each crash and each acquired or lost lease.
    pub trace: String,
    /// How often two gateways held the lease at the same time.
    pub double_holders: u32,
    /// How often a holder had an older epoch than a holder before it.
    pub decreased_epochs: u32,
    /// All messages sent so far: sender, receiver, bytes.
    pub sent: Vec<(usize, usize, Vec<u8>)>,
    newest_epoch: Epoch,
    elector_count: usize,
    /// When each gateway's timer fires, in microseconds.
    timers: Vec<Option<i64>>,
    /// Messages in transit, by arrival time and sequence number.
    in_transit: BTreeMap<(i64, u64), (usize, usize, Vec<u8>)>,
    last_sequence: u64,
}

impl Simulation {
    pub fn new(gateways: usize, electors: usize) -> Simulation {
        let mut simulation = Simulation {
            now_us: 0,
            managers: (0..gateways).map(|_| None).collect(),
            clock_rates: vec![1.0; gateways],
            delay_us: 5_000,
            stalled_until_us: vec![0; gateways],
            passes: |_, _, _| true,
            trace: String::new(),
            double_holders: 0,
            decreased_epochs: 0,
            sent: Vec::new(),
            newest_epoch: Epoch(0),
            elector_count: electors,
            timers: vec![None; gateways],
            in_transit: BTreeMap::new(),
            last_sequence: 0,
        };
        (0..gateways).for_each(|node| simulation.start(node));
        simulation
    }

    /// The time of a gateway's own clock.
    pub fn clock(&self, node: usize) -> Timestamp {
        Timestamp(1_000_000 * node as i64 + (self.now_us as f64 * self.clock_rates[node]) as i64)
    }

    pub fn start(&mut self, node: usize) {
        let parameters = parameters(node, self.managers.len(), self.elector_count);
        let incarnation = UNIX_START_MS + self.now_us as u64 / 1000;
        let clock = self.clock(node);
        self.managers[node] = Some(LeaseManager::new(
            parameters,
            incarnation,
            self.now_us as u64 + node as u64,
            clock,
        ));
        self.deliver(
            node,
            Event::CandidacyChanged {
                lease: LEASE,
                is_candidate: true,
            },
        );
    }

    pub fn kill(&mut self, node: usize) {
        self.record(node, "crashes");
        (self.managers[node], self.timers[node]) = (None, None);
    }

    pub fn may_act(&self, node: usize) -> Option<Epoch> {
        self.managers[node]
            .as_ref()?
            .may_act(self.clock(node), LEASE)
    }

    pub fn holder(&self) -> Option<usize> {
        (0..self.managers.len()).find(|node| self.may_act(*node).is_some())
    }

    fn record(&mut self, node: usize, event: &str) {
        let _ = writeln!(self.trace, "at {} ms g{node} {event}", self.now_us / 1000);
    }

    pub fn deliver(&mut self, node: usize, event: Event) {
        let clock = self.clock(node);
        let Some(manager) = &mut self.managers[node] else {
            return;
        };
        for action in manager.handle(clock, event) {
            match action {
                Action::Send { to, message } => {
                    let bytes = codec::encode(&message);
                    let to = to.0;
                    self.sent.push((node, to, bytes.clone()));
                    if (self.passes)(node, to, self.now_us) {
                        self.send(node, to, bytes, self.delay_us);
                    }
                }
                Action::SetTimer { after } => {
                    self.timers[node] =
                        Some(self.now_us + (after.0 as f64 / self.clock_rates[node]) as i64 + 1);
                }
                Action::Acquired { epoch, .. } => {
                    self.record(node, &format!("acquired, {}", epoch.0 - UNIX_START_MS))
                }
                Action::Lost { epoch, reason, .. } => {
                    self.record(
                        node,
                        &format!("lost, {}: {reason:?}", epoch.0 - UNIX_START_MS),
                    );
                }
            }
        }
        if let Some(epoch) = self.may_act(node) {
            self.double_holders += u32::from(
                (0..self.managers.len())
                    .any(|other| other != node && self.may_act(other).is_some()),
            );
            self.decreased_epochs += u32::from(epoch < self.newest_epoch);
            self.newest_epoch = self.newest_epoch.max(epoch);
        }
    }

    /// Sends a message that arrives after a delay, even if `passes` would drop it.
    pub fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>, delay_us: i64) {
        self.last_sequence += 1;
        self.in_transit.insert(
            (self.now_us + delay_us, self.last_sequence),
            (from, to, bytes),
        );
    }

    /// Runs the simulation until this time.
    pub fn run(&mut self, until_ms: i64) {
        let until_us = until_ms * 1000;
        loop {
            let next_arrival = self.in_transit.keys().next().map(|key| key.0);
            let fires_at =
                |node: usize| self.timers[node].map(|at| at.max(self.stalled_until_us[node]));
            let next_timer = (0..self.timers.len())
                .filter_map(|node| Some((fires_at(node)?, node)))
                .min();
            let next = next_arrival
                .into_iter()
                .chain(next_timer.map(|timer| timer.0))
                .min();
            let Some(at) = next.filter(|at| *at <= until_us) else {
                break;
            };
            self.now_us = self.now_us.max(at);
            if next_arrival != Some(at) {
                let Some((_, node)) = next_timer else { break };
                self.timers[node] = None;
                self.deliver(node, Event::TimerFired);
                continue;
            }
            let Some((_, (from, node, bytes))) = self.in_transit.pop_first() else {
                break;
            };
            if self.stalled_until_us[node] > self.now_us {
                let delay_us = self.stalled_until_us[node] - self.now_us;
                self.send(from, node, bytes, delay_us);
            } else if let Ok(message) = codec::decode(&bytes) {
                self.deliver(
                    node,
                    Event::MessageReceived {
                        from: PeerId(from),
                        message,
                    },
                );
            }
        }
        self.now_us = until_us;
    }
}
