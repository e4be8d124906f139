//! Clients: the listener, their connections, the requests on them and the answers.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use harrierdock::interface::TxnId;
use harrierdock::time::{Point, Span};
use harrierdock_http::{write, Fault, Intake, Progress, RequestHead};
use harrierdock_net::{Connection, ConnectionNo, Filled, Flushed, Purse};
use indexmap::IndexSet;
use socket2::{Domain, Protocol, Socket, Type};

use crate::counters::Count;
use crate::gateway::Gateway;
use crate::request::{asked, Request};
use crate::room::{Asked, Body, Notice, Room};

const BACKLOG: i32 = 1024;
/// Connections taken in one go, so that a flood of them gives way to what is under way.
const ACCEPT_MOST: usize = 64;
/// The protocol lets a connection without an open request be closed after this.
pub const UNUSED: Span = Span(2_000_000);
/// The protocol lets clients hold one in this many descriptors for requests, at the most.
const REQUESTS_PART: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading,
    Waiting(TxnId),
    /// An answer goes out; then the connection is kept, or it is not.
    Answering {
        kept: bool,
    },
    /// All is said; what the client still sends is passed over until it ends.
    Parting,
}

/// How a connection stands on which no txn is under way, in the order in which they make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
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

struct Client {
    connection: Connection,
    intake: Intake,
    phase: Phase,
    /// Whether the client wants the connection kept after this request.
    keeps: bool,
    /// Since when it stands as it does; a first request counts from the connection's coming.
    since: Point,
    /// Where it is noted as one that may make room.
    standing: Option<(Standing, Point)>,
}

impl Client {
    fn stands(&self) -> Option<(Standing, Point)> {
        let standing = match self.phase {
            Phase::Waiting(_) => return None,
            Phase::Reading if !self.intake.untouched(&self.connection.input) => Standing::Unfinished,
            Phase::Reading if self.keeps => Standing::Unused,
            Phase::Reading => Standing::Silent,
            Phase::Answering { .. } => Standing::Unread,
            Phase::Parting => Standing::Parting,
        };
        Some((standing, self.since))
    }
}

/// A txn whose client waits.
struct Asker {
    no: ConnectionNo,
    name: String,
}

/// What a txn was answered with.
pub enum Answer {
    Settled(Body),
    Declined { retry_after: Option<Span> },
    Voided,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Door {
    Open,
    /// Nobody is let in for want of descriptors.
    Paused,
}

/// What is told to those who ask whether the gateway is ready.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Serving {
    NotYet,
    Ready,
    /// Every connection is closed after its answer.
    Ending,
}

pub struct Clients {
    listener: Rc<TcpListener>,
    token: Option<RegistrationToken>,
    door: Door,
    all: BTreeMap<ConnectionNo, Client>,
    standing: BTreeSet<(Standing, Point, ConnectionNo)>,
    unused: usize,
    most_unused: usize,
    asking: BTreeMap<TxnId, Asker>,
    /// The ids of the txns whose clients wait.
    open: BTreeSet<String>,
    products: IndexSet<String>,
    /// How long a connection is kept unused, or an answer unread.
    patience: Span,
    /// How long one that has stalled is spared where others need room.
    stall: Span,
    serving: Serving,
}

/// As though something had come in.
const WAITING: Readiness = Readiness { readable: true, writable: false, error: false };

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let kind = Type::STREAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn on_ready(gateway: &mut Gateway, no: ConnectionNo, readiness: Readiness) {
    gateway.clients.serve(&mut gateway.room, no, readiness);
    gateway.settle();
}

impl Clients {
    pub fn new(
        address: SocketAddr,
        products: IndexSet<String>,
        patience: Span,
        stall: Span,
        descriptors: usize,
    ) -> io::Result<Clients> {
        Ok(Clients {
            listener: Rc::new(listen(address)?),
            token: None,
            door: Door::Open,
            all: BTreeMap::new(),
            standing: BTreeSet::new(),
            unused: 0,
            most_unused: descriptors / REQUESTS_PART / 2,
            asking: BTreeMap::new(),
            open: BTreeSet::new(),
            products,
            patience,
            stall,
            serving: Serving::NotYet,
        })
    }

