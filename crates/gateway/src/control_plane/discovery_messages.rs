//! Endpoint list messages of the discovery service. The discovery protocol fixes their JSON names and paths; only this file
//! uses them and maps them to the Rust names.

use std::net::SocketAddr;

use harrierdock_config::{gossip_id, Names};
use harrierdock_event_loop::Clock;
use harrierdock_types::{BuildId, EndpointRecord, Lifecycle, Timestamp, UpdateKind};
use serde::Deserialize;

use crate::upstream::EndpointInstance;

/// Path that returns the whole endpoint list.
pub(crate) const SNAPSHOT_PATH: &str = "/v1/endpoints";

/// Path of the stream of changes since `version`.
pub(crate) fn watch_path(version: i64) -> String {
    format!("/v1/endpoints?stream=1&index={version}")
}

/// An endpoint list as discovery sends it.
#[derive(Clone, Default, Deserialize)]
pub(crate) struct EndpointListMessage {
    /// Version of the list, to continue the watch from.
    #[serde(default, rename = "revision")]
    pub(crate) version: i64,
    /// Whether the list contains every endpoint rather than only the changed ones.
    #[serde(default, rename = "complete")]
    pub(crate) is_snapshot: bool,
    /// All endpoints of a snapshot, or the changed ones.
    #[serde(default, rename = "members")]
    pub(crate) endpoints: Vec<EndpointMessage>,
}

impl EndpointListMessage {
    /// Whether the list replaces earlier lists or changes them.
    pub(crate) fn kind(&self) -> UpdateKind {
        if self.is_snapshot {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        }
    }
}

/// An endpoint in an endpoint list, as discovery sends it.
#[derive(Clone, Deserialize)]
pub(crate) struct EndpointMessage {
    id: String,
    #[serde(rename = "host_port")]
    address: SocketAddr,
    #[serde(default, rename = "locality")]
    zone: String,
    #[serde(default, rename = "flavor")]
    model: String,
    #[serde(default)]
    cell: u64,
    #[serde(rename = "phase")]
    lifecycle: LifecycleMessage,
    #[serde(default = "default_weight", rename = "size")]
    weight: f64,
    /// Start of the endpoint's process in Unix milliseconds. Zero if unknown.
    #[serde(default, rename = "up_since_ms")]
    started_at_ms: i64,
    #[serde(rename = "revision_no")]
    build: u32,
}

#[derive(Clone, Copy, Deserialize)]
enum LifecycleMessage {
    #[serde(rename = "ready")]
    Ready,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "gone")]
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

impl EndpointMessage {
    /// Converts the message to a record for the policy. Assigns ids to names that are new.
    pub(crate) fn record(
        &self,
        names: &mut Names,
        clock: &Clock,
        now: Timestamp,
    ) -> EndpointRecord {
        EndpointRecord {
            build: BuildId(self.build),
            endpoint: names.endpoints.get_or_assign(&self.id),
            zone: names.get_or_assign_zone(&self.zone),
            model: names.get_or_assign_model(&self.model),
            cell: self.cell,
            lifecycle: match self.lifecycle {
                LifecycleMessage::Ready => Lifecycle::Ready,
                LifecycleMessage::Draining => Lifecycle::Draining,
                LifecycleMessage::Removed => Lifecycle::Removed,
            },
            weight: self.weight,
            // The clock always maps a start time to the same timestamp, so repeated lists give the policy the same start time.
            age: (self.started_at_ms > 0).then(|| now - clock.at_unix_ms(self.started_at_ms)),
            gossip_id: gossip_id(&self.id),
        }
    }

    /// The running instance of the endpoint. `None` if the endpoint was removed.
    pub(crate) fn instance(&self) -> Option<EndpointInstance> {
        match self.lifecycle {
            LifecycleMessage::Removed => None,
            LifecycleMessage::Ready | LifecycleMessage::Draining => Some(EndpointInstance {
                address: self.address,
                started_at_ms: self.started_at_ms,
                build: BuildId(self.build),
            }),
        }
    }
}
