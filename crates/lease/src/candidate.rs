//! How a candidate comes by a lease, keeps it, and gives it up.

use std::collections::BTreeSet;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use nanorand::Rng;

use crate::elector::NEXT_CANDIDATES;
use crate::lease_state::{LeaseState, Phase, RepeatedRelease};
use crate::message_handling::duration_to_ms;
use crate::retry_delay::CANDIDATE_SPACING;
use crate::{Action, Epoch, LeaseManager, LeaseName, LossReason, MessageBody};

/// Heartbeats for which replies are waited for.
const REPLY_TIMEOUT_HEARTBEATS: f64 = 0.5;
/// One probe in so many goes to the first elector again, after it did not reply.
const FIRST_ELECTOR_INTERVAL: u32 = 8;
/// Heartbeats after which a release is sent once more.
const REPEATED_RELEASE_HEARTBEATS: f64 = 1.0 / 8.0;

impl LeaseManager {
    pub(crate) fn reply_deadline(&self, now: Timestamp) -> Timestamp {
        now + self.parameters.heartbeat_interval * REPLY_TIMEOUT_HEARTBEATS
    }

    /// Ends what has expired by this gateway's own clock.
    pub(crate) fn expire_leases(&mut self, now: Timestamp) {
        for lease in self.parameters.leases.clone() {
            let held = self.states.get(&lease).and_then(LeaseState::held);
            if let Some(epoch) = held.filter(|h| now >= h.expires_at).map(|h| h.epoch) {
                self.counters.expired += 1;
                self.lose(now, lease, epoch, LossReason::Expired);
            }
        }
    }

    fn lose(&mut self, now: Timestamp, lease: LeaseName, epoch: Epoch, reason: LossReason) {
        self.actions.push(Action::Lost {
            lease,
            epoch,
            reason,
        });
        let successor = match reason {
            LossReason::Transferred => self.successor(lease),
            LossReason::Expired | LossReason::Superseded => None,
        };
        self.send_release(lease, epoch, successor);
        let at = now + self.parameters.heartbeat_interval * REPEATED_RELEASE_HEARTBEATS;
        self.wait(now, lease, TimeDelta::ZERO);
        if let Some(state) = self.states.get_mut(&lease) {
            state.repeated_release = Some(RepeatedRelease {
                at,
                epoch,
                successor,
            });
        }
        self.known_leases.end(now, lease, epoch);
    }

    fn send_release(&mut self, lease: LeaseName, epoch: Epoch, successor: Option<PeerId>) {
        self.send_to_electors(&MessageBody::Release { lease, epoch });
        if let Some(successor) = successor {
            self.send(successor, MessageBody::Transfer { lease, epoch });
        }
    }

    /// The next holder: an elector that waits, or the first of those that electors know to wait.
    fn successor(&self, lease: LeaseName) -> Option<PeerId> {
        let successors = &self.states.get(&lease)?.successors;
        successors
            .iter()
            .copied()
            .filter(|peer| *peer != self.parameters.local_peer)
            .min_by_key(|peer| {
                (
                    !self.quorum.is_elector(*peer),
                    self.candidate_rank(lease, *peer),
                )
            })
    }

    /// Makes this gateway a candidate for a lease, or gives the lease up.
    pub(crate) fn set_candidacy(&mut self, now: Timestamp, lease: LeaseName, is_candidate: bool) {
        let is_candidate = is_candidate && !self.is_shutting_down;
        let Some(state) = self.states.get_mut(&lease) else {
            return;
        };
        if state.is_candidate == is_candidate {
            return;
        }
        state.is_candidate = is_candidate;
        if is_candidate {
            self.begin_candidacy(now, lease);
        } else {
            self.end_candidacy(now, lease);
        }
    }

    /// Sets the first try: electors soon, others at random, so that a whole fleet does not ask at once after a start.
    fn begin_candidacy(&mut self, now: Timestamp, lease: LeaseName) {
        let earliest = self.elector.no_grants_until().max(now);
        let is_elector = self.quorum.is_elector(self.parameters.local_peer);
        let candidates_before = self.states.get(&lease).map_or(0, |s| s.candidates_before);
        let delay = if is_elector || candidates_before < NEXT_CANDIDATES {
            self.draw_spacing(lease)
        } else {
            self.draw_first_delay()
        };
        if let Some(state) = self.states.get_mut(&lease) {
            state.phase = Phase::Waiting {
                next_try: earliest + delay,
            };
        }
    }

