//! This gateway's part in a fleet: messages on the peers' road to `crates/lease` and back, the times it asks for,
//! and the lines that say who holds what. Knows no socket: it takes bytes and points, and gives back what to do.

use harrierdock_lease::{
    codec, Action, DecodeError, Epoch, Event, LeaseManager, LeaseName, LeaseParameters, LossReason,
};
use harrierdock_types::PeerId;
use harrierdock_types::{TimeDelta, Timestamp};

use crate::config::lease::{FleetMisfit, FleetTold};

/// Messages that begin from here on are of a fleet; no text does.
pub const FLEET_FROM: u8 = 0xF5;
/// How often messages that cannot be read are told in the log.
const UNREAD_EVERY: TimeDelta = TimeDelta(10_000_000);

/// What is asked of the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    Send {
        to: PeerId,
        bytes: Vec<u8>,
    },
    /// A duty is this gateway's from now on.
    Holds {
        duty: LeaseName,
        epoch: Epoch,
    },
    Ended {
        duty: LeaseName,
    },
    /// To be woken then, and at no earlier point asked for before.
    WakeAt(Timestamp),
}

/// A clock that a rehearsal lets run fast or slow. Only what `crates/lease` is told goes by it.
#[derive(Clone, Copy, Debug)]
struct Pace {
    start: Timestamp,
    rate: f64,
}

impl Pace {
    fn told(self, now: Timestamp) -> Timestamp {
        if self.rate == 1.0 {
            return now;
        }
        self.start + (now - self.start) * self.rate
    }
}

pub struct Duties {
    fleet: LeaseManager,
    told: FleetTold,
    name: String,
    own: PeerId,
    pace: Pace,
    form: u8,
    unread: u64,
    unread_told: Option<Timestamp>,
}

impl Duties {
    /// Begins, and would hold the told duties where this gateway is an elector.
    pub fn new(
        now: Timestamp,
        told: FleetTold,
        terms: LeaseParameters,
        name: &str,
        seed: u64,
    ) -> (Duties, Vec<Asked>) {
        let rehearsal = told.rehearsal.as_ref();
        let (rate, form) =
            rehearsal.map_or((1.0, codec::FORMAT_VERSION), |r| (r.clock_rate, r.form));
        let pace = Pace { start: now, rate };
        let (own, wanted) = (terms.own, terms.leases.clone());
        let elector = terms.electorate.electors.contains(&own);
        // Unix time in milliseconds, as points begin with it.
        let incarnation = (now.0 / 1000) as u64;
        let fleet = LeaseManager::new(terms, incarnation, seed ^ incarnation, now);
        let mut duties = Duties {
            fleet,
            told,
            name: name.into(),
            own,
            pace,
            form,
            unread: 0,
            unread_told: None,
        };
        let mut asked = duties.take(now, Event::TimerFired);
        for duty in wanted.into_iter().filter(|_| elector) {
            asked.extend(duties.take(
                now,
                Event::CandidacyChanged {
                    lease: duty,
                    wanted: true,
                },
            ));
        }
        (duties, asked)
    }

    /// The electors but for this gateway.
    pub fn electors(&self) -> Vec<PeerId> {
        self.fleet
            .electorate()
            .electorate
            .electors
            .iter()
            .copied()
            .filter(|e| *e != self.own)
            .collect()
    }

    /// Whether this gateway may act in this duty right now. To be asked immediately before the bytes of each act go
    /// out. Guards against acts of one that was stalled, cut off or late: no other place knows the time of the act.
    pub fn may_act(&self, now: Timestamp, duty: LeaseName) -> Option<Epoch> {
        self.fleet.may_act(self.pace.told(now), duty)
    }

    /// A rehearsal's other version of messages writes another form, and reads that one alone: the second byte of a
    /// message, whichever way it goes.
    pub fn reform(&self, bytes: &mut [u8]) {
        if let Some(form) = bytes
            .get_mut(1)
            .filter(|_| self.form != codec::FORMAT_VERSION)
        {
            *form = if *form == self.form {
                codec::FORMAT_VERSION
            } else {
                self.form
            };
        }
    }

