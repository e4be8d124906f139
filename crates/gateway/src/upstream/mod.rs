//! Servers: their addresses, the connections kept to each, and the attempts on them.

mod pool;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

use calloop::Readiness;
use harrierdock_attempt_guard::ReusePolicy;
use harrierdock_event_loop::{Connection, ConnectionId, ReadResult, ResourceClass, WriteResult};
use harrierdock_http::{write, MessageReader, Progress, ResponseHead};
use harrierdock_types::{AttemptOutcome, BuildId, EndpointId, RequestId};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::metrics::Count;
use crate::runtime::context::{Asked, Body, Notice, Room};
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Due;
use pool::Place;

// The page's names end here.
const FIELD_TXN: &str = "X-Txn";
const FIELD_LEFT: &str = "X-Remaining-Ms";
const FIELD_REFERENCE: &str = "Idempotency-Key";
const FIELD_TURNED_AWAY: &str = "X-Turned-Away";

/// What runs at a place; another start or address is another machine, whose connections are its own.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    pub address: SocketAddr,
    pub up_since: i64,
    pub build: BuildId,
}

/// The attempt that a connection carries.
#[derive(Clone, Copy)]
struct Task {
    id: RequestId,
    attempt: usize,
}

/// What a connection is at work on, and until when it may be.
#[derive(Clone, Copy)]
struct Exchange {
    task: Task,
    /// When it is given up: no connection yet, then no answer yet.
    due: Timestamp,
    until: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    Writing,
    Waiting,
    Idle,
}

struct PooledConnection {
    connection: Connection,
    endpoint: EndpointId,
    machine: Machine,
    phase: Phase,
    reader: MessageReader,
    since: Timestamp,
    exchange: Option<Exchange>,
    /// Where in what goes out the time that is left stands.
    left: Range<usize>,
}

/// Writes how long the attempt may take. Gives back where it stands.
fn field_of_time(out: &mut Vec<u8>, left: TimeDelta) -> Range<usize> {
    write::field(out, FIELD_LEFT, in_ms(left));
    let end = out.len() - "\r\n".len();
    end - in_ms(left).len()..end
}

fn in_ms(span: TimeDelta) -> String {
    (span.0.max(0) / 1000).to_string()
}

pub struct Upstream {
    /// By endpoint, of those that run.
    places: BTreeMap<EndpointId, Place>,
    connections: BTreeMap<ConnectionId, PooledConnection>,
    out: BTreeMap<(RequestId, usize), ConnectionId>,
    connect: TimeDelta,
    pool: ReusePolicy,
}

/// An attempt of whose request the last byte is not written yet.
pub struct Unwritten {
    pub id: RequestId,
    pub attempt: usize,
    /// Its connection leads to where the endpoint is listed now.
    pub placed: bool,
}

fn on_ready(gateway: &mut Gateway, no: ConnectionId, readiness: Readiness) {
    let readiness = gateway.servers.come_up(&mut gateway.room, no, readiness);
    if readiness.writable {
        gateway.withdraw_lapsed(no);
    }
    gateway.servers.serve(&mut gateway.room, no, readiness);
    gateway.settle();
}

impl Upstream {
    pub fn new(connect: TimeDelta, idle: TimeDelta) -> Upstream {
        let pool = ReusePolicy::new(connect, idle);
        Upstream {
            places: BTreeMap::new(),
            connections: BTreeMap::new(),
            out: BTreeMap::new(),
            connect,
            pool,
        }
    }

