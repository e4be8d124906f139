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

pub use network::Roads;

/// A gateway by its place in the world.
pub type NodeIx = usize;

pub const LEASE: TimeDelta = TimeDelta(2_000_000);
pub const HEARTBEAT: TimeDelta = TimeDelta(800_000);
pub const DRIFT: f64 = 0.02;
pub const DUTIES: [LeaseName; 3] = [
    LeaseName::RolloutController,
    LeaseName::RecoveryOwner,
    LeaseName::Aggregator(1),
];
/// How often a holder acts.
const ACTS: TimeDelta = TimeDelta(50_000);
/// Unix time at the world's start, in milliseconds, and by how much a gateway's may be off either way.
const UNIX: u64 = 1_790_000_000_000;
const UNIX_OFF: f64 = 900.0;

pub struct Node {
    fleet: Option<LeaseManager>,
    /// Which process it is: what was meant for an earlier one is lost.
    life: u32,
    rate: f64,
    /// The reading of its clock at the world's start.
    reading: i64,
    unix_off: i64,
    pub still_until: Timestamp,
    wake: u64,
    ending: bool,
}

enum Happening {
    Wake {
        node: NodeIx,
        life: u32,
        no: u64,
    },
    Mail {
        from: NodeIx,
        to: NodeIx,
        bytes: Vec<u8>,
    },
    Start {
        node: NodeIx,
    },
    Exit {
        node: NodeIx,
        life: u32,
    },
    Acts,
    Arrives {
        duty: LeaseName,
        epoch: Epoch,
        node: NodeIx,
    },
}

/// What happened to a duty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    pub at: Timestamp,
    pub duty: LeaseName,
    pub node: NodeIx,
    pub held: bool,
}

pub struct World {
    pub now: Timestamp,
    pub chance: WyRand,
    pub told: LeaseSettings,
    pub nodes: Vec<Node>,
    pub roads: Roads,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    no: u64,
    guard: FencingGuard,
    /// By duty, who believes to hold it, in which epoch.
    pub believers: BTreeMap<LeaseName, BTreeMap<NodeIx, Epoch>>,
    /// By duty, the newest epoch in which somebody could act, in true time.
    newest: BTreeMap<LeaseName, (Epoch, NodeIx)>,
    pub turns: Vec<Turn>,
    pub two_holders: u64,
    pub epochs_back: u64,
    pub acts: u64,
    pub refused: u64,
    /// An admitted act of another gateway in the same epoch.
    pub guard_saw_two: u64,
    admitted: BTreeMap<LeaseName, (Epoch, NodeIx)>,
    pub unread: u64,
    /// Bytes sent: of all leases; of all by gateway.
    pub lease_bytes: u64,
    pub sent_bytes: Vec<u64>,
    pub longest: usize,
}

