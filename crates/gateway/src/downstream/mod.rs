//! Clients: their connections, the requests on them and the answers.

mod idle_eviction;
mod listener;
pub mod request_parser;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use calloop::{Readiness, RegistrationToken};
use harrierdock_config::ClassNames;
use harrierdock_event_loop::{Connection, ConnectionId, ReadResult, WriteResult};
use harrierdock_http::{write, MessageReader, ParseError, Progress, RequestHead};
use harrierdock_types::RequestId;
use harrierdock_types::{TimeDelta, Timestamp};

use crate::downstream::request_parser::{asked, Request};
use crate::metrics::Count;
use crate::runtime::context::{Asked, Body, Notice, Room};
use idle_eviction::{Standing, WAITING};
use listener::{listen, Accepting};

/// The protocol lets a connection without an open request be closed after this.
pub const UNUSED: TimeDelta = TimeDelta(2_000_000);
/// The protocol lets clients hold one in this many descriptors for requests, at the most.
const REQUESTS_PART: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading,
    Waiting(RequestId),
    /// An answer goes out; then the connection is kept, or it is not.
    Answering {
        kept: bool,
    },
    /// All is said; what the client still sends is passed over until it ends.
    Parting,
}

struct Client {
    connection: Connection,
    reader: MessageReader,
    phase: Phase,
    /// Whether the client wants the connection kept after this request.
    keeps: bool,
    /// Since when it stands as it does; a first request counts from the connection's coming.
    since: Timestamp,
    /// Where it is noted as one that may make room.
    standing: Option<(Standing, Timestamp)>,
}

impl Client {
    /// Whether nothing stands behind the request.
    fn is_alone(&self) -> bool {
        self.reader.body().end >= self.connection.input.len()
    }
}

/// A request whose client waits.
struct Asker {
    no: ConnectionId,
    name: String,
}

/// What a request was answered with.
pub enum Answer {
    Settled(Body),
    Declined { retry_after: Option<TimeDelta> },
    Voided,
}

/// What is told to those who ask whether the gateway is ready.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Serving {
    NotYet,
    Ready,
    /// Every connection is closed after its answer.
    ShuttingDown,
}

pub struct Clients {
    listener: Rc<TcpListener>,
    token: Option<RegistrationToken>,
    accepting: Accepting,
    all: BTreeMap<ConnectionId, Client>,
    standing: BTreeSet<(Standing, Timestamp, ConnectionId)>,
    unused: usize,
    most_unused: usize,
    asking: BTreeMap<RequestId, Asker>,
    /// The ids of the requests whose clients wait.
    open: BTreeSet<String>,
    classes: ClassNames,
    /// How long a connection is kept unused, or an answer unread.
    patience: TimeDelta,
    /// How long one that has stalled is spared where others need room.
    stall: TimeDelta,
    serving: Serving,
}

impl Clients {
    pub fn new(
        address: SocketAddr,
        classes: ClassNames,
        patience: TimeDelta,
        stall: TimeDelta,
        descriptors: usize,
    ) -> io::Result<Clients> {
        Ok(Clients {
            listener: Rc::new(listen(address)?),
            token: None,
            accepting: Accepting::Open,
            all: BTreeMap::new(),
            standing: BTreeSet::new(),
            unused: 0,
            most_unused: descriptors / REQUESTS_PART / 2,
            asking: BTreeMap::new(),
            open: BTreeSet::new(),
            classes,
            patience,
            stall,
            serving: Serving::NotYet,
        })
    }

    /// Goes on to this, never back.
    pub fn turn(&mut self, serving: Serving) {
        self.serving = self.serving.max(serving);
    }

    fn close(&mut self, room: &mut Room, no: ConnectionId) {
        let Some(client) = self.all.remove(&no) else {
            return;
        };
        client
            .standing
            .into_iter()
            .for_each(|standing| self.unlist(no, standing));
        if let Phase::Waiting(id) = client.phase {
            self.forget(id);
            room.counters.add(Count::Left);
            room.tell(Notice::Left { id });
        }
        client.connection.close(room);
    }

