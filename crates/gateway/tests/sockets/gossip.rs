//! Gossip messages from peers.

use std::net::UdpSocket;

use expect_test::expect;

use crate::support::*;

#[test]
fn a_peer_is_identified_by_its_address_and_malformed_datagrams_are_ignored() {
    let trace = Trace::default();
    let [peer, stranger] = [0; 2].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    let one = endpoint("one", &trace, &[EndpointBehavior::Succeed]);
    let (platform, _line_sender) = start_platform(&trace, &[], Some("{}"));
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    );
    config["settings"]["balancers"] = 2.into();
    config["settings"]["ordinal"] = 1.into();
    config["settings"]["family_info"]["decided_by"] = "clocked".into();
    config["rollouts"] = json!({"address": platform, "news": rollout_update(42, 0, "trial")});
    config["peer_listen"] = "127.0.0.1:0".into();
    config["peers"] = json!([peer.local_addr().unwrap(), "127.0.0.1:9"]);
    let gateway = start_gateway(&config);
    let to = gateway.gossip_address.unwrap();
    for garbage in [
        &b"\xff\xfe"[..],
        b"42.0",
        b"42.0.99.t ",
        &[b'a'; 300],
        b"9:?????",
    ] {
        peer.send_to(garbage, to).unwrap();
    }
    stranger.send_to(b"42.0.99.t", to).unwrap();
    gateway
        .client()
        .request(client_request("draft", "aa", 9000));
    assert_eq!(trace.count("platform: {"), 0);
    // A single report of 99 rollback votes reaches the required number of votes.
    peer.send_to(b"42.0.99.t", to).unwrap();
    trace.wait_for("platform: {", 1);
    trace.record(gateway.shut_down_and_read_counts(&["gossip-received", "gossip-refused"]));
    trace.0.lock().unwrap().retain(|l| l != "platform: events");
    assert_trace(
        &trace,
        expect![[r#"
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 request aa ""
        platform: {"image":42,"ring":0,"opinion":"reject"}
        gossip-received=1 gossip-refused=6
    "#]],
    );
}
