//! State shared by all sockets: the event loop, the clock, buffers and descriptors.

use calloop::LoopHandle;
use harrierdock_http::BUFFER_BYTES;
use harrierdock_types::Timestamp;

use crate::buffer_pool::BufferPool;
use crate::buffer_shortages::BufferShortages;
use crate::clock::Clock;
use crate::descriptor_budget::DescriptorBudget;
use crate::stream_end::StreamCounts;

/// The id of a connection, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The share of buffers and descriptors that a connection counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResourceClass {
    /// A client's connection. Clients may hold only a share of the buffers.
    Downstream,
    /// A connection to an endpoint.
    Upstream,
    /// One of the few connections for which descriptors are reserved.
    Reserved,
}

/// State shared by all sockets of an event loop.
pub struct IoContext<D: 'static> {
    /// The event loop with which sockets are registered.
    pub handle: LoopHandle<'static, D>,
    /// The source of all timestamps and deadlines.
    pub clock: Clock,
    /// The pool of input and output buffers.
    pub buffers: BufferPool,
    /// The limit on open connections.
    pub descriptors: DescriptorBudget,
    /// How often no buffer was available, and the waits for one.
    pub buffer_shortages: BufferShortages,
    /// How often line streams were opened and ended.
    pub streams: StreamCounts,
    /// Scratch buffer for input that is read and discarded.
    pub(crate) discard: Vec<u8>,
    last_connection: u64,
}

impl<D> IoContext<D> {
    /// Creates the context of an event loop, and starts its clock.
    pub fn new(
        handle: LoopHandle<'static, D>,
        buffers: BufferPool,
        descriptors: DescriptorBudget,
    ) -> IoContext<D> {
        IoContext {
            handle,
            clock: Clock::start(),
            buffers,
            descriptors,
            buffer_shortages: BufferShortages::default(),
            streams: StreamCounts::default(),
            discard: vec![0; BUFFER_BYTES],
            last_connection: 0,
        }
    }

    /// The current time of the clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Allocates a connection id.
    pub fn next_connection_id(&mut self) -> ConnectionId {
        self.last_connection += 1;
        ConnectionId(self.last_connection)
    }
}