    /// The request's client waits no more. Gives back on which connection it did.
    fn forget(&mut self, id: RequestId) -> Option<ConnectionId> {
        let asker = self.asking.remove(&id)?;
        self.open.remove(&asker.name);
        Some(asker.no)
    }

    fn serve(&mut self, room: &mut Room, no: ConnectionId, readiness: Readiness) {
        self.look(room, no, readiness);
        self.note(no);
    }

    fn look(&mut self, room: &mut Room, no: ConnectionId, readiness: Readiness) {
        let Some(client) = self.all.get_mut(&no) else {
            return;
        };
        if readiness.writable && matches!(client.phase, Phase::Answering { .. } | Phase::Reading) {
            self.send(room, no);
        }
        let Some(client) = self.all.get_mut(&no) else {
            return;
        };
        if !readiness.readable {
            return;
        }
        if !client.connection.is_reading() {
            // Nothing is read for now, so what woke us is a connection that broke.
            if !matches!(client.phase, Phase::Answering { .. }) {
                self.close(room, no);
            }
            return;
        }
        if client.phase == Phase::Parting {
            if matches!(
                client.connection.discard_input(room),
                ReadResult::EndOfStream | ReadResult::Failed
            ) {
                self.close(room, no);
            }
            return;
        }
        let begins = client.connection.input.is_empty();
        // Guards against the end of a client that is not seen: what it sends while its request is under way would fill the
        // buffer, and nothing be read any more. That there was something closes its connection after the answer.
        let more = matches!(client.phase, Phase::Waiting(_)) && !client.is_alone();
        let filled = if more {
            client.connection.discard_input(room)
        } else {
            client.connection.read(room)
        };
        match filled {
            ReadResult::Data if client.phase == Phase::Reading => {
                // A request counts from its first byte, the first one from the connection's coming, so that one
                // sent drop by drop has no longer than others.
                if begins && client.keeps {
                    client.since = room.now();
                }
                self.advance(room, no);
            }
            ReadResult::Data | ReadResult::WouldBlock => {}
            ReadResult::NoBuffer => {
                let lacks = client.connection.input.is_empty();
                client.connection.set_interest(room, false, false);
                // Guards against half requests that hold all buffers: one that has stalled gives its own up.
                if lacks && self.part_with(room, Standing::Unfinished, self.stall) {
                    self.read_again(room);
                }
            }
            ReadResult::EndOfStream | ReadResult::Failed => self.close(room, no),
        }
    }

    /// Reads on in what has come in, and answers or takes what is whole.
    fn advance(&mut self, room: &mut Room, no: ConnectionId) {
        while let Some(client) = self.all.get_mut(&no).filter(|c| c.phase == Phase::Reading) {
            if client.reader.is_untouched(&client.connection.input) {
                client.connection.release_empty_buffers(room);
                return;
            }
            match client.reader.read_request(&mut client.connection.input) {
                Ok(Progress::Incomplete) => return,
                Ok(Progress::ExpectsContinue) => {
                    let Some(out) = client.connection.output_buffer(room) else {
                        return self.close(room, no);
                    };
                    write::continue_response(out);
                    return self.send(room, no);
                }
                // Guards against doubt about what belongs to a request: clients send one at a time, so what
                // stands behind one makes it unreadable, be it a length that is wrong or hundreds at once.
                Ok(Progress::Complete) if !client.is_alone() => {
                    self.refuse(room, no, ParseError::Malformed)
                }
                Ok(Progress::Complete) => self.take(room, no),
                Err(fault) => self.refuse(room, no, fault),
            }
        }
    }

