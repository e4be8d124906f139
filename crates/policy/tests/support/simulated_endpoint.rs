//! A simulated endpoint with a fixed number of cores.

use harrierdock_types::{AttemptOutcome, RequestId, TimeDelta, Timestamp};

/// How long a connection attempt to a lost endpoint takes to fail.
const CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);
/// The latency of a failing endpoint.
const ERROR_LATENCY: TimeDelta = TimeDelta::from_millis(5);

/// The outcome of an attempt and the time of its end.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedOutcome {
    pub outcome: AttemptOutcome,
    pub at: Timestamp,
}

/// Processes requests in order of arrival, one per core at a time, and skips requests whose deadline has passed.
#[derive(Clone)]
pub struct SimulatedEndpoint {
    /// When each core becomes free.
    cores_free_at: Vec<Timestamp>,
    pub service_time: TimeDelta,
    /// Whether the endpoint neither responds nor accepts connections.
    pub is_lost: bool,
    /// Whether the endpoint fails every request immediately.
    pub is_failing: bool,
    pub received: usize,
}

impl SimulatedEndpoint {
    pub fn new(cores: usize, service_time: TimeDelta) -> SimulatedEndpoint {
        SimulatedEndpoint {
            cores_free_at: vec![Timestamp(0); cores],
            service_time,
            is_lost: false,
            is_failing: false,
            received: 0,
        }
    }

    /// Receives an attempt that times out at `deadline`. Half of the attempts use an idle connection, on which a lost endpoint
    /// doesn't respond; the other half open a connection, which fails.
    pub fn receive(
        &mut self,
        now: Timestamp,
        id: RequestId,
        deadline: Timestamp,
    ) -> SimulatedOutcome {
        let answered_at = self.answer_time(now, deadline);
        let (outcome, at) = match answered_at {
            _ if self.is_lost && id.0.is_multiple_of(2) => {
                (AttemptOutcome::ConnectFailed, now + CONNECT_TIMEOUT)
            }
            _ if self.is_failing => (AttemptOutcome::ServerError, now + ERROR_LATENCY),
            Some(at) => (AttemptOutcome::Succeeded, at),
            None => (AttemptOutcome::TimedOut, deadline),
        };
        SimulatedOutcome { outcome, at }
    }

    /// When the response to a request that arrives now is sent; `None` if that is not before the deadline.
    fn answer_time(&mut self, now: Timestamp, deadline: Timestamp) -> Option<Timestamp> {
        self.received += 1;
        let is_lost = self.is_lost;
        let core_free_at = self.cores_free_at.iter_mut().min().filter(|_| !is_lost)?;
        let start = now.max(*core_free_at);
        if start >= deadline {
            return None;
        }
        *core_free_at = start + self.service_time;
        Some(*core_free_at).filter(|at| *at < deadline)
    }
}