    /// Sends a request to a endpoint. What cannot be sent is told in the outcome it amounts to.
    pub fn submit(
        &mut self,
        room: &mut Room,
        (id, attempt): (RequestId, usize),
        endpoint: EndpointId,
        wait: TimeDelta,
        asked: &Asked,
    ) -> Result<(), AttemptOutcome> {
        let no = self.connect_or_reuse(room, endpoint, wait, Task { id, attempt })?;
        let Some(pooled) = self.connections.get_mut(&no) else {
            return Err(AttemptOutcome::NotSent);
        };
        let Some(out) = pooled.connection.output_buffer(room) else {
            self.close(room, no);
            return Err(AttemptOutcome::NotSent);
        };
        write::request_line(out, asked.method, asked.target);
        write::field(out, "Host", pooled.machine.address);
        write::field(out, FIELD_TXN, asked.request);
        pooled.left = field_of_time(out, wait);
        if let Some(reference) = asked.reference {
            write::field(out, FIELD_REFERENCE, reference);
        }
        if asked.method == "GET" && asked.body.is_empty() {
            write::end_of_head(out);
        } else {
            write::body(out, asked.body);
        }
        self.out.insert((id, attempt), no);
        self.send(room, no);
        Ok(())
    }

    /// A connection to the endpoint with this exchange on it: the last used that has rested and stands, or a new one.
    fn connect_or_reuse(
        &mut self,
        room: &mut Room,
        endpoint: EndpointId,
        wait: TimeDelta,
        task: Task,
    ) -> Result<ConnectionId, AttemptOutcome> {
        let machine = self
            .places
            .get(&endpoint)
            .map(|p| p.machine)
            .ok_or(AttemptOutcome::ConnectFailed)?;
        let until = room.now() + wait;
        if let Some(no) = self.reuse(
            room,
            endpoint,
            Exchange {
                task,
                due: until,
                until,
            },
        ) {
            return Ok(no);
        }
        if room.descriptors.available() == 0 {
            room.counters.add(Count::NoDescriptor);
            return Err(AttemptOutcome::NotSent);
        }
        let no = room.next_connection_id();
        let call = move |gateway: &mut Gateway, readiness| on_ready(gateway, no, readiness);
        let connection = Connection::connect(room, machine.address, ResourceClass::Upstream, call)
            .map_err(|e| {
                use rustix::io::Errno;
                let ours = [
                    Errno::MFILE,
                    Errno::NFILE,
                    Errno::NOBUFS,
                    Errno::NOMEM,
                    Errno::ADDRNOTAVAIL,
                ];
                let lacking = ours
                    .iter()
                    .any(|o| e.raw_os_error() == Some(o.raw_os_error()));
                if lacking {
                    room.counters.add(Count::NoDescriptor);
                    AttemptOutcome::NotSent
                } else {
                    AttemptOutcome::ConnectFailed
                }
            })?;
        let due = until.min(room.now() + self.connect);
        room.dues.set(due, Due::Submission(no));
        let exchange = Some(Exchange { task, due, until });
        let (phase, reader, since) = (Phase::Connecting, MessageReader::default(), room.now());
        self.connections.insert(
            no,
            PooledConnection {
                connection,
                endpoint,
                machine,
                phase,
                reader,
                since,
                exchange,
                left: 0..0,
            },
        );
        Ok(no)
    }

    /// A connection that was dialled has come up, or has failed. Gives back what is to be served then.
    fn come_up(&mut self, room: &mut Room, no: ConnectionId, readiness: Readiness) -> Readiness {
        let Some(pooled) = self
            .connections
            .get_mut(&no)
            .filter(|l| l.phase == Phase::Connecting)
        else {
            return readiness;
        };
        if pooled.connection.check_connected().is_err() {
            self.fail(room, no, AttemptOutcome::ConnectFailed);
            return readiness;
        }
        room.counters.add(Count::ServersConnected);
        pooled.phase = Phase::Writing;
        if let Some(exchange) = &mut pooled.exchange {
            room.dues.cancel(exchange.due, Due::Submission(no));
            exchange.due = exchange.until;
            room.dues.set(exchange.due, Due::Submission(no));
            // Guards against a endpoint told of more time than its client has: what the connection took to come up is over.
            if !pooled.left.is_empty() {
                let left = in_ms(exchange.until - room.now()).into_bytes();
                pooled.connection.output.splice(pooled.left.clone(), left);
            }
        }
        Readiness {
            writable: true,
            readable: false,
            ..readiness
        }
    }

