//! The identifier that the transport and the decisions share.

/// A path: one connection between two gateways, by a number that this gateway never uses twice. It is not part of any message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PathId(pub u64);
