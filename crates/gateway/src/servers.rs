//! Servers: their addresses, the connections kept to each, and the submissions on them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Range;

use calloop::Readiness;
use harrierdock::interface::{Event, Load, Outcome, ServerIx, TxnId};
use harrierdock::time::{Point, Span};
use harrierdock_http::{write, AnswerHead, Intake, Progress};
use rustix::io::Errno;

use crate::connection::{Connection, Filled, Flushed, Purse};
use crate::counters::Count;
use crate::dues::{ConnectionNo, Due};
use crate::gateway::Gateway;
use crate::pool::Buffer;
use crate::room::{Asked, Notice, Room, Told};

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

#[derive(Default)]
struct Place {
    machine: Option<Machine>,
    /// Connections kept, the last used at the end.
    kept: Vec<ConnectionNo>,
    /// Connections that are not up yet, in the order of their making.
    dialled: VecDeque<ConnectionNo>,
}

#[derive(Clone, Copy)]
enum Task {
    Submission { id: TxnId, attempt: usize },
    Probe,
}

/// What a connection is at work on, and until when it may be.
struct Errand {
    task: Task,
    until: Point,
    /// Where the request states the time left.
    left_at: Range<usize>,
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
    /// When the connection must be up.
    up_by: Point,
    /// When something is given up, if anything may be: the connection's making, then its errand.
    due: Option<Point>,
    errand: Option<Errand>,
}

pub struct Servers {
    places: Vec<Place>,
    lines: BTreeMap<ConnectionNo, Line>,
    out: BTreeMap<(TxnId, usize), ConnectionNo>,
    connect: Span,
    /// How long a connection is kept unused: till a connection's making before the server closes it.
    keep: Span,
}

fn on_ready(gateway: &mut Gateway, no: ConnectionNo, readiness: Readiness) {
    gateway.servers.serve(&mut gateway.room, no, readiness);
    gateway.settle();
}

impl Line {
    fn falls_due(&mut self, room: &mut Room, no: ConnectionNo, due: Option<Point>) {
        if let Some(before) = std::mem::replace(&mut self.due, due) {
            room.dues.clear(before, Due::Submission(no));
        }
        if let Some(at) = due {
            room.dues.set(at, Due::Submission(no));
        }
    }
}

impl Errand {
    /// States the time left anew, in a request that had to wait before it could be written.
    fn restate(&mut self, request: &mut Buffer, now: Point) {
        if !self.left_at.is_empty() {
            let left = ((self.until - now).0 / 1000).max(0).to_string();
            let end = self.left_at.start + left.len();
            request.splice(self.left_at.clone(), left.into_bytes());
            self.left_at.end = end;
        }
    }
}

impl Servers {
    pub fn new(connect: Span, idle: Span) -> Servers {
        let keep = idle - connect;
        Servers { places: Vec::new(), lines: BTreeMap::new(), out: BTreeMap::new(), connect, keep }
    }

    /// Discovery's word on what runs at a place.
    pub fn place(&mut self, room: &mut Room, server: ServerIx, machine: Option<Machine>) {
        if self.places.len() <= server {
            self.places.resize_with(server + 1, Place::default);
        }
        let place = &mut self.places[server];
        if place.machine != machine {
            place.machine = machine;
            let (kept, dialled) = (std::mem::take(&mut place.kept), std::mem::take(&mut place.dialled));
            kept.into_iter().for_each(|no| self.drop_line(room, no));
            // Those that carry an errand end with it.
            let free = |no: &ConnectionNo| self.lines.get(no).is_some_and(|l| l.errand.is_none());
            let free: Vec<ConnectionNo> = dialled.into_iter().filter(free).collect();
            free.into_iter().for_each(|no| self.drop_line(room, no));
        }
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
        let no = self.line_to(room, server)?;
        let Some(line) = self.lines.get_mut(&no) else { return Err(Outcome::Moot) };
        let Some(out) = line.connection.out(room) else {
            self.drop_line(room, no);
            return Err(Outcome::Moot);
        };
        write::request_line(out, asked.method, asked.target);
        write::field(out, "Host", line.machine.address);
        write::field(out, FIELD_TXN, asked.txn);
        write::field(out, FIELD_LEFT, wait.0 / 1000);
        let end = out.len() - "\r\n".len();
        let left_at = end - (wait.0 / 1000).to_string().len()..end;
        if let Some(reference) = asked.reference {
            write::field(out, FIELD_REFERENCE, reference);
        }
        if asked.method == "GET" && asked.body.is_empty() {
            write::end(out);
        } else {
            write::body(out, asked.body);
        }
        self.out.insert((id, attempt), no);
        let until = room.now() + wait;
        self.begin(room, no, Errand { task: Task::Submission { id, attempt }, until, left_at });
        Ok(())
    }

