//! The requests of a simulation, from their arrival to their end, at their gateway and at endpoints.

use harrierdock_admission::{AdmissionRequest, Decision, Event};
use harrierdock_types::ClassId;
use harrierdock_types::TenantId;
use harrierdock_types::TimeDelta;
use harrierdock_types::ZoneId;
use harrierdock_types::{AttemptOutcome, RequestId};
use nanorand::Rng;

use super::events::{Attempt, SimulationEvent};
use super::policies::{choose_endpoint, latency_ratio, Policy};
use super::scenario::{
    COUNTED_SPAN_US, MAX_SPEED, QUEUE_CAPACITY, SLOTS_PER_ENDPOINT, SURGE_SPAN_US,
};
use super::simulation::{RequestPhase, RequestState, Simulation, TENTH_SECOND_US};

const MAX_ATTEMPTS: u8 = 3;
/// Endpoints that a gateway compares for one attempt.
const CANDIDATES: usize = 2;
/// Draws of an endpoint until the gateway gives up on finding [`CANDIDATES`].
const MAX_DRAWS: usize = 24;

impl Simulation<'_> {
    fn is_counted(&self, request: usize) -> bool {
        (COUNTED_SPAN_US.0..COUNTED_SPAN_US.1).contains(&self.scenario.arrivals[request].at_us)
    }

    fn is_in_surge(&self, request: usize) -> bool {
        (SURGE_SPAN_US.0..SURGE_SPAN_US.1).contains(&self.scenario.arrivals[request].at_us)
    }

    pub(super) fn handle_arrival(&mut self, request: usize) {
        let arrival = self.scenario.arrivals[request];
        // Clients of a gateway that is down connect to the next one.
        let gateway_count = self.scenario.gateways;
        let gateway = (0..gateway_count)
            .map(|offset| (arrival.gateway + offset) % gateway_count)
            .find(|gateway| self.gateways[*gateway].is_running);
        let Some(gateway) = gateway else { return };
        let incarnation = self.gateways[gateway].incarnation;
        self.requests[request] = RequestState {
            gateway,
            incarnation,
            ..RequestState::default()
        };
        if self.is_in_surge(request) {
            let level = self.scenario.priority_level(arrival.class);
            self.totals.tenants[level][arrival.tenant].offered += 1.0;
            self.totals.gateways[arrival.gateway].offered += 1.0;
        }
        let timeout = self.scenario.classes[arrival.class].timeout;
        match self.policy {
            Policy::Alone => self.select_endpoint(request),
            Policy::PartToShed => {
                let shedding = &mut self.gateways[gateway].shedding;
                shedding.received += 1;
                for (class, share) in shedding.class_shares.iter_mut().enumerate() {
                    *share += 0.01 * (f64::from(class == arrival.class) - *share);
                }
                let shed_ratio = shedding.class_shed_ratio(self.scenario, arrival.class);
                if self.rng.generate::<f64>() < shed_ratio {
                    return self.reject(request);
                }
                self.select_endpoint(request);
            }
            Policy::SharedSlack => {
                let admission_request = AdmissionRequest {
                    id: RequestId(request as u64),
                    class: ClassId(arrival.class),
                    tenant: Some(TenantId(arrival.tenant)),
                    zones: 0,
                    age: TimeDelta::ZERO,
                    remaining: timeout,
                    may_have_effect: false,
                };
                let (now, admission) =
                    (self.timestamp(), self.gateways[gateway].admission.as_mut());
                match admission.map(|admission| admission.decide(now, &admission_request)) {
                    Some(Decision::Wait { .. }) => {
                        self.requests[request].phase = RequestPhase::Waiting;
                        self.has_waited[request] = true;
                        self.totals.waited += 1;
                    }
                    Some(Decision::Reject { .. }) => self.reject(request),
                    _ => self.select_endpoint(request),
                }
            }
            Policy::CentralDispatcher {
                low_priority_max_wait,
                high_priority_max_wait,
            } => {
                let endpoint = choose_endpoint(
                    self.scenario,
                    &self.loads,
                    arrival.class,
                    low_priority_max_wait,
                    high_priority_max_wait,
                );
                match endpoint {
                    Some(endpoint) => self.send(request, endpoint),
                    None => self.reject(request),
                }
            }
        }
    }

    pub(super) fn reject(&mut self, request: usize) {
        self.requests[request].phase = RequestPhase::Finished;
        self.totals.rejected += usize::from(self.is_counted(request));
    }

    /// Draws two endpoints and sends the request to the one with fewer attempts of this gateway in flight. If none is available,
    /// the request tries again later. It is rejected once a tenth of its latency objective has passed. Shared slack ignores the
    /// concurrency limits.
    pub(super) fn select_endpoint(&mut self, request: usize) {
        let applies_limits = self.policy != Policy::SharedSlack;
        let gateway = &self.gateways[self.requests[request].gateway];
        let endpoint_count = gateway.endpoints.len();
        let mut selected: Option<usize> = None;
        let mut candidates = 0;
        for _ in 0..MAX_DRAWS {
            let index = self.rng.generate_range(0..endpoint_count);
            let endpoint = &gateway.endpoints[index];
            // Faster endpoints are drawn more often. The model assumes that gateways know the speeds.
            if self.rng.generate::<f64>() * MAX_SPEED > self.scenario.speeds[index] {
                continue;
            }
            let is_at_limit =
                applies_limits && f64::from(endpoint.in_flight + 1) > endpoint.concurrency_limit;
            if is_at_limit || self.now_us < endpoint.closed_until_us {
                continue;
            }
            candidates += 1;
            if selected
                .is_none_or(|selected| endpoint.in_flight < gateway.endpoints[selected].in_flight)
            {
                selected = Some(index);
            }
            if candidates == CANDIDATES {
                break;
            }
        }
        if let Some(endpoint) = selected {
            return self.send(request, endpoint);
        }
        let arrival = self.scenario.arrivals[request];
        let latency_objective_us = self.scenario.classes[arrival.class].latency_objective.0;
        if self.now_us - arrival.at_us >= latency_objective_us / 10 {
            return self.reject(request);
        }
        self.requests[request].phase = RequestPhase::Waiting;
        self.schedule(
            self.now_us + latency_objective_us / 25,
            SimulationEvent::SelectionRetried { request },
        );
    }

    fn send(&mut self, request: usize, endpoint: usize) {
        let arrival = self.scenario.arrivals[request];
        let state = &mut self.requests[request];
        if state.attempts == 0 {
            let is_counted = (COUNTED_SPAN_US.0..COUNTED_SPAN_US.1).contains(&arrival.at_us);
            self.totals.sent += usize::from(is_counted);
            let tenth = (self.now_us / TENTH_SECOND_US) as usize;
            if let Some(sent) = self.totals.sent_by_tenth.get_mut(tenth) {
                *sent += 1.0;
            }
        }
        state.attempts += 1;
        (state.phase, state.endpoint, state.sent_at_us) =
            (RequestPhase::InFlight, endpoint, self.now_us);
        let (gateway, incarnation, number) = (state.gateway, state.incarnation, state.attempts);
        self.gateways[gateway].endpoints[endpoint].in_flight += 1;
        self.deliver(
            gateway,
            Event::AttemptStarted {
                zone: ZoneId(self.scenario.zone(endpoint)),
            },
        );
        let attempt = Attempt {
            request,
            gateway,
            incarnation,
            number,
            sent_at_us: self.now_us,
        };
        if self.running[endpoint] < SLOTS_PER_ENDPOINT {
            self.start_processing(endpoint, attempt);
        } else if self.queues[endpoint].len() < QUEUE_CAPACITY {
            self.queues[endpoint].push_back(attempt);
        } else {
            return self.handle_full_queue(attempt, endpoint);
        }
        self.loads[endpoint] = self.running[endpoint] + self.queues[endpoint].len();
        if number == 1 {
            let timeout_us = self.scenario.classes[arrival.class].timeout.0;
            self.schedule(
                arrival.at_us + timeout_us,
                SimulationEvent::TimeoutExpired {
                    request,
                    attempt_number: number,
                },
            );
        }
    }

    fn start_processing(&mut self, endpoint: usize, attempt: Attempt) {
        self.running[endpoint] += 1;
        let work_us = self.scenario.arrivals[attempt.request].work_us as f64;
        let processing_us = work_us / self.scenario.speeds[endpoint];
        self.schedule(
            self.now_us + processing_us as i64,
            SimulationEvent::ProcessingFinished { endpoint, attempt },
        );
    }

    /// The endpoint rejects the attempt. The gateway retries at another endpoint or rejects the request.
    fn handle_full_queue(&mut self, attempt: Attempt, endpoint: usize) {
        self.finish_attempt(attempt, endpoint, AttemptOutcome::Rejected);
        let class = self.scenario.arrivals[attempt.request].class;
        let latency_objective_us = self.scenario.classes[class].latency_objective.0;
        let state = &mut self.gateways[attempt.gateway].endpoints[endpoint];
        state.closed_until_us = self.now_us + latency_objective_us / 2;
        state.record_failure();
        if attempt.number < MAX_ATTEMPTS {
            self.select_endpoint(attempt.request);
        } else {
            self.reject(attempt.request);
        }
    }

    /// Records the end of an attempt at its gateway. Returns `false` if the gateway is down or was restarted since it sent the
    /// attempt.
    fn finish_attempt(
        &mut self,
        attempt: Attempt,
        endpoint: usize,
        outcome: AttemptOutcome,
    ) -> bool {
        let gateway = &mut self.gateways[attempt.gateway];
        if gateway.incarnation != attempt.incarnation || !gateway.is_running {
            return false;
        }
        let state = &mut gateway.endpoints[endpoint];
        state.in_flight = state.in_flight.saturating_sub(1);
        let event = Event::AttemptFinished {
            class: ClassId(self.scenario.arrivals[attempt.request].class),
            zone: ZoneId(self.scenario.zone(endpoint)),
            outcome,
            duration: TimeDelta(self.now_us - attempt.sent_at_us),
        };
        self.deliver(attempt.gateway, event);
        true
    }

    pub(super) fn finish_processing(&mut self, endpoint: usize, attempt: Attempt) {
        self.running[endpoint] -= 1;
        while self.running[endpoint] < SLOTS_PER_ENDPOINT {
            let Some(next) = self.queues[endpoint].pop_front() else {
                break;
            };
            let arrival = self.scenario.arrivals[next.request];
            // The endpoint drops attempts of timed out requests, because their gateway has given up on them.
            if self.now_us < arrival.at_us + self.scenario.classes[arrival.class].timeout.0 {
                self.start_processing(endpoint, next);
            }
        }
        self.loads[endpoint] = self.running[endpoint] + self.queues[endpoint].len();
        let request = self.requests[attempt.request];
        if request.phase != RequestPhase::InFlight
            || request.attempts != attempt.number
            || !self.finish_attempt(attempt, endpoint, AttemptOutcome::Succeeded)
        {
            return;
        }
        self.record_success(endpoint, attempt);
    }

    fn record_success(&mut self, endpoint: usize, attempt: Attempt) {
        self.requests[attempt.request].phase = RequestPhase::Finished;
        let arrival = self.scenario.arrivals[attempt.request];
        let class = &self.scenario.classes[arrival.class];
        let latency_us = self.now_us - arrival.at_us;
        let gateway = &mut self.gateways[attempt.gateway];
        gateway.shedding.answered += 1;
        gateway.endpoints[endpoint].record_response(latency_ratio(
            self.scenario,
            arrival.class,
            self.now_us - attempt.sent_at_us,
        ));
        let is_in_time = latency_us <= class.latency_objective.0;
        let value_ratio = if is_in_time {
            1.0
        } else {
            class.late_value_ratio
        };
        let priority_weight = class.priority_weight * value_ratio;
        if self.is_counted(attempt.request) {
            self.totals.priority_weight += priority_weight;
            self.totals.late += usize::from(!is_in_time);
            self.totals.waited_in_time +=
                usize::from(is_in_time && self.has_waited[attempt.request]);
        }
        if self.is_in_surge(attempt.request) {
            let level = self.scenario.priority_level(arrival.class);
            self.totals.priority_weight_in_surge += priority_weight;
            self.totals.tenants[level][arrival.tenant].in_time += f64::from(is_in_time);
            self.totals.gateways[arrival.gateway].in_time += f64::from(is_in_time);
        }
    }

    pub(super) fn handle_timeout(&mut self, request: usize) {
        let state = self.requests[request];
        if state.phase != RequestPhase::InFlight {
            return;
        }
        self.requests[request].phase = RequestPhase::Finished;
        let attempt = Attempt {
            request,
            gateway: state.gateway,
            incarnation: state.incarnation,
            number: state.attempts,
            sent_at_us: state.sent_at_us,
        };
        if self.finish_attempt(attempt, state.endpoint, AttemptOutcome::TimedOut) {
            self.gateways[state.gateway].endpoints[state.endpoint].record_failure();
        }
        self.totals.late += usize::from(self.is_counted(request));
    }
}
