//! An endpoint that works on so many requests at a time.

use harrierdock_types::{AttemptOutcome, RequestId, TimeDelta, Timestamp};

/// How long a connection to a lost endpoint takes to fail.
const CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);
/// How long a failing endpoint takes to answer.
const ERROR_LATENCY: TimeDelta = TimeDelta::from_millis(5);

/// How an attempt ends, and when.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedOutcome {
    pub outcome: AttemptOutcome,
    pub at: Timestamp,
}

/// Works on requests in the order in which they come, and passes over those whose deadline is over.
#[derive(Clone)]
pub struct SimulatedEndpoint {
    /// When each core is free.
    cores_free_at: Vec<Timestamp>,
    pub service_time: TimeDelta,
    /// Answers nothing, and takes no connection.
    pub is_lost: bool,
    /// Fails all requests at once.
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

    /// Receives an attempt that is over at `deadline`. Half of the connections are kept ones, on which a lost endpoint is silent.
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

    /// When it will have answered what comes now, if it does before the deadline.
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
