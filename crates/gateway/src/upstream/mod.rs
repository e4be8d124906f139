//! Connections to endpoints: each open attempt has its own connection, and idle connections are pooled for reuse.

mod buffer_waiters;
mod exchange;
mod pool;
mod wire;

use std::collections::{BTreeMap, VecDeque};
use std::io;

use harrierdock_attempt_guard::ReusePolicy;
use harrierdock_event_loop::{Connection, ConnectionId, ResourceClass};
use harrierdock_http::MessageReader;
use harrierdock_types::{AttemptOutcome, EndpointId, RequestId, TimeDelta, Timestamp};
use rustix::io::Errno;

use crate::metrics::Counter;
use crate::runtime::buffer_use::BufferUse;
use crate::runtime::context::{Context, OutboundRequest};
use crate::runtime::timer::Timer;
use pool::EndpointConnections;

pub(crate) use pool::EndpointInstance;

/// Identifies an attempt among all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// The request that the attempt belongs to.
    pub(crate) request: RequestId,
    /// The attempt's number within its request, counted from 0.
    pub(crate) attempt: usize,
}

/// The parameters of `Upstream::start_attempt`.
pub(crate) struct AttemptStart {
    /// The request and the attempt's number.
    pub(crate) id: AttemptId,
    /// The endpoint to send the attempt to.
    pub(crate) endpoint: EndpointId,
    /// When the attempt times out. A point in time rather than a duration, so that a late start does not extend the attempt.
    pub(crate) deadline: Timestamp,
}

/// An attempt whose last byte has not been written to the socket.
pub(crate) struct UnsentAttempt {
    /// The request and the attempt's number.
    pub(crate) id: AttemptId,
    /// Whether the endpoint list still has the endpoint instance that the connection was opened to.
    pub(crate) is_instance_listed: bool,
}

/// The attempt that a connection currently carries.
#[derive(Clone, Copy)]
struct Exchange {
    attempt: AttemptId,
    /// When the attempt's timer fires. Earlier than `deadline` while connecting, or while the rest of a response is due within
    /// the connect timeout.
    timer_deadline: Timestamp,
    /// When the attempt times out.
    deadline: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    WritingRequest,
    AwaitingResponse,
    Idle,
}

struct PooledConnection {
    connection: Connection,
    endpoint: EndpointId,
    instance: EndpointInstance,
    phase: Phase,
    reader: MessageReader,
    /// When the connection was created, taken from the pool or put into it, whichever was last.
    last_used_at: Timestamp,
    exchange: Option<Exchange>,
    /// The offset in the output at which to insert the client's remaining time. `None` once it is inserted.
    time_left_offset: Option<usize>,
    /// Since when the response has waited for a longer buffer. `None` if it does not wait.
    buffer_wait_since: Option<Timestamp>,
}

impl PooledConnection {
    /// Records the end of the response's wait for a buffer, if it has waited.
    fn end_buffer_wait(&mut self, context: &mut Context) {
        if let Some(since) = self.buffer_wait_since.take() {
            let wait = context.now() - since;
            context.buffer_shortages.record_wait(wait);
        }
    }
}

/// The connections to all endpoints, and the attempts on them.
pub(crate) struct Upstream {
    /// The running endpoints and their idle connections.
    endpoints: BTreeMap<EndpointId, EndpointConnections>,
    connections: BTreeMap<ConnectionId, PooledConnection>,
    attempts: BTreeMap<AttemptId, ConnectionId>,
    /// The connections whose response waits for a longer buffer, in the order in which they get one. May contain closed ones.
    buffer_waiters: VecDeque<ConnectionId>,
    connect_timeout: TimeDelta,
    reuse_policy: ReusePolicy,
}

impl Upstream {
    /// Creates an upstream without endpoints or connections.
    pub(crate) fn new(connect_timeout: TimeDelta, idle_timeout: TimeDelta) -> Upstream {
        Upstream {
            endpoints: BTreeMap::new(),
            connections: BTreeMap::new(),
            attempts: BTreeMap::new(),
            buffer_waiters: VecDeque::new(),
            connect_timeout,
            reuse_policy: ReusePolicy::new(connect_timeout, idle_timeout),
        }
    }

    /// The number of connections to endpoints, idle or not.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Adds the buffers of all connections to endpoints, and the responses that wait for one.
    pub(crate) fn add_buffer_use(&self, now: Timestamp, buffer_use: &mut BufferUse) {
        for pooled in self.connections.values() {
            buffer_use.attempts += pooled.connection.buffer_bytes();
            if let Some(since) = pooled.buffer_wait_since {
                buffer_use.add_waiting(now - since);
            }
        }
    }

