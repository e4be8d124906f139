//! Discovery that is down, or full.

use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::support::*;

#[test]
fn without_a_list_it_is_ready_soon_after_discovery_is_back() {
    let asked = AtomicUsize::new(0);
    let (say, lines) = channel::<String>();
    let lines = Mutex::new(lines);
    let discovery = stand_in(move |request| {
        if request.head.contains("stream=1") {
            return request.stream(&lines, Some(""));
        }
        // What came while it was down is never answered.
        if asked.fetch_add(1, Ordering::SeqCst) == 0 {
            return request.stream.read(&mut [0; 1]).is_err();
        }
        request.answer("200 OK", &list(41, true, &[member("s-1", silent(), "ready", 41)]).to_string())
    });
    let from = Instant::now();
    let gateway = start(&configuration(discovery, &[]));
    let ready = || gateway.caller().ask("GET /ready HTTP/1.1\r\n\r\n") == "200";
    while !ready() {
        assert!(from.elapsed() < Duration::from_secs(4), "it waits on a call that was never answered");
        thread::sleep(Duration::from_millis(10));
    }
    drop(say);
}

#[test]
fn discovery_that_is_full_is_asked_for_what_follows_the_version_held_and_less_and_less_often() {
    let trace = Trace::default();
    let (seen, asked, from) = (trace.clone(), AtomicUsize::new(0), Instant::now());
    let (say, lines) = channel();
    let lines = Mutex::new(lines);
    let times: &'static Mutex<Vec<Duration>> = Box::leak(Box::default());
    let discovery = stand_in(move |request| {
        seen.note(format!("discovery: {}", request.head.lines().next().unwrap_or("")));
        times.lock().unwrap().push(from.elapsed());
        if asked.fetch_add(1, Ordering::SeqCst) < 5 {
            return request.answer("503 Full\r\nConnection: close", "") && false;
        }
        request.stream(&lines, Some(""))
    });
    let gateway = start(&configuration(discovery, &[member("s-1", silent(), "ready", 41)]));
    say.send(list(42, false, &[]).to_string()).unwrap();
    gateway.line("discovery: list 42 ");
    expect(
        &trace,
        expect![[r#"
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
    "#]],
    );
    let times = times.lock().unwrap();
    let waits: Vec<Duration> = times.windows(2).map(|w| w[1] - w[0]).collect();
    // From the third on each wait is at least half of the most; before them half a second, the least told here.
    assert!(waits[2..].iter().all(|w| *w >= Duration::from_millis(750)), "{waits:?}");
    assert!(waits.iter().all(|w| *w >= Duration::from_millis(490)), "{waits:?}");
}
