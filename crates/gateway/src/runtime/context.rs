//! What all parts of a gateway share: what stands on sockets, counters, what is due, and the notices that wait
//! for the driver.

use std::collections::VecDeque;
use std::ops::{Deref, DerefMut};

use harrierdock_event_loop::{Buffer, IoContext, TimerQueue};
use harrierdock_multi_site::InboundId;
use harrierdock_types::{AffinityKey, AttemptOutcome, ClassId, Event, PeerId, RequestId};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::metrics::Counters;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Due;

/// A request as a client wrote it, to be passed on unchanged.
pub struct Asked<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub request: &'a str,
    pub reference: Option<&'a str>,
    pub body: &'a [u8],
}

/// The body of a endpoint's answer, in the buffer it came in.
pub struct Body {
    pub buffer: Buffer,
    pub body: std::ops::Range<usize>,
}

/// What the parts tell the driver.
pub enum Notice {
    Taken {
        id: RequestId,
        class: ClassId,
        key: Option<AffinityKey>,
        again: bool,
        left: TimeDelta,
        /// It was handed over by the other site.
        inward: Option<InboundId>,
    },
    Left {
        id: RequestId,
    },
    Closed {
        id: RequestId,
        attempt: usize,
        outcome: AttemptOutcome,
        told: Option<Body>,
    },
    Event(Event),
    /// A message of a fleet, as it came.
    FleetMail {
        from: PeerId,
        bytes: Vec<u8>,
    },
}

pub struct Room {
    pub net: IoContext<Gateway>,
    pub counters: Counters,
    pub dues: TimerQueue<Due>,
    pub inbox: VecDeque<(Timestamp, Notice)>,
    last_txn: u64,
}

/// The sockets' side of it is used as though it were the room's own.
impl Deref for Room {
    type Target = IoContext<Gateway>;
    fn deref(&self) -> &IoContext<Gateway> {
        &self.net
    }
}

impl DerefMut for Room {
    fn deref_mut(&mut self) -> &mut IoContext<Gateway> {
        &mut self.net
    }
}

impl Room {
    pub fn new(net: IoContext<Gateway>) -> Room {
        let (counters, dues, inbox) = (Counters::default(), TimerQueue::default(), VecDeque::new());
        Room {
            net,
            counters,
            dues,
            inbox,
            last_txn: 0,
        }
    }

    /// Tells the driver, as of now.
    pub fn tell(&mut self, notice: Notice) {
        let now = self.now();
        self.inbox.push_back((now, notice));
    }

    pub fn due_in(&mut self, after: TimeDelta, due: Due) -> Timestamp {
        let at = self.now() + after;
        self.dues.set(at, due);
        at
    }

    pub fn next_txn(&mut self) -> RequestId {
        self.last_txn += 1;
        RequestId(self.last_txn)
    }
}
