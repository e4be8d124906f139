//! Sends commands to the deployment controller. `harrierdock-rollout-controller` decides which command is next. Whether this
//! gateway still holds the lease is checked right before a command is written.

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

/// The delay before a retry is the command timeout divided by this.
const RETRY_DELAY_DIVISOR: f64 = 2.0;

/// Durations used by commands and votes. These durations are not part of the rollout controller's settings.
pub(crate) struct CommandTimes {
    /// How long a vote counts after it was cast.
    pub(crate) vote_ttl: TimeDelta,
    /// How long a command may take, from connecting to its response.
    pub(crate) timeout: TimeDelta,
    /// The interval at which the lease holder renews its leases.
    pub(crate) heartbeat: TimeDelta,
}

/// The gateway that sends commands, with the settings of its rollout controller.
pub(crate) struct CommandSender<'a> {
    /// The settings of the rollout controller, which include the address that commands are sent to.
    pub(crate) settings: &'a RolloutControllerConfig,
    /// The gateway's name, which each command contains.
    pub(crate) name: &'a str,
    /// The gateway's own peer id.
    pub(crate) local_peer: PeerId,
    /// The number of gateways in the fleet.
    pub(crate) gateway_count: usize,
}

/// A command that the rollout controller has decided to send.
#[derive(Clone, Copy)]
pub(crate) struct Command {
    /// The stage to change, and the decision to carry out.
    pub(crate) vote: Vote,
    /// Whether the command was sent before.
    pub(crate) is_retry: bool,
}

/// A command that has no result yet.
struct PendingCommand {
    connection_id: ConnectionId,
    command: Command,
    exchange: RequestExchange,
    /// The epoch under which the command was written; `None` until the command is written.
    epoch: Option<Epoch>,
    deadline: Timestamp,
}

/// A command with its outcome.
pub(crate) struct FinishedCommand {
    /// The stage to change, and the decision to carry out.
    pub(crate) vote: Vote,
    /// Whether the command took effect.
    pub(crate) outcome: CallOutcome,
    /// The later epoch for which the deployment controller rejected the command; `None` without such a rejection.
    pub(crate) later_epoch: Option<Epoch>,
    /// The connection that the command was sent on; already closed.
    pub(crate) connection_id: ConnectionId,
    /// When the command's timer fires; used to cancel the timer.
    pub(crate) deadline: Timestamp,
}

/// How a command ended, with or without a response.
struct CommandResult {
    outcome: CallOutcome,
    later_epoch: Option<Epoch>,
}

impl CommandResult {
    fn unknown() -> CommandResult {
        CommandResult::from_outcome(CallOutcome::Unknown)
    }

    fn from_outcome(outcome: CallOutcome) -> CommandResult {
        CommandResult {
            outcome,
            later_epoch: None,
        }
    }

    /// Evaluates the response to a command that was written under this epoch.
    fn from_response(status: u16, body: &[u8], epoch: Option<Epoch>) -> CommandResult {
        let message = serde_json::from_slice::<ResponseMessage>(body).ok();
        let later_epoch = message
            .as_ref()
            .map(|message| Epoch(message.epoch))
            .filter(|seen| Some(*seen) > epoch);
        let is_done = message.is_some_and(|message| message.is_done);
        match status {
            200 => CommandResult::from_outcome(CallOutcome::Done),
            409 if later_epoch.is_some() => CommandResult {
                outcome: CallOutcome::StaleEpoch,
                later_epoch,
            },
            409 if is_done => CommandResult::from_outcome(CallOutcome::Done),
            _ => CommandResult::unknown(),
        }
    }
}

/// Runs the rollout controller and its commands to the deployment controller, one at a time.
pub(crate) struct RolloutCommands {
    /// When the rollout controller's timer fires, if it is set.
    pub(crate) timer_deadline: Option<Timestamp>,
    controller: RolloutController,
    address: SocketAddr,
    gateway_name: String,
    incarnation: u64,
    timeout: TimeDelta,
    pending: Option<PendingCommand>,
}

