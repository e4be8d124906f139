//! A clock that stands still but for what a test adds, and that can be held up before any one of its readings. One for each
//! thread, so that tests run side by side.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use harrierdock_event_loop::Clock;

/// Time that passes between two readings.
#[derive(Clone, Copy)]
pub(super) struct HoldUp {
    /// Before which reading it passes, counted from 0.
    pub(super) before_reading: usize,
    /// How long it is.
    pub(super) duration: Duration,
}

/// Asks for something that the hold-up itself may change.
type Question = Box<dyn Fn() -> bool>;

thread_local! {
    static NOW: Cell<Option<Instant>> = const { Cell::new(None) };
    static READINGS: Cell<usize> = const { Cell::new(0) };
    static HOLD_UP: Cell<Option<HoldUp>> = const { Cell::new(None) };
    static QUESTION: RefCell<Option<Question>> = const { RefCell::new(None) };
    static ANSWER: Cell<Option<bool>> = const { Cell::new(None) };
}

/// A clock that this thread's script moves.
pub(super) fn clock() -> Clock {
    NOW.set(Some(Instant::now()));
    HOLD_UP.set(None);
    QUESTION.set(None);
    Clock::with_source(read)
}

fn read() -> Instant {
    let reading = READINGS.replace(READINGS.get() + 1);
    if let Some(hold_up) = HOLD_UP.get().filter(|h| h.before_reading == reading) {
        ANSWER.set(QUESTION.with_borrow(|question| question.as_ref().map(|ask| ask())));
        advance(hold_up.duration);
    }
    NOW.get().expect("the clock is made before it is read")
}

/// Counts readings from 0 again, with this hold-up ahead.
pub(super) fn hold_up(hold_up: HoldUp) {
    READINGS.set(0);
    ANSWER.set(None);
    HOLD_UP.set(Some(hold_up));
}

/// Has the hold-up ask this when it begins.
pub(super) fn ask_at_hold_up(question: impl Fn() -> bool + 'static) {
    QUESTION.set(Some(Box::new(question)));
}

/// What was answered at the hold-up, if it has been and there was a question.
pub(super) fn answer_at_hold_up() -> Option<bool> {
    ANSWER.get()
}

/// Whether the hold-up has been.
pub(super) fn was_held_up() -> bool {
    HOLD_UP
        .get()
        .is_some_and(|hold_up| hold_up.before_reading < READINGS.get())
}

/// Lets time pass.
pub(super) fn advance(duration: Duration) {
    NOW.set(NOW.get().map(|now| now + duration));
}
