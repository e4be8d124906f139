//! Applies endpoint lists, rollout updates, sticky versions of other sites and complaints to the state of the policy.

use harrierdock_types::{
    AffinityKey, BuildId, ClassId, EndpointId, EndpointRecord, OutcomeReport, PlatformStatus,
    ReportedEvent, RolloutUpdate, UpdateKind,
};
use nanorand::Rng;

use crate::elimination_votes::EliminationVotes;
use crate::rollout_state::{is_rollback, StageChange};
use crate::rollout_voter::RolloutEvidence;
use crate::Policy;

impl Policy {
    pub(crate) fn update_endpoints(&mut self, kind: UpdateKind, records: Vec<EndpointRecord>) {
        let now = self.context.now;
        self.discovery_watch.record_list(now, kind);
        if kind == UpdateKind::Failed {
            return;
        }
        self.endpoints.prepare_for_list(now, kind);
        for record in records {
            if !self.endpoints.refresh(now, &record) {
                let latency_estimate = self.latency.initial_estimate(record.model);
                let tie_breaker = self.rng.generate();
                self.endpoints
                    .insert(now, record, latency_estimate, tie_breaker);
            }
        }
        self.endpoints
            .recompute_derived_state(&self.context, &self.rollout);
    }

    pub(crate) fn update_rollout(&mut self, update: RolloutUpdate) {
        if update.is_vote_response {
            self.voter
                .handle_vote_response(&self.context, update.status, &mut self.rng);
        }
        if update.status != PlatformStatus::Valid {
            return;
        }
        if is_rollback(update.phase) {
            self.sticky_versions.release_build(update.build);
        }
        let change = self.rollout.apply(self.context.now, update);
        self.elimination.change_stage(change);
        if change != StageChange::None {
            self.elimination_votes = EliminationVotes::default();
            self.voter.change_stage();
        }
        self.endpoints
            .recompute_derived_state(&self.context, &self.rollout);
        self.decide_vote();
    }

    pub(crate) fn decide_vote(&mut self) {
        self.voter.decide(&RolloutEvidence {
            context: &self.context,
            rollout: &self.rollout,
            elimination_votes: &self.elimination_votes,
            endpoints: &self.endpoints,
        });
    }

    /// Makes a key stick to the build that answered a request with this key at another site, so that no older build answers the
    /// key here (departure J in docs/design.md).
    pub(crate) fn learn_sticky_version(&mut self, key: AffinityKey, build: BuildId) {
        if self.context.parameters.rollout.monotonic_versions {
            self.sticky_versions.keep(key, build);
        }
    }

    pub(crate) fn receive_complaint(&mut self, endpoint: EndpointId, class: ClassId) {
        let Some(record) = self.endpoint(endpoint) else {
            return;
        };
        let report = OutcomeReport {
            gossip_id: record.gossip_id,
            build: record.build,
            class,
            event: ReportedEvent::Complaint,
            latency_ratio: 0.0,
        };
        self.report_outcome(report);
    }
}
