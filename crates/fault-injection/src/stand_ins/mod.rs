//! Scripted stand-ins for what a gateway connects to, with one thread for each connection: for tests that need few
//! processes and control over every byte. A fault in a stand-in itself ends the test by a panic.

mod discovery;
mod endpoint;
mod http_server;
mod trace;

use std::time::Duration;

pub use discovery::{
    discovery_server, endpoint_list, endpoint_record, gateway_configuration, policy_settings,
    rollout_update,
};
pub use endpoint::{endpoint, EndpointBehavior};
pub use http_server::{
    client_request, read_message, serve_requests, unresponsive_server, ReceivedRequest,
};
pub use trace::Trace;

/// How long a test waits for anything.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
