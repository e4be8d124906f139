//! The deadline of a request that the other site forwards counts from when it came, however long the gateway is held up before
//! it is accepted. With an idempotency key it must not run after its deduplication window.

use std::time::Duration;

use harrierdock_multi_site::{Action, InboundId};
use harrierdock_site_messages::ForwardedRequest;
use harrierdock_types::{AffinityKey, ClassId, TimeDelta};

use super::gateway_fixture::GatewayFixture;
use super::scripted_clock::{self, HoldUp};
use crate::runtime::context::InternalEvent;

const HOLD_UP: Duration = Duration::from_millis(300);
const TIME_LEFT: TimeDelta = TimeDelta::from_millis(2_000);

/// The second class of the configuration has idempotency keys.
const CLASS_WITH_KEYS: ClassId = ClassId(1);

#[test]
fn the_deadline_of_an_inbound_request_does_not_move_when_the_gateway_is_held_up() {
    let mut fixture = GatewayFixture::start();
    let gateway = &mut fixture.gateway;
    let came_at = gateway.context.now();
    scripted_clock::hold_up(HoldUp {
        before_reading: 0,
        duration: HOLD_UP,
    });
    let request = ForwardedRequest {
        minimum_build: 41,
        ..ForwardedRequest::default()
    };
    let action = Action::ServeInbound {
        inbound: InboundId(1),
        class: CLASS_WITH_KEYS,
        key: Some(AffinityKey(7)),
        remaining: TIME_LEFT,
        request,
    };
    gateway.execute_multi_site(came_at, action);
    let received = gateway
        .context
        .events
        .iter()
        .find_map(|queued| match &queued.event {
            InternalEvent::RequestReceived(request) => Some((queued.at, request.time_left)),
            _ => None,
        });
    let (received_at, time_left) = received.expect("an inbound request is received");
    assert_eq!(received_at + time_left - came_at, TIME_LEFT);
    // The policy takes events in the order of their times.
    let times: Vec<_> = gateway
        .context
        .events
        .iter()
        .map(|queued| queued.at)
        .collect();
    assert!(times.is_sorted(), "{times:?}");
}
