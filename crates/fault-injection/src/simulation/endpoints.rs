//! Simulated endpoints: cores, a queue, slow start with overload, and idempotency groups.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};

use calloop::generic::{Generic, NoIoDrop};
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use harrierdock_event_loop::ConnectionId;
use harrierdock_types::Timestamp;
use nanorand::Rng;

use super::parameters::{
    CORES_PER_ENDPOINT, DEDUPLICATION_WINDOW, DRAIN_GRACE, FIRST_BUILD, INITIAL_CAPACITY_RATIO,
    MEAN_WORK, OVERLOAD_RATIO, OVERLOAD_WINDOW, QUEUE_LIMIT, SLOW_START_DURATION,
};
use super::{request_number, Simulation, SimulationError, TimerEvent};

/// A simulated endpoint.
pub struct Endpoint {
    /// Index of the endpoint's site.
    pub site: usize,
    /// Listening address of the last start.
    pub address: SocketAddr,
    listener: Option<RegistrationToken>,
    incarnation: u32,
    /// When its slow start began; `None` if it started warm.
    pub slow_start_since: Option<Timestamp>,
    /// When its drain started; `None` if it is not draining. Requests must stop arriving within [`DRAIN_GRACE`].
    pub draining_since: Option<Timestamp>,
    /// Whether it was overloaded while warming up. It then stops answering.
    pub is_overloaded: bool,
    /// Number of the build that it runs.
    pub build: u32,
    /// Share of requests that its build fails.
    pub failure_ratio: f64,
    busy_cores: usize,
    queue: VecDeque<ConnectionId>,
    /// Arrival times of requests within the last [`OVERLOAD_WINDOW`].
    arrivals: VecDeque<Timestamp>,
}

/// An endpoint's immediate decision on a request.
pub(super) enum Admission {
    /// Answer with this HTTP status.
    Answer(u16),
    /// Never answer.
    Ignore,
    /// Queue the request for a core.
    Queue,
}

