//! Heartbeats, and the membership records and credit that they carry.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The full name of a gateway: its site and its name within the site.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayName {
    /// The site's name, unique among sites.
    pub site: String,
    /// The gateway's name, unique within its site.
    pub gateway: String,
}

impl fmt::Display for GatewayName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.site, self.gateway)
    }
}

/// The state of a gateway. A gateway announces the first three about itself; other gateways announce the last two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The gateway accepts forwarded requests.
    Serving,
    /// An operator has drained the site: the gateway accepts no forwarded requests.
    Draining,
    /// The gateway is shutting down.
    Leaving,
    /// The gateway's heartbeats have stopped arriving.
    Suspected,
    /// The gateway was suspected and did not refute the suspicion in time.
    Lost,
}

/// A membership record: the state of one gateway, which spreads through heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The gateway that the record describes.
    pub gateway: GatewayName,
    /// The address at which the other site's gateways reach it, if known.
    pub address: Option<SocketAddr>,
    /// The number of the gateway's start, higher than that of every earlier start.
    pub incarnation: u64,
    /// The version of the record within the incarnation. Only the gateway itself raises it.
    pub version: u32,
    /// The state of the gateway.
    pub state: MemberState,
}

impl MemberRecord {
    /// The precedence among records of the same gateway. A newer announcement is higher. At the same version, a suspicion is
    /// higher than the gateway's own announcement.
    pub fn precedence(&self) -> (u64, u32, MemberState) {
        (self.incarnation, self.version, self.state)
    }
}

/// A heartbeat, sent on each path in each heartbeat interval. It may be lost on the way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's incarnation, which `sequence` counts in.
    pub incarnation: u64,
    /// The sequence number of the heartbeat within the incarnation, starting at 1.
    pub sequence: u32,
    /// The newest sequence number received from the other end; 0 before its first heartbeat.
    pub echo: u32,
    /// The time from the receipt of the echoed heartbeat to the sending of this one, in milliseconds.
    pub echo_delay_ms: u32,
    /// Membership records of any gateways.
    pub records: Vec<MemberRecord>,
    /// How many requests of each class the sender would forward on this path in one interval.
    pub demand: Vec<(String, u16)>,
    /// How many requests of each class the receiver may forward until the next heartbeat.
    pub grants: Vec<(String, u16)>,
}
