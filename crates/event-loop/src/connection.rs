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

use crate::net::Net;
use crate::pool::Buffer;

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
    pub fn adopt<D>(
        net: &mut Net<D>,
        stream: TcpStream,
        interest: Interest,
        purse: Purse,
        on_ready: impl Fn(&mut D, Readiness) + 'static,
    ) -> io::Result<Connection> {
        let (stream, interest) = (Rc::new(stream), Rc::new(Cell::new(interest)));
        let socket = Generic::new(stream.clone(), interest.get(), Mode::Level);
        let watched = Watched { socket, interest: interest.clone() };
        let call = move |readiness, _: &mut (), data: &mut D| on_ready(data, readiness);
        let token = net.handle.insert_source(watched, call).map_err(|e| io::Error::other(e.error))?;
        if purse != Purse::Reserve {
            net.descriptors.held += 1;
        }
        let (input, output) = (Buffer::new(), Buffer::new());
        Ok(Connection { stream, interest, token, purse, input, output, written: 0 })
    }

    /// Begins to connect; the callback comes once it is up or has failed.
    pub fn dial<D>(
        net: &mut Net<D>,
        address: SocketAddr,
        purse: Purse,
        on_ready: impl Fn(&mut D, Readiness) + 'static,
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
        Connection::adopt(net, socket.into(), Interest::WRITE, purse, on_ready)
    }

    /// Whether a connection that was dialled has come up.
    pub fn is_up(&self) -> io::Result<()> {
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    /// Reads once, so that a busy socket gives way to the others.
    pub fn fill<D>(&mut self, net: &mut Net<D>) -> Filled {
        if self.input.capacity() == 0 {
            let Some(buffer) = net.pool.lend(self.purse) else {
                net.no_buffer += 1;
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
        self.release_empty(net);
        filled
    }

    /// Reads once what is of no use any more, without a buffer of its own.
    pub fn pass_over<D>(&mut self, net: &mut Net<D>) -> Filled {
        match recv(&self.stream, &mut net.sink[..], RecvFlags::empty()) {
            Ok((0, _)) => Filled::Ended,
            Ok(_) => Filled::Some,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Filled::Nothing,
            Err(_) => Filled::Failed,
        }
    }

    /// Gives back buffers that hold nothing.
    pub fn release_empty<D>(&mut self, net: &mut Net<D>) {
        if self.input.is_empty() {
            net.pool.give_back(&mut self.input);
        }
        if self.output.is_empty() {
            net.pool.give_back(&mut self.output);
        }
    }

    /// The buffer for what goes out, if one is to be had.
    pub fn out<D>(&mut self, net: &mut Net<D>) -> Option<&mut Buffer> {
        if self.output.capacity() == 0 {
            let Some(buffer) = net.pool.lend(Purse::Server) else {
                net.no_buffer += 1;
                return None;
            };
            self.output = buffer;
        }
        Some(&mut self.output)
    }

    pub fn flush<D>(&mut self, net: &mut Net<D>) -> Flushed {
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
        self.release_empty(net);
        Flushed::All
    }

    /// Whether a connection that was kept still stands, with nothing come in on it.
    pub fn stands(&self) -> bool {
        let mut byte = [0_u8; 1];
        let peeked = recv(&self.stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT);
        matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    pub fn wants<D>(&self, net: &Net<D>, readable: bool, writable: bool) {
        let wanted = Interest { readable, writable };
        let now = self.interest.replace(wanted);
        if (now.readable, now.writable) != (readable, writable) {
            if let Err(e) = net.handle.update(&self.token) {
                tracing::warn!("a socket cannot be watched: {e}");
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

    pub fn close<D>(mut self, net: &mut Net<D>) {
        net.handle.remove(self.token);
        net.pool.give_back(&mut self.input);
        net.pool.give_back(&mut self.output);
        if self.purse != Purse::Reserve {
            net.descriptors.held = net.descriptors.held.saturating_sub(1);
        }
    }
}
