//! Passes peers' messages and the gateway's events to the lease participant, and executes the actions that it returns.

use harrierdock_lease::{Event, LeaseName};
use harrierdock_rollout_controller::{self as rollout_controller, Event as RolloutEvent};
use harrierdock_types::PeerId;

use crate::config::extension::ExtensionConfig;
use crate::config::gateway::GatewayConfig;
use crate::lease::participant::{LeaseAction, LeaseParticipant, Participation};
use crate::metrics::Counter;
use crate::rollout::commands::{CommandSender, CommandTimes, RolloutCommands};
use crate::runtime::error::StartError;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

impl Gateway {
    /// Starts the lease participant and the rollout controller, if they are configured.
    ///
    /// # Errors
    ///
    /// A lease setting is invalid for this gateway's configuration.
    pub(crate) fn start_leases(
        &mut self,
        config: &GatewayConfig,
        extension: &ExtensionConfig,
        times: &CommandTimes,
    ) -> Result<(), StartError> {
        let Some(settings) = &extension.leases else {
            return Ok(());
        };
        let parameters = settings.parameters(&config.fleet_context())?;
        let now = self.context.now();
        if let Some(controller) = &settings.rollout_controller {
            let sender = CommandSender {
                settings: controller,
                name: &config.name,
                local_peer: parameters.local_peer,
                gateway_count: parameters.name_hashes.len(),
            };
            let commands = RolloutCommands::new(now, &sender, times);
            self.rollout_commands = Some(Box::new(commands));
        }
        tracing::info!("fleet: {}", settings.summary(&config.name));
        let participation = Participation {
            settings,
            parameters,
            name: &config.name,
            seed: config.seed(),
        };
        let (leases, actions) = LeaseParticipant::start(now, participation);
        self.leases = Some(Box::new(leases));
        self.execute_lease_actions(actions);
        Ok(())
    }

    /// Delivers an event to the lease participant and executes the actions it returns.
    pub(crate) fn handle_lease_event(&mut self, event: Event) {
        let now = self.context.now();
        if let Some(leases) = &mut self.leases {
            let actions = leases.handle(now, event);
            self.execute_lease_actions(actions);
        }
    }

    /// Handles the expiry of the lease participant's timer.
    pub(crate) fn handle_lease_timer(&mut self) {
        if let Some(leases) = &mut self.leases {
            leases.timer_deadline = None;
        }
        self.handle_lease_event(Event::TimerFired);
    }

    fn execute_lease_actions(&mut self, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::Send { to, bytes } => self.send_to_peer(to, bytes),
                LeaseAction::Acquired {
                    lease: LeaseName::RolloutController,
                    epoch,
                } => self.handle_rollout_event(RolloutEvent::LeaseAcquired { epoch: epoch.0 }),
                LeaseAction::Lost {
                    lease: LeaseName::RolloutController,
                } => self.handle_rollout_event(RolloutEvent::LeaseLost),
                LeaseAction::Acquired { .. } | LeaseAction::Lost { .. } => {}
                LeaseAction::SetTimer(deadline) => {
                    if let Some(leases) = &mut self.leases {
                        let previous = leases.timer_deadline;
                        self.context.replace_timer(previous, deadline, Timer::Lease);
                        leases.timer_deadline = Some(deadline);
                    }
                }
            }
        }
    }

    /// Sends a binary message to a peer, in the message version that peers expect. Does nothing without leases.
    pub(super) fn send_to_peer(&mut self, to: PeerId, mut bytes: Vec<u8>) {
        if let Some((gossip, leases)) = self.gossip.as_ref().zip(self.leases.as_ref()) {
            leases.convert_version(&mut bytes);
            gossip.send_to_peer(&mut self.context, to, &bytes);
        }
    }

    /// Handles a binary message from a peer. Counts and ignores an invalid message.
    pub(super) fn handle_peer_message(&mut self, from: PeerId, mut bytes: Vec<u8>) {
        let now = self.context.now();
        if let Some(leases) = &self.leases {
            leases.convert_version(&mut bytes);
        }
        let is_rollout_vote = bytes.first() == Some(&rollout_controller::FIRST_BYTE);
        if is_rollout_vote && self.rollout_commands.is_some() {
            return self.handle_rollout_vote(from, &bytes);
        }
        let handled = self
            .leases
            .as_mut()
            .map(|leases| leases.handle_message(now, from, &bytes));
        match handled {
            Some(Ok(actions)) => {
                self.context.counters.add(Counter::GossipReceived);
                self.execute_lease_actions(actions);
            }
            Some(Err(_)) | None => self.context.counters.add(Counter::GossipRefused),
        }
    }

    /// Applies the electorate of reloaded lease settings. Keeps the current electorate if the new one is invalid. Logs a
    /// warning for that, and for a change of any other lease setting.
    pub(crate) fn reload_electorate(&mut self, extension: &ExtensionConfig) {
        let now = self.context.now();
        match (&mut self.leases, &extension.leases) {
            (Some(leases), Some(settings)) => match leases.reload(now, settings) {
                Ok(actions) => self.execute_lease_actions(actions),
                Err(e) => {
                    tracing::warn!("fleet: invalid lease settings, keeping the current ones: {e}")
                }
            },
            (None, None) => {}
            (Some(_), None) | (None, Some(_)) => {
                tracing::warn!("fleet: enabling or disabling leases requires a restart");
            }
        }
    }
}