    /// The attempt on this connection, if its request is not all written.
    pub fn unwritten(&self, no: ConnectionId) -> Option<Unwritten> {
        let pooled = self
            .connections
            .get(&no)
            .filter(|l| matches!(l.phase, Phase::Connecting | Phase::Writing))?;
        let Task { id, attempt } = pooled.exchange?.task;
        let placed = self
            .places
            .get(&pooled.endpoint)
            .is_some_and(|p| p.machine == pooled.machine);
        Some(Unwritten {
            id,
            attempt,
            placed,
        })
    }

    /// Gives up what is not all written: the connection is closed, so the endpoint cannot have started on it.
    pub fn withdraw(&mut self, room: &mut Room, no: ConnectionId) {
        self.fail(room, no, AttemptOutcome::NotSent);
    }

    fn serve(&mut self, room: &mut Room, no: ConnectionId, readiness: Readiness) {
        let Some(pooled) = self.connections.get(&no) else {
            return;
        };
        if readiness.writable && pooled.phase == Phase::Writing {
            self.send(room, no);
        }
        if readiness.readable {
            self.hear(room, no);
        }
    }

    fn send(&mut self, room: &mut Room, no: ConnectionId) {
        let Some(pooled) = self.connections.get_mut(&no) else {
            return;
        };
        if pooled.phase != Phase::Writing {
            return;
        }
        // Guards against writing for a request that is out of time, where sockets come before what is due.
        if pooled.exchange.is_some_and(|e| e.until <= room.now()) {
            return self.give_up(room, no);
        }
        match pooled.connection.flush(room) {
            // Not all of the request was written, so the endpoint cannot have started on it.
            WriteResult::Failed => self.fail(room, no, AttemptOutcome::ConnectFailed),
            WriteResult::Partial => pooled.connection.set_interest(room, true, true),
            WriteResult::Complete => {
                pooled.phase = Phase::Waiting;
                pooled.connection.set_interest(room, true, false);
            }
        }
    }

    fn hear(&mut self, room: &mut Room, no: ConnectionId) {
        let Some(pooled) = self.connections.get_mut(&no) else {
            return;
        };
        let filled = pooled.connection.read(room);
        if filled == ReadResult::WouldBlock {
            return;
        }
        if pooled.phase == Phase::Idle {
            // A kept connection that is closed, or speaks unasked, is of no more use.
            return self.close_kept(room, no);
        }
        if pooled.phase == Phase::Writing {
            // What comes before the request is all written is no answer to it.
            return self.fail(room, no, AttemptOutcome::ConnectFailed);
        }
        let progress = pooled.reader.read_response(&mut pooled.connection.input);
        if progress == Ok(Progress::Complete) {
            self.answered(room, no, filled == ReadResult::Data);
        } else if filled != ReadResult::Data || progress.is_err() || pooled.reader.is_open_ended() {
            self.fail(room, no, AttemptOutcome::Reset);
        } else if !pooled.reader.is_untouched(&pooled.connection.input) {
            self.hurry(room, no);
        }
    }

    /// Guards against an answer that stops half-way, as one does that says it is longer than it is: what has
    /// begun is whole within the time in which a connection comes up, or it has failed.
    fn hurry(&mut self, room: &mut Room, no: ConnectionId) {
        let exchange = self
            .connections
            .get_mut(&no)
            .and_then(|l| l.exchange.as_mut());
        let Some(exchange) = exchange.filter(|e| e.due == e.until) else {
            return;
        };
        room.dues.cancel(exchange.due, Due::Submission(no));
        exchange.due = exchange.until.min(room.now() + self.connect);
        room.dues.set(exchange.due, Due::Submission(no));
    }

