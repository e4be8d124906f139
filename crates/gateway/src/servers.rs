//! Servers: their addresses, the connections kept to each, and the submissions on them.

mod pool;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

use calloop::Readiness;
use harrierdock::interface::{Event, Load, Outcome, ServerIx, TxnId};
use harrierdock::time::{Point, Span};
use harrierdock_attempts::Pool;
use harrierdock_http::{write, AnswerHead, Intake, Progress};
use harrierdock_net::{Connection, ConnectionNo, Filled, Flushed, Purse};

use crate::counters::Count;
use crate::due::Due;
use crate::gateway::Gateway;
use crate::room::{Asked, Body, Notice, Room};
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
struct Errand {
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

struct Line {
    connection: Connection,
    server: ServerIx,
    machine: Machine,
    phase: Phase,
    intake: Intake,
    since: Point,
    errand: Option<Errand>,
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
    lines: BTreeMap<ConnectionNo, Line>,
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
        Servers { places: BTreeMap::new(), lines: BTreeMap::new(), out: BTreeMap::new(), connect, pool }
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
        let no = self.line_to(room, server, wait, Task::Submission { id, attempt })?;
        let Some(line) = self.lines.get_mut(&no) else { return Err(Outcome::Moot) };
        let Some(out) = line.connection.out(room) else {
            self.drop_line(room, no);
            return Err(Outcome::Moot);
        };
        write::request_line(out, asked.method, asked.target);
        write::field(out, "Host", line.machine.address);
        write::field(out, FIELD_TXN, asked.txn);
        line.left = field_of_time(out, wait);
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
        let no = match self.line_to(room, server, self.connect, Task::Probe) {
            Ok(no) => no,
            Err(outcome) => return room.tell(probed(outcome)),
        };
        let Some(line) = self.lines.get_mut(&no) else { return };
        let Some(out) = line.connection.out(room) else {
            self.drop_line(room, no);
            return room.tell(probed(Outcome::Moot));
        };
        write::request_line(out, "GET", PATH_HEALTH);
        write::field(out, "Host", line.machine.address);
        write::end(out);
        self.send(room, no);
    }

