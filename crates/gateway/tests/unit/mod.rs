//! Runs a gateway's event loop in the test's own thread, with a clock that the test can advance between any two readings.

mod attempt_deadlines;
mod buffer_shortages;
mod gateway_fixture;
mod inbound_deadlines;
mod late_responses;
mod random_pauses;
mod repeated_inbound;
mod scripted_clock;
mod stated_time;
