//! Decides at the moment at which an attempt is about to be written, without I/O: whether that on which it was decided
//! still holds. Between the decision and the first byte lies the making of a connection, in which a list, news,
//! another txn's answer or the client's leaving may come. And which kept connection may carry it, how long to wait
//! before a service that refused is asked again, and how long a list may be acted on that nothing confirms.

mod backoff;
mod condition;
mod freshness;
mod pool;

pub use backoff::Backoff;
pub use condition::{Condition, Lapse, Standing};
pub use freshness::{Freshness, TOLD_ANYWAY};
pub use pool::{Kept, Pool};
