//! What all parts of a gateway share: the loop, the clock, buffers and descriptors, counters, what is due, and
//! the notices that wait for the driver.

use std::collections::VecDeque;

use calloop::LoopHandle;
use harrierdock::interface::{Event, Key, Outcome, ProductIx, TxnId};
use harrierdock::time::{Point, Span};
use harrierdock_http::BUFFER;

use crate::clock::Clock;
use crate::counters::Counters;
use crate::dues::{ConnectionNo, Due, Dues};
use crate::gateway::Gateway;
use crate::pool::{Buffer, Descriptors, Pool};

/// A txn as a client wrote it, to be passed on unchanged.
pub struct Asked<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub txn: &'a str,
    pub reference: Option<&'a str>,
    pub body: &'a [u8],
}

/// The body of a server's answer, in the buffer it came in.
pub struct Body {
    pub buffer: Buffer,
    pub body: std::ops::Range<usize>,
}

/// What the parts tell the driver.
pub enum Notice {
    Taken { id: TxnId, product: ProductIx, key: Option<Key>, again: bool, left: Span },
    Left { id: TxnId },
    Closed { id: TxnId, attempt: usize, outcome: Outcome, told: Option<Body> },
    Event(Event),
}

pub struct Room {
    pub handle: LoopHandle<'static, Gateway>,
    pub clock: Clock,
    pub pool: Pool,
    pub descriptors: Descriptors,
    pub counters: Counters,
    pub dues: Dues,
    pub inbox: VecDeque<(Point, Notice)>,
    /// Where what is passed over goes.
    pub sink: Vec<u8>,
    last_connection: ConnectionNo,
    last_txn: u64,
}

impl Room {
    pub fn new(handle: LoopHandle<'static, Gateway>, pool: Pool, descriptors: Descriptors) -> Room {
        Room {
            handle,
            clock: Clock::start(),
            pool,
            descriptors,
            counters: Counters::default(),
            dues: Dues::default(),
            inbox: VecDeque::new(),
            sink: vec![0; BUFFER],
            last_connection: 0,
            last_txn: 0,
        }
    }

    pub fn now(&self) -> Point {
        self.clock.now()
    }

    /// Tells the driver, as of now.
    pub fn tell(&mut self, notice: Notice) {
        let now = self.now();
        self.inbox.push_back((now, notice));
    }

    pub fn due_in(&mut self, after: Span, due: Due) -> Point {
        let at = self.now() + after;
        self.dues.set(at, due);
        at
    }

    pub fn next_connection(&mut self) -> ConnectionNo {
        self.last_connection += 1;
        self.last_connection
    }

    pub fn next_txn(&mut self) -> TxnId {
        self.last_txn += 1;
        TxnId(self.last_txn)
    }
}
