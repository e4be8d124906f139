//! Sticky versions: the oldest build that may answer each affinity key, where versions are monotonic. Owns the build of
//! each key, and the build that all keys stick to.

use std::collections::BTreeMap;

use harrierdock_types::{AffinityKey, BuildId};

use crate::context::SLOW_LEARNING_RATE;

/// Lower bound of the share of requests (0 to 1) whose keys do not stick to the canary.
const MIN_FREE_RATIO: f64 = 0.01;
/// The number of remembered keys from which the canary receives no further ones.
const MAX_KEYS: usize = 131_072;
/// The number of keys beyond [`MAX_KEYS`] that attempts in flight and the other site may still add.
const RESERVED_KEYS: usize = 16_384;

/// The builds that affinity keys stick to.
///
/// Memory is bounded without forgetting that a build has answered a key: one build that all keys stick to replaces the keys of a
/// released build, and a full table takes no new keys of the canary.
#[derive(Debug, Default)]
pub struct StickyVersions {
    /// The keys that stick to a newer build than the common one.
    builds: BTreeMap<AffinityKey, BuildId>,
    /// No build in `builds` is older than this, so that most releases need not look at every key.
    oldest_build: BuildId,
    /// The build that every key sticks to; build 0 if there is none.
    common_build: BuildId,
    /// Running mean of the share of requests (0 to 1) whose key sticks to an unreleased build.
    canary_key_ratio: f64,
}

impl StickyVersions {
    /// Makes a key stick to a build, unless it already sticks to a newer one. Answers of an older build may come late.
    pub fn keep(&mut self, key: AffinityKey, build: BuildId) {
        if build <= self.common_build {
            return;
        }
        self.oldest_build = self.oldest_build.min(build);
        let newest = self.builds.entry(key).or_default();
        *newest = build.max(*newest);
        if self.builds.len() > MAX_KEYS + RESERVED_KEYS {
            // Every key counts as answered by the newest build: some requests are rejected that an older build could serve, but
            // no key returns to an older build.
            let newest = self.builds.values().copied().max();
            self.keep_all(newest.unwrap_or(build));
        }
    }

    /// Makes every key stick to a build, which replaces the keys that are remembered for it and for older builds.
    pub fn keep_all(&mut self, build: BuildId) {
        self.common_build = self.common_build.max(build);
        self.release_through(self.common_build);
    }

    /// The oldest build that may answer a key; `None` if any build may.
    pub fn build_of(&self, key: AffinityKey) -> Option<BuildId> {
        let common = Some(self.common_build).filter(|build| *build > BuildId(0));
        common.max(self.own_build_of(key))
    }

    /// The build that a key sticks to by itself, whatever all keys stick to.
    pub fn own_build_of(&self, key: AffinityKey) -> Option<BuildId> {
        self.builds.get(&key).copied()
    }

    /// Whether an answer of the canary to this key can be remembered.
    pub fn has_room_for(&self, key: AffinityKey) -> bool {
        self.builds.len() < MAX_KEYS || self.builds.contains_key(&key)
    }

    /// Number of keys that are remembered one by one.
    pub fn len(&self) -> usize {
        self.builds.len()
    }

    /// Whether no key is remembered by itself.
    pub fn is_empty(&self) -> bool {
        self.builds.is_empty()
    }

    /// Releases the keys of a build that is rolled back. Keys of newer builds are kept, as an update may be repeated later.
    pub fn release_build(&mut self, build: BuildId) {
        if self.common_build == build {
            self.common_build = BuildId(0);
        }
        self.builds.retain(|_, sticky| *sticky != build);
    }

    /// Releases the keys of builds up to `earliest`, the oldest build of any endpoint: every endpoint may answer them.
    pub fn release_through(&mut self, earliest: BuildId) {
        if earliest >= self.oldest_build {
            self.builds.retain(|_, build| *build > earliest);
            self.update_oldest_build();
        }
    }

    /// Releases the keys of builds older than `build`.
    pub fn release_before(&mut self, build: BuildId) {
        if build > self.oldest_build {
            self.builds.retain(|_, sticky| *sticky >= build);
            self.update_oldest_build();
        }
    }

    fn update_oldest_build(&mut self) {
        let oldest = self.builds.values().copied().min();
        self.oldest_build = oldest.unwrap_or(BuildId(u32::MAX));
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
