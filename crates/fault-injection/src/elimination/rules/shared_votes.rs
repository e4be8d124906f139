//! Votes that count less the more the groups share endpoints.

use harrierdock_policy::payoff::{DELTA, ETA};

use super::{Comparison, EliminationRule};
use crate::elimination::scenario::Fleet;

/// How many endpoints of an arm a gateway keeps to.
const ENDPOINTS_PER_GATEWAY: f64 = 20.0;
/// One group makes up half of the weight at the most where its outcomes are its own.
const LARGEST_SHARE_OF_INDEPENDENT_VOTE: f64 = 0.5;

/// A rule whose votes need as much more weight together as they depend on each other: the design effect of `voters` votes with
/// a correlation of `sharing` is `1 + (voters - 1) * sharing`.
#[derive(Clone, Copy, Debug)]
pub struct SharedVotes<R> {
    /// What the report calls it.
    pub name: &'static str,
    /// How groups vote.
    pub rule: R,
}

impl<R: EliminationRule> EliminationRule for SharedVotes<R> {
    fn name(&self) -> &'static str {
        self.name
    }

    fn weight(&self, comparison: &Comparison<'_>) -> usize {
        self.rule.weight(comparison)
    }

    fn eliminates(&self, fleet: Fleet, weights: &[usize]) -> bool {
        let sharing = endpoint_sharing(fleet);
        let voters = (fleet.groups() / 2).max(1);
        let needed = (DELTA.ln() / ETA.ln()).floor();
        let needed_together = needed * (1.0 + (voters - 1) as f64 * sharing);
        // A vote is worth what it holds at, up to δ where groups see the same endpoints.
        let own_share = LARGEST_SHARE_OF_INDEPENDENT_VOTE;
        let largest = needed * (own_share + (1.0 - own_share) * sharing);
        let held = weights.iter().filter(|weight| **weight > 0);
        let total: f64 = held.clone().map(|weight| largest.min(*weight as f64)).sum();
        held.count() >= voters && total >= needed_together
    }
}

/// The share of a group's endpoints that another group meets too.
fn endpoint_sharing(fleet: Fleet) -> f64 {
    let endpoints = fleet.endpoints() as f64;
    let met_by_one = (ENDPOINTS_PER_GATEWAY / endpoints).min(1.0);
    1.0 - (1.0 - met_by_one).powf(fleet.gateways_per_group())
}
