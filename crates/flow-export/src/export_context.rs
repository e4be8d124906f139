//! What all collectors and the file need for one round of export.

use std::time::{SystemTime, UNIX_EPOCH};

use harrierdock_config::Names;
use harrierdock_flow_metering::RecordKind;
use harrierdock_types::Timestamp;

use crate::templates::Templates;

/// The gateway's clock beside the wall clock.
pub(crate) struct ExportClock {
    pub(crate) now: Timestamp,
    /// When the exporter started.
    started: Timestamp,
    /// The wall clock's time, in milliseconds since 1970.
    unix_ms: u64,
}

impl ExportClock {
    pub(crate) fn read(now: Timestamp, started: Timestamp) -> ExportClock {
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        ExportClock {
            now,
            started,
            unix_ms,
        }
    }

    /// The wall clock's time at an earlier point, in milliseconds since 1970.
    pub(crate) fn unix_ms_at(&self, point: Timestamp) -> u64 {
        let age_ms = ((self.now - point).0 / 1000).max(0) as u64;
        self.unix_ms.saturating_sub(age_ms)
    }

    /// The export time of a message, in Unix seconds.
    pub(crate) fn unix_seconds(&self) -> u32 {
        (self.unix_ms / 1000) as u32
    }

    /// For how long the exporter has run, in milliseconds.
    pub(crate) fn uptime_ms(&self) -> u32 {
        ((self.now - self.started).0 / 1000) as u32
    }
}

/// What all collectors and the file need for one round of export.
pub(crate) struct ExportContext<'a> {
    pub(crate) clock: ExportClock,
    pub(crate) templates: &'a Templates,
    pub(crate) names: &'a Names,
    pub(crate) observation_domain: u32,
    /// Attempts and requests observed since the start, by kind.
    pub(crate) observed: [u64; RecordKind::ALL.len()],
    /// How many of them were counted in no flow.
    pub(crate) ignored: u64,
    /// The gateway is shutting down, so the rate limit no longer applies.
    pub(crate) is_shutting_down: bool,
}
