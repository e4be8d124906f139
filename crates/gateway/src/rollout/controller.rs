//! The steward's calls of the installation: which call is due is decided in `crates/rollout-controller`, whether it may go out is
//! asked in the moment before its bytes do.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_event_loop::{ConnectionId, ExchangeEvent, IoContext, RequestExchange};
use harrierdock_lease::Epoch;
use harrierdock_rollout_controller::{
    Action, Answer, Ballot, Event, Said, Standing, Steward, Terms, Wave, Way,
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
    ballot: Ballot,
    again: bool,
    errand: RequestExchange,
    epoch: Option<Epoch>,
    due: Timestamp,
}

/// What became of a call.
pub struct Ended {
    pub ballot: Ballot,
    pub answer: Answer,
    /// The installation knows this later epoch.
    pub newest: Option<Epoch>,
    pub no: ConnectionId,
    pub due: Timestamp,
}

pub struct Stewarding {
    steward: Steward,
    installation: SocketAddr,
    name: String,
    incarnation: u64,
    /// How long a call may take.
    wait: TimeDelta,
    out: Option<Out>,
    /// When it asked to be woken.
    pub due: Option<Timestamp>,
}

fn plain(ballot: Ballot) -> String {
    let Ballot {
        wave: Wave { build, stage },
        way,
    } = ballot;
    format!("build {build} stage {stage} {}", word(way))
}

fn word(way: Way) -> &'static str {
    match way {
        Way::On => "on",
        Way::Back => "back",
    }
}

/// What a module's vote is to the steward: a hold, or a vote taken away, moves nothing.
pub fn ballot(build: BuildId, stage: usize, verdict: RolloutDecision) -> Option<Ballot> {
    let way = match verdict {
        RolloutDecision::Promote => Way::On,
        RolloutDecision::RollBack => Way::Back,
        RolloutDecision::Hold | RolloutDecision::Withdraw => return None,
    };
    Some(Ballot {
        wave: Wave { build, stage },
        way,
    })
}

/// How the wave stands by the platform's news.
pub fn stage(news: &RolloutUpdate) -> Option<Event> {
    let standing = match news.phase {
        RolloutPhase::Canary => Standing::Trial,
        RolloutPhase::Released => Standing::Released,
        RolloutPhase::RollingBack | RolloutPhase::RolledBack => Standing::Over,
    };
    let wave = Wave {
        build: news.build,
        stage: news.stage,
    };
    (news.status == PlatformStatus::Valid).then_some(Event::Stage { wave, standing })
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
        let terms = Terms {
            own: PeerId(own),
            gateways,
            on_votes: told.on_votes,
            back_votes: told.back_votes,
            bound: TimeDelta(i64::from(told.bound_ms) * 1000),
            vote_life: spans.vote_ttl,
            // As often as leases are renewed: a lost ballot costs no more than a lost renewal.
            retell: spans.heartbeat,
            retry: spans.call_wait / 2.0,
            incarnation,
        };
        Stewarding {
            steward: Steward::new(now, terms),
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
        let actions = self.steward.take(now, event);
        let said = |action: &Action| match action {
            Action::Said(said) => {
                self.say(*said);
                false
            }
            _ => true,
        };
        actions.into_iter().filter(said).collect()
    }

    fn say(&self, said: Said) {
        match said {
            Said::Done { ballot, votes } => {
                tracing::info!(
                    "fleet: steward: {} is done, on {votes} votes",
                    plain(ballot)
                );
            }
            Said::Barred { ballot, epoch } => {
                tracing::warn!(
                    "fleet: steward: {} refused, epoch {epoch} is over",
                    plain(ballot)
                );
            }
            Said::Overdue {
                wave,
                on,
                back,
                needs,
                holds,
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
        (ballot, again): (Ballot, bool),
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
                    return self.end(net, Answer::NotWritten, None);
                };
                let Ballot { wave, way } = out.ballot;
                let body = json!({"image": wave.build.0, "ring": wave.stage, "way": word(way), "epoch": epoch.0,
                    "gateway": self.name, "start": self.incarnation, "again": out.again});
                out.epoch = Some(epoch);
                if out.errand.post(net, PATH, body.to_string().as_bytes()) {
                    return None;
                }
                (Answer::Unknown, None)
            }
            ExchangeEvent::Responded { status, body } => {
                let held = serde_json::from_slice::<Held>(&body).ok();
                let newest = held
                    .as_ref()
                    .map(|h| Epoch(h.epoch))
                    .filter(|e| Some(*e) > out.epoch);
                match (status, held) {
                    (200, _) => (Answer::Done, None),
                    (409, _) if newest.is_some() => (Answer::Older, newest),
                    (409, Some(Held { done: true, .. })) => (Answer::Done, None),
                    _ => (Answer::Unknown, None),
                }
            }
            ExchangeEvent::Failed => (Answer::Unknown, None),
        };
        self.end(net, answer, newest)
    }

    /// It has not had its answer in its time.
    pub fn give_up<D>(&mut self, net: &mut IoContext<D>, no: ConnectionId) -> Option<Ended> {
        self.out.as_ref().filter(|o| o.no == no)?;
        self.end(net, Answer::Unknown, None)
    }

    fn end<D>(
        &mut self,
        net: &mut IoContext<D>,
        answer: Answer,
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
        let answer = if answer == Answer::Unknown && epoch.is_none() {
            Answer::NotWritten
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
