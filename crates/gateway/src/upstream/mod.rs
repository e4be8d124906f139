//! Servers: their addresses, the connections kept to each, and the submissions on them.

mod pool;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

use calloop::Readiness;
use harrierdock_attempt_guard::Pool;
use harrierdock_event_loop::{Connection, ConnectionNo, Filled, Flushed, Purse};
use harrierdock_http::{write, AnswerHead, Intake, Progress};
use harrierdock_types::interface::{Event, Load, Outcome, ServerIx, TxnId};
use harrierdock_types::time::{Point, Span};

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
const PATH_HEALTH: &str = "/health";

/// What runs at a place; another start or address is another machine, whose connections are its own.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    pub address: SocketAddr,
    pub up_since: i64,
    pub build: u32,
}

#[derive(Clone, Copy)]
enum Task {
    Submission { id: TxnId, attempt: usize },
    Probe,
}

/// What a connection is at work on, and until when it may be.
#[derive(Clone, Copy)]
struct Exchange {
    task: Task,
    /// When it is given up: no connection yet, then no answer yet.
    due: Point,
    until: Point,
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
    server: ServerIx,
    machine: Machine,
    phase: Phase,
    intake: Intake,
    since: Point,
    exchange: Option<Exchange>,
    /// Where in what goes out the time that is left stands.
    left: Range<usize>,
}

/// Writes how long the attempt may take. Gives back where it stands.
fn field_of_time(out: &mut Vec<u8>, left: Span) -> Range<usize> {
    write::field(out, FIELD_LEFT, in_ms(left));
    let end = out.len() - "\r\n".len();
    end - in_ms(left).len()..end
}

fn in_ms(span: Span) -> String {
    (span.0.max(0) / 1000).to_string()
}

pub struct Servers {
    /// By server, of those that run.
    places: BTreeMap<ServerIx, Place>,
    connections: BTreeMap<ConnectionNo, PooledConnection>,
    out: BTreeMap<(TxnId, usize), ConnectionNo>,
    connect: Span,
    pool: Pool,
}

/// An attempt of whose request the last byte is not written yet.
pub struct Unwritten {
    pub id: TxnId,
    pub attempt: usize,
    /// Its connection leads to where the server is listed now.
    pub placed: bool,
}

fn on_ready(gateway: &mut Gateway, no: ConnectionNo, readiness: Readiness) {
    let readiness = gateway.servers.come_up(&mut gateway.room, no, readiness);
    if readiness.writable {
        gateway.withdraw_lapsed(no);
    }
    gateway.servers.serve(&mut gateway.room, no, readiness);
    gateway.settle();
}

impl Servers {
    pub fn new(connect: Span, idle: Span) -> Servers {
        let pool = Pool::new(connect, idle);
        Servers { places: BTreeMap::new(), connections: BTreeMap::new(), out: BTreeMap::new(), connect, pool }
    }

    /// Sends a txn to a server. What cannot be sent is told in the outcome it amounts to.
    pub fn submit(
        &mut self,
        room: &mut Room,
        (id, attempt): (TxnId, usize),
        server: ServerIx,
        wait: Span,
        asked: &Asked,
    ) -> Result<(), Outcome> {
        let no = self.connect_or_reuse(room, server, wait, Task::Submission { id, attempt })?;
        let Some(pooled) = self.connections.get_mut(&no) else { return Err(Outcome::Moot) };
        let Some(out) = pooled.connection.out(room) else {
            self.close(room, no);
            return Err(Outcome::Moot);
        };
        write::request_line(out, asked.method, asked.target);
        write::field(out, "Host", pooled.machine.address);
        write::field(out, FIELD_TXN, asked.txn);
        pooled.left = field_of_time(out, wait);
        if let Some(reference) = asked.reference {
            write::field(out, FIELD_REFERENCE, reference);
        }
        if asked.method == "GET" && asked.body.is_empty() {
            write::end(out);
        } else {
            write::body(out, asked.body);
        }
        self.out.insert((id, attempt), no);
        self.send(room, no);
        Ok(())
    }

    pub fn probe(&mut self, room: &mut Room, server: ServerIx) {
        let probed = |outcome| Notice::Event(Event::Probed { server, outcome, load: Load::default() });
        let no = match self.connect_or_reuse(room, server, self.connect, Task::Probe) {
            Ok(no) => no,
            Err(outcome) => return room.tell(probed(outcome)),
        };
        let Some(pooled) = self.connections.get_mut(&no) else { return };
        let Some(out) = pooled.connection.out(room) else {
            self.close(room, no);
            return room.tell(probed(Outcome::Moot));
        };
        write::request_line(out, "GET", PATH_HEALTH);
        write::field(out, "Host", pooled.machine.address);
        write::end(out);
        self.send(room, no);
    }

