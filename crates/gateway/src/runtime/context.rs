//! State shared by all parts of a gateway: sockets, counters, timers, the queue of internal events, and the socket handlers
//! that the event loop calls.

use std::collections::VecDeque;
use std::ops::{Deref, DerefMut, Range};

use harrierdock_attempt_guard::{RequestIdHash, RequestIds};
use harrierdock_event_loop::{Buffer, IoContext, TimerQueue};
use harrierdock_multi_site::InboundId;
use harrierdock_types::{
    AffinityKey, AttemptOutcome, ClassId, Event, PeerId, RequestId, TimeDelta, Timestamp,
};

use crate::metrics::Counters;
use crate::runtime::gateway::Gateway;
use crate::runtime::socket_handlers::SocketHandlers;
use crate::runtime::timer::Timer;

/// A client's request, forwarded unchanged.
pub(crate) struct OutboundRequest<'a> {
    /// HTTP method, such as `POST`.
    pub(crate) method: &'a str,
    /// Request target: path and query.
    pub(crate) target: &'a str,
    /// Request id assigned by the client.
    pub(crate) client_request_id: &'a str,
    /// Value of the `Idempotency-Key` header, if present.
    pub(crate) idempotency_key: Option<&'a str>,
    /// Request body; empty if the request has none.
    pub(crate) body: &'a [u8],
}

/// A response body, kept in the buffer that received it.
pub(crate) struct ResponseBody {
    /// Receive buffer, to be returned to the buffer pool.
    pub(crate) buffer: Buffer,
    /// Position of the body within `buffer`.
    pub(crate) range: Range<usize>,
}

impl ResponseBody {
    /// Returns the body without the rest of the buffer.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.buffer[self.range.clone()]
    }
}

/// A request that was received from a client or from the other site.
pub(crate) struct ReceivedRequest {
    /// Id assigned by this gateway.
    pub(crate) id: RequestId,
    /// The client's own id for the request, under which no other request is under way.
    pub(crate) client_id: RequestIdHash,
    /// Request class that the client named.
    pub(crate) class: ClassId,
    /// Affinity key, if the request has one.
    pub(crate) key: Option<AffinityKey>,
    /// Whether the client marked the request as a retry.
    pub(crate) is_client_retry: bool,
    /// Time until the client gives up.
    pub(crate) time_left: TimeDelta,
    /// Id of the inbound request; `None` if the request came from a client of this site.
    pub(crate) inbound: Option<InboundId>,
}

/// A finished attempt and its outcome.
pub(crate) struct FinishedAttempt {
    /// Request that the attempt belongs to.
    pub(crate) id: RequestId,
    /// Index of the attempt within the request, from 0.
    pub(crate) attempt: usize,
    /// Outcome to report to the policy.
    pub(crate) outcome: AttemptOutcome,
    /// Response body from the endpoint, if the attempt succeeded.
    pub(crate) response: Option<ResponseBody>,
}

/// An event that a part of the gateway reports to the dispatcher.
pub(crate) enum InternalEvent {
    /// A request arrived from a client or from the other site.
    RequestReceived(ReceivedRequest),
    /// The client disconnected, or the other site abandoned its forwarded request.
    ClientDisconnected {
        /// Request that no longer needs a response.
        id: RequestId,
    },
    /// An attempt succeeded, was rejected, or failed.
    AttemptFinished(FinishedAttempt),
    /// An event to pass to the policy unchanged.
    Policy(Event),
    /// A binary message from a peer about leases or rollout votes, not yet decoded.
    PeerMessage {
        /// Peer that sent the message.
        from: PeerId,
        /// The whole datagram, as received.
        bytes: Vec<u8>,
    },
}

/// An internal event with its time of occurrence.
pub(crate) struct QueuedEvent {
    /// Time of occurrence, which may precede the time of processing.
    pub(crate) at: Timestamp,
    /// Event for the dispatcher.
    pub(crate) event: InternalEvent,
}

/// State shared by all parts of the gateway. Dereferences to `IoContext`, which holds the socket-related state.
pub(crate) struct Context {
    /// Event loop handle, clock, buffer pool and descriptor budget.
    pub(crate) io: IoContext<Gateway>,
    /// Counters since the gateway started.
    pub(crate) counters: Counters,
    /// Pending timers of all parts.
    pub(crate) timers: TimerQueue<Timer>,
    /// Events not yet processed by the dispatcher, oldest first.
    pub(crate) events: VecDeque<QueuedEvent>,
    /// Functions that the event loop calls when a socket is ready.
    pub(crate) handlers: SocketHandlers,
    /// The clients' ids for their requests, by which copies are recognized.
    pub(crate) client_ids: RequestIds,
    last_request_id: u64,
}

impl Deref for Context {
    type Target = IoContext<Gateway>;

    fn deref(&self) -> &IoContext<Gateway> {
        &self.io
    }
}

impl DerefMut for Context {
    fn deref_mut(&mut self) -> &mut IoContext<Gateway> {
        &mut self.io
    }
}

impl Context {
    /// Creates a context without events or timers.
    pub(crate) fn new(io: IoContext<Gateway>, handlers: SocketHandlers) -> Context {
        Context {
            io,
            counters: Counters::default(),
            timers: TimerQueue::default(),
            events: VecDeque::new(),
            handlers,
            client_ids: RequestIds::default(),
            last_request_id: 0,
        }
    }

    /// Queues an event that occurs now.
    pub(crate) fn emit(&mut self, event: InternalEvent) {
        let now = self.now();
        self.emit_at(now, event);
    }

    /// Queues an event that occurred at `at`, which is not later than now.
    pub(crate) fn emit_at(&mut self, at: Timestamp, event: InternalEvent) {
        self.events.push_back(QueuedEvent { at, event });
    }

    /// Sets a timer and returns its deadline.
    pub(crate) fn set_timer_after(&mut self, delay: TimeDelta, timer: Timer) -> Timestamp {
        let deadline = self.now() + delay;
        self.timers.set(deadline, timer);
        deadline
    }

    /// Cancels the timer set for `earlier`, if any, sets it for `deadline`, and returns `deadline`.
    pub(crate) fn replace_timer(
        &mut self,
        earlier: Option<Timestamp>,
        deadline: Timestamp,
        timer: Timer,
    ) -> Timestamp {
        if let Some(earlier) = earlier {
            self.timers.cancel(earlier, timer);
        }
        self.timers.set(deadline, timer);
        deadline
    }

    /// Returns a request id that was not used before.
    pub(crate) fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        RequestId(self.last_request_id)
    }
}
