//! The elimination votes of all gossip groups, added up by weight to eliminate an arm (departures B and H in docs/design.md).
//! Owns the votes of the current stage.

use std::collections::BTreeMap;

use harrierdock_types::{Action, Arm, GossipMessage, PeerId, TimeDelta, Timestamp};

use crate::context::Context;
use crate::payoff::{DELTA, ETA};
use crate::per_arm::PerArm;
use crate::rollout_state::RolloutStage;

/// How often this gateway's elimination votes are sent to its peers.
const SEND_INTERVAL: TimeDelta = TimeDelta(1_000_000);

/// The elimination votes of one stage, by arm and gossip group.
#[derive(Debug, Default)]
pub struct EliminationVotes {
    weights: PerArm<BTreeMap<PeerId, usize>>,
    last_sent: Option<Timestamp>,
}

impl EliminationVotes {
    /// Counts a vote; its weight is an exponent of η. Only aggregators vote, and the highest weight of each one counts.
    pub fn record(&mut self, context: &Context, arm: Arm, from: PeerId, weight: usize) {
        let is_aggregator =
            from.0 < context.parameters.gateway_count && context.gossip_group_of(from) == from;
        if weight > 0 && is_aggregator {
            let highest = self.weights.get_mut(arm).entry(from).or_default();
            *highest = weight.max(*highest);
        }
    }

    /// Whether the votes against an arm reach `ratio` of the weight that δ requires. At least half of the groups, and at least
    /// one, must have voted.
    ///
    /// Where four or more groups vote, one group contributes at most half of the weight, whatever its confidence: the cause may
    /// be local to that group. A gateway without gossip decides by its own vote alone (departure L in docs/design.md).
    pub fn is_eliminated(&self, context: &Context, arm: Arm, ratio: f64) -> bool {
        let weights = self.weights.get(arm);
        let required_weight = (DELTA.ln() / ETA.ln()).floor();
        let min_voters = (context.voting_group_count() / 2).max(1);
        let max_weight = required_weight / min_voters.min(2) as f64;
        let total = weights
            .values()
            .map(|weight| max_weight.min(*weight as f64))
            .sum::<f64>();
        weights.len() >= min_voters && total >= required_weight * ratio
    }

    /// Sends this gateway's votes to all peers once per [`SEND_INTERVAL`].
    pub(crate) fn emit(
        &mut self,
        context: &Context,
        stage: &RolloutStage,
        actions: &mut Vec<Action>,
    ) {
        let is_early = self
            .last_sent
            .is_some_and(|at| context.now - at < SEND_INTERVAL);
        let parameters = &context.parameters;
        if !parameters.limits.gossip_enabled || parameters.gateway_count < 2 || is_early {
            return;
        }
        for arm in [Arm::Canary, Arm::Baseline] {
            let Some(weight) = self.weights.get(arm).get(&parameters.local_peer) else {
                continue;
            };
            self.last_sent = Some(context.now);
            let message = GossipMessage::EliminationVote {
                build: stage.build,
                stage: stage.index,
                weight: *weight,
                arm,
            };
            actions.push(Action::SendGossip { to: None, message });
        }
    }
}