impl World {
    pub fn new(seed: u64, gateways: usize, electors: usize) -> World {
        let mut chance = WyRand::new_seed(seed);
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
            clock_drift_ratio: DRIFT,
            lease_names: DUTIES.iter().map(LeaseName::to_string).collect(),
        };
        let mut node = |_| Node {
            fleet: None,
            life: 0,
            rate: 1.0 + DRIFT * (2.0 * chance.generate::<f64>() - 1.0),
            reading: chance.generate_range(0..1_000_000_000_000_i64),
            unix_off: (UNIX_OFF * (2.0 * chance.generate::<f64>() - 1.0)) as i64,
            still_until: Timestamp(0),
            wake: 0,
            ending: false,
        };
        let nodes: Vec<Node> = (0..gateways).map(&mut node).collect();
        let mut world = World {
            now: Timestamp(0),
            chance,
            told,
            nodes,
            roads: Roads {
                delay: 0.002,
                ..Roads::default()
            },
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            no: 0,
            guard: FencingGuard::default(),
            believers: BTreeMap::new(),
            newest: BTreeMap::new(),
            turns: Vec::new(),
            two_holders: 0,
            epochs_back: 0,
            acts: 0,
            refused: 0,
            guard_saw_two: 0,
            admitted: BTreeMap::new(),
            unread: 0,
            lease_bytes: 0,
            sent_bytes: vec![0; gateways],
            longest: 0,
        };
        for node in 0..gateways {
            let after = TimeDelta::from_seconds(0.3 * world.chance.generate::<f64>());
            world.add(Timestamp(0) + after, Happening::Start { node });
        }
        world.add(Timestamp(0), Happening::Acts);
        world
    }

    fn terms(&self, own: NodeIx) -> LeaseParameters {
        let told = LeaseSettings {
            own_name: self.told.peer_names[own].clone(),
            ..self.told.clone()
        };
        told.parameters()
            .expect("the rehearsal tells settings that fit")
    }

    pub fn electors(&self) -> Vec<NodeIx> {
        self.told
            .electorate()
            .expect("the rehearsal tells settings that fit")
            .electors
            .into_iter()
            .map(|elector| elector.0)
            .collect()
    }

    fn add(&mut self, at: Timestamp, happening: Happening) {
        self.no += 1;
        self.queue.push(Reverse((at, self.no)));
        self.happenings.insert(self.no, happening);
    }

    fn clock(&self, node: NodeIx) -> Timestamp {
        let n = &self.nodes[node];
        Timestamp(n.reading + (self.now.0 as f64 * n.rate) as i64)
    }

    pub fn alive(&self, node: NodeIx) -> bool {
        self.nodes[node].fleet.is_some()
    }

    pub fn holder(&self, duty: LeaseName) -> Option<NodeIx> {
        let believers = self.believers.get(&duty)?;
        believers
            .keys()
            .copied()
            .find(|node| self.acting(*node, duty).is_some())
    }

    fn acting(&self, node: NodeIx, duty: LeaseName) -> Option<Epoch> {
        self.nodes[node]
            .fleet
            .as_ref()?
            .may_act(self.clock(node), duty)
    }

    fn give(&mut self, node: NodeIx, event: Event) {
        let clock = self.clock(node);
        let Some(fleet) = &mut self.nodes[node].fleet else {
            return;
        };
        for action in fleet.handle(clock, event) {
            match action {
                Action::Send { to, message } => {
                    let lease = !matches!(message.body, MessageBody::KnownLeases { .. });
                    self.post(node, to.0, codec::encode(&message), lease);
                }
                Action::Acquired { lease: duty, epoch } => {
                    self.believers.entry(duty).or_default().insert(node, epoch);
                    self.mark(duty, node, true);
                }
                Action::Lost { lease: duty, .. } => {
                    self.believers.entry(duty).or_default().remove(&node);
                    self.mark(duty, node, false);
                }
                Action::SetTimer { after } => {
                    let (life, rate) = (self.nodes[node].life, self.nodes[node].rate);
                    self.nodes[node].wake += 1;
                    let no = self.nodes[node].wake;
                    self.add(self.now + after / rate, Happening::Wake { node, life, no });
                }
            }
        }
        self.judge(node);
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
            let Some(happening) = self.happenings.remove(&no) else {
                continue;
            };
            let of = match &happening {
                Happening::Wake { node, .. } | Happening::Exit { node, .. } => Some(*node),
                Happening::Mail { to, .. } => Some(*to),
                _ => None,
            };
            let still = of
                .map(|n| self.nodes[n].still_until)
                .filter(|until| *until > at);
            if let Some(until) = still {
                self.add(until, happening);
                continue;
            }
            match happening {
                Happening::Wake { node, life, no } => {
                    if life == self.nodes[node].life && no == self.nodes[node].wake {
                        self.give(node, Event::TimerFired);
                    }
                }
                Happening::Mail { from, to, bytes } => match codec::decode(&bytes) {
                    Ok(message) => self.give(
                        to,
                        Event::MessageReceived {
                            from: PeerId(from),
                            message,
                        },
                    ),
                    Err(_) => self.unread += 1,
                },
                Happening::Start { node } => self.start(node),
                Happening::Exit { node, life } => {
                    if life == self.nodes[node].life {
                        self.end(node);
                    }
                }
                Happening::Acts => self.act(),
                Happening::Arrives { duty, epoch, node } => self.arrives(duty, epoch, node),
            }
        }
        self.now = to;
    }
}
