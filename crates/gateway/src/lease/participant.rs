//! This gateway's part in the leases: messages of peers are decoded for `harrierdock-lease`, and its actions become requests to
//! the dispatcher and log lines. Opens no socket and reads no clock.

use harrierdock_lease::{
    codec, Action, DecodeError, Epoch, Event, LeaseManager, LeaseName, LeaseParameters, LossReason,
};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use super::message_version::{LeaseClock, MessageVersion};
use crate::config::lease::{LeaseConfig, LeaseConfigError};

/// Binary messages, about leases or rollout votes, begin with this byte or a higher one. No text does.
pub(crate) const FIRST_LEASE_BYTE: u8 = 0xF5;
/// How often it is logged that messages could not be read.
const UNREADABLE_LOG_INTERVAL: TimeDelta = TimeDelta(10_000_000);

/// What the dispatcher is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LeaseAction {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: PeerId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Note that this gateway holds a lease from now on.
    Acquired {
        /// The lease.
        lease: LeaseName,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Note that this gateway holds a lease no more.
    Lost {
        /// The lease.
        lease: LeaseName,
    },
    /// Set the timer, in place of an earlier one.
    SetTimer(Timestamp),
}

/// Messages that could not be read and are not logged yet.
#[derive(Default)]
struct UnreadableMessages {
    count: u64,
    logged_at: Option<Timestamp>,
}

impl UnreadableMessages {
    /// Counts a message, and logs how many there were if it is time. A line in a while suffices for a garbled path or a gateway
    /// of another version.
    fn log(&mut self, now: Timestamp, sender: &str, error: &DecodeError) {
        self.count += 1;
        let is_time = self
            .logged_at
            .is_none_or(|at| now - at >= UNREADABLE_LOG_INTERVAL);
        if is_time {
            let count = std::mem::take(&mut self.count);
            self.logged_at = Some(now);
            tracing::warn!(
                "fleet: {count} messages refused lately, the last from {sender}: {error}"
            );
        }
    }
}

/// Who takes part, by which settings.
pub(crate) struct Participation<'a> {
    /// The settings of the leases.
    pub(crate) settings: &'a LeaseConfig,
    /// The same, checked and parsed.
    pub(crate) parameters: LeaseParameters,
    /// This gateway's name.
    pub(crate) name: &'a str,
    /// The seed of its random numbers.
    pub(crate) seed: u64,
}

/// This gateway's part in the leases.
pub(crate) struct LeaseParticipant {
    /// The deadline of the timer.
    pub(crate) timer_deadline: Option<Timestamp>,
    manager: LeaseManager,
    settings: LeaseConfig,
    name: String,
    local_peer: PeerId,
    clock: LeaseClock,
    message_version: MessageVersion,
    unreadable: UnreadableMessages,
}

impl LeaseParticipant {
    /// Takes part from now on, as a candidate for the configured leases if this gateway is an elector.
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
        // Unix time in milliseconds, because timestamps begin with Unix time.
        let incarnation = (now.0 / 1000) as u64;
        let mut participant = LeaseParticipant {
            timer_deadline: None,
            manager: LeaseManager::new(parameters, incarnation, seed ^ incarnation, now),
            settings: settings.clone(),
            name: name.into(),
            local_peer,
            clock: LeaseClock::new(now, faults),
            message_version: MessageVersion::new(faults),
            unreadable: UnreadableMessages::default(),
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

    /// The electors besides this gateway.
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

    /// The epoch in which this gateway may act under a lease right now. To be asked immediately before the bytes of each act are
    /// written: a gateway that was stalled or partitioned cannot know otherwise that its lease has expired.
    pub(crate) fn may_act(&self, now: Timestamp, lease: LeaseName) -> Option<Epoch> {
        self.manager.may_act(self.clock.at(now), lease)
    }

    /// Converts a message to or from the version that this gateway writes and reads.
    pub(crate) fn convert_version(&self, message: &mut [u8]) {
        self.message_version.convert(message);
    }

    /// Handles a message of a peer.
    ///
    /// # Errors
    ///
    /// It cannot be read, and changes nothing.
    pub(crate) fn handle_message(
        &mut self,
        now: Timestamp,
        from: PeerId,
        bytes: &[u8],
    ) -> Result<Vec<LeaseAction>, DecodeError> {
        let message = codec::decode(bytes).inspect_err(|error| {
            let sender = self.settings.gateways.get(from.0);
            let sender = sender.map_or("?", String::as_str);
            self.unreadable.log(now, sender, error);
        })?;
        Ok(self.handle(now, Event::MessageReceived { from, message }))
    }

    /// Tells the leases what has happened, and returns what is to be done.
    pub(crate) fn handle(&mut self, now: Timestamp, event: Event) -> Vec<LeaseAction> {
        let actions = self.manager.handle(self.clock.at(now), event);
        actions
            .into_iter()
            .map(|action| self.translate(now, action))
            .collect()
    }

    fn translate(&self, now: Timestamp, action: Action) -> LeaseAction {
        match action {
            Action::Send { to, message } => LeaseAction::Send {
                to,
                bytes: codec::encode(&message),
            },
            Action::Acquired { lease, epoch } => {
                tracing::info!("fleet: holds {lease}, epoch {epoch}");
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

    /// Applies settings that were read again. Only the electorate may change while the gateway runs.
    ///
    /// # Errors
    ///
    /// The electorate does not fit; the former one stays.
    pub(crate) fn reload(
        &mut self,
        now: Timestamp,
        settings: &LeaseConfig,
    ) -> Result<Vec<LeaseAction>, LeaseConfigError> {
        if settings.differs_beyond_electorate(&self.settings) {
            tracing::warn!(
                "fleet: what is told beside the electorate counts from the next start on only"
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
            "fleet: electorate {} begins: {}",
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

    /// The counters and the holders that are known here, for the log.
    pub(crate) fn counts(&self, now: Timestamp) -> String {
        let counts = self.manager.counters();
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
            counts.acquired,
            counts.transferred,
            counts.expired,
            counts.outdated_messages,
            counts.incompatible_messages,
            counts.implausible_messages
        )
    }
}

fn log_loss(lease: &LeaseName, epoch: Epoch, reason: LossReason) {
    match reason {
        LossReason::Transferred => tracing::info!("fleet: {lease} ended, epoch {epoch}: handed on"),
        LossReason::Expired => {
            tracing::warn!("fleet: {lease} ended, epoch {epoch}: not renewed in time");
        }
        LossReason::Superseded => {
            tracing::warn!("fleet: {lease} ended, epoch {epoch}: a later one is known");
        }
    }
}
