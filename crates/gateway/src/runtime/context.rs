//! What all parts of a gateway share: what stands on sockets, counters, what is due, and the notices that wait
//! for the driver.

use std::collections::VecDeque;
use std::ops::{Deref, DerefMut};

use harrierdock_event_loop::{Buffer, Dues, Net};
use harrierdock_multi_site::InwardNo;
use harrierdock_types::interface::{Event, Key, Outcome, PeerIx, ProductIx, TxnId};
use harrierdock_types::time::{Point, Span};

use crate::metrics::Counters;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Due;

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
    Taken {
        id: TxnId,
        product: ProductIx,
        key: Option<Key>,
        again: bool,
        left: Span,
        /// It was handed over by the other site.
        inward: Option<InwardNo>,
    },
    Left {
        id: TxnId,
    },
    Closed {
        id: TxnId,
        attempt: usize,
        outcome: Outcome,
        told: Option<Body>,
    },
    Event(Event),
    /// A message of a fleet, as it came.
    FleetMail {
        from: PeerIx,
        bytes: Vec<u8>,
    },
}

pub struct Room {
    pub net: Net<Gateway>,
    pub counters: Counters,
    pub dues: Dues<Due>,
    pub inbox: VecDeque<(Point, Notice)>,
    last_txn: u64,
}

/// The sockets' side of it is used as though it were the room's own.
impl Deref for Room {
    type Target = Net<Gateway>;
    fn deref(&self) -> &Net<Gateway> {
        &self.net
    }
}

impl DerefMut for Room {
    fn deref_mut(&mut self) -> &mut Net<Gateway> {
        &mut self.net
    }
}

impl Room {
    pub fn new(net: Net<Gateway>) -> Room {
        let (counters, dues, inbox) = (Counters::default(), Dues::default(), VecDeque::new());
        Room { net, counters, dues, inbox, last_txn: 0 }
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

    pub fn next_txn(&mut self) -> TxnId {
        self.last_txn += 1;
        TxnId(self.last_txn)
    }
}