    /// A connection to the server with this errand on it: the last used that has rested and stands, or a new one.
    fn line_to(
        &mut self,
        room: &mut Room,
        server: ServerIx,
        wait: Span,
        task: Task,
    ) -> Result<ConnectionNo, Outcome> {
        let machine = self.places.get(&server).map(|p| p.machine).ok_or(Outcome::ConnectFailed)?;
        let until = room.now() + wait;
        if let Some(no) = self.reuse(room, server, Errand { task, due: until, until }) {
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
        let errand = Some(Errand { task, due, until });
        let (phase, intake, since) = (Phase::Connecting, Intake::default(), room.now());
        self.lines.insert(no, Line { connection, server, machine, phase, intake, since, errand, left: 0..0 });
        Ok(no)
    }

    /// A connection that was dialled has come up, or has failed. Gives back what is to be served then.
    fn come_up(&mut self, room: &mut Room, no: ConnectionNo, readiness: Readiness) -> Readiness {
        let Some(line) = self.lines.get_mut(&no).filter(|l| l.phase == Phase::Connecting) else {
            return readiness;
        };
        if line.connection.is_up().is_err() {
            self.fail(room, no, Outcome::ConnectFailed);
            return readiness;
        }
        room.counters.add(Count::ServersConnected);
        line.phase = Phase::Writing;
        if let Some(errand) = &mut line.errand {
            room.dues.clear(errand.due, Due::Submission(no));
            errand.due = errand.until;
            room.dues.set(errand.due, Due::Submission(no));
            // Guards against a server told of more time than its client has: what the connection took to come up is over.
            if !line.left.is_empty() {
                let left = in_ms(errand.until - room.now()).into_bytes();
                line.connection.output.splice(line.left.clone(), left);
            }
        }
        Readiness { writable: true, readable: false, ..readiness }
    }

    /// The attempt on this connection, if its request is not all written.
    pub fn unwritten(&self, no: ConnectionNo) -> Option<Unwritten> {
        let line = self.lines.get(&no).filter(|l| matches!(l.phase, Phase::Connecting | Phase::Writing))?;
        let Task::Submission { id, attempt } = line.errand?.task else { return None };
        let placed = self.places.get(&line.server).is_some_and(|p| p.machine == line.machine);
        Some(Unwritten { id, attempt, placed })
    }

    /// Gives up what is not all written: the connection is closed, so the server cannot have started on it.
    pub fn withdraw(&mut self, room: &mut Room, no: ConnectionNo) {
        self.fail(room, no, Outcome::Moot);
    }

    fn serve(&mut self, room: &mut Room, no: ConnectionNo, readiness: Readiness) {
        let Some(line) = self.lines.get(&no) else { return };
        if readiness.writable && line.phase == Phase::Writing {
            self.send(room, no);
        }
        if readiness.readable {
            self.hear(room, no);
        }
    }

    fn send(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        if line.phase != Phase::Writing {
            return;
        }
        // Guards against writing for a txn that is out of time, where sockets come before what is due.
        if line.errand.is_some_and(|e| e.until <= room.now()) {
            return self.give_up(room, no);
        }
        match line.connection.flush(room) {
            // Not all of the request was written, so the server cannot have started on it.
            Flushed::Failed => self.fail(room, no, Outcome::ConnectFailed),
            Flushed::Part => line.connection.wants(room, true, true),
            Flushed::All => {
                line.phase = Phase::Waiting;
                line.connection.wants(room, true, false);
            }
        }
    }

    fn hear(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        let filled = line.connection.fill(room);
        if filled == Filled::Nothing {
            return;
        }
        if line.phase == Phase::Idle {
            // A kept connection that is closed, or speaks unasked, is of no more use.
            return self.close_kept(room, no);
        }
        if line.phase == Phase::Writing {
            // What comes before the request is all written is no answer to it.
            return self.fail(room, no, Outcome::ConnectFailed);
        }
        let progress = line.intake.answer(&mut line.connection.input);
        if progress == Ok(Progress::Whole) {
            self.answered(room, no, filled == Filled::Some);
        } else if filled != Filled::Some || progress.is_err() || line.intake.is_open_ended() {
            self.fail(room, no, Outcome::Reset);
        } else if !line.intake.untouched(&line.connection.input) {
            self.hurry(room, no);
        }
    }

    /// Guards against an answer that stops half-way, as one does that says it is longer than it is: what has
    /// begun is whole within the time in which a connection comes up, or it has failed.
    fn hurry(&mut self, room: &mut Room, no: ConnectionNo) {
        let errand = self.lines.get_mut(&no).and_then(|l| l.errand.as_mut());
        let Some(errand) = errand.filter(|e| e.due == e.until) else { return };
        room.dues.clear(errand.due, Due::Submission(no));
        errand.due = errand.until.min(room.now() + self.connect);
        room.dues.set(errand.due, Due::Submission(no));
    }

    fn answered(&mut self, room: &mut Room, no: ConnectionNo, goes_on: bool) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        let Ok(Some(head)) = AnswerHead::read(&line.connection.input) else {
            return self.fail(room, no, Outcome::Reset);
        };
        let turned_away = || head.fields.one(FIELD_TURNED_AWAY).ok().flatten() == Some("1");
        let outcome = match head.status {
            200 => Outcome::Served,
            503 | 504 if turned_away() => Outcome::Full,
            _ => Outcome::Errored,
        };
        let keeps = head.keeps() && goes_on && line.phase == Phase::Waiting;
        let told = (outcome == Outcome::Served).then(|| {
            let (body, end) = (line.intake.body(), line.intake.body().end);
            // Whatever stands behind a whole answer was not asked for, and ends the connection.
            let clean = line.connection.input.len() == end;
            (Body { buffer: std::mem::take(&mut line.connection.input), body }, clean)
        });
        let clean = told.as_ref().map_or(line.connection.input.len() == line.intake.body().end, |t| t.1);
        self.close_errand(room, no, outcome, told.map(|t| t.0));
        let Some(line) = self.lines.get_mut(&no) else { return };
        let place = self.places.get_mut(&line.server).filter(|p| p.machine == line.machine);
        let Some(place) = place.filter(|_| keeps && clean) else { return self.drop_line(room, no) };
        line.connection.input.clear();
        line.connection.release_empty(room);
        (line.intake, line.phase, line.since) = (Intake::default(), Phase::Idle, room.now());
        line.connection.wants(room, true, false);
        place.kept.push(no);
    }

    /// Tells how the errand ended; the connection stays.
    fn close_errand(&mut self, room: &mut Room, no: ConnectionNo, outcome: Outcome, told: Option<Body>) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        let Some(errand) = line.errand.take() else { return };
        room.dues.clear(errand.due, Due::Submission(no));
        match errand.task {
            Task::Submission { id, attempt } => {
                self.out.remove(&(id, attempt));
                room.tell(Notice::Closed { id, attempt, outcome, told });
            }
            Task::Probe => {
                if let Some(mut told) = told {
                    room.pool.give_back(&mut told.buffer);
                }
                let server = line.server;
                room.tell(Notice::Event(Event::Probed { server, outcome, load: Load::default() }));
            }
        }
    }

    fn fail(&mut self, room: &mut Room, no: ConnectionNo, outcome: Outcome) {
        self.close_errand(room, no, outcome, None);
        self.drop_line(room, no);
    }

    fn drop_line(&mut self, room: &mut Room, no: ConnectionNo) {
        if let Some(line) = self.lines.remove(&no) {
            if let Some(errand) = line.errand {
                room.dues.clear(errand.due, Due::Submission(no));
            }
            line.connection.close(room);
        }
    }

    /// The errand has had its time: the connection is closed, so that nothing more is written for it.
    pub fn give_up(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(line) = self.lines.get(&no) else { return };
        let outcome = match line.phase {
            Phase::Connecting | Phase::Writing => Outcome::ConnectFailed,
            Phase::Waiting if line.intake.untouched(&line.connection.input) => Outcome::TimedOut,
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
