//! The decisions of one gateway: dispatches events to membership, failover, credit and the request tables, and sets the timer.

mod inbound;
mod outbound;
mod paths;
pub mod status;

use std::collections::BTreeMap;

use harrierdock_site_messages::{GatewayName, MemberRecord, MemberState, PathId, SiteMessage};
use harrierdock_types::{ClassId, TimeDelta, Timestamp};

use crate::failover::Failover;
use crate::offered_capacity::OfferedCapacity;
use crate::path_selection::{ForwardingResult, PathSelector};
use crate::requests::{InboundCompletion, InboundRequests, OutboundRequests};
use crate::HEARTBEAT_INTERVAL;
use crate::{Action, Change, Event, Membership, MultiSiteConfig, OperatorCommand, RequestEnd};
use status::Counters;

/// The minimum time between two reports of unmatched responses.
const UNMATCHED_REPORT_INTERVAL: TimeDelta = TimeDelta(10_000_000);

/// The number of open requests between the sites.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenRequests {
    /// Requests forwarded to the other site that await its response.
    pub outbound: usize,
    /// Requests from the other site that still run at this site.
    pub inbound: usize,
}

/// The last report of unmatched responses to operators.
struct UnmatchedReport {
    /// The unmatched responses counted up to this report.
    total: u64,
    at: Timestamp,
}

/// The decisions of one gateway about forwarding between two sites.
pub struct MultiSite {
    config: MultiSiteConfig,
    class_ids: BTreeMap<String, ClassId>,
    now: Timestamp,
    membership: Membership,
    offered_capacity: OfferedCapacity,
    failover: Failover,
    path_selector: PathSelector,
    outbound: OutboundRequests,
    inbound: InboundRequests,
    counters: Counters,
    is_drained: bool,
    is_shutting_down: bool,
    ready_endpoints: usize,
    next_interval: Timestamp,
    timer: Option<Timestamp>,
    unmatched_report: UnmatchedReport,
    actions: Vec<Action>,
}

impl MultiSite {
    /// Starts without paths or endpoints. The first event sets the first timer.
    pub fn new(now: Timestamp, config: MultiSiteConfig) -> MultiSite {
        let own = MemberRecord {
            gateway: config.own_name.clone(),
            address: config.address,
            incarnation: config.incarnation,
            version: 1,
            state: MemberState::Serving,
        };
        let timeouts = config.classes.iter().map(|class| class.timeout);
        let longest_timeout = timeouts.max().unwrap_or(TimeDelta::ZERO);
        let class_id =
            |(index, class): (usize, &crate::RequestClass)| (class.name.clone(), ClassId(index));
        MultiSite {
            class_ids: config.classes.iter().enumerate().map(class_id).collect(),
            now,
            membership: Membership::new(own, config.other_site.clone(), &config.seeds, config.seed),
            offered_capacity: OfferedCapacity::new(&config.classes),
            failover: Failover::new(config.slow_start_window, config.seed),
            path_selector: PathSelector::new(&config.classes),
            outbound: OutboundRequests::default(),
            inbound: InboundRequests::new(longest_timeout, config.stored_response_bytes),
            counters: Counters::default(),
            is_drained: false,
            is_shutting_down: false,
            ready_endpoints: 0,
            next_interval: now,
            timer: None,
            unmatched_report: UnmatchedReport { total: 0, at: now },
            actions: Vec::new(),
            config,
        }
    }

