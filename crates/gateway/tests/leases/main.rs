//! Leases among built gateways that are killed, stalled, partitioned, shut down, or use two message versions. The rules
//! are checked against the commands that the deployment controller received. Tests wait for events, with a timeout.

mod fleet;
mod held_listener;

use std::fs;
use std::thread;
use std::time::Duration;

use harrierdock_fault_injection::fleet::process_group::{ShutdownPurpose, StartOverrides};
use harrierdock_fault_injection::fleet::{FleetRun, Scenario};
use harrierdock_fault_injection::stand_ins::{serve_requests, TEST_TIMEOUT};
use harrierdock_types::TimeDelta;
use rustix::process::Signal;
use serde_json::{json, Value};

use fleet::{last_logged_at, Fleet};
use held_listener::HeldListener;

#[test]
fn a_killed_lease_holder_is_succeeded_under_a_later_epoch() {
    let mut fleet = Fleet::start("kill");
    let holder = fleet.wait_for_holder();
    let FleetRun {
        simulation, group, ..
    } = &mut fleet.run;
    group.kill(simulation, holder);
    fleet.wait_for_advance_by_another(holder);
    // The restarted gateway must not act under an earlier epoch.
    let FleetRun {
        simulation, group, ..
    } = &mut fleet.run;
    group.start(simulation, holder).unwrap();
    fleet.wait_for_advances(3);
    fleet.assert_rules_held();
}

#[test]
fn epochs_never_decrease_when_all_gateways_are_killed_and_restarted() {
    let mut fleet = Fleet::start("all");
    fleet.wait_for_holder();
    let epoch = fleet.last_epoch();
    let FleetRun {
        simulation, group, ..
    } = &mut fleet.run;
    (0..5).for_each(|index| group.kill(simulation, index));
    (0..5).for_each(|index| group.start(simulation, index).unwrap());
    fleet.wait_for_advances(3);
    assert!(
        fleet.last_epoch() > epoch,
        "{} after {epoch}",
        fleet.last_epoch()
    );
    fleet.assert_rules_held();
}

/// The holder connects to the deployment controller while it holds the lease, and could write its command only after the
/// lease has expired. Guards against a lease check before connecting but not right before writing.
#[test]
fn a_holder_that_stalls_before_writing_drops_its_command() {
    let scenario = Scenario {
        requests_per_second: 20.0,
        endpoints: 2,
        stage_pause_ms: 3_600_000,
        ..Scenario::default()
    };
    let mut fleet = Fleet::new("stall", scenario);
    let listener = HeldListener::new();
    let controller = fleet.run.group.rollout_stand_in.address;
    fleet.run.group.deployment_controller_address = listener.address;
    fleet.run.start().unwrap();
    // The holder retries unanswered commands. It is stalled while a connection is pending.
    let holder = loop {
        fleet.run_until("a lease holder", |run| {
            run.group.holder("steward").is_some()
        });
        let holder = fleet.run.group.holder("steward").unwrap();
        let FleetRun {
            simulation, group, ..
        } = &mut fleet.run;
        let process_id = group.gateways[holder].process.as_ref().unwrap().id();
        // Partitioned as well, so that it doesn't learn from a peer that its lease has expired when it resumes.
        group.cut_off(&[holder], true, true);
        thread::sleep(Duration::from_millis(5));
        group.stall(simulation, holder);
        if listener.has_pending_connection_of(process_id) {
            break holder;
        }
        group.resume(simulation, holder);
        group
            .relay
            .update_faults(|faults| faults.dropped_pairs.clear());
        let retry_at = simulation.now() + TimeDelta::from_seconds(0.02);
        fleet.run_until("20 ms to pass", |run| run.simulation.now() >= retry_at);
    };
    listener.forward_to(controller);
    fleet.wait_for_advance_by_another(holder);
    // Longer than the kernel takes to retransmit the SYN, so that the connection is established.
    thread::sleep(Duration::from_millis(1200));
    let FleetRun {
        simulation, group, ..
    } = &mut fleet.run;
    group.resume(simulation, holder);
    // A command written before this line reaches the deployment controller before the gateways shut down.
    fleet.run_until("the holder to lose its lease", |run| {
        run.group.has_logged(holder, "lost lease steward, epoch")
    });
    fleet.assert_rules_held();
}

/// Guards against commands that are repeated without a word on why their responses count for nothing.
#[test]
fn a_response_to_a_command_that_is_too_long_is_reported() {
    let scenario = Scenario {
        requests_per_second: 20.0,
        endpoints: 2,
        ..Scenario::default()
    };
    let mut fleet = Fleet::new("long-response", scenario);
    fleet.run.group.deployment_controller_address =
        serve_requests(|request| request.respond("200 OK", &"b".repeat(64 * 1024 + 1)));
    fleet.run.start().unwrap();
    fleet.run_until("a response that cannot be read", |run| {
        let gateways = run.group.gateways.len();
        (0..gateways).any(|gateway| {
            run.group.has_logged(
                gateway,
                "has no result: the response cannot be read: body too large",
            )
        })
    });
    fleet.assert_rules_held();
}

