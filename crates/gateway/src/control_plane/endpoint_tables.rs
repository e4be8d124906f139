//! Applies endpoint lists to the tables that they update.

use std::collections::BTreeSet;

use harrierdock_config::Names;
use harrierdock_types::{EndpointId, Event, UpdateKind};

use crate::control_plane::discovery_messages::EndpointListMessage;
use crate::metrics::Counter;
use crate::runtime::context::{Context, InternalEvent};
use crate::upstream::Upstream;

/// The tables that an endpoint list updates.
pub(super) struct EndpointTables<'a> {
    /// Ids of the endpoints' names.
    pub(super) names: &'a mut Names,
    /// Instances of the endpoints and connections to them.
    pub(super) upstream: &'a mut Upstream,
}

impl EndpointTables<'_> {
    /// Updates the instance of each endpoint, and queues the list as a policy event.
    pub(super) fn apply(
        &mut self,
        context: &mut Context,
        list: &EndpointListMessage,
        kind: UpdateKind,
    ) {
        context.counters.add(Counter::EndpointLists);
        let now = context.now();
        let mut absent: BTreeSet<EndpointId> = match kind {
            UpdateKind::Delta => BTreeSet::new(),
            _ => self.names.endpoints.ids().collect(),
        };
        let mut endpoints = Vec::new();
        for message in &list.endpoints {
            let record = message.record(self.names, &context.clock, now);
            self.upstream
                .set_instance(context, record.endpoint, message.instance());
            absent.remove(&record.endpoint);
            endpoints.push(record);
        }
        for endpoint in absent {
            self.upstream.set_instance(context, endpoint, None);
        }
        tracing::debug!(
            "discovery: list {} with {} endpoints",
            list.version,
            endpoints.len()
        );
        let event = Event::EndpointsUpdated { kind, endpoints };
        context.emit_at(now, InternalEvent::Policy(event));
    }
}
