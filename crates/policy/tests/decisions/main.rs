//! Decisions as short traces, without the bench.

mod circles;
mod desk;
mod failures;
mod keys;
mod rules;
mod votes;