    /// Goes on to this, never back.
    pub fn turn(&mut self, serving: Serving) {
        self.serving = self.serving.max(serving);
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    pub fn open(&mut self, room: &Room) -> Result<(), String> {
        let source = Generic::new(self.listener.clone(), Interest::READ, Mode::Level);
        let call = |_, _: &mut _, gateway: &mut Gateway| {
            gateway.accept();
            Ok(PostAction::Continue)
        };
        let token = room.handle.insert_source(source, call).map_err(|e| e.to_string())?;
        self.token = Some(token);
        Ok(())
    }

    /// Takes waiting connections while descriptors last. Gives back whether room must be made for more.
    pub fn accept(&mut self, room: &mut Room) -> bool {
        for taken in 0..ACCEPT_MOST {
            if room.descriptors.spare() == 0 {
                // Guards against making room for nobody, at the cost of the one that was let in last: whether
                // another waits behind it, the listener tells again.
                if taken == 0 {
                    room.counters.add(Count::NoDescriptor);
                }
                return taken == 0;
            }
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(_) => {
                    room.counters.add(Count::NoDescriptor);
                    return true;
                }
            };
            let set = stream.set_nonblocking(true).and_then(|_| stream.set_nodelay(true));
            let no = room.next_connection();
            let call = move |gateway: &mut Gateway, readiness| on_ready(gateway, no, readiness);
            let made = set.and_then(|_| Connection::adopt(room, stream, Interest::READ, Purse::Client, call));
            let Ok(connection) = made else { continue };
            room.counters.add(Count::ClientsAccepted);
            let (intake, phase, since) = (Intake::default(), Phase::Reading, room.now());
            let client = Client { connection, intake, phase, keeps: false, since, standing: None };
            self.all.insert(no, client);
            self.note(no);
        }
        false
    }

    /// Guards against a loop that spins on a listener it cannot serve: no one is let in until `tend`.
    pub fn pause(&mut self, room: &Room) {
        if let (Door::Open, Some(token)) = (self.door, &self.token) {
            self.door = Door::Paused;
            if let Err(e) = room.handle.disable(token) {
                tracing::warn!("the listener cannot be paused: {e}");
            }
        }
    }

    pub fn is_paused(&self) -> bool {
        self.door == Door::Paused
    }

    fn resume(&mut self, room: &Room) {
        if let (Door::Paused, Some(token)) = (self.door, &self.token) {
            self.door = Door::Open;
            if let Err(e) = room.handle.enable(token) {
                tracing::warn!("the listener cannot be resumed: {e}");
            }
        }
    }

    /// Notes how a connection stands now.
    fn note(&mut self, no: ConnectionNo) {
        let Some(client) = self.all.get_mut(&no) else { return };
        let now = client.stands();
        let before = std::mem::replace(&mut client.standing, now);
        if before != now {
            before.into_iter().for_each(|before| self.unlist(no, before));
            if let Some((standing, since)) = now {
                self.standing.insert((standing, since, no));
                self.unused += usize::from(standing == Standing::Unused);
            }
        }
    }

    fn unlist(&mut self, no: ConnectionNo, (standing, since): (Standing, Point)) {
        self.standing.remove(&(standing, since, no));
        self.unused -= usize::from(standing == Standing::Unused);
    }

    /// Closes those unused longest. Guards against clients that ask once and keep their connection: what they
    /// hold counts against all of them, and the rest would have none left to ask on.
    pub fn trim(&mut self, room: &mut Room) {
        while self.unused > self.most_unused && self.part_with(room, Standing::Unused, Span::ZERO) {}
    }

    fn close(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(client) = self.all.remove(&no) else { return };
        client.standing.into_iter().for_each(|standing| self.unlist(no, standing));
        if let Phase::Waiting(id) = client.phase {
            self.forget(id);
            room.counters.add(Count::Left);
            room.tell(Notice::Left { id });
        }
        client.connection.close(room);
    }

    /// The txn's client waits no more. Gives back on which connection it did.
    fn forget(&mut self, id: TxnId) -> Option<ConnectionNo> {
        let asker = self.asking.remove(&id)?;
        self.open.remove(&asker.name);
        Some(asker.no)
    }

    fn serve(&mut self, room: &mut Room, no: ConnectionNo, readiness: Readiness) {
        self.look(room, no, readiness);
        self.note(no);
    }

    fn look(&mut self, room: &mut Room, no: ConnectionNo, readiness: Readiness) {
        let Some(client) = self.all.get_mut(&no) else { return };
        if readiness.writable && matches!(client.phase, Phase::Answering { .. } | Phase::Reading) {
            self.send(room, no);
        }
        let Some(client) = self.all.get_mut(&no) else { return };
        if !readiness.readable {
            return;
        }
        if !client.connection.reads() {
            // Nothing is read for now, so what woke us is a connection that broke.
            if !matches!(client.phase, Phase::Answering { .. }) {
                self.close(room, no);
            }
            return;
        }
        if client.phase == Phase::Parting {
            if matches!(client.connection.pass_over(room), Filled::Ended | Filled::Failed) {
                self.close(room, no);
            }
            return;
        }
        let begins = client.connection.input.is_empty();
        match client.connection.fill(room) {
            Filled::Some if client.phase == Phase::Reading => {
                // A request counts from its first byte, the first one from the connection's coming, so that one
                // sent drop by drop has no longer than others.
                if begins && client.keeps {
                    client.since = room.now();
                }
                self.advance(room, no);
            }
            Filled::Some | Filled::Nothing => {}
            Filled::Full => {
                let lacks = client.connection.input.is_empty();
                client.connection.wants(room, false, false);
                // Guards against half requests that hold all buffers: one that has stalled gives its own up.
                if lacks && self.part_with(room, Standing::Unfinished, self.stall) {
                    self.read_again(room);
                }
            }
            Filled::Ended | Filled::Failed => self.close(room, no),
        }
    }

