//! What happens next.

use harrierdock_site_messages::{GatewayName, SiteMessage};
use harrierdock_types::{RequestId, TimeDelta};

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Job {
    Client(RequestId),
    Inward(u64),
}

pub(super) enum Happening {
    Arrive {
        gateway: usize,
    },
    SiteMessage {
        to: usize,
        link: u64,
        letter: Box<SiteMessage>,
    },
    Up {
        from: usize,
        to: usize,
        link: u64,
    },
    Unreachable {
        gateway: usize,
        peer: GatewayName,
    },
    Down {
        gateway: usize,
        link: u64,
        orderly: bool,
    },
    Sent {
        gateway: usize,
        life: u32,
        job: Job,
        txn: u64,
        class: usize,
        left: TimeDelta,
    },
    Ended {
        gateway: usize,
        life: u32,
        job: Job,
        class: usize,
        settled: bool,
    },
    Wake {
        gateway: usize,
        life: u32,
    },
    Start {
        gateway: usize,
    },
    Trouble,
}
