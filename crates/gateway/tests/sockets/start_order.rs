//! The order of the start, and the time that clients are taken to have waited for it.

use std::thread;
use std::time::Duration;

use crate::early_clients::{
    configuration_at, endpoint_that_notes_time, stated_time, StartingGateway, DELAY, SLACK,
};
use crate::support::*;

/// As many connections as a gateway accepts in one turn.
const FULL_TURN: usize = 64;
/// The time that a client grants whose stated time is looked at.
const GRANTED_MS: u32 = 5_000;
/// The descriptors that a gateway sets aside, and those that are left for clients and endpoints.
const RESERVED_DESCRIPTORS: usize = 24;
const FREE_DESCRIPTORS: usize = 8;

/// Serves a client whose request is there when it is accepted. Returns the time that its endpoint was told.
fn stated_to_a_client_that_does_not_wait(gateway: &Gateway, trace: &Trace) -> Duration {
    gateway.stop();
    let mut client = gateway.client();
    client.say(client_request("lodge", "a1", GRANTED_MS));
    gateway.signal(Signal::CONT);
    assert_eq!(client.receive(), "200 answer");
    stated_time(trace, "a1")
}

// Guards against a queue that is taken for one that still waits, because the turn that emptied it was full.
#[test]
fn a_client_that_comes_after_a_full_turn_of_early_clients_loses_none_of_its_time() {
    let trace = Trace::default();
    let one = endpoint_that_notes_time(&trace);
    let starting = StartingGateway::new(unused_address());
    let _early: Vec<Client> = (0..FULL_TURN).map(|_| starting.client()).collect();
    let config = configuration_at(starting.address, one);
    let gateway = starting.configure(&config);
    gateway.line("serves on");
    thread::sleep(DELAY);
    let granted = Duration::from_millis(GRANTED_MS.into());
    let stated = stated_to_a_client_that_does_not_wait(&gateway, &trace);
    assert!(stated >= granted - SLACK, "{stated:?} stated");
}

// The same where the turn ended because the descriptors were used up by those who waited.
#[test]
fn a_client_that_comes_after_a_shortage_of_descriptors_loses_none_of_its_time() {
    let trace = Trace::default();
    let one = endpoint_that_notes_time(&trace);
    let mut config = configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    );
    config["limits"]["sockets"] = json!(RESERVED_DESCRIPTORS + FREE_DESCRIPTORS);
    let gateway = start(&config);
    gateway.stop();
    let mut others: Vec<Client> = (0..FREE_DESCRIPTORS).map(|_| gateway.client()).collect();
    gateway.signal(Signal::CONT);
    thread::sleep(DELAY);
    // Leaves enough for the next client and its attempt.
    others.truncate(FREE_DESCRIPTORS / 2);
    thread::sleep(DELAY);
    let granted = Duration::from_millis(GRANTED_MS.into());
    let stated = stated_to_a_client_that_does_not_wait(&gateway, &trace);
    assert!(stated >= granted - SLACK, "{stated:?} stated");
}
