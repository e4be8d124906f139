//! How connections stand on which no request is under way: which give way to others, and which have had their time.

use calloop::Readiness;
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::{TimeDelta, Timestamp};

use super::{Client, Clients, Phase, UNUSED};
use crate::metrics::Count;
use crate::runtime::context::Room;

/// As though something had come in.
pub(super) const WAITING: Readiness = Readiness {
    readable: true,
    writable: false,
    error: false,
};

/// How a connection stands on which no request is under way, in the order in which they make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// Nothing was ever sent on it.
    Silent,
    /// Half a request has come.
    Unfinished,
    Parting,
    /// Between requests.
    Unused,
    /// An answer goes out that the client does not take in.
    Unread,
}

impl Client {
    fn stands(&self) -> Option<(Standing, Timestamp)> {
        let standing = match self.phase {
            Phase::Waiting(_) => return None,
            Phase::Reading if !self.reader.is_untouched(&self.connection.input) => {
                Standing::Unfinished
            }
            Phase::Reading if self.keeps => Standing::Unused,
            Phase::Reading => Standing::Silent,
            Phase::Answering { .. } => Standing::Unread,
            Phase::Parting => Standing::Parting,
        };
        Some((standing, self.since))
    }
}

impl Clients {
    /// Notes how a connection stands now.
    pub(super) fn note(&mut self, no: ConnectionId) {
        let Some(client) = self.all.get_mut(&no) else {
            return;
        };
        let now = client.stands();
        let before = std::mem::replace(&mut client.standing, now);
        if before != now {
            before
                .into_iter()
                .for_each(|before| self.unlist(no, before));
            if let Some((standing, since)) = now {
                self.standing.insert((standing, since, no));
                self.unused += usize::from(standing == Standing::Unused);
            }
        }
    }

    pub(super) fn unlist(&mut self, no: ConnectionId, (standing, since): (Standing, Timestamp)) {
        self.standing.remove(&(standing, since, no));
        self.unused -= usize::from(standing == Standing::Unused);
    }

    /// Closes those unused longest. Guards against clients that ask once and keep their connection: what they
    /// hold counts against all of them, and the rest would have none left to ask on.
    pub fn trim(&mut self, room: &mut Room) {
        while self.unused > self.most_unused
            && self.part_with(room, Standing::Unused, TimeDelta::ZERO)
        {}
    }

    /// Closes those who leave something unfinished for too long, and lets new ones in again. Guards against
    /// connections that say nothing, or half of something: whoever has begun a request is told.
    pub fn tend(&mut self, room: &mut Room) {
        let now = room.now();
        let spans = [
            (Standing::Silent, UNUSED),
            (Standing::Unfinished, UNUSED),
            (Standing::Parting, UNUSED),
            (Standing::Unused, self.patience),
            (Standing::Unread, self.patience),
        ];
        for (standing, span) in spans {
            while let Some((since, no)) = self.first(standing).filter(|f| now - f.0 >= span) {
                self.serve(room, no, WAITING);
                if self
                    .all
                    .get(&no)
                    .is_some_and(|c| c.standing == Some((standing, since)))
                {
                    self.end(room, no, standing);
                }
            }
        }
        self.read_again(room);
        if room.descriptors.available() > 0 {
            self.resume(room);
        }
    }

    /// Those who found no buffer may find one now.
    pub(super) fn read_again(&mut self, room: &Room) {
        for client in self.all.values().filter(|c| c.phase == Phase::Reading) {
            if !client.connection.is_reading() && client.connection.input.is_empty() {
                client.connection.set_interest(room, true, false);
            }
        }
    }

    fn end(&mut self, room: &mut Room, no: ConnectionId, standing: Standing) {
        if standing != Standing::Unfinished {
            return self.close(room, no);
        }
        room.counters.add(Count::Malformed);
        self.respond(room, no, 408, None, b"", false);
        self.note(no);
    }

    /// Who has stood like this for longest, and since when.
    fn first(&self, standing: Standing) -> Option<(Timestamp, ConnectionId)> {
        let mut from = self
            .standing
            .range((standing, Timestamp(i64::MIN), ConnectionId(0))..);
        from.next().filter(|f| f.0 == standing).map(|f| (f.1, f.2))
    }

    /// Closes a connection that may make room: silent ones first, then those that have stalled for longer than
    /// `stall`, then those unused for as long as the protocol asks. Guards against clients that hold all
    /// descriptors with nothing, or half a request each. Gives back whether there was one.
    pub fn make_room(&mut self, room: &mut Room) -> bool {
        let spans = [
            (Standing::Silent, TimeDelta::ZERO),
            (Standing::Unfinished, self.stall),
            (Standing::Parting, self.stall),
            (Standing::Unused, UNUSED),
        ];
        spans
            .into_iter()
            .any(|(standing, span)| self.part_with(room, standing, span))
    }

    /// Closes the connection that was unused longest, however short that is.
    pub fn close_unused(&mut self, room: &mut Room) -> bool {
        self.part_with(room, Standing::Unused, TimeDelta::ZERO)
    }

    pub(super) fn part_with(
        &mut self,
        room: &mut Room,
        standing: Standing,
        span: TimeDelta,
    ) -> bool {
        let now = room.now();
        while let Some((since, no)) = self.first(standing).filter(|f| now - f.0 >= span) {
            // What has come in meanwhile may make a request whole, and then it is taken.
            self.serve(room, no, WAITING);
            if self
                .all
                .get(&no)
                .is_some_and(|c| c.standing == Some((standing, since)))
            {
                self.close(room, no);
            }
            if !self.all.contains_key(&no) {
                return true;
            }
        }
        false
    }

    /// During a graceful shutdown: closes connections between requests. Gives back whether none are left.
    pub fn close_between_requests(&mut self, room: &mut Room) -> bool {
        let between =
            |c: &Client| c.phase == Phase::Reading && c.reader.is_untouched(&c.connection.input);
        let reading = self
            .all
            .iter()
            .filter(|(_, c)| between(c) && c.connection.is_reading());
        for no in reading.map(|(no, _)| *no).collect::<Vec<ConnectionId>>() {
            // A request that has come in meanwhile is still taken.
            self.serve(room, no, WAITING);
            if self.all.get(&no).is_some_and(between) {
                self.close(room, no);
            }
        }
        self.all.values().all(|c| c.phase == Phase::Parting)
    }
}
