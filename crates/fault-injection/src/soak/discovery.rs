//! A soak's discovery: its list changes, and it fails for a while where the plan says so.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::plan::{DiscoveryFault, DiscoveryWindow};
use crate::stand_ins::{endpoint_list, endpoint_record, serve_requests, ReceivedRequest};

/// How often a watch looks for changes, and how many looks it is to its next empty line.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
const LOOKS_PER_EMPTY_LINE: u32 = 50;
/// The version of the first list. Each change is one more.
const FIRST_VERSION: u32 = 41;
const BUILD: u32 = 41;
const DRAINING: &str = "draining";
const GONE: &str = "gone";

/// A change of the list.
#[derive(Clone)]
struct Change {
    record: Value,
    /// When it is told.
    told_at: Instant,
}

/// What the threads of the service share.
struct Service {
    addresses: Vec<SocketAddr>,
    endpoints: Vec<Value>,
    changes: Mutex<Vec<Change>>,
    /// When discovery fails, and the moment that this counts from.
    window: Mutex<Option<(DiscoveryWindow, Instant)>>,
}

/// A discovery service that all gateways share.
pub(super) struct DiscoveryStandIn {
    pub(super) address: SocketAddr,
    service: Arc<Service>,
}

impl DiscoveryStandIn {
    /// Lists these endpoints as ready.
    pub(super) fn start(addresses: &[SocketAddr]) -> DiscoveryStandIn {
        let service = Arc::new(Service {
            addresses: addresses.to_vec(),
            endpoints: (0..addresses.len())
                .map(|index| record(addresses, index, "ready"))
                .collect(),
            changes: Mutex::default(),
            window: Mutex::default(),
        });
        let served = service.clone();
        let address = serve_requests(move |request| served.serve(request));
        DiscoveryStandIn { address, service }
    }

    /// Has it fail in this window, counted from a moment.
    pub(super) fn fail_in(&self, window: DiscoveryWindow, started_at: Instant) {
        *self.service.window.lock().expect("no watch panics") = Some((window, started_at));
    }

    /// Lets an endpoint drain. Returns when every watch that is open carries it at the latest.
    pub(super) fn drain(&self, endpoint: usize) -> Instant {
        self.service.change(endpoint, DRAINING) + LOOK_INTERVAL
    }

    /// Removes an endpoint.
    pub(super) fn remove(&self, endpoint: usize) {
        self.service.change(endpoint, GONE);
    }

    /// The list that a gateway has kept when it starts now.
    pub(super) fn current_list(&self) -> Value {
        self.service.list()
    }
}

fn record(addresses: &[SocketAddr], index: usize, phase: &str) -> Value {
    endpoint_record(&format!("s-{index}"), addresses[index], phase, BUILD)
}

impl Service {
    /// Changes an endpoint's phase. Returns when this is told.
    fn change(&self, endpoint: usize, phase: &str) -> Instant {
        let told_at = self.told_at();
        let record = record(&self.addresses, endpoint, phase);
        let mut changes = self.changes.lock().expect("no watch panics");
        changes.push(Change { record, told_at });
        told_at
    }

    fn window(&self) -> Option<(DiscoveryWindow, Instant)> {
        *self.window.lock().expect("no watch panics")
    }

    /// When a change of this moment is told.
    fn told_at(&self) -> Instant {
        match self.window() {
            Some((window, started_at)) => started_at + window.told_at(started_at.elapsed()),
            None => Instant::now(),
        }
    }

    fn is_away(&self) -> bool {
        self.window().is_some_and(|(window, started_at)| {
            let elapsed = started_at.elapsed();
            window.fault == DiscoveryFault::Away && (window.from..window.until).contains(&elapsed)
        })
    }

    /// The changes that are told by now, in order.
    fn told_changes(&self) -> Vec<Value> {
        let now = Instant::now();
        let changes = self.changes.lock().expect("no watch panics");
        let told = changes.iter().take_while(|change| change.told_at <= now);
        told.map(|change| change.record.clone()).collect()
    }

    fn list(&self) -> Value {
        let changes = self.told_changes();
        let latest = |endpoint: &Value| {
            let change = changes
                .iter()
                .rfind(|change| change["id"] == endpoint["id"]);
            change.unwrap_or(endpoint).clone()
        };
        let listed = self.endpoints.iter().map(latest);
        let listed: Vec<Value> = listed.filter(|record| record["phase"] != GONE).collect();
        endpoint_list(FIRST_VERSION + changes.len() as u32, true, &listed)
    }

    fn serve(&self, request: &mut ReceivedRequest) -> bool {
        while self.is_away() {
            thread::sleep(LOOK_INTERVAL);
        }
        if request.head.contains("stream=1") {
            self.serve_watch(request)
        } else {
            request.respond("200 OK", &self.list().to_string())
        }
    }

    fn serve_watch(&self, request: &mut ReceivedRequest) -> bool {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut output = head.to_string();
        let mut told_count = followed_changes(&request.head);
        for look in 0_u32.. {
            let changes = self.told_changes();
            if told_count < changes.len() && !self.is_away() {
                let version = FIRST_VERSION + changes.len() as u32;
                let line = endpoint_list(version, false, &changes[told_count..]);
                output += &chunk(&line.to_string());
                told_count = changes.len();
            } else if look % LOOKS_PER_EMPTY_LINE == 0 && !self.is_away() {
                output += &chunk("");
            }
            if request.stream.write_all(output.as_bytes()).is_err() {
                return false;
            }
            output.clear();
            thread::sleep(LOOK_INTERVAL);
        }
        false
    }
}

/// How many changes a watch has that asks for what follows its version.
fn followed_changes(head: &str) -> usize {
    let version = head.split_once("index=").map(|(_, rest)| rest);
    let digits = version.and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next());
    let version: Option<u32> = digits.and_then(|digits| digits.parse().ok());
    version.map_or(0, |version| version.saturating_sub(FIRST_VERSION) as usize)
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
