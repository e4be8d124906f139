//! Tests that messages survive a round trip and that decoding damaged bytes never panics.

use harrierdock_site_messages::{
    decode, encode, ForwardedRequest, ForwardingOutcome, ForwardingResponse, GatewayName,
    Heartbeat, MemberRecord, MemberState, SiteMessage, MAX_MESSAGE_BYTES,
};
use nanorand::{Rng, WyRand};

fn one_message_of_each_kind() -> Vec<SiteMessage> {
    let record = MemberRecord {
        gateway: GatewayName {
            site: "hobart".into(),
            gateway: "h0".into(),
        },
        address: "127.0.0.1:7".parse().ok(),
        incarnation: 9,
        version: 2,
        state: MemberState::Draining,
    };
    let heartbeat = Heartbeat {
        records: vec![record],
        demand: vec![("lodge".into(), 4)],
        ..Heartbeat::default()
    };
    let request = ForwardedRequest {
        affinity_key: Some(7),
        target: "/api?obj=1".into(),
        ..ForwardedRequest::default()
    };
    let response = ForwardingResponse {
        forwarding_id: 1,
        sender_incarnation: 2,
        outcome: ForwardingOutcome::Rejected { may_have_run: true },
        build: Some(3),
        body: vec![1, 2],
    };
    vec![
        SiteMessage::Heartbeat(heartbeat),
        SiteMessage::Request(request),
        SiteMessage::Response(response),
        SiteMessage::StatusQuery {
            forwarding_id: 1,
            sender_incarnation: 2,
            receiver_incarnation: 3,
        },
        SiteMessage::Cancel {
            forwarding_id: 1,
            sender_incarnation: 2,
        },
    ]
}

#[test]
fn messages_round_trip_and_no_prefix_or_flipped_bit_decodes_to_the_same_message() {
    for message in one_message_of_each_kind() {
        let bytes = encode(&message).unwrap();
        assert_eq!(decode(&bytes).as_ref(), Ok(&message));
        assert!((0..bytes.len()).all(|cut| decode(&bytes[..cut]).is_err()));
        for bit in 0..bytes.len() * 8 {
            let mut flipped = bytes.clone();
            flipped[bit / 8] ^= 1 << (bit % 8);
            assert_ne!(decode(&flipped).ok().as_ref(), Some(&message));
        }
    }
    let mut rng = WyRand::new_seed(3);
    for _ in 0..5000 {
        let mut noise = vec![0; rng.generate_range(0..200_usize)];
        rng.fill_bytes(&mut noise);
        let _ = decode(&noise);
    }
}

#[test]
fn a_message_that_is_too_long_is_neither_encoded_nor_decoded() {
    let body = vec![0; MAX_MESSAGE_BYTES];
    let too_long = SiteMessage::Request(ForwardedRequest {
        body,
        ..ForwardedRequest::default()
    });
    assert!(encode(&too_long).is_err() && decode(&vec![0; MAX_MESSAGE_BYTES + 1]).is_err());
}
