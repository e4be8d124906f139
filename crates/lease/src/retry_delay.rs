//! When a candidate tries next. Candidates of a large fleet spread over time, so that they neither ask at once nor take grants from each
//! other.

use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use nanorand::Rng;

use crate::elector::{CandidateTimeouts, MAX_CANDIDATES, NEXT_CANDIDATES};
use crate::lease_state::Phase;
use crate::{LeaseManager, LeaseName};

/// Heartbeats between the tries of two candidates: longer than a round on the paths of one site. Each candidate that is gone delays the
/// next one by this.
pub(crate) const CANDIDATE_SPACING: f64 = 1.0 / 16.0;
/// Leases between the looks of candidates behind the first.
const LATER_LOOK_LEASES: f64 = 12.0;
/// Doublings of the wait after tries that came to nothing.
const MAX_DOUBLINGS: u32 = 4;
/// Looks a lease by a whole fleet whose candidates do not know yet how many are before them.
const FIRST_LOOKS_PER_LEASE: f64 = 64.0;

impl LeaseManager {
    /// The rank by which every elector orders candidates, lowest first; another order for each lease.
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
            later: self.parameters.lease_duration * (2.0 * LATER_LOOK_LEASES),
        }
    }

    /// By how much this candidate's try is later than that of the first in line.
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

    /// The delay of a candidate that knows to be far behind in line: all such together look about once a lease.
    fn draw_distant_delay(&mut self) -> TimeDelta {
        let peers = self.parameters.name_hashes.len() as f64;
        self.parameters.lease_duration * (2.0 * peers * self.rng.generate::<f64>()).max(0.5)
    }

    /// The delay of a candidate that has not heard from an elector how many are before it. All of a large fleet look 64 times a lease in sum, each once:
    /// nobody knows yet how many they are, and few must not wait long.
    pub(crate) fn draw_first_delay(&mut self) -> TimeDelta {
        let peers = self.parameters.name_hashes.len() as f64;
        let leases = (peers / FIRST_LOOKS_PER_LEASE).max(1.0);
        self.parameters.lease_duration * (leases * self.rng.generate::<f64>())
    }

    /// Ends what is under way, and sets the next try. `remaining` is for how long another gateway holds the lease.
    pub(crate) fn wait(&mut self, now: Timestamp, lease: LeaseName, remaining: TimeDelta) {
        let spacing = self.draw_spacing(lease);
        let distant_delay = self.draw_distant_delay();
        let draw = self.rng.generate::<f64>();
        let is_elector = self.quorum.is_elector(self.parameters.local_peer);
        let lease_duration = self.parameters.lease_duration;
        let unit = self.parameters.heartbeat_interval * CANDIDATE_SPACING;
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
                    expected_free + lease_duration * (LATER_LOOK_LEASES * (0.5 + draw))
                }
                _ => expected_free + distant_delay,
            }
        } else {
            state.failures = (state.failures + 1).min(MAX_DOUBLINGS);
            now + spacing + unit * (draw * f64::from(1u32 << state.failures))
        };
        state.phase = Phase::Waiting { next_try };
    }
}
