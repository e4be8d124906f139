//! The lease manager of one gateway: its elector, its candidacy for each lease, and the holders that it knows of.

use std::collections::{BTreeMap, VecDeque};

use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use crate::elector::{Elector, MAX_CANDIDATES};
use crate::known_leases::KnownLeases;
use crate::lease_state::LeaseState;
use crate::quorum::{electorate_digest, Quorum};
use crate::{
    Action, ConfigurationError, Electorate, Epoch, Event, KnownHolder, LeaseCounters, LeaseName,
    LeaseParameters, Message, MessageBody,
};

/// The shortest timer, so that the caller's event loop always gets to other work.
const SHORTEST_TIMER: TimeDelta = TimeDelta(1_000);

/// The current electorate and whether it is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectorateStatus<'a> {
    /// The electorate configured last.
    pub electorate: &'a Electorate,
    /// Whether a majority of this electorate suffices. Until then, a majority of the previous one is needed as well.
    pub is_in_force: bool,
}

/// One gateway's part in the leases of its fleet.
pub struct LeaseManager {
    pub(crate) parameters: LeaseParameters,
    pub(crate) incarnation: u64,
    pub(crate) rng: WyRand,
    pub(crate) quorum: Quorum,
    pub(crate) electorate_digest: u8,
    pub(crate) elector: Elector,
    pub(crate) states: BTreeMap<LeaseName, LeaseState>,
    pub(crate) known_leases: KnownLeases,
    /// The newest incarnation received from each peer, indexed by `PeerId`.
    pub(crate) peer_incarnations: Vec<u64>,
    pub(crate) counters: LeaseCounters,
    pub(crate) is_shutting_down: bool,
    /// Messages between this gateway's own elector and candidates, which aren't sent over the network.
    pub(crate) own_messages: VecDeque<MessageBody>,
    pub(crate) actions: Vec<Action>,
}

impl LeaseManager {
    /// `incarnation` is the Unix time in milliseconds at the start of this process; `seed` must differ at each start.
    pub fn new(
        parameters: LeaseParameters,
        incarnation: u64,
        seed: u64,
        now: Timestamp,
    ) -> LeaseManager {
        let peer_count = parameters.name_hashes.len();
        let startup_wait = parameters.startup_wait;
        // By the same clock, a grant must expire before this elector would grant again after a restart.
        let longest_lease = startup_wait / (1.0 + parameters.clock_drift_ratio);
        let epoch_floor = Epoch(incarnation.saturating_add((startup_wait.0 / 1000).max(0) as u64));
        let elector = Elector::new(
            &parameters.leases,
            now + startup_wait,
            epoch_floor,
            longest_lease,
        );
        let electorate = parameters.electorate.clone();
        let digest = electorate_digest(&electorate.electors, &parameters.name_hashes);
        let mut rng = WyRand::new_seed(seed);
        let next_gossip_at = now + parameters.heartbeat_interval * rng.generate::<f64>();
        // In a small fleet, electors keep all candidates. In a large one, a candidate assumes the last place until an elector reports
        // its place.
        let candidates_before = match peer_count {
            0..=MAX_CANDIDATES => 0,
            _ => MAX_CANDIDATES,
        };
        let states = parameters
            .leases
            .iter()
            .map(|lease| (*lease, LeaseState::new(now, candidates_before)))
            .collect();
        LeaseManager {
            incarnation,
            rng,
            quorum: Quorum::new(electorate, peer_count, parameters.local_peer, startup_wait),
            electorate_digest: digest,
            elector,
            states,
            known_leases: KnownLeases::new(next_gossip_at),
            peer_incarnations: vec![0; peer_count],
            counters: LeaseCounters::default(),
            is_shutting_down: false,
            own_messages: VecDeque::new(),
            actions: Vec::new(),
            parameters,
        }
    }