    fn end_candidacy(&mut self, now: Timestamp, lease: LeaseName) {
        match self.states.get(&lease).map(|state| &state.phase) {
            Some(Phase::Held(held)) => {
                let epoch = held.epoch;
                self.counters.transferred += 1;
                self.lose(now, lease, epoch, LossReason::Transferred);
            }
            Some(Phase::Acquiring { epoch, .. }) => {
                let epoch = *epoch;
                self.abandon_acquisition(now, lease, epoch, TimeDelta::ZERO);
            }
            _ => self.wait(now, lease, TimeDelta::ZERO),
        }
    }

    /// Releases the grants that have come, and tries again later.
    pub(crate) fn abandon_acquisition(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        epoch: Epoch,
        remaining: TimeDelta,
    ) {
        self.send_to_electors(&MessageBody::Release { lease, epoch });
        self.wait(now, lease, remaining);
    }

    /// Whoever was acted on knows a newer epoch.
    pub(crate) fn handle_newer_epoch(&mut self, now: Timestamp, lease: LeaseName, newest: Epoch) {
        self.elector.learn_epoch(lease, newest);
        let held = self.states.get(&lease).and_then(LeaseState::held);
        if let Some(epoch) = held.map(|held| held.epoch).filter(|epoch| *epoch < newest) {
            self.lose(now, lease, epoch, LossReason::Superseded);
        }
    }

    /// A holder has released this elector's grant: a candidate here tries soon, should the successor not.
    pub(crate) fn handle_release(&mut self, now: Timestamp, lease: LeaseName, epoch: Epoch) {
        self.known_leases.end(now, lease, epoch);
        let spacing = self.parameters.heartbeat_interval * CANDIDATE_SPACING;
        let soon = now + spacing + self.draw_spacing(lease);
        if let Some(state) = self.states.get_mut(&lease).filter(|s| s.is_candidate) {
            if let Phase::Waiting { next_try } = &mut state.phase {
                *next_try = soon.min(*next_try);
            }
        }
    }

    /// The holder has transferred the lease to this gateway.
    pub(crate) fn handle_transfer(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        transferred_epoch: Epoch,
    ) {
        let Some(state) = self.states.get(&lease).filter(|s| s.is_candidate) else {
            return;
        };
        let can_prepare = match state.phase {
            Phase::Waiting { .. } | Phase::Probing { .. } => true,
            // It had asked before the transfer, or the message has come twice.
            Phase::Preparing {
                transferred_epoch: known,
                ..
            } => known != Some(transferred_epoch),
            Phase::Acquiring { .. } | Phase::Held(_) => false,
        };
        // An old copy: an epoch that others have left behind transfers nothing.
        let is_outdated = self
            .known_leases
            .holder(lease)
            .is_some_and(|known| known.epoch > transferred_epoch);
        if can_prepare && !is_outdated {
            self.elector.learn_epoch(lease, transferred_epoch);
            self.prepare(now, lease, Some(transferred_epoch));
        }
    }

    /// An epoch above all that this gateway knows of, and above its own start. No process uses one twice, so that no try counts grants of
    /// an earlier one.
    fn next_epoch(&mut self, lease: LeaseName) -> Epoch {
        let newest = self
            .elector
            .newest_epoch(lease)
            .max(Epoch(self.incarnation));
        let Some(state) = self.states.get_mut(&lease) else {
            return newest;
        };
        state.epoch_floor = Epoch(newest.max(state.epoch_floor).0.saturating_add(1));
        state.epoch_floor
    }

    /// Asks all electors for a promise.
    pub(crate) fn prepare(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        transferred_epoch: Option<Epoch>,
    ) {
        let epoch = self.next_epoch(lease);
        let deadline = self.reply_deadline(now);
        let Some(state) = self.states.get_mut(&lease) else {
            return;
        };
        state.remaining = TimeDelta::ZERO;
        state.phase = Phase::Preparing {
            epoch,
            transferred_epoch,
            deadline,
            promises: BTreeSet::new(),
            rejections: BTreeSet::new(),
        };
        self.send_to_electors(&MessageBody::Prepare {
            lease,
            epoch,
            transferred_epoch,
        });
    }

