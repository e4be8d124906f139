//! Which zones are left out whole, because none of their endpoints answers (departure K in docs/design.md). Owns the zones' health.

use std::collections::BTreeMap;

use harrierdock_types::{AttemptOutcome, TimeDelta, Timestamp, ZoneId};

use crate::context::Context;
use crate::endpoint_table::EndpointTable;
use crate::outlier_ejection::ejection_length;

/// A zone whose endpoints together owe more than this many mean answer times is silent.
const SILENT_ZONE_RATIO: f64 = 12.0;
/// A connection that did not come up counts like an answer owed for this many mean answer times.
const CONNECT_FAILURE_RATIO: f64 = 3.0;

/// How a zone's endpoints answer, all together.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneHealth {
    last_heard: Timestamp,
    /// Connections that did not come up since then.
    connect_failures: f64,
    /// Mean answer times owed since then.
    owed_ratio: f64,
    consecutive_ejections: i32,
    ejected_until: Timestamp,
}

/// The health of all zones.
///
/// A gateway of little traffic would find out about a lost zone one endpoint at a time. So what a zone's endpoints owe counts
/// together, from the last answer of any on. A zone with few live endpoints may be left out by this.
#[derive(Debug, Default)]
pub(crate) struct ZoneEjection {
    zones: BTreeMap<ZoneId, ZoneHealth>,
    /// Until when a zone is or was ejected last.
    last_ejected_until: Timestamp,
}

impl ZoneEjection {
    pub(crate) fn is_ejected(&self, zone: ZoneId, now: Timestamp) -> bool {
        self.zones
            .get(&zone)
            .is_some_and(|health| now < health.ejected_until)
    }

    /// Until when a zone is or was ejected last.
    pub(crate) fn last_ejected_until(&self) -> Timestamp {
        self.last_ejected_until
    }

    pub(crate) fn attempt_finished(
        &mut self,
        now: Timestamp,
        zone: ZoneId,
        outcome: AttemptOutcome,
    ) {
        let health = self.zones.entry(zone).or_default();
        match outcome {
            AttemptOutcome::ConnectFailed => health.connect_failures += 1.0,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            AttemptOutcome::Succeeded
            | AttemptOutcome::ServerError
            | AttemptOutcome::Rejected
            | AttemptOutcome::Reset => {
                *health = ZoneHealth {
                    last_heard: now,
                    ..ZoneHealth::default()
                };
            }
        }
    }

    /// Ejects the silent zones. One at least stays: with all ejected, silent endpoints would rank like live ones.
    pub(crate) fn update(
        &mut self,
        context: &Context,
        endpoints: &EndpointTable,
        mean_latency: TimeDelta,
    ) {
        let now = context.now;
        for health in self.zones.values_mut() {
            health.owed_ratio = health.connect_failures * CONNECT_FAILURE_RATIO;
        }
        for endpoint in endpoints.iter() {
            let Some(since) = endpoint.health.unanswered_since() else {
                continue;
            };
            let health = self.zones.entry(endpoint.record.zone).or_default();
            health.owed_ratio += (now - since.max(health.last_heard)).ratio_to(mean_latency);
        }
        let another_answers = self
            .zones
            .values()
            .any(|zone| zone.owed_ratio <= SILENT_ZONE_RATIO && now >= zone.ejected_until);
        if !another_answers {
            return;
        }
        let first_ejection = context.first_ejection();
        for zone in self.zones.values_mut() {
            if zone.owed_ratio > SILENT_ZONE_RATIO && now >= zone.ejected_until {
                zone.ejected_until =
                    now + ejection_length(first_ejection, zone.consecutive_ejections);
                zone.consecutive_ejections += 1;
                zone.connect_failures = 0.0;
                self.last_ejected_until = zone.ejected_until;
            }
        }
    }
}