    /// Reads on in what has come in, and answers or takes what is whole.
    fn advance(&mut self, room: &mut Room, no: ConnectionNo) {
        while let Some(client) = self.all.get_mut(&no).filter(|c| c.phase == Phase::Reading) {
            if client.intake.untouched(&client.connection.input) {
                client.connection.release_empty(room);
                return;
            }
            match client.intake.request(&mut client.connection.input) {
                Ok(Progress::More) => return,
                Ok(Progress::Asks) => {
                    let Some(out) = client.connection.out(room) else { return self.close(room, no) };
                    write::go_on(out);
                    return self.send(room, no);
                }
                // Guards against doubt about what belongs to a request: clients send one at a time, so what
                // stands behind one makes it unreadable, be it a length that is wrong or hundreds at once.
                Ok(Progress::Whole) if client.intake.body().end < client.connection.input.len() => {
                    self.refuse(room, no, Fault::Malformed)
                }
                Ok(Progress::Whole) => self.take(room, no),
                Err(fault) => self.refuse(room, no, fault),
            }
        }
    }

    /// A request is whole: a txn is told to the driver, anything else is answered here.
    fn take(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(client) = self.all.get_mut(&no) else { return };
        let head = match RequestHead::read(&client.connection.input) {
            Ok(Some(head)) => head,
            Ok(None) => return self.refuse(room, no, Fault::Malformed),
            Err(fault) => return self.refuse(room, no, fault),
        };
        client.keeps = head.keeps();
        let (status, more, word) = match Request::read(&head, &self.products) {
            // Guards against a second copy of a txn that is under way, which goes on undisturbed.
            Request::Txn { name, .. } if self.open.contains(name) => (409, None, String::new()),
            Request::Txn { name, product, key, again, left } => {
                let id = room.next_txn();
                client.phase = Phase::Waiting(id);
                self.open.insert(name.to_string());
                self.asking.insert(id, Asker { no, name: name.to_string() });
                room.counters.add(Count::Taken);
                return room.tell(Notice::Taken { id, product, key, again, left, inward: None });
            }
            Request::Ready if self.serving == Serving::Ready => (200, None, String::new()),
            Request::Ready => (503, None, String::new()),
            Request::NotFound => (404, None, String::new()),
            Request::NotAllowed { methods } => (405, Some(("Allow", methods)), String::new()),
            Request::Wrong { field } => (400, None, format!("{field}: missing or wrong\n")),
        };
        room.counters.add(Count::NotTxn);
        self.respond(room, no, status, more, word.as_bytes(), true);
    }

    /// The txn's request, as long as its client waits.
    pub fn asked<T>(&self, id: TxnId, with: impl FnOnce(Asked) -> T) -> Option<T> {
        let client = self.all.get(&self.asking.get(&id)?.no)?;
        let bytes = &client.connection.input;
        let head = RequestHead::read(&bytes[client.intake.head()]).ok().flatten()?;
        asked(&head, &bytes[client.intake.body()]).map(with)
    }

    /// The txn's one final answer.
    pub fn answer(&mut self, room: &mut Room, id: TxnId, answer: Answer) {
        let Some(no) = self.forget(id) else { return };
        let (count, status) = match &answer {
            Answer::Settled(_) => (Count::Settled, 200),
            Answer::Declined { .. } => (Count::Declined, 503),
            Answer::Voided => (Count::Voided, 502),
        };
        room.counters.add(count);
        match answer {
            Answer::Settled(mut told) => {
                self.respond(room, no, status, None, &told.buffer[told.body.clone()], true);
                room.pool.give_back(&mut told.buffer);
            }
            Answer::Declined { retry_after } => {
                let after = retry_after.map(|after| ("Retry-After", after.as_secs().to_string()));
                self.respond(room, no, status, after, b"", true);
            }
            Answer::Voided => self.respond(room, no, status, None, b"", true),
        }
        self.note(no);
    }

