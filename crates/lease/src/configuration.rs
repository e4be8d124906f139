//! The settings of a fleet's leases: who is a member, who is an elector, and how long a grant lasts. The operator gives the same to all
//! gateways; they are checked here, once, before anything starts.

use harrierdock_types::{PeerId, TimeDelta};

use crate::{ConfigurationError, LeaseName};

/// Of two electors none may fail.
pub(crate) const MIN_ELECTORS: usize = 3;
/// Each elector costs its bytes, and more than seven make a lease no safer in practice.
pub(crate) const MAX_ELECTORS: usize = 7;
/// Each lease costs the bytes of its renewals.
pub(crate) const MAX_LEASES: usize = 64;
/// With a larger error of a clock's rate, a lease would mostly be waiting.
pub(crate) const MAX_CLOCK_DRIFT_RATIO: f64 = 0.2;

/// The gateways that grant leases. A changed electorate has the next number and differs by one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Electorate {
    /// Raised by one with each change.
    pub number: u32,
    /// In ascending order, each once.
    pub electors: Vec<PeerId>,
}

/// What the operator configures, by name.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// This gateway's name.
    pub own_name: String,
    /// The names of all gateways of the fleet, this one among them. A gateway's `PeerId` is its position.
    pub peer_names: Vec<String>,
    /// The names of the electors.
    pub electorate: Vec<String>,
    /// Raised by one with each change of the electorate.
    pub electorate_number: u32,
    /// For how long a grant lasts.
    pub lease_duration: TimeDelta,
    /// How often a holder renews.
    pub heartbeat_interval: TimeDelta,
    /// The longest lease that gateways still running may be configured with; none where it never changed.
    pub longest_lease_duration: Option<TimeDelta>,
    /// The largest error of a clock's rate: 0.02 for 2%.
    pub clock_drift_ratio: f64,
    /// The names of the leases.
    pub lease_names: Vec<String>,
}

/// Checked settings, with names resolved to peers.
#[derive(Clone, Debug)]
pub struct LeaseParameters {
    /// This gateway.
    pub local_peer: PeerId,
    /// By peer: the number by which messages name it. It stays when the list of names grows, where positions shift.
    pub name_hashes: Vec<u32>,
    /// The gateways that grant leases.
    pub electorate: Electorate,
    /// For how long a grant lasts.
    pub lease_duration: TimeDelta,
    /// How often a holder renews.
    pub heartbeat_interval: TimeDelta,
    /// For how long an elector grants nothing after its start.
    pub startup_wait: TimeDelta,
    /// The largest error of a clock's rate.
    pub clock_drift_ratio: f64,
    /// The leases, in the configured order.
    pub leases: Vec<LeaseName>,
}

/// The number by which messages name a gateway: FNV-1a over its name, with 32 bits.
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

fn as_ms(span: TimeDelta) -> i64 {
    span.0 / 1000
}

impl LeaseSettings {
    /// Checks the settings and resolves the names.
    ///
    /// # Errors
    /// The first setting that does not fit.
    pub fn parameters(&self) -> Result<LeaseParameters, ConfigurationError> {
        self.check_names()?;
        let local_peer = self.peer(&self.own_name);
        let local_peer = local_peer.ok_or_else(|| ConfigurationError::UnknownOwnName {
            name: self.own_name.clone(),
        })?;
        let electorate = self.electorate()?;
        self.check_durations()?;
        let longest = self.longest_lease_duration.unwrap_or(self.lease_duration);
        // A grant expires by the elector's clock; the silence is by the next process' clock on the same machine.
        let startup_wait = longest * (1.0 + self.clock_drift_ratio);
        Ok(LeaseParameters {
            local_peer,
            name_hashes: self.peer_names.iter().map(|name| name_hash(name)).collect(),
            electorate,
            lease_duration: self.lease_duration,
            heartbeat_interval: self.heartbeat_interval,
            startup_wait,
            clock_drift_ratio: self.clock_drift_ratio,
            leases: self.leases()?,
        })
    }