    pub fn probe(&mut self, room: &mut Room, server: ServerIx) {
        let probed = |outcome| Notice::Event(Event::Probed { server, outcome, load: Load::default() });
        let no = match self.line_to(room, server) {
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
        let until = room.now() + self.connect;
        self.begin(room, no, Errand { task: Task::Probe, until, left_at: 0..0 });
    }

    /// A connection to the server that is at work on nothing: the last used that still stands, one that is on
    /// its way up, or a new one.
    fn line_to(&mut self, room: &mut Room, server: ServerIx) -> Result<ConnectionNo, Outcome> {
        let place = self.places.get_mut(server).ok_or(Outcome::ConnectFailed)?;
        let machine = place.machine.ok_or(Outcome::ConnectFailed)?;
        // Guards against a kept connection that the server has closed, or is about to close.
        while let Some(no) = self.places[server].kept.pop() {
            let edge = room.now() - self.keep;
            let Some(line) = self.lines.get_mut(&no) else { continue };
            if line.since <= edge || !line.connection.stands() {
                room.counters.add(Count::KeptWasClosed);
                self.drop_line(room, no);
                continue;
            }
            room.counters.add(Count::Reused);
            return Ok(no);
        }
        let free = |no: &&ConnectionNo| self.lines.get(no).is_some_and(|l| l.errand.is_none());
        if let Some(no) = self.places[server].dialled.iter().find(free) {
            return Ok(*no);
        }
        if room.descriptors.spare() == 0 {
            room.counters.add(Count::NoDescriptor);
            return Err(Outcome::Moot);
        }
        self.dial(room, server, machine)
    }

    fn dial(&mut self, room: &mut Room, server: ServerIx, machine: Machine) -> Result<ConnectionNo, Outcome> {
        let no = room.next_connection();
        let call = move |gateway: &mut Gateway, readiness| on_ready(gateway, no, readiness);
        let connection = Connection::dial(room, machine.address, Purse::Budget, call).map_err(|e| {
            let ours = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
            if ours.iter().any(|o| e.raw_os_error() == Some(o.raw_os_error())) {
                room.counters.add(Count::NoDescriptor);
                return Outcome::Moot;
            }
            Outcome::ConnectFailed
        })?;
        let (intake, since) = (Intake::default(), room.now());
        let (phase, up_by) = (Phase::Connecting, since + self.connect);
        let line = Line { connection, server, machine, phase, intake, since, up_by, due: None, errand: None };
        self.lines.insert(no, line);
        self.places[server].dialled.push_back(no);
        Ok(no)
    }

    /// Puts an errand, whose request is written out already, on a connection.
    fn begin(&mut self, room: &mut Room, no: ConnectionNo, errand: Errand) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        let until = errand.until;
        line.errand = Some(errand);
        if line.phase == Phase::Connecting {
            let due = until.min(line.up_by);
            return line.falls_due(room, no, Some(due));
        }
        (line.phase, line.since) = (Phase::Writing, room.now());
        line.falls_due(room, no, Some(until));
        self.send(room, no);
    }

