//! Connects `harrierdock-lease` to the gateway: decodes messages of peers for it, and translates its actions into log lines and requests to
//! the dispatcher. Opens no socket and reads no clock.

use harrierdock_lease::{
    codec, Action, DecodeError, Epoch, Event, LeaseManager, LeaseName, LeaseParameters, LossReason,
};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use super::message_version::{LeaseClock, MessageVersion};
use crate::config::lease::{LeaseConfig, LeaseConfigError};

/// A datagram whose first byte is at least this is a binary message, about leases or rollout votes. UTF-8 text never contains such a byte.
pub(crate) const MIN_BINARY_FIRST_BYTE: u8 = 0xF5;
/// The minimum time between two log lines about undecodable messages.
const UNDECODABLE_LOG_INTERVAL: TimeDelta = TimeDelta(10_000_000);

/// A request to the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LeaseAction {
    /// Send a message to a peer.
    Send {
        /// The peer to send the message to.
        to: PeerId,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Record that this gateway holds a lease from now on.
    Acquired {
        /// The lease that this gateway now holds.
        lease: LeaseName,
        /// The epoch to send along with operations under the lease.
        epoch: Epoch,
    },
    /// Record that this gateway no longer holds a lease.
    Lost {
        /// The lease that expired, was transferred, or was superseded by a newer epoch.
        lease: LeaseName,
    },
    /// Set the timer to this time, replacing the previous timer.
    SetTimer(Timestamp),
}

/// Counts undecodable messages, and limits how often they are logged.
#[derive(Default)]
struct UndecodableMessages {
    /// Messages since the last log line.
    unlogged_count: u64,
    logged_at: Option<Timestamp>,
}

impl UndecodableMessages {
    /// Counts a message. Logs the count and resets it, at most once per `UNDECODABLE_LOG_INTERVAL`: one line is enough to
    /// notice a faulty path or a gateway of another version.
    fn record(&mut self, now: Timestamp, sender: &str, error: &DecodeError) {
        self.unlogged_count += 1;
        let is_log_due = self
            .logged_at
            .is_none_or(|at| now - at >= UNDECODABLE_LOG_INTERVAL);
        if is_log_due {
            let count = std::mem::take(&mut self.unlogged_count);
            self.logged_at = Some(now);
            tracing::warn!(
                "fleet: refused {count} undecodable messages since the last such line, the latest from {sender}: {error}"
            );
        }
    }
}

/// The parameters of `LeaseParticipant::start`.
pub(crate) struct Participation<'a> {
    /// The lease settings as configured.
    pub(crate) settings: &'a LeaseConfig,
    /// The same settings, checked and parsed.
    pub(crate) parameters: LeaseParameters,
    /// This gateway's name.
    pub(crate) name: &'a str,
    /// Combined with the start time to seed the random delays.
    pub(crate) seed: u64,
}

/// This gateway's part in the leases.
pub(crate) struct LeaseParticipant {
    /// When the timer fires; `None` if no timer is set. Set by the dispatcher.
    pub(crate) timer_deadline: Option<Timestamp>,
    manager: LeaseManager,
    settings: LeaseConfig,
    name: String,
    local_peer: PeerId,
    clock: LeaseClock,
    message_version: MessageVersion,
    undecodable: UndecodableMessages,
}

impl LeaseParticipant {
    /// Starts to take part. If this gateway is an elector, it becomes a candidate for all configured leases.
    pub(crate) fn start(
        now: Timestamp,
        participation: Participation<'_>,
    ) -> (LeaseParticipant, Vec<LeaseAction>) {
        let Participation {
            settings,
            parameters,
            name,
            seed,
        } = participation;
        let faults = settings.injected_faults.as_ref();
        let local_peer = parameters.local_peer;
        let leases = parameters.leases.clone();
        let is_elector = parameters.electorate.electors.contains(&local_peer);
        // Timestamps start at Unix time in microseconds, so this is Unix time in milliseconds.
        let incarnation = (now.0 / 1000) as u64;
        let mut participant = LeaseParticipant {
            timer_deadline: None,
            manager: LeaseManager::new(parameters, incarnation, seed ^ incarnation, now),
            settings: settings.clone(),
            name: name.into(),
            local_peer,
            clock: LeaseClock::new(now, faults),
            message_version: MessageVersion::new(faults),
            undecodable: UndecodableMessages::default(),
        };
        let mut actions = participant.handle(now, Event::TimerFired);
        for lease in leases.into_iter().filter(|_| is_elector) {
            actions.extend(participant.handle(
                now,
                Event::CandidacyChanged {
                    lease,
                    is_candidate: true,
                },
            ));
        }
        (participant, actions)
    }

    /// The electors other than this gateway.
    pub(crate) fn other_electors(&self) -> Vec<PeerId> {
        self.manager
            .electorate()
            .electorate
            .electors
            .iter()
            .copied()
            .filter(|elector| *elector != self.local_peer)
            .collect()
    }

