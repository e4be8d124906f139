//! Votes that count less if the groups share more endpoints.

use harrierdock_policy::payoff::{DELTA, ETA};

use super::{Comparison, EliminationRule};
use crate::elimination::scenario::Fleet;

/// Endpoints of an arm to which one gateway sends requests.
const ENDPOINTS_PER_GATEWAY: f64 = 20.0;
/// Largest share of the needed weight that one group can contribute if groups share no endpoints.
const LARGEST_SHARE_OF_INDEPENDENT_VOTE: f64 = 0.5;

/// Applies a rule, and raises the total weight that its votes need by the design effect of correlated votes. `voters` votes with
/// a correlation of `sharing` have a design effect of `1 + (voters - 1) * sharing`.
#[derive(Clone, Copy, Debug)]
pub struct SharedVotes<R> {
    /// Name of the rule in the report.
    pub name: &'static str,
    /// The rule by which groups vote.
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
        let needed_total = needed * (1.0 + (voters - 1) as f64 * sharing);
        // A vote counts at most half of the needed weight if groups share no endpoints, and all of it if they share all.
        let own_share = LARGEST_SHARE_OF_INDEPENDENT_VOTE;
        let largest = needed * (own_share + (1.0 - own_share) * sharing);
        let votes = weights.iter().filter(|weight| **weight > 0);
        let total: f64 = votes
            .clone()
            .map(|weight| largest.min(*weight as f64))
            .sum();
        votes.count() >= voters && total >= needed_total
    }
}

/// The share of a group's endpoints to which another group also sends requests.
fn endpoint_sharing(fleet: Fleet) -> f64 {
    let endpoints = fleet.endpoints() as f64;
    let share_of_one_gateway = (ENDPOINTS_PER_GATEWAY / endpoints).min(1.0);
    1.0 - (1.0 - share_of_one_gateway).powf(fleet.gateways_per_group())
}
