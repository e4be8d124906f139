//! The elimination rules that are compared: the policy's rule and the candidates. A rule computes the weight of a group's vote
//! against the canary by one metric. It also decides whether the votes of all groups eliminate the canary.

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

/// The outcomes of both arms that a group has counted for one metric.
#[derive(Debug)]
pub struct Comparison<'a> {
    /// The evidence that the policy's test uses.
    pub evidence: &'a EliminationEvidence,
    /// Payoff of each endpoint on the canary.
    pub canary: &'a [Payoff],
    /// Payoff of each endpoint on the baseline.
    pub baseline: &'a [Payoff],
}

impl Comparison<'_> {
    /// The weight of the policy's vote against the canary.
    pub fn policy_weight(&self) -> usize {
        self.evidence.weight(Arm::Canary)
    }
}

/// The aggregator to which a gateway reports an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportTarget {
    /// The aggregator of the gateway's group. Aggregators of different groups count outcomes of the same endpoints.
    GroupAggregator,
    /// The aggregator of the endpoint. No two aggregators count outcomes of the same endpoint.
    EndpointAggregator,
}

/// How groups vote against the canary, and how their votes are counted.
pub trait EliminationRule: Sync {
    /// Name of the rule in the report.
    fn name(&self) -> &'static str;

    /// The aggregator that counts an outcome.
    fn report_target(&self) -> ReportTarget {
        ReportTarget::GroupAggregator
    }

    /// The weight of a group's vote against the canary by one metric; 0 means no vote.
    fn weight(&self, comparison: &Comparison<'_>) -> usize;

    /// Whether the votes eliminate the canary. `weights` holds the highest weight of each group's votes in this stage. By default
    /// the votes are counted as the policy counts them.
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

/// The rule that the policy implements.
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

/// Applies a rule with [`ReportTarget::EndpointAggregator`]: each aggregator counts the outcomes of its own part of the
/// endpoints. The votes are as independent as the endpoints.
#[derive(Clone, Copy, Debug)]
pub struct ByEndpoint<R> {
    /// Name of the rule in the report.
    pub name: &'static str,
    /// The rule by which aggregators vote.
    pub rule: R,
}

impl<R: EliminationRule> EliminationRule for ByEndpoint<R> {
    fn name(&self) -> &'static str {
        self.name
    }

    fn report_target(&self) -> ReportTarget {
        ReportTarget::EndpointAggregator
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
