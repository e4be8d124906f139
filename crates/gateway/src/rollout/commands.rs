//! Commands to the deployment controller. `harrierdock-rollout-controller` decides which command is next; whether it may go out
//! is checked right before its bytes do.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_event_loop::{ConnectionId, ExchangeEvent, IoContext, RequestExchange};
use harrierdock_lease::Epoch;
use harrierdock_rollout_controller::{
    Action, CallOutcome, Event, RolloutController, RolloutControllerParameters, Vote,
};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use super::deployment_messages::{CommandMessage, ResponseMessage, COMMANDS_PATH};
use super::log;
use crate::config::lease::RolloutControllerConfig;

/// A command that is retried waits for this share of its timeout first.
const RETRY_DELAY_DIVISOR: f64 = 2.0;

/// Times that commands and votes go by, besides the configured ones.
pub(crate) struct CommandTimes {
    /// How long a counted vote stands.
    pub(crate) vote_ttl: TimeDelta,
    /// How long a command may wait for its response.
    pub(crate) timeout: TimeDelta,
    /// How often leases are renewed.
    pub(crate) heartbeat: TimeDelta,
}

/// Who sends commands, and where to.
pub(crate) struct Controller<'a> {
    /// The settings of the rollout controller.
    pub(crate) settings: &'a RolloutControllerConfig,
    /// This gateway's name.
    pub(crate) name: &'a str,
    /// This gateway.
    pub(crate) local_peer: PeerId,
    /// How many gateways the fleet has.
    pub(crate) gateway_count: usize,
}

/// A command that is to be sent.
#[derive(Clone, Copy)]
pub(crate) struct Command {
    /// What is to be done.
    pub(crate) vote: Vote,
    /// Whether it was sent before.
    pub(crate) is_retry: bool,
}

/// A command under way.
struct PendingCommand {
    connection_id: ConnectionId,
    command: Command,
    exchange: RequestExchange,
    /// The epoch that it was written under, once it is.
    epoch: Option<Epoch>,
    deadline: Timestamp,
}

/// A command that has ended.
pub(crate) struct FinishedCommand {
    /// What was to be done.
    pub(crate) vote: Vote,
    /// How it ended.
    pub(crate) outcome: CallOutcome,
    /// A later epoch that the deployment controller knows.
    pub(crate) later_epoch: Option<Epoch>,
    /// Its connection.
    pub(crate) connection_id: ConnectionId,
    /// The deadline of its timer.
    pub(crate) deadline: Timestamp,
}

/// What a response came to.
struct CommandResult {
    outcome: CallOutcome,
    later_epoch: Option<Epoch>,
}

impl CommandResult {
    fn unknown() -> CommandResult {
        CommandResult::of(CallOutcome::Unknown)
    }

    fn of(outcome: CallOutcome) -> CommandResult {
        CommandResult {
            outcome,
            later_epoch: None,
        }
    }

    /// What a response says of a command that was written under this epoch.
    fn of_response(status: u16, body: &[u8], epoch: Option<Epoch>) -> CommandResult {
        let message = serde_json::from_slice::<ResponseMessage>(body).ok();
        let later_epoch = message
            .as_ref()
            .map(|message| Epoch(message.epoch))
            .filter(|seen| Some(*seen) > epoch);
        let is_done = message.is_some_and(|message| message.is_done);
        match status {
            200 => CommandResult::of(CallOutcome::Done),
            409 if later_epoch.is_some() => CommandResult {
                outcome: CallOutcome::StaleEpoch,
                later_epoch,
            },
            409 if is_done => CommandResult::of(CallOutcome::Done),
            _ => CommandResult::unknown(),
        }
    }
}

/// The commands of this gateway to the deployment controller.
pub(crate) struct RolloutCommands {
    /// The deadline of the rollout controller's timer.
    pub(crate) timer_deadline: Option<Timestamp>,
    controller: RolloutController,
    address: SocketAddr,
    gateway_name: String,
    incarnation: u64,
    timeout: TimeDelta,
    pending: Option<PendingCommand>,
}

