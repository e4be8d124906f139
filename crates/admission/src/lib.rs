//! Admission by deadline across all gateways of a fleet: admits, delays or rejects requests so that the admitted ones are answered within
//! their deadlines.
//!
//! Each gateway runs one [`AdmissionController`]: `handle` processes an event and returns actions, and `decide` decides on a request
//! without allocating. The controller does no I/O and reads no clock; its random numbers come from a given seed.

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
