//! Reuse of connections to endpoints.

use crate::support::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;

#[test]
fn a_late_duplicate_response_is_not_used_for_the_next_request() {
    let first: Mutex<Option<TcpStream>> = Mutex::new(None);
    let answer = |id: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\nof {id}",
            3 + id.len()
        )
    };
    let one = serve_requests(move |request| {
        let id = request.field("X-Txn").unwrap().to_string();
        // The first response is sent again once the next request has arrived, ahead of that request's response.
        let answered = first.lock().unwrap().take();
        match answered {
            Some(mut first) => drop(first.write_all(answer("aa").as_bytes())),
            None if id == "aa" => {
                *first.lock().unwrap() = Some(request.stream.try_clone().unwrap())
            }
            None => {}
        }
        request.stream.write_all(answer(&id).as_bytes()).is_ok()
    });
    let mut config = gateway_configuration(
        unresponsive_server(),
        &[endpoint_record("s-1", one, "ready", 41)],
    );
    // The wait before a connection is reused is a fraction of the connect timeout.
    config["settings"]["limits"]["connect_timeout"] = 30_000_000.into();
    config["settings"]["limits"]["conn_idle"] = 90_000_000.into();
    let gateway = start_gateway(&config);
    let mut client = gateway.client();
    for id in ["aa", "ab", "ac"] {
        assert_eq!(
            client.request(client_request("lodge", id, 9000)),
            format!("200 of {id}")
        );
    }
    let counts = gateway.shut_down_and_read_counts(&[
        "succeeded",
        "endpoint-connections-opened",
        "connections-reused",
    ]);
    assert_eq!(counts, "succeeded=3 endpoint-connections-opened=3");
}
