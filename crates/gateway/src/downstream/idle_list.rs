//! The idle client connections, in the order in which they are closed.

use std::collections::BTreeSet;

use harrierdock_event_loop::ConnectionId;
use harrierdock_types::{TimeDelta, Timestamp};

use super::connection::{Idle, IdleKind};

/// An idle connection. Ordered by kind, then by idle time, longest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleConnection {
    /// How the connection is idle, and since when.
    pub(super) idle: Idle,
    /// The connection.
    pub(super) id: ConnectionId,
}

/// The idle connections by kind, each kind longest idle first.
#[derive(Default)]
pub(super) struct IdleList {
    connections: BTreeSet<IdleConnection>,
    between_requests: usize,
}

impl IdleList {
    /// Adds a connection to the list.
    pub(super) fn insert(&mut self, id: ConnectionId, idle: Idle) {
        self.connections.insert(IdleConnection { idle, id });
        self.between_requests += usize::from(idle.kind == IdleKind::BetweenRequests);
    }

    /// Removes a connection from the list.
    pub(super) fn remove(&mut self, id: ConnectionId, idle: Idle) {
        self.connections.remove(&IdleConnection { idle, id });
        self.between_requests -= usize::from(idle.kind == IdleKind::BetweenRequests);
    }

    /// Number of connections between requests.
    pub(super) fn between_requests(&self) -> usize {
        self.between_requests
    }

    /// The connections of this kind, longest idle first.
    fn of_kind(&self, kind: IdleKind) -> impl Iterator<Item = IdleConnection> + '_ {
        let first_possible = IdleConnection {
            idle: Idle {
                kind,
                since: Timestamp(i64::MIN),
            },
            id: ConnectionId(0),
        };
        self.connections
            .range(first_possible..)
            .take_while(move |connection| connection.idle.kind == kind)
            .copied()
    }

    /// The longest idle connection of this kind, if it has been idle for at least `min_time`.
    pub(super) fn longest_idle(
        &self,
        kind: IdleKind,
        min_time: TimeDelta,
        now: Timestamp,
    ) -> Option<IdleConnection> {
        self.of_kind(kind)
            .next()
            .filter(|first| now - first.idle.since >= min_time)
    }

    /// The connection that has been without a complete request, or with its last response written, for the longest time.
    pub(super) fn longest_inactive(&self) -> Option<IdleConnection> {
        const INACTIVE_KINDS: [IdleKind; 4] = [
            IdleKind::NeverUsed,
            IdleKind::PartialRequest,
            IdleKind::LongPartialRequest,
            IdleKind::Closing,
        ];
        INACTIVE_KINDS
            .into_iter()
            .filter_map(|kind| self.of_kind(kind).next())
            .min_by_key(|connection| connection.idle.since)
    }

    /// The oldest incomplete request in a longer buffer, apart from that of one connection.
    pub(super) fn oldest_long_request_except(&self, id: ConnectionId) -> Option<IdleConnection> {
        self.of_kind(IdleKind::LongPartialRequest)
            .find(|connection| connection.id != id)
    }
}
