//! Listener for client connections. It accepts them while file descriptors are available, and pauses otherwise.

use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use harrierdock_event_loop::{respond_and_close, Connection, ResourceClass};
use harrierdock_types::{TimeDelta, Timestamp};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};

use super::connection::ClientConnection;
use super::responses::unavailable_response;
use super::Downstream;
use crate::metrics::Counter;
use crate::runtime::context::Context;
use crate::runtime::error::WatchError;

/// Beyond this length of the accept queue the system drops what clients send, and they repeat it up to a second later.
const LISTEN_BACKLOG: i32 = 4096;
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};
/// Connections accepted per iteration of the event loop, so that a burst of connections doesn't delay open requests.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;

/// Whether connections are accepted, or what ends the pause.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListenerState {
    Accepting,
    /// Paused until the process has a free descriptor in its budget.
    AwaitingDescriptor,
    /// Paused until the next maintenance: the budget has a free descriptor, but the operating system refused it.
    AwaitingMaintenance,
}

/// The listening socket for client connections.
pub(crate) struct Listener {
    socket: Rc<TcpListener>,
    bound_at: Instant,
    token: Option<RegistrationToken>,
    state: ListenerState,
    /// Earliest time since which a connection may have waited in the accept queue. `None` if the queue was last empty.
    backlog_since: Option<Timestamp>,
}

impl Listener {
    /// Listens on an address. Connections stay in the accept queue until `Downstream::start_accepting`.
    ///
    /// # Errors
    ///
    /// The socket cannot be created or bound to the address.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Listener> {
        let kind = Type::STREAM.nonblocking().cloexec();
        let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(Listener {
            socket: Rc::new(socket.into()),
            bound_at: Instant::now(),
            token: None,
            state: ListenerState::Accepting,
            backlog_since: None,
        })
    }

    /// Whether the accept queue may hold a connection. `true` also if polling the socket fails.
    fn may_have_backlog(&self) -> bool {
        let mut watched = [PollFd::new(&*self.socket, PollFlags::IN)];
        !matches!(poll(&mut watched, Some(&NO_WAIT)), Ok(0))
    }
}

/// Why accepting connections stopped in one iteration of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptResult {
    /// The accept queue is empty.
    NoneWaiting,
    /// A limit was reached, and the accept queue may hold another connection.
    MoreMayWait,
    /// No descriptor is available for the next connection.
    NoDescriptor,
}

/// Result of one call to `accept`.
enum Accepted {
    Stream(TcpStream),
    /// The connection was closed before it was accepted, or the call was interrupted. The queue may hold another one.
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

/// Responds with 503 on an accepted connection that the event loop cannot watch. No request was read from it, so the client
/// may safely retry.
fn reject_unwatched(context: &mut Context, stream: &TcpStream, error: &dyn Error) {
    context.counters.add(Counter::ConnectionsUnwatched);
    tracing::warn!("client connection rejected, the event loop cannot watch it: {error}");
    respond_and_close(stream, &unavailable_response());
}

impl Downstream {
    /// The address that the listener is bound to, with the port that the system assigned.
    ///
    /// # Errors
    ///
    /// The operating system does not report the address.
    pub(crate) fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.socket.local_addr()
    }

    /// Starts to accept connections. Those already in the queue count as waiting since the listener was bound.
    ///
    /// # Errors
    ///
    /// The event loop cannot watch the listener.
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

    /// Accepts queued connections, up to the limit per iteration and while descriptors are available.
    pub(crate) fn accept(&mut self, context: &mut Context) -> AcceptResult {
        let result = self.accept_up_to_limit(context);
        // The last connection accepted in this iteration may have emptied the queue. A connection that arrives later must not
        // inherit the start of this backlog.
        let has_backlog = result != AcceptResult::NoneWaiting && self.listener.may_have_backlog();
        self.listener.backlog_since = has_backlog.then(|| {
            let now = context.now();
            self.listener.backlog_since.unwrap_or(now)
        });
        result
    }

    fn accept_up_to_limit(&mut self, context: &mut Context) -> AcceptResult {
        for accepted_count in 0..MAX_ACCEPTS_PER_ITERATION {
            if context.descriptors.available() == 0 {
                // After the first accept it is unknown whether another connection is queued. If one is, the listener becomes
                // ready again. Reporting a shortage here could close a connection needlessly.
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

    /// Adds an accepted connection. If the event loop cannot watch it, rejects, counts and logs it.
    fn add_connection(&mut self, context: &mut Context, stream: TcpStream) {
        // Without TCP_NODELAY responses may be delayed, but the connection still works.
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
        self.update_idle_list(id);
    }

    /// Upper bound on how long a request on a newly accepted connection waited in the accept queue. Zero if no input has
    /// arrived yet.
    fn queue_time(&self, context: &Context, connection: &Connection) -> TimeDelta {
        match self.listener.backlog_since {
            Some(since) if !connection.is_open_without_input() => context.now() - since,
            _ => TimeDelta::ZERO,
        }
    }

    /// Stops accepting until descriptors are available. Without the pause the event loop would spin on a listener that stays
    /// ready.
    pub(crate) fn pause_accepting(&mut self, context: &Context) {
        let Some(token) = self.listener.token.filter(|_| !self.is_accepting_paused()) else {
            return;
        };
        self.listener.state = match context.descriptors.available() {
            0 => ListenerState::AwaitingDescriptor,
            _ => ListenerState::AwaitingMaintenance,
        };
        if let Err(e) = context.handle.disable(&token) {
            tracing::warn!("cannot pause the listener: {e}");
        }
    }

    /// Whether accepting is paused because of a descriptor shortage.
    pub(crate) fn is_accepting_paused(&self) -> bool {
        self.listener.state != ListenerState::Accepting
    }

    /// Resumes accepting if it is paused until a descriptor is free, and one is.
    pub(crate) fn resume_with_descriptor(&mut self, context: &Context) {
        let is_awaiting_descriptor = self.listener.state == ListenerState::AwaitingDescriptor;
        if is_awaiting_descriptor && context.descriptors.available() > 0 {
            self.resume_accepting(context);
        }
    }

    /// Resumes accepting if it is paused.
    pub(super) fn resume_accepting(&mut self, context: &Context) {
        let Some(token) = self.listener.token.filter(|_| self.is_accepting_paused()) else {
            return;
        };
        self.listener.state = ListenerState::Accepting;
        if let Err(e) = context.handle.enable(&token) {
            tracing::warn!("cannot resume the listener: {e}");
        }
    }
}
