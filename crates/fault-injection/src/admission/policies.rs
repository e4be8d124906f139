//! The admission policies that are compared: each gateway by itself, shedding by groups (departure I in docs/design.md), slack
//! shared by all gateways, and a central dispatcher that sees every queue. The first two are short versions of the gateway's own
//! rules.

use std::collections::VecDeque;

use harrierdock_admission::AdmissionController;
use harrierdock_types::TimeDelta;

use super::scenario::{Scenario, SLOTS_PER_ENDPOINT};

/// Time between two timer events of a gateway, unless the admission controller sets the timer. The first event is at a random
/// time within the interval.
pub const TIMER_INTERVAL_US: i64 = 50_000;
/// A coordinator sums up the reports of its group within this window. It raises the shed ratio once per window at most.
pub const SHEDDING_WINDOW_US: i64 = 500_000;
/// Shortest time between two reports of a member, or between two shed ratios that a coordinator sends.
pub const REPORT_INTERVAL_US: i64 = SHEDDING_WINDOW_US / 4;
/// Gateways with an index below this are the coordinators of the shedding groups.
pub const SHEDDING_GROUPS: usize = 8;
/// The largest share of a class's requests that is shed.
const MAX_SHED_RATIO: f64 = 0.9;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Each gateway limits its own attempts at each endpoint.
    Alone,
    /// Like `Alone`; gateways also shed a part of the requests. The coordinator of their group sets the ratio.
    PartToShed,
    /// The admission controller of the gateway.
    SharedSlack,
    /// One dispatcher that sees all queues. A request is rejected if the expected wait exceeds the limit of its priority.
    CentralDispatcher {
        /// In mean processing times.
        low_priority_max_wait: f64,
        /// In mean processing times.
        high_priority_max_wait: f64,
    },
}

/// The state that a gateway keeps of one endpoint. The concurrency limit follows the gateway's own rules in short form.
#[derive(Clone, Copy, Debug)]
pub struct EndpointState {
    /// Attempts of this gateway.
    pub in_flight: u32,
    pub concurrency_limit: f64,
    /// Moving average of the response time divided by the latency objective.
    pub latency_ratio: f64,
    /// The gateway sends no attempt before this time, because the endpoint rejected one.
    pub closed_until_us: i64,
}

impl EndpointState {
    pub const INITIAL: EndpointState = EndpointState {
        in_flight: 0,
        concurrency_limit: 3.0,
        latency_ratio: 0.0,
        closed_until_us: 0,
    };

    /// Updates the limit after a response. `latency_ratio` is its response time divided by the latency objective.
    pub fn record_response(&mut self, latency_ratio: f64) {
        self.latency_ratio += 0.2 * (latency_ratio - self.latency_ratio);
        if self.latency_ratio > 0.25 {
            self.concurrency_limit *= 1.0 - 0.1 * (self.latency_ratio / 0.25 - 1.0).min(1.0);
        } else if f64::from(self.in_flight + 2) > self.concurrency_limit {
            self.concurrency_limit += 1.0 / self.concurrency_limit;
        }
        self.concurrency_limit = self.concurrency_limit.max(1.0);
    }

    /// Lowers the limit after a rejected or timed out attempt.
    pub fn record_failure(&mut self) {
        self.concurrency_limit = (self.concurrency_limit * 0.8).max(1.0);
    }
}

/// A member of a shedding group, as its coordinator knows it.
#[derive(Clone, Debug)]
pub struct GroupMember {
    pub gateway: usize,
    /// Start of its uninterrupted reports.
    pub reports_since_us: i64,
    pub last_report_us: i64,
    /// Its attempts in flight.
    pub in_flight: usize,
}

/// The counts of one report within the shedding window.
#[derive(Clone, Debug)]
pub struct GroupReport {
    pub at_us: i64,
    /// Requests that arrived since the member's previous report.
    pub received: usize,
    /// Requests that were answered since the member's previous report.
    pub answered: usize,
}

/// Shedding by groups at one gateway: its own counts, the ratio that its coordinator sent last, and the group's reports if the
/// gateway is a coordinator.
#[derive(Clone, Debug, Default)]
pub struct SheddingState {
    /// Share of all requests to shed.
    pub shed_ratio: f64,
    /// Moving averages of the request classes' shares.
    pub class_shares: [f64; 3],
    /// Requests that arrived since the last report.
    pub received: usize,
    /// Requests that were answered since the last report.
    pub answered: usize,
    pub last_report_us: i64,
    pub last_increase_us: i64,
    /// Reports of the group within [`SHEDDING_WINDOW_US`].
    pub group_reports: VecDeque<GroupReport>,
    pub members: Vec<GroupMember>,
}