impl RolloutCommands {
    /// Creates the rollout controller of this gateway. No command is pending.
    pub(crate) fn new(
        now: Timestamp,
        sender: &CommandSender<'_>,
        times: &CommandTimes,
    ) -> RolloutCommands {
        // Unix time in milliseconds, since timestamps are based on Unix time.
        let incarnation = (now.0 / 1000) as u64;
        let settings = sender.settings;
        let parameters = RolloutControllerParameters {
            local_peer: sender.local_peer,
            gateway_count: sender.gateway_count,
            promote_votes_ratio: settings.promote_ratio,
            roll_back_votes_ratio: settings.roll_back_ratio,
            decision_timeout: TimeDelta::from_millis(i64::from(settings.decision_timeout_ms)),
            vote_ttl: times.vote_ttl,
            // As often as leases are renewed, so that a lost vote delays no more than a lost renewal.
            resend_interval: times.heartbeat,
            retry_delay: times.timeout / RETRY_DELAY_DIVISOR,
            incarnation,
        };
        RolloutCommands {
            timer_deadline: None,
            controller: RolloutController::new(now, parameters),
            address: settings.deployment_controller,
            gateway_name: sender.name.into(),
            incarnation,
            timeout: times.timeout,
            pending: None,
        }
    }

    /// Passes an event to the rollout controller, logs its notices, and returns its other actions.
    pub(crate) fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = self.controller.handle(now, event);
        actions.retain(|action| match action {
            Action::Notify(notice) => {
                log::log_notice(notice);
                false
            }
            _ => true,
        });
        actions
    }

    /// Opens a connection for a command. Returns when the command times out, or `None` if connecting failed.
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

    /// Handles readiness of a command's connection. Calls `fencing_token` only right before writing the command; it returns
    /// `None` if this gateway has lost the lease.
    pub(crate) fn handle_readiness<D>(
        &mut self,
        io: &mut IoContext<D>,
        connection_id: ConnectionId,
        readiness: Readiness,
        fencing_token: impl FnOnce(Timestamp) -> Option<Epoch>,
    ) -> Option<FinishedCommand> {
        let pending = self.pending_on(connection_id)?;
        let vote = pending.command.vote;
        let epoch = pending.epoch;
        let result = match pending.exchange.handle_readiness(io, readiness) {
            ExchangeEvent::Pending => return None,
            ExchangeEvent::Connected => match fencing_token(io.now()) {
                Some(epoch) if self.write(io, epoch) => return None,
                Some(_) => CommandResult::unknown(),
                None => {
                    log::command_dropped(vote);
                    CommandResult::from_outcome(CallOutcome::NotSent)
                }
            },
            ExchangeEvent::Responded { status, body } => {
                CommandResult::from_response(status, &body, epoch)
            }
            ExchangeEvent::Failed(reason) => {
                log::command_failed(vote, &reason.to_string());
                CommandResult::unknown()
            }
        };
        self.finish(io, result)
    }

    fn pending_on(&mut self, connection_id: ConnectionId) -> Option<&mut PendingCommand> {
        self.pending
            .as_mut()
            .filter(|pending| pending.connection_id == connection_id)
    }

    /// Starts writing the pending command under this epoch. Returns whether that succeeded.
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
            .post(io, COMMANDS_PATH, message.to_json().as_bytes())
    }

    /// Finishes a command whose timeout has passed. `None` if the connection has no pending command.
    pub(crate) fn time_out<D>(
        &mut self,
        io: &mut IoContext<D>,
        connection_id: ConnectionId,
    ) -> Option<FinishedCommand> {
        let vote = self.pending_on(connection_id)?.command.vote;
        log::command_failed(vote, "no response in time");
        self.finish(io, CommandResult::unknown())
    }

    fn finish<D>(
        &mut self,
        io: &mut IoContext<D>,
        result: CommandResult,
    ) -> Option<FinishedCommand> {
        let pending = self.pending.take()?;
        pending.exchange.close(io);
        // A command that was never written has not taken effect.
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
