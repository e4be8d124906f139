//! The input that all collectors and the file share in one round of export.

use std::time::{SystemTime, UNIX_EPOCH};

use harrierdock_config::Names;
use harrierdock_flow_metering::RecordKind;
use harrierdock_types::Timestamp;

use crate::templates::Templates;

/// The gateway's monotonic time, and the wall clock read at that time.
pub(crate) struct ExportClock {
    pub(crate) now: Timestamp,
    /// The start of the exporter.
    started: Timestamp,
    /// Wall clock time, in milliseconds since 1970.
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

    /// Returns the wall clock time at an earlier timestamp, in milliseconds since 1970.
    pub(crate) fn unix_ms_at(&self, earlier: Timestamp) -> u64 {
        let age_ms = ((self.now - earlier).0 / 1000).max(0) as u64;
        self.unix_ms.saturating_sub(age_ms)
    }

    /// Returns the wall clock time in seconds since 1970: the export time of messages.
    pub(crate) fn unix_seconds(&self) -> u32 {
        (self.unix_ms / 1000) as u32
    }

    /// Returns the time since the exporter started, in milliseconds.
    pub(crate) fn uptime_ms(&self) -> u32 {
        ((self.now - self.started).0 / 1000) as u32
    }
}

/// The input that all collectors and the file share in one round of export.
pub(crate) struct ExportContext<'a> {
    pub(crate) clock: ExportClock,
    pub(crate) templates: &'a Templates,
    pub(crate) names: &'a Names,
    pub(crate) observation_domain: u32,
    /// Attempts and requests observed since the start, by kind.
    pub(crate) observed: [u64; RecordKind::ALL.len()],
    /// The number of observed attempts and requests that no flow counts.
    pub(crate) ignored: u64,
    /// Whether the gateway is shutting down, which suspends the rate limit.
    pub(crate) is_shutting_down: bool,
}