impl Simulation {
    /// Starts a stopped endpoint on a new port, warm or with a slow start.
    ///
    /// # Errors
    ///
    /// The listener cannot be bound or registered.
    pub fn start_endpoint(
        &mut self,
        index: usize,
        has_slow_start: bool,
    ) -> Result<(), SimulationError> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let on_acceptable =
            move |_, listener: &mut NoIoDrop<TcpListener>, simulation: &mut Simulation| {
                while let Ok((stream, _)) = listener.accept() {
                    simulation.accept_endpoint_connection(index, stream);
                }
                Ok(PostAction::Continue)
            };
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let token = self
            .io
            .handle
            .insert_source(source, on_acceptable)
            .map_err(|error| SimulationError::EventSource(error.error))?;
        let now = self.now();
        let endpoint = &mut self.endpoints[index];
        endpoint.address = address;
        endpoint.listener = Some(token);
        endpoint.is_overloaded = false;
        endpoint.slow_start_since = has_slow_start.then_some(now);
        endpoint.draining_since = None;
        Ok(())
    }

    /// Adds a warm endpoint to a site and starts it.
    ///
    /// # Errors
    ///
    /// The listener cannot be bound or registered.
    pub fn add_endpoint(&mut self, site: usize) -> Result<(), SimulationError> {
        self.endpoints.push(Endpoint {
            site,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            listener: None,
            incarnation: 0,
            slow_start_since: None,
            draining_since: None,
            is_overloaded: false,
            build: FIRST_BUILD,
            failure_ratio: 0.0,
            busy_cores: 0,
            queue: VecDeque::new(),
            arrivals: VecDeque::new(),
        });
        self.start_endpoint(self.endpoints.len() - 1, false)
    }

    /// Stops an endpoint, closes its connections and discards its work.
    pub fn stop_endpoint(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        if let Some(token) = endpoint.listener.take() {
            self.io.handle.remove(token);
        }
        endpoint.incarnation += 1;
        endpoint.busy_cores = 0;
        endpoint.queue = VecDeque::new();
        endpoint.arrivals = VecDeque::new();
        self.close_endpoint_connections(index);
    }

    /// Whether an endpoint is listening.
    pub fn is_endpoint_running(&self, index: usize) -> bool {
        self.endpoints[index].listener.is_some()
    }

    /// Current capacity of an endpoint as a share of its full capacity.
    pub fn capacity_ratio(&self, index: usize) -> f64 {
        let Some(started_at) = self.endpoints[index].slow_start_since else {
            return 1.0;
        };
        let progress = (self.now() - started_at).ratio_to(SLOW_START_DURATION);
        (INITIAL_CAPACITY_RATIO + (1.0 - INITIAL_CAPACITY_RATIO) * progress).min(1.0)
    }

    /// Removes a connection's request from the queue.
    pub(super) fn remove_from_queue(&mut self, index: usize, connection: ConnectionId) {
        self.endpoints[index]
            .queue
            .retain(|waiting| *waiting != connection);
    }

    /// Decides on a request that has arrived completely. `deduplication_key` is its idempotency key, if any.
    pub(super) fn admit_request(
        &mut self,
        index: usize,
        now: Timestamp,
        request_id: &str,
        deduplication_key: Option<String>,
    ) -> Admission {
        self.count_arrival(index, request_id);
        if deduplication_key.is_some_and(|key| self.deduplicate(index, now, key)) {
            return Admission::Answer(200);
        }
        let endpoint = &self.endpoints[index];
        if endpoint.is_overloaded {
            Admission::Ignore
        } else if endpoint.queue.len() >= QUEUE_LIMIT {
            Admission::Answer(503)
        } else {
            Admission::Queue
        }
    }

    /// Returns true if the endpoint's idempotency group remembers this key. Otherwise stores the key.
    fn deduplicate(&mut self, index: usize, now: Timestamp, key: String) -> bool {
        let group = if self.shares_idempotency_group {
            0
        } else {
            self.endpoints[index].site
        };
        let last_run = self.last_run_by_key.get(&(group, key.clone())).copied();
        if last_run.is_some_and(|at| now - at < DEDUPLICATION_WINDOW) {
            self.observations.repeats_dropped += 1;
            return true;
        }
        let ran_elsewhere = self.last_run_by_key.contains_key(&(1 - group, key.clone()));
        self.observations.repeats_outside_window += u64::from(last_run.is_some() || ran_elsewhere);
        self.last_run_by_key.insert((group, key), now);
        false
    }

    /// Counts a request that arrives too long after a drain, and detects overload of a warming endpoint.
    fn count_arrival(&mut self, index: usize, request_id: &str) {
        let now = self.now();
        let capacity_ratio = self.capacity_ratio(index);
        let endpoint = &mut self.endpoints[index];
        let is_past_grace =
            |since: Option<Timestamp>| since.is_some_and(|at| now - at > DRAIN_GRACE);
        // Clients may send to a drained site's gateways directly, but the other site's gateways must not forward to it.
        let sender =
            request_number(request_id).and_then(|number| self.requests.get(number)?.gateway);
        let is_forwarded =
            sender.is_some_and(|(gateway, _)| self.gateways[gateway].site != endpoint.site);
        let is_site_drained = is_forwarded && is_past_grace(self.drained_since[endpoint.site]);
        let is_after_drain = is_past_grace(endpoint.draining_since) || is_site_drained;
        self.observations.requests_after_drain += u64::from(is_after_drain);
        endpoint.arrivals.push_back(now);
        while endpoint
            .arrivals
            .front()
            .is_some_and(|at| now - *at > OVERLOAD_WINDOW)
        {
            endpoint.arrivals.pop_front();
        }
        let limit = OVERLOAD_RATIO
            * capacity_ratio
            * OVERLOAD_WINDOW.ratio_to(MEAN_WORK)
            * CORES_PER_ENDPOINT as f64;
        let is_warming_up = capacity_ratio < 1.0;
        if is_warming_up && endpoint.arrivals.len() as f64 > limit && !endpoint.is_overloaded {
            endpoint.is_overloaded = true;
            self.observations.overloaded_warming_endpoints += 1;
        }
    }

    /// Queues a request and starts work on free cores.
    pub(super) fn queue_request(&mut self, index: usize, connection: ConnectionId) {
        self.endpoints[index].queue.push_back(connection);
        self.start_work(index);
    }

    fn start_work(&mut self, index: usize) {
        while self.endpoints[index].busy_cores < CORES_PER_ENDPOINT
            && !self.endpoints[index].is_overloaded
        {
            let Some(connection) = self.endpoints[index].queue.pop_front() else {
                return;
            };
            let Some(pending) = self.pending_request(connection) else {
                continue;
            };
            let now = self.now();
            if pending.deadline <= now {
                self.observations.expired_before_work += 1;
                self.respond(connection, 504);
                continue;
            }
            let site = self.endpoints[index].site;
            let number = request_number(&pending.request_id);
            if let Some(request) = number.and_then(|number| self.requests.get_mut(number)) {
                request.runs.push((site, now));
            }
            let capacity_ratio = self.capacity_ratio(index);
            let work = self.draw_exponential(MEAN_WORK / 2.0) + MEAN_WORK / 2.0;
            self.endpoints[index].busy_cores += 1;
            let done = TimerEvent::WorkDone {
                connection,
                endpoint: index,
                incarnation: self.endpoints[index].incarnation,
            };
            self.timers.set(now + work / capacity_ratio, done);
        }
    }

    /// Frees a core, and answers the request if its connection is still open. Ignores work from before the last stop.
    pub(super) fn finish_work(&mut self, connection: ConnectionId, index: usize, incarnation: u32) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.incarnation != incarnation {
            return;
        }
        endpoint.busy_cores = endpoint.busy_cores.saturating_sub(1);
        let failure_ratio = endpoint.failure_ratio;
        let has_failed = failure_ratio > 0.0 && self.rng.generate::<f64>() < failure_ratio;
        self.respond(connection, if has_failed { 500 } else { 200 });
        self.start_work(index);
    }
}
