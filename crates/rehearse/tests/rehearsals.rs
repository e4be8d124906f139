//! The rehearsals without sockets, short: the same verdict every time.

use harrierdock_rehearse::{core, membership};

#[test]
fn the_rules_hold_between_two_sites_whatever_happens_in_two_dozen_seeds() {
    let found = core::play(1, 24, 3, |_| {});
    assert!(found.ok, "{found:?}");
    assert!(found.crossed_settled > 1000 && found.taken > 10_000, "too little happened: {found:?}");
}

#[test]
fn one_gateways_change_is_known_to_all_within_the_bound() {
    let found = membership::play(12, 5, 20, || {});
    assert!(found.ok, "{found:?}");
}
