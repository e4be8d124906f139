//! The steward's calls of the installation: which call is due is decided in `crates/rollout-controller`, whether it may go out is
//! asked in the moment before its bytes do.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_event_loop::{ConnectionId, ExchangeEvent, IoContext, RequestExchange};
use harrierdock_lease::Epoch;
use harrierdock_rollout_controller::{
    Action, CallOutcome, Decision, Event, Notice, RolloutController, RolloutControllerParameters,
    RolloutStage, StagePhase, Vote,
};
use harrierdock_types::{BuildId, PeerId, RolloutPhase};
use harrierdock_types::{PlatformStatus, RolloutDecision, RolloutUpdate};
use harrierdock_types::{TimeDelta, Timestamp};
use serde::Deserialize;
use serde_json::json;

use crate::config::lease::StewardTold;

const PATH: &str = "/waves";

/// What the installation says with an answer.
#[derive(Deserialize)]
struct Held {
    /// The latest epoch it has seen.
    epoch: u64,
    /// What was asked for is done already.
    done: bool,
}

/// A call under way.
struct Out {
    no: ConnectionId,
    ballot: Vote,
    again: bool,
    errand: RequestExchange,
    epoch: Option<Epoch>,
    due: Timestamp,
}

/// What became of a call.
pub struct Ended {
    pub ballot: Vote,
    pub answer: CallOutcome,
    /// The installation knows this later epoch.
    pub newest: Option<Epoch>,
    pub no: ConnectionId,
    pub due: Timestamp,
}

pub struct Stewarding {
    steward: RolloutController,
    installation: SocketAddr,
    name: String,
    incarnation: u64,
    /// How long a call may take.
    wait: TimeDelta,
    out: Option<Out>,
    /// When it asked to be woken.
    pub due: Option<Timestamp>,
}

fn plain(ballot: Vote) -> String {
    let Vote {
        stage: RolloutStage { build, stage },
        decision,
    } = ballot;
    format!("build {build} stage {stage} {}", word(decision))
}

fn word(decision: Decision) -> &'static str {
    match decision {
        Decision::Promote => "on",
        Decision::RollBack => "back",
    }
}

/// What a module's vote is to the steward: a hold, or a vote taken away, moves nothing.
pub fn ballot(build: BuildId, stage: usize, verdict: RolloutDecision) -> Option<Vote> {
    let decision = match verdict {
        RolloutDecision::Promote => Decision::Promote,
        RolloutDecision::RollBack => Decision::RollBack,
        RolloutDecision::Hold | RolloutDecision::Withdraw => return None,
    };
    Some(Vote {
        stage: RolloutStage { build, stage },
        decision,
    })
}

/// How the wave stands by the platform's news.
pub fn stage(news: &RolloutUpdate) -> Option<Event> {
    let phase = match news.phase {
        RolloutPhase::Canary => StagePhase::Canary,
        RolloutPhase::Released => StagePhase::Released,
        RolloutPhase::RollingBack | RolloutPhase::RolledBack => StagePhase::Over,
    };
    let stage = RolloutStage {
        build: news.build,
        stage: news.stage,
    };
    (news.status == PlatformStatus::Valid).then_some(Event::StageUpdated { stage, phase })
}

/// Spans that the steward goes by, beside what is told.
pub struct Spans {
    pub vote_ttl: TimeDelta,
    pub call_wait: TimeDelta,
    pub heartbeat: TimeDelta,
}

impl Stewarding {
    pub fn new(
        now: Timestamp,
        told: &StewardTold,
        name: &str,
        (own, gateways): (usize, usize),
        spans: &Spans,
    ) -> Stewarding {
        let incarnation = (now.0 / 1000) as u64;
        let parameters = RolloutControllerParameters {
            own: PeerId(own),
            gateway_count: gateways,
            promote_votes_ratio: told.on_votes,
            roll_back_votes_ratio: told.back_votes,
            decision_timeout: TimeDelta(i64::from(told.bound_ms) * 1000),
            vote_ttl: spans.vote_ttl,
            // As often as leases are renewed: a lost ballot costs no more than a lost renewal.
            resend_interval: spans.heartbeat,
            retry_delay: spans.call_wait / 2.0,
            incarnation,
        };
        Stewarding {
            steward: RolloutController::new(now, parameters),
            installation: told.installation,
            name: name.into(),
            incarnation,
            wait: spans.call_wait,
            out: None,
            due: None,
        }
    }

    /// Tells `crates/rollout-controller`, says what is worth a line, and gives back the rest.
    pub fn take(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let actions = self.steward.handle(now, event);
        let said = |action: &Action| match action {
            Action::Notify(said) => {
                self.say(*said);
                false
            }
            _ => true,
        };
        actions.into_iter().filter(said).collect()
    }

