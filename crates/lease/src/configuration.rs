//! The settings of a fleet's leases: the gateways, the electors and the lease duration. All gateways need the same settings. They are
//! checked here once, before the gateway starts.

use harrierdock_types::{PeerId, TimeDelta};

use crate::{ConfigurationError, LeaseName};

/// With two electors, no majority would be left after one fails.
pub(crate) const MIN_ELECTORS: usize = 3;
/// Each elector adds traffic, and more than seven make a lease no safer in practice.
pub(crate) const MAX_ELECTORS: usize = 7;
/// Each lease adds the traffic of its renewals.
pub(crate) const MAX_LEASES: usize = 64;
/// With a larger error of the clock rate, most of each lease would be spent waiting.
pub(crate) const MAX_CLOCK_DRIFT_RATIO: f64 = 0.2;

/// The gateways that grant leases. A changed electorate has the next number and differs by one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Electorate {
    /// Increases by one with each change.
    pub number: u32,
    /// The electors in ascending order, without duplicates.
    pub electors: Vec<PeerId>,
}

/// The lease settings as configured, with names not yet resolved to peers.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// This gateway's name, one of `peer_names`.
    pub own_name: String,
    /// The names of all gateways of the fleet, including this one. A gateway's `PeerId` is its position in this list.
    pub peer_names: Vec<String>,
    /// The names of the electors, three to seven of `peer_names`.
    pub electorate: Vec<String>,
    /// Increases by one with each change of the electorate.
    pub electorate_number: u32,
    /// How long a grant lasts by the elector's clock, from 100 ms to 60 s.
    pub lease_duration: TimeDelta,
    /// The interval between a holder's renewals: at least 10 ms, at most half of `lease_duration`.
    pub heartbeat_interval: TimeDelta,
    /// The longest lease duration that any running gateway is configured with; `None` if the duration never changed.
    pub longest_lease_duration: Option<TimeDelta>,
    /// The largest error of a clock's rate as a ratio from 0 to 0.2, such as 0.02 for 2%.
    pub clock_drift_ratio: f64,
    /// The names of the leases, such as `steward`, `heir` or `speaker:3`.
    pub lease_names: Vec<String>,
}

/// Checked settings, with names resolved to peers.
#[derive(Clone, Debug)]
pub struct LeaseParameters {
    /// This gateway's own id.
    pub local_peer: PeerId,
    /// The hash that identifies each peer in messages, indexed by `PeerId`. Unlike positions, hashes stay the same when the list of names
    /// grows.
    pub name_hashes: Vec<u32>,
    /// The electorate at the start of the process.
    pub electorate: Electorate,
    /// How long a grant lasts by the elector's clock.
    pub lease_duration: TimeDelta,
    /// The interval between a holder's renewals.
    pub heartbeat_interval: TimeDelta,
    /// How long an elector grants nothing after its start, since its earlier grants may still be valid.
    pub startup_wait: TimeDelta,
    /// The largest error of a clock's rate, as a ratio.
    pub clock_drift_ratio: f64,
    /// The leases in the configured order, without duplicates.
    pub leases: Vec<LeaseName>,
}

/// The 32-bit FNV-1a hash of a gateway's name, which identifies the gateway in messages.
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

fn to_ms(duration: TimeDelta) -> i64 {
    duration.0 / 1000
}

impl LeaseSettings {
    /// Checks the settings and resolves the names.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn parameters(&self) -> Result<LeaseParameters, ConfigurationError> {
        self.check_names()?;
        let local_peer = self.find_peer(&self.own_name);
        let local_peer = local_peer.ok_or_else(|| ConfigurationError::UnknownOwnName {
            name: self.own_name.clone(),
        })?;
        let electorate = self.electorate()?;
        self.check_durations()?;
        let longest = self.longest_lease_duration.unwrap_or(self.lease_duration);
        // After a restart, an elector has lost its earlier grants, so it waits until all of them have expired. The processes before and
        // after the restart each measure time by their own clock, so the wait includes the clock drift.
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

    /// Checks the electorate and resolves its names, at the start and for a change while the gateway runs.
    ///
    /// # Errors
    /// There are too few or too many electors, or one is unknown or listed twice.
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
                .find_peer(name)
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

    fn find_peer(&self, name: &str) -> Option<PeerId> {
        self.peer_names
            .iter()
            .position(|listed| listed == name)
            .map(PeerId)
    }

    /// Checks that neither names nor their hashes occur twice.
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
        let lease_ms = to_ms(self.lease_duration);
        let heartbeat_ms = to_ms(self.heartbeat_interval);
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
        // This comparison also refuses NaN.
        if !(0.0..=MAX_CLOCK_DRIFT_RATIO).contains(&self.clock_drift_ratio) {
            return Err(ConfigurationError::ClockDriftOutOfRange {
                ratio: self.clock_drift_ratio,
            });
        }
        match self.longest_lease_duration {
            Some(longest) if longest < self.lease_duration => {
                Err(ConfigurationError::LongestLeaseTooShort {
                    longest_ms: to_ms(longest),
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
    /// How long a holder may act by its own clock, counted from when it requested the grants. This is shorter than the lease duration,
    /// since the holder's clock may be slow and the electors' clocks fast.
    pub fn holder_lease_duration(&self) -> TimeDelta {
        self.lease_duration * ((1.0 - self.clock_drift_ratio) / (1.0 + self.clock_drift_ratio))
    }

    /// The peer whose name has this hash; `None` if none has.
    pub(crate) fn peer_by_name_hash(&self, hash: u32) -> Option<PeerId> {
        self.name_hashes
            .iter()
            .position(|known| *known == hash)
            .map(PeerId)
    }

    /// The hash of this peer's name; `None` if the peer is not configured.
    pub(crate) fn name_hash(&self, peer: PeerId) -> Option<u32> {
        self.name_hashes.get(peer.0).copied()
    }
}
