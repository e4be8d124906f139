//! The endpoints' side: the attempts under way, each on a connection of its own, and the connections kept between them.

mod exchange;
mod pool;
mod wire;

use std::collections::BTreeMap;
use std::io;

use harrierdock_attempt_guard::ReusePolicy;
use harrierdock_event_loop::{Connection, ConnectionId, ResourceClass};
use harrierdock_http::MessageReader;
use harrierdock_types::{AttemptOutcome, EndpointId, RequestId, TimeDelta, Timestamp};
use rustix::io::Errno;

use crate::metrics::Counter;
use crate::runtime::context::{Context, OutboundRequest};
use crate::runtime::timer::Timer;
use pool::EndpointConnections;

pub(crate) use pool::EndpointInstance;

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// The request.
    pub(crate) request: RequestId,
    /// The attempt, counted from 0.
    pub(crate) attempt: usize,
}

/// An attempt that is to start.
pub(crate) struct AttemptStart {
    /// The attempt.
    pub(crate) id: AttemptId,
    /// Where it goes.
    pub(crate) endpoint: EndpointId,
    /// When its time is over. A point in time and no duration: how late it starts does not move it.
    pub(crate) deadline: Timestamp,
}

/// An attempt of whose request the last byte has not been written.
pub(crate) struct UnsentAttempt {
    /// The attempt.
    pub(crate) id: AttemptId,
    /// Whether the instance that its connection leads to is still the one listed for the endpoint.
    pub(crate) is_instance_listed: bool,
}

/// The attempt that a connection carries.
#[derive(Clone, Copy)]
struct Exchange {
    attempt: AttemptId,
    /// When the attempt's timer fires: the connection or the rest of a response has had its time by then.
    timer_deadline: Timestamp,
    /// When the attempt's own time is over.
    deadline: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Connecting,
    Writing,
    Waiting,
    Idle,
}

struct PooledConnection {
    connection: Connection,
    endpoint: EndpointId,
    instance: EndpointInstance,
    phase: Phase,
    reader: MessageReader,
    since: Timestamp,
    exchange: Option<Exchange>,
    /// Where the time that the client still waits is to be inserted into the output, if it is not stated yet.
    time_left_at: Option<usize>,
}

/// The endpoints' side of the gateway.
pub(crate) struct Upstream {
    /// The endpoints that run.
    endpoints: BTreeMap<EndpointId, EndpointConnections>,
    connections: BTreeMap<ConnectionId, PooledConnection>,
    attempts: BTreeMap<AttemptId, ConnectionId>,
    connect_timeout: TimeDelta,
    reuse_policy: ReusePolicy,
}

impl Upstream {
    /// Without endpoints or connections.
    pub(crate) fn new(connect_timeout: TimeDelta, idle_timeout: TimeDelta) -> Upstream {
        Upstream {
            endpoints: BTreeMap::new(),
            connections: BTreeMap::new(),
            attempts: BTreeMap::new(),
            connect_timeout,
            reuse_policy: ReusePolicy::new(connect_timeout, idle_timeout),
        }
    }

    /// How many connections to endpoints there are.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Starts an attempt. Its end is reported as an internal event.
    ///
    /// # Errors
    ///
    /// It cannot start; the outcome is what this amounts to.
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
        let Some(output) = pooled.connection.output_buffer(context) else {
            self.close(context, id);
            return Err(AttemptOutcome::NotSent);
        };
        let address = pooled.instance.address;
        pooled.time_left_at = Some(wire::write_request(output, address, request));
        self.attempts.insert(start.id, id);
        self.write(context, id);
        Ok(())
    }

    /// Finds an idle connection to the endpoint, or opens one, and puts the attempt on it.
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
        if let Some(id) = self.reuse(context, start.endpoint, exchange) {
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
            since: context.now(),
            exchange: Some(exchange),
            time_left_at: None,
        };
        self.connections.insert(id, pooled);
        Ok(id)
    }

    /// The attempt on this connection, if its request is not written in full.
    pub(crate) fn unsent_attempt(&self, id: ConnectionId) -> Option<UnsentAttempt> {
        let pooled = self
            .connections
            .get(&id)
            .filter(|pooled| matches!(pooled.phase, Phase::Connecting | Phase::Writing))?;
        let endpoint = self.endpoints.get(&pooled.endpoint);
        Some(UnsentAttempt {
            id: pooled.exchange?.attempt,
            is_instance_listed: endpoint.is_some_and(|e| e.instance == pooled.instance),
        })
    }

    /// Cancels an attempt whose request is not written in full. Its connection is closed, so the endpoint cannot have started
    /// on it.
    pub(crate) fn cancel_unsent(&mut self, context: &mut Context, id: ConnectionId) {
        self.fail(context, id, AttemptOutcome::NotSent);
    }

    /// Cancels an attempt, if it has not ended.
    pub(crate) fn cancel_attempt(&mut self, context: &mut Context, attempt: AttemptId) {
        if let Some(id) = self.attempts.get(&attempt).copied() {
            self.fail(context, id, AttemptOutcome::Cancelled);
        }
    }
}

/// What a connection that could not be opened means for its attempt. A lack of this gateway's own says nothing about the
/// endpoint.
fn outcome_of_connect_error(context: &mut Context, error: &io::Error) -> AttemptOutcome {
    const OWN_SHORTAGES: [Errno; 5] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
    ];
    let is_own_shortage = OWN_SHORTAGES
        .iter()
        .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()));
    if is_own_shortage {
        context.counters.add(Counter::DescriptorShortages);
        AttemptOutcome::NotSent
    } else {
        AttemptOutcome::ConnectFailed
    }
}
