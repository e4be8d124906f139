//! An inbound request's deadline counts from its receipt, however long the process pauses before accepting it. Otherwise a
//! request with an idempotency key could run after its deduplication window.

use std::time::Duration;

use harrierdock_multi_site::{Action, InboundId};
use harrierdock_site_messages::ForwardedRequest;
use harrierdock_types::{AffinityKey, ClassId, TimeDelta};

use super::gateway_fixture::GatewayFixture;
use super::scripted_clock::{self, Pause};
use crate::runtime::context::InternalEvent;

const PAUSE: Duration = Duration::from_millis(300);
const TIME_LEFT: TimeDelta = TimeDelta::from_millis(2_000);

/// The configuration's second class, which has idempotency keys.
const CLASS_WITH_KEYS: ClassId = ClassId(1);

#[test]
fn a_pause_does_not_move_the_deadline_of_an_inbound_request() {
    let mut fixture = GatewayFixture::start();
    let gateway = &mut fixture.gateway;
    let handled_at = gateway.context.now();
    scripted_clock::schedule_pause(Pause {
        before_reading: 0,
        duration: PAUSE,
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
    gateway.execute_multi_site_action(handled_at, action);
    let received = gateway
        .context
        .events
        .iter()
        .find_map(|queued| match &queued.event {
            InternalEvent::RequestReceived(request) => Some((queued.at, request.time_left)),
            _ => None,
        });
    let (received_at, time_left) = received.expect("no inbound request was received");
    assert_eq!(received_at + time_left - handled_at, TIME_LEFT);
    // The policy requires events in time order.
    let times: Vec<_> = gateway
        .context
        .events
        .iter()
        .map(|queued| queued.at)
        .collect();
    assert!(times.is_sorted(), "{times:?}");
}
