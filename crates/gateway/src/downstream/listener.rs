//! The listener: connections are accepted while there are descriptors for them.

use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use harrierdock_event_loop::{respond_and_close, Connection, ResourceClass};
use harrierdock_http::write;
use harrierdock_types::{TimeDelta, Timestamp};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};

use super::connection::ClientConnection;
use super::Downstream;
use crate::metrics::Counter;
use crate::runtime::context::Context;
use crate::runtime::error::WatchError;

const BACKLOG: i32 = 1024;
const SERVICE_UNAVAILABLE: u16 = 503;
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};
/// Connections accepted in one turn of the loop, so that a flood of them gives way to requests under way.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// Whether connections are accepted, and until when they are not.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListenerState {
    Accepting,
    /// Paused until a descriptor is free.
    AwaitsDescriptor,
    /// Paused until the next maintenance: the system refuses a descriptor that the budget has.
    AwaitsMaintenance,
}

/// The listening socket.
pub(crate) struct Listener {
    socket: Rc<TcpListener>,
    bound_at: Instant,
    token: Option<RegistrationToken>,
    state: ListenerState,
    /// Since when connections may wait that could not be accepted at once.
    backlog_since: Option<Timestamp>,
}

impl Listener {
    /// Listens at an address. Connections wait until `Downstream::start_accepting`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Listener> {
        let kind = Type::STREAM.nonblocking().cloexec();
        let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(Listener {
            socket: Rc::new(socket.into()),
            bound_at: Instant::now(),
            token: None,
            state: ListenerState::Accepting,
            backlog_since: None,
        })
    }

    /// Whether a connection waits to be accepted, or the system does not say that none does.
    fn may_have_backlog(&self) -> bool {
        let mut watched = [PollFd::new(&*self.socket, PollFlags::IN)];
        !matches!(poll(&mut watched, Some(&NO_WAIT)), Ok(0))
    }
}

/// How a turn of accepting ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptResult {
    /// No connection waits any more.
    NoneWaiting,
    /// The turn is over before it was known whether another connection waits.
    MoreMayWait,
    /// A descriptor has to be freed before another connection can be accepted.
    NoDescriptor,
}

/// What an attempt to accept a connection came to.
enum Accepted {
    Stream(TcpStream),
    /// The connection is gone already; another may wait.
    Aborted,
    NoneWaiting,
    NoDescriptor,
}

fn accept_one(listener: &TcpListener) -> Accepted {
    match listener.accept() {
        Ok((stream, _)) => Accepted::Stream(stream),
        Err(e) => match e.kind() {
            ErrorKind::Interrupted | ErrorKind::ConnectionAborted => Accepted::Aborted,
            ErrorKind::WouldBlock => Accepted::NoneWaiting,
            _ => Accepted::NoDescriptor,
        },
    }
}

/// Rejects an accepted connection that the loop cannot watch: whatever is requested on it may be sent again.
fn reject_unwatched(context: &mut Context, stream: &TcpStream, error: &dyn Error) {
    context.counters.add(Counter::ConnectionsUnwatched);
    tracing::warn!("a client's connection is rejected: {error}");
    let mut response = Vec::new();
    write::status_line(&mut response, SERVICE_UNAVAILABLE);
    write::field(&mut response, "Connection", "close");
    write::body(&mut response, b"");
    respond_and_close(stream, &response);
}

