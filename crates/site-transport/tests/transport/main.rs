//! Tests of two transports on a simulated network, in simulated time.

mod credentials;
mod delivery;
mod network;
