//! What everything on sockets shares: the loop, the clock, buffers and descriptors.

use calloop::LoopHandle;
use harrierdock_http::BUFFER_BYTES;
use harrierdock_types::Timestamp;

use crate::buffer_pool::BufferPool;
use crate::clock::Clock;
use crate::descriptor_budget::DescriptorBudget;

/// The number of a connection. Never used twice by one program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Whose share of buffers and descriptors a connection uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResourceClass {
    /// A client's connection. Clients may hold only a part of the buffers.
    Downstream,
    /// A connection to an endpoint.
    Upstream,
    /// One of the few connections for which descriptors are set aside.
    Reserved,
}

/// What everything on sockets shares.
pub struct IoContext<D: 'static> {
    /// The loop in which sockets are registered.
    pub handle: LoopHandle<'static, D>,
    /// The clock.
    pub clock: Clock,
    /// The buffers.
    pub buffers: BufferPool,
    /// The descriptors.
    pub descriptors: DescriptorBudget,
    /// How often no buffer was available.
    pub buffer_shortages: u64,
    /// How many line streams have been opened.
    pub streams_opened: u64,
    /// Where discarded input goes.
    pub(crate) discard: Vec<u8>,
    last_connection: u64,
}

impl<D> IoContext<D> {
    /// A context in this loop.
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
            buffer_shortages: 0,
            streams_opened: 0,
            discard: vec![0; BUFFER_BYTES],
            last_connection: 0,
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A new connection number.
    pub fn next_connection_id(&mut self) -> ConnectionId {
        self.last_connection += 1;
        ConnectionId(self.last_connection)
    }
}
