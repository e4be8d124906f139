//! Discovery: a watch of the list of endpoints, from the version held on.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_attempt_guard::{Backoff, ListFreshness, NOTIFICATION_DEADLINE};
use harrierdock_config::{gossip_id, Names};
use harrierdock_event_loop::{Clock, LineStream, ResponseMode, StreamEvent};
use harrierdock_http::MAX_BODY_BYTES;
use harrierdock_types::{
    BuildId, EndpointId, EndpointRecord, Event, Lifecycle, Parameters, UpdateKind,
};
use harrierdock_types::{TimeDelta, Timestamp};
use serde::Deserialize;

use crate::metrics::Count;
use crate::runtime::context::{Notice, Room};
use crate::runtime::gateway::Gateway;
use crate::upstream::{Machine, Upstream};

/// A stream in order says something, if only an empty line, this often.
const SIGN_OF_LIFE: TimeDelta = TimeDelta(2_000_000);
/// Signs of life that may be missed before a stream counts as silent.
const MISSED: f64 = 2.5;

/// A list as discovery writes it. The page's names end here.
#[derive(Clone, Default, Deserialize)]
pub struct ListTold {
    #[serde(default)]
    revision: i64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<MemberTold>,
}

#[derive(Clone, Deserialize)]
struct MemberTold {
    id: String,
    host_port: SocketAddr,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u64,
    phase: PhaseTold,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: i64,
    revision_no: u32,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum PhaseTold {
    Ready,
    Draining,
    Gone,
}

fn one() -> f64 {
    1.0
}

impl MemberTold {
    fn listed(&self, names: &mut Names, clock: &Clock, now: Timestamp) -> EndpointRecord {
        EndpointRecord {
            build: BuildId(self.revision_no),
            endpoint: names.endpoints.get_or_assign(&self.id),
            zone: names.get_or_assign_zone(&self.locality),
            model: names.get_or_assign_model(&self.flavor),
            cell: self.cell,
            lifecycle: match self.phase {
                PhaseTold::Ready => Lifecycle::Ready,
                PhaseTold::Draining => Lifecycle::Draining,
                PhaseTold::Gone => Lifecycle::Removed,
            },
            weight: self.size,
            // The start is one point however often it is told, so the module sees one start.
            age: (self.up_since_ms > 0).then(|| now - clock.at_unix_ms(self.up_since_ms)),
            gossip_id: gossip_id(&self.id),
        }
    }
}

pub struct Discovery {
    feed: LineStream,
    revision: Option<i64>,
    pause: TimeDelta,
    /// Where discovery is one for all gateways.
    backoff: Option<Backoff>,
    freshness: ListFreshness,
    stale: bool,
    /// From when on it may be opened again.
    again: Timestamp,
    /// When it was opened last, whether anything has been said since, and whether it works.
    opened: Timestamp,
    said: bool,
    worked: bool,
    /// The lines so far of a list that is written over several, and when its first came.
    part: Vec<u8>,
    begun: Option<Timestamp>,
}

fn on_ready(gateway: &mut Gateway, readiness: Readiness) {
    let Gateway {
        room,
        discovery,
        driver,
        servers,
        ..
    } = gateway;
    for heard in discovery.feed.handle_readiness(room, readiness) {
        if !discovery.hear(room, &mut driver.names, servers, heard) {
            break;
        }
    }
    gateway.look_ready();
    gateway.settle();
}

impl Discovery {
    /// `pause`: how often it is looked after, and how long its connection may take to come up.
    pub fn new(
        now: Timestamp,
        address: SocketAddr,
        pause: TimeDelta,
        terms: &Parameters,
        seed: u64,
    ) -> Discovery {
        // Guards what is told anyway, whatever is told of endpoints' connections: there is time for a look, for a
        // connection that does not come up, and for the next one.
        let silence = (SIGN_OF_LIFE * MISSED).min(NOTIFICATION_DEADLINE - pause * 3.0);
        let feed = LineStream::new("discovery", address, silence);
        let backoff = Backoff::of_discovery(terms, pause, seed);
        let (freshness, revision) = (ListFreshness::new(terms, now), None);
        let (again, opened, part, begun) = (now, now, Vec::new(), None);
        let (said, worked) = (false, false);
        let stale = false;
        Discovery {
            feed,
            revision,
            pause,
            backoff,
            freshness,
            stale,
            again,
            opened,
            said,
            worked,
            part,
            begun,
        }
    }

