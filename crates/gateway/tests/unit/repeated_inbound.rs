//! Requests that the other site forwards under an id that is under way here.

use harrierdock_multi_site::{Action, InboundId};
use harrierdock_site_messages::ForwardedRequest;
use harrierdock_types::{ClassId, TimeDelta};

use super::gateway_fixture::GatewayFixture;
use crate::runtime::context::InternalEvent;
use crate::runtime::gateway::Gateway;

const TIME_LEFT: TimeDelta = TimeDelta::from_millis(2_000);

/// The configuration's third class, whose requests must run once.
const ONCE_ONLY: ClassId = ClassId(2);

fn receive_inbound(gateway: &mut Gateway, inbound: u64, request_id: &str) {
    let request = ForwardedRequest {
        request_id: request_id.into(),
        ..ForwardedRequest::default()
    };
    let action = Action::ServeInbound {
        inbound: InboundId(inbound),
        class: ONCE_ONLY,
        key: None,
        remaining: TIME_LEFT,
        request,
    };
    let now = gateway.context.now();
    gateway.execute_multi_site_action(now, action);
}

fn received_requests(gateway: &Gateway) -> usize {
    let is_received = |event: &InternalEvent| matches!(event, InternalEvent::RequestReceived(_));
    let events = gateway.context.events.iter();
    events.filter(|queued| is_received(&queued.event)).count()
}

// Guards against an effect that happens twice: a copy of a request reaches a gateway by way of the other site.
#[test]
fn a_copy_that_the_other_site_forwards_does_not_run() {
    let mut fixture = GatewayFixture::start();
    let gateway = &mut fixture.gateway;
    receive_inbound(gateway, 1, "aa");
    receive_inbound(gateway, 2, "aa");
    assert_eq!(received_requests(gateway), 1);
    assert_eq!(
        gateway
            .context
            .counters
            .to_string()
            .matches("repeated=1")
            .count(),
        1
    );
    receive_inbound(gateway, 3, "ab");
    assert_eq!(received_requests(gateway), 2);
}