    fn serve(&mut self, room: &mut Room, no: ConnectionNo, readiness: Readiness) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        if line.phase == Phase::Connecting {
            return self.comes_up(room, no);
        }
        if readiness.writable && line.phase == Phase::Writing {
            self.send(room, no);
        }
        if readiness.readable {
            self.hear(room, no);
        }
    }

    fn comes_up(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        self.places[line.server].dialled.retain(|dialled| *dialled != no);
        if line.connection.is_up().is_err() {
            return self.fail(room, no, Outcome::ConnectFailed);
        }
        room.counters.add(Count::ServersConnected);
        let Some(errand) = &mut line.errand else { return self.rest(room, no) };
        let until = errand.until;
        errand.restate(&mut line.connection.output, room.now());
        line.phase = Phase::Writing;
        line.falls_due(room, no, Some(until));
        self.send(room, no);
    }

    /// A connection has nothing to do: it takes over a submission that waits for one of its own to come up, or
    /// is kept. Guards against submissions that a busy server's slow handshakes keep waiting, or make fail,
    /// while connections to it stand idle.
    fn rest(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        let (server, machine) = (line.server, line.machine);
        (line.intake, line.phase, line.since) = (Intake::default(), Phase::Idle, room.now());
        line.falls_due(room, no, None);
        line.connection.wants(room, true, false);
        if self.places[server].machine != Some(machine) {
            return self.drop_line(room, no);
        }
        let waits = |no: &&ConnectionNo| self.lines.get(no).is_some_and(|l| l.errand.is_some());
        let Some(other) = self.places[server].dialled.iter().find(waits).copied() else {
            return self.places[server].kept.push(no);
        };
        let Some(waiting) = self.lines.get_mut(&other) else { return };
        let Some(mut errand) = waiting.errand.take() else { return };
        let mut request = std::mem::take(&mut waiting.connection.output);
        let up_by = waiting.up_by;
        waiting.falls_due(room, other, Some(up_by));
        errand.restate(&mut request, room.now());
        if let Some(line) = self.lines.get_mut(&no) {
            line.connection.output = request;
        }
        if let Task::Submission { id, attempt } = errand.task {
            self.out.insert((id, attempt), no);
        }
        room.counters.add(Count::TakenOver);
        self.begin(room, no, errand);
    }

    fn send(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        if line.phase != Phase::Writing {
            return;
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
        let ended = match line.connection.fill(room) {
            Filled::Nothing => return,
            Filled::Some => false,
            Filled::Ended | Filled::Failed | Filled::Full => true,
        };
        if line.phase == Phase::Idle {
            // A kept connection that is closed, or speaks unasked, is of no more use.
            let server = line.server;
            self.places[server].kept.retain(|kept| *kept != no);
            return self.drop_line(room, no);
        }
        let progress = line.intake.answer(&mut line.connection.input);
        let whole =
            matches!(progress, Ok(Progress::Whole)) || (ended && progress.is_ok() && line.intake.ends());
        if whole {
            self.answered(room, no, ended);
        } else if ended || progress.is_err() {
            let unwritten = line.phase == Phase::Writing;
            self.fail(room, no, if unwritten { Outcome::ConnectFailed } else { Outcome::Reset });
        }
    }

    fn answered(&mut self, room: &mut Room, no: ConnectionNo, ended: bool) {
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
        let keeps = head.keeps() && !ended && line.phase == Phase::Waiting;
        let told = (outcome == Outcome::Served).then(|| {
            let (body, end) = (line.intake.body(), line.intake.body().end);
            // Whatever stands behind a whole answer was not asked for, and ends the connection.
            let clean = line.connection.input.len() == end;
            (Told { buffer: std::mem::take(&mut line.connection.input), body }, clean)
        });
        let clean = told.as_ref().map_or(line.connection.input.len() == line.intake.body().end, |t| t.1);
        self.close_errand(room, no, outcome, told.map(|t| t.0));
        if !keeps || !clean {
            return self.drop_line(room, no);
        }
        if let Some(line) = self.lines.get_mut(&no) {
            line.connection.input.clear();
            line.connection.release_empty(room);
        }
        self.rest(room, no);
    }

    /// Tells how the errand ended; the connection stays.
    fn close_errand(&mut self, room: &mut Room, no: ConnectionNo, outcome: Outcome, told: Option<Told>) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        let Some(errand) = line.errand.take() else { return };
        line.falls_due(room, no, None);
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
        if let Some(mut line) = self.lines.remove(&no) {
            line.falls_due(room, no, None);
            self.places[line.server].dialled.retain(|dialled| *dialled != no);
            line.connection.close(room);
        }
    }

    /// The errand has had its time: the connection is closed, so that nothing more is written for it.
    pub fn give_up(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(line) = self.lines.get(&no) else { return };
        let outcome = match line.phase {
            Phase::Connecting | Phase::Writing => Outcome::ConnectFailed,
            Phase::Waiting => Outcome::TimedOut,
            Phase::Idle => return,
        };
        self.fail(room, no, outcome);
    }

    pub fn recall(&mut self, room: &mut Room, id: TxnId, attempt: usize) {
        if let Some(no) = self.out.get(&(id, attempt)).copied() {
            self.fail(room, no, Outcome::Recalled);
        }
    }

    /// Closes what was kept for too long.
    pub fn tend(&mut self, room: &mut Room) {
        let edge = room.now() - self.keep;
        let old = |l: &Line| l.phase == Phase::Idle && l.since <= edge;
        let old: Vec<ConnectionNo> = self.lines.iter().filter(|(_, l)| old(l)).map(|(no, _)| *no).collect();
        old.into_iter().for_each(|no| self.close_kept(room, no));
    }

    fn close_kept(&mut self, room: &mut Room, no: ConnectionNo) {
        if let Some(line) = self.lines.get(&no) {
            self.places[line.server].kept.retain(|kept| *kept != no);
        }
        self.drop_line(room, no);
    }

    /// Closes the connection that was kept unused longest. Gives back whether there was one.
    pub fn close_idle(&mut self, room: &mut Room) -> bool {
        let idle = self.lines.iter().filter(|(_, l)| l.phase == Phase::Idle);
        let oldest = idle.min_by_key(|(_, l)| l.since).map(|(no, _)| *no);
        oldest.inspect(|no| self.close_kept(room, *no)).is_some()
    }
}
