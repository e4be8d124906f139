//! The rehearsals without sockets, short: the same verdict every time.

use harrierdock_fault_injection::{core, duties, membership};

#[test]
fn the_rules_hold_between_two_sites_whatever_happens_in_two_dozen_seeds() {
    let found = core::play(1, 24, 3, |_| {});
    assert!(found.ok, "{found:?}");
    assert!(
        found.crossed_settled > 1000 && found.taken > 10_000,
        "too little happened: {found:?}"
    );
}

#[test]
fn one_gateways_change_is_known_to_all_within_the_bound() {
    let found = membership::play(12, 5, 20, || {});
    assert!(found.ok, "{found:?}");
}

#[test]
fn a_duty_has_one_holder_whatever_happens_and_costs_the_same_at_any_size() {
    let found: Vec<_> = [5, 30, 300]
        .map(|gateways| duties::play(1, 4, gateways, || {}))
        .into();
    for found in &found {
        assert!(found.ok && found.acts > 1000, "{found:?}");
    }
    // With all of five gateways as electors each pays a share of the leases; beyond, hearsay and looks alone.
    let [few, more, most] = [0, 1, 2].map(|i| found[i].bytes_a_gateway_s);
    assert!(most <= more && more <= few, "{found:?}");
    let [few, more, most] = [0, 1, 2].map(|i| found[i].bytes_duty_elector_s);
    assert!(
        most < 100.0 && most < 1.2 * more && most < 1.6 * few,
        "{found:?}"
    );
}
