//! Graceful shutdown: new requests are accepted for a grace period, then the gateway ends once every request has its answer,
//! and at the latest before the process is killed.

use harrierdock_types::{TimeDelta, Timestamp};

use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

/// How long after the first signal new requests may still be accepted.
const SHUTDOWN_GRACE: TimeDelta = TimeDelta(700_000);

/// How far a gateway has come in its shutdown.
pub(crate) struct ShutdownState {
    /// When the first signal came.
    pub(crate) started_at: Option<Timestamp>,
    /// Whether the event loop is to end.
    pub(crate) is_complete: bool,
    /// The longest time that a request may take; what follows the grace period.
    pub(crate) max_request_time: TimeDelta,
    /// How often it is checked whether the gateway can end.
    pub(crate) check_interval: TimeDelta,
}

impl ShutdownState {
    /// Whether the first signal has come.
    pub(crate) fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// How long a request that is received now may take. After the grace period it has to end by a margin of one connection
    /// set-up before the earliest kill; before that it has until its own deadline.
    pub(crate) fn time_left(&self, now: Timestamp, connect_margin: TimeDelta) -> TimeDelta {
        match self.started_at {
            Some(started_at) if now > started_at + SHUTDOWN_GRACE => {
                let kill_at = started_at + SHUTDOWN_GRACE + self.max_request_time;
                (kill_at - connect_margin - now).max(TimeDelta::ZERO)
            }
            _ => TimeDelta(i64::MAX),
        }
    }
}

impl Gateway {
    /// Starts the shutdown at the first signal. Further ones change nothing: requests under way could still be answered before
    /// the kill, and whoever wants the process to end at once can kill it.
    pub(super) fn shut_down(&mut self) {
        if self.shutdown.has_started() {
            tracing::info!("told to end again: the shutdown goes on");
            return;
        }
        tracing::info!("told to end");
        // Before connections are closed, so that another gateway holds the leases while they still are.
        self.handle_lease_event(harrierdock_lease::Event::ShutdownStarted);
        self.shutdown.started_at = Some(self.context.now());
        self.context
            .set_timer_after(SHUTDOWN_GRACE, Timer::Shutdown);
        self.downstream.start_shutdown();
        let now = self.context.now();
        self.handle_multi_site_event(now, harrierdock_multi_site::Event::ShutdownStarted);
    }

    /// Ends the gateway once no client is connected and every request has its answer, or once the time for that is over.
    pub(super) fn advance_shutdown(&mut self) {
        let Some(started_at) = self.shutdown.started_at else {
            return;
        };
        self.accept_connections();
        let all_closed = self.downstream.close_between_requests(&mut self.context);
        self.process_events();
        self.shutdown.is_complete |= all_closed && self.dispatcher.requests.unanswered_count() == 0;
        let deadline = started_at + SHUTDOWN_GRACE + self.shutdown.max_request_time;
        if self.context.now() >= deadline {
            self.fail_all_requests();
            self.shutdown.is_complete = true;
        }
        self.context
            .set_timer_after(self.shutdown.check_interval, Timer::Shutdown);
    }
}