impl Downstream {
    /// The address of the listener.
    ///
    /// # Errors
    ///
    /// The system does not say it.
    pub(crate) fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.socket.local_addr()
    }

    /// Begins to accept connections. Those that came since the listener was bound may have waited since then.
    ///
    /// # Errors
    ///
    /// The loop cannot watch the listener.
    pub(crate) fn start_accepting(&mut self, context: &Context) -> Result<(), WatchError> {
        let source = Generic::new(self.listener.socket.clone(), Interest::READ, Mode::Level);
        let accept_connections = context.handlers.listener;
        let token = context
            .handle
            .insert_source(source, move |_, _, gateway| {
                accept_connections(gateway);
                Ok(PostAction::Continue)
            })
            .map_err(|e| WatchError(e.error))?;
        self.listener.token = Some(token);
        self.listener.backlog_since = Some(context.clock.at(self.listener.bound_at));
        Ok(())
    }

    /// Accepts waiting connections while descriptors last, and so many in one turn.
    pub(crate) fn accept(&mut self, context: &mut Context) -> AcceptResult {
        let result = self.accept_up_to_limit(context);
        // A turn may end with its last connection. Whoever comes later then has not waited since this one.
        let has_backlog = result != AcceptResult::NoneWaiting && self.listener.may_have_backlog();
        self.listener.backlog_since = has_backlog.then(|| {
            let now = context.now();
            self.listener.backlog_since.unwrap_or(now)
        });
        result
    }

    fn accept_up_to_limit(&mut self, context: &mut Context) -> AcceptResult {
        for accepted_count in 0..MAX_ACCEPTS_PER_TURN {
            if context.descriptors.available() == 0 {
                // After the first connection it is not known whether another waits. The listener is ready again if so, and
                // no connection is closed for nobody.
                let is_first = accepted_count == 0;
                if !is_first {
                    return AcceptResult::MoreMayWait;
                }
                context.counters.add(Counter::DescriptorShortages);
                return AcceptResult::NoDescriptor;
            }
            match accept_one(&self.listener.socket) {
                Accepted::Stream(stream) => self.add_connection(context, stream),
                Accepted::Aborted => {}
                Accepted::NoneWaiting => return AcceptResult::NoneWaiting,
                Accepted::NoDescriptor => {
                    context.counters.add(Counter::DescriptorShortages);
                    return AcceptResult::NoDescriptor;
                }
            }
        }
        AcceptResult::MoreMayWait
    }

    /// Adds an accepted connection. One that cannot be watched is rejected, counted and logged.
    fn add_connection(&mut self, context: &mut Context, stream: TcpStream) {
        // Without it a response may be late, which is no reason to drop the connection.
        let _ = stream.set_nodelay(true);
        if let Err(e) = stream.set_nonblocking(true) {
            return reject_unwatched(context, &stream, &e);
        }
        let id = context.next_connection_id();
        let handle_downstream = context.handlers.downstream;
        let registered = Connection::register(
            context,
            stream,
            Interest::READ,
            ResourceClass::Downstream,
            move |gateway, readiness| handle_downstream(gateway, id, readiness),
        );
        let connection = match registered {
            Ok(connection) => connection,
            Err(e) => return reject_unwatched(context, &e.stream, &e),
        };
        context.counters.add(Counter::ConnectionsAccepted);
        let queue_time = self.queue_time(context, &connection);
        let client = ClientConnection::new(connection, context.now(), queue_time);
        self.connections.insert(id, client);
        self.update_idle(id);
    }

    /// How long a connection that was just accepted may have waited with a request on it.
    fn queue_time(&self, context: &Context, connection: &Connection) -> TimeDelta {
        match self.listener.backlog_since {
            Some(since) if !connection.is_open_and_quiet() => context.now() - since,
            _ => TimeDelta::ZERO,
        }
    }

    /// Stops accepting until there are descriptors, so that the loop does not spin on a listener that stays ready.
    pub(crate) fn pause(&mut self, context: &Context) {
        let Some(token) = self.listener.token.filter(|_| !self.is_paused()) else {
            return;
        };
        self.listener.state = match context.descriptors.available() {
            0 => ListenerState::AwaitsDescriptor,
            _ => ListenerState::AwaitsMaintenance,
        };
        if let Err(e) = context.handle.disable(&token) {
            tracing::warn!("the listener cannot be paused: {e}");
        }
    }

    /// Whether accepting has stopped for want of descriptors.
    pub(crate) fn is_paused(&self) -> bool {
        self.listener.state != ListenerState::Accepting
    }

    /// Accepts connections again if a descriptor has become free.
    pub(crate) fn resume_with_descriptor(&mut self, context: &Context) {
        let awaits_descriptor = self.listener.state == ListenerState::AwaitsDescriptor;
        if awaits_descriptor && context.descriptors.available() > 0 {
            self.resume(context);
        }
    }

    /// Accepts connections again.
    pub(super) fn resume(&mut self, context: &Context) {
        let Some(token) = self.listener.token.filter(|_| self.is_paused()) else {
            return;
        };
        self.listener.state = ListenerState::Accepting;
        if let Err(e) = context.handle.enable(&token) {
            tracing::warn!("the listener cannot be resumed: {e}");
        }
    }
}
