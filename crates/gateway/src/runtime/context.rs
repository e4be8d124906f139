//! What every part of a gateway shares: sockets, counters, timers, the queue of internal events, and the functions that the
//! event loop calls when a socket is ready.

use std::collections::VecDeque;
use std::ops::{Deref, DerefMut, Range};

use harrierdock_event_loop::{Buffer, IoContext, TimerQueue};
use harrierdock_multi_site::InboundId;
use harrierdock_types::{
    AffinityKey, AttemptOutcome, ClassId, Event, PeerId, RequestId, TimeDelta, Timestamp,
};

use crate::metrics::Counters;
use crate::runtime::gateway::Gateway;
use crate::runtime::socket_handlers::SocketHandlers;
use crate::runtime::timer::Timer;

/// A request as its client wrote it, to be sent on unchanged.
pub(crate) struct OutboundRequest<'a> {
    /// The HTTP method.
    pub(crate) method: &'a str,
    /// The request target: path and query.
    pub(crate) target: &'a str,
    /// The id that its client gave it.
    pub(crate) client_request_id: &'a str,
    /// The idempotency key, if it has one.
    pub(crate) idempotency_key: Option<&'a str>,
    /// The body.
    pub(crate) body: &'a [u8],
}

/// The body of a response, in the buffer that it was received in.
pub(crate) struct ResponseBody {
    /// The buffer, which belongs to the buffer pool.
    pub(crate) buffer: Buffer,
    /// Where the body stands in it.
    pub(crate) range: Range<usize>,
}

impl ResponseBody {
    /// The bytes of the body.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.buffer[self.range.clone()]
    }
}

/// A request that was received from a client or from the other site.
pub(crate) struct ReceivedRequest {
    /// Its id.
    pub(crate) id: RequestId,
    /// Its class.
    pub(crate) class: ClassId,
    /// Its affinity key, if it has one.
    pub(crate) key: Option<AffinityKey>,
    /// Whether its client has sent it before.
    pub(crate) is_client_retry: bool,
    /// How long its client still waits.
    pub(crate) time_left: TimeDelta,
    /// Its number at the site boundary, if the other site forwarded it.
    pub(crate) inbound: Option<InboundId>,
}

/// An attempt that has ended.
pub(crate) struct FinishedAttempt {
    /// The request.
    pub(crate) id: RequestId,
    /// The attempt, counted from 0.
    pub(crate) attempt: usize,
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
    /// The endpoint's answer, if the attempt succeeded.
    pub(crate) response: Option<ResponseBody>,
}

/// What the parts report to the dispatcher.
pub(crate) enum InternalEvent {
    /// A request was received.
    RequestReceived(ReceivedRequest),
    /// The client of a request has disconnected, or the other site has abandoned it.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptFinished(FinishedAttempt),
    /// An event for the policy, to be delivered as it is.
    Policy(Event),
    /// A binary message of a peer, about leases or rollout votes, as it was received.
    PeerMessage {
        /// The peer.
        from: PeerId,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// An internal event with the time that it is delivered as of.
pub(crate) struct QueuedEvent {
    /// When it happened.
    pub(crate) at: Timestamp,
    /// What happened.
    pub(crate) event: InternalEvent,
}

/// What the parts share. The sockets' side of it, `IoContext`, is reached by dereference.
pub(crate) struct Context {
    /// The event loop, clock, buffers and descriptors.
    pub(crate) io: IoContext<Gateway>,
    /// The counters.
    pub(crate) counters: Counters,
    /// The timers.
    pub(crate) timers: TimerQueue<Timer>,
    /// Events that wait for the dispatcher.
    pub(crate) events: VecDeque<QueuedEvent>,
    /// What the event loop calls for each kind of socket.
    pub(crate) handlers: SocketHandlers,
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
    /// A context without events or timers.
    pub(crate) fn new(io: IoContext<Gateway>, handlers: SocketHandlers) -> Context {
        Context {
            io,
            counters: Counters::default(),
            timers: TimerQueue::default(),
            events: VecDeque::new(),
            handlers,
            last_request_id: 0,
        }
    }

    /// Queues an event as of now.
    pub(crate) fn emit(&mut self, event: InternalEvent) {
        let now = self.now();
        self.emit_at(now, event);
    }

    /// Queues an event as of a time at or before now.
    pub(crate) fn emit_at(&mut self, at: Timestamp, event: InternalEvent) {
        self.events.push_back(QueuedEvent { at, event });
    }

    /// Sets a timer and returns its deadline.
    pub(crate) fn set_timer_after(&mut self, delay: TimeDelta, timer: Timer) -> Timestamp {
        let deadline = self.now() + delay;
        self.timers.set(deadline, timer);
        deadline
    }

    /// Sets a timer in place of an earlier one of its kind, and returns its deadline.
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

    /// A new request id.
    pub(crate) fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        RequestId(self.last_request_id)
    }
}
