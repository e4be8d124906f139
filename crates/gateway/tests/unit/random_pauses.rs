//! Requests, responses and process pauses in random order must neither violate an invariant nor leave a client unanswered.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use harrierdock_fault_injection::stand_ins::client_request;
use nanorand::{Rng, WyRand};

use super::gateway_fixture::{BufferedStream, GatewayFixture};
use super::scripted_clock::{self, Pause};

const SEEDS: u64 = 60;
const STEPS_PER_SEED: usize = 400;
const CLIENT_COUNT: usize = 4;
const CLASSES: [&str; 3] = ["draft", "payment", "lodge"];
const MAX_TIME_LEFT_MS: u64 = 1_500;
/// Several ticks, and longer than a pause that goes unnoticed.
const MAX_PAUSE_MS: u64 = 400;
/// A pause begins before one of this many clock readings. The gateway reads the clock less often in one iteration of the event
/// loop that handles one request.
const PAUSE_READING_RANGE: usize = 40;
/// Event loop iterations at the end of a run. Together they last longer than any request's remaining time, so that each client
/// must have been answered.
const FINAL_ITERATIONS: usize = 20;
const FINAL_ITERATION_INTERVAL: Duration = Duration::from_millis(200);

const SUCCESS: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REJECTION: &str = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort";

/// A client that sends one request at a time and reconnects after its connection closes.
struct RandomClient {
    connection: Option<BufferedStream>,
    is_waiting: bool,
}

impl RandomClient {
    fn send(&mut self, address: SocketAddr, request: &str) {
        let connection = self
            .connection
            .get_or_insert_with(|| BufferedStream::new(TcpStream::connect(address).unwrap()));
        self.is_waiting = connection.stream.write_all(request.as_bytes()).is_ok();
    }

    fn receive(&mut self) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        if connection.is_closed() {
            self.close();
        } else if connection.take_message().is_some() {
            self.is_waiting = false;
        }
    }

    fn close(&mut self) {
        self.connection = None;
        self.is_waiting = false;
    }
}

struct RandomRun {
    rng: WyRand,
    fixture: GatewayFixture,
    upstreams: Vec<BufferedStream>,
    clients: Vec<RandomClient>,
    request_count: usize,
    attempt_count: usize,
}

impl RandomRun {
    fn new(seed: u64) -> RandomRun {
        let client = || RandomClient {
            connection: None,
            is_waiting: false,
        };
        RandomRun {
            rng: WyRand::new_seed(seed),
            fixture: GatewayFixture::start(),
            upstreams: Vec::new(),
            clients: (0..CLIENT_COUNT).map(|_| client()).collect(),
            request_count: 0,
            attempt_count: 0,
        }
    }

    fn step(&mut self) {
        match self.rng.generate_range(0..10) {
            0..=2 => self.send_or_disconnect(),
            3..=4 => self.respond(),
            5 => {
                let before_reading = self.rng.generate_range(0..PAUSE_READING_RANGE);
                let duration = self.random_pause();
                scripted_clock::schedule_pause(Pause {
                    before_reading,
                    duration,
                });
            }
            6 => scripted_clock::advance(self.random_pause()),
            7 => scripted_clock::advance(self.random_pause() / 20),
            8 => self.fixture.advance_to_next_timer(),
            _ => {}
        }
        // Skipped at times, so that one iteration handles the events of several steps.
        if self.rng.generate_range(0..4) > 0 {
            self.run_iteration();
        }
    }

    fn random_pause(&mut self) -> Duration {
        Duration::from_millis(self.rng.generate_range(0..MAX_PAUSE_MS))
    }

    fn run_iteration(&mut self) {
        self.fixture.run_iteration_without_waiting();
        for client in &mut self.clients {
            client.receive();
        }
    }

    /// Picks a client. If idle, it sends a request; if waiting for an answer, it disconnects in one of ten cases.
    fn send_or_disconnect(&mut self) {
        let address = self.fixture.address();
        let class = CLASSES[self.rng.generate_range(0..CLASSES.len())];
        let time_left_ms = self.rng.generate_range(1..=MAX_TIME_LEFT_MS) as u32;
        let disconnects = self.rng.generate_range(0..10) == 0;
        let client = &mut self.clients[self.rng.generate_range(0..CLIENT_COUNT)];
        if client.is_waiting {
            if disconnects {
                client.close();
            }
            return;
        }
        self.request_count += 1;
        let id = format!("a{}", self.request_count);
        client.send(address, &client_request(class, &id, time_left_ms));
    }

    /// Makes the endpoint read the requests that have arrived and respond to most of them.
    fn respond(&mut self) {
        self.upstreams.extend(self.fixture.accept_upstream());
        self.upstreams.retain(|upstream| !upstream.is_closed());
        for upstream in &mut self.upstreams {
            if upstream.take_message().is_none() {
                continue;
            }
            self.attempt_count += 1;
            let response = match self.rng.generate_range(0..40) {
                0..=24 => SUCCESS,
                25..=31 => REJECTION,
                32 => ERROR,
                33 => TRUNCATED,
                34 => {
                    let _ = upstream.stream.shutdown(Shutdown::Both);
                    continue;
                }
                _ => continue,
            };
            // The gateway may have closed the connection.
            let _ = upstream.stream.write_all(response.as_bytes());
        }
    }
}

#[test]
fn no_pause_violates_an_invariant_or_leaves_a_client_unanswered() {
    let mut attempt_count = 0;
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut run = RandomRun::new(seed);
        (0..STEPS_PER_SEED).for_each(|_| run.step());
        for _ in 0..FINAL_ITERATIONS {
            scripted_clock::advance(FINAL_ITERATION_INTERVAL);
            run.run_iteration();
        }
        let is_waiting = run.clients.iter().any(|client| client.is_waiting);
        assert!(!is_waiting, "a client is still waiting for an answer");
        let counters = run.fixture.gateway.context.counters.to_string();
        assert!(!counters.contains("broken="), "{counters}");
        attempt_count += run.attempt_count;
    }
    // With fewer attempts, the runs would test too little.
    assert!(
        attempt_count > 2 * SEEDS as usize,
        "{attempt_count} attempts"
    );
}