    /// A request is whole: a request is told to the driver, anything else is answered here.
    fn take(&mut self, room: &mut Room, no: ConnectionId) {
        let Some(client) = self.all.get_mut(&no) else {
            return;
        };
        let head = match RequestHead::parse(&client.connection.input) {
            Ok(Some(head)) => head,
            Ok(None) => return self.refuse(room, no, ParseError::Malformed),
            Err(fault) => return self.refuse(room, no, fault),
        };
        client.keeps = head.keeps_alive();
        let (status, more, word) = match Request::read(&head, &self.classes) {
            // Guards against a second copy of a request that is under way, which goes on undisturbed.
            Request::Txn { name, .. } if self.open.contains(name) => (409, None, String::new()),
            Request::Txn {
                name,
                class,
                key,
                again,
                left,
            } => {
                let id = room.next_txn();
                client.phase = Phase::Waiting(id);
                self.open.insert(name.to_string());
                self.asking.insert(
                    id,
                    Asker {
                        no,
                        name: name.to_string(),
                    },
                );
                room.counters.add(Count::Taken);
                return room.tell(Notice::Taken {
                    id,
                    class,
                    key,
                    again,
                    left,
                    inward: None,
                });
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

    /// Looks once more at the request's client, right before something is done for it. Gives back whether it still waits.
    /// Guards against an attempt for a client that has left while the program was kept from its sockets: the end of
    /// its connection may stand behind what called for the attempt.
    pub fn still_waits(&mut self, room: &mut Room, id: RequestId) -> bool {
        if let Some(no) = self.asking.get(&id).map(|asker| asker.no) {
            self.serve(room, no, WAITING);
        }
        self.asking.contains_key(&id)
    }

    /// The request's request, as long as its client waits.
    pub fn asked<T>(&self, id: RequestId, with: impl FnOnce(Asked) -> T) -> Option<T> {
        let client = self.all.get(&self.asking.get(&id)?.no)?;
        let bytes = &client.connection.input;
        let head = RequestHead::parse(&bytes[client.reader.head()])
            .ok()
            .flatten()?;
        asked(&head, &bytes[client.reader.body()]).map(with)
    }

    /// The request's one final answer.
    pub fn answer(&mut self, room: &mut Room, id: RequestId, answer: Answer) {
        let Some(no) = self.forget(id) else { return };
        let (count, status) = match &answer {
            Answer::Settled(_) => (Count::Settled, 200),
            Answer::Declined { .. } => (Count::Declined, 503),
            Answer::Voided => (Count::Voided, 502),
        };
        room.counters.add(count);
        match answer {
            Answer::Settled(mut told) => {
                self.respond(
                    room,
                    no,
                    status,
                    None,
                    &told.buffer[told.body.clone()],
                    true,
                );
                room.buffers.release(&mut told.buffer);
            }
            Answer::Declined { retry_after } => {
                let after =
                    retry_after.map(|after| ("Retry-After", after.as_seconds().to_string()));
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
        no: ConnectionId,
        status: u16,
        more: Option<(&str, String)>,
        body: &[u8],
        whole: bool,
    ) {
        let Some(client) = self.all.get_mut(&no) else {
            return;
        };
        let kept =
            whole && client.is_alone() && client.keeps && self.serving != Serving::ShuttingDown;
        client.phase = Phase::Answering { kept };
        let Some(out) = client.connection.output_buffer(room) else {
            return self.close(room, no);
        };
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
    fn refuse(&mut self, room: &mut Room, no: ConnectionId, fault: ParseError) {
        room.counters.add(Count::Malformed);
        self.respond(room, no, fault.status(), None, b"", false);
    }

    fn send(&mut self, room: &mut Room, no: ConnectionId) {
        let Some(client) = self.all.get_mut(&no) else {
            return;
        };
        client.since = room.now();
        match client.connection.flush(room) {
            WriteResult::Failed => return self.close(room, no),
            WriteResult::Partial => {
                return client
                    .connection
                    .set_interest(room, client.phase == Phase::Reading, true)
            }
            WriteResult::Complete => client.connection.set_interest(room, true, false),
        }
        match client.phase {
            Phase::Answering { kept: true } => {
                client.reader.consume(&mut client.connection.input);
                client.phase = Phase::Reading;
                client.connection.release_empty_buffers(room);
                self.advance(room, no);
            }
            Phase::Answering { kept: false } => {
                client.phase = Phase::Parting;
                client.connection.shut_down_sending();
                client.connection.input.clear();
                client.connection.release_empty_buffers(room);
            }
            _ => {}
        }
    }
}
