//! Turns a gateway in the test's own thread, with a clock that the test moves between any two readings.

mod attempt_deadlines;
mod drawn_hold_ups;
mod gateway_fixture;
mod inbound_deadlines;
mod late_responses;
mod scripted_clock;
mod stated_time;
