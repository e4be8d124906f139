//! Endpoint lists as discovery writes them. The names of its JSON form and its paths stand in this file.

use std::net::SocketAddr;

use harrierdock_config::{gossip_id, Names};
use harrierdock_event_loop::Clock;
use harrierdock_types::{BuildId, EndpointRecord, Lifecycle, Timestamp, UpdateKind};
use serde::Deserialize;

use crate::upstream::EndpointInstance;

/// The path of a whole list.
pub(crate) const SNAPSHOT_PATH: &str = "/v1/endpoints";

/// The path of the stream of changes that follow a version.
pub(crate) fn watch_path(version: i64) -> String {
    format!("/v1/endpoints?stream=1&index={version}")
}

/// An endpoint list.
#[derive(Clone, Default, Deserialize)]
pub(crate) struct EndpointListMessage {
    /// The list's version.
    #[serde(default, rename = "revision")]
    pub(crate) version: i64,
    /// Whether it names every endpoint, and not only those that have changed.
    #[serde(default, rename = "complete")]
    pub(crate) is_snapshot: bool,
    /// The endpoints.
    #[serde(default, rename = "members")]
    pub(crate) endpoints: Vec<EndpointMessage>,
}

impl EndpointListMessage {
    /// How the list relates to those before it.
    pub(crate) fn kind(&self) -> UpdateKind {
        if self.is_snapshot {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        }
    }
}

/// An endpoint on a list.
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
    /// Zero if it is not known.
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
    /// The endpoint as the policy sees it.
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
            // The clock maps a start to one timestamp however often it is listed, so the policy sees one start.
            age: (self.started_at_ms > 0).then(|| now - clock.at_unix_ms(self.started_at_ms)),
            gossip_id: gossip_id(&self.id),
        }
    }

    /// What runs at the endpoint. `None` if it is removed.
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