    /// Handles one event and returns the actions to carry out in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = now;
        self.apply(event);
        self.process_deadlines();
        self.arm_timer();
        std::mem::take(&mut self.actions)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::RequestReceived {
                id,
                class,
                remaining,
            } => self.handle_request_received(id, class, remaining),
            Event::LocallyRejected {
                id,
                class,
                remaining,
                timeout,
            } => self.handle_locally_rejected(id, class, remaining, timeout),
            Event::ClientDisconnected { id } => self.handle_client_disconnected(id),
            Event::RequestEnded {
                class,
                end,
                elapsed,
            } => self.handle_request_ended(class, end, elapsed),
            Event::InboundCompleted {
                inbound,
                outcome,
                build,
                body,
            } => {
                let completion = InboundCompletion {
                    outcome,
                    build,
                    body,
                };
                self.handle_inbound_completed(inbound, completion);
            }
            Event::EndpointsUpdated { ready } => {
                self.ready_endpoints = ready;
                self.failover.handle_endpoints_updated(self.now, ready);
            }
            Event::PathOpened { path, peer } => self.handle_path_opened(path, peer),
            Event::PathClosed { path, orderly } => self.handle_path_closed(path, orderly),
            Event::ConnectFailed { peer } => self.handle_connect_failed(&peer),
            Event::MessageReceived { path, message } => self.handle_message_received(path, message),
            Event::OperatorCommand(command) => {
                self.is_drained = command == OperatorCommand::Drain;
                self.failover.set_drained(self.now, self.is_drained);
                self.announce_own_state();
            }
            Event::ShutdownStarted => {
                self.is_shutting_down = true;
                self.announce_own_state();
            }
            Event::TimerFired => {}
        }
    }

    /// Passes the result of a local request on to the credit and failover decisions.
    fn handle_request_ended(&mut self, class: ClassId, end: RequestEnd, elapsed: TimeDelta) {
        let class = self.config.classes.get(class.0);
        let is_late = class.is_some_and(|class| elapsed > class.latency_objective);
        self.offered_capacity.record_request_end(end, is_late);
        self.failover.record_request_end(self.now, end);
    }

    fn handle_message_received(&mut self, path: PathId, message: SiteMessage) {
        match message {
            SiteMessage::Heartbeat(heartbeat) => self.handle_heartbeat_received(path, &heartbeat),
            SiteMessage::Request(request) => self.handle_inbound_received(path, request),
            SiteMessage::Response(response) => self.handle_response_received(path, response),
            SiteMessage::StatusQuery {
                forwarding_id,
                sender_incarnation,
                receiver_incarnation,
            } => self.handle_status_queried(
                path,
                forwarding_id,
                sender_incarnation,
                receiver_incarnation,
            ),
            SiteMessage::Cancel {
                forwarding_id,
                sender_incarnation,
            } => self.handle_inbound_cancelled(path, forwarding_id, sender_incarnation),
        }
    }

    fn process_deadlines(&mut self) {
        while let Some(request) = self.outbound.take_expired(self.now) {
            self.counters.failed_without_response += 1;
            // A missing response counts as a refusal on its path, not as a slow response.
            let result = ForwardingResult {
                path: request.path,
                class: request.class,
                was_served: false,
                elapsed: TimeDelta::ZERO,
            };
            self.path_selector.record_result(self.now, &result);
            self.actions.push(Action::Fail { id: request.id });
        }
        self.inbound.remove_expired(self.now);
        if self.now >= self.next_interval {
            // Missed intervals are skipped.
            self.next_interval = self.now + HEARTBEAT_INTERVAL;
            self.start_interval();
        }
    }

    fn start_interval(&mut self) {
        let changes = self.failover.evaluate(self.now, self.ready_endpoints);
        let changes = changes.into_iter().map(Action::StatusChanged);
        self.actions.extend(changes);
        self.counters.moves = self.failover.moves();
        let is_open = !self.is_drained
            && !self.is_shutting_down
            && self.ready_endpoints > 0
            && !self.failover.is_failed_over();
        let paths = self.membership.usable_paths();
        self.offered_capacity.start_interval(&paths, is_open);
        self.path_selector.start_interval(paths.len());
        self.send_heartbeats();
        self.report_unmatched_responses();
    }

    fn report_unmatched_responses(&mut self) {
        let total = self.counters.unmatched_responses;
        let count = total - self.unmatched_report.total;
        if count > 0 && self.now - self.unmatched_report.at >= UNMATCHED_REPORT_INTERVAL {
            self.unmatched_report = UnmatchedReport {
                total,
                at: self.now,
            };
            let change = Change::UnmatchedResponses { count };
            self.actions.push(Action::StatusChanged(change));
        }
    }

    /// Sets the timer unless a pending one fires early enough.
    fn arm_timer(&mut self) {
        let deadlines = [self.outbound.next_deadline(), self.inbound.next_expiry()];
        let next = deadlines
            .into_iter()
            .flatten()
            .fold(self.next_interval, Timestamp::min)
            .max(self.now + TimeDelta(1));
        let is_pending = self.timer.is_some_and(|at| at > self.now && at <= next);
        if !is_pending {
            self.timer = Some(next);
            self.actions.push(Action::SetTimer {
                after: next - self.now,
            });
        }
    }

    fn send(&mut self, path: PathId, message: SiteMessage) {
        self.actions.push(Action::Send { path, message });
    }

    fn peer(&self, path: PathId) -> Option<GatewayName> {
        self.membership.peer(path).cloned()
    }

    /// This gateway's incarnation. Exceeds the configured incarnation if another gateway sent a record with a later one.
    pub fn incarnation(&self) -> u64 {
        self.membership.own_record().incarnation
    }

    /// Returns the counters, all 0 at the start of the gateway.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The number of open requests in each direction.
    pub fn open_requests(&self) -> OpenRequests {
        OpenRequests {
            outbound: self.outbound.len(),
            inbound: self.inbound.running_count(),
        }
    }
}
