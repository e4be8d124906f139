//! How a candidate acquires, renews and releases a lease.

use std::collections::BTreeSet;

use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use nanorand::Rng;

use crate::elector::NEXT_CANDIDATES;
use crate::lease_state::{LeaseState, Phase, RepeatedRelease};
use crate::message_handling::duration_to_ms;
use crate::retry_delay::CANDIDATE_SPACING;
use crate::{Action, Epoch, LeaseManager, LeaseName, LossReason, MessageBody};

/// How many heartbeat intervals to wait for replies.
const REPLY_TIMEOUT_HEARTBEATS: f64 = 0.5;
/// After a timeout, probes go to another elector. One probe in this many, drawn at random, goes to the first elector again.
const FIRST_ELECTOR_INTERVAL: u32 = 8;
/// How many heartbeat intervals after the first release message the second one is sent.
const REPEATED_RELEASE_HEARTBEATS: f64 = 1.0 / 8.0;

impl LeaseManager {
    pub(crate) fn reply_deadline(&self, now: Timestamp) -> Timestamp {
        now + self.parameters.heartbeat_interval * REPLY_TIMEOUT_HEARTBEATS
    }

    /// Gives up held leases that have expired by this gateway's clock.
    pub(crate) fn expire_leases(&mut self, now: Timestamp) {
        for lease in self.parameters.leases.clone() {
            let held = self.states.get(&lease).and_then(LeaseState::held);
            if let Some(epoch) = held.filter(|h| now >= h.expires_at).map(|h| h.epoch) {
                self.counters.expired += 1;
                self.lose_lease(now, lease, epoch, LossReason::Expired);
            }
        }
    }

    fn lose_lease(&mut self, now: Timestamp, lease: LeaseName, epoch: Epoch, reason: LossReason) {
        self.actions.push(Action::Lost {
            lease,
            epoch,
            reason,
        });
        let successor = match reason {
            LossReason::Transferred => self.choose_successor(lease),
            LossReason::Expired | LossReason::Superseded => None,
        };
        self.send_release(lease, epoch, successor);
        let send_at = now + self.parameters.heartbeat_interval * REPEATED_RELEASE_HEARTBEATS;
        self.return_to_waiting(now, lease, TimeDelta::ZERO);
        if let Some(state) = self.states.get_mut(&lease) {
            state.repeated_release = Some(RepeatedRelease {
                send_at,
                epoch,
                successor,
            });
        }
        self.known_leases.mark_expired(now, lease, epoch);
    }

    fn send_release(&mut self, lease: LeaseName, epoch: Epoch, successor: Option<PeerId>) {
        self.send_to_electors(&MessageBody::Release { lease, epoch });
        if let Some(successor) = successor {
            self.send(successor, MessageBody::Transfer { lease, epoch });
        }
    }

