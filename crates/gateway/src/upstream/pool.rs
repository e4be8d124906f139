//! The connection pool: what runs where, and the connections kept to it between attempts.

use harrierdock_attempt_guard::IdleState;
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::EndpointId;
use harrierdock_types::Timestamp;

use super::{Exchange, Machine, Phase, PooledConnection, Upstream};
use crate::metrics::Count;
use crate::runtime::context::Room;
use crate::runtime::timer::Due;

pub struct Place {
    pub machine: Machine,
    /// Connections kept, the last used at the end.
    pub kept: Vec<ConnectionId>,
}

impl Upstream {
    /// Discovery's word on what runs at a place, if anything does.
    pub fn place(&mut self, room: &mut Room, endpoint: EndpointId, machine: Option<Machine>) {
        if self.places.get(&endpoint).map(|p| p.machine) == machine {
            return;
        }
        let before = match machine {
            Some(machine) => self.places.insert(
                endpoint,
                Place {
                    machine,
                    kept: Vec::new(),
                },
            ),
            None => self.places.remove(&endpoint),
        };
        for no in before.into_iter().flat_map(|p| p.kept) {
            self.close(room, no);
        }
    }

    /// Whether a connection to the endpoint is kept that may be used.
    pub fn keeps(&self, now: Timestamp, endpoint: EndpointId) -> bool {
        self.places
            .get(&endpoint)
            .is_some_and(|p| p.kept.iter().any(|no| !self.rests(now, *no)))
    }

    fn rests(&self, now: Timestamp, no: ConnectionId) -> bool {
        self.connections
            .get(&no)
            .is_some_and(|l| self.pool.state(l.since, now) == IdleState::Resting)
    }

    /// Takes the connection last used out of those kept to a endpoint, of those that do not rest.
    fn take_kept(&mut self, now: Timestamp, endpoint: EndpointId) -> Option<ConnectionId> {
        let at = self
            .places
            .get(&endpoint)?
            .kept
            .iter()
            .rposition(|no| !self.rests(now, *no))?;
        Some(self.places.get_mut(&endpoint)?.kept.remove(at))
    }

    /// A kept connection that still stands, with this exchange on it.
    pub(super) fn reuse(
        &mut self,
        room: &mut Room,
        endpoint: EndpointId,
        exchange: Exchange,
    ) -> Option<ConnectionId> {
        // Guards against a kept connection that the endpoint has closed, or is about to close.
        while let Some(no) = self.take_kept(room.now(), endpoint) {
            let Some(pooled) = self.connections.get_mut(&no) else {
                continue;
            };
            let old = self.pool.state(pooled.since, room.now()) == IdleState::Expired;
            if old || !pooled.connection.is_open_and_quiet() {
                room.counters.add(Count::KeptWasClosed);
                self.close(room, no);
                continue;
            }
            room.counters.add(Count::Reused);
            (pooled.phase, pooled.since) = (Phase::Writing, room.now());
            pooled.exchange = Some(exchange);
            room.dues.set(exchange.due, Due::Submission(no));
            return Some(no);
        }
        None
    }

    /// Closes what was kept for too long.
    pub fn tend(&mut self, room: &mut Room) {
        let now = room.now();
        let old = |l: &PooledConnection| {
            l.phase == Phase::Idle && self.pool.state(l.since, now) == IdleState::Expired
        };
        let old: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, l)| old(l))
            .map(|(no, _)| *no)
            .collect();
        old.into_iter().for_each(|no| self.close_kept(room, no));
    }

    pub(super) fn close_kept(&mut self, room: &mut Room, no: ConnectionId) {
        if let Some(place) = self
            .connections
            .get(&no)
            .and_then(|l| self.places.get_mut(&l.endpoint))
        {
            place.kept.retain(|kept| *kept != no);
        }
        self.close(room, no);
    }

    /// Closes the connection that was kept unused longest. Gives back whether there was one.
    pub fn close_idle(&mut self, room: &mut Room) -> bool {
        let idle = self
            .connections
            .iter()
            .filter(|(_, l)| l.phase == Phase::Idle);
        let oldest = idle.min_by_key(|(_, l)| l.since).map(|(no, _)| *no);
        oldest.inspect(|no| self.close_kept(room, *no)).is_some()
    }
}
