//! The first milliseconds of a gateway: clients that connect before it is ready, and signals before the first loop iteration.

use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use crate::support::*;

/// Number of starts; the moment at which a client's connection succeeds varies between them.
const STARTS: usize = 20;

/// Retries until the gateway listens.
fn connect_with_retries(address: SocketAddr) -> Client {
    let started_at = Instant::now();
    loop {
        if let Ok(stream) = TcpStream::connect(address) {
            return Client::new(stream);
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "no listener on {address}"
        );
    }
}

#[test]
fn a_client_that_connects_as_soon_as_the_gateway_listens_is_answered() {
    for number in 0..STARTS {
        let address = unused_address();
        let mut config = gateway_configuration(unresponsive_server(), &[]);
        config["listen"] = json!(address);
        let connecting = std::thread::spawn(move || {
            let mut client = connect_with_retries(address);
            let before_ready = client.request("GET /ready HTTP/1.1\r\n\r\n");
            let request = client_request("lodge", &format!("a{number}"), 9_000);
            (before_ready, client.request(request))
        });
        let gateway = start_gateway(&config);
        let (before_ready, answer) = connecting.join().unwrap();
        assert_eq!(before_ready, "503");
        assert_eq!(answer, "503 Retry-After: 1.5");
        drop(gateway);
    }
}

#[test]
fn a_client_is_answered_when_a_signal_precedes_the_first_loop_iteration() {
    for signal in [Signal::TERM, Signal::HUP] {
        for number in 0..STARTS {
            let address = unused_address();
            let mut config = gateway_configuration(unresponsive_server(), &[]);
            config["listen"] = json!(address);
            let mut child = gateway_command(&config, &["serve"]).spawn().unwrap();
            let mut client = connect_with_retries(address);
            send_signal(&child, signal);
            let answer = client.request(client_request("lodge", &format!("a{number}"), 9_000));
            let is_answered = answer.starts_with("503 Retry-After: 1.5");
            assert!(is_answered, "{signal:?} at start {number}: {answer}");
            // The process keeps running after either signal: a shutdown takes at least the grace period.
            assert_eq!(child.try_wait().unwrap(), None);
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }
}
