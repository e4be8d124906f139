//! Benchmarks without sockets: the decisions for a local request and for a forwarded request with its response, and the
//! encoding and decoding of a message.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use harrierdock_multi_site::{
    Action, Event, MultiSite, MultiSiteConfig, OperatorCommand, PathId, RequestClass, RequestEnd,
};
use harrierdock_site_messages::{
    decode, encode, ForwardedRequest, ForwardingOutcome, ForwardingResponse, GatewayName,
    Heartbeat, SiteMessage,
};
use harrierdock_types::{ClassId, RequestId, RetrySafety, TimeDelta, Timestamp};

const LATENCY_OBJECTIVE: TimeDelta = TimeDelta(400_000);
const HEARTBEAT_INTERVAL: TimeDelta = TimeDelta(100_000);
const START: Timestamp = Timestamp(1_000_000_000);
const PATH: PathId = PathId(1);
const OWN_INCARNATION: u64 = 5;
/// Forwarded requests between two grants: fewer than one grant covers, so that credit never runs out.
const REQUESTS_PER_GRANT: u64 = 50_000;

fn gateway_name(site: &str, gateway: &str) -> GatewayName {
    GatewayName {
        site: site.into(),
        gateway: gateway.into(),
    }
}

fn config() -> MultiSiteConfig {
    let address = "127.0.0.1:1".parse().expect("an address");
    MultiSiteConfig {
        own_name: gateway_name("hobart", "h0"),
        address: None,
        incarnation: OWN_INCARNATION,
        other_site: "launceston".into(),
        seeds: vec![(gateway_name("launceston", "l0"), address)],
        classes: vec![RequestClass {
            name: "draft".into(),
            retry_safety: RetrySafety::Idempotent,
            latency_objective: LATENCY_OBJECTIVE,
            timeout: LATENCY_OBJECTIVE * 4.0,
            priority_weight: 1.0,
            deduplicates_across_sites: false,
        }],
        slow_start_window: LATENCY_OBJECTIVE * 10.0,
        tick: TimeDelta(5_000),
        retry_after: None,
        stored_response_bytes: 1 << 20,
        seed: 1,
    }
}

fn site_with_a_path() -> MultiSite {
    let mut site = MultiSite::new(START, config());
    site.handle(START, Event::EndpointsUpdated { ready: 4 });
    let peer = gateway_name("launceston", "l0");
    site.handle(START, Event::PathOpened { path: PATH, peer });
    site
}

fn receive_heartbeat(site: &mut MultiSite, now: Timestamp, sequence: u32) {
    let mut echo = 0;
    for action in site.handle(now, Event::TimerFired) {
        if let Action::Send {
            message: SiteMessage::Heartbeat(heartbeat),
            ..
        } = action
        {
            echo = heartbeat.sequence;
        }
    }
    let heartbeat = Heartbeat {
        incarnation: 7,
        sequence,
        echo,
        grants: vec![("draft".to_string(), u16::MAX)],
        ..Heartbeat::default()
    };
    let event = Event::MessageReceived {
        path: PATH,
        message: SiteMessage::Heartbeat(heartbeat),
    };
    site.handle(now, event);
}

fn request(id: u64) -> Event {
    Event::RequestReceived {
        id: RequestId(id),
        class: ClassId(0),
        remaining: LATENCY_OBJECTIVE * 4.0,
    }
}

fn local_requests(c: &mut Criterion) {
    let mut site = site_with_a_path();
    let mut id = 0;
    c.bench_function("a local request and its end", |b| {
        b.iter(|| {
            id += 1;
            black_box(site.handle(START, request(id)));
            let ended = Event::RequestEnded {
                class: ClassId(0),
                end: RequestEnd::Succeeded,
                elapsed: LATENCY_OBJECTIVE / 10.0,
            };
            black_box(site.handle(START, ended));
        })
    });
}

fn forwarded_requests(c: &mut Criterion) {
    let mut site = site_with_a_path();
    let mut now = START;
    let mut sequence = 0;
    for _ in 0..3 {
        now = now + HEARTBEAT_INTERVAL;
        sequence += 1;
        receive_heartbeat(&mut site, now, sequence);
    }
    site.handle(now, Event::OperatorCommand(OperatorCommand::Drain));
    let mut id = 0;
    let mut forwarded = 0_u64;
    c.bench_function("a forwarded request and its response", |b| {
        b.iter(|| {
            id += 1;
            if id % REQUESTS_PER_GRANT == 0 {
                now = now + HEARTBEAT_INTERVAL;
                sequence += 1;
                receive_heartbeat(&mut site, now, sequence);
            }
            for action in site.handle(now, request(id)) {
                if let Action::Forward { forwarding_id, .. } = action {
                    forwarded += 1;
                    black_box(site.handle(now, response(forwarding_id)));
                }
            }
        })
    });
    assert!(forwarded > 0, "no request was forwarded");
}

fn response(forwarding_id: u64) -> Event {
    let response = ForwardingResponse {
        forwarding_id,
        sender_incarnation: OWN_INCARNATION,
        outcome: ForwardingOutcome::Succeeded,
        build: None,
        body: Vec::new(),
    };
    Event::MessageReceived {
        path: PATH,
        message: SiteMessage::Response(response),
    }
}

fn messages(c: &mut Criterion) {
    let message = SiteMessage::Request(ForwardedRequest {
        class: "lodge".into(),
        method: "POST".into(),
        target: "/api?obj=7f3a9c21e0b4d655".into(),
        request_id: "9b1f03aa5c7e2d41".into(),
        body: vec![b'x'; 2048],
        ..ForwardedRequest::default()
    });
    let bytes = encode(&message).expect("the message is shorter than the longest");
    c.bench_function("encode a forwarded request of 2 KB", |b| {
        b.iter(|| black_box(encode(&message)))
    });
    c.bench_function("decode a forwarded request of 2 KB", |b| {
        b.iter(|| black_box(decode(&bytes)))
    });
}

criterion_group!(benches, local_requests, forwarded_requests, messages);
criterion_main!(benches);
