//! Clients: the listener, their connections, the requests on them and the answers.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use harrierdock::interface::TxnId;
use harrierdock::time::{Point, Span};
use harrierdock_http::{write, Fault, Intake, Progress, RequestHead};
use indexmap::IndexSet;
use socket2::{Domain, Protocol, Socket, Type};

use crate::connection::{Connection, Filled, Flushed, Purse};
use crate::counters::Count;
use crate::dues::ConnectionNo;
use crate::gateway::Gateway;
use crate::request::{asked, Request};
use crate::room::{Asked, Body, Notice, Room};

const BACKLOG: i32 = 1024;
/// Connections taken in one go, so that a flood of them gives way to what is under way.
const ACCEPT_MOST: usize = 64;
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

struct Client {
    connection: Connection,
    intake: Intake,
    phase: Phase,
    since: Point,
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
    asking: BTreeMap<TxnId, ConnectionNo>,
    products: IndexSet<String>,
    /// How long a client may leave a request or an answer unfinished.
    patience: Span,
    serving: Serving,
}

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
    pub fn new(address: SocketAddr, products: IndexSet<String>, patience: Span) -> io::Result<Clients> {
        Ok(Clients {
            listener: Rc::new(listen(address)?),
            token: None,
            door: Door::Open,
            all: BTreeMap::new(),
            asking: BTreeMap::new(),
            products,
            patience,
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
            let made = set.and_then(|_| Connection::adopt(room, stream, Interest::READ, Purse::Budget, call));
            let Ok(connection) = made else { continue };
            room.counters.add(Count::ClientsAccepted);
            let client =
                Client { connection, intake: Intake::default(), phase: Phase::Reading, since: room.now() };
            self.all.insert(no, client);
        }
        false
    }

    /// Guards against a loop that spins on a listener it cannot serve: no one is let in until `tend`.
    pub fn pause(&mut self, room: &Room) {
        if let (Door::Open, Some(token)) = (self.door, &self.token) {
            self.door = Door::Paused;
            if let Err(e) = room.handle.disable(token) {
                log::warn!("the listener cannot be paused: {e}");
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
                log::warn!("the listener cannot be resumed: {e}");
            }
        }
    }

    fn close(&mut self, room: &mut Room, no: ConnectionNo) {
        let Some(client) = self.all.remove(&no) else { return };
        if let Phase::Waiting(id) = client.phase {
            self.asking.remove(&id);
            room.counters.add(Count::Left);
            room.tell(Notice::Left { id });
        }
        client.connection.close(room);
    }

    fn serve(&mut self, room: &mut Room, no: ConnectionNo, readiness: Readiness) {
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
        let begins = client.connection.input.is_empty();
        match client.connection.fill(room) {
            Filled::Some if client.phase == Phase::Parting => {
                client.connection.input.clear();
                client.connection.release_empty(room);
            }
            Filled::Some if client.phase == Phase::Reading => {
                // A request counts from its first byte, so that one sent drop by drop has no longer than others.
                if begins {
                    client.since = room.now();
                }
                self.advance(room, no);
            }
            Filled::Some | Filled::Nothing => {}
            Filled::Full => client.connection.wants(room, false, false),
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
        let (status, more, word) = match Request::read(&head, &self.products) {
            Request::Txn { product, key, again, left } => {
                let id = room.next_txn();
                client.phase = Phase::Waiting(id);
                self.asking.insert(id, no);
                room.counters.add(Count::Taken);
                return room.tell(Notice::Taken { id, product, key, again, left });
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
        let client = self.all.get(self.asking.get(&id)?)?;
        let bytes = &client.connection.input;
        let head = RequestHead::read(&bytes[client.intake.head()]).ok().flatten()?;
        asked(&head, &bytes[client.intake.body()]).map(with)
    }

    /// The txn's one final answer.
    pub fn answer(&mut self, room: &mut Room, id: TxnId, answer: Answer) {
        let Some(no) = self.asking.remove(&id) else { return };
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
    }

    /// Writes an answer. The connection is kept afterwards if the client wants it and the request was whole.
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
        let keeps =
            || RequestHead::read(&client.connection.input).is_ok_and(|h| h.is_some_and(|h| h.keeps()));
        let kept = whole && self.serving != Serving::Ending && keeps();
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

    /// Closes those who leave something unfinished for too long, and lets new ones in again.
    pub fn tend(&mut self, room: &mut Room) {
        let edge = room.now() - self.patience;
        let stalled = |c: &Client| match c.phase {
            Phase::Waiting(_) => false,
            Phase::Reading => c.since < edge && !c.connection.input.is_empty(),
            Phase::Answering { .. } | Phase::Parting => c.since < edge,
        };
        let late: Vec<ConnectionNo> =
            self.all.iter().filter(|(_, c)| stalled(c)).map(|(no, _)| *no).collect();
        late.into_iter().for_each(|no| self.close(room, no));
        // Those who found no buffer may find one now.
        for client in self.all.values().filter(|c| c.phase == Phase::Reading) {
            if !client.connection.reads() && client.connection.input.is_empty() {
                client.connection.wants(room, true, false);
            }
        }
        if room.descriptors.spare() > 0 {
            self.resume(room);
        }
    }

    /// Closes the client that has been idle longest, or has left a request unfinished for longer than `patience`.
    /// Guards against clients that hold all descriptors with half a request each, and against those that come
    /// taking each other's places beside them. Gives back whether there was one.
    pub fn close_idle(&mut self, room: &mut Room, patience: Span) -> bool {
        let edge = room.now() - patience;
        let idle = |c: &Client| c.phase == Phase::Parting || c.intake.untouched(&c.connection.input);
        let stalled = |c: &Client| c.phase == Phase::Reading && c.since < edge;
        let oldest = self.all.iter().filter(|(_, c)| idle(c) || stalled(c)).min_by_key(|(_, c)| c.since);
        let Some(no) = oldest.map(|(no, _)| *no) else { return false };
        // What has come in meanwhile may make a request whole, and then it is taken.
        self.serve(room, no, Readiness { readable: true, writable: false, error: false });
        if self.all.get(&no).is_some_and(|c| idle(c) || stalled(c)) {
            self.close(room, no);
        }
        !self.all.contains_key(&no)
    }

    /// While ending: closes connections between requests. Gives back whether none are left.
    pub fn part(&mut self, room: &mut Room) -> bool {
        let between = |c: &Client| c.phase == Phase::Reading && c.intake.untouched(&c.connection.input);
        let reading = self.all.iter().filter(|(_, c)| between(c) && c.connection.reads());
        for no in reading.map(|(no, _)| *no).collect::<Vec<ConnectionNo>>() {
            // A request that has come in meanwhile is still taken.
            self.serve(room, no, Readiness { readable: true, writable: false, error: false });
            if self.all.get(&no).is_some_and(between) {
                self.close(room, no);
            }
        }
        self.all.values().all(|c| c.phase == Phase::Parting)
    }
}
