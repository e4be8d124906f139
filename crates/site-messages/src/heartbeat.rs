//! Heartbeats, and the membership records and credit that they carry.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A gateway, named by its site and its name there.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayName {
    /// The site's name.
    pub site: String,
    /// The gateway's name, unique within its site.
    pub gateway: String,
}

impl fmt::Display for GatewayName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.site, self.gateway)
    }
}

/// The state of a gateway. It announces the first three itself; others announce the last two about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It accepts forwarded requests.
    Serving,
    /// An operator has drained its site: it accepts none.
    Draining,
    /// It shuts down.
    Leaving,
    /// Its heartbeats are missing.
    Suspected,
    /// It was suspected, and has not refuted that in time.
    Lost,
}

/// What gateways tell each other about one of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The gateway that the record is about.
    pub gateway: GatewayName,
    /// Where the other site's gateways reach it.
    pub address: Option<SocketAddr>,
    /// Its start, above all its earlier ones.
    pub incarnation: u64,
    /// The version of its announcement within the incarnation. Only the gateway itself raises it.
    pub version: u32,
    /// Its state.
    pub state: MemberState,
}

impl MemberRecord {
    /// The key by which records of one gateway supersede each other: the newer announcement is higher, and at the same version
    /// a suspicion is above what the gateway announced.
    pub fn precedence(&self) -> (u64, u32, MemberState) {
        (self.incarnation, self.version, self.state)
    }
}

/// A sign of life, sent on each path in each heartbeat interval. It may be lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The heartbeat's number within the incarnation, from 1.
    pub sequence: u32,
    /// The newest sequence number received from the other end; 0 for none.
    pub echo: u32,
    /// How long before this heartbeat that one was received, in milliseconds.
    pub echo_delay_ms: u32,
    /// Records of gateways.
    pub records: Vec<MemberRecord>,
    /// By request class, how many requests the sender would have forwarded in one interval.
    pub demand: Vec<(String, u16)>,
    /// By request class, how many requests the receiver may forward until the next heartbeat.
    pub grants: Vec<(String, u16)>,
}
