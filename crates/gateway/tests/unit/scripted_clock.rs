//! A clock that only the test advances, and that can simulate a process pause before any one reading. Each thread has its own
//! clock, so that tests can run in parallel.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use harrierdock_event_loop::Clock;

/// A simulated process pause: time that passes between two clock readings.
#[derive(Clone, Copy)]
pub(super) struct Pause {
    /// The index of the reading that the pause precedes, counted from 0.
    pub(super) before_reading: usize,
    /// The time that passes.
    pub(super) duration: Duration,
}

/// A check that runs at the start of a pause.
type PauseCheck = Box<dyn Fn() -> bool>;

thread_local! {
    static NOW: Cell<Option<Instant>> = const { Cell::new(None) };
    static READING_COUNT: Cell<usize> = const { Cell::new(0) };
    static PAUSE: Cell<Option<Pause>> = const { Cell::new(None) };
    static PAUSE_CHECK: RefCell<Option<PauseCheck>> = const { RefCell::new(None) };
    static CHECK_RESULT: Cell<Option<bool>> = const { Cell::new(None) };
}

/// Creates this thread's clock, without a scheduled pause.
pub(super) fn clock() -> Clock {
    NOW.set(Some(Instant::now()));
    PAUSE.set(None);
    PAUSE_CHECK.set(None);
    Clock::with_source(read)
}

fn read() -> Instant {
    let reading = READING_COUNT.replace(READING_COUNT.get() + 1);
    if let Some(pause) = PAUSE.get().filter(|p| p.before_reading == reading) {
        CHECK_RESULT.set(PAUSE_CHECK.with_borrow(|check| check.as_ref().map(|check| check())));
        advance(pause.duration);
    }
    NOW.get().expect("the clock was read before it was created")
}

/// Schedules a pause and restarts the count of readings from 0.
pub(super) fn schedule_pause(pause: Pause) {
    READING_COUNT.set(0);
    CHECK_RESULT.set(None);
    PAUSE.set(Some(pause));
}

/// Runs `check` at the start of the pause.
pub(super) fn check_at_pause(check: impl Fn() -> bool + 'static) {
    PAUSE_CHECK.set(Some(Box::new(check)));
}

/// The result of the check at the pause. `None` if the pause has not occurred or no check was set.
pub(super) fn check_result() -> Option<bool> {
    CHECK_RESULT.get()
}

/// Whether the scheduled pause has occurred.
pub(super) fn has_paused() -> bool {
    PAUSE
        .get()
        .is_some_and(|pause| pause.before_reading < READING_COUNT.get())
}

/// Advances this thread's clock.
pub(super) fn advance(duration: Duration) {
    NOW.set(NOW.get().map(|now| now + duration));
}
