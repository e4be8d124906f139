//! Traces of three gateways, all of them electors and candidates for one lease, with one fault in each test.

mod support;

use expect_test::expect;
use harrierdock_lease::elector::{AcquireRequest, Elector, ElectorReply, Requester};
use harrierdock_lease::{codec, Epoch, Event, Message, MessageBody};
use harrierdock_types::{PeerId, TimeDelta, Timestamp};
use support::{parameters, settings, Simulation, LEASE};

#[test]
fn a_lease_has_no_holder_for_its_duration_after_the_start_and_then_one_gateway_keeps_it() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(60_000);
    expect![[r#"
        at 2197 ms g0 acquired, 2041
    "#]]
    .assert_eq(&simulation.trace);
}

#[test]
fn a_crashed_holder_is_replaced_within_a_lease_duration_and_a_round() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(4_000);
    simulation.kill(simulation.holder().unwrap());
    simulation.run(10_000);
    expect![[r#"
        at 2197 ms g0 acquired, 2041
        at 4000 ms g0 crashes
        at 5879 ms g2 acquired, 2042
    "#]]
    .assert_eq(&simulation.trace);
}

#[test]
fn a_holder_that_shuts_down_transfers_the_lease_at_once() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(4_000);
    simulation.deliver(simulation.holder().unwrap(), Event::ShutdownStarted);
    simulation.run(10_000);
    expect![[r#"
        at 2197 ms g0 acquired, 2041
        at 4000 ms g0 lost, 2041: Transferred
        at 4025 ms g2 acquired, 2042
    "#]]
    .assert_eq(&simulation.trace);
    assert!(simulation
        .managers
        .iter()
        .flatten()
        .any(|manager| manager.is_shutdown_complete()));
}

#[test]
fn a_partitioned_holder_stops_by_its_own_clock_before_another_gateway_acquires() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(4_000);
    assert_eq!(simulation.holder(), Some(0));
    simulation.passes = |from, to, now| now > 9_000_000 || (from != 0 && to != 0);
    simulation.run(12_000);
    expect![[r#"
        at 2197 ms g0 acquired, 2041
        at 5708 ms g0 lost, 2041: Expired
        at 5879 ms g2 acquired, 2042
    "#]]
    .assert_eq(&simulation.trace);
}

#[test]
fn a_holder_that_stalls_after_its_check_may_not_act() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(4_000);
    let holder = simulation.holder().unwrap();
    // The holder stalls right after its check: no timer fires, and no message reports that its lease has expired.
    assert!(simulation.may_act(holder).is_some());
    simulation.stalled_until_us[holder] = 8_000_000;
    simulation.run(7_900);
    assert_eq!(simulation.may_act(holder), None);
    assert!(simulation.holder().is_some_and(|other| other != holder));
    simulation.run(9_000);
    expect![[r#"
        at 2197 ms g0 acquired, 2041
        at 5879 ms g2 acquired, 2042
        at 8000 ms g0 lost, 2041: Expired
    "#]]
    .assert_eq(&simulation.trace);
}

#[test]
fn clocks_within_the_drift_never_allow_two_holders_at_once() {
    for slow in 0..3 {
        let mut simulation = Simulation::new(3, 3);
        simulation.clock_rates = vec![1.02; 3];
        simulation.clock_rates[slow] = 0.98;
        simulation.passes = |from, to, now| now < 6_000_000 || from + to != 1;
        simulation.run(4_000);
        simulation.kill((simulation.holder().unwrap() + 1) % 3);
        simulation.run(12_000);
        assert_eq!(
            (simulation.double_holders, simulation.decreased_epochs),
            (0, 0),
            "{}",
            simulation.trace
        );
    }
}

#[test]
fn after_restarts_a_lease_has_no_holder_until_the_startup_wait_is_over_and_epochs_increase() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(4_000);
    for node in 0..3 {
        simulation.kill(node);
        simulation.start(node);
    }
    simulation.run(9_000);
    expect![[r#"
        at 2197 ms g0 acquired, 2041
        at 4000 ms g0 crashes
        at 4000 ms g1 crashes
        at 4000 ms g2 crashes
        at 6119 ms g0 acquired, 6041
    "#]]
    .assert_eq(&simulation.trace);
    assert_eq!(
        (simulation.double_holders, simulation.decreased_epochs),
        (0, 0)
    );
}

#[test]
fn late_duplicated_and_incompatible_messages_change_nothing() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(6_000);
    let trace_before = simulation.trace.clone();
    // All messages sent so far arrive again in reverse order, also as messages of an earlier process and of an
    // incompatible electorate.
    for (from, to, bytes) in std::mem::take(&mut simulation.sent).into_iter().rev() {
        simulation.send(from, to, bytes.clone(), 1_000);
        let message = codec::decode(&bytes).unwrap();
        let earlier = Message {
            incarnation: message.incarnation - 1,
            ..message.clone()
        };
        simulation.send(from, to, codec::encode(&earlier), 2_000);
        let incompatible = Message {
            electorate_digest: message.electorate_digest ^ 1,
            ..message
        };
        simulation.send(from, to, codec::encode(&incompatible), 2_000);
    }
    simulation.run(16_000);
    assert_eq!(simulation.trace, trace_before);
    let counters = simulation.managers[0].as_ref().unwrap().counters();
    assert!(
        counters.outdated_messages > 0 && counters.incompatible_messages > 0,
        "{counters:?}"
    );
}

#[test]
fn a_holder_rejected_for_its_epoch_acquires_again_above_the_newest_epoch() {
    let mut simulation = Simulation::new(3, 3);
    simulation.run(4_000);
    let newest = Epoch(support::UNIX_START_MS + 70_000);
    simulation.deliver(
        simulation.holder().unwrap(),
        Event::EpochRejected {
            lease: LEASE,
            newest,
        },
    );
    simulation.run(8_000);
    expect![[r#"
        at 2197 ms g0 acquired, 2041
        at 4000 ms g0 lost, 2041: Superseded
        at 4093 ms g0 acquired, 70001
    "#]]
    .assert_eq(&simulation.trace);
}

#[test]
fn an_electorate_changes_by_one_member_and_is_in_force_once_a_majority_uses_it() {
    let mut simulation = Simulation::new(5, 3);
    simulation.run(8_000);
    let electorate = |number: u32, names: &[usize]| {
        let mut settings = settings(0, 5, 3);
        settings.electorate = names.iter().map(|i| format!("g{i}")).collect();
        settings.electorate_number = number;
        settings.electorate().unwrap()
    };
    let manager = simulation.managers[0].as_ref().unwrap();
    let changes_two = manager
        .check_electorate_change(&electorate(2, &[0, 1, 2, 3, 4]))
        .unwrap_err();
    let skips_number = manager
        .check_electorate_change(&electorate(3, &[0, 1, 2, 3]))
        .unwrap_err();
    for node in 0..5 {
        simulation.deliver(node, Event::ElectorateChanged(electorate(2, &[0, 1, 2, 3])));
    }
    let manager = simulation.managers[0].as_ref().unwrap();
    let too_early = manager
        .check_electorate_change(&electorate(3, &[1, 2, 3]))
        .unwrap_err();
    expect![[r#"
        the members of electorate 2 and electorate 1 do not differ by exactly one: add or remove one at a time
        electorate 3 cannot follow 1: increase `electorate_number` by exactly one at each change
        electorate 2 is not in force yet: reload again once a majority of the electors uses it
    "#]]
    .assert_eq(&format!("{changes_two}\n{skips_number}\n{too_early}\n"));
    simulation.run(30_000);
    for node in 0..5 {
        let manager = simulation.managers[node].as_ref().unwrap();
        assert!(
            manager.electorate().is_in_force,
            "g{node} has electorate 2 not in force"
        );
        simulation.deliver(node, Event::ElectorateChanged(electorate(3, &[1, 2, 3])));
    }
    simulation.run(40_000);
    simulation.kill(simulation.holder().unwrap());
    simulation.run(45_000);
    expect![[r#"
        at 2197 ms g0 acquired, 2041
        at 40000 ms g0 crashes
        at 41817 ms g2 acquired, 2042
    "#]]
    .assert_eq(&simulation.trace);
    assert!(simulation.managers[4]
        .as_ref()
        .unwrap()
        .holder(Timestamp(0), LEASE)
        .is_some());
}

#[test]
fn a_lease_duration_counts_from_the_time_of_the_request() {
    let mut simulation = Simulation::new(3, 3);
    simulation.delay_us = 150_000;
    let mut now_ms = 2_000;
    while simulation.holder().is_none() {
        now_ms += 1;
        simulation.run(now_ms);
    }
    let (holder, acquired_ms) = (simulation.holder().unwrap(), now_ms);
    simulation.passes = |_, _, _| false;
    while simulation.may_act(holder).is_some() {
        now_ms += 1;
        simulation.run(now_ms);
    }
    // The requests and grants took 300 ms for the round trip.
    let lease_ms = parameters(0, 3, 3).holder_lease_duration().0 / 1000;
    assert!(
        now_ms - acquired_ms <= lease_ms - 295,
        "held for {} ms of a lease of {lease_ms} ms",
        now_ms - acquired_ms
    );
}

#[test]
fn no_proposal_reuses_an_earlier_epoch() {
    let mut simulation = Simulation::new(5, 3);
    (0..3).for_each(|elector| simulation.kill(elector));
    simulation.run(30_000);
    let requests = simulation
        .sent
        .iter()
        .filter(|(from, to, _)| (*from, *to) == (4, 0));
    let epochs: Vec<Epoch> = requests
        .filter_map(|(_, _, bytes)| match codec::decode(bytes).ok()?.body {
            MessageBody::Prepare { epoch, .. } => Some(epoch),
            _ => None,
        })
        .collect();
    assert!(
        epochs.len() > 5 && epochs.windows(2).all(|pair| pair[0] < pair[1]),
        "{epochs:?}"
    );
}

#[test]
fn a_renewal_is_granted_despite_a_promise_and_a_released_epoch_is_not_renewed() {
    let (lease_duration, now) = (TimeDelta::from_seconds(2.0), Timestamp(0));
    let acquire = |requester, epoch, is_renewal| AcquireRequest {
        requester,
        epoch: Epoch(epoch),
        lease_duration,
        is_renewal,
    };
    let [holder, candidate] = [1, 2].map(|peer| Requester {
        peer: PeerId(peer),
        incarnation: 7,
    });
    let mut elector = Elector::new(&[LEASE], now, Epoch(0), lease_duration);
    // The elector has restarted and doesn't know the holder, and the candidate's proposal arrives first.
    assert_eq!(
        elector.prepare(now, LEASE, candidate, Epoch(9), None),
        ElectorReply::Accepted
    );
    assert_eq!(
        elector.acquire(now, LEASE, acquire(holder, 5, true)),
        ElectorReply::Accepted
    );
    assert!(matches!(
        elector.acquire(now, LEASE, acquire(candidate, 9, false)),
        ElectorReply::Rejected(_)
    ));
    assert!(elector.release(LEASE, holder, Epoch(5)));
    // A duplicate of the holder's renewal arrives late.
    assert!(matches!(
        elector.acquire(now, LEASE, acquire(holder, 5, true)),
        ElectorReply::Rejected(_)
    ));
    assert_eq!(
        elector.acquire(now, LEASE, acquire(candidate, 9, false)),
        ElectorReply::Accepted
    );
}
