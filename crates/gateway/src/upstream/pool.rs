//! The connection pool: which instance runs at each endpoint, and the idle connections to it.

use std::net::SocketAddr;

use harrierdock_attempt_guard::IdleState;
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::{BuildId, EndpointId, Timestamp};

use super::{Exchange, Phase, PooledConnection, Upstream};
use crate::metrics::Counter;
use crate::runtime::context::Context;
use crate::runtime::timer::Timer;

/// What runs at an endpoint. Another start, build or address is another instance, which has connections of its own.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct EndpointInstance {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// When it started, in Unix milliseconds, as discovery says.
    pub(crate) started_at_ms: i64,
    /// Its build.
    pub(crate) build: BuildId,
}

/// An endpoint that runs.
pub(super) struct EndpointConnections {
    /// What runs there.
    pub(super) instance: EndpointInstance,
    /// The idle connections, the last used at the end.
    pub(super) idle: Vec<ConnectionId>,
}

impl Upstream {
    /// Notes what runs at an endpoint, if anything does. Idle connections to what ran there before are closed.
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

    /// Whether an idle connection to the endpoint may be used.
    pub(crate) fn has_idle_connection(&self, now: Timestamp, endpoint: EndpointId) -> bool {
        self.endpoints
            .get(&endpoint)
            .is_some_and(|endpoint| endpoint.idle.iter().any(|id| !self.is_resting(now, *id)))
    }

    /// Whether the connection is idle for so short a time that the endpoint may not expect a request on it.
    fn is_resting(&self, now: Timestamp, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|pooled| self.reuse_policy.state(pooled.since, now) == IdleState::Resting)
    }

    /// Takes the connection that was used last out of the pool, of those that may be used.
    fn take_idle(&mut self, now: Timestamp, endpoint: EndpointId) -> Option<ConnectionId> {
        let index = self
            .endpoints
            .get(&endpoint)?
            .idle
            .iter()
            .rposition(|id| !self.is_resting(now, *id))?;
        Some(self.endpoints.get_mut(&endpoint)?.idle.remove(index))
    }

    /// Puts an exchange on an idle connection. `None` if there is none that is still open.
    pub(super) fn reuse(
        &mut self,
        context: &mut Context,
        endpoint: EndpointId,
        exchange: Exchange,
    ) -> Option<ConnectionId> {
        while let Some(id) = self.take_idle(context.now(), endpoint) {
            let Some(pooled) = self.connections.get_mut(&id) else {
                continue;
            };
            // The endpoint may have closed the connection, or be about to.
            let is_expired =
                self.reuse_policy.state(pooled.since, context.now()) == IdleState::Expired;
            if is_expired || !pooled.connection.is_open_and_quiet() {
                context.counters.add(Counter::IdleConnectionsClosed);
                self.close(context, id);
                continue;
            }
            context.counters.add(Counter::ConnectionsReused);
            pooled.phase = Phase::Writing;
            pooled.since = context.now();
            pooled.exchange = Some(exchange);
            context
                .timers
                .set(exchange.timer_deadline, Timer::Attempt(id));
            return Some(id);
        }
        None
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&mut self, context: &mut Context) {
        let now = context.now();
        let is_expired = |pooled: &PooledConnection| {
            pooled.phase == Phase::Idle
                && self.reuse_policy.state(pooled.since, now) == IdleState::Expired
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

    /// Closes an idle connection and takes it out of the pool.
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

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    pub(crate) fn close_longest_idle(&mut self, context: &mut Context) -> bool {
        let longest_idle = self
            .connections
            .iter()
            .filter(|(_, pooled)| pooled.phase == Phase::Idle)
            .min_by_key(|(_, pooled)| pooled.since)
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
