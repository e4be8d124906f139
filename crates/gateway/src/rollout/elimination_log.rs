//! Log lines on this gateway's elimination votes: by which metrics an arm is worse, and whose outcomes were set aside.

use harrierdock_config::Names;
use harrierdock_policy::elimination_test::{EliminationEvidence, PayoffSource};
use harrierdock_policy::payoff::Payoff;
use harrierdock_types::{Arm, BuildId};

/// An elimination vote of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EliminationVote {
    /// The build that the rollout is of.
    pub(crate) build: BuildId,
    /// Its stage.
    pub(crate) stage: usize,
    /// The arm voted against.
    pub(crate) arm: Arm,
    /// The weight of the vote.
    pub(crate) weight: usize,
}

/// Logs each elimination vote once.
#[derive(Default)]
pub(crate) struct EliminationLog {
    /// The last vote that was logged, against the canary and against the baseline.
    logged: [Option<EliminationVote>; 2],
}

impl EliminationLog {
    /// Logs a vote with what it rests on, unless it was logged before.
    pub(crate) fn log(
        &mut self,
        vote: EliminationVote,
        names: &Names,
        evidence: impl Iterator<Item = EliminationEvidence>,
    ) {
        let logged = &mut self.logged[usize::from(vote.arm == Arm::Baseline)];
        if logged.replace(vote) == Some(vote) {
            return;
        }
        let metrics: Vec<String> = evidence
            .filter(|evidence| evidence.weight(vote.arm) > 0)
            .map(|evidence| describe(&evidence, vote.arm, names))
            .collect();
        tracing::info!(
            "eliminates the {} of build {} in stage {} with weight {}: {}",
            arm_name(vote.arm),
            vote.build,
            vote.stage,
            vote.weight,
            metrics.join("; ")
        );
    }
}

fn arm_name(arm: Arm) -> &'static str {
    match arm {
        Arm::Canary => "canary",
        Arm::Baseline => "baseline",
    }
}

fn describe(evidence: &EliminationEvidence, arm: Arm, names: &Names) -> String {
    format!(
        "{:?} {} of {} against {} of {}, weight {}, set aside [{}] and [{}]",
        evidence.metric,
        paid(&evidence.canary),
        evidence.canary.count.round(),
        paid(&evidence.baseline),
        evidence.baseline.count.round(),
        evidence.weight(arm),
        sources(&evidence.canary_set_aside, names),
        sources(&evidence.baseline_set_aside, names)
    )
}

fn paid(payoff: &Payoff) -> f64 {
    payoff.sum.round()
}

fn sources(set_aside: &[PayoffSource], names: &Names) -> String {
    let name = |source: &PayoffSource| match source {
        PayoffSource::Endpoint(endpoint) => {
            let name = names.endpoints.name(*endpoint);
            name.unwrap_or("a former endpoint").to_string()
        }
        PayoffSource::Class(class) => names.classes.name(*class).to_string(),
    };
    set_aside.iter().map(name).collect::<Vec<_>>().join(" ")
}
