//! The oldest build that may answer an affinity key, where versions are monotonic. Owns the build of each key.

use std::collections::BTreeMap;

use harrierdock_types::{AffinityKey, BuildId};

use crate::context::SLOW_LEARNING_RATE;

/// The least share of requests without a sticky canary that the canary's share is spread over.
const MIN_FREE_RATIO: f64 = 0.01;

/// The builds that affinity keys stay with.
#[derive(Debug, Default)]
pub struct StickyVersions {
    builds: BTreeMap<AffinityKey, BuildId>,
    /// The share of requests (0 to 1) whose key stays with a build that is not released.
    canary_ratio: f64,
}

impl StickyVersions {
    /// Keeps a key with a build. A late answer of an older build changes nothing.
    pub fn keep(&mut self, key: AffinityKey, build: BuildId) {
        let held = self.builds.entry(key).or_default();
        *held = build.max(*held);
    }

    /// The build that a key stays with, if any.
    pub fn build_of(&self, key: AffinityKey) -> Option<BuildId> {
        self.builds.get(&key).copied()
    }

    /// How many keys stay with a build.
    pub fn len(&self) -> usize {
        self.builds.len()
    }

    /// Whether no key stays with a build.
    pub fn is_empty(&self) -> bool {
        self.builds.is_empty()
    }

    /// Releases the keys of a build that is rolled back. Keys of a newer build stay, as the update may come again later.
    pub fn release_build(&mut self, build: BuildId) {
        self.builds.retain(|_, held| *held != build);
    }

    /// Releases the keys that may go to any endpoint, as none runs an older build than `earliest`.
    pub fn release_through(&mut self, earliest: BuildId) {
        self.builds.retain(|_, build| *build > earliest);
    }

    /// Notes whether a request's key stays with a build that is not released.
    pub fn record_request(&mut self, is_canary: bool) {
        self.canary_ratio += SLOW_LEARNING_RATE * (f64::from(is_canary) - self.canary_ratio);
    }

    /// The share of the requests that are free to choose which the canary gets, of its share of all. Requests whose keys stay
    /// with the canary are part of its share.
    pub fn free_canary_ratio(&self, canary_ratio: f64) -> f64 {
        let free_ratio = (1.0 - self.canary_ratio).max(MIN_FREE_RATIO);
        ((canary_ratio - self.canary_ratio) / free_ratio).max(0.0)
    }
}
