//! Decisions as short traces, without the bench.

mod circles;
mod desk;
mod failures;
mod rules;
mod votes;
