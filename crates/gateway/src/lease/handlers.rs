//! Duties on sockets: what `fleet` and `steward` ask for is done here, with the peers' road and the loop's dues.

use calloop::Readiness;
use harrierdock_event_loop::ConnectionId;
use harrierdock_lease::{Event, LeaseName};
use harrierdock_rollout_controller::{self as ballots, Action, CallOutcome, Event as StewardEvent};
use harrierdock_types::{
    BuildId, Event as ModuleEvent, PeerId, PlatformStatus, RolloutDecision, RolloutPhase,
    RolloutUpdate,
};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::config::extensions::With;
use crate::config::gateway::Told;
use crate::lease::participant::{Asked, Duties};
use crate::metrics::Count;
use crate::rollout::controller::{self, Ended, Spans, Stewarding};
use crate::runtime::context::Notice;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Due;

impl Gateway {
    /// Begins this gateway's part in the fleet, where one is told.
    pub fn begin_duties(&mut self, told: &Told, with: &With, spans: &Spans) -> Result<(), String> {
        let Some(shared) = &with.fleet else {
            return Ok(());
        };
        let terms = shared.terms(&told.beside()?).map_err(|e| e.to_string())?;
        let (now, own) = (self.room.now(), (terms.own.0, terms.name_hashes.len()));
        if let Some(steward) = &shared.steward {
            self.stewarding = Some(Box::new(Stewarding::new(
                now, steward, &told.name, own, spans,
            )));
        }
        tracing::info!("fleet: {}", shared.summary(&told.name));
        let (duties, asked) = Duties::new(now, shared.clone(), terms, &told.name, told.seed());
        self.duties = Some(Box::new(duties));
        self.obey_fleet(asked);
        Ok(())
    }

    /// Tells `crates/lease`, and does what it asks for.
    pub fn fleet(&mut self, event: Event) {
        let now = self.room.now();
        let asked = self.duties.as_mut().map(|d| d.take(now, event));
        self.obey_fleet(asked.unwrap_or_default());
    }

    pub fn fleet_due(&mut self) {
        self.fleet_armed = None;
        self.fleet(Event::TimerFired);
    }

    fn obey_fleet(&mut self, asked: Vec<Asked>) {
        for asked in asked {
            match asked {
                Asked::Send { to, bytes } => self.send_to(to, bytes),
                Asked::Holds {
                    duty: LeaseName::RolloutController,
                    epoch,
                } => {
                    self.steward(StewardEvent::LeaseAcquired { epoch: epoch.0 });
                }
                Asked::Ended {
                    duty: LeaseName::RolloutController,
                } => self.steward(StewardEvent::LeaseLost),
                Asked::Holds { .. } | Asked::Ended { .. } => {}
                Asked::WakeAt(at) => {
                    let dues = &mut self.room.dues;
                    self.fleet_armed
                        .into_iter()
                        .for_each(|before| dues.cancel(before, Due::Fleet));
                    dues.set(at, Due::Fleet);
                    self.fleet_armed = Some(at);
                }
            }
        }
    }

    fn send_to(&mut self, to: PeerId, mut bytes: Vec<u8>) {
        if let Some((peers, duties)) = self.peers.as_ref().zip(self.duties.as_ref()) {
            duties.reform(&mut bytes);
            peers.send(&mut self.room, to, &bytes);
        }
    }

    /// A datagram of a gateway of the fleet. What cannot be read changes nothing.
    pub fn fleet_mail(&mut self, from: PeerId, mut bytes: Vec<u8>) {
        let now = self.room.now();
        self.duties
            .iter()
            .for_each(|duties| duties.reform(&mut bytes));
        if bytes.first() == Some(&ballots::FIRST_BYTE) && self.stewarding.is_some() {
            match ballots::decode(&bytes) {
                Ok(told) => {
                    self.room.counters.add(Count::MailHeard);
                    self.steward(StewardEvent::VoteReceived {
                        from,
                        message: told,
                    });
                }
                Err(e) => {
                    self.room.counters.add(Count::MailRefused);
                    tracing::debug!("fleet: a ballot is refused: {e}");
                }
            }
            return;
        }
        match self.duties.as_mut().map(|d| d.hear(now, from, &bytes)) {
            Some(Ok(asked)) => {
                self.room.counters.add(Count::MailHeard);
                self.obey_fleet(asked);
            }
            _ => self.room.counters.add(Count::MailRefused),
        }
    }

