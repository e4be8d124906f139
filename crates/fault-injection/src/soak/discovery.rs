//! Discovery stand-in of a soak: its endpoint list changes, and it fails for a while if the plan includes a fault.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::plan::{DiscoveryFault, DiscoveryWindow};
use crate::stand_ins::{endpoint_list, endpoint_record, serve_requests, ReceivedRequest};

/// How often a stream checks for changes. It sends an empty keep-alive line every [`POLLS_PER_EMPTY_LINE`] checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLLS_PER_EMPTY_LINE: u32 = 50;
/// The version of the first list. Each change increments it.
const FIRST_VERSION: u32 = 41;
const BUILD: u32 = 41;
const DRAINING: &str = "draining";
const REMOVED: &str = "gone";

/// A change of the endpoint list.
#[derive(Clone)]
struct Change {
    record: Value,
    /// When discovery publishes the change.
    published_at: Instant,
}

/// State that the threads of the service share.
struct Service {
    addresses: Vec<SocketAddr>,
    endpoints: Vec<Value>,
    changes: Mutex<Vec<Change>>,
    /// When discovery fails, and the moment from which the window counts.
    window: Mutex<Option<(DiscoveryWindow, Instant)>>,
}

/// A discovery service that all gateways share.
pub(super) struct DiscoveryStandIn {
    pub(super) address: SocketAddr,
    service: Arc<Service>,
}

impl DiscoveryStandIn {
    /// Starts discovery with these endpoints listed as ready.
    pub(super) fn start(addresses: &[SocketAddr]) -> DiscoveryStandIn {
        let service = Arc::new(Service {
            addresses: addresses.to_vec(),
            endpoints: (0..addresses.len())
                .map(|index| build_record(addresses, index, "ready"))
                .collect(),
            changes: Mutex::default(),
            window: Mutex::default(),
        });
        let served = service.clone();
        let address = serve_requests(move |request| served.serve(request));
        DiscoveryStandIn { address, service }
    }

    /// Makes discovery fail in this window, counted from `started_at`.
    pub(super) fn fail_in(&self, window: DiscoveryWindow, started_at: Instant) {
        *self
            .service
            .window
            .lock()
            .expect("no thread panics while it holds the lock") = Some((window, started_at));
    }

    /// Marks an endpoint as draining. Returns the moment by which every open stream has sent the change.
    pub(super) fn drain(&self, endpoint: usize) -> Instant {
        self.service.change(endpoint, DRAINING) + POLL_INTERVAL
    }

    /// Removes an endpoint from the list.
    pub(super) fn remove(&self, endpoint: usize) {
        self.service.change(endpoint, REMOVED);
    }

    /// The cached endpoint list with which a gateway starts now.
    pub(super) fn current_list(&self) -> Value {
        self.service.list()
    }
}

fn build_record(addresses: &[SocketAddr], index: usize, phase: &str) -> Value {
    endpoint_record(&format!("s-{index}"), addresses[index], phase, BUILD)
}

impl Service {
    /// Changes an endpoint's phase. Returns when the change is published.
    fn change(&self, endpoint: usize, phase: &str) -> Instant {
        let published_at = self.published_at();
        let record = build_record(&self.addresses, endpoint, phase);
        let mut changes = self
            .changes
            .lock()
            .expect("no thread panics while it holds the lock");
        changes.push(Change {
            record,
            published_at,
        });
        published_at
    }

    fn window(&self) -> Option<(DiscoveryWindow, Instant)> {
        *self
            .window
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// When a change that is made now is published.
    fn published_at(&self) -> Instant {
        match self.window() {
            Some((window, started_at)) => started_at + window.published_at(started_at.elapsed()),
            None => Instant::now(),
        }
    }

    fn is_unavailable(&self) -> bool {
        self.window().is_some_and(|(window, started_at)| {
            let elapsed = started_at.elapsed();
            window.fault == DiscoveryFault::Unavailable
                && (window.from..window.until).contains(&elapsed)
        })
    }

    /// The changes published so far, in order.
    fn published_changes(&self) -> Vec<Value> {
        let now = Instant::now();
        let changes = self
            .changes
            .lock()
            .expect("no thread panics while it holds the lock");
        let published = changes
            .iter()
            .take_while(|change| change.published_at <= now);
        published.map(|change| change.record.clone()).collect()
    }

    fn list(&self) -> Value {
        let changes = self.published_changes();
        let latest = |endpoint: &Value| {
            let change = changes
                .iter()
                .rfind(|change| change["id"] == endpoint["id"]);
            change.unwrap_or(endpoint).clone()
        };
        let listed = self.endpoints.iter().map(latest);
        let listed: Vec<Value> = listed.filter(|record| record["phase"] != REMOVED).collect();
        endpoint_list(FIRST_VERSION + changes.len() as u32, true, &listed)
    }

    fn serve(&self, request: &mut ReceivedRequest) -> bool {
        while self.is_unavailable() {
            thread::sleep(POLL_INTERVAL);
        }
        if request.head.contains("stream=1") {
            self.serve_stream(request)
        } else {
            request.respond("200 OK", &self.list().to_string())
        }
    }

    fn serve_stream(&self, request: &mut ReceivedRequest) -> bool {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut output = head.to_string();
        let mut published_count = count_known_changes(&request.head);
        for poll in 0_u32.. {
            let changes = self.published_changes();
            if published_count < changes.len() && !self.is_unavailable() {
                let version = FIRST_VERSION + changes.len() as u32;
                let line = endpoint_list(version, false, &changes[published_count..]);
                output += &encode_chunk(&line.to_string());
                published_count = changes.len();
            } else if poll % POLLS_PER_EMPTY_LINE == 0 && !self.is_unavailable() {
                output += &encode_chunk("");
            }
            if request.stream.write_all(output.as_bytes()).is_err() {
                return false;
            }
            output.clear();
            thread::sleep(POLL_INTERVAL);
        }
        false
    }
}

/// How many changes the client of a stream already has, by the version in its request.
fn count_known_changes(head: &str) -> usize {
    let version = head.split_once("index=").map(|(_, rest)| rest);
    let digits = version.and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next());
    let version: Option<u32> = digits.and_then(|digits| digits.parse().ok());
    version.map_or(0, |version| version.saturating_sub(FIRST_VERSION) as usize)
}

fn encode_chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
