//! Graceful shutdown: the gateway accepts new requests for a grace period, then exits once every request has its response.
//! It writes every response before the platform may kill the process.

use harrierdock_attempt_guard::ShutdownSchedule;
use harrierdock_types::{TimeDelta, Timestamp};

use crate::downstream::AcceptResult;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

/// Progress of the shutdown.
pub(crate) struct ShutdownState {
    /// Deadlines of the shutdown; `None` until the first shutdown signal.
    pub(crate) schedule: Option<ShutdownSchedule>,
    /// Time at which startup blocked signals. Set for the first iteration of the event loop, which handles pending signals.
    pub(crate) signals_blocked_at: Option<Timestamp>,
    /// Whether the event loop must exit.
    pub(crate) is_complete: bool,
    /// Longest request timeout of all classes; unlimited if there is no class.
    pub(crate) longest_timeout: TimeDelta,
    /// Interval at which the gateway checks whether it can exit.
    pub(crate) check_interval: TimeDelta,
}

impl ShutdownState {
    /// Whether the first shutdown signal was received.
    pub(crate) fn has_started(&self) -> bool {
        self.schedule.is_some()
    }

    /// Time allowed for a request received at `now`; unlimited if no shutdown has started.
    pub(crate) fn time_left(&self, now: Timestamp, connect_time: TimeDelta) -> TimeDelta {
        self.schedule.map_or(TimeDelta(i64::MAX), |schedule| {
            schedule.time_left(now, connect_time)
        })
    }
}

impl Gateway {
    /// Starts the shutdown at the first signal and ignores later ones, so that pending requests still get their responses.
    /// SIGKILL terminates the process at once.
    pub(super) fn shut_down(&mut self) {
        if self.shutdown.has_started() {
            tracing::info!("shutdown signal ignored: the shutdown is already in progress");
            return;
        }
        tracing::info!("shutdown started");
        // Transfer leases before connections are closed, so that another gateway holds them in the meantime.
        self.handle_lease_event(harrierdock_lease::Event::ShutdownStarted);
        let now = self.context.now();
        let schedule = ShutdownSchedule::new(now, self.shutdown.longest_timeout)
            .with_signal_since(self.shutdown.signals_blocked_at.unwrap_or(now));
        self.shutdown.schedule = Some(schedule);
        self.context
            .timers
            .set(schedule.grace_ends_at(), Timer::Shutdown);
        self.downstream.start_shutdown();
        self.handle_multi_site_event(now, harrierdock_multi_site::Event::ShutdownStarted);
    }

    /// Completes the shutdown once the accept queue is empty, only closing connections remain and every request is answered.
    /// Completes it in any case when the platform may kill the process.
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