    /// Does what the time has come for with a lease.
    pub(crate) fn handle_deadlines(&mut self, now: Timestamp, lease: LeaseName) {
        self.repeat_release(now, lease);
        let Some(state) = self.states.get(&lease) else {
            return;
        };
        let remaining = state.remaining;
        match &state.phase {
            Phase::Waiting { next_try } if state.is_candidate && *next_try <= now => {
                self.probe(now, lease);
            }
            Phase::Probing { deadline, .. } if *deadline <= now => {
                self.handle_silent_elector(now, lease);
            }
            Phase::Preparing { deadline, .. } if *deadline <= now => {
                self.wait(now, lease, remaining);
            }
            Phase::Acquiring {
                epoch, deadline, ..
            } if *deadline <= now => {
                let epoch = *epoch;
                self.abandon_acquisition(now, lease, epoch, remaining);
            }
            Phase::Held(held) if held.renew_at <= now => self.renew(now, lease),
            _ => {}
        }
    }

    fn repeat_release(&mut self, now: Timestamp, lease: LeaseName) {
        let state = self.states.get_mut(&lease);
        let release = state.and_then(|s| s.repeated_release.take_if(|release| release.at <= now));
        if let Some(release) = release {
            self.send_release(lease, release.epoch, release.successor);
        }
    }

    fn renew(&mut self, now: Timestamp, lease: LeaseName) {
        let heartbeat_interval = self.parameters.heartbeat_interval;
        let state = self.states.get_mut(&lease);
        if let Some((epoch, round)) = state.and_then(|s| s.begin_renewal(now, heartbeat_interval)) {
            self.send_acquire(lease, epoch, round);
        }
    }

    /// Asks all electors for a grant, or for its renewal.
    pub(crate) fn send_acquire(&mut self, lease: LeaseName, epoch: Epoch, round: u16) {
        self.send_to_electors(&MessageBody::Acquire {
            lease,
            epoch,
            round,
            lease_ms: duration_to_ms(self.parameters.lease_duration),
        });
    }

    /// The probed elector has not replied: one of the first in line asks all electors, others the next one.
    fn handle_silent_elector(&mut self, now: Timestamp, lease: LeaseName) {
        let next_try = now + self.draw_first_delay();
        let Some(state) = self.states.get_mut(&lease) else {
            return;
        };
        state.silent_electors = state.silent_electors.wrapping_add(1);
        if state.candidates_before < NEXT_CANDIDATES {
            self.prepare(now, lease, None);
        } else {
            state.phase = Phase::Waiting { next_try };
        }
    }

    /// Looks whether the lease is free: an elector at its own grant, which costs nothing, others at one elector.
    fn probe(&mut self, now: Timestamp, lease: LeaseName) {
        if self.quorum.is_elector(self.parameters.local_peer) {
            self.probe_own_grant(now, lease);
        } else {
            self.probe_elector(now, lease);
        }
    }

    fn probe_own_grant(&mut self, now: Timestamp, lease: LeaseName) {
        let local_peer = self.parameters.local_peer;
        let grant = self.elector.grant_in_force(now, lease);
        let no_grants_until = self.elector.no_grants_until();
        match grant.filter(|grant| grant.holder != local_peer) {
            Some(grant) => self.wait(now, lease, grant.expires_at - now),
            None if now < no_grants_until => self.wait(now, lease, no_grants_until - now),
            None => self.prepare(now, lease, None),
        }
    }

    /// All candidates ask the same elector, so that it knows who is in line before whom; for another lease it is another one.
    fn probe_elector(&mut self, now: Timestamp, lease: LeaseName) {
        let mut electors = self.quorum.electorate().electors.clone();
        electors.sort_by_key(|elector| self.candidate_rank(lease, *elector));
        let returns_to_first = self.rng.generate_range(0..FIRST_ELECTOR_INTERVAL) == 0;
        let epoch = self.next_epoch(lease);
        let deadline = self.reply_deadline(now);
        let Some(state) = self.states.get_mut(&lease) else {
            return;
        };
        if returns_to_first {
            state.silent_electors = 0;
        }
        let position = state.silent_electors % electors.len().max(1);
        let Some(elector) = electors.get(position).copied() else {
            return;
        };
        state.phase = Phase::Probing {
            epoch,
            elector,
            deadline,
        };
        self.send(
            elector,
            MessageBody::Prepare {
                lease,
                epoch,
                transferred_epoch: None,
            },
        );
    }
}
