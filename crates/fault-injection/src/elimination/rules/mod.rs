//! The rules that are compared. A rule says how much a group votes against the canary by one metric, and
//! whether the votes of all groups eliminate it.

use harrierdock_policy::context::Context;
use harrierdock_policy::elimination_test::EliminationEvidence;
use harrierdock_policy::elimination_votes::EliminationVotes;
use harrierdock_policy::payoff::Payoff;
use harrierdock_types::{Arm, PeerId};

use super::scenario::Fleet;

/// What a group knows of the two arms by one metric.
#[derive(Debug)]
pub struct Comparison<'a> {
    /// What the policy's test rests on.
    pub evidence: &'a EliminationEvidence,
    /// What each of the canary's endpoints was paid.
    pub canary: &'a [Payoff],
    /// What each of the baseline's was.
    pub baseline: &'a [Payoff],
}

impl Comparison<'_> {
    /// The weight that the policy votes with against the canary.
    pub fn policy_weight(&self) -> usize {
        self.evidence.weight(Arm::Canary)
    }
}

/// A rule by which groups vote against the canary, and votes count.
pub trait EliminationRule: Sync {
    /// What the report calls it.
    fn name(&self) -> &'static str;

    /// The weight of a group's vote against the canary by one metric; 0 is no vote.
    fn weight(&self, comparison: &Comparison<'_>) -> usize;

    /// Whether the highest weights that each group has voted with in this stage eliminate the canary. By default the policy
    /// counts them.
    fn eliminates(&self, fleet: Fleet, weights: &[usize]) -> bool {
        let context = fleet_context(fleet);
        let mut votes = EliminationVotes::default();
        for (group, weight) in weights.iter().enumerate() {
            votes.record(&context, Arm::Canary, PeerId(group), *weight);
        }
        votes.eliminate(&context, Arm::Canary, 1.0)
    }
}

fn fleet_context(fleet: Fleet) -> Context {
    let mut context = Context::default();
    context.parameters.gateway_count = fleet.gateways;
    context.parameters.limits.gossip_enabled = true;
    context
}

/// The policy as it is.
#[derive(Clone, Copy, Debug)]
pub struct PolicyRule;

impl EliminationRule for PolicyRule {
    fn name(&self) -> &'static str {
        "policy"
    }

    fn weight(&self, comparison: &Comparison<'_>) -> usize {
        comparison.policy_weight()
    }
}

/// The policy's rule first.
pub fn compared_rules() -> Vec<Box<dyn EliminationRule>> {
    vec![Box::new(PolicyRule)]
}
