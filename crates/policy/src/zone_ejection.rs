//! Ejects a zone as a whole when none of its endpoints responds (departure K in docs/design.md). Owns each zone's health.

use std::collections::BTreeMap;

use harrierdock_types::{AttemptOutcome, TimeDelta, Timestamp, ZoneId};

use crate::context::Context;
use crate::endpoint_table::EndpointTable;
use crate::outlier_ejection::ejection_length;

/// A zone is unresponsive if the times for which its endpoints have left attempts unanswered, plus a charge for each failed
/// connection, add up to more than this many mean latencies.
const UNRESPONSIVE_ZONE_RATIO: f64 = 12.0;
/// The charge for a failed connection, in mean latencies.
const CONNECT_FAILURE_RATIO: f64 = 3.0;

/// The combined responsiveness of a zone's endpoints.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneHealth {
    /// When any endpoint of the zone last responded.
    last_response: Timestamp,
    /// The number of failed connections since the last response.
    connect_failures: f64,
    /// The waiting times of the zone's endpoints since the last response, added up, as a ratio to the mean latency.
    waiting_ratio: f64,
    consecutive_ejections: i32,
    ejected_until: Timestamp,
}

/// The health of all zones.
///
/// A gateway with little traffic would detect a lost zone one endpoint at a time. Therefore the waiting times of a zone's endpoints
/// are added up, starting at the last response of any of them. This may eject a zone that has only a few live endpoints.
#[derive(Debug, Default)]
pub(crate) struct ZoneEjection {
    zones: BTreeMap<ZoneId, ZoneHealth>,
    /// The end of the latest ejection of any zone, which may be in the past.
    last_ejected_until: Timestamp,
}

impl ZoneEjection {
    pub(crate) fn is_ejected(&self, zone: ZoneId, now: Timestamp) -> bool {
        self.zones
            .get(&zone)
            .is_some_and(|health| now < health.ejected_until)
    }

    /// The end of the latest ejection of any zone, which may be in the past.
    pub(crate) fn last_ejected_until(&self) -> Timestamp {
        self.last_ejected_until
    }

    pub(crate) fn record_attempt_end(
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
                    last_response: now,
                    ..ZoneHealth::default()
                };
            }
        }
    }

    /// Ejects the unresponsive zones, but only if at least one other zone responds. If all zones were ejected, unresponsive
    /// endpoints would rank the same as responsive endpoints.
    pub(crate) fn update(
        &mut self,
        context: &Context,
        endpoints: &EndpointTable,
        mean_latency: TimeDelta,
    ) {
        let now = context.now;
        for health in self.zones.values_mut() {
            health.waiting_ratio = health.connect_failures * CONNECT_FAILURE_RATIO;
        }
        for endpoint in endpoints.iter() {
            let Some(since) = endpoint.health.unanswered_since() else {
                continue;
            };
            let health = self.zones.entry(endpoint.record.zone).or_default();
            health.waiting_ratio += (now - since.max(health.last_response)).ratio_to(mean_latency);
        }
        let any_zone_responds = self
            .zones
            .values()
            .any(|zone| zone.waiting_ratio <= UNRESPONSIVE_ZONE_RATIO && now >= zone.ejected_until);
        if !any_zone_responds {
            return;
        }
        let first_ejection = context.first_ejection();
        for zone in self.zones.values_mut() {
            if zone.waiting_ratio > UNRESPONSIVE_ZONE_RATIO && now >= zone.ejected_until {
                zone.ejected_until =
                    now + ejection_length(first_ejection, zone.consecutive_ejections);
                zone.consecutive_ejections += 1;
                zone.connect_failures = 0.0;
                self.last_ejected_until = zone.ejected_until;
            }
        }
    }
}