impl SheddingState {
    /// Records a report of a member, or of the coordinator itself.
    pub fn record_report(
        &mut self,
        now_us: i64,
        from: usize,
        received: usize,
        answered: usize,
        in_flight: usize,
    ) {
        self.group_reports.push_back(GroupReport {
            at_us: now_us,
            received,
            answered,
        });
        match self
            .members
            .iter_mut()
            .find(|member| member.gateway == from)
        {
            Some(member) => {
                let reports_since_us = if now_us - member.last_report_us < SHEDDING_WINDOW_US {
                    member.reports_since_us
                } else {
                    now_us
                };
                *member = GroupMember {
                    gateway: from,
                    reports_since_us,
                    last_report_us: now_us,
                    in_flight,
                };
            }
            None => self.members.push(GroupMember {
                gateway: from,
                reports_since_us: now_us,
                last_report_us: now_us,
                in_flight,
            }),
        }
    }

    /// Updates the shed ratio at each timer event. A coordinator raises or lowers it by the group's load; a member lowers it.
    pub fn update_shed_ratio(&mut self, now_us: i64, is_coordinator: bool) {
        let mut headroom = 1.0;
        if is_coordinator {
            while self
                .group_reports
                .front()
                .is_some_and(|report| now_us - report.at_us > SHEDDING_WINDOW_US)
            {
                self.group_reports.pop_front();
            }
            let (received, answered) =
                self.group_reports
                    .iter()
                    .fold((0, 0), |(received, answered), report| {
                        (received + report.received, answered + report.answered)
                    });
            let reporting_members = self.members.iter().filter(|member| {
                now_us - member.reports_since_us > SHEDDING_WINDOW_US * 3 / 2
                    && now_us - member.last_report_us < SHEDDING_WINDOW_US
            });
            let in_flight: usize = reporting_members.map(|member| member.in_flight).sum();
            let expected_in_flight = 0.6 * answered as f64;
            headroom = 1.0
                - in_flight as f64 / (expected_in_flight + 2.0 * expected_in_flight.sqrt() + 5.0);
            if headroom < 0.0 && now_us - self.last_increase_us >= SHEDDING_WINDOW_US {
                self.last_increase_us = now_us;
                let answered_ratio = answered as f64 / received.max(1) as f64;
                self.shed_ratio = (1.0 - 0.85 * answered_ratio / (1.0 - headroom))
                    .clamp(self.shed_ratio, MAX_SHED_RATIO);
            }
        }
        self.shed_ratio =
            (1.0 - (1.0 - self.shed_ratio) * (1.0 + 0.12 * headroom.max(0.0))).max(0.0);
    }

    /// The share of a class's requests to shed. Classes of a lower priority weight are shed first, each up to
    /// [`MAX_SHED_RATIO`].
    pub fn class_shed_ratio(&self, scenario: &Scenario, class: usize) -> f64 {
        let priority_weight = |class: usize| scenario.classes[class].priority_weight;
        let share_of_classes = |is_included: &dyn Fn(f64) -> bool| {
            (0..3)
                .filter(|other| is_included(priority_weight(*other)))
                .map(|other| self.class_shares[other])
                .sum::<f64>()
        };
        let (lower_share, same_share) = (
            share_of_classes(&|weight| weight < priority_weight(class)),
            share_of_classes(&|weight| weight == priority_weight(class)),
        );
        ((self.shed_ratio - lower_share * MAX_SHED_RATIO) / same_share.max(0.01))
            .clamp(0.0, MAX_SHED_RATIO)
    }
}

pub struct Gateway {
    pub incarnation: u32,
    pub is_running: bool,
    pub endpoints: Vec<EndpointState>,
    pub shedding: SheddingState,
    /// `None` unless the policy is [`Policy::SharedSlack`].
    pub admission: Option<AdmissionController>,
}

/// The central dispatcher's choice: the endpoint with the shortest wait, or `None` if that wait exceeds the limit of the class's
/// priority.
pub fn choose_endpoint(
    scenario: &Scenario,
    loads: &[usize],
    class: usize,
    low_priority_max_wait: f64,
    high_priority_max_wait: f64,
) -> Option<usize> {
    let wait = |endpoint: usize| {
        (loads[endpoint] as f64 + 1.0 - SLOTS_PER_ENDPOINT as f64)
            / (SLOTS_PER_ENDPOINT as f64 * scenario.speeds[endpoint])
    };
    let best = (0..loads.len()).min_by(|a, b| wait(*a).total_cmp(&wait(*b)))?;
    let max_wait = [low_priority_max_wait, high_priority_max_wait][scenario.priority_level(class)];
    (wait(best) <= max_wait).then_some(best)
}

/// A response time divided by the latency objective of the class.
pub fn latency_ratio(scenario: &Scenario, class: usize, response_time_us: i64) -> f64 {
    TimeDelta(response_time_us).ratio_to(scenario.classes[class].latency_objective)
}