    /// The electorate with its names resolved; also for a change while running.
    ///
    /// # Errors
    /// Too few or too many electors, or one that is unknown or listed twice.
    pub fn electorate(&self) -> Result<Electorate, ConfigurationError> {
        let count = self.electorate.len();
        if count < MIN_ELECTORS {
            return Err(ConfigurationError::TooFewElectors { count });
        }
        if count > MAX_ELECTORS {
            return Err(ConfigurationError::TooManyElectors { count });
        }
        let mut electors: Vec<PeerId> = Vec::with_capacity(count);
        for name in &self.electorate {
            let elector = self
                .peer(name)
                .ok_or_else(|| ConfigurationError::UnknownElector { name: name.clone() })?;
            if electors.contains(&elector) {
                return Err(ConfigurationError::DuplicateElector { name: name.clone() });
            }
            electors.push(elector);
        }
        electors.sort_unstable();
        Ok(Electorate {
            number: self.electorate_number,
            electors,
        })
    }

    fn peer(&self, name: &str) -> Option<PeerId> {
        self.peer_names
            .iter()
            .position(|listed| listed == name)
            .map(PeerId)
    }

    /// Names are listed once, and so are their numbers in messages.
    fn check_names(&self) -> Result<(), ConfigurationError> {
        let mut names: Vec<&str> = self.peer_names.iter().map(String::as_str).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(ConfigurationError::DuplicateName {
                name: pair[0].to_string(),
            });
        }
        names.sort_by_key(|name| name_hash(name));
        let collision = names
            .windows(2)
            .find(|pair| name_hash(pair[0]) == name_hash(pair[1]));
        match collision {
            Some(pair) => Err(ConfigurationError::NameHashCollision {
                one: pair[0].to_string(),
                other: pair[1].to_string(),
            }),
            None => Ok(()),
        }
    }

    fn check_durations(&self) -> Result<(), ConfigurationError> {
        let lease_ms = as_ms(self.lease_duration);
        let heartbeat_ms = as_ms(self.heartbeat_interval);
        if !(100..=60_000).contains(&lease_ms) {
            return Err(ConfigurationError::LeaseOutOfRange { lease_ms });
        }
        if heartbeat_ms < 10 {
            return Err(ConfigurationError::HeartbeatOutOfRange { heartbeat_ms });
        }
        if self.lease_duration < self.heartbeat_interval + self.heartbeat_interval {
            return Err(ConfigurationError::LeaseTooShort {
                lease_ms,
                heartbeat_ms,
            });
        }
        // A comparison that NaN fails as well.
        if !(0.0..=MAX_CLOCK_DRIFT_RATIO).contains(&self.clock_drift_ratio) {
            return Err(ConfigurationError::ClockDriftOutOfRange {
                ratio: self.clock_drift_ratio,
            });
        }
        match self.longest_lease_duration {
            Some(longest) if longest < self.lease_duration => {
                Err(ConfigurationError::LongestLeaseTooShort {
                    longest_ms: as_ms(longest),
                })
            }
            _ => Ok(()),
        }
    }

    fn leases(&self) -> Result<Vec<LeaseName>, ConfigurationError> {
        let count = self.lease_names.len();
        if count > MAX_LEASES {
            return Err(ConfigurationError::TooManyLeases { count });
        }
        let mut leases = Vec::with_capacity(count);
        for name in &self.lease_names {
            let lease: LeaseName = name.parse()?;
            if leases.contains(&lease) {
                return Err(ConfigurationError::DuplicateLease { name: name.clone() });
            }
            leases.push(lease);
        }
        Ok(leases)
    }
}

impl LeaseParameters {
    /// How long a holder may act on a majority's grants, from before it asked for them. By the holder's clock it is shorter than the
    /// lease by as much as that clock may be slow and the electors' may be fast.
    pub fn holder_lease_duration(&self) -> TimeDelta {
        self.lease_duration * ((1.0 - self.clock_drift_ratio) / (1.0 + self.clock_drift_ratio))
    }

    /// The peer that messages name by this number.
    pub(crate) fn peer_by_name_hash(&self, hash: u32) -> Option<PeerId> {
        self.name_hashes
            .iter()
            .position(|known| *known == hash)
            .map(PeerId)
    }

    /// The number by which messages name this peer; none if it is not configured.
    pub(crate) fn name_hash(&self, peer: PeerId) -> Option<u32> {
        self.name_hashes.get(peer.0).copied()
    }
}
