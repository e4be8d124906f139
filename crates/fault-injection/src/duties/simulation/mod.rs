//! Simulates the leases of a fleet without sockets. The clock of each gateway runs too fast or too slow, and its process can be
//! killed, stalled and restarted. The network loses, delays and corrupts messages.

mod event;
mod gateway;
mod lifecycle;
mod network;
mod observation;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use harrierdock_lease::{
    codec, Action, Epoch, Event, FencingGuard, LeaseName, LeaseParameters, LeaseSettings, Message,
    MessageBody,
};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use event::SimulatedEvent;
use gateway::SimulatedGateway;
pub use network::{NetworkConditions, Partition};
use observation::EpochHolder;
pub use observation::HolderChange;

/// Index of a gateway in [`LeaseSimulation::gateways`].
pub type GatewayIndex = usize;

const LEASE_DURATION: TimeDelta = TimeDelta(2_000_000);
const HEARTBEAT_INTERVAL: TimeDelta = TimeDelta(800_000);
/// Largest relative error of a clock's speed.
const CLOCK_DRIFT_RATIO: f64 = 0.02;
/// Gateways start at random within this time from the simulation's start.
const START_SPREAD_SECONDS: f64 = 0.3;
/// The leases that the gateways of the fleet compete for.
pub const LEASES: [LeaseName; 3] = [
    LeaseName::RolloutController,
    LeaseName::RecoveryOwner,
    LeaseName::Aggregator(1),
];

/// The simulated fleet, with counters of violations, operations and messages.
pub struct LeaseSimulation {
    /// Simulated time. The clocks of gateways deviate from it.
    pub now: Timestamp,
    /// Source of all random numbers.
    pub rng: WyRand,
    settings: LeaseSettings,
    /// Indexed by [`GatewayIndex`].
    pub gateways: Vec<SimulatedGateway>,
    /// The current faults of the network.
    pub network: NetworkConditions,
    /// Times and numbers of the scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    /// The scheduled events, by number.
    events: BTreeMap<u64, SimulatedEvent>,
    last_event_number: u64,
    guard: FencingGuard,
    /// The gateways that hold each lease according to their own lease manager, with their epoch.
    reported_holders: BTreeMap<LeaseName, BTreeMap<GatewayIndex, Epoch>>,
    /// The gateway that was able to act in the newest epoch of each lease.
    newest_holders: BTreeMap<LeaseName, EpochHolder>,
    /// The holder whose operation the guard admitted last, by lease.
    admitted_holders: BTreeMap<LeaseName, EpochHolder>,
    /// All acquisitions and losses of a lease, in order of time.
    pub holder_changes: Vec<HolderChange>,
    /// How often two gateways were able to act on the same lease at the same time.
    pub two_holders: u64,
    /// How often a gateway was able to act in an older epoch, or in the epoch of another gateway.
    pub epoch_regressions: u64,
    /// Operations that arrived at the fencing guard.
    pub operations: u64,
    /// Operations that the guard refused.
    pub operations_refused: u64,
    /// Operations that the guard wrongly admitted: in an older epoch, or by a second gateway in the same epoch.
    pub guard_contradictions: u64,
    /// Messages that could not be decoded.
    pub undecodable_messages: u64,
    /// Bytes of all sent messages except [`MessageBody::KnownLeases`].
    pub lease_bytes: u64,
    /// Bytes that each gateway sent, by [`GatewayIndex`].
    pub sent_bytes: Vec<u64>,
    /// Size of the longest message sent.
    pub longest_message_bytes: usize,
}

/// Settings of the first gateway. The electors are spread evenly over the fleet.
fn lease_settings(gateways: usize, electors: usize) -> LeaseSettings {
    let names: Vec<String> = (0..gateways)
        .map(|index| format!("gateway-{index:03}"))
        .collect();
    let electorate = (0..electors).map(|elector| names[elector * gateways / electors].clone());
    LeaseSettings {
        own_name: names[0].clone(),
        electorate: electorate.collect(),
        peer_names: names,
        electorate_number: 1,
        lease_duration: LEASE_DURATION,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        longest_lease_duration: None,
        clock_drift_ratio: CLOCK_DRIFT_RATIO,
        lease_names: LEASES.iter().map(LeaseName::to_string).collect(),
    }
}