    /// A connection to the server with this exchange on it: the last used that has rested and stands, or a new one.
    fn connect_or_reuse(
        &mut self,
        room: &mut Room,
        server: ServerIx,
        wait: Span,
        task: Task,
    ) -> Result<ConnectionNo, Outcome> {
        let machine = self.places.get(&server).map(|p| p.machine).ok_or(Outcome::ConnectFailed)?;
        let until = room.now() + wait;
        if let Some(no) = self.reuse(room, server, Exchange { task, due: until, until }) {
            return Ok(no);
        }
        if room.descriptors.spare() == 0 {
            room.counters.add(Count::NoDescriptor);
            return Err(Outcome::Moot);
        }
        let no = room.next_connection();
        let call = move |gateway: &mut Gateway, readiness| on_ready(gateway, no, readiness);
        let connection = Connection::dial(room, machine.address, Purse::Server, call).map_err(|e| {
            use rustix::io::Errno;
            let ours = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
            let lacking = ours.iter().any(|o| e.raw_os_error() == Some(o.raw_os_error()));
            if lacking {
                room.counters.add(Count::NoDescriptor);
                Outcome::Moot
            } else {
                Outcome::ConnectFailed
            }
        })?;
        let due = until.min(room.now() + self.connect);
        room.dues.set(due, Due::Submission(no));
        let exchange = Some(Exchange { task, due, until });
        let (phase, intake, since) = (Phase::Connecting, Intake::default(), room.now());
        self.connections.insert(
            no,
            PooledConnection { connection, server, machine, phase, intake, since, exchange, left: 0..0 },
        );
        Ok(no)
    }

    /// A connection that was dialled has come up, or has failed. Gives back what is to be served then.
    fn come_up(&mut self, room: &mut Room, no: ConnectionNo, readiness: Readiness) -> Readiness {
        let Some(pooled) = self.connections.get_mut(&no).filter(|l| l.phase == Phase::Connecting) else {
            return readiness;
        };
        if pooled.connection.is_up().is_err() {
            self.fail(room, no, Outcome::ConnectFailed);
            return readiness;
        }
        room.counters.add(Count::ServersConnected);
        pooled.phase = Phase::Writing;
        if let Some(exchange) = &mut pooled.exchange {
            room.dues.clear(exchange.due, Due::Submission(no));
            exchange.due = exchange.until;
            room.dues.set(exchange.due, Due::Submission(no));
            // Guards against a server told of more time than its client has: what the connection took to come up is over.
            if !pooled.left.is_empty() {
                let left = in_ms(exchange.until - room.now()).into_bytes();
                pooled.connection.output.splice(pooled.left.clone(), left);
            }
        }
        Readiness { writable: true, readable: false, ..readiness }
    }

    /// The attempt on this connection, if its request is not all written.
    pub fn unwritten(&self, no: ConnectionNo) -> Option<Unwritten> {
        let pooled =
            self.connections.get(&no).filter(|l| matches!(l.phase, Phase::Connecting | Phase::Writing))?;
        let Task::Submission { id, attempt } = pooled.exchange?.task else { return None };
        let placed = self.places.get(&pooled.server).is_some_and(|p| p.machine == pooled.machine);
        Some(Unwritten { id, attempt, placed })
    }

    /// Gives up what is not all written: the connection is closed, so the server cannot have started on it.
    pub fn withdraw(&mut self, room: &mut Room, no: ConnectionNo) {
        self.fail(room, no, Outcome::Moot);
    }

    fn serve(&mut self, room: &mut Room, no: ConnectionNo, readiness: Readiness) {
        let Some(pooled) = self.connections.get(&no) else { return };
        if readiness.writable && pooled.phase == Phase::Writing {
            self.send(room, no);
        }
        if readiness.readable {
            self.hear(room, no);
        }
    }

    fn send(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(pooled) = self.connections.get_mut(&no) else { return };
        if pooled.phase != Phase::Writing {
            return;
        }
        // Guards against writing for a txn that is out of time, where sockets come before what is due.
        if pooled.exchange.is_some_and(|e| e.until <= room.now()) {
            return self.give_up(room, no);
        }
        match pooled.connection.flush(room) {
            // Not all of the request was written, so the server cannot have started on it.
            Flushed::Failed => self.fail(room, no, Outcome::ConnectFailed),
            Flushed::Part => pooled.connection.wants(room, true, true),
            Flushed::All => {
                pooled.phase = Phase::Waiting;
                pooled.connection.wants(room, true, false);
            }
        }
    }

    fn hear(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(pooled) = self.connections.get_mut(&no) else { return };
        let filled = pooled.connection.fill(room);
        if filled == Filled::Nothing {
            return;
        }
        if pooled.phase == Phase::Idle {
            // A kept connection that is closed, or speaks unasked, is of no more use.
            return self.close_kept(room, no);
        }
        if pooled.phase == Phase::Writing {
            // What comes before the request is all written is no answer to it.
            return self.fail(room, no, Outcome::ConnectFailed);
        }
        let progress = pooled.intake.answer(&mut pooled.connection.input);
        if progress == Ok(Progress::Whole) {
            self.answered(room, no, filled == Filled::Some);
        } else if filled != Filled::Some || progress.is_err() || pooled.intake.is_open_ended() {
            self.fail(room, no, Outcome::Reset);
        } else if !pooled.intake.untouched(&pooled.connection.input) {
            self.hurry(room, no);
        }
    }

