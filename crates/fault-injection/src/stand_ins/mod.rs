//! Scripted stand-ins for the services that a gateway connects to, with one thread per connection. They suit tests with few
//! processes that control every byte. An internal error in a stand-in panics and fails the test.

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

/// Time limit of a test for any single wait.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
