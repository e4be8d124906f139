//! A fleet without sockets in simulated time: every gateway has its clock, which runs fast or slow, its
//! process, which ends, stands still and starts anew, and its road to each other, which loses, delays and
//! garbles.

mod lifecycle;
mod network;
mod observation;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use harrierdock_lease::{
    codec, Action, Epoch, Event, FencingGuard, LeaseManager, LeaseName, LeaseParameters,
    LeaseSettings, MessageBody,
};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

pub use network::NetworkConditions;

/// A gateway by its place in the world.
pub type GatewayIndex = usize;

pub const LEASE: TimeDelta = TimeDelta(2_000_000);
pub const HEARTBEAT: TimeDelta = TimeDelta(800_000);
pub const CLOCK_DRIFT_RATIO: f64 = 0.02;
pub const LEASES: [LeaseName; 3] = [
    LeaseName::RolloutController,
    LeaseName::RecoveryOwner,
    LeaseName::Aggregator(1),
];
/// How often a holder acts.
const ACT_INTERVAL: TimeDelta = TimeDelta(50_000);
/// Unix time at the world's start, in milliseconds, and by how much a gateway's may be off either way.
const START_UNIX_MS: u64 = 1_790_000_000_000;
const LARGEST_UNIX_OFFSET_MS: f64 = 900.0;

pub struct SimulatedGateway {
    lease_manager: Option<LeaseManager>,
    /// Which process it is: what was meant for an earlier one is lost.
    incarnation: u32,
    clock_rate: f64,
    /// The reading of its clock at the world's start.
    clock_offset_us: i64,
    unix_offset_ms: i64,
    pub stalled_until: Timestamp,
    timer_number: u64,
    is_shutting_down: bool,
}

enum SimulatedEvent {
    TimerFired {
        node: GatewayIndex,
        incarnation: u32,
        no: u64,
    },
    MessageArrived {
        from: GatewayIndex,
        to: GatewayIndex,
        bytes: Vec<u8>,
    },
    Started {
        node: GatewayIndex,
    },
    Exited {
        node: GatewayIndex,
        incarnation: u32,
    },
    ActsDue,
    ActArrived {
        duty: LeaseName,
        epoch: Epoch,
        node: GatewayIndex,
    },
}

/// What happened to a duty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HoldingChange {
    pub at: Timestamp,
    pub duty: LeaseName,
    pub node: GatewayIndex,
    pub held: bool,
}

pub struct LeaseSimulation {
    pub now: Timestamp,
    pub rng: WyRand,
    pub settings: LeaseSettings,
    pub gateways: Vec<SimulatedGateway>,
    pub network: NetworkConditions,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, SimulatedEvent>,
    no: u64,
    guard: FencingGuard,
    /// By duty, who believes to hold it, in which epoch.
    pub believed_holders: BTreeMap<LeaseName, BTreeMap<GatewayIndex, Epoch>>,
    /// By duty, the newest epoch in which somebody could act, in true time.
    newest: BTreeMap<LeaseName, (Epoch, GatewayIndex)>,
    pub holding_changes: Vec<HoldingChange>,
    pub two_holders: u64,
    pub epochs_back: u64,
    pub acts: u64,
    pub acts_refused: u64,
    /// An admitted act of another gateway in the same epoch.
    pub guard_admitted_two: u64,
    admitted: BTreeMap<LeaseName, (Epoch, GatewayIndex)>,
    pub messages_unread: u64,
    /// Bytes sent: of all leases; of all by gateway.
    pub lease_bytes: u64,
    pub sent_bytes: Vec<u64>,
    pub longest_message: usize,
}

impl LeaseSimulation {
    pub fn new(seed: u64, gateways: usize, electors: usize) -> LeaseSimulation {
        let mut rng = WyRand::new_seed(seed);
        let names: Vec<String> = (0..gateways).map(|i| format!("gateway-{i:03}")).collect();
        // Electors are spread over the fleet, as an operator would name them.
        let electorate = (0..electors)
            .map(|i| names[i * gateways / electors].clone())
            .collect();
        let told = LeaseSettings {
            own_name: names[0].clone(),
            peer_names: names,
            electorate,
            electorate_number: 1,
            lease_duration: LEASE,
            heartbeat_interval: HEARTBEAT,
            longest_lease_duration: None,
            clock_drift_ratio: CLOCK_DRIFT_RATIO,
            lease_names: LEASES.iter().map(LeaseName::to_string).collect(),
        };
        let mut node = |_| SimulatedGateway {
            lease_manager: None,
            incarnation: 0,
            clock_rate: 1.0 + CLOCK_DRIFT_RATIO * (2.0 * rng.generate::<f64>() - 1.0),
            clock_offset_us: rng.generate_range(0..1_000_000_000_000_i64),
            unix_offset_ms: (LARGEST_UNIX_OFFSET_MS * (2.0 * rng.generate::<f64>() - 1.0)) as i64,
            stalled_until: Timestamp(0),
            timer_number: 0,
            is_shutting_down: false,
        };
        let simulated: Vec<SimulatedGateway> = (0..gateways).map(&mut node).collect();
        let mut simulation = LeaseSimulation {
            now: Timestamp(0),
            rng,
            settings: told,
            gateways: simulated,
            network: NetworkConditions {
                longest_delay_seconds: 0.002,
                ..NetworkConditions::default()
            },
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            no: 0,
            guard: FencingGuard::default(),
            believed_holders: BTreeMap::new(),
            newest: BTreeMap::new(),
            holding_changes: Vec::new(),
            two_holders: 0,
            epochs_back: 0,
            acts: 0,
            acts_refused: 0,
            guard_admitted_two: 0,
            admitted: BTreeMap::new(),
            messages_unread: 0,
            lease_bytes: 0,
            sent_bytes: vec![0; gateways],
            longest_message: 0,
        };
        for node in 0..gateways {
            let after = TimeDelta::from_seconds(0.3 * simulation.rng.generate::<f64>());
            simulation.schedule(Timestamp(0) + after, SimulatedEvent::Started { node });
        }
        simulation.schedule(Timestamp(0), SimulatedEvent::ActsDue);
        simulation
    }

