//! Starts the built gateway and speaks to it over sockets, with stand-ins for servers, discovery, the platform
//! and a peer. Ports are the system's choice; every wait is for an event, and bounded.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use expect_test::{expect, Expect};
use harrierdock_rehearse::scripted::*;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Compares what was noted to a trace kept here.
fn expect(trace: &Trace, expected: Expect) {
    expected.assert_eq(&trace.text());
}

// ---- the gateway ----

struct Gateway {
    child: Child,
    address: SocketAddr,
    mail: Option<SocketAddr>,
    log: Receiver<String>,
}

fn address_in(line: &str) -> Option<SocketAddr> {
    line.rsplit(' ').next()?.parse().ok()
}

fn configuration(discovery: SocketAddr, members: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "00000000000000aa",
        "limits": {"memory_mb": 192, "sockets": 200}, "known": list(41, true, members), "settings": settings()})
}

fn write_told(told: &Value) -> String {
    static NUMBERS: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBERS.fetch_add(1, Ordering::SeqCst);
    let path = format!("{}/told-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    fs::write(&path, told.to_string()).unwrap();
    path
}

fn program(told: &Value, arguments: &[&str]) -> Command {
    let path = write_told(told);
    let mut command = Command::new(env!("CARGO_BIN_EXE_harrierdock"));
    command.args(arguments).env("LB_CONFIG", path).stderr(Stdio::piped()).stdout(Stdio::piped());
    command.env_remove("LB_NAME").env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
    command
}

fn start(told: &Value) -> Gateway {
    started(told, program(told, &["serve", "--log", "debug"]))
}

fn started(told: &Value, mut program: Command) -> Gateway {
    let mut child = program.spawn().unwrap();
    let (say, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap());
    thread::spawn(move || lines.lines().map_while(Result::ok).try_for_each(|l| say.send(l)));
    let mut gateway = Gateway { child, address: "127.0.0.1:0".parse().unwrap(), mail: None, log };
    if told["peer_listen"].is_string() {
        gateway.mail = address_in(&gateway.line("hears peers on"));
    }
    gateway.address = address_in(&gateway.line("serves on")).unwrap();
    gateway
}

impl Gateway {
    /// Waits for a log line with this in it.
    fn line(&self, part: &str) -> String {
        let from = Instant::now();
        loop {
            let left = BOUND.saturating_sub(from.elapsed());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("no log line says {part:?}"));
            assert!(!line.contains("broken: "), "{line}");
            if line.contains(part) {
                return line;
            }
        }
    }

    fn caller(&self) -> Caller {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        Caller(BufReader::new(stream))
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Ends it, and gives back its last counts of these names.
    fn end(mut self, names: &[&str]) -> String {
        self.signal(Signal::TERM);
        let counts = self.line("counts:");
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
        let wanted = |part: &&str| names.iter().any(|n| part.starts_with(&format!("{n}=")));
        counts.split(' ').filter(wanted).collect::<Vec<_>>().join(" ")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Caller(BufReader<TcpStream>);

impl Caller {
    fn say(&mut self, text: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(text.as_ref()).unwrap();
    }

    /// The next answer: its status, what it says of trying again and closing, and its body.
    fn hear(&mut self) -> String {
        let Some((head, body)) = message(&mut self.0) else { return "closed".into() };
        let told =
            |name: &str| head.lines().find_map(|l| l.strip_prefix(name)).map(|v| format!(" {name}{v}"));
        let told = [told("Retry-After: "), told("Connection: ")].into_iter().flatten().collect::<String>();
        format!("{}{told} {body}", &head[9..12]).trim_end().to_string()
    }

    fn ask(&mut self, text: impl AsRef<[u8]>) -> String {
        self.say(text);
        self.hear()
    }
}

// ---- txns ----

#[test]
fn txns_of_each_product_pass_unchanged_on_connections_that_are_kept() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Settle]);
    let gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
    let mut caller = gateway.caller();
    for (product, id) in [("draft", "00aB"), ("payment", "00aC"), ("lodge", "00aD")] {
        let answer = caller.ask(txn(product, id, 9000));
        trace.note(format!("client: {answer}"));
    }
    // Two at once need two connections; a body in chunks, and one that waits to be asked for, pass on whole.
    let mut second = gateway.caller();
    let head = "POST /api HTTP/1.1\r\nX-Txn: c1\r\nX-Lane: lodge\r\nX-Remaining-Ms: 9000\r\n";
    second.say(format!("{head}Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"));
    let asked = second.hear();
    trace.note(format!("client: {asked}"));
    let answer = second.ask("3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
    trace.note(format!("client: {answer}"));
    let body = "b".repeat(64 * 1024);
    let answer = second.ask(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()));
    trace.note(format!("client: {answer}"));
    trace.note(gateway.end(&["taken", "settled", "servers-connected", "reused", "not-txn"]));
    expect(
        &trace,
        expect![[r#"
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn 00aB ""
        client: 200 one settled 00aB
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn 00aC reference Key-00aC "{}"
        client: 200 one settled 00aC
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn 00aD "{}"
        client: 200 one settled 00aD
        client: 100
        one.1: POST /api txn c1 "abcdefg"
        client: 200 one settled c1
        one.1: POST /api txn c1 "65536"
        client: 200 one settled c1
        taken=5 settled=5 servers-connected=1 reused=4
    "#]],
    );
}

/// What becomes of one txn where its servers answer in these ways.
fn outcome(trace: &Trace, product: &str, ways: &'static [Way], left: u32) {
    trace.note(format!("- {product}"));
    let one = server("one", trace, ways);
    let gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
    let answer = gateway.caller().ask(txn(product, "aa", left));
    if let [Way::Silence] = ways {
        trace.wait("one.1: given up on", trace.count("- "));
    }
    trace.note(format!("client: {answer}"));
    let names = ["errored", "full", "timed-out", "connect-failed", "reset", "moot", "served"];
    trace.note(gateway.end(&names));
}

#[test]
fn each_socket_event_becomes_its_outcome() {
    let trace = Trace::default();
    outcome(&trace, "draft", &[Way::Reset, Way::Settle], 9000);
    outcome(&trace, "lodge", &[Way::Reset, Way::Settle], 9000);
    outcome(&trace, "payment", &[Way::Fail, Way::Settle], 9000);
    outcome(&trace, "lodge", &[Way::Unreadable], 9000);
    outcome(&trace, "lodge", &[Way::CutOff], 9000);
    outcome(&trace, "lodge", &[Way::TurnAway], 9000);
    outcome(&trace, "draft", &[Way::TooShort, Way::Settle], 9000);
    outcome(&trace, "lodge", &[Way::Endless], 9000);
    outcome(&trace, "lodge", &[Way::ForEverToCome], 9000);
    expect(
        &trace,
        expect![[r#"
        - draft
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
        one.2: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
        client: 200 one settled aa
        served=1 reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa "{}"
        client: 502
        reset=1
        - payment
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa reference Key-aa "{}"
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa reference Key-aa "{}"
        client: 200 one settled aa
        served=1 errored=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa "{}"
        client: 502
        reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa "{}"
        client: 502
        reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa "{}"
        client: 503 Retry-After: 1.5
        full=1
        - draft
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
        one.2: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
        client: 200 one settled aa
        served=1 reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa "{}"
        client: 502
        reset=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa "{}"
        client: 502
        reset=1
    "#]],
    );
}

#[test]
fn what_stands_behind_a_good_answer_ends_the_connection_and_never_the_answer() {
    let trace = Trace::default();
    for ways in [&[Way::Twice], &[Way::TwiceLater]] {
        let one = server("one", &trace, ways);
        let gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
        for id in ["a", "b", "c"] {
            trace.note(gateway.caller().ask(txn("lodge", id, 9000)));
            // What comes later is on its way before the next txn is.
            thread::sleep(Duration::from_millis(100));
        }
        trace.note(gateway.end(&["settled", "reset", "servers-connected"]));
    }
    expect(
        &trace,
        expect![[r#"
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn a "{}"
        200 one settled a
        one.2: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn b "{}"
        200 one settled b
        one.3: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn c "{}"
        200 one settled c
        settled=3 servers-connected=3
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn a "{}"
        200 one settled a
        one.2: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn b "{}"
        200 one settled b
        one.3: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn c "{}"
        200 one settled c
        settled=3 servers-connected=3
    "#]],
    );
}

#[test]
fn silence_ends_at_the_clients_time_and_the_submission_is_given_up() {
    let trace = Trace::default();
    for product in ["draft", "lodge"] {
        outcome(&trace, product, &[Way::Silence], 500);
    }
    expect(
        &trace,
        expect![[r#"
        - draft
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
        one.1: given up on true
        client: 503 Retry-After: 1.5
        timed-out=1
        - lodge
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa "{}"
        one.1: given up on true
        client: 502
        timed-out=1
    "#]],
    );
}

#[test]
fn a_refused_connection_is_never_run_and_a_client_that_leaves_is_owed_nothing() {
    let trace = Trace::default();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let gateway = start(&configuration(silent(), &[member("s-1", closed, "ready", 41)]));
    trace.note(gateway.caller().ask(txn("lodge", "aa", 9000)));
    trace.note(gateway.end(&["connect-failed", "declined"]));
    let one = server("one", &trace, &[Way::Silence]);
    let gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
    let mut caller = gateway.caller();
    caller.say(txn("lodge", "ab", 9000));
    trace.wait("one.1: POST", 1);
    drop(caller);
    trace.wait("one.1: given up on", 1);
    trace.note(gateway.end(&["left", "recalled", "voided", "declined"]));
    expect(
        &trace,
        expect![[r#"
        503 Retry-After: 1.5
        declined=1 connect-failed=1
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn ab "{}"
        one.1: given up on true
        left=1 recalled=1
    "#]],
    );
}

/// A server whose queue of connections is full, so that the next one does not come up.
fn full_server() -> (TcpListener, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    listener.listen(0).unwrap();
    let listener = TcpListener::from(listener);
    let address = listener.local_addr().unwrap();
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let queue = std::iter::from_fn(fill).collect();
    (listener, queue)
}

#[test]
fn a_connection_that_does_not_come_up_is_never_run_and_nothing_is_written_late() {
    let trace = Trace::default();
    let (listener, queue) = full_server();
    let mut told = configuration(silent(), &[member("s-1", listener.local_addr().unwrap(), "ready", 41)]);
    let gateway = start(&told);
    trace.note(gateway.caller().ask(txn("lodge", "aa", 9000)));
    trace.note(gateway.end(&["connect-failed", "declined"]));
    // Here the gateway stands still while the connection comes up and the txn's time runs out.
    told["settings"]["limits"]["connect_timeout"] = 9000000.into();
    let gateway = start(&told);
    let mut caller = gateway.caller();
    caller.say(txn("lodge", "ab", 1000));
    // Answered behind the txn, which is on its way by then.
    (0..3).for_each(|_| drop(gateway.caller().ask("GET /ready HTTP/1.1\r\n\r\n")));
    gateway.signal(Signal::STOP);
    (0..queue.len()).for_each(|_| drop(listener.accept().unwrap()));
    let mut late = listener.accept().unwrap().0;
    thread::sleep(Duration::from_millis(1000));
    gateway.signal(Signal::CONT);
    trace.note(format!("written late: {} bytes", late.read_to_end(&mut Vec::new()).unwrap_or(0)));
    trace.note(caller.hear());
    trace.note(gateway.end(&["connect-failed", "declined"]));
    expect(
        &trace,
        expect![[r#"
        503 Retry-After: 1.5
        declined=1 connect-failed=1
        written late: 0 bytes
        503 Retry-After: 1.5
        declined=1 connect-failed=1
    "#]],
    );
}

#[test]
fn a_kept_connection_that_its_server_closed_is_not_written_to() {
    let trace = Trace::default();
    let noted = trace.clone();
    // Says that it keeps the connection, and closes it all the same.
    let one = stand_in(move |request| {
        noted.note(format!("one.{}", request.connection));
        request.answer("200 OK", "settled");
        false
    });
    let gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
    let mut caller = gateway.caller();
    for id in ["a", "b", "c"] {
        trace.note(caller.ask(txn("lodge", id, 9000)));
        // Its end is on the way before the next txn is.
        thread::sleep(Duration::from_millis(50));
    }
    trace.note(gateway.end(&["settled", "reset", "servers-connected"]));
    expect(
        &trace,
        expect![[r#"
        one.1
        200 settled
        one.2
        200 settled
        one.3
        200 settled
        settled=3 servers-connected=3
    "#]],
    );
}

// ---- discovery, platform, peers ----

#[test]
fn lists_are_followed_through_drains_rebirths_breaks_and_bad_lines() {
    let trace = Trace::default();
    let [one, two] = [server("one", &trace, &[Way::Settle]), server("two", &trace, &[Way::Settle])];
    let (discovery, say) = discovery(&trace);
    let gateway = start(&configuration(discovery, &[member("s-1", one, "ready", 41)]));
    let mut caller = gateway.caller();
    let mut ask = |what: &str, id| {
        let answer = caller.ask(txn("draft", id, 9000));
        trace.note(format!("{what}: {answer}"));
    };
    // A txn can only be asked once the list has come; the log tells when.
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

/// A platform that takes votes in turn by these answers, and says on its stream what it is given.
fn platform(
    trace: &Trace,
    answers: &'static [&'static str],
    sign: Option<&'static str>,
) -> (SocketAddr, Sender<String>) {
    let ((say, lines), trace) = (channel(), trace.clone());
    let (lines, votes) = (Mutex::new(lines), AtomicUsize::new(0));
    let address = stand_in(move |request| {
        if request.head.starts_with("GET /apis/fleet/events") {
            trace.note("platform: events");
            return request.stream(&lines, sign);
        }
        trace.note(format!("platform: {}", request.body));
        match answers.get(votes.fetch_add(1, Ordering::SeqCst)) {
            Some(&"silence") => request.stream.read(&mut [0; 1]).is_err(),
            Some(&"close") => false,
            Some(status) => request.answer(status, r#"{"error":"any"}"#),
            None => request.answer("200 OK", &news(42, 0, "trial").to_string()),
        }
    });
    (address, say)
}

#[test]
fn votes_are_cast_again_until_one_counts() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Settle]);
    let (platform, _say) =
        platform(&trace, &["429 Full", "500 No", "silence", "close", "409 Moot"], Some("{}"));
    let mut told = configuration(silent(), &[member("s-1", one, "ready", 41)]);
    told["rollouts"] = json!({"address": platform, "news": news(42, 0, "trial")});
    let gateway = start(&told);
    let words: Vec<String> = (0..5).map(|_| gateway.line("a vote got no state")).collect();
    words.iter().filter_map(|w| w.rsplit(' ').next()).for_each(|w| trace.note(w));
    // One that is moot stands for half its life; the next one counts.
    gateway.line("answers a vote: true");
    trace.note(gateway.end(&["votes-refused", "news"]));
    trace.0.lock().unwrap().retain(|l| l != "platform: events");
    expect(
        &trace,
        expect![[r#"
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        platform: {"image":42,"ring":0,"opinion":"approve"}
        Full
        Errored
        TimedOut
        TimedOut
        Moot
        platform: {"image":42,"ring":0,"opinion":"approve"}
        news=2 votes-refused=5
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
    let tell = |object: Value| say.send(json!({"type": "news", "object": object}).to_string()).unwrap();
    tell(news(42, 1, "rolling_back"));
    tell(news(42, 1, "trial"));
    say.send("{}".into()).unwrap();
    gateway.line("silent, renewed");
    trace.wait("platform: events", 2);
    trace.note(gateway.end(&["news", "news-passed-over", "lines-refused"]));
    expect(
        &trace,
        expect![[r#"
        platform: events
        platform: events
        news=3 news-passed-over=1
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
            asked.note(format!("discovery: {}", request.head.lines().next().unwrap_or("")));
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
        request.stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_ok()
    });
    let mut told = configuration(discovery, &[member("s-0", one, "draining", 41)]);
    told["settings"]["family_info"]["decided_by"] = "clocked".into();
    told["settings"]["limits"]["connect_timeout"] = 250000.into();
    told["rollouts"] = json!({"address": platform, "news": news(42, 0, "trial")});
    let gateway = start(&told);
    gateway.line("discovery: list 42 ");
    trace.note(format!("client: {}", gateway.caller().ask(txn("draft", "aa", 9000))));
    trace.wait("platform: events", 1);
    let learned = |ring: usize| {
        say.send(json!({"type": "news", "object": news(42, ring, "trial")}).to_string()).unwrap();
        gateway.line(&format!("ring: {ring}"));
    };
    learned(1);
    // The stand-in lets go of its first stream too.
    ["not JSON", "close"].into_iter().for_each(|line| say.send(line.into()).unwrap());
    trace.wait("platform: events", 2);
    learned(2);
    trace.note(gateway.end(&["news", "lines-refused"]));
    trace.0.lock().unwrap().sort_by_key(|l| !l.starts_with("platform"));
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
        lines-refused=1 news=3
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
    for garbage in [&b"\xff\xfe"[..], b"42.0", b"42.0.99.t ", &[b'a'; 300], b"9:?????"] {
        peer.send_to(garbage, to).unwrap();
    }
    stranger.send_to(b"42.0.99.t", to).unwrap();
    gateway.caller().ask(txn("draft", "aa", 9000));
    assert_eq!(trace.count("platform: {"), 0);
    // What makes up M by itself is a vote back.
    peer.send_to(b"42.0.99.t", to).unwrap();
    trace.wait("platform: {", 1);
    trace.note(gateway.end(&["mail-heard", "mail-refused"]));
    trace.0.lock().unwrap().retain(|l| l != "platform: events");
    expect(
        &trace,
        expect![[r#"
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
        platform: {"image":42,"ring":0,"opinion":"reject"}
        mail-heard=1 mail-refused=6
    "#]],
    );
}

// ---- what clients may send ----

#[test]
fn malformed_requests_are_answered_and_leave_no_doubt_where_the_next_one_starts() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Settle]);
    let gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
    let good = txn("draft", "aa", 9000);
    let rows = [
        "garbage\r\n\r\n".to_string(),
        "GET /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
        format!("GET /{} HTTP/1.1\r\n", "x".repeat(20_000)),
        format!("POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n{}", "x".repeat(70_000)),
        "GET /elsewhere HTTP/1.1\r\n\r\n".into(),
        "DELETE /api HTTP/1.1\r\n\r\n".into(),
        "GET http://app.svc/ready HTTP/1.1\r\n\r\n".into(),
        good.replace("X-Txn", "X-Other"),
        good.replace("X-Txn: aa", "X-Txn: aa\r\nX-Txn: ab"),
        good.replace("X-Txn: aa", "X-Txn: a a"),
        good.replace("draft", "banana"),
        good.replace("9000", "soon"),
        good.replace("9000", "-1"),
        good.replace("9000", "+900"),
        good.repeat(300),
        txn("lodge", "ab", 9000).replace("Length: 2", "Length: 1"),
        good.replace("HTTP/1.1", "HTTP/1.0"),
    ];
    for row in rows {
        let mut caller = gateway.caller();
        let (answer, next) = (caller.ask(&row), caller.ask(&good));
        let row = row.replace("\r\n", " ").chars().take(60).collect::<String>();
        trace.note(format!("{row}: {answer}, then {next}"));
    }
    // Those who say nothing, or half of something, or never read, hold up nobody.
    let mut idle = [gateway.caller(), gateway.caller(), gateway.caller()];
    idle[1].say("GET /api HTT");
    idle[2].say(good.repeat(200));
    trace.note(format!("beside idle ones: {}", gateway.caller().ask(&good)));
    trace.0.lock().unwrap().retain(|l| !l.starts_with("one."));
    expect(
        &trace,
        expect![[r#"
        garbage  : 400 Connection: close, then closed
        GET /api HTTP/1.1 Content-Length: 1 Transfer-Encoding: chunk: 400 Connection: close, then closed
        GET /xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx: 431 Connection: close, then closed
        POST /api HTTP/1.1 Content-Length: 70000  xxxxxxxxxxxxxxxxxx: 413 Connection: close, then closed
        GET /elsewhere HTTP/1.1  : 404, then 200 one settled aa
        DELETE /api HTTP/1.1  : 405, then 200 one settled aa
        GET http://app.svc/ready HTTP/1.1  : 200, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Txn: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Txn: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Txn: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Lane: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Remaining-Ms: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Remaining-Ms: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 X-Remaining-Ms: missing or wrong, then 200 one settled aa
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc X: 400 Connection: close, then closed
        POST /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.1 Host: app.svc : 400 Connection: close, then closed
        GET /api?obj=7F3a9c21e0b4d655&x=%20 HTTP/1.0 Host: app.svc X: 200 Connection: close one settled aa, then closed
        beside idle ones: 200 one settled aa
    "#]],
    );
}

#[test]
fn an_id_that_is_open_is_refused_and_what_stands_behind_a_txn_ends_its_connection() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Slowly]);
    let gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
    let [mut first, mut second] = [gateway.caller(), gateway.caller()];
    first.say(txn("lodge", "aa", 9000));
    trace.wait("one.1: POST", 1);
    let answers = [second.ask(txn("payment", "aa", 9000)), second.ask("GET /ready HTTP/1.1\r\n\r\n")];
    answers.into_iter().for_each(|a| trace.note(format!("second: {a}")));
    first.say(txn("lodge", "ab", 9000));
    trace.note(format!("first: {}, then {}", first.hear(), first.hear()));
    // An id is forgotten with its txn.
    trace.note(format!("second: {}", second.ask(txn("lodge", "aa", 9000))));
    expect(
        &trace,
        expect![[r#"
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa "{}"
        second: 409
        second: 200
        first: 200 Connection: close one settled aa, then closed
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn aa "{}"
        second: 200 one settled aa
    "#]],
    );
}

#[test]
fn an_error_reaches_a_client_that_sends_on_at_full_speed() {
    let gateway = start(&configuration(silent(), &[]));
    let mut caller = gateway.caller();
    caller.say(txn("lodge", "aa", 9000).replace("Length: 2", "Length: 60000000"));
    (0..200).for_each(|_| caller.say([b'x'; 40_000]));
    assert_eq!(caller.hear(), "413 Connection: close");
}

#[test]
fn clients_that_say_nothing_or_half_of_something_are_told_so_and_others_are_kept() {
    let gateway = start(&configuration(silent(), &[]));
    let [mut kept, mut nothing, mut half, mut drops] = [0; 4].map(|_| gateway.caller());
    assert_eq!(kept.ask("GET /ready HTTP/1.1\r\n\r\n"), "503");
    half.say("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
    // One that sends drop by drop has no longer than others.
    let dropping = thread::spawn(move || {
        while drops.0.get_mut().write_all(b"GET /api HTTP/1.1\r\nX-More: 1\r\n").is_ok() {
            thread::sleep(Duration::from_millis(300));
            if drops.0.get_mut().set_read_timeout(Some(Duration::from_millis(1))).is_ok()
                && drops.0.fill_buf().is_ok()
            {
                break;
            }
        }
        drops.hear()
    });
    let said =
        [nothing.hear(), half.hear(), dropping.join().unwrap(), kept.ask("GET /ready HTTP/1.1\r\n\r\n")];
    assert_eq!(said, ["closed", "408 Connection: close", "408 Connection: close", "503"]);
}

#[test]
fn a_wrong_configuration_or_an_address_in_use_ends_it_in_one_line() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let good = configuration(silent(), &[]);
    let mut rows = vec![json!([]), json!({"listen": "nowhere"})];
    for (field, value) in
        [("listen", json!(taken.local_addr().unwrap())), ("settings", json!({"classes": 7}))]
    {
        let mut row = good.clone();
        row[field] = value;
        rows.push(row);
    }
    let run = |mut command: Command| {
        let out = command.output().unwrap();
        let said = String::from_utf8_lossy(&out.stderr).into_owned() + &String::from_utf8_lossy(&out.stdout);
        let said = said.replace(&taken.local_addr().unwrap().to_string(), "ADDRESS");
        let path = said.split(' ').find(|w| w.contains("told-")).unwrap_or("\0").to_string();
        format!("{:?} {}", out.status.code(), said.replace(&path, "PATH"))
    };
    let mut trace: String = rows.iter().map(|row| run(program(row, &["serve"]))).collect();
    let mut unset = program(&good, &["serve"]);
    unset.env_remove("LB_CONFIG");
    trace += &run(unset);
    let mut check = good.clone();
    check["discovery"] = "127.0.0.1:8500".into();
    trace += &run(program(&check, &["check"]));
    let mut overridden = program(&check, &["check"]);
    overridden.env("LB_NAME", "n7").env("LB_LISTEN", "127.0.0.2:1").env("LB_DISCOVERY", "127.0.0.2:2");
    trace += &run(overridden);
    expect![[r#"
        Some(2) harrierdock: PATH not an object
        Some(2) harrierdock: PATH listen: invalid socket address syntax
        Some(2) harrierdock: cannot listen on ADDRESS: Address already in use (os error 98)
        Some(2) harrierdock: PATH settings.classes: invalid type: integer `7`, expected a sequence
        Some(2) harrierdock: no configuration: LB_CONFIG is not set
        Some(0) n0 listens on 127.0.0.1:0, discovery at 127.0.0.1:8500, platform none, 0 of 1 gateways, products draft payment lodge, 192 MB, 200 descriptors
        Some(0) n7 listens on 127.0.0.2:1, discovery at 127.0.0.2:2, platform none, 0 of 1 gateways, products draft payment lodge, 192 MB, 200 descriptors
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_reload_turns_to_the_addresses_told_and_keeps_all_else() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Slowly]);
    let [(first, _say), (second, say)] = [discovery(&trace), discovery(&trace)];
    let [(before, _news), (after, _)] =
        [platform(&trace, &[], Some("{}")), platform(&trace, &[], Some("{}"))];
    let mut told = configuration(second, &[member("s-1", one, "ready", 41)]);
    told["settings"]["family_info"]["decided_by"] = "clocked".into();
    told["rollouts"] = json!({"address": before, "news": news(42, 0, "trial")});
    let path = write_told(&told);
    // The variable of the start comes before the file, and must not hide what the file tells at a reload.
    let mut program = program(&told, &["serve", "--log", "debug"]);
    program.env("LB_CONFIG", &path).env("LB_DISCOVERY", first.to_string());
    let mut gateway = started(&told, program);
    trace.wait("discovery: GET", 1);
    trace.wait("platform: events", 1);
    let mut caller = gateway.caller();
    caller.say(txn("lodge", "a1", 9000));
    trace.wait("one.1: POST", 1);
    told["rollouts"] = json!({"address": after});
    for bad in ["{".to_string(), told.to_string().replace("safe", "sound"), "[]".into()] {
        fs::write(&path, bad).unwrap();
        gateway.signal(Signal::HUP);
        let said = gateway.line("nothing changes");
        trace.note(said.split_once("told to").unwrap().1.replace(&path, "PATH"));
    }
    fs::write(&path, told.to_string()).unwrap();
    gateway.signal(Signal::HUP);
    gateway.line("info told to reload");
    trace.wait("discovery: GET", 2);
    trace.wait("platform: events", 2);
    trace.note(format!("under way: {}", caller.hear()));
    say.send(list(42, false, &[]).to_string()).unwrap();
    gateway.line("discovery: list 42 ");
    gateway.signal(Signal::HUP);
    gateway.signal(Signal::TERM);
    trace.note(format!("afterwards: {}", caller.ask(txn("lodge", "a2", 9000))));
    trace.note(format!("ends with {:?}", gateway.child.wait().unwrap().code()));
    // The two streams come up in either order.
    trace.0.lock().unwrap().sort_by_key(|l| (!l.contains(": GET "), !l.contains(": events")));
    expect(
        &trace,
        expect![[r#"
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        platform: events
        platform: events
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn a1 "{}"
         reload, nothing changes: PATH: EOF while parsing an object at line 1 column 1
         reload, nothing changes: PATH: settings.classes: draft: unknown idempotency 'sound'
         reload, nothing changes: PATH: not an object
        under way: 200 one settled a1
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 txn a2 "{}"
        afterwards: 200 Connection: close one settled a2
        ends with Some(0)
    "#]],
    );
}

// ---- limits and ending ----

#[test]
fn at_the_descriptor_budget_idle_connections_go_first() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Settle]);
    let mut told = configuration(silent(), &[member("s-1", one, "ready", 41)]);
    told["limits"]["sockets"] = 32.into();
    let gateway = start(&told);
    let mut callers: Vec<Caller> = Vec::new();
    for _ in 0..30 {
        let mut caller = gateway.caller();
        caller.ask("GET /ready HTTP/1.1\r\n\r\n");
        callers.push(caller);
    }
    // The last to come are answered; of the first, which were closed, each can come again.
    let answers: Vec<String> =
        callers.iter_mut().rev().take(3).map(|c| c.ask(txn("draft", "aa", 9000))).collect();
    let open = fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).unwrap().count();
    trace.0.lock().unwrap().clear();
    trace.note(format!("{answers:?}, within the limit: {}", open <= 32));
    trace.note(format!("again: {}", gateway.caller().ask(txn("draft", "ab", 9000))));
    trace.0.lock().unwrap().retain(|l| !l.starts_with("one."));
    expect(
        &trace,
        expect![[r#"
        ["200 one settled aa", "200 one settled aa", "200 one settled aa"], within the limit: true
        again: 200 one settled ab
    "#]],
    );
}

#[test]
fn silent_strangers_cost_no_connection_that_is_kept() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Settle]);
    let mut told = configuration(silent(), &[member("s-1", one, "ready", 41)]);
    told["limits"]["sockets"] = 32.into();
    let gateway = start(&told);
    let mut caller = gateway.caller();
    trace.note(caller.ask(txn("draft", "aa", 9000)));
    let mut strangers: Vec<Caller> = (0..30).map(|_| gateway.caller()).collect();
    // The first of them has made room for others.
    trace.note(strangers[0].hear());
    trace.note(caller.ask(txn("draft", "ab", 9000)));
    expect(
        &trace,
        expect![[r#"
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn aa ""
        200 one settled aa
        closed
        one.1: GET /api?obj=7F3a9c21e0b4d655&x=%20 txn ab ""
        200 one settled ab
    "#]],
    );
}

#[test]
fn the_longest_bodies_of_all_clients_stay_within_the_told_memory() {
    let mut told = configuration(silent(), &[]);
    told["limits"] = json!({"memory_mb": 24, "sockets": 1024});
    let gateway = start(&told);
    let mut callers: Vec<Caller> = (0..150).map(|_| gateway.caller()).collect();
    // All but the last byte, so that all of them are held at once; the rest find the budget reached.
    let head = "POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n".to_string();
    let part = head + &"b".repeat(65535);
    callers.iter_mut().for_each(|c| drop(c.0.get_mut().write_all(part.as_bytes())));
    assert_eq!(callers.last_mut().unwrap().ask("b"), "400 X-Txn: missing or wrong");
    let status = fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB")).unwrap();
    assert!(peak.parse::<usize>().unwrap() < 24 * 1024, "{peak} kB");
}

#[test]
fn clients_with_half_a_request_hold_up_nobody() {
    let one = server("one", &Trace::default(), &[Way::Settle]);
    // They hold all descriptors, or all buffers that requests may have.
    for (memory, sockets, count) in [(192, 32, 8), (8, 200, 60)] {
        let mut told = configuration(silent(), &[member("s-1", one, "ready", 41)]);
        told["limits"] = json!({"memory_mb": memory, "sockets": sockets});
        let gateway = start(&told);
        let mut stalled: Vec<Caller> = (0..count).map(|_| gateway.caller()).collect();
        stalled.iter_mut().for_each(|c| c.say("GET /api HTTP/1.1\r\n"));
        // Until those have stalled for long enough, a txn may find no descriptor for its server and be declined.
        let from = Instant::now();
        let ask = || gateway.caller().ask(txn("draft", "aa", 9000));
        let mut answer = ask();
        while answer != "200 one settled aa" {
            assert!(from.elapsed() < BOUND, "held up by clients that stall: {answer}");
            thread::sleep(Duration::from_millis(50));
            answer = ask();
        }
    }
}

#[test]
fn clients_that_ask_once_and_stay_leave_connections_to_others() {
    let mut told = configuration(silent(), &[]);
    told["limits"]["sockets"] = 60.into();
    let gateway = start(&told);
    let mut callers: Vec<Caller> = Vec::new();
    for _ in 0..15 {
        let mut caller = gateway.caller();
        assert_eq!(caller.ask("GET /ready HTTP/1.1\r\n\r\n"), "503");
        callers.push(caller);
    }
    // A third of the descriptors is for clients, and half of those may stand unused.
    let (first, last) = callers.split_at_mut(5);
    assert!(first.iter_mut().all(|c| c.hear() == "closed"));
    assert!(last.iter_mut().all(|c| c.ask("GET /ready HTTP/1.1\r\n\r\n") == "503"));
}

#[test]
fn connections_that_hold_nothing_need_no_memory() {
    let mut told = configuration(silent(), &[]);
    told["limits"] = json!({"memory_mb": 8, "sockets": 600});
    let gateway = start(&told);
    let ready = |c: &mut Caller| c.ask("GET /ready HTTP/1.1\r\n\r\n");
    let mut callers: Vec<Caller> = Vec::new();
    for _ in 0..100 {
        let mut caller = gateway.caller();
        assert_eq!(ready(&mut caller), "503");
        callers.push(caller);
    }
    assert!(callers.iter_mut().all(|c| ready(c) == "503"));
}

#[test]
fn the_client_that_takes_the_last_descriptor_keeps_it() {
    let mut told = configuration(silent(), &[]);
    told["limits"]["sockets"] = 32.into();
    let gateway = start(&told);
    let mut others: Vec<Caller> = (0..7).map(|_| gateway.caller()).collect();
    others.iter_mut().for_each(|c| c.say("GET /ready HTTP/1.1\r\n"));
    thread::sleep(Duration::from_millis(100));
    let mut last = gateway.caller();
    thread::sleep(Duration::from_millis(100));
    assert_eq!(last.ask("GET /ready HTTP/1.1\r\n\r\n"), "503");
    assert!(others.iter_mut().all(|c| c.ask("\r\n") == "503"));
}

#[test]
fn told_to_end_it_answers_all_that_comes_and_closes_between_requests() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Slowly]);
    let mut gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
    let (mut idle, mut busy) = (gateway.caller(), gateway.caller());
    trace.note(format!("ready: {}", idle.ask("GET /ready HTTP/1.1\r\n\r\n")));
    busy.say(txn("lodge", "a1", 9000));
    trace.wait("one.1: POST", 1);
    gateway.signal(Signal::TERM);
    gateway.line("told to end");
    let mut late = gateway.caller();
    late.say(txn("lodge", "a2", 9000));
    let mut answers = vec![format!("under way: {}", busy.hear()), format!("late: {}", late.hear())];
    answers.push(format!("ready: {}", gateway.caller().ask("GET /ready HTTP/1.1\r\n\r\n")));
    answers.push(format!("idle: {}", idle.hear()));
    answers.into_iter().for_each(|a| trace.note(a));
    trace.note(format!("ends with {:?}", gateway.child.wait().unwrap().code()));
    trace.0.lock().unwrap().retain(|l| !l.starts_with("one."));
    expect(
        &trace,
        expect![[r#"
        ready: 200
        under way: 200 Connection: close one settled a1
        late: 200 Connection: close one settled a2
        ready: 503 Connection: close
        idle: closed
        ends with Some(0)
    "#]],
    );
}

#[test]
fn what_is_owed_when_time_is_up_is_voided() {
    let trace = Trace::default();
    let one = server("one", &trace, &[Way::Silence]);
    let mut gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
    let mut caller = gateway.caller();
    caller.say(txn("lodge", "a1", 60_000));
    trace.wait("one.1: POST", 1);
    gateway.signal(Signal::TERM);
    assert_eq!(caller.hear(), "502 Connection: close");
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_second_signal_ends_it_at_once() {
    let one = server("one", &Trace::default(), &[Way::Silence]);
    let mut gateway = start(&configuration(silent(), &[member("s-1", one, "ready", 41)]));
    let mut caller = gateway.caller();
    caller.say(txn("lodge", "a1", 60_000));
    gateway.signal(Signal::INT);
    gateway.line("told to end");
    gateway.signal(Signal::INT);
    assert_eq!(gateway.child.wait().unwrap().code(), Some(0));
}