    fn answered(&mut self, room: &mut Room, no: ConnectionId, goes_on: bool) {
        let Some(pooled) = self.connections.get_mut(&no) else {
            return;
        };
        let Ok(Some(head)) = ResponseHead::parse(&pooled.connection.input) else {
            return self.fail(room, no, AttemptOutcome::Reset);
        };
        let turned_away = || head.fields.single(FIELD_TURNED_AWAY).ok().flatten() == Some("1");
        let outcome = match head.status {
            200 => AttemptOutcome::Succeeded,
            503 | 504 if turned_away() => AttemptOutcome::Rejected,
            _ => AttemptOutcome::ServerError,
        };
        let keeps = head.keeps_alive() && goes_on && pooled.phase == Phase::Waiting;
        let told = (outcome == AttemptOutcome::Succeeded).then(|| {
            let (body, end) = (pooled.reader.body(), pooled.reader.body().end);
            // Whatever stands behind a whole answer was not asked for, and ends the connection.
            let clean = pooled.connection.input.len() == end;
            (
                Body {
                    buffer: std::mem::take(&mut pooled.connection.input),
                    body,
                },
                clean,
            )
        });
        let clean = told.as_ref().map_or(
            pooled.connection.input.len() == pooled.reader.body().end,
            |t| t.1,
        );
        self.finish_exchange(room, no, outcome, told.map(|t| t.0));
        let Some(pooled) = self.connections.get_mut(&no) else {
            return;
        };
        let place = self
            .places
            .get_mut(&pooled.endpoint)
            .filter(|p| p.machine == pooled.machine);
        let Some(place) = place.filter(|_| keeps && clean) else {
            return self.close(room, no);
        };
        pooled.connection.input.clear();
        pooled.connection.release_empty_buffers(room);
        (pooled.reader, pooled.phase, pooled.since) =
            (MessageReader::default(), Phase::Idle, room.now());
        pooled.connection.set_interest(room, true, false);
        place.kept.push(no);
    }

    /// Tells how the exchange ended; the connection stays.
    fn finish_exchange(
        &mut self,
        room: &mut Room,
        no: ConnectionId,
        outcome: AttemptOutcome,
        told: Option<Body>,
    ) {
        let Some(pooled) = self.connections.get_mut(&no) else {
            return;
        };
        let Some(exchange) = pooled.exchange.take() else {
            return;
        };
        room.dues.cancel(exchange.due, Due::Submission(no));
        let Task { id, attempt } = exchange.task;
        self.out.remove(&(id, attempt));
        room.tell(Notice::Closed {
            id,
            attempt,
            outcome,
            told,
        });
    }

    fn fail(&mut self, room: &mut Room, no: ConnectionId, outcome: AttemptOutcome) {
        self.finish_exchange(room, no, outcome, None);
        self.close(room, no);
    }

    fn close(&mut self, room: &mut Room, no: ConnectionId) {
        if let Some(pooled) = self.connections.remove(&no) {
            if let Some(exchange) = pooled.exchange {
                room.dues.cancel(exchange.due, Due::Submission(no));
            }
            pooled.connection.close(room);
        }
    }

    /// The exchange has had its time: the connection is closed, so that nothing more is written for it.
    pub fn give_up(&mut self, room: &mut Room, no: ConnectionId) {
        let Some(pooled) = self.connections.get(&no) else {
            return;
        };
        let outcome = match pooled.phase {
            Phase::Connecting | Phase::Writing => AttemptOutcome::ConnectFailed,
            Phase::Waiting if pooled.reader.is_untouched(&pooled.connection.input) => {
                AttemptOutcome::TimedOut
            }
            Phase::Waiting => AttemptOutcome::Reset,
            Phase::Idle => return,
        };
        self.fail(room, no, outcome);
    }

    pub fn recall(&mut self, room: &mut Room, id: RequestId, attempt: usize) {
        if let Some(no) = self.out.get(&(id, attempt)).copied() {
            self.fail(room, no, AttemptOutcome::Cancelled);
        }
    }
}