    /// Whether the list held may not be acted on any more.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        self.freshness.is_stale(now)
    }

    /// The list as this gateway had it last.
    pub fn recall(
        &mut self,
        room: &mut Room,
        names: &mut Names,
        servers: &mut Upstream,
        list: &ListTold,
    ) {
        if !list.members.is_empty() {
            self.revision = Some(list.revision);
            // The list kept serves meanwhile.
            let spread = self.backoff.as_mut().map(|backoff| backoff.spread());
            self.again = self.again + spread.unwrap_or_default();
            self.apply(room, names, servers, list, UpdateKind::Cached);
        }
    }

    pub fn knows(&self) -> bool {
        self.revision.is_some()
    }

    /// Opens the watch, or asks for a whole list first if none is held that changes could apply to.
    fn open(&mut self, room: &mut Room) {
        self.part.clear();
        (self.begun, self.opened) = (None, room.now());
        (self.said, self.worked) = (false, false);
        match self.revision {
            Some(revision) => self
                .feed
                .open(room, &watch(revision), ResponseMode::Lines, on_ready),
            None => self
                .feed
                .open(room, "/v1/endpoints", ResponseMode::Single, on_ready),
        }
    }

    /// A reload has told another address: it is asked at once for what follows the version held.
    pub fn turn_to(&mut self, room: &mut Room, address: SocketAddr) {
        if self.feed.set_address(room, address) {
            self.backoff.iter_mut().for_each(Backoff::reset);
            self.open(room);
        }
    }

    /// What was opened last has ended. Guards against a discovery that is asked by hundreds: one that has brought
    /// nothing is asked again later and later.
    fn back_off(&mut self, now: Timestamp) {
        let worked = std::mem::take(&mut self.worked);
        self.again = match &mut self.backoff {
            Some(backoff) if !worked => now + backoff.next_wait(now - self.opened),
            Some(backoff) => now + backoff.spread(),
            None => self.opened + self.pause,
        };
    }

    /// Something has come, or the watch has been looked at. Guards against taking the first words of a call for its
    /// success: one that fails late has said that nothing has changed before. A watch that has told a list, or has stood
    /// for longer than a call may wait, works.
    fn stands(&mut self, now: Timestamp) {
        self.worked |= ListFreshness::has_succeeded(self.opened, now);
        if self.worked {
            self.freshness.confirm(now);
            self.backoff.iter_mut().for_each(Backoff::reset);
        }
    }

    pub fn tend(&mut self, room: &mut Room) {
        let now = room.now();
        let stale = self.is_stale(now);
        if stale != std::mem::replace(&mut self.stale, stale) {
            let what = if stale {
                "too old, nothing is sent by it"
            } else {
                "confirmed again"
            };
            tracing::warn!("discovery: the list held is {what}");
        }
        // Guards against a list that stops between two lines, while signs of life go on.
        let stalled = self.begun.is_some_and(|since| now - since > self.pause);
        // A whole list comes at once or not at all. Guards against a start that waits for the signs of life of a watch
        // where none is to come, as while discovery is down.
        let unanswered = !self.knows() && now - self.opened >= SIGN_OF_LIFE;
        let is_open = self.feed.is_open();
        if stalled || unanswered && is_open || self.feed.is_unresponsive(now, self.pause) {
            self.renew(room);
        } else if !is_open && now >= self.again {
            self.open(room);
        } else if is_open && self.said && !self.worked {
            self.stands(now);
        }
    }

