//! The path id that the site transport and the multi-site decisions share.

/// This gateway's id for a path (one connection to another gateway), never reused. It is not part of any message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PathId(pub u64);