    /// The epoch under which this gateway may act now; `None` if it doesn't hold the lease. Callers check this immediately before they
    /// write the bytes of an operation. A gateway that was stalled or partitioned learns only here that its lease has expired.
    pub(crate) fn may_act(&self, now: Timestamp, lease: LeaseName) -> Option<Epoch> {
        self.manager.may_act(self.clock.at(now), lease)
    }

    /// Converts a message between the current version and the one that this gateway sends and accepts.
    pub(crate) fn convert_version(&self, message: &mut [u8]) {
        self.message_version.convert(message);
    }

    /// Decodes and handles a message from a peer.
    ///
    /// # Errors
    ///
    /// The message can't be decoded, and nothing changes.
    pub(crate) fn handle_message(
        &mut self,
        now: Timestamp,
        from: PeerId,
        bytes: &[u8],
    ) -> Result<Vec<LeaseAction>, DecodeError> {
        let message = codec::decode(bytes).inspect_err(|error| {
            let sender = self.settings.gateways.get(from.0);
            let sender = sender.map_or("?", String::as_str);
            self.undecodable.record(now, sender, error);
        })?;
        Ok(self.handle(now, Event::MessageReceived { from, message }))
    }

    /// Passes an event to the lease manager and returns the resulting requests to the dispatcher, in order.
    pub(crate) fn handle(&mut self, now: Timestamp, event: Event) -> Vec<LeaseAction> {
        let actions = self.manager.handle(self.clock.at(now), event);
        actions
            .into_iter()
            .map(|action| self.translate_action(now, action))
            .collect()
    }

    fn translate_action(&self, now: Timestamp, action: Action) -> LeaseAction {
        match action {
            Action::Send { to, message } => LeaseAction::Send {
                to,
                bytes: codec::encode(&message),
            },
            Action::Acquired { lease, epoch } => {
                tracing::info!("fleet: acquired lease {lease}, epoch {epoch}");
                LeaseAction::Acquired { lease, epoch }
            }
            Action::Lost {
                lease,
                epoch,
                reason,
            } => {
                log_loss(&lease, epoch, reason);
                LeaseAction::Lost { lease }
            }
            Action::SetTimer { after } => {
                LeaseAction::SetTimer(now + self.clock.to_loop_time(after))
            }
        }
    }

    /// Applies reloaded settings. Only the electorate may change while the gateway runs.
    ///
    /// # Errors
    ///
    /// The electorate is invalid or can't replace the current one yet. The current one stays in use.
    pub(crate) fn reload(
        &mut self,
        now: Timestamp,
        settings: &LeaseConfig,
    ) -> Result<Vec<LeaseAction>, LeaseConfigError> {
        if settings.differs_beyond_electorate(&self.settings) {
            tracing::warn!(
                "fleet: lease settings other than the electorate have changed and take effect only after a restart"
            );
        }
        if settings.electorate == self.settings.electorate
            && settings.electorate_number == self.settings.electorate_number
        {
            return Ok(Vec::new());
        }
        let next = settings.electorate(&self.name)?;
        self.manager.check_electorate_change(&next)?;
        tracing::info!(
            "fleet: changed to electorate {}: {}",
            next.number,
            settings.electorate.join(" ")
        );
        self.settings.electorate = settings.electorate.clone();
        self.settings.electorate_number = settings.electorate_number;
        let was_elector = self
            .manager
            .electorate()
            .electorate
            .electors
            .contains(&self.local_peer);
        let is_elector = next.electors.contains(&self.local_peer);
        let mut actions = self.handle(now, Event::ElectorateChanged(next));
        if was_elector != is_elector {
            let leases = settings.leases.iter().filter_map(|name| name.parse().ok());
            for lease in leases {
                let event = Event::CandidacyChanged {
                    lease,
                    is_candidate: is_elector,
                };
                actions.extend(self.handle(now, event));
            }
        }
        Ok(actions)
    }

    /// Formats the lease counters and the known holders for the log.
    pub(crate) fn counts(&self, now: Timestamp) -> String {
        let counters = self.manager.counters();
        let holder_of = |lease: &str| -> Option<&str> {
            let holder = self
                .manager
                .holder(self.clock.at(now), lease.parse().ok()?)?
                .holder;
            self.settings.gateways.get(holder.0).map(String::as_str)
        };
        let holders: String = self
            .settings
            .leases
            .iter()
            .map(|lease| format!(" {lease}={}", holder_of(lease).unwrap_or("nobody")))
            .collect();
        format!(
            "fleet: taken={} handed-on={} lapsed={} outdated={} unlike={} absurd={}{holders}",
            counters.acquired,
            counters.transferred,
            counters.expired,
            counters.outdated_messages,
            counters.incompatible_messages,
            counters.implausible_messages
        )
    }
}

fn log_loss(lease: &LeaseName, epoch: Epoch, reason: LossReason) {
    match reason {
        LossReason::Transferred => {
            tracing::info!("fleet: lost lease {lease}, epoch {epoch}: transferred")
        }
        LossReason::Expired => {
            tracing::warn!("fleet: lost lease {lease}, epoch {epoch}: not renewed in time");
        }
        LossReason::Superseded => {
            tracing::warn!("fleet: lost lease {lease}, epoch {epoch}: a newer epoch is known");
        }
    }
}
