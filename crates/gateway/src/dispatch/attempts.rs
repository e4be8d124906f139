//! Attempts of requests at endpoints: from what the module asks for to the first byte, and what may come between.

use harrierdock_attempt_guard::{CurrentState, ListedEndpoint, Precondition, Violation};
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::{
    AttemptOutcome, BuildId, ClassParameters, EndpointId, RequestId, RetrySafety,
};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::dispatch::dispatcher::Driver;
use crate::dispatch::request_table::{Entry, Sent};
use crate::metrics::Count;
use crate::runtime::context::{Asked, Notice};
use crate::runtime::gateway::Gateway;
use crate::upstream::Unwritten;

impl Driver {
    /// What an attempt of this request at this endpoint, decided on now, is decided on.
    fn precondition(&self, entry: &Entry, endpoint: EndpointId) -> Precondition {
        let listed = self.module.endpoint(endpoint);
        let build = listed.map_or(BuildId(0), |record| record.build);
        Precondition {
            build,
            started_at: self.module.endpoint_start(endpoint),
            exposure_limit: self.module.exposure_limit(build),
            deduplicated_until: entry.deduplicated_until(
                self.module.parameters().classes.get(entry.class.0),
                self.tick,
            ),
        }
    }

    /// Why this attempt, of whose request the last byte has not been written, may not be any more. `waits`: its client
    /// still does. `stale`: the list held may not be acted on any more.
    fn violation(
        &self,
        now: Timestamp,
        of: &Unwritten,
        waits: bool,
        stale: bool,
    ) -> Option<Violation> {
        let Some(entry) = self.book.get(&of.id) else {
            return Some(Violation::RequestFinished);
        };
        let sent = entry.sent.get(of.attempt)?;
        let endpoint = self.module.endpoint(sent.endpoint).filter(|_| of.placed);
        sent.precondition.violation(&CurrentState {
            now,
            request_finished: entry.answered || !waits,
            list_is_stale: stale,
            endpoint: endpoint.map(|record| ListedEndpoint {
                lifecycle: record.lifecycle,
                build: record.build,
                started_at: self.module.endpoint_start(sent.endpoint),
            }),
            exposure_limit: self.module.exposure_limit(sent.precondition.build),
            sticky_build: entry.key.map_or(BuildId(0), |key| self.pin_of(key)),
        })
    }

    /// Whether this attempt finds no room under the cap where it is to be written now; else it counts from now on.
    fn crowds(&mut self, now: Timestamp, of: &Unwritten) -> Option<Violation> {
        let entry = self.book.get_mut(&of.id)?;
        let sent = entry.sent.get_mut(of.attempt)?;
        let since = std::mem::replace(&mut sent.counted, now);
        let arrives =
            self.module
                .admits_late_attempt(now, since, entry.class, sent.precondition.build);
        (!arrives).then_some(Violation::ExposureLimitReached)
    }
}

impl Entry {
    /// From when on endpoints would no longer drop a repeat: none if there is nothing to drop, or no need to.
    fn deduplicated_until(
        &self,
        class: Option<&ClassParameters>,
        tick: TimeDelta,
    ) -> Option<Timestamp> {
        let Some(RetrySafety::IdempotencyKey {
            deduplication_window,
            ..
        }) = class.map(|p| p.retry_safety)
        else {
            return None;
        };
        let first = self.sent.iter().find(|s| !s.never_ran)?;
        Some(first.at + deduplication_window - tick)
    }
}

impl Gateway {
    fn list_is_stale(&self) -> bool {
        self.discovery.is_stale(self.room.now())
    }

    pub fn submit(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        timeout: TimeDelta,
    ) {
        let Some(precondition) = self
            .driver
            .book
            .get(&id)
            .map(|e| self.driver.precondition(e, endpoint))
        else {
            return self
                .room
                .counters
                .must(false, "a submission is of a txn in the book");
        };
        let Some(entry) = self.driver.book.get_mut(&id) else {
            return;
        };
        let attempt = entry.sent.len();
        entry.sent.push(Sent {
            endpoint,
            at: now,
            counted: now,
            precondition,
            out: true,
            never_ran: false,
            octets: 0,
        });
        let left = entry.expiry - self.room.clock.now();
        let wait = if timeout > TimeDelta::ZERO {
            timeout.min(left)
        } else {
            left
        };
        let spent =
            entry.answered || attempt >= self.driver.most_attempts || wait <= TimeDelta::ZERO;
        let spent = spent || self.list_is_stale();
        if !spent && self.room.descriptors.available() == 0 && !self.servers.keeps(now, endpoint) {
            self.make_room();
        }
        let inward = self.is_inward(id);
        if !inward && !spent {
            self.clients.still_waits(&mut self.room, id);
        }
        let Gateway {
            clients,
            servers,
            room,
            across,
            ..
        } = self;
        let mut octets = 0;
        let submit = |asked: Asked<'_>| {
            octets = asked.body.len();
            servers.submit(room, (id, attempt), endpoint, wait, &asked)
        };
        let sent = match across {
            _ if spent => None,
            Some(across) if inward => across.asked(id, submit),
            _ => clients.asked(id, submit),
        };
        if let Some(sent) = self
            .driver
            .book
            .get_mut(&id)
            .and_then(|e| e.sent.get_mut(attempt))
        {
            sent.octets = octets;
        }
        if let Err(outcome) = sent.unwrap_or(Err(AttemptOutcome::NotSent)) {
            self.room.tell(Notice::Closed {
                id,
                attempt,
                outcome,
                told: None,
            });
        }
    }

    /// Guards every rule that binds the moment of writing: what is not all written when its condition lapses is
    /// given up, on a connection that has just come up as on one that takes no more for now. It has never run.
    pub fn withdraw_lapsed(&mut self, no: ConnectionId) {
        let Some(unwritten) = self.servers.unwritten(no) else {
            return;
        };
        let waits =
            self.is_inward(unwritten.id) || self.clients.still_waits(&mut self.room, unwritten.id);
        let (now, stale) = (self.room.now(), self.list_is_stale());
        let violation = self
            .driver
            .violation(now, &unwritten, waits, stale)
            .or_else(|| self.driver.crowds(now, &unwritten));
        if let Some(violation) = violation {
            tracing::debug!("servers: an attempt is not written: {violation:?}");
            self.room.counters.add(Count::Lapsed);
            self.servers.withdraw(&mut self.room, no);
        }
    }
}
