//! General socket code on calloop: connections with callbacks, pooled buffers, a descriptor budget, timers, streams of lines
//! that can be reopened, and non-blocking log lines.
//!
//! `D` is the data that the event loop passes to callbacks. This crate contains no gateway logic and no policy.

#![warn(missing_docs, unreachable_pub)]

mod buffer_pool;
mod buffer_shortages;
mod clock;
mod connection;
mod descriptor_budget;
mod interest;
mod io_context;
mod json_boundary;
mod line_stream;
pub mod logging;
mod message_buffer;
mod request_exchange;
mod stream_end;
mod stream_event;
mod stream_io;
mod timer_queue;

pub use buffer_pool::{Buffer, BufferPool, SHORT_BUFFER_BYTES};
pub use buffer_shortages::{BufferShortages, RecentShortages};
pub use clock::Clock;
pub use connection::{Connection, RegisterError};
pub use descriptor_budget::DescriptorBudget;
pub use io_context::{ConnectionId, IoContext, ResourceClass};
pub use line_stream::{LineStream, LineStreamSettings};
pub use message_buffer::{AssembledMessage, MessageBuffer, MessageFraming};
pub use request_exchange::{ExchangeEvent, RequestExchange};
pub use stream_end::{StreamCounts, StreamEnd};
pub use stream_event::{ResponseMode, StreamEvent};
pub use stream_io::{respond_and_close, ReadResult, WriteResult};
pub use timer_queue::TimerQueue;
