//! Passes votes and rollout updates to `harrierdock-rollout-controller` and executes the actions it returns. Commands to the
//! deployment controller are sent only under the lease.

use calloop::Readiness;
use harrierdock_event_loop::ConnectionId;
use harrierdock_lease::{Event as LeaseEvent, LeaseName};
use harrierdock_rollout_controller::{self as rollout_controller, Action, CallOutcome, Event};
use harrierdock_types::{
    BuildId, Event as PolicyEvent, PeerId, PlatformStatus, RolloutDecision, RolloutPhase,
    RolloutUpdate, TimeDelta, Timestamp,
};

use crate::metrics::Counter;
use crate::rollout::commands::{Command, FinishedCommand};
use crate::rollout::votes;
use crate::runtime::context::InternalEvent;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

impl Gateway {
    /// Passes the policy's vote to the rollout controller. Returns false if no rollout controller is configured; the caller then
    /// votes at the rollout platform.
    pub(super) fn vote_to_rollout_controller(
        &mut self,
        build: BuildId,
        stage: usize,
        decision: RolloutDecision,
    ) -> bool {
        if self.rollout_commands.is_none() {
            return false;
        }
        self.context.counters.add(Counter::Votes);
        self.handle_rollout_event(Event::VoteChanged(votes::vote_from_decision(
            build, stage, decision,
        )));
        // Answers the policy's vote, so that the policy renews the vote as it does with the rollout platform.
        let update = RolloutUpdate {
            build,
            stage,
            phase: RolloutPhase::Canary,
            exposure_limit: 0.0,
            status: PlatformStatus::Superseded,
            is_vote_response: true,
            age: TimeDelta::ZERO,
        };
        self.context
            .emit(InternalEvent::Policy(PolicyEvent::RolloutUpdated(update)));
        true
    }

    /// Handles a rollout vote received from a peer.
    pub(super) fn handle_rollout_vote(&mut self, from: PeerId, bytes: &[u8]) {
        match rollout_controller::decode(bytes) {
            Ok(message) => {
                self.context.counters.add(Counter::GossipReceived);
                self.handle_rollout_event(Event::VoteReceived { from, message });
            }
            Err(e) => {
                self.context.counters.add(Counter::GossipRefused);
                tracing::debug!("fleet: ignored an invalid rollout vote from a peer: {e}");
            }
        }
    }

    /// Passes the platform's rollout update to the rollout controller.
    pub(super) fn handle_rollout_update(&mut self, update: &RolloutUpdate) {
        if self.rollout_commands.is_none() {
            return;
        }
        if let Some(event) = votes::event_from_update(update) {
            self.handle_rollout_event(event);
        }
    }

    /// Delivers an event to the rollout controller and executes the actions it returns.
    pub(super) fn handle_rollout_event(&mut self, event: Event) {
        let now = self.context.now();
        let Some(commands) = &mut self.rollout_commands else {
            return;
        };
        for action in commands.handle(now, event) {
            match action {
                Action::SendVote(message) => {
                    self.send_to_electors(&rollout_controller::encode(&message))
                }
                Action::Call { vote, is_retry } => self.start_command(Command { vote, is_retry }),
                Action::Notify(_) => {}
                Action::SetTimer { after } => self.set_rollout_timer(now + after),
            }
        }
    }

    fn send_to_electors(&mut self, message: &[u8]) {
        let electors = self.leases.as_ref().map(|leases| leases.other_electors());
        for elector in electors.unwrap_or_default() {
            self.send_to_peer(elector, message.to_vec());
        }
    }

    fn set_rollout_timer(&mut self, deadline: Timestamp) {
        if let Some(commands) = &mut self.rollout_commands {
            let earlier = commands.timer_deadline;
            self.context
                .replace_timer(earlier, deadline, Timer::RolloutController);
            commands.timer_deadline = Some(deadline);
        }
    }

    /// Delivers the firing of the rollout controller's timer.
    pub(crate) fn handle_rollout_timer(&mut self) {
        if let Some(commands) = &mut self.rollout_commands {
            commands.timer_deadline = None;
        }
        self.handle_rollout_event(Event::TimerFired);
    }

    fn start_command(&mut self, command: Command) {
        let Some(commands) = &mut self.rollout_commands else {
            return;
        };
        let connection_id = self.context.next_connection_id();
        let handler = self.context.handlers.rollout_command;
        let handle_readiness =
            move |gateway: &mut Gateway, readiness| handler(gateway, connection_id, readiness);
        let vote = command.vote;
        let deadline = commands.start(
            &mut self.context.io,
            command,
            connection_id,
            handle_readiness,
        );
        match deadline {
            Some(deadline) => self
                .context
                .timers
                .set(deadline, Timer::RolloutCommand(connection_id)),
            None => self.handle_rollout_event(Event::CallFinished {
                vote,
                outcome: CallOutcome::NotSent,
            }),
        }
    }

    /// Handles readiness of a command's connection. Checks the lease only when the command can be
    /// written, since the lease may expire while the connection is established.
    pub(crate) fn handle_rollout_command_readiness(
        &mut self,
        connection_id: ConnectionId,
        readiness: Readiness,
    ) {
        let Gateway {
            rollout_commands,
            leases,
            context,
            ..
        } = self;
        let may_act = |now| leases.as_ref()?.may_act(now, LeaseName::RolloutController);
        let finished = rollout_commands.as_mut().and_then(|commands| {
            commands.handle_readiness(&mut context.io, connection_id, readiness, may_act)
        });
        self.handle_command_finished(finished);
    }

    /// Fails a command whose response did not arrive before its deadline.
    pub(crate) fn time_out_rollout_command(&mut self, connection_id: ConnectionId) {
        let finished = self
            .rollout_commands
            .as_mut()
            .and_then(|commands| commands.time_out(&mut self.context.io, connection_id));
        self.handle_command_finished(finished);
    }

    fn handle_command_finished(&mut self, finished: Option<FinishedCommand>) {
        let Some(finished) = finished else {
            return;
        };
        self.context.timers.cancel(
            finished.deadline,
            Timer::RolloutCommand(finished.connection_id),
        );
        if matches!(
            finished.outcome,
            CallOutcome::Unknown | CallOutcome::NotSent
        ) {
            self.context.counters.add(Counter::CommandsWithoutResult);
        }
        self.handle_rollout_event(Event::CallFinished {
            vote: finished.vote,
            outcome: finished.outcome,
        });
        if let Some(newest) = finished.later_epoch {
            self.handle_lease_event(LeaseEvent::EpochRejected {
                lease: LeaseName::RolloutController,
                newest,
            });
        }
    }
}
