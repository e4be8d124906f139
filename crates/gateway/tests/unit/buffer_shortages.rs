//! Responses that find no buffer: all buffers for them are held while they arrive.

use harrierdock_event_loop::{Buffer, ResourceClass, SHORT_BUFFER_BYTES};
use harrierdock_http::BUFFER_BYTES;

use super::gateway_fixture::{ConnectionUse, GatewayFixture};

const LONG_BODY_BYTES: usize = 60_000;

/// Acquires all buffers that are longer than a short one. The first is of the greatest length.
fn acquire_long_buffers(fixture: &mut GatewayFixture) -> Vec<Buffer> {
    let buffers = &mut fixture.gateway.context.buffers;
    let mut held = Vec::new();
    for bytes in [BUFFER_BYTES, SHORT_BUFFER_BYTES + 1] {
        held.extend(std::iter::from_fn(|| {
            buffers.acquire(bytes, ResourceClass::Upstream)
        }));
    }
    held
}

/// Starts an attempt, acquires all long buffers, and sends the endpoint's response.
fn respond_without_buffers(body: &str) -> (GatewayFixture, Vec<Buffer>) {
    let mut fixture = GatewayFixture::with_next_attempt_on(ConnectionUse::Reused);
    fixture.send_request("a2");
    fixture.wait_for_attempt();
    let held = acquire_long_buffers(&mut fixture);
    fixture.respond_with_body("200 OK", body);
    for _ in 0..5 {
        fixture.run_iteration_without_waiting();
    }
    (fixture, held)
}

fn release_all(fixture: &mut GatewayFixture, mut held: Vec<Buffer>) {
    for buffer in &mut held {
        fixture.gateway.context.buffers.release(buffer);
    }
}

// A response that found no buffer was taken for one that broke off.
#[test]
fn a_response_that_finds_no_buffer_is_read_once_one_is_released() {
    let body = "r".repeat(LONG_BODY_BYTES);
    let (mut fixture, mut held) = respond_without_buffers(&body);
    // The answer is written from the buffer of the response, and needs no second one.
    fixture.gateway.context.buffers.release(&mut held[0]);
    assert_eq!(fixture.wait_for_answer(), "200");
    assert_eq!(fixture.wait_for_body(LONG_BODY_BYTES), body);
    assert_eq!(fixture.gateway.context.buffer_shortages.wait_count(), 1);
    release_all(&mut fixture, held);
    assert_eq!(fixture.gateway.context.buffers.violations, 0);
}

#[test]
fn a_response_that_fits_into_a_short_buffer_needs_no_longer_one() {
    let body = "r".repeat(SHORT_BUFFER_BYTES / 2);
    let (mut fixture, held) = respond_without_buffers(&body);
    assert_eq!(fixture.wait_for_answer(), "200");
    assert_eq!(fixture.gateway.context.buffer_shortages.count(), 0);
    release_all(&mut fixture, held);
}

#[test]
fn a_response_that_never_finds_a_buffer_fails_by_the_deadline_and_its_wait_is_counted() {
    let (mut fixture, held) = respond_without_buffers(&"r".repeat(LONG_BODY_BYTES));
    fixture.advance_to_overdue();
    let status = fixture.wait_for_answer();
    assert!(matches!(status.as_str(), "502" | "503"), "{status}");
    let shortages = &fixture.gateway.context.buffer_shortages;
    assert_eq!(shortages.wait_count(), 1);
    let counters = fixture.gateway.context.counters.to_string();
    assert!(!counters.contains("broken="), "{counters}");
    release_all(&mut fixture, held);
}
