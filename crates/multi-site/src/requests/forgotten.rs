//! What is left of inbound requests whose completion is no longer stored: the newest one of each sender.
//!
//! Each sender numbers its requests in order. So whatever is not newer than the newest forgotten request of its sender may be
//! forgotten itself, however late a message about it arrives.

use std::collections::BTreeMap;

use harrierdock_site_messages::GatewayName;

use super::InboundKey;

/// The maximum number of senders with an entry of their own; more than a site has gateways.
const MAX_SENDERS: usize = 4096;

/// The position of a request among all requests of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestNumber {
    incarnation: u64,
    forwarding_id: u64,
}

impl RequestNumber {
    fn of(key: &InboundKey) -> RequestNumber {
        RequestNumber {
            incarnation: key.sender_incarnation,
            forwarding_id: key.forwarding_id,
        }
    }
}

/// The newest forgotten request of each sender.
#[derive(Debug, Default)]
pub(crate) struct ForgottenRequests {
    newest: BTreeMap<GatewayName, RequestNumber>,
    /// The newest request of all senders whose entry was dropped.
    newest_dropped: Option<RequestNumber>,
}

impl ForgottenRequests {
    /// Records that the completion of a request is no longer stored.
    pub(crate) fn record(&mut self, key: &InboundKey) {
        let number = RequestNumber::of(key);
        if let Some(newest) = self.newest.get_mut(&key.sender) {
            *newest = number.max(*newest);
            return;
        }
        if self.newest.len() >= MAX_SENDERS {
            self.drop_oldest_sender();
        }
        self.newest.insert(key.sender.clone(), number);
    }

    /// Whether a request may have been accepted or refused before. True of every forgotten request, and of older ones of the same
    /// sender.
    pub(crate) fn may_include(&self, key: &InboundKey) -> bool {
        let newest = self.newest.get(&key.sender).copied();
        newest.max(self.newest_dropped) >= Some(RequestNumber::of(key))
    }

    /// Drops the sender that started first. Requests from this start or earlier ones then count as forgotten whoever sent them.
    fn drop_oldest_sender(&mut self) {
        let oldest = self.newest.iter().min_by_key(|(_, number)| **number);
        let Some(sender) = oldest.map(|(sender, _)| sender.clone()) else {
            return;
        };
        let dropped = self.newest.remove(&sender);
        self.newest_dropped = self.newest_dropped.max(dropped);
    }
}