    /// A message of a gateway of the fleet.
    ///
    /// # Errors
    /// It cannot be read, and changes nothing.
    pub fn hear(
        &mut self,
        now: Timestamp,
        from: PeerId,
        bytes: &[u8],
    ) -> Result<Vec<Asked>, DecodeError> {
        match codec::decode(bytes) {
            Ok(message) => Ok(self.take(now, Event::MessageReceived { from, message })),
            Err(e) => {
                self.unread += 1;
                // Guards against a log full of one garbled road or an old build: a line in a while says how many.
                if self.unread_told.is_none_or(|at| now - at >= UNREAD_EVERY) {
                    let many = std::mem::take(&mut self.unread);
                    self.unread_told = Some(now);
                    let name = self.told.gateways.get(from.0).map_or("?", String::as_str);
                    tracing::warn!(
                        "fleet: {many} messages refused lately, the last from {name}: {e}"
                    );
                }
                Err(e)
            }
        }
    }

    /// Tells `crates/lease`, says what has changed, and gives back what is to be done.
    pub fn take(&mut self, now: Timestamp, event: Event) -> Vec<Asked> {
        let actions = self.fleet.handle(self.pace.told(now), event);
        actions
            .into_iter()
            .map(|action| self.asked(now, action))
            .collect()
    }

    fn asked(&self, now: Timestamp, action: Action) -> Asked {
        match action {
            Action::Send { to, message } => Asked::Send {
                to,
                bytes: codec::encode(&message),
            },
            Action::Acquired { lease: duty, epoch } => {
                tracing::info!("fleet: holds {duty}, epoch {epoch}");
                Asked::Holds { duty, epoch }
            }
            Action::Lost {
                lease: duty,
                epoch,
                reason,
            } => {
                match reason {
                    LossReason::Transferred => {
                        tracing::info!("fleet: {duty} ended, epoch {epoch}: handed on")
                    }
                    LossReason::Expired => {
                        tracing::warn!("fleet: {duty} ended, epoch {epoch}: not renewed in time")
                    }
                    LossReason::Superseded => {
                        tracing::warn!("fleet: {duty} ended, epoch {epoch}: a later one is known")
                    }
                }
                Asked::Ended { duty }
            }
            // What is a span by a clock that runs fast is a shorter one by the loop's.
            Action::SetTimer { after } => Asked::WakeAt(now + after / self.pace.rate),
        }
    }

    /// Another file was read. What may change while running is the electorate; all else waits for the next start.
    ///
    /// # Errors
    /// What does not fit: the running fleet goes on with what it had.
    pub fn renew(&mut self, now: Timestamp, told: &FleetTold) -> Result<Vec<Asked>, FleetMisfit> {
        if told.differs_beyond_electorate(&self.told) {
            tracing::warn!(
                "fleet: what is told beside the electorate counts from the next start on only"
            );
        }
        let same = (&told.electorate, told.electorate_number);
        if same == (&self.told.electorate, self.told.electorate_number) {
            return Ok(Vec::new());
        }
        let next = told.electorate(&self.name)?;
        self.fleet
            .check_electorate_change(&next)
            .map_err(FleetMisfit::of)?;
        tracing::info!(
            "fleet: electorate {} begins: {}",
            next.number,
            told.electorate.join(" ")
        );
        self.told.electorate = told.electorate.clone();
        self.told.electorate_number = told.electorate_number;
        let before = self
            .fleet
            .electorate()
            .electorate
            .electors
            .contains(&self.own);
        let after = next.electors.contains(&self.own);
        let mut asked = self.take(now, Event::ElectorateChanged(next));
        if before != after {
            for duty in told.duties.iter().filter_map(|d| d.parse().ok()) {
                asked.extend(self.take(
                    now,
                    Event::CandidacyChanged {
                        lease: duty,
                        wanted: after,
                    },
                ));
            }
        }
        Ok(asked)
    }

    /// For the counters' line: what was counted, and who holds what as far as is known here.
    pub fn counts(&self, now: Timestamp) -> String {
        let counts = self.fleet.counters();
        let holder = |duty: &str| -> Option<&str> {
            let known = self.fleet.holder(self.pace.told(now), duty.parse().ok()?)?;
            self.told.gateways.get(known.holder.0).map(String::as_str)
        };
        let told = self.told.duties.iter();
        let holders: String = told
            .map(|duty| format!(" {duty}={}", holder(duty).unwrap_or("nobody")))
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