    /// Guards against an answer that stops half-way, as one does that says it is longer than it is: what has
    /// begun is whole within the time in which a connection comes up, or it has failed.
    fn hurry(&mut self, room: &mut Room, no: ConnectionNo) {
        let exchange = self.connections.get_mut(&no).and_then(|l| l.exchange.as_mut());
        let Some(exchange) = exchange.filter(|e| e.due == e.until) else { return };
        room.dues.clear(exchange.due, Due::Submission(no));
        exchange.due = exchange.until.min(room.now() + self.connect);
        room.dues.set(exchange.due, Due::Submission(no));
    }

    fn answered(&mut self, room: &mut Room, no: ConnectionNo, goes_on: bool) {
        let Some(pooled) = self.connections.get_mut(&no) else { return };
        let Ok(Some(head)) = AnswerHead::read(&pooled.connection.input) else {
            return self.fail(room, no, Outcome::Reset);
        };
        let turned_away = || head.fields.one(FIELD_TURNED_AWAY).ok().flatten() == Some("1");
        let outcome = match head.status {
            200 => Outcome::Served,
            503 | 504 if turned_away() => Outcome::Full,
            _ => Outcome::Errored,
        };
        let keeps = head.keeps() && goes_on && pooled.phase == Phase::Waiting;
        let told = (outcome == Outcome::Served).then(|| {
            let (body, end) = (pooled.intake.body(), pooled.intake.body().end);
            // Whatever stands behind a whole answer was not asked for, and ends the connection.
            let clean = pooled.connection.input.len() == end;
            (Body { buffer: std::mem::take(&mut pooled.connection.input), body }, clean)
        });
        let clean = told.as_ref().map_or(pooled.connection.input.len() == pooled.intake.body().end, |t| t.1);
        self.finish_exchange(room, no, outcome, told.map(|t| t.0));
        let Some(pooled) = self.connections.get_mut(&no) else { return };
        let place = self.places.get_mut(&pooled.server).filter(|p| p.machine == pooled.machine);
        let Some(place) = place.filter(|_| keeps && clean) else { return self.close(room, no) };
        pooled.connection.input.clear();
        pooled.connection.release_empty(room);
        (pooled.intake, pooled.phase, pooled.since) = (Intake::default(), Phase::Idle, room.now());
        pooled.connection.wants(room, true, false);
        place.kept.push(no);
    }

    /// Tells how the exchange ended; the connection stays.
    fn finish_exchange(&mut self, room: &mut Room, no: ConnectionNo, outcome: Outcome, told: Option<Body>) {
        let Some(pooled) = self.connections.get_mut(&no) else { return };
        let Some(exchange) = pooled.exchange.take() else { return };
        room.dues.clear(exchange.due, Due::Submission(no));
        match exchange.task {
            Task::Submission { id, attempt } => {
                self.out.remove(&(id, attempt));
                room.tell(Notice::Closed { id, attempt, outcome, told });
            }
            Task::Probe => {
                if let Some(mut told) = told {
                    room.pool.give_back(&mut told.buffer);
                }
                let server = pooled.server;
                room.tell(Notice::Event(Event::Probed { server, outcome, load: Load::default() }));
            }
        }
    }

    fn fail(&mut self, room: &mut Room, no: ConnectionNo, outcome: Outcome) {
        self.finish_exchange(room, no, outcome, None);
        self.close(room, no);
    }

    fn close(&mut self, room: &mut Room, no: ConnectionNo) {
        if let Some(pooled) = self.connections.remove(&no) {
            if let Some(exchange) = pooled.exchange {
                room.dues.clear(exchange.due, Due::Submission(no));
            }
            pooled.connection.close(room);
        }
    }

    /// The exchange has had its time: the connection is closed, so that nothing more is written for it.
    pub fn give_up(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(pooled) = self.connections.get(&no) else { return };
        let outcome = match pooled.phase {
            Phase::Connecting | Phase::Writing => Outcome::ConnectFailed,
            Phase::Waiting if pooled.intake.untouched(&pooled.connection.input) => Outcome::TimedOut,
            Phase::Waiting => Outcome::Reset,
            Phase::Idle => return,
        };
        self.fail(room, no, outcome);
    }

    pub fn recall(&mut self, room: &mut Room, id: TxnId, attempt: usize) {
        if let Some(no) = self.out.get(&(id, attempt)).copied() {
            self.fail(room, no, Outcome::Recalled);
        }
    }
}
