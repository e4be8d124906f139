//! What every part on sockets shares: the loop, the clock, buffers and descriptors.

use calloop::LoopHandle;
use harrierdock_http::BUFFER;
use harrierdock_types::time::Point;

use crate::clock::Clock;
use crate::pool::{Descriptors, Pool};

/// The number of a connection, never used twice.
pub type ConnectionNo = u64;

pub struct Net<D: 'static> {
    pub handle: LoopHandle<'static, D>,
    pub clock: Clock,
    pub pool: Pool,
    pub descriptors: Descriptors,
    /// How often no buffer was to be had.
    pub no_buffer: u64,
    pub streams_opened: u64,
    /// Where what is passed over goes.
    pub(crate) sink: Vec<u8>,
    last_connection: ConnectionNo,
}

impl<D> Net<D> {
    pub fn new(handle: LoopHandle<'static, D>, pool: Pool, descriptors: Descriptors) -> Net<D> {
        Net {
            handle,
            clock: Clock::start(),
            pool,
            descriptors,
            no_buffer: 0,
            streams_opened: 0,
            sink: vec![0; BUFFER],
            last_connection: 0,
        }
    }

    pub fn now(&self) -> Point {
        self.clock.now()
    }

    pub fn next_connection(&mut self) -> ConnectionNo {
        self.last_connection += 1;
        self.last_connection
    }
}