    /// At once where it has stood for a while; else `tend` will, so that a torrent of bad answers costs little.
    fn renew(&mut self, room: &mut Room) {
        self.part.clear();
        self.begun = None;
        self.feed.close(room);
        self.back_off(room.now());
        if room.now() >= self.again {
            self.open(room);
        }
    }

    /// Takes in what discovery says. Gives back whether what was heard behind it still counts.
    fn hear(
        &mut self,
        room: &mut Room,
        names: &mut Names,
        servers: &mut Upstream,
        heard: StreamEvent,
    ) -> bool {
        let (text, once) = match heard {
            StreamEvent::Disconnected => {
                self.renew(room);
                return false;
            }
            StreamEvent::Refused(status) => {
                // Guards against asking for ever for what follows a version that discovery no longer knows. One that
                // is full says nothing of the version, and a whole list would cost it more.
                let full = status.is_none_or(|status| matches!(status, 408 | 425 | 429 | 500..));
                tracing::warn!("discovery: refuses with {}", status.unwrap_or_default());
                self.revision = self.revision.filter(|_| full);
                return true;
            }
            StreamEvent::Line(line) if line.is_empty() => {
                self.said = true;
                self.stands(room.now());
                return true;
            }
            StreamEvent::Line(text) => (text, false),
            StreamEvent::Response(text) => (text, true),
        };
        self.part.extend(text);
        let list: ListTold = match serde_json::from_slice(&self.part) {
            Ok(list) => list,
            // Guards against a list that is indented: each of its lines but the last is only a part of it.
            Err(e) if e.is_eof() && !once && self.part.len() <= MAX_BODY_BYTES => {
                self.begun.get_or_insert(room.now());
                return true;
            }
            Err(e) => {
                room.counters.add(Count::LinesRefused);
                tracing::warn!("discovery: a line cannot be read, the watch is renewed: {e}");
                // The list held stays true up to its version, from which the next watch goes on.
                self.renew(room);
                return false;
            }
        };
        self.part.clear();
        self.begun = None;
        let news = list.complete || !list.members.is_empty();
        (self.said, self.worked) = (true, self.worked || news);
        self.stands(room.now());
        self.revision = Some(list.revision);
        let kind = if list.complete {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        };
        self.apply(room, names, servers, &list, kind);
        if once {
            self.feed
                .request(room, &watch(list.revision), ResponseMode::Lines);
        }
        true
    }

    fn apply(
        &mut self,
        room: &mut Room,
        names: &mut Names,
        servers: &mut Upstream,
        list: &ListTold,
        kind: UpdateKind,
    ) {
        room.counters.add(Count::Lists);
        let now = room.now();
        let mut lines = Vec::new();
        let mut absent: BTreeSet<EndpointId> = match kind {
            UpdateKind::Delta => BTreeSet::new(),
            _ => names.endpoints.ids().collect(),
        };
        for member in &list.members {
            let line = member.listed(names, &room.clock, now);
            let (address, up_since, build) = (member.host_port, member.up_since_ms, line.build);
            let runs = line.lifecycle != Lifecycle::Removed;
            servers.place(
                room,
                line.endpoint,
                runs.then_some(Machine {
                    address,
                    up_since,
                    build,
                }),
            );
            absent.remove(&line.endpoint);
            lines.push(line);
        }
        for endpoint in absent {
            servers.place(room, endpoint, None);
        }
        tracing::debug!(
            "discovery: list {} with {} lines",
            list.revision,
            lines.len()
        );
        room.inbox.push_back((
            now,
            Notice::Event(Event::EndpointsUpdated {
                kind,
                endpoints: lines,
            }),
        ));
    }
}

fn watch(revision: i64) -> String {
    format!("/v1/endpoints?stream=1&index={revision}")
}