    /// Chooses the gateway to transfer the lease to among the reported candidates: an elector if there is one, else the lowest rank.
    fn choose_successor(&self, lease: LeaseName) -> Option<PeerId> {
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

    /// Makes this gateway a candidate for a lease, or ends its candidacy and transfers the lease if held.
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
            self.start_candidacy(now, lease);
        } else {
            self.end_candidacy(now, lease);
        }
    }

    /// Schedules the first try: soon for electors and the next candidates, at random for others. So a whole fleet doesn't send requests
    /// at once after a start.
    fn start_candidacy(&mut self, now: Timestamp, lease: LeaseName) {
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
                self.lose_lease(now, lease, epoch, LossReason::Transferred);
            }
            Some(Phase::Acquiring { epoch, .. }) => {
                let epoch = *epoch;
                self.abandon_acquisition(now, lease, epoch, TimeDelta::ZERO);
            }
            _ => self.return_to_waiting(now, lease, TimeDelta::ZERO),
        }
    }

    /// Releases the grants received so far, and schedules another try.
    pub(crate) fn abandon_acquisition(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        epoch: Epoch,
        remaining: TimeDelta,
    ) {
        self.send_to_electors(&MessageBody::Release { lease, epoch });
        self.return_to_waiting(now, lease, remaining);
    }

    /// Handles a newer epoch, reported by the receiver of an operation. A lease held in an older epoch is lost.
    pub(crate) fn handle_newer_epoch(&mut self, now: Timestamp, lease: LeaseName, newest: Epoch) {
        self.elector.learn_epoch(lease, newest);
        let held = self.states.get(&lease).and_then(LeaseState::held);
        if let Some(epoch) = held.map(|held| held.epoch).filter(|epoch| *epoch < newest) {
            self.lose_lease(now, lease, epoch, LossReason::Superseded);
        }
    }

    /// Handles the release of this elector's own grant. If this gateway is a waiting candidate, it tries soon, in case the successor
    /// doesn't.
    pub(crate) fn handle_release(&mut self, now: Timestamp, lease: LeaseName, epoch: Epoch) {
        self.known_leases.mark_expired(now, lease, epoch);
        let spacing = self.parameters.heartbeat_interval * CANDIDATE_SPACING;
        let latest_try = now + spacing + self.draw_spacing(lease);
        if let Some(state) = self.states.get_mut(&lease).filter(|s| s.is_candidate) {
            if let Phase::Waiting { next_try } = &mut state.phase {
                *next_try = latest_try.min(*next_try);
            }
        }
    }

    /// Handles a transfer of the lease to this gateway by its holder.
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
            // A proposal from before the transfer is replaced; a duplicate of the transfer is ignored.
            Phase::Preparing {
                transferred_epoch: known,
                ..
            } => known != Some(transferred_epoch),
            Phase::Acquiring { .. } | Phase::Held(_) => false,
        };
        // A late duplicate: a newer holder is known, so this epoch can no longer be transferred.
        let is_outdated = self
            .known_leases
            .holder(lease)
            .is_some_and(|known| known.epoch > transferred_epoch);
        if can_prepare && !is_outdated {
            self.elector.learn_epoch(lease, transferred_epoch);
            self.prepare(now, lease, Some(transferred_epoch));
        }
    }

    /// Returns an epoch higher than all that this gateway knows of and higher than its incarnation. No process uses an epoch twice, so
    /// replies to an earlier try can't count for a later one.
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

    /// Requests a promise from all electors.
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

    /// Performs the actions of a lease whose deadlines have passed.
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
                self.handle_probe_timeout(now, lease);
            }
            Phase::Preparing { deadline, .. } if *deadline <= now => {
                self.return_to_waiting(now, lease, remaining);
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
        let release =
            state.and_then(|s| s.repeated_release.take_if(|release| release.send_at <= now));
        if let Some(release) = release {
            self.send_release(lease, release.epoch, release.successor);
        }
    }

    fn renew(&mut self, now: Timestamp, lease: LeaseName) {
        let heartbeat_interval = self.parameters.heartbeat_interval;
        let state = self.states.get_mut(&lease);
        if let Some((epoch, round)) = state.and_then(|s| s.start_renewal(now, heartbeat_interval)) {
            self.send_acquire(lease, epoch, round);
        }
    }

    /// Requests a grant, or its renewal, from all electors.
    pub(crate) fn send_acquire(&mut self, lease: LeaseName, epoch: Epoch, round: u16) {
        self.send_to_electors(&MessageBody::Acquire {
            lease,
            epoch,
            round,
            lease_ms: duration_to_ms(self.parameters.lease_duration),
        });
    }

    /// The probed elector hasn't replied in time. One of the next candidates sends proposals to all electors; the others probe another
    /// elector later.
    fn handle_probe_timeout(&mut self, now: Timestamp, lease: LeaseName) {
        let next_try = now + self.draw_first_delay();
        let Some(state) = self.states.get_mut(&lease) else {
            return;
        };
        state.timed_out_probes = state.timed_out_probes.wrapping_add(1);
        if state.candidates_before < NEXT_CANDIDATES {
            self.prepare(now, lease, None);
        } else {
            state.phase = Phase::Waiting { next_try };
        }
    }

    /// Checks whether the lease is free. An elector checks its own grant, which costs no message; others probe one elector.
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
            Some(grant) => self.return_to_waiting(now, lease, grant.expires_at - now),
            None if now < no_grants_until => {
                self.return_to_waiting(now, lease, no_grants_until - now)
            }
            None => self.prepare(now, lease, None),
        }
    }

    /// Probes the first elector by rank, the same for all candidates of a lease, so that this elector knows their order. Each lease ranks
    /// the electors differently, which spreads the load.
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
            state.timed_out_probes = 0;
        }
        let position = state.timed_out_probes % electors.len().max(1);
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