    fn parameters(&self, own: GatewayIndex) -> LeaseParameters {
        let told = LeaseSettings {
            own_name: self.settings.peer_names[own].clone(),
            ..self.settings.clone()
        };
        told.parameters()
            .expect("the rehearsal tells settings that fit")
    }

    pub fn electors(&self) -> Vec<GatewayIndex> {
        self.settings
            .electorate()
            .expect("the rehearsal tells settings that fit")
            .electors
            .into_iter()
            .map(|elector| elector.0)
            .collect()
    }

    fn schedule(&mut self, at: Timestamp, event: SimulatedEvent) {
        self.no += 1;
        self.queue.push(Reverse((at, self.no)));
        self.events.insert(self.no, event);
    }

    fn local_time(&self, node: GatewayIndex) -> Timestamp {
        let n = &self.gateways[node];
        Timestamp(n.clock_offset_us + (self.now.0 as f64 * n.clock_rate) as i64)
    }

    pub fn is_running(&self, node: GatewayIndex) -> bool {
        self.gateways[node].lease_manager.is_some()
    }

    pub fn holder(&self, duty: LeaseName) -> Option<GatewayIndex> {
        let believed_holders = self.believed_holders.get(&duty)?;
        believed_holders
            .keys()
            .copied()
            .find(|node| self.acting_epoch(*node, duty).is_some())
    }

    fn acting_epoch(&self, node: GatewayIndex, duty: LeaseName) -> Option<Epoch> {
        self.gateways[node]
            .lease_manager
            .as_ref()?
            .may_act(self.local_time(node), duty)
    }

    fn deliver(&mut self, node: GatewayIndex, event: Event) {
        let clock = self.local_time(node);
        let Some(fleet) = &mut self.gateways[node].lease_manager else {
            return;
        };
        for action in fleet.handle(clock, event) {
            match action {
                Action::Send { to, message } => {
                    let lease = !matches!(message.body, MessageBody::KnownLeases { .. });
                    self.send_message(node, to.0, codec::encode(&message), lease);
                }
                Action::Acquired { lease: duty, epoch } => {
                    self.believed_holders
                        .entry(duty)
                        .or_default()
                        .insert(node, epoch);
                    self.record_holding(duty, node, true);
                }
                Action::Lost { lease: duty, .. } => {
                    self.believed_holders.entry(duty).or_default().remove(&node);
                    self.record_holding(duty, node, false);
                }
                Action::SetTimer { after } => {
                    let (incarnation, rate) = (
                        self.gateways[node].incarnation,
                        self.gateways[node].clock_rate,
                    );
                    self.gateways[node].timer_number += 1;
                    let no = self.gateways[node].timer_number;
                    self.schedule(
                        self.now + after / rate,
                        SimulatedEvent::TimerFired {
                            node,
                            incarnation,
                            no,
                        },
                    );
                }
            }
        }
        self.check_holders(node);
    }

    pub fn run(&mut self, to: Timestamp) {
        while let Some(Reverse((at, no))) = self
            .queue
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= to)
        {
            self.queue.pop();
            self.now = at;
            let Some(event) = self.events.remove(&no) else {
                continue;
            };
            let of = match &event {
                SimulatedEvent::TimerFired { node, .. } | SimulatedEvent::Exited { node, .. } => {
                    Some(*node)
                }
                SimulatedEvent::MessageArrived { to, .. } => Some(*to),
                _ => None,
            };
            let still = of
                .map(|n| self.gateways[n].stalled_until)
                .filter(|until| *until > at);
            if let Some(until) = still {
                self.schedule(until, event);
                continue;
            }
            match event {
                SimulatedEvent::TimerFired {
                    node,
                    incarnation,
                    no,
                } => {
                    if incarnation == self.gateways[node].incarnation
                        && no == self.gateways[node].timer_number
                    {
                        self.deliver(node, Event::TimerFired);
                    }
                }
                SimulatedEvent::MessageArrived { from, to, bytes } => match codec::decode(&bytes) {
                    Ok(message) => self.deliver(
                        to,
                        Event::MessageReceived {
                            from: PeerId(from),
                            message,
                        },
                    ),
                    Err(_) => self.messages_unread += 1,
                },
                SimulatedEvent::Started { node } => self.start(node),
                SimulatedEvent::Exited { node, incarnation } => {
                    if incarnation == self.gateways[node].incarnation {
                        self.stop(node);
                    }
                }
                SimulatedEvent::ActsDue => self.schedule_acts(),
                SimulatedEvent::ActArrived { duty, epoch, node } => {
                    self.handle_act(duty, epoch, node)
                }
            }
        }
        self.now = to;
    }
}
