//! Sockets on calloop, for any program: connections with their callbacks, pooled buffers, descriptors, what is
//! due, streams of lines, and log lines that never hold anybody up. `D` is the data that the loop hands to
//! callbacks; nothing here knows what a gateway is, and nothing here decides.

mod clock;
mod connection;
mod dues;
mod errand;
mod feed;
pub mod logging;
mod net;
mod pool;

pub use clock::Clock;
pub use connection::{Connection, Filled, Flushed, Purse};
pub use dues::Dues;
pub use errand::{Errand, Step};
pub use feed::{Asking, Feed, Heard};
pub use net::{ConnectionNo, Net};
pub use pool::{Buffer, Descriptors, Pool};
