//! The events of an admission simulation, and how the simulation handles them.

use harrierdock_admission::{load_report, Event};
use harrierdock_types::PeerId;

use super::scenario::RESTART_DELAY_US;
use super::shedding::SHED_RATIO_STEPS;
use super::simulation::{RequestPhase, Simulation};

/// Time from a gateway's restart until the other gateways are notified of it.
const RESTART_NOTICE_DELAY_US: i64 = 200_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimulationEvent {
    ProcessingFinished {
        endpoint: usize,
        attempt: Attempt,
    },
    GatewayTimerFired {
        gateway: usize,
        incarnation: u32,
    },
    LoadReportArrived {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    /// A member of a shedding group reports to its coordinator.
    SheddingReportArrived {
        to: usize,
        from: usize,
        received: usize,
        answered: usize,
        in_flight: usize,
    },
    /// A coordinator sets the shed ratio of a member to `steps` / [`SHED_RATIO_STEPS`].
    ShedRatioArrived {
        to: usize,
        steps: u64,
    },
    /// A waiting request tries again to get an endpoint.
    SelectionRetried {
        request: usize,
    },
    TimeoutExpired {
        request: usize,
        attempt_number: u8,
    },
    GatewaysKilled,
    GatewayRestarted {
        gateway: usize,
    },
    /// All other gateways are notified of the restart.
    RestartNoticed {
        gateway: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) gateway: usize,
    /// Incarnation of the gateway that sent the attempt.
    pub(super) incarnation: u32,
    /// Number among the attempts of its request, from 1.
    pub(super) number: u8,
    pub(super) sent_at_us: i64,
}

impl Simulation<'_> {
    pub(super) fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ProcessingFinished { endpoint, attempt } => {
                self.finish_processing(endpoint, attempt);
            }
            SimulationEvent::GatewayTimerFired {
                gateway,
                incarnation,
            } => {
                let state = &self.gateways[gateway];
                if state.is_running && state.incarnation == incarnation {
                    self.deliver(gateway, Event::TimerFired);
                    self.update_shedding(gateway, incarnation);
                }
            }
            SimulationEvent::LoadReportArrived { to, from, bytes } => {
                if let (true, Ok(report)) =
                    (self.gateways[to].is_running, load_report::decode(&bytes))
                {
                    self.deliver(
                        to,
                        Event::ReportReceived {
                            from: PeerId(from),
                            report,
                        },
                    );
                }
            }
            SimulationEvent::SheddingReportArrived {
                to,
                from,
                received,
                answered,
                in_flight,
            } => {
                if self.gateways[to].is_running {
                    self.gateways[to].shedding.record_report(
                        self.now_us,
                        from,
                        received,
                        answered,
                        in_flight,
                    );
                }
            }
            SimulationEvent::ShedRatioArrived { to, steps } => {
                self.gateways[to].shedding.shed_ratio = (steps as f64 / SHED_RATIO_STEPS).min(0.9)
            }
            SimulationEvent::SelectionRetried { request } => {
                let state = &self.requests[request];
                let gateway = &self.gateways[state.gateway];
                if state.phase == RequestPhase::Waiting
                    && gateway.is_running
                    && gateway.incarnation == state.incarnation
                {
                    self.select_endpoint(request);
                }
            }
            SimulationEvent::TimeoutExpired { request, .. } => self.handle_timeout(request),
            SimulationEvent::GatewaysKilled => self.kill_gateways(),
            SimulationEvent::GatewayRestarted { gateway } => {
                let incarnation = self.gateways[gateway].incarnation + 1;
                self.gateways[gateway] = self.initial_gateway(gateway, incarnation);
                self.start_gateway(gateway);
                self.schedule(
                    self.now_us + RESTART_NOTICE_DELAY_US,
                    SimulationEvent::RestartNoticed { gateway },
                );
            }
            SimulationEvent::RestartNoticed { gateway } => {
                let incarnation = Some(self.gateways[gateway].incarnation);
                for other in (0..self.scenario.gateways).filter(|other| *other != gateway) {
                    self.deliver(
                        other,
                        Event::MemberChanged {
                            peer: PeerId(gateway),
                            incarnation,
                        },
                    );
                }
            }
        }
    }

    /// Kills the gateways that the scenario selects. Their requests are lost, but endpoints still process the attempts.
    fn kill_gateways(&mut self) {
        for gateway in
            (0..self.scenario.gateways).filter(|gateway| self.scenario.is_killed[*gateway])
        {
            self.gateways[gateway].is_running = false;
            self.schedule(
                self.now_us + RESTART_DELAY_US,
                SimulationEvent::GatewayRestarted { gateway },
            );
        }
        for request in &mut self.requests {
            if self.scenario.is_killed[request.gateway]
                && matches!(
                    request.phase,
                    RequestPhase::InFlight | RequestPhase::Waiting
                )
            {
                request.phase = RequestPhase::Finished;
            }
        }
    }
}
