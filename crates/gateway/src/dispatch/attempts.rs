//! Attempts of txns at servers: from what the module asks for to the first byte, and what may come between.

use harrierdock_attempt_guard::{Condition, Lapse, Standing};
use harrierdock_event_loop::ConnectionNo;
use harrierdock_types::interface::{Outcome, ProductTerms, Repeat, ServerIx, TxnId};
use harrierdock_types::time::{Point, Span};

use crate::dispatch::dispatcher::Driver;
use crate::dispatch::request_table::{Entry, Sent};
use crate::metrics::Count;
use crate::runtime::context::{Asked, Notice};
use crate::runtime::gateway::Gateway;
use crate::upstream::Unwritten;

impl Driver {
    /// What an attempt of this txn at this server, decided on now, is decided on.
    fn condition(&self, entry: &Entry, server: ServerIx) -> Condition {
        let listed = self.module.servers.get(&server);
        let build = listed.map_or(0, |s| s.listed.build);
        Condition {
            build,
            started: listed.and_then(|s| s.started),
            cap: self.module.cap_of(build),
            repeat_until: entry.repeat_until(self.module.terms.products.get(entry.product), self.tick),
        }
    }

    /// Why this attempt, of whose request the last byte has not been written, may not be any more. `waits`: its client
    /// still does. `stale`: the list held may not be acted on any more.
    fn lapse(&self, now: Point, of: &Unwritten, waits: bool, stale: bool) -> Option<Lapse> {
        let Some(entry) = self.book.get(&of.id) else { return Some(Lapse::Closed) };
        let sent = entry.sent.get(of.attempt)?;
        let server = self.module.servers.get(&sent.server).filter(|_| of.placed);
        sent.condition.lapse(&Standing {
            now,
            closed: entry.answered || !waits,
            stale,
            listed: server.map(|s| (s.listed.lifecycle, s.listed.build, s.started)),
            cap: self.module.cap_of(sent.condition.build),
            pin: entry.key.map_or(0, |key| self.pin_of(key)),
        })
    }

    /// Whether this attempt finds no room under the cap where it is to be written now; else it counts from now on.
    fn crowds(&mut self, now: Point, of: &Unwritten) -> Option<Lapse> {
        let entry = self.book.get_mut(&of.id)?;
        let sent = entry.sent.get_mut(of.attempt)?;
        let since = std::mem::replace(&mut sent.counted, now);
        let arrives = self.module.arrives(now, since, entry.product, sent.condition.build);
        (!arrives).then_some(Lapse::CapReached)
    }
}

impl Entry {
    /// From when on servers would no longer drop a repeat: none if there is nothing to drop, or no need to.
    fn repeat_until(&self, product: Option<&ProductTerms>, tick: Span) -> Option<Point> {
        let Some(Repeat::Referenced { memory, .. }) = product.map(|p| p.repeat) else { return None };
        let first = self.sent.iter().find(|s| !s.never_ran)?;
        Some(first.at + memory - tick)
    }
}

impl Gateway {
    fn list_is_stale(&self) -> bool {
        self.discovery.is_stale(self.room.now())
    }

    pub fn submit(&mut self, now: Point, id: TxnId, server: ServerIx, timeout: Span) {
        let Some(condition) = self.driver.book.get(&id).map(|e| self.driver.condition(e, server)) else {
            return self.room.counters.must(false, "a submission is of a txn in the book");
        };
        let Some(entry) = self.driver.book.get_mut(&id) else { return };
        let attempt = entry.sent.len();
        entry.sent.push(Sent {
            server,
            at: now,
            counted: now,
            condition,
            out: true,
            never_ran: false,
            octets: 0,
        });
        let left = entry.expiry - self.room.clock.now();
        let wait = if timeout > Span::ZERO { timeout.min(left) } else { left };
        let spent = entry.answered || attempt >= self.driver.most_attempts || wait <= Span::ZERO;
        let spent = spent || self.list_is_stale();
        if !spent && self.room.descriptors.spare() == 0 && !self.servers.keeps(now, server) {
            self.make_room();
        }
        let inward = self.is_inward(id);
        if !inward && !spent {
            self.clients.still_waits(&mut self.room, id);
        }
        let Gateway { clients, servers, room, across, .. } = self;
        let mut octets = 0;
        let submit = |asked: Asked<'_>| {
            octets = asked.body.len();
            servers.submit(room, (id, attempt), server, wait, &asked)
        };
        let sent = match across {
            _ if spent => None,
            Some(across) if inward => across.asked(id, submit),
            _ => clients.asked(id, submit),
        };
        if let Some(sent) = self.driver.book.get_mut(&id).and_then(|e| e.sent.get_mut(attempt)) {
            sent.octets = octets;
        }
        if let Err(outcome) = sent.unwrap_or(Err(Outcome::Moot)) {
            self.room.tell(Notice::Closed { id, attempt, outcome, told: None });
        }
    }

    /// Guards every rule that binds the moment of writing: what is not all written when its condition lapses is
    /// given up, on a connection that has just come up as on one that takes no more for now. It has never run.
    pub fn withdraw_lapsed(&mut self, no: ConnectionNo) {
        let Some(unwritten) = self.servers.unwritten(no) else { return };
        let waits = self.is_inward(unwritten.id) || self.clients.still_waits(&mut self.room, unwritten.id);
        let (now, stale) = (self.room.now(), self.list_is_stale());
        let lapse =
            self.driver.lapse(now, &unwritten, waits, stale).or_else(|| self.driver.crowds(now, &unwritten));
        if let Some(lapse) = lapse {
            tracing::debug!("servers: an attempt is not written: {lapse:?}");
            self.room.counters.add(Count::Lapsed);
            self.servers.withdraw(&mut self.room, no);
        }
    }
}