impl RolloutCommands {
    /// Without commands.
    pub(crate) fn new(
        now: Timestamp,
        controller: &Controller<'_>,
        times: &CommandTimes,
    ) -> RolloutCommands {
        // Unix time in milliseconds, because timestamps begin with Unix time.
        let incarnation = (now.0 / 1000) as u64;
        let settings = controller.settings;
        let parameters = RolloutControllerParameters {
            local_peer: controller.local_peer,
            gateway_count: controller.gateway_count,
            promote_votes_ratio: settings.promote_ratio,
            roll_back_votes_ratio: settings.roll_back_ratio,
            decision_timeout: TimeDelta::from_millis(i64::from(settings.decision_timeout_ms)),
            vote_ttl: times.vote_ttl,
            // As often as leases are renewed: a lost vote costs no more than a lost renewal.
            resend_interval: times.heartbeat,
            retry_delay: times.timeout / RETRY_DELAY_DIVISOR,
            incarnation,
        };
        RolloutCommands {
            timer_deadline: None,
            controller: RolloutController::new(now, parameters),
            address: settings.deployment_controller,
            gateway_name: controller.name.into(),
            incarnation,
            timeout: times.timeout,
            pending: None,
        }
    }

    /// Tells the rollout controller what has happened, logs its reports, and returns its other actions.
    pub(crate) fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = self.controller.handle(now, event);
        actions.retain(|action| match action {
            Action::Notify(report) => {
                log::report(report);
                false
            }
            _ => true,
        });
        actions
    }

    /// Opens the connection of a command. Returns when it times out, or `None` if it could not be opened.
    pub(crate) fn start<D>(
        &mut self,
        io: &mut IoContext<D>,
        command: Command,
        connection_id: ConnectionId,
        handle_readiness: impl Fn(&mut D, Readiness) + 'static,
    ) -> Option<Timestamp> {
        let exchange = RequestExchange::connect(io, self.address, handle_readiness)?;
        let deadline = io.now() + self.timeout;
        self.pending = Some(PendingCommand {
            connection_id,
            command,
            exchange,
            epoch: None,
            deadline,
        });
        Some(deadline)
    }

    /// The connection of a command is ready. `may_act` is asked for the fencing token when the command can be written, and not
    /// before.
    pub(crate) fn handle_readiness<D>(
        &mut self,
        io: &mut IoContext<D>,
        connection_id: ConnectionId,
        readiness: Readiness,
        may_act: impl FnOnce(Timestamp) -> Option<Epoch>,
    ) -> Option<FinishedCommand> {
        let pending = self.pending_on(connection_id)?;
        let vote = pending.command.vote;
        let epoch = pending.epoch;
        let result = match pending.exchange.handle_readiness(io, readiness) {
            ExchangeEvent::Pending => return None,
            ExchangeEvent::Connected => match may_act(io.now()) {
                Some(epoch) if self.write(io, epoch) => return None,
                Some(_) => CommandResult::unknown(),
                None => {
                    log::command_dropped(vote);
                    CommandResult::of(CallOutcome::NotSent)
                }
            },
            ExchangeEvent::Responded { status, body } => {
                CommandResult::of_response(status, &body, epoch)
            }
            ExchangeEvent::Failed => CommandResult::unknown(),
        };
        self.finish(io, result)
    }

    fn pending_on(&mut self, connection_id: ConnectionId) -> Option<&mut PendingCommand> {
        self.pending
            .as_mut()
            .filter(|pending| pending.connection_id == connection_id)
    }

    /// Writes the pending command under this epoch. Returns whether this could begin.
    fn write<D>(&mut self, io: &mut IoContext<D>, epoch: Epoch) -> bool {
        let Some(pending) = &mut self.pending else {
            return false;
        };
        let message = CommandMessage {
            vote: pending.command.vote,
            epoch,
            gateway: &self.gateway_name,
            incarnation: self.incarnation,
            is_retry: pending.command.is_retry,
        };
        pending.epoch = Some(epoch);
        pending
            .exchange
            .post(io, COMMANDS_PATH, message.body().as_bytes())
    }

    /// A command has had no response in time.
    pub(crate) fn time_out<D>(
        &mut self,
        io: &mut IoContext<D>,
        connection_id: ConnectionId,
    ) -> Option<FinishedCommand> {
        self.pending_on(connection_id)?;
        self.finish(io, CommandResult::unknown())
    }

    fn finish<D>(
        &mut self,
        io: &mut IoContext<D>,
        result: CommandResult,
    ) -> Option<FinishedCommand> {
        let pending = self.pending.take()?;
        pending.exchange.close(io);
        // What was never written has certainly not been done.
        let outcome = match result.outcome {
            CallOutcome::Unknown if pending.epoch.is_none() => CallOutcome::NotSent,
            outcome => outcome,
        };
        Some(FinishedCommand {
            vote: pending.command.vote,
            outcome,
            later_epoch: result.later_epoch,
            connection_id: pending.connection_id,
            deadline: pending.deadline,
        })
    }
}
