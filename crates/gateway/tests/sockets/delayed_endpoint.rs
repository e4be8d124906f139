//! An endpoint that delays its connections, and what the tests of preconditions do with it.

use std::io::Read;
use std::net::{TcpListener, TcpStream};

use crate::support::*;

/// An endpoint whose connections are established only when the test allows it.
pub struct DelayedEndpoint {
    pub listener: TcpListener,
    pub queue: Vec<TcpStream>,
}

impl DelayedEndpoint {
    pub fn new() -> DelayedEndpoint {
        let (listener, queue) = endpoint_with_full_queue();
        DelayedEndpoint { listener, queue }
    }

    pub fn record(&self, lifecycle: &str, build: u32) -> Value {
        endpoint_record("s-1", self.listener.local_addr().unwrap(), lifecycle, build)
    }

    /// Establishes `count` connections from the gateway. Returns how many bytes the gateway wrote on them before it closed them.
    pub fn establish(&mut self, count: usize) -> usize {
        self.queue
            .drain(..)
            .for_each(|_| drop(self.listener.accept().unwrap()));
        // Accepts all connections before reading, since the listener's queue has room for only a few.
        let connections = (0..count)
            .map(|_| self.listener.accept().unwrap().0)
            .collect::<Vec<TcpStream>>();
        connections
            .into_iter()
            .map(DelayedEndpoint::count_bytes_until_close)
            .sum()
    }

    /// Returns how many bytes the gateway wrote before it closed the connection. Panics after `TEST_TIMEOUT` if the gateway
    /// keeps the connection open, as it does after writing a request.
    pub fn count_bytes_until_close(mut connection: TcpStream) -> usize {
        connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut written = Vec::new();
        match connection.read_to_end(&mut written) {
            Ok(_) => written.len(),
            Err(e) => panic!("{e}, after {:?}", String::from_utf8_lossy(&written)),
        }
    }
}

/// Sends a request, and returns once the gateway has started to connect to the endpoint.
pub fn send_delayed_request(gateway: &Gateway, class: &str, id: &str) -> Client {
    let mut client = gateway.client();
    client.send(client_request(class, id, 9000));
    run_iterations(gateway);
    client
}

/// Makes the gateway handle everything that was sent before: each response to a readiness check takes an iteration of its event
/// loop.
pub fn run_iterations(gateway: &Gateway) {
    (0..3).for_each(|_| drop(gateway.client().request("GET /ready HTTP/1.1\r\n\r\n")));
}

/// Sets a connect timeout that is longer than any other time in these tests.
pub fn set_long_connect_timeout(config: &mut Value) {
    config["settings"]["limits"]["connect_timeout"] = 9_000_000.into();
    config["settings"]["limits"]["conn_idle"] = 20_000_000.into();
}

/// Reads the first bytes of a request without waiting for the connection to close. Empty if the gateway closed the connection.
pub fn read_first_bytes(mut connection: TcpStream) -> String {
    connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut bytes = [0; 1024];
    let count = connection.read(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes[..count]).to_string()
}