    /// The module votes. Gives back whether the vote goes to the steward, and not to the platform.
    pub fn vote_by_steward(
        &mut self,
        build: BuildId,
        stage: usize,
        verdict: RolloutDecision,
    ) -> bool {
        if self.stewarding.is_none() {
            return false;
        }
        self.room.counters.add(Count::Votes);
        self.steward(StewardEvent::VoteChanged(controller::ballot(
            build, stage, verdict,
        )));
        // To the module the vote stands: it renews it as it would at the platform.
        let news = RolloutUpdate {
            build,
            stage,
            phase: RolloutPhase::Canary,
            exposure_limit: 0.0,
            status: PlatformStatus::Superseded,
            answers_vote: true,
            age: TimeDelta::ZERO,
        };
        self.room
            .tell(Notice::Event(ModuleEvent::RolloutUpdated(news)));
        true
    }

    /// The platform has told how a build stands.
    pub fn steward_news(&mut self, news: &RolloutUpdate) {
        if let Some(event) = controller::stage(news).filter(|_| self.stewarding.is_some()) {
            self.steward(event);
        }
    }

    pub fn steward(&mut self, event: StewardEvent) {
        let now = self.room.now();
        let actions = self.stewarding.as_mut().map(|s| s.take(now, event));
        for action in actions.unwrap_or_default() {
            match action {
                Action::SendVote(told) => {
                    let electors = self.duties.as_ref().map(|d| d.electors());
                    let bytes = ballots::encode(&told);
                    electors
                        .into_iter()
                        .flatten()
                        .for_each(|to| self.send_to(to, bytes.to_vec()));
                }
                Action::Call {
                    vote: ballot,
                    is_retry: again,
                } => self.call(ballot, again),
                Action::Notify(_) => {}
                Action::SetTimer { after } => self.wake_steward(now + after),
            }
        }
    }

    fn wake_steward(&mut self, at: Timestamp) {
        let Some(stewarding) = &mut self.stewarding else {
            return;
        };
        let dues = &mut self.room.dues;
        stewarding
            .due
            .into_iter()
            .for_each(|before| dues.cancel(before, Due::Steward));
        dues.set(at, Due::Steward);
        stewarding.due = Some(at);
    }

    pub fn steward_due(&mut self) {
        if let Some(stewarding) = &mut self.stewarding {
            stewarding.due = None;
        }
        self.steward(StewardEvent::TimerFired);
    }

    fn call(&mut self, ballot: ballots::Vote, again: bool) {
        let Some(stewarding) = &mut self.stewarding else {
            return;
        };
        let no = self.room.next_connection_id();
        let ready = move |gateway: &mut Gateway, readiness| {
            gateway.call_ready(no, readiness);
            gateway.settle();
        };
        match stewarding.begin(&mut self.room.net, (ballot, again), no, ready) {
            Some(due) => self.room.dues.set(due, Due::Call(no)),
            None => self.steward(StewardEvent::CallFinished {
                vote: ballot,
                outcome: CallOutcome::NotSent,
            }),
        }
    }

    fn call_ready(&mut self, no: ConnectionId, readiness: Readiness) {
        let Gateway {
            stewarding,
            duties,
            room,
            ..
        } = self;
        let may_act = |now| {
            duties
                .as_ref()
                .and_then(|d| d.may_act(now, LeaseName::RolloutController))
        };
        let ended = stewarding
            .as_mut()
            .and_then(|s| s.serve(&mut room.net, no, readiness, may_act));
        self.call_ended(ended);
    }

    pub fn give_up_call(&mut self, no: ConnectionId) {
        let ended = self
            .stewarding
            .as_mut()
            .and_then(|s| s.give_up(&mut self.room.net, no));
        self.call_ended(ended);
    }

    fn call_ended(&mut self, ended: Option<Ended>) {
        let Some(Ended {
            ballot,
            answer,
            newest,
            no,
            due,
        }) = ended
        else {
            return;
        };
        self.room.dues.cancel(due, Due::Call(no));
        self.steward(StewardEvent::CallFinished {
            vote: ballot,
            outcome: answer,
        });
        if let Some(newest) = newest {
            self.fleet(Event::EpochRejected {
                lease: LeaseName::RolloutController,
                newest,
            });
        }
    }

    /// The file of our own was read again. What does not fit changes nothing, in one line.
    pub fn renew_duties(&mut self, with: &With) {
        let now = self.room.now();
        match (&mut self.duties, &with.fleet) {
            (Some(duties), Some(told)) => match duties.renew(now, told) {
                Ok(asked) => self.obey_fleet(asked),
                Err(e) => tracing::warn!("fleet: what is held stays: {e}"),
            },
            (None, None) => {}
            _ => tracing::warn!("fleet: begins or ends with the next start only"),
        }
    }
}
