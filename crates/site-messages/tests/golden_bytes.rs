//! Tests that messages between two sites keep their encoding, byte for byte.

#[path = "../../types/tests/golden/mod.rs"]
mod golden;

use golden::{check, exact};
use harrierdock_site_messages::{
    decode, encode, ForwardedRequest, ForwardingOutcome, ForwardingResponse, GatewayName,
    Heartbeat, MemberRecord, MemberState, SiteMessage,
};

const STATES: [(&str, MemberState); 5] = [
    ("serving", MemberState::Serving),
    ("draining", MemberState::Draining),
    ("leaving", MemberState::Leaving),
    ("suspected", MemberState::Suspected),
    ("lost", MemberState::Lost),
];

const OUTCOMES: [(&str, ForwardingOutcome); 6] = [
    ("settled", ForwardingOutcome::Succeeded),
    (
        "declined",
        ForwardingOutcome::Rejected {
            may_have_run: false,
        },
    ),
    (
        "declined_after_running",
        ForwardingOutcome::Rejected { may_have_run: true },
    ),
    ("voided", ForwardingOutcome::Failed),
    ("not_taken", ForwardingOutcome::NotAccepted),
    ("unknown", ForwardingOutcome::Unknown),
];

fn record(address: Option<&str>, version: u32, state: MemberState) -> MemberRecord {
    let gateway = GatewayName {
        site: "hobart".into(),
        gateway: "h0".into(),
    };
    let address = address.map(|a| a.parse().expect("an address"));
    MemberRecord {
        gateway,
        address,
        incarnation: 1_764_600_000_000,
        version,
        state,
    }
}

fn heartbeat(records: Vec<MemberRecord>) -> SiteMessage {
    SiteMessage::Heartbeat(Heartbeat {
        incarnation: 9,
        sequence: 2,
        records,
        ..Heartbeat::default()
    })
}

#[test]
fn heartbeats_encode_to_the_golden_bytes() {
    let mut cases = vec![exact("empty", SiteMessage::Heartbeat(Heartbeat::default()))];
    for (version, (name, state)) in STATES.into_iter().enumerate() {
        cases.push(exact(
            name,
            heartbeat(vec![record(Some("127.0.0.1:7"), version as u32, state)]),
        ));
    }
    let (v6, last) = ("[2001:db8::1]:65535", "255.255.255.255:0");
    let three = vec![
        record(None, u32::MAX, MemberState::Serving),
        record(Some(v6), 128, MemberState::Lost),
        record(Some(last), 0, MemberState::Leaving),
    ];
    cases.push(exact("three_records", heartbeat(three)));
    let gateway = GatewayName {
        site: "Zürich".into(),
        gateway: String::new(),
    };
    let unusual = MemberRecord {
        gateway,
        incarnation: u64::MAX,
        ..record(None, 1, MemberState::Serving)
    };
    cases.push(exact("odd_names", heartbeat(vec![unusual])));
    let full = Heartbeat {
        incarnation: 1_764_600_000_000,
        sequence: 300,
        echo: 299,
        echo_delay_ms: 128,
        records: vec![],
        demand: vec![("lodge".into(), 4), ("scan".into(), u16::MAX)],
        grants: vec![("lodge".into(), 0)],
    };
    cases.push(exact("credit", SiteMessage::Heartbeat(full)));
    let (incarnation, max) = (u64::MAX, u32::MAX);
    let largest = Heartbeat {
        incarnation,
        sequence: max,
        echo: max,
        echo_delay_ms: max,
        ..Heartbeat::default()
    };
    cases.push(exact("largest", SiteMessage::Heartbeat(largest)));
    let (encode, decode) = (
        |m: &SiteMessage| encode(m).expect("not too long"),
        |b: &[u8]| decode(b).expect("a message"),
    );
    check(
        include_str!("golden/heartbeats.txt"),
        &cases,
        encode,
        decode,
    );
}

#[test]
fn requests_and_responses_encode_to_the_golden_bytes() {
    let full = ForwardedRequest {
        forwarding_id: 300,
        sender_incarnation: 1_764_600_000_000,
        receiver_incarnation: 1_764_600_000_001,
        heartbeat_sequence: 17,
        class: "lodge".into(),
        remaining_ms: 2500,
        is_client_retry: true,
        affinity_key: Some(7),
        minimum_build: 12,
        method: "POST".into(),
        target: "/api?obj=1".into(),
        request_id: "t-1".into(),
        idempotency_key: Some("r-1".into()),
        body: b"\x00\x7f\x80\xff".into(),
    };
    let first = ForwardedRequest {
        is_client_retry: false,
        affinity_key: None,
        idempotency_key: None,
        body: vec![],
        ..full.clone()
    };
    let largest = ForwardedRequest {
        forwarding_id: u64::MAX,
        sender_incarnation: u64::MAX,
        receiver_incarnation: u64::MAX,
        heartbeat_sequence: u32::MAX,
        remaining_ms: u32::MAX,
        affinity_key: Some(u64::MAX),
        minimum_build: u32::MAX,
        body: vec![0xa5; 200],
        ..full.clone()
    };
    let mut cases = vec![
        exact(
            "request.empty",
            SiteMessage::Request(ForwardedRequest::default()),
        ),
        exact("request.first", SiteMessage::Request(first)),
        exact("request.repeated", SiteMessage::Request(full)),
        exact("request.largest", SiteMessage::Request(largest)),
    ];
    for (name, outcome) in OUTCOMES {
        let response = ForwardingResponse {
            forwarding_id: 300,
            sender_incarnation: 2,
            outcome,
            build: Some(12),
            body: vec![1, 2],
        };
        cases.push(exact(
            format!("response.{name}"),
            SiteMessage::Response(response.clone()),
        ));
        let bare = ForwardingResponse {
            build: None,
            body: vec![],
            ..response
        };
        cases.push(exact(
            format!("response.{name}.bare"),
            SiteMessage::Response(bare),
        ));
    }
    let (forwarding_id, build, max) = (u64::MAX, Some(u32::MAX), u64::MAX);
    let response = ForwardingResponse {
        forwarding_id,
        sender_incarnation: max,
        outcome: ForwardingOutcome::Unknown,
        build,
        body: vec![0xff; 130],
    };
    cases.push(exact("response.largest", SiteMessage::Response(response)));
    cases.push(exact(
        "query",
        SiteMessage::StatusQuery {
            forwarding_id: 300,
            sender_incarnation: 2,
            receiver_incarnation: 3,
        },
    ));
    cases.push(exact(
        "query.zeros",
        SiteMessage::StatusQuery {
            forwarding_id: 0,
            sender_incarnation: 0,
            receiver_incarnation: 0,
        },
    ));
    cases.push(exact(
        "query.largest",
        SiteMessage::StatusQuery {
            forwarding_id,
            sender_incarnation: max,
            receiver_incarnation: max,
        },
    ));
    cases.push(exact(
        "cancel",
        SiteMessage::Cancel {
            forwarding_id: 300,
            sender_incarnation: 2,
        },
    ));
    cases.push(exact(
        "cancel.zeros",
        SiteMessage::Cancel {
            forwarding_id: 0,
            sender_incarnation: 0,
        },
    ));
    cases.push(exact(
        "cancel.largest",
        SiteMessage::Cancel {
            forwarding_id,
            sender_incarnation: max,
        },
    ));
    let (encode, decode) = (
        |m: &SiteMessage| encode(m).expect("not too long"),
        |b: &[u8]| decode(b).expect("a message"),
    );
    check(include_str!("golden/requests.txt"), &cases, encode, decode);
}
