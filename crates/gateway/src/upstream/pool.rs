//! The connection pool: the instance that runs at each endpoint, and the idle connections to that instance.

use std::net::SocketAddr;

use harrierdock_attempt_guard::IdleState;
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::{BuildId, EndpointId, Timestamp};

use super::{Exchange, Phase, PooledConnection, Upstream};
use crate::metrics::Counter;
use crate::runtime::context::Context;
use crate::runtime::timer::Timer;

/// One run of an endpoint's server process. A different address, start time or build is a different instance, and connections
/// are never shared between instances.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndpointInstance {
    /// The address that the instance listens on.
    pub(crate) address: SocketAddr,
    /// The instance's start time from discovery, in Unix milliseconds. Zero if unknown.
    pub(crate) started_at_ms: i64,
    /// The build that the instance runs.
    pub(crate) build: BuildId,
}

/// The instance that runs at an endpoint, and its idle connections.
pub(super) struct EndpointConnections {
    /// The instance that runs at the endpoint.
    pub(super) instance: EndpointInstance,
    /// The idle connections, the most recently used last.
    pub(super) idle: Vec<ConnectionId>,
}

impl Upstream {
    /// Sets the instance that runs at an endpoint, or `None` if none runs. Closes idle connections to the previous instance.
    pub(crate) fn set_instance(
        &mut self,
        context: &mut Context,
        endpoint: EndpointId,
        instance: Option<EndpointInstance>,
    ) {
        if self.endpoints.get(&endpoint).map(|e| e.instance) == instance {
            return;
        }
        let replaced = match instance {
            Some(instance) => {
                let connections = EndpointConnections {
                    instance,
                    idle: Vec::new(),
                };
                self.endpoints.insert(endpoint, connections)
            }
            None => self.endpoints.remove(&endpoint),
        };
        for id in replaced.into_iter().flat_map(|endpoint| endpoint.idle) {
            self.close(context, id);
        }
    }

    /// Whether the pool has a reusable connection to the endpoint.
    pub(crate) fn has_idle_connection(&self, now: Timestamp, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|endpoint| {
            endpoint
                .idle
                .iter()
                .any(|id| !self.is_cooling_down(now, *id))
        })
    }

    /// Whether the connection became idle so recently that a duplicate of the last response may still arrive on it.
    fn is_cooling_down(&self, now: Timestamp, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|pooled| {
            self.reuse_policy.state(pooled.last_used_at, now) == IdleState::CoolingDown
        })
    }

    /// Takes the most recently used reusable connection out of the pool.
    fn take_idle(&mut self, now: Timestamp, endpoint: EndpointId) -> Option<ConnectionId> {
        let index = self
            .endpoints
            .get(&endpoint)?
            .idle
            .iter()
            .rposition(|id| !self.is_cooling_down(now, *id))?;
        Some(self.endpoints.get_mut(&endpoint)?.idle.remove(index))
    }

    /// Assigns an exchange to an idle connection. Closes unusable connections that it finds. Returns `None` if no idle
    /// connection is usable.
    pub(super) fn reuse_connection(
        &mut self,
        context: &mut Context,
        endpoint: EndpointId,
        exchange: Exchange,
    ) -> Option<ConnectionId> {
        while let Some(id) = self.take_idle(context.now(), endpoint) {
            let Some(pooled) = self.connections.get_mut(&id) else {
                continue;
            };
            // The endpoint may have closed the connection, or may close it soon.
            let is_expired =
                self.reuse_policy.state(pooled.last_used_at, context.now()) == IdleState::Expired;
            if is_expired || !pooled.connection.is_open_without_input() {
                context.counters.add(Counter::IdleConnectionsClosed);
                self.close(context, id);
                continue;
            }
            context.counters.add(Counter::ConnectionsReused);
            pooled.phase = Phase::WritingRequest;
            pooled.last_used_at = context.now();
            pooled.exchange = Some(exchange);
            context
                .timers
                .set(exchange.timer_deadline, Timer::Attempt(id));
            return Some(id);
        }
        None
    }

    /// Closes connections that have been idle for so long that their endpoints may close them soon.
    pub(crate) fn close_expired(&mut self, context: &mut Context) {
        let now = context.now();
        let is_expired = |pooled: &PooledConnection| {
            pooled.phase == Phase::Idle
                && self.reuse_policy.state(pooled.last_used_at, now) == IdleState::Expired
        };
        let expired: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, pooled)| is_expired(pooled))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.close_idle(context, id);
        }
    }

    /// Closes an idle connection and removes it from the pool.
    pub(super) fn close_idle(&mut self, context: &mut Context, id: ConnectionId) {
        let endpoint = self
            .connections
            .get(&id)
            .and_then(|pooled| self.endpoints.get_mut(&pooled.endpoint));
        if let Some(endpoint) = endpoint {
            endpoint.idle.retain(|idle| *idle != id);
        }
        self.close(context, id);
    }

    /// Closes the connection that has been idle the longest. Returns false if no connection is idle.
    pub(crate) fn close_longest_idle(&mut self, context: &mut Context) -> bool {
        let longest_idle = self
            .connections
            .iter()
            .filter(|(_, pooled)| pooled.phase == Phase::Idle)
            .min_by_key(|(_, pooled)| pooled.last_used_at)
            .map(|(id, _)| *id);
        match longest_idle {
            Some(id) => {
                self.close_idle(context, id);
                true
            }
            None => false,
        }
    }
}
