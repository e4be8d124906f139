//! The rules that are compared: today's, and candidates. A rule says how much a group votes against the canary by one metric, and
//! whether the votes of all groups eliminate it.

mod endpoint_rules;
mod shared_votes;
mod statistics;

use harrierdock_policy::context::Context;
use harrierdock_policy::elimination_test::EliminationEvidence;
use harrierdock_policy::elimination_votes::EliminationVotes;
use harrierdock_policy::payoff::Payoff;
use harrierdock_types::{Arm, PeerId};

pub use endpoint_rules::{
    ClusterRadius, MatchedOutliers, OutlierBound, RankSumTest, SignTest, SymmetricTrim,
};
pub use shared_votes::SharedVotes;

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

/// Which aggregator a gateway reports an outcome to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportTarget {
    /// That of the gateway's group: all groups meet the same endpoints.
    OwnGroup,
    /// That of the endpoint: no two aggregators count outcomes of the same endpoint.
    EndpointsGroup,
}

/// A rule by which groups vote against the canary, and votes count.
pub trait EliminationRule: Sync {
    /// What the report calls it.
    fn name(&self) -> &'static str;

    /// Which aggregator counts an outcome.
    fn report_target(&self) -> ReportTarget {
        ReportTarget::OwnGroup
    }

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
        votes.is_eliminated(&context, Arm::Canary, 1.0)
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

/// A rule whose aggregators each count the outcomes of their part of the endpoints, so that their votes are independent where
/// endpoints are.
#[derive(Clone, Copy, Debug)]
pub struct ByEndpoint<R> {
    /// What the report calls it.
    pub name: &'static str,
    /// How aggregators vote.
    pub rule: R,
}

impl<R: EliminationRule> EliminationRule for ByEndpoint<R> {
    fn name(&self) -> &'static str {
        self.name
    }

    fn report_target(&self) -> ReportTarget {
        ReportTarget::EndpointsGroup
    }

    fn weight(&self, comparison: &Comparison<'_>) -> usize {
        self.rule.weight(comparison)
    }

    fn eliminates(&self, fleet: Fleet, weights: &[usize]) -> bool {
        self.rule.eliminates(fleet, weights)
    }
}

/// The policy's rule, then the candidates.
pub fn compared_rules() -> Vec<Box<dyn EliminationRule>> {
    let mut rules: Vec<Box<dyn EliminationRule>> = vec![
        Box::new(PolicyRule),
        Box::new(ClusterRadius),
        Box::new(SymmetricTrim),
        Box::new(MatchedOutliers),
        Box::new(OutlierBound),
        Box::new(SignTest),
        Box::new(RankSumTest),
    ];
    rules.extend(rules_of_shared_votes());
    rules.extend(rules_by_endpoint());
    rules
}

fn rules_of_shared_votes() -> [Box<dyn EliminationRule>; 5] {
    [
        Box::new(SharedVotes {
            name: "bound+shared",
            rule: OutlierBound,
        }),
        Box::new(SharedVotes {
            name: "policy+shared",
            rule: PolicyRule,
        }),
        Box::new(SharedVotes {
            name: "cluster+shared",
            rule: ClusterRadius,
        }),
        Box::new(SharedVotes {
            name: "sign+shared",
            rule: SignTest,
        }),
        Box::new(SharedVotes {
            name: "rank+shared",
            rule: RankSumTest,
        }),
    ]
}

fn rules_by_endpoint() -> [Box<dyn EliminationRule>; 6] {
    [
        Box::new(ByEndpoint {
            name: "bound/parts",
            rule: OutlierBound,
        }),
        Box::new(ByEndpoint {
            name: "policy/parts",
            rule: PolicyRule,
        }),
        Box::new(ByEndpoint {
            name: "cluster/parts",
            rule: ClusterRadius,
        }),
        Box::new(ByEndpoint {
            name: "matched/parts",
            rule: MatchedOutliers,
        }),
        Box::new(ByEndpoint {
            name: "sign/parts",
            rule: SignTest,
        }),
        Box::new(ByEndpoint {
            name: "rank/parts",
            rule: RankSumTest,
        }),
    ]
}
