//! A connection: a socket that calls back when it is ready, a buffer for what comes in and one for what goes
//! out. A buffer is held only while something is in it.

use std::cell::Cell;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{
    EventSource, Interest, Mode, Poll, PostAction, Readiness, RegistrationToken, Token, TokenFactory,
};
use rustix::buffer::spare_capacity;
use rustix::net::{recv, RecvFlags};
use socket2::{Domain, Protocol, Socket, Type};

use crate::gateway::Gateway;
use crate::pool::Buffer;
use crate::room::Room;

/// A socket in the loop, whose interest can be changed from outside.
struct Watched {
    socket: Generic<Rc<TcpStream>>,
    interest: Rc<Cell<Interest>>,
}

impl EventSource for Watched {
    type Event = Readiness;
    type Metadata = ();
    type Ret = ();
    type Error = io::Error;

    fn process_events<F>(
        &mut self,
        readiness: Readiness,
        token: Token,
        mut callback: F,
    ) -> io::Result<PostAction>
    where
        F: FnMut(Readiness, &mut ()),
    {
        self.socket.process_events(readiness, token, |readiness, _| {
            callback(readiness, &mut ());
            Ok(PostAction::Continue)
        })
    }

    fn register(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.socket.interest = self.interest.get();
        self.socket.register(poll, tokens)
    }

    fn reregister(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.socket.interest = self.interest.get();
        self.socket.reregister(poll, tokens)
    }

    fn unregister(&mut self, poll: &mut Poll) -> calloop::Result<()> {
        self.socket.unregister(poll)
    }
}

/// Whose descriptor, and whose buffer to read into, a connection takes: those of the budget, or of the reserve.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Purse {
    Client,
    Server,
    Reserve,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Filled {
    Some,
    Nothing,
    /// The buffer is full, or none is to be had.
    Full,
    Ended,
    Failed,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Flushed {
    All,
    Part,
    Failed,
}

pub struct Connection {
    stream: Rc<TcpStream>,
    interest: Rc<Cell<Interest>>,
    token: RegistrationToken,
    purse: Purse,
    pub input: Buffer,
    pub output: Buffer,
    written: usize,
}

impl Connection {
    pub fn adopt(
        room: &mut Room,
        stream: TcpStream,
        interest: Interest,
        purse: Purse,
        on_ready: impl Fn(&mut Gateway, Readiness) + 'static,
    ) -> io::Result<Connection> {
        let (stream, interest) = (Rc::new(stream), Rc::new(Cell::new(interest)));
        let socket = Generic::new(stream.clone(), interest.get(), Mode::Level);
        let watched = Watched { socket, interest: interest.clone() };
        let call = move |readiness, _: &mut (), gateway: &mut Gateway| on_ready(gateway, readiness);
        let token = room.handle.insert_source(watched, call).map_err(|e| io::Error::other(e.error))?;
        if purse != Purse::Reserve {
            room.descriptors.held += 1;
        }
        let (input, output) = (Buffer::new(), Buffer::new());
        Ok(Connection { stream, interest, token, purse, input, output, written: 0 })
    }

    /// Begins to connect; the callback comes once it is up or has failed.
    pub fn dial(
        room: &mut Room,
        address: SocketAddr,
        purse: Purse,
        on_ready: impl Fn(&mut Gateway, Readiness) + 'static,
    ) -> io::Result<Connection> {
        let kind = Type::STREAM.nonblocking().cloexec();
        let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(e)
            }
            _ => {}
        }
        Connection::adopt(room, socket.into(), Interest::WRITE, purse, on_ready)
    }

    /// Whether a connection that was dialled has come up.
    pub fn is_up(&self) -> io::Result<()> {
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    /// Reads once, so that a busy socket gives way to the others.
    pub fn fill(&mut self, room: &mut Room) -> Filled {
        if self.input.capacity() == 0 {
            let Some(buffer) = room.pool.lend(self.purse) else {
                room.counters.add(crate::counters::Count::NoBuffer);
                return Filled::Full;
            };
            self.input = buffer;
        }
        if self.input.len() == self.input.capacity() {
            return Filled::Full;
        }
        let read = recv(&self.stream, spare_capacity(&mut self.input), RecvFlags::empty());
        let filled = match read {
            Ok((0, _)) => Filled::Ended,
            Ok(_) => Filled::Some,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Filled::Nothing,
            Err(_) => Filled::Failed,
        };
        self.release_empty(room);
        filled
    }

    /// Reads once what is of no use any more, without a buffer of its own.
    pub fn pass_over(&mut self, room: &mut Room) -> Filled {
        match recv(&self.stream, &mut room.sink[..], RecvFlags::empty()) {
            Ok((0, _)) => Filled::Ended,
            Ok(_) => Filled::Some,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Filled::Nothing,
            Err(_) => Filled::Failed,
        }
    }

    /// Gives back buffers that hold nothing.
    pub fn release_empty(&mut self, room: &mut Room) {
        if self.input.is_empty() {
            room.pool.give_back(&mut self.input);
        }
        if self.output.is_empty() {
            room.pool.give_back(&mut self.output);
        }
    }

    /// The buffer for what goes out, if one is to be had.
    pub fn out(&mut self, room: &mut Room) -> Option<&mut Buffer> {
        if self.output.capacity() == 0 {
            let Some(buffer) = room.pool.lend(Purse::Server) else {
                room.counters.add(crate::counters::Count::NoBuffer);
                return None;
            };
            self.output = buffer;
        }
        Some(&mut self.output)
    }

    pub fn flush(&mut self, room: &mut Room) -> Flushed {
        while self.written < self.output.len() {
            match (&*self.stream).write(&self.output[self.written..]) {
                Ok(0) => return Flushed::Failed,
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Flushed::Part,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Flushed::Failed,
            }
        }
        self.written = 0;
        self.output.clear();
        self.release_empty(room);
        Flushed::All
    }

    /// Whether a connection that was kept still stands, with nothing come in on it.
    pub fn stands(&self) -> bool {
        let mut byte = [0_u8; 1];
        let peeked = recv(&self.stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT);
        matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    pub fn wants(&self, room: &Room, readable: bool, writable: bool) {
        let wanted = Interest { readable, writable };
        let now = self.interest.replace(wanted);
        if (now.readable, now.writable) != (readable, writable) {
            if let Err(e) = room.handle.update(&self.token) {
                log::warn!("a socket cannot be watched: {e}");
            }
        }
    }

    pub fn reads(&self) -> bool {
        self.interest.get().readable
    }

    /// Says that nothing more will be sent.
    pub fn finish_sending(&self) {
        // A connection that is gone already needs no such word.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    pub fn close(mut self, room: &mut Room) {
        room.handle.remove(self.token);
        room.pool.give_back(&mut self.input);
        room.pool.give_back(&mut self.output);
        if self.purse != Purse::Reserve {
            room.descriptors.held = room.descriptors.held.saturating_sub(1);
        }
    }
}
