//! Simulated clients: they send requests independently of earlier answers, choose a gateway, and wait until the timeout.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::Rng;

use super::parameters::{RequestClass, LATE_ANSWER_TIME, REQUEST_TIMEOUT};
use super::{Simulation, TimerEvent};

/// Share of idempotent requests.
const IDEMPOTENT_SHARE: f64 = 0.6;
/// Share of requests that are idempotent or have an idempotency key; the others are non-idempotent.
const IDEMPOTENT_OR_KEYED_SHARE: f64 = 0.8;
/// Lower bound of a site's request rate, per second. It keeps the interval finite at a rate of zero.
const LOWEST_REQUEST_RATE: f64 = 0.001;

/// A client's view of how its request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request succeeded.
    Succeeded,
    /// The request was rejected, which promises no effect.
    Rejected,
    /// The request failed; its effect is unknown.
    Failed,
}

/// A client's request, with the outcome that the client and the endpoints observed.
pub struct ClientRequest {
    /// Index of the site whose client sent it.
    pub site: usize,
    /// Retry safety of the request.
    pub class: RequestClass,
    /// When the client first sent it.
    pub sent_at: Timestamp,
    /// Index and incarnation of the gateway to which the whole request was written; `None` until then.
    pub gateway: Option<(usize, u32)>,
    /// The first answer, and when it arrived; `None` until then.
    pub answer: Option<(Answer, Timestamp)>,
    /// Whether a second answer arrived.
    pub is_answered_twice: bool,
    /// One entry per endpoint that worked on it: the index of the endpoint's site, and when the work started.
    pub runs: Vec<(usize, Timestamp)>,
    /// Whether the client has retried it.
    pub(super) is_client_retry: bool,
}

/// A gateway as clients see it.
#[derive(Clone)]
pub struct GatewayTarget {
    /// Index of the gateway's site.
    pub site: usize,
    /// Address for client requests; `None` before its first start.
    pub address: Option<SocketAddr>,
    /// Number of starts so far.
    pub incarnation: u32,
    /// Whether its process is running, also while stopped by SIGSTOP.
    pub is_alive: bool,
    /// Whether clients send requests to it.
    pub accepts_clients: bool,
    /// Weight of the gateway when clients of its site choose one.
    pub weight: f64,
}

impl GatewayTarget {
    /// Creates a gateway of this site that has not been started yet.
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
    /// Sends a site's next request, and sets the timer for the following one.
    pub(super) fn create_request(&mut self, site: usize) {
        if !self.sends_requests {
            return;
        }
        let rate = self.requests_per_second[site].max(LOWEST_REQUEST_RATE);
        let interval = self.draw_exponential(TimeDelta::from_seconds(1.0 / rate));
        let now = self.now();
        self.timers.set(now + interval, TimerEvent::Arrival(site));
        let class = match self.rng.generate::<f64>() {
            draw if draw < IDEMPOTENT_SHARE => RequestClass::Idempotent,
            draw if draw < IDEMPOTENT_OR_KEYED_SHARE => RequestClass::Keyed,
            _ => RequestClass::NonIdempotent,
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

    /// Sends a request to a gateway of its site, or of the other site if no gateway of its own accepts clients.
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

    /// Abandons a request that has no answer after its timeout.
    pub(super) fn expire_request(&mut self, request: usize) {
        if self.requests[request].answer.is_some() {
            return;
        }
        // An answer that arrived while this event loop was busy still counts.
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

    /// Records an answer to a request. `has_surplus` means that more bytes followed the response.
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
