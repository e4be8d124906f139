//! Requests, responses and hold-ups in a drawn order: no invariant is violated, and no client is left without an answer.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use harrierdock_fault_injection::stand_ins::client_request;
use nanorand::{Rng, WyRand};

use super::gateway_fixture::{GatewayFixture, Received};
use super::scripted_clock::{self, HoldUp};

const SEEDS: u64 = 60;
const STEPS: usize = 400;
const CLIENTS: usize = 4;
const CLASSES: [&str; 3] = ["draft", "payment", "lodge"];
const MAX_TIME_LEFT_MS: u64 = 1_500;
/// Several ticks, and longer than a process may be held up unnoticed.
const MAX_HOLD_UP_MS: u64 = 400;
/// More readings of the clock than a turn takes for one request.
const MAX_READINGS: usize = 40;
/// Longer than any request has left.
const LAST_TURNS: usize = 20;
const LAST_TURN_INTERVAL: Duration = Duration::from_millis(200);

const SUCCESS: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REJECTION: &str = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort";

/// A client that sends one request at a time, and connects again when its connection has ended.
struct DrawnClient {
    connection: Option<Received>,
    is_waiting: bool,
}

impl DrawnClient {
    fn send(&mut self, address: SocketAddr, request: &str) {
        let connection = self
            .connection
            .get_or_insert_with(|| Received::new(TcpStream::connect(address).unwrap()));
        self.is_waiting = connection.stream.write_all(request.as_bytes()).is_ok();
    }

    fn receive(&mut self) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        if connection.has_ended() {
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

struct DrawnRun {
    rng: WyRand,
    fixture: GatewayFixture,
    upstreams: Vec<Received>,
    clients: Vec<DrawnClient>,
    request_count: usize,
    attempt_count: usize,
}

impl DrawnRun {
    fn new(seed: u64) -> DrawnRun {
        let client = || DrawnClient {
            connection: None,
            is_waiting: false,
        };
        DrawnRun {
            rng: WyRand::new_seed(seed),
            fixture: GatewayFixture::start(),
            upstreams: Vec::new(),
            clients: (0..CLIENTS).map(|_| client()).collect(),
            request_count: 0,
            attempt_count: 0,
        }
    }

    fn step(&mut self) {
        match self.rng.generate_range(0..10) {
            0..=2 => self.send_or_leave(),
            3..=4 => self.respond(),
            5 => {
                let before_reading = self.rng.generate_range(0..MAX_READINGS);
                let duration = self.draw_hold_up();
                scripted_clock::hold_up(HoldUp {
                    before_reading,
                    duration,
                });
            }
            6 => scripted_clock::advance(self.draw_hold_up()),
            7 => scripted_clock::advance(self.draw_hold_up() / 20),
            8 => self.fixture.advance_to_next_timer(),
            _ => {}
        }
        // What happens between two turns is found by one turn.
        if self.rng.generate_range(0..4) > 0 {
            self.turn();
        }
    }

    fn draw_hold_up(&mut self) -> Duration {
        Duration::from_millis(self.rng.generate_range(0..MAX_HOLD_UP_MS))
    }

    fn turn(&mut self) {
        self.fixture.turn_without_waiting();
        for client in &mut self.clients {
            client.receive();
        }
    }

    /// Has a client send a request; one that waits for an answer leaves at times.
    fn send_or_leave(&mut self) {
        let address = self.fixture.address();
        let class = CLASSES[self.rng.generate_range(0..CLASSES.len())];
        let time_left_ms = self.rng.generate_range(1..=MAX_TIME_LEFT_MS) as u32;
        let leaves = self.rng.generate_range(0..10) == 0;
        let client = &mut self.clients[self.rng.generate_range(0..CLIENTS)];
        if client.is_waiting {
            if leaves {
                client.close();
            }
            return;
        }
        self.request_count += 1;
        let id = format!("a{}", self.request_count);
        client.send(address, &client_request(class, &id, time_left_ms));
    }

    /// Has the endpoint read what has come, and answer most of it.
    fn respond(&mut self) {
        self.upstreams.extend(self.fixture.accept_upstream());
        self.upstreams.retain(|upstream| !upstream.has_ended());
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
fn no_hold_up_violates_an_invariant_or_leaves_a_client_without_an_answer() {
    let mut attempt_count = 0;
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut run = DrawnRun::new(seed);
        (0..STEPS).for_each(|_| run.step());
        for _ in 0..LAST_TURNS {
            scripted_clock::advance(LAST_TURN_INTERVAL);
            run.turn();
        }
        let is_waiting = run.clients.iter().any(|client| client.is_waiting);
        assert!(!is_waiting, "a client has no answer");
        let counters = run.fixture.gateway.context.counters.to_string();
        assert!(!counters.contains("broken="), "{counters}");
        attempt_count += run.attempt_count;
    }
    // Fewer would show that the runs pass attempts by.
    assert!(
        attempt_count > 2 * SEEDS as usize,
        "{attempt_count} attempts"
    );
}
