//! What discovery, the platform and peers tell.

use std::io::{BufReader, Write};
use std::net::{TcpStream, UdpSocket};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::support::*;

#[test]
fn lists_are_followed_through_drains_rebirths_breaks_and_bad_lines() {
    let trace = Trace::default();
    let [one, two] = [
        server("one", &trace, &[Way::Settle]),
        server("two", &trace, &[Way::Settle]),
    ];
    let (discovery, say) = discovery(&trace);
    let gateway = start(&configuration(
        discovery,
        &[member("s-1", one, "ready", 41)],
    ));
    let mut caller = gateway.caller();
    let mut ask = |what: &str, id| {
        let answer = caller.ask(txn("draft", id, 9000));
        trace.note(format!("{what}: {answer}"));
    };
    // A request can only be asked once the list has come; the log tells when.
    let told = |line: Value, revision: u32| {
        say.send(line.to_string()).unwrap();
        gateway.line(&format!("discovery: list {revision} "));
    };
    trace.wait("discovery: GET", 1);
    ask("known", "a1");
    told(list(42, false, &[member("s-1", one, "draining", 41)]), 42);
    ask("draining", "a2");
    told(list(43, false, &[member("s-1", two, "ready", 42)]), 43);
    ask("reborn elsewhere", "a3");
    say.send("close".into()).unwrap();
    trace.wait("discovery: GET", 2);
    told(list(44, true, &[member("s-2", one, "ready", 41)]), 44);
    ask("a whole list without it", "a4");
    say.send(r#"{"revision":"odd"}"#.into()).unwrap();
    trace.wait("discovery: GET", 3);
    rest();
    ask("the list held is served by", "a5");
    trace.note(gateway.end(&["lines-refused"]));
    expect(
        &trace,
        expect![[r#"
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn a1 ""
        known: 200 one settled a1
        draining: 503 Retry-After: 1.5
        two.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn a3 ""
        reborn elsewhere: 200 two settled a3
        discovery: GET /v1/endpoints?stream=1&index=43 HTTP/1.1
        one.2: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn a4 ""
        a whole list without it: 200 one settled a4
        discovery: GET /v1/endpoints?stream=1&index=44 HTTP/1.1
        one.2: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn a5 ""
        the list held is served by: 200 one settled a5
        lines-refused=1
    "#]],
    );
}

#[test]
fn a_list_may_come_indented_and_one_that_stops_between_two_lines_is_asked_for_again() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Settle]);
    let (discovery, say) = discovery(&trace);
    let mut told = configuration(discovery, &[member("s-0", one, "draining", 41)]);
    told["settings"]["limits"]["connect_timeout"] = 250_000.into();
    let gateway = start(&told);
    trace.wait("discovery: GET", 1);
    let indented =
        serde_json::to_string_pretty(&list(42, false, &[member("s-1", one, "ready", 41)])).unwrap();
    assert!(indented.lines().count() > 5);
    // The stand-in ends each with a line's end.
    say.send(indented).unwrap();
    gateway.line("discovery: list 42 ");
    trace.note(format!(
        "client: {}",
        gateway.caller().ask(txn("draft", "aa", 9000))
    ));
    say.send("{\n  \"revision\": 43,\n".into()).unwrap();
    // The stand-in gives its first stream up only once it is told to.
    gateway.line("discovery: connected");
    say.send("close".into()).unwrap();
    trace.wait("discovery: GET", 2);
    say.send(list(44, false, &[]).to_string()).unwrap();
    gateway.line("discovery: list 44 ");
    trace.note(gateway.end(&["lines-refused", "endpoint-lists"]));
    expect(
        &trace,
        expect![[r#"
            discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
            one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
            client: 200 one settled aa
            discovery: GET /v1/endpoints?stream=1&index=42 HTTP/1.1
            endpoint-lists=3
        "#]],
    );
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_from_the_version_held() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Settle]);
    let (noted, lines) = (trace.clone(), channel());
    let (say, heard) = (lines.0, Mutex::new(lines.1));
    // No sign of life: only the first watch is given anything, and it stays open.
    let discovery = stand_in(move |request| {
        noted.note(format!(
            "discovery: {}",
            request.head.lines().next().unwrap_or("")
        ));
        if request.number == 1 {
            return request.stream(&heard, None);
        }
        let line = list(43, false, &[member("s-1", one, "ready", 41)]).to_string();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        request
            .stream
            .write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
            .is_ok()
    });
    let gateway = start(&configuration(
        discovery,
        &[member("s-0", one, "draining", 41)],
    ));
    trace.wait("discovery: GET", 1);
    say.send(list(42, false, &[]).to_string()).unwrap();
    gateway.line("discovery: list 42 ");
    gateway.line("discovery: unresponsive, reopened");
    gateway.line("discovery: list 43 ");
    trace.note(format!(
        "client: {}",
        gateway.caller().ask(txn("draft", "aa", 9000))
    ));
    expect(
        &trace,
        expect![[r#"
            discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
            discovery: GET /v1/endpoints?stream=1&index=42 HTTP/1.1
            one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
            client: 200 one settled aa
        "#]],
    );
}

#[test]
fn a_version_that_discovery_no_longer_knows_gives_way_to_the_whole_list() {
    let trace = Trace::default();
    let (discovery, _say) = discovery(&trace);
    let mut told = configuration(discovery, &[member("s-1", discovery, "ready", 41)]);
    told["known"]["revision"] = 0.into();
    let gateway = start(&told);
    gateway.line("discovery: list 60 ");
    trace.wait("discovery: GET", 3);
    expect(
        &trace,
        expect![[r#"
        discovery: GET /v1/endpoints?stream=1&index=0 HTTP/1.1
        discovery: GET /v1/endpoints HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=60 HTTP/1.1
    "#]],
    );
}

#[test]
fn votes_are_cast_again_until_one_counts() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Settle]);
    let (platform, _say) = platform(
        &trace,
        &["429 Full", "500 No", "silence", "close", "409 Moot"],
        Some("{}"),
    );
    let mut told = configuration(silent(), &[member("s-1", one, "ready", 41)]);
    told["rollouts"] = json!({"address": platform, "news": news(42, 0, "trial")});
    let gateway = start(&told);
    let words: Vec<String> = (0..5)
        .map(|_| gateway.line("a vote got no state"))
        .collect();
    words
        .iter()
        .filter_map(|w| w.rsplit(' ').next())
        .for_each(|w| trace.note(w));
    // One that is moot stands for half its life; the next one counts.
    gateway.line("answers a vote: true");
    trace.note(gateway.end(&["votes-refused", "rollout-updates"]));
    trace.0.lock().unwrap().retain(|l| l != "platform: events");
    expect(
        &trace,
        expect![[r#"
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        Overloaded
        ServerError
        TimedOut
        TimedOut
        Superseded
        platform: {"image":42,"ring":0,"opinion":"approve"}
        rollout-updates=2 votes-refused=5
    "#]],
    );
}

#[test]
fn a_silent_platform_stream_is_replaced_and_old_news_is_passed_over() {
    let trace = Trace::default();
    let (platform, say) = platform(&trace, &[], None);
    let mut told = configuration(silent(), &[]);
    told["rollouts"] = json!({"address": platform, "news": news(42, 1, "trial")});
    told["settings"]["family_info"]["decided_by"] = "clocked".into();
    let gateway = start(&told);
    trace.wait("platform: events", 1);
    let tell = |object: Value| {
        say.send(json!({"type": "news", "object": object}).to_string())
            .unwrap()
    };
    tell(news(42, 1, "rolling_back"));
    tell(news(42, 1, "trial"));
    say.send("{}".into()).unwrap();
    gateway.line("unresponsive, reopened");
    trace.wait("platform: events", 2);
    trace.note(gateway.end(&[
        "rollout-updates",
        "rollout-updates-outdated",
        "lines-refused",
    ]));
    expect(
        &trace,
        expect![[r#"
        platform: events
        platform: events
        rollout-updates=3 rollout-updates-outdated=1
    "#]],
    );
}

#[test]
fn an_unreadable_line_or_part_of_one_costs_its_stream_and_nothing_that_is_known() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Settle]);
    let (platform, say) = platform(&trace, &[], Some("{}"));
    let asked = trace.clone();
    // A discovery whose first answers are noise, a part of a head, and a part of a line.
    let discovery = stand_in(move |request| {
        if request.number <= 4 {
            asked.note(format!(
                "discovery: {}",
                request.head.lines().next().unwrap_or("")
            ));
        }
        let answers = [
            "noise\r\n\r\n",
            "HTTP/1.1 20",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"rev",
        ];
        if let Some(answer) = answers.get(request.number - 1) {
            return request.stream.write_all(answer.as_bytes()).is_ok();
        }
        let line = list(42, false, &[member("s-1", one, "ready", 41)]).to_string();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        request
            .stream
            .write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
            .is_ok()
    });
    let mut told = configuration(discovery, &[member("s-0", one, "draining", 41)]);
    told["settings"]["family_info"]["decided_by"] = "clocked".into();
    told["settings"]["limits"]["connect_timeout"] = 250000.into();
    told["rollouts"] = json!({"address": platform, "news": news(42, 0, "trial")});
    let gateway = start(&told);
    gateway.line("discovery: list 42 ");
    trace.note(format!(
        "client: {}",
        gateway.caller().ask(txn("draft", "aa", 9000))
    ));
    trace.wait("platform: events", 1);
    let learned = |ring: usize| {
        say.send(json!({"type": "news", "object": news(42, ring, "trial")}).to_string())
            .unwrap();
        gateway.line(&format!("stage: {ring}"));
    };
    learned(1);
    // The stand-in lets go of its first stream too.
    ["not JSON", "close"]
        .into_iter()
        .for_each(|line| say.send(line.into()).unwrap());
    trace.wait("platform: events", 2);
    learned(2);
    trace.note(gateway.end(&["rollout-updates", "lines-refused"]));
    trace
        .0
        .lock()
        .unwrap()
        .sort_by_key(|l| !l.starts_with("platform"));
    expect(
        &trace,
        expect![[r#"
        platform: events
        platform: events
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
        client: 200 one settled aa
        lines-refused=1 rollout-updates=3
    "#]],
    );
}

#[test]
fn a_peer_is_known_by_its_address_and_garbage_changes_nothing() {
    let trace = Trace::default();
    let [peer, stranger] = [0; 2].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    let one = server("one", &trace, &[Way::Settle]);
    let (platform, _say) = platform(&trace, &[], Some("{}"));
    let mut told = configuration(silent(), &[member("s-1", one, "ready", 41)]);
    told["settings"]["balancers"] = 2.into();
    told["settings"]["ordinal"] = 1.into();
    told["settings"]["family_info"]["decided_by"] = "clocked".into();
    told["rollouts"] = json!({"address": platform, "news": news(42, 0, "trial")});
    told["peer_listen"] = "127.0.0.1:0".into();
    told["peers"] = json!([peer.local_addr().unwrap(), "127.0.0.1:9"]);
    let gateway = start(&told);
    let to = gateway.mail.unwrap();
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
    gateway.caller().ask(txn("draft", "aa", 9000));
    assert_eq!(trace.count("platform: {"), 0);
    // What makes up M by itself is a vote back.
    peer.send_to(b"42.0.99.t", to).unwrap();
    trace.wait("platform: {", 1);
    trace.note(gateway.end(&["gossip-received", "gossip-refused"]));
    trace.0.lock().unwrap().retain(|l| l != "platform: events");
    expect(
        &trace,
        expect![[r#"
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
        platform: {"image":42,"ring":0,"opinion":"reject"}
        gossip-received=1 gossip-refused=6
    "#]],
    );
}

/// Whether a connection to this port is on its way and has not come up.
fn is_coming(port: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let on_its_way = |line: &str| line.contains(&format!(":{port:04X} 02 "));
    table.lines().any(on_its_way)
}

#[test]
fn a_silent_watch_is_opened_anew_in_time_though_its_next_connection_does_not_come_up() {
    let (listener, queue) = full_server();
    let address = listener.local_addr().unwrap();
    let accept = || {
        let (stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        (stream, message(&mut reader))
    };
    let say = |stream: &mut TcpStream, revision: u32| {
        let line = list(revision, false, &[]).to_string() + "\n";
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        write!(stream, "{head}{:x}\r\n{line}\r\n", line.len()).unwrap();
    };
    queue
        .into_iter()
        .for_each(|_| drop(listener.accept().unwrap()));
    let mut told = configuration(address, &[]);
    told["known"] = list(41, true, &[member("s-1", silent(), "ready", 41)]);
    // Longer than the gateway may wait here: what is told is of servers.
    told["settings"]["limits"]["connect_timeout"] = 2_000_000.into();
    let gateway = start(&told);
    let (mut first, _) = accept();
    let from = Instant::now();
    say(&mut first, 42);
    gateway.line("discovery: list 42 ");
    let queue = fill(address);
    // It falls silent; the next connection finds no room, the one behind it does.
    while !is_coming(address.port()) {
        assert!(from.elapsed() < BOUND, "the watch is not opened anew");
        thread::sleep(Duration::from_millis(5));
    }
    queue
        .into_iter()
        .for_each(|_| drop(listener.accept().unwrap()));
    let (mut next, request) = accept();
    assert!(request.unwrap().0.contains("stream=1&index=42 "));
    say(&mut next, 43);
    gateway.line("discovery: list 43 ");
    let took = from.elapsed();
    assert!(
        took < Duration::from_secs(6),
        "{took:?} after the watch fell silent"
    );
}