impl LeaseSimulation {
    /// A fleet whose gateways start within `START_SPREAD_SECONDS`. All random draws follow from the seed.
    pub fn new(seed: u64, gateways: usize, electors: usize) -> LeaseSimulation {
        let mut rng = WyRand::new_seed(seed);
        let simulated_gateways = (0..gateways)
            .map(|_| SimulatedGateway::draw(&mut rng))
            .collect();
        let mut simulation = LeaseSimulation {
            now: Timestamp(0),
            rng,
            settings: lease_settings(gateways, electors),
            gateways: simulated_gateways,
            network: NetworkConditions::default(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_number: 0,
            guard: FencingGuard::default(),
            reported_holders: BTreeMap::new(),
            newest_holders: BTreeMap::new(),
            admitted_holders: BTreeMap::new(),
            holder_changes: Vec::new(),
            two_holders: 0,
            epoch_regressions: 0,
            operations: 0,
            operations_refused: 0,
            guard_contradictions: 0,
            undecodable_messages: 0,
            lease_bytes: 0,
            sent_bytes: vec![0; gateways],
            longest_message_bytes: 0,
        };
        for gateway in 0..gateways {
            let seconds = START_SPREAD_SECONDS * simulation.rng.generate::<f64>();
            let at = simulation.now + TimeDelta::from_seconds(seconds);
            simulation.schedule(at, SimulatedEvent::Started { gateway });
        }
        simulation.schedule(simulation.now, SimulatedEvent::OperationsDue);
        simulation
    }

    fn parameters(&self, gateway: GatewayIndex) -> LeaseParameters {
        let settings = LeaseSettings {
            own_name: self.settings.peer_names[gateway].clone(),
            ..self.settings.clone()
        };
        let parameters = settings.parameters();
        parameters.expect("the simulation's settings are valid")
    }

    /// The gateways that grant leases.
    pub fn electors(&self) -> Vec<GatewayIndex> {
        let electorate = self.settings.electorate();
        let electorate = electorate.expect("the simulation's settings are valid");
        electorate.electors.into_iter().map(|peer| peer.0).collect()
    }

    fn schedule(&mut self, at: Timestamp, event: SimulatedEvent) {
        self.last_event_number += 1;
        self.queue.push(Reverse((at, self.last_event_number)));
        self.events.insert(self.last_event_number, event);
    }

    fn draw_bool(&mut self, probability: f64) -> bool {
        self.rng.generate::<f64>() < probability
    }

    /// Whether a gateway's process exists. A stalled process counts as running.
    pub fn is_running(&self, gateway: GatewayIndex) -> bool {
        self.gateways[gateway].lease_manager.is_some()
    }

    /// The first gateway that can act on a lease according to its own lease manager.
    pub fn holder(&self, lease: LeaseName) -> Option<GatewayIndex> {
        let mut gateways = self.reported_holders.get(&lease)?.keys().copied();
        gateways.find(|gateway| self.acting_epoch(*gateway, lease).is_some())
    }

    /// The epoch in which a gateway can act on a lease now; `None` if it does not hold the lease.
    fn acting_epoch(&self, index: GatewayIndex, lease: LeaseName) -> Option<Epoch> {
        let gateway = &self.gateways[index];
        let lease_manager = gateway.lease_manager.as_ref()?;
        lease_manager.may_act(gateway.local_time(self.now), lease)
    }

    /// Delivers an event to a gateway's lease manager and executes the returned actions. Does nothing while the gateway is down.
    fn deliver(&mut self, index: GatewayIndex, event: Event) {
        let gateway = &mut self.gateways[index];
        let local_time = gateway.local_time(self.now);
        let Some(lease_manager) = &mut gateway.lease_manager else {
            return;
        };
        for action in lease_manager.handle(local_time, event) {
            self.execute(index, action);
        }
        self.check_holders(index);
    }

    fn execute(&mut self, gateway: GatewayIndex, action: Action) {
        match action {
            Action::Send { to, message } => self.send(gateway, to, &message),
            Action::Acquired { lease, epoch } => {
                let holders = self.reported_holders.entry(lease).or_default();
                holders.insert(gateway, epoch);
                self.record_holder(lease, gateway, true);
            }
            Action::Lost { lease, .. } => {
                let holders = self.reported_holders.entry(lease).or_default();
                holders.remove(&gateway);
                self.record_holder(lease, gateway, false);
            }
            Action::SetTimer { after } => self.set_timer(gateway, after),
        }
    }

    fn send(&mut self, from: GatewayIndex, to: PeerId, message: &Message) {
        let bytes = codec::encode(message);
        if !matches!(message.body, MessageBody::KnownLeases { .. }) {
            self.lease_bytes += bytes.len() as u64;
        }
        self.send_message(from, to.0, &bytes);
    }

    /// Sets a gateway's timer and cancels its previous one. `after` is measured by the gateway's own clock.
    fn set_timer(&mut self, index: GatewayIndex, after: TimeDelta) {
        let gateway = &mut self.gateways[index];
        gateway.timer_number += 1;
        let fired = SimulatedEvent::TimerFired {
            gateway: index,
            incarnation: gateway.incarnation,
            timer_number: gateway.timer_number,
        };
        let at = self.now + after / gateway.clock_rate();
        self.schedule(at, fired);
    }

    /// Simulates until this point in time.
    pub fn run(&mut self, until: Timestamp) {
        while let Some(event) = self.next_event(until) {
            let stalled_until = event
                .processing_gateway()
                .map(|gateway| self.gateways[gateway].stalled_until);
            match stalled_until {
                Some(at) if at > self.now => self.schedule(at, event),
                _ => self.handle(event),
            }
        }
        self.now = until;
    }

    /// Removes the next event that is due until this time, and advances the simulated time to it.
    fn next_event(&mut self, until: Timestamp) -> Option<SimulatedEvent> {
        let Reverse((at, event_number)) = self.queue.peek().copied()?;
        if at > until {
            return None;
        }
        self.queue.pop();
        self.now = at;
        self.events.remove(&event_number)
    }

    fn handle(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::TimerFired {
                gateway,
                incarnation,
                timer_number,
            } => {
                let state = &self.gateways[gateway];
                if incarnation == state.incarnation && timer_number == state.timer_number {
                    self.deliver(gateway, Event::TimerFired);
                }
            }
            SimulatedEvent::MessageArrived { from, to, bytes } => {
                self.receive_message(PeerId(from), to, &bytes);
            }
            SimulatedEvent::Started { gateway } => self.start(gateway),
            SimulatedEvent::Exited {
                gateway,
                incarnation,
            } => {
                if incarnation == self.gateways[gateway].incarnation {
                    self.stop(gateway);
                }
            }
            SimulatedEvent::OperationsDue => self.start_operations(),
            SimulatedEvent::OperationArrived {
                lease,
                epoch,
                gateway,
            } => self.handle_operation(lease, epoch, gateway),
        }
    }

    fn receive_message(&mut self, from: PeerId, to: GatewayIndex, bytes: &[u8]) {
        match codec::decode(bytes) {
            Ok(message) => self.deliver(to, Event::MessageReceived { from, message }),
            Err(_) => self.undecodable_messages += 1,
        }
    }
}
