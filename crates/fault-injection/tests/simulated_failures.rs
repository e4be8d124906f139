//! Fault injection in simulated time, for a few seeds; the results are deterministic.

use harrierdock_fault_injection::{core, duties, membership};

#[test]
fn two_sites_keep_the_rules_under_the_faults_of_24_seeds() {
    let report = core::run_seeds(1, 24, 3, |_| {});
    assert!(report.ok, "{report:?}");
    assert!(
        report.forwards_succeeded > 1000 && report.accepted > 10_000,
        "too few requests to check the rules: {report:?}"
    );
}

#[test]
fn a_membership_change_reaches_all_gateways_within_the_bound() {
    let report = membership::run_simulations(12, 5, 20, || {});
    assert!(report.ok, "{report:?}");
}

#[test]
fn a_lease_has_one_holder_under_faults_and_its_cost_does_not_grow_with_the_fleet() {
    let reports: Vec<_> = [5, 30, 300]
        .map(|gateways| duties::run_seeds(1, 4, gateways, || {}))
        .into();
    for report in &reports {
        assert!(report.ok && report.operations > 1000, "{report:?}");
    }
    // In a fleet of five all gateways can be electors and share the cost of the leases. In larger fleets most gateways send only
    // known leases and status queries.
    let [small, medium, large] = [0, 1, 2].map(|index| reports[index].bytes_per_gateway_second);
    assert!(large <= medium && medium <= small, "{reports:?}");
    let [small, medium, large] =
        [0, 1, 2].map(|index| reports[index].bytes_per_lease_elector_second);
    assert!(
        large < 100.0 && large < 1.2 * medium && large < 1.6 * small,
        "{reports:?}"
    );
}
