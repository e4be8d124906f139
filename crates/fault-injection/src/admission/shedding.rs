//! Shedding by groups: members report to a coordinator, which sets their shed ratio.

use super::events::SimulationEvent;
use super::policies::{Policy, REPORT_INTERVAL_US, SHEDDING_GROUPS, TIMER_INTERVAL_US};
use super::simulation::Simulation;

/// Messages carry the shed ratio as an integer; this integer stands for a ratio of one.
pub(super) const SHED_RATIO_STEPS: f64 = 63.0;

impl Simulation<'_> {
    /// The timer event of shedding by groups (departure I in docs/design.md): members report to their coordinator, and
    /// coordinators send the shed ratio to their members.
    pub(super) fn update_shedding(&mut self, gateway: usize, incarnation: u32) {
        let (now_us, gateway_count, coordinator) = (
            self.now_us,
            self.scenario.gateways,
            gateway % SHEDDING_GROUPS,
        );
        if self.policy != Policy::SharedSlack {
            self.schedule(
                now_us + TIMER_INTERVAL_US,
                SimulationEvent::GatewayTimerFired {
                    gateway,
                    incarnation,
                },
            );
        }
        if self.policy != Policy::PartToShed || gateway_count <= SHEDDING_GROUPS {
            return;
        }
        let in_flight = self.gateways[gateway]
            .endpoints
            .iter()
            .map(|endpoint| endpoint.in_flight as usize)
            .sum();
        let shedding = &mut self.gateways[gateway].shedding;
        let is_report_due = now_us - shedding.last_report_us >= REPORT_INTERVAL_US;
        if coordinator == gateway {
            let (received, answered) = (
                std::mem::take(&mut shedding.received),
                std::mem::take(&mut shedding.answered),
            );
            shedding.record_report(now_us, gateway, received, answered, in_flight);
            shedding.update_shed_ratio(now_us, true);
            let steps = (shedding.shed_ratio * SHED_RATIO_STEPS) as u64;
            if is_report_due && shedding.shed_ratio > 0.0 {
                shedding.last_report_us = now_us;
                for to in (gateway + SHEDDING_GROUPS..gateway_count).step_by(SHEDDING_GROUPS) {
                    self.send_message(gateway, to, SimulationEvent::ShedRatioArrived { to, steps });
                }
            }
            return;
        }
        shedding.update_shed_ratio(now_us, false);
        if is_report_due {
            shedding.last_report_us = now_us;
            let report = SimulationEvent::SheddingReportArrived {
                to: coordinator,
                from: gateway,
                received: std::mem::take(&mut shedding.received),
                answered: std::mem::take(&mut shedding.answered),
                in_flight,
            };
            self.send_message(gateway, coordinator, report);
        }
    }
}
