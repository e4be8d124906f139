//! Discovery that is down, or full.

use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

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
