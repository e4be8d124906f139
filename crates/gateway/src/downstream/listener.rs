//! The listener: who is let in, and when nobody is.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness};
use harrierdock_event_loop::{Connection, ConnectionId, ResourceClass};
use harrierdock_http::MessageReader;
use socket2::{Domain, Protocol, Socket, Type};

use super::{Client, Clients, Phase};
use crate::metrics::Count;
use crate::runtime::context::Room;
use crate::runtime::gateway::Gateway;

const BACKLOG: i32 = 1024;
/// Connections taken in one go, so that a flood of them gives way to what is under way.
const ACCEPT_MOST: usize = 64;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Accepting {
    Open,
    /// Nobody is let in for want of descriptors.
    Paused,
}

pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let kind = Type::STREAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn on_ready(gateway: &mut Gateway, no: ConnectionId, readiness: Readiness) {
    gateway.clients.serve(&mut gateway.room, no, readiness);
    gateway.settle();
}

impl Clients {
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    pub fn open(&mut self, room: &Room) -> Result<(), String> {
        let source = Generic::new(self.listener.clone(), Interest::READ, Mode::Level);
        let call = |_, _: &mut _, gateway: &mut Gateway| {
            gateway.accept();
            Ok(PostAction::Continue)
        };
        let token = room
            .handle
            .insert_source(source, call)
            .map_err(|e| e.to_string())?;
        self.token = Some(token);
        Ok(())
    }

    /// Takes waiting connections while descriptors last. Gives back whether room must be made for more.
    pub fn accept(&mut self, room: &mut Room) -> bool {
        for taken in 0..ACCEPT_MOST {
            if room.descriptors.available() == 0 {
                // Guards against making room for nobody, at the cost of the one that was let in last: whether
                // another waits behind it, the listener tells again.
                if taken == 0 {
                    room.counters.add(Count::NoDescriptor);
                }
                return taken == 0;
            }
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) =>
                {
                    continue
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(_) => {
                    room.counters.add(Count::NoDescriptor);
                    return true;
                }
            };
            let set = stream
                .set_nonblocking(true)
                .and_then(|_| stream.set_nodelay(true));
            let no = room.next_connection_id();
            let call = move |gateway: &mut Gateway, readiness| on_ready(gateway, no, readiness);
            let made = set.and_then(|_| {
                Connection::register(
                    room,
                    stream,
                    Interest::READ,
                    ResourceClass::Downstream,
                    call,
                )
            });
            let Ok(connection) = made else { continue };
            room.counters.add(Count::ClientsAccepted);
            let (reader, phase, since) = (MessageReader::default(), Phase::Reading, room.now());
            let client = Client {
                connection,
                reader,
                phase,
                keeps: false,
                since,
                standing: None,
            };
            self.all.insert(no, client);
            self.note(no);
        }
        false
    }

    /// Guards against a loop that spins on a listener it cannot serve: no one is let in until `tend`.
    pub fn pause(&mut self, room: &Room) {
        if let (Accepting::Open, Some(token)) = (self.accepting, &self.token) {
            self.accepting = Accepting::Paused;
            if let Err(e) = room.handle.disable(token) {
                tracing::warn!("the listener cannot be paused: {e}");
            }
        }
    }

    pub fn is_paused(&self) -> bool {
        self.accepting == Accepting::Paused
    }

    pub(super) fn resume(&mut self, room: &Room) {
        if let (Accepting::Paused, Some(token)) = (self.accepting, &self.token) {
            self.accepting = Accepting::Open;
            if let Err(e) = room.handle.enable(token) {
                tracing::warn!("the listener cannot be resumed: {e}");
            }
        }
    }
}
