//! Graceful shutdown: new requests are accepted for a grace period, then the gateway ends once every request has its answer.
//! Every answer is written before the process may be killed.

use harrierdock_attempt_guard::ShutdownSchedule;
use harrierdock_types::{TimeDelta, Timestamp};

use crate::downstream::AcceptResult;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

/// How far a gateway has come in its shutdown.
pub(crate) struct ShutdownState {
    /// The times of the shutdown, once the first signal has come.
    pub(crate) schedule: Option<ShutdownSchedule>,
    /// Since when a signal may wait to be handled, before the first turn of the loop.
    pub(crate) signals_wait_since: Option<Timestamp>,
    /// Whether the event loop is to end.
    pub(crate) is_complete: bool,
    /// The longest time that a request may take.
    pub(crate) longest_timeout: TimeDelta,
    /// How often it is checked whether the gateway can end.
    pub(crate) check_interval: TimeDelta,
}

impl ShutdownState {
    /// Whether the first signal has come.
    pub(crate) fn has_started(&self) -> bool {
        self.schedule.is_some()
    }

    /// How long a request that is received now may take; beyond its own deadline if no shutdown has started.
    pub(crate) fn time_left(&self, now: Timestamp, connect_time: TimeDelta) -> TimeDelta {
        self.schedule.map_or(TimeDelta(i64::MAX), |schedule| {
            schedule.time_left(now, connect_time)
        })
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
        let now = self.context.now();
        let schedule = ShutdownSchedule::new(now, self.shutdown.longest_timeout)
            .with_signal_since(self.shutdown.signals_wait_since.unwrap_or(now));
        self.shutdown.schedule = Some(schedule);
        self.context
            .timers
            .set(schedule.grace_ends_at(), Timer::Shutdown);
        self.downstream.start_shutdown();
        self.handle_multi_site_event(now, harrierdock_multi_site::Event::ShutdownStarted);
    }

    /// Ends the gateway once no client is connected or waits to be, and every request has its answer, or once the process may
    /// be killed at any moment.
    pub(super) fn advance_shutdown(&mut self) {
        let Some(schedule) = self.shutdown.schedule else {
            return;
        };
        let accepted = self.accept_connections();
        let all_closed = self.downstream.close_between_requests(&mut self.context);
        self.process_events();
        let now = self.context.now();
        if now >= schedule.answers_due_at() {
            self.fail_all_requests();
        }
        let is_done = accepted == AcceptResult::NoneWaiting
            && all_closed
            && self.dispatcher.requests.unanswered_count() == 0;
        self.shutdown.is_complete = is_done || now >= schedule.ends_at();
        self.context
            .set_timer_after(self.shutdown.check_interval, Timer::Shutdown);
    }
}
