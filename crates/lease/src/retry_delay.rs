//! Computes when a candidate next tries to acquire a lease. The candidates of a large fleet spread their tries, so that they neither send
//! requests at once nor split the grants among themselves.

use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use nanorand::Rng;

use crate::elector::{CandidateTimeouts, MAX_CANDIDATES, NEXT_CANDIDATES};
use crate::lease_state::Phase;
use crate::{LeaseManager, LeaseName};

/// The time between the tries of two candidates with successive ranks to acquire a free lease, in heartbeat intervals. It is longer than a
/// round trip within a site. Each crashed candidate delays the candidates that rank behind it by this spacing.
pub(crate) const CANDIDATE_SPACING: f64 = 1.0 / 16.0;
/// The mean interval between probes of a candidate that ranks behind the first [`NEXT_CANDIDATES`], in lease durations.
const LATER_PROBE_LEASES: f64 = 12.0;
/// How often the delay after failed tries doubles at most.
const MAX_DOUBLINGS: u32 = 4;
/// How many probes all candidates together send in a lease duration before electors have reported their places.
const FIRST_PROBES_PER_LEASE: f64 = 64.0;

impl LeaseManager {
    /// The rank by which all electors order candidates, lowest first. The order differs from lease to lease.
    pub(crate) fn candidate_rank(&self, lease: LeaseName, peer: PeerId) -> u64 {
        let hash = self.parameters.name_hash(peer).unwrap_or(0);
        let lease_number = match lease {
            LeaseName::RolloutController => 1 << 16,
            LeaseName::RecoveryOwner => 1 << 17,
            LeaseName::Aggregator(group) => u64::from(group),
        };
        let mixed = (u64::from(hash) << 20 ^ lease_number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    }

    pub(crate) fn candidate_timeouts(&self) -> CandidateTimeouts {
        CandidateTimeouts {
            next: self.parameters.lease_duration * 4.0,
            later: self.parameters.lease_duration * (2.0 * LATER_PROBE_LEASES),
        }
    }

    /// Draws this candidate's delay behind the first candidate: a spacing for each candidate ranked before it, and up to half a spacing at
    /// random.
    pub(crate) fn draw_spacing(&mut self, lease: LeaseName) -> TimeDelta {
        let local_peer = self.parameters.local_peer;
        let electors = self.quorum.electors();
        let own_rank = self.candidate_rank(lease, local_peer);
        let before = if self.quorum.is_elector(local_peer) {
            electors
                .iter()
                .filter(|elector| self.candidate_rank(lease, **elector) < own_rank)
                .count()
        } else {
            electors.len() + self.states.get(&lease).map_or(0, |s| s.candidates_before)
        };
        let draw = self.rng.generate::<f64>();
        self.parameters.heartbeat_interval * (CANDIDATE_SPACING * (before as f64 + 0.5 * draw))
    }

    /// Draws the delay of a candidate that ranks behind the `MAX_CANDIDATES` that electors keep. All these candidates together probe about
    /// once in a lease duration.
    fn draw_distant_delay(&mut self) -> TimeDelta {
        let peers = self.parameters.name_hashes.len() as f64;
        self.parameters.lease_duration * (2.0 * peers * self.rng.generate::<f64>()).max(0.5)
    }

    /// Draws the delay of a candidate to which no elector has reported its place yet. Up to 64 gateways probe within one lease duration; a
    /// larger fleet spreads its probes to 64 in each. A wider spread would make a few candidates wait long, and their number is unknown.
    pub(crate) fn draw_first_delay(&mut self) -> TimeDelta {
        let peers = self.parameters.name_hashes.len() as f64;
        let leases = (peers / FIRST_PROBES_PER_LEASE).max(1.0);
        self.parameters.lease_duration * (leases * self.rng.generate::<f64>())
    }

    /// Returns to the waiting phase, and schedules the next try. `remaining` is how long another gateway still holds the lease, or zero.
    pub(crate) fn return_to_waiting(
        &mut self,
        now: Timestamp,
        lease: LeaseName,
        remaining: TimeDelta,
    ) {
        let spacing = self.draw_spacing(lease);
        let distant_delay = self.draw_distant_delay();
        let draw = self.rng.generate::<f64>();
        let is_elector = self.quorum.is_elector(self.parameters.local_peer);
        let lease_duration = self.parameters.lease_duration;
        let base_delay = self.parameters.heartbeat_interval * CANDIDATE_SPACING;
        let Some(state) = self.states.get_mut(&lease) else {
            return;
        };
        let next_try = if remaining > TimeDelta::ZERO {
            state.failures = 0;
            let expected_free = now + remaining;
            match state.candidates_before {
                before if is_elector || before == 0 => expected_free + spacing,
                before if before < NEXT_CANDIDATES => {
                    expected_free + lease_duration * before as f64 + spacing
                }
                before if before < MAX_CANDIDATES => {
                    expected_free + lease_duration * (LATER_PROBE_LEASES * (0.5 + draw))
                }
                _ => expected_free + distant_delay,
            }
        } else {
            state.failures = (state.failures + 1).min(MAX_DOUBLINGS);
            now + spacing + base_delay * (draw * f64::from(1u32 << state.failures))
        };
        state.phase = Phase::Waiting { next_try };
    }
}
