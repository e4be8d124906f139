//! Unit tests of the builds that affinity keys stick to.

use harrierdock_policy::sticky_versions::StickyVersions;
use harrierdock_types::{AffinityKey, BuildId};

const KEY: AffinityKey = AffinityKey(7);

#[test]
fn a_late_answer_of_an_older_build_does_not_change_the_sticky_build() {
    let mut versions = StickyVersions::default();
    versions.keep(KEY, BuildId(3));
    versions.keep(KEY, BuildId(2));
    assert_eq!(versions.build_of(KEY), Some(BuildId(3)));
}

#[test]
fn a_rollback_releases_the_keys_of_that_build_only() {
    let mut versions = StickyVersions::default();
    versions.keep(KEY, BuildId(2));
    versions.keep(AffinityKey(8), BuildId(3));
    versions.release_build(BuildId(2));
    assert_eq!(versions.build_of(KEY), None);
    assert_eq!(versions.build_of(AffinityKey(8)), Some(BuildId(3)));
}

#[test]
fn keys_are_released_once_no_endpoint_runs_a_build_older_than_theirs() {
    let mut versions = StickyVersions::default();
    versions.keep(KEY, BuildId(2));
    versions.release_through(BuildId(1));
    assert_eq!(versions.len(), 1);
    versions.release_through(BuildId(2));
    assert!(versions.is_empty());
}

#[test]
fn requests_with_keys_that_stick_to_the_canary_are_part_of_its_share() {
    let mut versions = StickyVersions::default();
    assert_eq!(versions.free_canary_ratio(0.5), 0.5);
    for number in 0..2000 {
        versions.record_request(number % 4 == 0);
    }
    let free_ratio = versions.free_canary_ratio(0.5);
    assert!((0.3..0.36).contains(&free_ratio), "{free_ratio}");
    assert_eq!(versions.free_canary_ratio(0.1), 0.0);
}

#[test]
fn all_keys_stick_to_a_build_until_it_is_rolled_back() {
    let mut versions = StickyVersions::default();
    versions.keep(KEY, BuildId(2));
    versions.keep(AffinityKey(8), BuildId(3));
    versions.keep_all(BuildId(2));
    assert_eq!(versions.len(), 1);
    assert_eq!(versions.build_of(KEY), Some(BuildId(2)));
    assert_eq!(versions.build_of(AffinityKey(9)), Some(BuildId(2)));
    assert_eq!(versions.build_of(AffinityKey(8)), Some(BuildId(3)));
    versions.release_build(BuildId(3));
    assert_eq!(versions.build_of(AffinityKey(8)), Some(BuildId(2)));
    versions.release_build(BuildId(2));
    assert_eq!(versions.build_of(KEY), None);
}

// Guards against memory that grows without end while one client names a new key in each request.
#[test]
fn a_full_table_takes_no_new_key_of_the_canary_and_never_forgets_one() {
    let mut versions = StickyVersions::default();
    let mut number = 0;
    while versions.has_room_for(AffinityKey(number)) {
        versions.keep(AffinityKey(number), BuildId(2));
        number += 1;
    }
    assert!(versions.has_room_for(AffinityKey(0)));
    assert_eq!(versions.build_of(AffinityKey(number)), None);
    // Keys that come all the same, from attempts in flight or from the other site, end in one entry for all keys.
    let most = versions.len() * 2;
    while !versions.is_empty() {
        assert!(versions.len() < most);
        versions.keep(AffinityKey(number), BuildId(2));
        number += 1;
    }
    assert_eq!(versions.build_of(AffinityKey(0)), Some(BuildId(2)));
    assert_eq!(versions.build_of(AffinityKey(number)), Some(BuildId(2)));
}

#[test]
fn keys_of_builds_before_the_one_in_rollout_are_released_alone() {
    let mut versions = StickyVersions::default();
    versions.keep(KEY, BuildId(2));
    versions.keep(AffinityKey(8), BuildId(3));
    versions.release_before(BuildId(3));
    assert_eq!(versions.build_of(KEY), None);
    assert_eq!(versions.build_of(AffinityKey(8)), Some(BuildId(3)));
}