    /// Writes an answer. The connection is kept afterwards if the client wants it, the request was whole, and
    /// nothing stands behind it.
    fn respond(
        &mut self,
        room: &mut Room,
        no: ConnectionNo,
        status: u16,
        more: Option<(&str, String)>,
        body: &[u8],
        whole: bool,
    ) {
        let Some(client) = self.all.get_mut(&no) else { return };
        let alone = client.intake.body().end == client.connection.input.len();
        let kept = whole && alone && client.keeps && self.serving != Serving::Ending;
        client.phase = Phase::Answering { kept };
        let Some(out) = client.connection.out(room) else { return self.close(room, no) };
        write::status_line(out, status);
        if let Some((name, value)) = more {
            write::field(out, name, value);
        }
        if !kept {
            write::field(out, "Connection", "close");
        }
        write::body(out, body);
        self.send(room, no);
    }

    /// Guards against doubt about where the next request starts: a malformed one ends its connection.
    fn refuse(&mut self, room: &mut Room, no: ConnectionNo, fault: Fault) {
        room.counters.add(Count::Malformed);
        self.respond(room, no, fault.status(), None, b"", false);
    }

    fn send(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(client) = self.all.get_mut(&no) else { return };
        client.since = room.now();
        match client.connection.flush(room) {
            Flushed::Failed => return self.close(room, no),
            Flushed::Part => return client.connection.wants(room, client.phase == Phase::Reading, true),
            Flushed::All => client.connection.wants(room, true, false),
        }
        match client.phase {
            Phase::Answering { kept: true } => {
                client.intake.consume(&mut client.connection.input);
                client.phase = Phase::Reading;
                client.connection.release_empty(room);
                self.advance(room, no);
            }
            Phase::Answering { kept: false } => {
                client.phase = Phase::Parting;
                client.connection.finish_sending();
                client.connection.input.clear();
                client.connection.release_empty(room);
            }
            _ => {}
        }
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
                if self.all.get(&no).is_some_and(|c| c.standing == Some((standing, since))) {
                    self.end(room, no, standing);
                }
            }
        }
        self.read_again(room);
        if room.descriptors.spare() > 0 {
            self.resume(room);
        }
    }

    /// Those who found no buffer may find one now.
    fn read_again(&mut self, room: &Room) {
        for client in self.all.values().filter(|c| c.phase == Phase::Reading) {
            if !client.connection.reads() && client.connection.input.is_empty() {
                client.connection.wants(room, true, false);
            }
        }
    }

    fn end(&mut self, room: &mut Room, no: ConnectionNo, standing: Standing) {
        if standing != Standing::Unfinished {
            return self.close(room, no);
        }
        room.counters.add(Count::Malformed);
        self.respond(room, no, 408, None, b"", false);
        self.note(no);
    }

    /// Who has stood like this for longest, and since when.
    fn first(&self, standing: Standing) -> Option<(Point, ConnectionNo)> {
        let mut from = self.standing.range((standing, Point(i64::MIN), 0)..);
        from.next().filter(|f| f.0 == standing).map(|f| (f.1, f.2))
    }

    /// Closes a connection that may make room: silent ones first, then those that have stalled for longer than
    /// `stall`, then those unused for as long as the protocol asks. Guards against clients that hold all
    /// descriptors with nothing, or half a request each. Gives back whether there was one.
    pub fn make_room(&mut self, room: &mut Room) -> bool {
        let spans = [
            (Standing::Silent, Span::ZERO),
            (Standing::Unfinished, self.stall),
            (Standing::Parting, self.stall),
            (Standing::Unused, UNUSED),
        ];
        spans.into_iter().any(|(standing, span)| self.part_with(room, standing, span))
    }

    /// Closes the connection that was unused longest, however short that is.
    pub fn close_unused(&mut self, room: &mut Room) -> bool {
        self.part_with(room, Standing::Unused, Span::ZERO)
    }

    fn part_with(&mut self, room: &mut Room, standing: Standing, span: Span) -> bool {
        let now = room.now();
        while let Some((since, no)) = self.first(standing).filter(|f| now - f.0 >= span) {
            // What has come in meanwhile may make a request whole, and then it is taken.
            self.serve(room, no, WAITING);
            if self.all.get(&no).is_some_and(|c| c.standing == Some((standing, since))) {
                self.close(room, no);
            }
            if !self.all.contains_key(&no) {
                return true;
            }
        }
        false
    }

    /// While ending: closes connections between requests. Gives back whether none are left.
    pub fn part(&mut self, room: &mut Room) -> bool {
        let between = |c: &Client| c.phase == Phase::Reading && c.intake.untouched(&c.connection.input);
        let reading = self.all.iter().filter(|(_, c)| between(c) && c.connection.reads());
        for no in reading.map(|(no, _)| *no).collect::<Vec<ConnectionNo>>() {
            // A request that has come in meanwhile is still taken.
            self.serve(room, no, WAITING);
            if self.all.get(&no).is_some_and(between) {
                self.close(room, no);
            }
        }
        self.all.values().all(|c| c.phase == Phase::Parting)
    }
}
