//! Sticky versions: the oldest build that may answer each affinity key, where versions are monotonic. Owns the build of
//! each key.

use std::collections::BTreeMap;

use harrierdock_types::{AffinityKey, BuildId};

use crate::context::SLOW_LEARNING_RATE;

/// Lower bound of the share of requests (0 to 1) whose keys do not stick to the canary.
const MIN_FREE_RATIO: f64 = 0.01;

/// The builds that affinity keys stick to.
#[derive(Debug, Default)]
pub struct StickyVersions {
    builds: BTreeMap<AffinityKey, BuildId>,
    /// Running mean of the share of requests (0 to 1) whose key sticks to an unreleased build.
    canary_key_ratio: f64,
}

impl StickyVersions {
    /// Makes a key stick to a build, unless it already sticks to a newer one. Answers of an older build may come late.
    pub fn keep(&mut self, key: AffinityKey, build: BuildId) {
        let newest = self.builds.entry(key).or_default();
        *newest = build.max(*newest);
    }

    /// The build that a key sticks to; `None` if any build may answer it.
    pub fn build_of(&self, key: AffinityKey) -> Option<BuildId> {
        self.builds.get(&key).copied()
    }

    /// Number of keys that stick to a build.
    pub fn len(&self) -> usize {
        self.builds.len()
    }

    /// Whether no key sticks to a build.
    pub fn is_empty(&self) -> bool {
        self.builds.is_empty()
    }

    /// Releases the keys of a build that is rolled back. Keys of newer builds are kept, as an update may be repeated later.
    pub fn release_build(&mut self, build: BuildId) {
        self.builds.retain(|_, sticky| *sticky != build);
    }

    /// Releases the keys of builds up to `earliest`, the oldest build of any endpoint: every endpoint may answer them.
    pub fn release_through(&mut self, earliest: BuildId) {
        self.builds.retain(|_, build| *build > earliest);
    }

    /// Counts a request; `is_canary` is whether its key sticks to an unreleased build.
    pub fn record_request(&mut self, is_canary: bool) {
        self.canary_key_ratio +=
            SLOW_LEARNING_RATE * (f64::from(is_canary) - self.canary_key_ratio);
    }

    /// The share of the requests without a canary key that must go to the canary, so that the canary receives `canary_ratio` of
    /// all requests. A canary key is a key that sticks to the canary.
    pub fn free_canary_ratio(&self, canary_ratio: f64) -> f64 {
        let free_ratio = (1.0 - self.canary_key_ratio).max(MIN_FREE_RATIO);
        ((canary_ratio - self.canary_key_ratio) / free_ratio).max(0.0)
    }
}