    /// Handles an event and returns the actions to perform, in order. The last action always sets the timer.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        // The process may have stalled, so leases that expired meanwhile are lost before the event is handled.
        self.expire_leases(now);
        self.apply(now, event);
        self.quorum.update(now);
        self.handle_own_messages(now);
        for lease in self.parameters.leases.clone() {
            self.handle_deadlines(now, lease);
            self.handle_own_messages(now);
        }
        self.gossip_known_leases(now);
        self.set_timer(now);
        std::mem::take(&mut self.actions)
    }

    fn apply(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::MessageReceived { from, message } => self.receive(now, from, message),
            Event::TimerFired => {}
            Event::CandidacyChanged {
                lease,
                is_candidate,
            } => self.set_candidacy(now, lease, is_candidate),
            Event::EpochRejected { lease, newest } => self.handle_newer_epoch(now, lease, newest),
            Event::ShutdownStarted => {
                self.is_shutting_down = true;
                for lease in self.parameters.leases.clone() {
                    self.set_candidacy(now, lease, false);
                }
            }
            Event::ElectorateChanged(next) => {
                self.quorum.change_electorate(next);
                self.electorate_digest = electorate_digest(
                    &self.quorum.electorate().electors,
                    &self.parameters.name_hashes,
                );
            }
        }
    }

    fn set_timer(&mut self, now: Timestamp) {
        let next = self
            .states
            .values()
            .filter_map(LeaseState::next_deadline)
            .chain([self.known_leases.next_gossip_at()])
            .min();
        let after = next.map_or(self.parameters.heartbeat_interval, |next| next - now);
        self.actions.push(Action::SetTimer {
            after: after.max(SHORTEST_TIMER),
        });
    }

    /// The epoch under which this gateway may act now; `None` if it doesn't hold the lease. Callers check this immediately before each
    /// operation, with a fresh reading of a clock that never steps, so that a former holder doesn't act. A holder whose renewals are
    /// late stops even if no other gateway has the lease yet.
    pub fn may_act(&self, now: Timestamp, lease: LeaseName) -> Option<Epoch> {
        let held = self.states.get(&lease)?.held()?;
        (now < held.expires_at).then_some(held.epoch)
    }

    /// The holder of a lease as far as this gateway knows, possibly outdated or expired; only for status reports.
    pub fn holder(&self, now: Timestamp, lease: LeaseName) -> Option<KnownHolder> {
        let held = self.states.get(&lease).and_then(LeaseState::held);
        match held.filter(|held| now < held.expires_at) {
            Some(held) => Some(KnownHolder {
                holder: self.parameters.local_peer,
                epoch: held.epoch,
                expires_at: held.expires_at,
            }),
            None => self.known_leases.holder(lease),
        }
    }

    /// Checks whether this electorate may replace the current one now.
    ///
    /// # Errors
    /// The electorate's number isn't the next number, its members don't differ by exactly one, or the current electorate isn't in force yet.
    pub fn check_electorate_change(&self, next: &Electorate) -> Result<(), ConfigurationError> {
        self.quorum.check_successor(next)
    }

    /// The current electorate and whether it is in force.
    pub fn electorate(&self) -> ElectorateStatus<'_> {
        ElectorateStatus {
            electorate: self.quorum.electorate(),
            is_in_force: self.quorum.is_in_force(),
        }
    }

    /// The counters since this process started.
    pub fn counters(&self) -> LeaseCounters {
        self.counters
    }

    /// Whether a started shutdown may complete: every lease has been given up, and each release has been sent twice.
    pub fn is_shutdown_complete(&self) -> bool {
        let is_released =
            |state: &LeaseState| state.repeated_release.is_none() && state.held().is_none();
        self.is_shutting_down && self.states.values().all(is_released)
    }

    fn handle_own_messages(&mut self, now: Timestamp) {
        while let Some(body) = self.own_messages.pop_front() {
            self.handle_body(now, self.parameters.local_peer, self.incarnation, body);
        }
    }

    pub(crate) fn send(&mut self, to: PeerId, body: MessageBody) {
        if to == self.parameters.local_peer {
            self.own_messages.push_back(body);
            return;
        }
        let message = Message {
            incarnation: self.incarnation,
            electorate_number: self.quorum.electorate().number,
            electorate_digest: self.electorate_digest,
            body,
        };
        self.actions.push(Action::Send { to, message });
    }

    pub(crate) fn send_to_electors(&mut self, body: &MessageBody) {
        for to in self.quorum.electors() {
            self.send(to, body.clone());
        }
    }
}