#[test]
fn a_holder_partitioned_one_way_gives_up_its_lease() {
    for drops_inward in [true, false] {
        let mut fleet = Fleet::start(if drops_inward { "inward" } else { "outward" });
        let holder = fleet.wait_for_holder();
        fleet
            .run
            .group
            .cut_off(&[holder], drops_inward, !drops_inward);
        fleet.wait_for_advance_by_another(holder);
        fleet.run_until("the holder to lose its lease", |run| {
            run.group.has_logged(holder, "lost lease steward")
        });
        fleet
            .run
            .group
            .relay
            .update_faults(|faults| faults.dropped_pairs.clear());
        fleet.wait_for_advances(3);
        fleet.assert_rules_held();
    }
}

/// Each shutdown must transfer the lease. Only one of three has to take less than the lease duration, because a busy
/// machine delays the successor.
#[test]
fn a_holder_that_shuts_down_transfers_its_lease() {
    let mut fleet = Fleet::start("order");
    let mut gaps_seconds = Vec::new();
    for _ in 0..3 {
        let holder = fleet.wait_for_holder();
        let FleetRun {
            simulation, group, ..
        } = &mut fleet.run;
        group.shut_down(simulation, holder, ShutdownPurpose::End);
        fleet.run_until("another lease holder", |run| {
            run.group
                .holder("steward")
                .is_some_and(|current| current != holder)
        });
        let successor = fleet.run.group.holder("steward").unwrap();
        fleet.run_until("the previous holder to exit", |run| {
            run.group.gateways[holder].process.is_none()
        });
        let lost_at = last_logged_at(&fleet.run, holder, "lost lease steward, epoch");
        assert!(
            lost_at <= last_logged_at(&fleet.run, holder, ": transferred"),
            "the lease expired instead of being transferred"
        );
        gaps_seconds
            .push(last_logged_at(&fleet.run, successor, "acquired lease steward") - lost_at);
        let FleetRun {
            simulation, group, ..
        } = &mut fleet.run;
        group.start(simulation, holder).unwrap();
    }
    let lease_seconds = f64::from(fleet.run.group.scenario.lease_ms) / 1000.0;
    assert!(
        gaps_seconds.iter().any(|gap| *gap < lease_seconds),
        "seconds without a holder: {gaps_seconds:?}"
    );
    fleet.assert_rules_held();
}

#[test]
fn gateways_of_another_message_version_are_refused_and_hold_no_lease_without_a_quorum() {
    let mut fleet = Fleet::new(
        "mixed",
        Scenario {
            requests_per_second: 20.0,
            endpoints: 2,
            ..Scenario::default()
        },
    );
    let other_version = StartOverrides {
        uses_other_wire_format: true,
        ..StartOverrides::default()
    };
    [0, 1]
        .into_iter()
        .for_each(|index| fleet.run.group.gateways[index].overrides = other_version);
    fleet.run.start().unwrap();
    fleet.wait_for_advances(5);
    fleet.run_until("refused messages at every gateway", |run| {
        (0..5).all(|index| {
            run.group
                .has_logged(index, "undecodable messages since the last such line")
        })
    });
    for index in [0, 1] {
        assert!(
            !fleet.run.group.has_logged(index, "fleet: acquired lease"),
            "g{index} holds a lease with two of five electors"
        );
    }
    fleet.assert_rules_held();
}

#[test]
fn a_bad_file_at_a_reload_changes_nothing_and_the_next_electorate_is_applied() {
    let mut fleet = Fleet::start("reload");
    fleet.wait_for_holder();
    let mut extensions = fleet.run.group.extension_configuration(0);
    let reload = |fleet: &Fleet, index: usize, extensions: &Value| {
        let path = fleet.folder.join(format!("g{index}-sites.json"));
        fs::write(&path, extensions.to_string()).unwrap();
        fleet.run.group.gateways[index]
            .process
            .as_ref()
            .unwrap()
            .signal(Signal::HUP);
    };
    extensions["fleet"]["electorate"] = json!(["g0", "g1"]);
    reload(&fleet, 0, &extensions);
    fleet.run_until("the refused electorate in the log", |run| {
        run.group.has_logged(0, "fleet.electorate: 2 electors")
    });
    fleet.wait_for_advances(2);
    extensions["fleet"]["electorate"] = json!(["g0", "g1", "g2", "g3"]);
    extensions["fleet"]["electorate_number"] = json!(2);
    // A gateway that doesn't know yet that the first electorate is in force refuses the next one, so it is reloaded again.
    let has_changed =
        |run: &FleetRun, index: usize| run.group.has_logged(index, "changed to electorate 2");
    for _ in 0..TEST_TIMEOUT.as_secs() {
        let unchanged: Vec<usize> = (0..5)
            .filter(|index| !has_changed(&fleet.run, *index))
            .collect();
        unchanged
            .iter()
            .for_each(|index| reload(&fleet, *index, &extensions));
        let until = fleet.run.simulation.now()
            + TimeDelta::from_seconds(if unchanged.is_empty() { 0.0 } else { 1.0 });
        fleet.run_until("the next attempt", |run| run.simulation.now() >= until);
    }
    assert!((0..5).all(|index| has_changed(&fleet.run, index)));
    fleet.wait_for_advances(3);
    fleet.assert_rules_held();
}
