//! Log lines about this gateway's elimination votes: the metrics by which an arm is worse, and the excluded outcomes.

use harrierdock_config::Names;
use harrierdock_policy::elimination_test::{EliminationEvidence, PayoffSource};
use harrierdock_policy::payoff::Payoff;
use harrierdock_types::{Arm, BuildId};

/// An elimination vote, as far as it decides whether a later vote is logged again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EliminationVote {
    /// The build that is rolled out.
    pub(crate) build: BuildId,
    /// The rollout stage of the build.
    pub(crate) stage: usize,
    /// The arm voted against.
    pub(crate) arm: Arm,
    /// The confidence of the vote, as an exponent of η (see `harrierdock_policy::payoff`).
    pub(crate) weight: usize,
}

/// Logs elimination votes, without repeating the last one against each arm.
#[derive(Default)]
pub(crate) struct EliminationLog {
    /// The last logged votes against the canary and against the baseline.
    logged: [Option<EliminationVote>; 2],
}

impl EliminationLog {
    /// Logs a vote with its evidence, unless the same vote was the last one logged against its arm.
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
        let evidence_texts: Vec<String> = evidence
            .filter(|evidence| evidence.weight(vote.arm) > 0)
            .map(|evidence| describe(&evidence, vote.arm, names))
            .collect();
        tracing::info!(
            "voted to eliminate the {} of build {} in stage {} with weight {}: {}",
            arm_name(vote.arm),
            vote.build,
            vote.stage,
            vote.weight,
            evidence_texts.join("; ")
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
        "{:?}: canary {} of {} against {} of {}, weight {}, excluded [{}] and [{}]",
        evidence.metric,
        rounded_payoff(&evidence.canary),
        evidence.canary.count.round(),
        rounded_payoff(&evidence.baseline),
        evidence.baseline.count.round(),
        evidence.weight(arm),
        source_names(&evidence.canary_set_aside, names),
        source_names(&evidence.baseline_set_aside, names)
    )
}

fn rounded_payoff(payoff: &Payoff) -> f64 {
    payoff.sum.round()
}

fn source_names(set_aside: &[PayoffSource], names: &Names) -> String {
    let name = |source: &PayoffSource| match source {
        PayoffSource::Endpoint(endpoint) => {
            let name = names.endpoints.name(*endpoint);
            name.unwrap_or("a removed endpoint").to_string()
        }
        PayoffSource::Class(class) => names.classes.name(*class).to_string(),
    };
    set_aside.iter().map(name).collect::<Vec<_>>().join(" ")
}
