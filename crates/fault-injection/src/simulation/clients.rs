//! Simulated clients: they send requests at their own times, choose a gateway, and wait until a request's time is over.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::Rng;

use super::parameters::{RequestClass, LATE_ANSWER_TIME, REQUEST_TIMEOUT};
use super::{Simulation, TimerEvent};

/// Shares of requests that are drafts, and drafts or payments.
const DRAFT_SHARE: f64 = 0.6;
const DRAFT_OR_PAYMENT_SHARE: f64 = 0.8;
const LOWEST_REQUEST_RATE: f64 = 0.001;

/// What a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request was answered.
    Succeeded,
    /// It was turned away without effect.
    Rejected,
    /// It ended with unknown effect.
    Failed,
}

/// A client's request.
pub struct ClientRequest {
    /// The site whose client sent it.
    pub site: usize,
    /// Its class.
    pub class: RequestClass,
    /// When its client sent it first.
    pub sent_at: Timestamp,
    /// The gateway that received it whole, and which of its incarnations.
    pub gateway: Option<(usize, u32)>,
    /// The first answer, and when it came.
    pub answer: Option<(Answer, Timestamp)>,
    /// A second answer came.
    pub is_answered_twice: bool,
    /// The sites whose endpoints worked on it, and when they began.
    pub runs: Vec<(usize, Timestamp)>,
    /// Its client has sent it once more.
    pub(super) is_client_retry: bool,
}

/// A gateway as clients see it.
#[derive(Clone)]
pub struct GatewayTarget {
    /// Its site.
    pub site: usize,
    /// Where it takes requests; none before its first start.
    pub address: Option<SocketAddr>,
    /// How often it was started.
    pub incarnation: u32,
    /// It runs.
    pub is_alive: bool,
    /// Clients send requests to it.
    pub accepts_clients: bool,
    /// Its share of its site's clients, against the others' weights.
    pub weight: f64,
}

impl GatewayTarget {
    /// A gateway of this site that was not started yet.
    pub fn not_started(site: usize) -> GatewayTarget {
        GatewayTarget {
            site,
            address: None,
            incarnation: 0,
            is_alive: false,
            accepts_clients: false,
            weight: 1.0,
        }
    }
}

impl Simulation {
    /// Sends a site's next request, and sets the timer for the one after.
    pub(super) fn create_request(&mut self, site: usize) {
        if !self.sends_requests {
            return;
        }
        let rate = self.requests_per_second[site].max(LOWEST_REQUEST_RATE);
        let interval = self.draw_exponential(TimeDelta::from_seconds(1.0 / rate));
        let now = self.now();
        self.timers.set(now + interval, TimerEvent::Arrival(site));
        let class = match self.rng.generate::<f64>() {
            draw if draw < DRAFT_SHARE => RequestClass::Draft,
            draw if draw < DRAFT_OR_PAYMENT_SHARE => RequestClass::Payment,
            _ => RequestClass::Lodge,
        };
        self.requests.push(ClientRequest {
            site,
            class,
            sent_at: now,
            gateway: None,
            answer: None,
            is_answered_twice: false,
            runs: Vec::new(),
            is_client_retry: false,
        });
        let request = self.requests.len() - 1;
        let deadline = now + REQUEST_TIMEOUT + LATE_ANSWER_TIME;
        self.timers
            .set(deadline, TimerEvent::RequestExpired(request));
        self.send_request(request);
    }

    /// Sends a request to a gateway of its site; to one of the other site if its own has none.
    pub(super) fn send_request(&mut self, request: usize) {
        let Some(gateway) = self.select_gateway(self.requests[request].site) else {
            return;
        };
        let incarnation = self.gateways[gateway].incarnation;
        let connection = self
            .idle_connection(gateway, incarnation)
            .or_else(|| self.open_client_connection(gateway, incarnation));
        if let Some(connection) = connection {
            self.write_request(connection, request);
        }
    }

    fn select_gateway(&mut self, site: usize) -> Option<usize> {
        let mut candidates = self.gateways_for_clients(site);
        if candidates.is_empty() {
            candidates = self.gateways_for_clients(1 - site);
        }
        if candidates.is_empty() {
            return None;
        }
        let total_weight = candidates
            .iter()
            .map(|gateway| self.gateways[*gateway].weight)
            .sum::<f64>();
        let mut remaining = self.rng.generate::<f64>() * total_weight;
        let position = candidates.iter().position(|gateway| {
            remaining -= self.gateways[*gateway].weight;
            remaining < 0.0
        });
        Some(candidates[position.unwrap_or(0)])
    }

    fn gateways_for_clients(&self, site: usize) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|gateway| {
                let target = &self.gateways[*gateway];
                target.site == site && target.accepts_clients
            })
            .collect()
    }

    /// Ends a request whose time is over.
    pub(super) fn expire_request(&mut self, request: usize) {
        if self.requests[request].answer.is_some() {
            return;
        }
        // An answer that came while this loop was busy counts.
        if let Some(connection) = self.connection_of(request) {
            let readiness = Readiness {
                readable: true,
                writable: false,
                error: false,
            };
            self.handle_client_ready(connection, readiness);
        }
        if self.requests[request].answer.is_some() {
            return;
        }
        if let Some(connection) = self.connection_of(request) {
            self.close_client_connection(connection);
        }
    }

    fn connection_of(&self, request: usize) -> Option<ConnectionId> {
        self.client_connections
            .iter()
            .find(|(_, connection)| connection.request == Some(request))
            .map(|(id, _)| *id)
    }

    /// Records an answer to a request.
    pub(super) fn record_answer(
        &mut self,
        request: usize,
        answer: Answer,
        now: Timestamp,
        has_surplus: bool,
    ) {
        let request = &mut self.requests[request];
        request.is_answered_twice |= request.answer.is_some() || has_surplus;
        request.answer = request.answer.or(Some((answer, now)));
    }
}
