//! Closes idle client connections when they time out or when other connections need their descriptors.

use calloop::Readiness;
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::TimeDelta;

use super::connection::{ClientConnection, IdleKind, Phase};
use super::idle_list::IdleConnection;
use super::requests::Shortage;
use super::responses::Response;
use super::{Downstream, MIN_IDLE_TIME};
use crate::metrics::Counter;
use crate::runtime::context::Context;

/// Readiness passed to a connection to make it read pending input that the event loop has not reported yet.
pub(super) const READABLE: Readiness = Readiness {
    readable: true,
    writable: false,
    error: false,
};

impl Downstream {
    /// Updates a connection's entry in the list of idle connections to its current state.
    pub(super) fn update_idle_list(&mut self, id: ConnectionId) {
        let Some(client) = self.connections.get_mut(&id) else {
            return;
        };
        let idle = client.idle();
        let listed = std::mem::replace(&mut client.listed_idle, idle);
        if listed == idle {
            return;
        }
        if let Some(listed) = listed {
            self.idle.remove(id, listed);
        }
        if let Some(idle) = idle {
            self.idle.insert(id, idle);
        }
    }

    /// Closes the longest idle connections between requests until their number is within the limit. Connections kept after
    /// one request would otherwise leave no descriptors for other clients.
    pub(crate) fn trim_between_requests(&mut self, context: &mut Context) {
        while self.idle.between_requests() > self.max_between_requests
            && self.evict(context, IdleKind::BetweenRequests, TimeDelta::ZERO)
        {}
    }

    /// Closes connections that have timed out, and resumes accepting if descriptors are available. A client that has sent
    /// part of a request gets a 408 response first.
    pub(crate) fn close_expired(&mut self, context: &mut Context) {
        let now = context.now();
        let limits = [
            (IdleKind::NeverUsed, MIN_IDLE_TIME),
            (IdleKind::PartialRequest, MIN_IDLE_TIME),
            (IdleKind::LongPartialRequest, MIN_IDLE_TIME),
            (IdleKind::Closing, MIN_IDLE_TIME),
            (IdleKind::BetweenRequests, self.idle_timeout),
            (IdleKind::UnreadResponse, self.idle_timeout),
        ];
        for (kind, limit) in limits {
            while let Some(oldest) = self.idle.longest_idle(kind, limit, now) {
                self.handle_readiness(context, oldest.id, READABLE);
                if self.is_still_idle(oldest) {
                    self.expire(context, oldest);
                }
            }
        }
        if context.descriptors.available() > 0 {
            self.resume_accepting(context);
        }
    }

    fn is_still_idle(&self, connection: IdleConnection) -> bool {
        self.connections
            .get(&connection.id)
            .is_some_and(|client| client.listed_idle == Some(connection.idle))
    }

    fn expire(&mut self, context: &mut Context, connection: IdleConnection) {
        if !connection.idle.kind.is_partial_request() {
            return self.close(context, connection.id);
        }
        context.counters.add(Counter::MalformedRequests);
        self.respond(context, connection.id, &Response::final_status(408));
        self.update_idle_list(connection.id);
    }

    /// Closes one connection to free its descriptor. Tries those first that neither wait for a response nor are between
    /// requests, then those that have been between requests for at least `MIN_IDLE_TIME`. Returns whether one was closed.
    pub(crate) fn evict_stalled(&mut self, context: &mut Context) -> bool {
        self.evict_inactive(context)
            || self.evict(context, IdleKind::BetweenRequests, MIN_IDLE_TIME)
    }

    /// Closes the connection that has been inactive for the longest time: without a complete request, or with its last response
    /// written. Returns whether one was closed.
    ///
    /// No minimum time applies: clients that keep connections for just less than such a time would leave none to others.
    fn evict_inactive(&mut self, context: &mut Context) -> bool {
        while let Some(oldest) = self.idle.longest_inactive() {
            if self.evict_connection(context, oldest) {
                return true;
            }
        }
        false
    }

    /// Closes the longest idle connection between requests, however short its idle time. Returns whether one was closed.
    pub(crate) fn evict_between_requests(&mut self, context: &mut Context) -> bool {
        self.evict(context, IdleKind::BetweenRequests, TimeDelta::ZERO)
    }

    /// Closes the longest idle connection of this kind, if it has been idle for at least `min_time`. Returns whether one was
    /// closed.
    pub(super) fn evict(
        &mut self,
        context: &mut Context,
        kind: IdleKind,
        min_time: TimeDelta,
    ) -> bool {
        let now = context.now();
        while let Some(oldest) = self.idle.longest_idle(kind, min_time, now) {
            if self.evict_connection(context, oldest) {
                return true;
            }
        }
        false
    }

    /// Closes an idle connection, unless input has arrived in the meantime that makes it another kind of connection. Returns
    /// whether it is closed.
    fn evict_connection(&mut self, context: &mut Context, connection: IdleConnection) -> bool {
        // Input that arrived in the meantime may complete a request, which is then accepted.
        self.handle_readiness(context, connection.id, READABLE);
        if self.is_still_idle(connection) {
            if connection.idle.kind.is_partial_request() {
                self.refuse_and_close(context, connection.id);
            } else {
                self.close(context, connection.id);
            }
        }
        !self.connections.contains_key(&connection.id)
    }

    /// Frees memory for a longer input buffer: refuses other incomplete requests that hold a longer buffer, the oldest first.
    /// Returns whether enough is free.
    ///
    /// The oldest has had the most time to arrive. A minimum time would let clients that hold a part of a request for just less
    /// than this time take all buffers.
    pub(super) fn free_input_buffer(&mut self, context: &mut Context, id: ConnectionId) -> bool {
        loop {
            let Some(client) = self.connections.get(&id) else {
                return false;
            };
            if client.connection.can_read(context) {
                return true;
            }
            let Some(oldest) = self.idle.oldest_long_request_except(id) else {
                return false;
            };
            // Input that arrived in the meantime may complete the request, which is then accepted.
            self.read_input(context, oldest.id, Shortage::Refuse);
            self.update_idle_list(oldest.id);
            if self.is_still_idle(oldest) {
                self.refuse_incomplete(context, oldest.id);
                self.update_idle_list(oldest.id);
            }
        }
    }

    /// Closes connections between requests during a shutdown. Returns whether all that remain are in the closing phase.
    pub(crate) fn close_between_requests(&mut self, context: &mut Context) -> bool {
        let candidates: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, client)| client.is_between_requests())
            .map(|(id, _)| *id)
            .collect();
        for id in candidates {
            // A request that arrived in the meantime is still accepted.
            self.handle_readiness(context, id, READABLE);
            let client = self.connections.get(&id);
            if client.is_some_and(ClientConnection::is_between_requests) {
                self.close(context, id);
            }
        }
        self.connections
            .values()
            .all(|client| client.phase == Phase::Closing)
    }
}