    /// Starts an attempt. Its outcome is reported later as an internal event.
    ///
    /// # Errors
    ///
    /// The attempt cannot start; the error is its outcome, and no event follows.
    pub(crate) fn start_attempt(
        &mut self,
        context: &mut Context,
        start: &AttemptStart,
        request: &OutboundRequest<'_>,
    ) -> Result<(), AttemptOutcome> {
        let id = self.connect_or_reuse(context, start)?;
        let Some(pooled) = self.connections.get_mut(&id) else {
            return Err(AttemptOutcome::NotSent);
        };
        let Some(output) = pooled
            .connection
            .output_buffer(context, wire::request_bytes(request))
        else {
            self.close(context, id);
            return Err(AttemptOutcome::NotSent);
        };
        let address = pooled.instance.address;
        pooled.time_left_offset = Some(wire::write_request(output, address, request));
        self.attempts.insert(start.id, id);
        self.write(context, id);
        Ok(())
    }

    /// Assigns the attempt to an idle connection to the endpoint, or to a new one.
    fn connect_or_reuse(
        &mut self,
        context: &mut Context,
        start: &AttemptStart,
    ) -> Result<ConnectionId, AttemptOutcome> {
        let instance = self
            .endpoints
            .get(&start.endpoint)
            .map(|endpoint| endpoint.instance)
            .ok_or(AttemptOutcome::ConnectFailed)?;
        let mut exchange = Exchange {
            attempt: start.id,
            timer_deadline: start.deadline,
            deadline: start.deadline,
        };
        if let Some(id) = self.reuse_connection(context, start.endpoint, exchange) {
            return Ok(id);
        }
        if context.descriptors.available() == 0 {
            context.counters.add(Counter::DescriptorShortages);
            return Err(AttemptOutcome::NotSent);
        }
        let id = context.next_connection_id();
        let handle_upstream = context.handlers.upstream;
        let connection = Connection::connect(
            context,
            instance.address,
            ResourceClass::Upstream,
            move |gateway, readiness| handle_upstream(gateway, id, readiness),
        )
        .map_err(|e| outcome_of_connect_error(context, &e))?;
        exchange.timer_deadline = start.deadline.min(context.now() + self.connect_timeout);
        context
            .timers
            .set(exchange.timer_deadline, Timer::Attempt(id));
        let pooled = PooledConnection {
            connection,
            endpoint: start.endpoint,
            instance,
            phase: Phase::Connecting,
            reader: MessageReader::default(),
            last_used_at: context.now(),
            exchange: Some(exchange),
            time_left_offset: None,
            buffer_wait_since: None,
        };
        self.connections.insert(id, pooled);
        Ok(id)
    }

    /// The attempt on this connection, if its last byte has not been written to the socket.
    pub(crate) fn unsent_attempt(&self, id: ConnectionId) -> Option<UnsentAttempt> {
        let pooled = self
            .connections
            .get(&id)
            .filter(|pooled| matches!(pooled.phase, Phase::Connecting | Phase::WritingRequest))?;
        let endpoint = self.endpoints.get(&pooled.endpoint);
        Some(UnsentAttempt {
            id: pooled.exchange?.attempt,
            is_instance_listed: endpoint.is_some_and(|e| e.instance == pooled.instance),
        })
    }

    /// Cancels an attempt whose last byte is unwritten, and closes its connection. The endpoint cannot have started to process
    /// the attempt.
    pub(crate) fn cancel_unsent(&mut self, context: &mut Context, id: ConnectionId) {
        self.fail_exchange(context, id, AttemptOutcome::NotSent);
    }

    /// Cancels an attempt and closes its connection. Does nothing if the attempt has finished.
    pub(crate) fn cancel_attempt(&mut self, context: &mut Context, attempt: AttemptId) {
        if let Some(id) = self.attempts.get(&attempt).copied() {
            self.fail_exchange(context, id, AttemptOutcome::Cancelled);
        }
    }
}

/// The outcome of an attempt whose connection could not be opened. A resource shortage of this gateway is not counted as a
/// failure of the endpoint.
fn outcome_of_connect_error(context: &mut Context, error: &io::Error) -> AttemptOutcome {
    const LOCAL_SHORTAGES: [Errno; 5] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
    ];
    let is_local_shortage = LOCAL_SHORTAGES
        .iter()
        .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()));
    if is_local_shortage {
        context.counters.add(Counter::DescriptorShortages);
        AttemptOutcome::NotSent
    } else {
        AttemptOutcome::ConnectFailed
    }
}
