//! Each build's share of the attempts in an interval, with the build's exposure limit.

use std::collections::BTreeMap;

use harrierdock_types::{BuildId, PlatformStatus, RolloutUpdate, Timestamp};

/// The maximum number of pending shares per collector.
const MAX_PENDING_SHARES: usize = 256;
const PPM: u64 = 1_000_000;

/// A build at a stage of its rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BuildStage {
    pub(crate) build: BuildId,
    pub(crate) stage: u8,
}

/// A build's share of attempts over an interval.
#[derive(Clone, Copy)]
pub(crate) struct RolloutShare {
    pub(crate) start: Timestamp,
    pub(crate) end: Timestamp,
    /// The build's exposure limit in parts per million of received requests.
    pub(crate) exposure_limit_ppm: u64,
    /// Requests that the gateway received in the interval, for all builds.
    pub(crate) received_requests: u64,
    /// Attempts at endpoints of the build that finished in the interval.
    pub(crate) attempts: u64,
}

/// Counts received requests and the attempts of each build, and holds the newest rollout.
pub(crate) struct ShareMeter {
    rollout: BuildStage,
    exposure_limit_ppm: u64,
    received_requests: u64,
    attempts_by_build: BTreeMap<BuildId, u64>,
    interval_start: Timestamp,
}

impl ShareMeter {
    pub(crate) fn new(now: Timestamp) -> ShareMeter {
        ShareMeter {
            rollout: BuildStage::default(),
            exposure_limit_ppm: 0,
            received_requests: 0,
            attempts_by_build: BTreeMap::new(),
            interval_start: now,
        }
    }

    /// Sets the newest rollout. Ignores an update without a rollout state, as a failed vote brings.
    pub(crate) fn set_rollout(&mut self, update: &RolloutUpdate) {
        if update.status != PlatformStatus::Valid {
            return;
        }
        let exposure_limit = update.exposure_limit.clamp(0.0, 1.0);
        self.exposure_limit_ppm = (exposure_limit * PPM as f64) as u64;
        self.rollout = BuildStage {
            build: update.build,
            stage: update.stage.min(255) as u8,
        };
    }

    /// Returns the rollout stage of a build; 0 for all builds but the newest.
    pub(crate) fn stage_of(&self, build: BuildId) -> u8 {
        if build == self.rollout.build {
            self.rollout.stage
        } else {
            0
        }
    }

    pub(crate) fn count_received_request(&mut self) {
        self.received_requests += 1;
    }

    pub(crate) fn count_attempt(&mut self, build: BuildId) {
        *self.attempts_by_build.entry(build).or_default() += 1;
    }

    pub(crate) fn interval_start(&self) -> Timestamp {
        self.interval_start
    }

    /// Starts a new interval, and returns each build's share in the previous one.
    pub(crate) fn take_shares(&mut self, now: Timestamp) -> Vec<(BuildStage, RolloutShare)> {
        let received_requests = std::mem::take(&mut self.received_requests);
        let start = std::mem::replace(&mut self.interval_start, now);
        let mut shares = Vec::new();
        for (build, attempts) in std::mem::take(&mut self.attempts_by_build) {
            let stage = self.stage_of(build);
            let share = RolloutShare {
                start,
                end: now,
                exposure_limit_ppm: self.exposure_limit_ppm_of(build),
                received_requests,
                attempts,
            };
            shares.push((BuildStage { build, stage }, share));
        }
        shares
    }

    /// Returns the exposure limit of a build; one million for all builds but the newest.
    fn exposure_limit_ppm_of(&self, build: BuildId) -> u64 {
        if build == self.rollout.build {
            self.exposure_limit_ppm
        } else {
            PPM
        }
    }
}

/// The shares not yet sent to one collector, for a bounded number of builds and stages.
#[derive(Default)]
pub(crate) struct PendingShares(BTreeMap<BuildStage, RolloutShare>);

impl PendingShares {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Merges a share into the pending share of the same build and stage. Drops a share beyond the bound.
    pub(crate) fn add(&mut self, build_stage: BuildStage, share: &RolloutShare) {
        if let Some(pending) = self.0.get_mut(&build_stage) {
            pending.end = share.end;
            pending.exposure_limit_ppm = share.exposure_limit_ppm;
            pending.received_requests += share.received_requests;
            pending.attempts += share.attempts;
        } else if self.0.len() < MAX_PENDING_SHARES {
            self.0.insert(build_stage, *share);
        }
    }

    pub(crate) fn pop_first(&mut self) -> Option<(BuildStage, RolloutShare)> {
        self.0.pop_first()
    }
}