    fn say(&self, said: Notice) {
        match said {
            Notice::Done {
                vote: ballot,
                votes,
            } => {
                tracing::info!(
                    "fleet: steward: {} is done, on {votes} votes",
                    plain(ballot)
                );
            }
            Notice::EpochRejected {
                vote: ballot,
                epoch,
            } => {
                tracing::warn!(
                    "fleet: steward: {} refused, epoch {epoch} is over",
                    plain(ballot)
                );
            }
            Notice::Overdue {
                stage: wave,
                promote_votes: on,
                roll_back_votes: back,
                needed_votes: needs,
                holds_lease: holds,
            } => {
                let holder = if holds {
                    "this gateway is steward"
                } else {
                    "another is steward, or nobody"
                };
                tracing::warn!(
                    "fleet: steward: build {} stage {} has no decision in its time: {on} votes on, {back} back, \
                     {needs} needed; {holder}",
                    wave.build,
                    wave.stage
                );
            }
        }
    }

    /// Begins a call: the connection first. Gives back when it must have had its answer; none if it could not begin.
    pub fn begin<D>(
        &mut self,
        net: &mut IoContext<D>,
        (ballot, again): (Vote, bool),
        no: ConnectionId,
        on_ready: impl Fn(&mut D, Readiness) + 'static,
    ) -> Option<Timestamp> {
        let errand = RequestExchange::connect(net, self.installation, on_ready)?;
        let due = net.now() + self.wait;
        self.out = Some(Out {
            no,
            ballot,
            again,
            errand,
            epoch: None,
            due,
        });
        Some(due)
    }

    /// The call's connection is ready. `may_act` is asked when the bytes can go out, and not before.
    pub fn serve<D>(
        &mut self,
        net: &mut IoContext<D>,
        no: ConnectionId,
        readiness: Readiness,
        may_act: impl FnOnce(Timestamp) -> Option<Epoch>,
    ) -> Option<Ended> {
        let out = self.out.as_mut().filter(|o| o.no == no)?;
        let (answer, newest) = match out.errand.handle_readiness(net, readiness) {
            ExchangeEvent::Pending => return None,
            ExchangeEvent::Connected => {
                let Some(epoch) = may_act(net.now()) else {
                    tracing::info!(
                        "fleet: steward: {} is left: not steward any more",
                        plain(out.ballot)
                    );
                    return self.end(net, CallOutcome::NotSent, None);
                };
                let Vote {
                    stage: wave,
                    decision,
                } = out.ballot;
                let body = json!({"image": wave.build.0, "ring": wave.stage, "way": word(decision), "epoch": epoch.0,
                    "gateway": self.name, "start": self.incarnation, "again": out.again});
                out.epoch = Some(epoch);
                if out.errand.post(net, PATH, body.to_string().as_bytes()) {
                    return None;
                }
                (CallOutcome::Unknown, None)
            }
            ExchangeEvent::Responded { status, body } => {
                let held = serde_json::from_slice::<Held>(&body).ok();
                let newest = held
                    .as_ref()
                    .map(|h| Epoch(h.epoch))
                    .filter(|e| Some(*e) > out.epoch);
                match (status, held) {
                    (200, _) => (CallOutcome::Done, None),
                    (409, _) if newest.is_some() => (CallOutcome::StaleEpoch, newest),
                    (409, Some(Held { done: true, .. })) => (CallOutcome::Done, None),
                    _ => (CallOutcome::Unknown, None),
                }
            }
            ExchangeEvent::Failed => (CallOutcome::Unknown, None),
        };
        self.end(net, answer, newest)
    }

    /// It has not had its answer in its time.
    pub fn give_up<D>(&mut self, net: &mut IoContext<D>, no: ConnectionId) -> Option<Ended> {
        self.out.as_ref().filter(|o| o.no == no)?;
        self.end(net, CallOutcome::Unknown, None)
    }

    fn end<D>(
        &mut self,
        net: &mut IoContext<D>,
        answer: CallOutcome,
        newest: Option<Epoch>,
    ) -> Option<Ended> {
        let Out {
            no,
            ballot,
            errand,
            epoch,
            due,
            ..
        } = self.out.take()?;
        errand.close(net);
        // What never went out was not done, for certain.
        let answer = if answer == CallOutcome::Unknown && epoch.is_none() {
            CallOutcome::NotSent
        } else {
            answer
        };
        Some(Ended {
            ballot,
            answer,
            newest,
            no,
            due,
        })
    }
}
