//! Streams that the event loop cannot register, and the descriptor budget.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;

use calloop::{EventLoop, Interest};
use harrierdock_event_loop::{
    respond_and_close, BufferPool, Connection, DescriptorBudget, IoContext, ResourceClass,
};

const RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n";

/// Returns the client's end and the accepted end of one connection.
fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let timeout = Some(Duration::from_secs(20));
    client.set_read_timeout(timeout).unwrap();
    (client, listener.accept().unwrap().0)
}

#[test]
fn a_stream_that_cannot_be_registered_is_returned_and_holds_no_descriptor() {
    let event_loop: EventLoop<()> = EventLoop::try_new().unwrap();
    let budget = DescriptorBudget::new(100, 0);
    let mut context = IoContext::new(event_loop.handle(), BufferPool::new(1, 100), budget);
    // epoll rejects regular files.
    let file = File::open(env!("CARGO_MANIFEST_PATH")).unwrap();
    let stream = TcpStream::from(OwnedFd::from(file));
    let registered = Connection::register(
        &mut context,
        stream,
        Interest::READ,
        ResourceClass::Downstream,
        |(), _| {},
    );
    let error = registered.err().expect("the registration is refused");
    assert!(
        error.to_string().contains("Operation not permitted"),
        "{error}"
    );
    assert_eq!(context.descriptors.in_use(), 0);
    assert_eq!(std::rc::Rc::strong_count(&error.stream), 1);
}

#[test]
fn a_client_on_an_unregistered_stream_reads_the_whole_response_and_its_end() {
    for request in [&b""[..], b"GET / HTTP/1.1\r\n\r\n", &[b'x'; 20_000]] {
        let (mut client, accepted) = connected_pair();
        client.write_all(request).unwrap();
        respond_and_close(&accepted, RESPONSE);
        drop(accepted);
        let mut received = Vec::new();
        client.read_to_end(&mut received).unwrap();
        assert_eq!(received, RESPONSE);
    }
}

#[test]
fn the_descriptor_peak_is_returned_once_and_restarts_at_the_current_use() {
    let mut budget = DescriptorBudget::new(10, 4);
    (0..5).for_each(|_| budget.acquire());
    (0..3).for_each(|_| budget.release());
    assert_eq!((budget.in_use(), budget.available()), (2, 4));
    assert_eq!((budget.take_peak(), budget.take_peak()), (5, 2));
    budget.acquire();
    assert_eq!(budget.take_peak(), 3);
}
