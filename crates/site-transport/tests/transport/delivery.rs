//! Tests that each message arrives exactly once or its path closes, despite network faults.

use std::time::Duration;

use harrierdock_site_messages::MAX_MESSAGE_BYTES;
use harrierdock_site_transport::{Delivery, SiteTransport, TransportEvent};
use nanorand::Rng;

use crate::network::{address, gateway_name, Network, ACCEPTING, CONNECTING};

const MESSAGES: usize = 200;

/// A message whose length depends on its number; message 7 has the maximum length.
fn numbered_message(number: usize) -> Vec<u8> {
    let length = if number == 7 {
        MAX_MESSAGE_BYTES
    } else {
        1 + number * 37
    };
    vec![number as u8; length]
}

/// Advances up to 20 s of simulated time, until the path is open at both ends.
fn wait_until_both_opened(network: &mut Network) {
    for _ in 0..200 {
        if !(network.has_opened(CONNECTING) && network.has_opened(ACCEPTING)) {
            network.advance(Duration::from_millis(100));
        }
    }
}

#[test]
fn every_reliable_message_arrives_once_despite_lost_repeated_and_reordered_datagrams() {
    for (seed, loss_probability) in [(1, 0.0), (2, 0.05), (3, 0.3)] {
        let mut network = Network::with_two_sites(seed, loss_probability);
        network.connect();
        wait_until_both_opened(&mut network);
        assert!(
            matches!(&network.events[ACCEPTING][0], TransportEvent::Opened { peer, .. } if *peer == gateway_name("hobart", "h0"))
        );
        let paths = [network.path(CONNECTING), network.path(ACCEPTING)];
        for number in 0..MESSAGES {
            let now = network.now;
            for end in [CONNECTING, ACCEPTING] {
                let message = numbered_message(number);
                assert!(network.ends[end].send(now, paths[end], message, Delivery::Reliable));
            }
            network.advance(Duration::from_millis(5));
        }
        for _ in 0..120 {
            if (0..2).any(|end| network.messages(end).len() < MESSAGES) {
                network.advance(Duration::from_secs(1));
            }
        }
        for end in 0..2 {
            let mut received = network.messages(end);
            received.sort();
            let mut sent: Vec<Vec<u8>> = (0..MESSAGES).map(numbered_message).collect();
            sent.sort();
            let missing: Vec<usize> = sent
                .iter()
                .filter(|message| !received.contains(message))
                .map(Vec::len)
                .collect();
            assert!(
                received == sent,
                "loss {loss_probability}: end {end} received {} messages, missing those of {missing:?} bytes; {}",
                received.len(),
                network.reasons(end).len()
            );
        }
    }
}

#[test]
fn a_path_that_is_cut_one_way_closes_at_both_ends_and_can_be_reopened() {
    let mut network = Network::with_two_sites(4, 0.0);
    network.connect();
    network.advance(Duration::from_secs(1));
    network.is_cut_one_way = true;
    let now = network.now;
    let path = network.path(CONNECTING);
    network.ends[CONNECTING].send(now, path, vec![1], Delivery::Reliable);
    network.advance(Duration::from_secs(8));
    assert!(
        network
            .events
            .iter()
            .all(|events| matches!(events.last(), Some(TransportEvent::Closed { .. }))),
        "{:?}",
        network.events
    );
    assert!(network.ends.iter().all(SiteTransport::is_empty));
    network.is_cut_one_way = false;
    network.clear_events();
    network.connect();
    network.advance(Duration::from_secs(1));
    assert!(
        network
            .events
            .iter()
            .all(|events| matches!(events[..], [TransportEvent::Opened { .. }])),
        "{:?}",
        network.events
    );
}

/// Guards against a message that is discarded without a word, as it is longer than the receiver accepts.
#[test]
fn a_message_that_is_too_long_is_reported_and_the_next_one_arrives() {
    let mut network = Network::with_two_sites(7, 0.0);
    network.connect();
    network.advance(Duration::from_secs(1));
    let (now, path) = (network.now, network.path(CONNECTING));
    for message in [vec![1; MAX_MESSAGE_BYTES + 1], vec![2; 300]] {
        network.ends[CONNECTING].send(now, path, message, Delivery::Reliable);
    }
    network.advance(Duration::from_secs(1));
    let reported = network.events[ACCEPTING]
        .iter()
        .filter(|event| matches!(event, TransportEvent::MessageTooLong { .. }))
        .count();
    assert_eq!(reported, 1, "{:?}", network.events[ACCEPTING]);
    assert_eq!(network.messages(ACCEPTING), vec![vec![2; 300]]);
}

#[test]
fn noise_and_replayed_datagrams_have_no_effect() {
    let mut network = Network::with_two_sites(6, 0.0);
    network.connect();
    network.advance(Duration::from_secs(1));
    let now = network.now;
    let path = network.path(CONNECTING);
    network.ends[CONNECTING].send(now, path, vec![9; 300], Delivery::Reliable);
    let mut datagrams = Vec::new();
    while let Some((_, bytes)) = network.ends[CONNECTING].next_datagram() {
        datagrams.push(bytes);
    }
    for bytes in datagrams.iter().cycle().take(datagrams.len() * 50) {
        network.ends[ACCEPTING].handle_datagram(now, address(CONNECTING), bytes);
    }
    for _ in 0..20_000 {
        let mut noise = vec![0; network.rng.generate_range(0..1400_usize)];
        network.rng.fill_bytes(&mut noise);
        network.ends[ACCEPTING].handle_datagram(now, address(5), &noise);
    }
    network.advance(Duration::from_secs(1));
    assert_eq!(network.messages(ACCEPTING), vec![vec![9; 300]]);
    assert!(
        network.ends[ACCEPTING].len() < 64,
        "{} connections",
        network.ends[ACCEPTING].len()
    );
    network.advance(Duration::from_secs(10));
    assert_eq!(
        network.ends[ACCEPTING].len(),
        0,
        "connections started by noise, or the idle path, are still open"
    );
}
