//! Admission by deadline over all gateways of a fleet: what is admitted, kept waiting or rejected at once, so that what is sent is
//! answered within its deadline.
//!
//! [`AdmissionController`] is one gateway's part: `handle` takes what has happened and returns what is to be done, and `decide` says at
//! once what becomes of a request, without allocating. No I/O, no clock of its own; its randomness comes from the given seed.

#![warn(missing_docs, unreachable_pub)]

mod admission_rates;
mod controller;
mod event;
pub mod fair_share;
pub mod latency_histogram;
pub mod load_report;
mod peer_reports;
mod tick;
mod wait_queue;

pub use admission_rates::AdmissionRates;
pub use controller::{AdmissionController, MAX_WAIT_RATIO};
pub use event::{Action, AdmissionParameters, AdmissionRequest, Decision, Event};
pub use peer_reports::{PeerCounts, MAX_MEMBERS, MAX_REPORTS};
pub use wait_queue::MAX_WAITING;
