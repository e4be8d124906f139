//! The kinds of what falls due in a gateway.

use harrierdock_event_loop::ConnectionId;
use harrierdock_types::RequestId;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The module asked to be woken.
    Wake,
    /// A attempt has waited for its connection or its answer for as long as it may.
    Submission(ConnectionId),
    /// A vote has waited for its answer for as long as it may.
    Vote(ConnectionId),
    /// A request must have been answered by now.
    Txn(RequestId),
    /// The link to the other site has something due.
    Link,
    /// What goes between the sites is looked after.
    Sites,
    /// What the fleet shares is looked after.
    Fleet,
    /// The steward's ballots and waves are looked after.
    Steward,
    /// A call of the installation has waited for its answer for as long as it may.
    Call(ConnectionId),
    /// Connections, streams and descriptors are looked after.
    Tend,
    /// The counters are logged.
    Report,
    /// Told to end, the gateway looks whether it can.
    Shutdown,
}
