//! Random parameters of each client request. Uses no sockets and no clock.

use std::time::Duration;

use nanorand::{Rng, WyRand};

use super::plan::{draw_milliseconds, draw_one_in};
pub use crate::simulation::RequestClass;

/// The longest deadline of a request. Longer than the longest deadline that delays a kill.
const LONGEST_DEADLINE_MS: u64 = 3_251;

/// How a client sends a request and reads the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPlan {
    /// Retry safety of the request.
    pub class: RequestClass,
    /// The remaining time that the client states.
    pub deadline: Duration,
    /// In how many pieces the client writes the request.
    pub pieces: usize,
    /// The pause between two pieces of the request.
    pub piece_pause: Duration,
    /// Whether the client reads the answer in small parts with pauses.
    pub reads_slowly: bool,
    /// How long the client waits for an answer before it closes its connection; `None` if it waits past the deadline.
    pub closes_after: Option<Duration>,
    /// How long the client waits for an answer before it shuts down its sending side and keeps reading; `None` if it
    /// doesn't.
    pub half_closes_after: Option<Duration>,
    /// The pause before the client's next request.
    pub pause: Duration,
}

impl RequestPlan {
    /// Draws the next request of a client.
    pub fn draw(rng: &mut WyRand) -> RequestPlan {
        let classes = [
            RequestClass::Idempotent,
            RequestClass::Keyed,
            RequestClass::NonIdempotent,
        ];
        let deadlines_ms = [150, 400, 1_000, 2_000, LONGEST_DEADLINE_MS];
        let closes_after = draw_one_in(rng, 20).then_some(draw_milliseconds(rng, 5..=300));
        let half_closes_after = draw_one_in(rng, 20).then_some(draw_half_close_delay(rng));
        RequestPlan {
            class: classes[rng.generate_range(0..classes.len())],
            deadline: Duration::from_millis(
                deadlines_ms[rng.generate_range(0..deadlines_ms.len())],
            ),
            pieces: if draw_one_in(rng, 6) {
                rng.generate_range(2..=4)
            } else {
                1
            },
            piece_pause: draw_milliseconds(rng, 1..=60),
            reads_slowly: draw_one_in(rng, 12),
            closes_after,
            half_closes_after: half_closes_after.filter(|_| closes_after.is_none()),
            pause: if draw_one_in(rng, 2) {
                Duration::ZERO
            } else {
                draw_milliseconds(rng, 1..=120)
            },
        }
    }

    /// Draws the request of a client that connects during a gateway's startup: written at once and awaited.
    pub fn for_startup_client(rng: &mut WyRand) -> RequestPlan {
        let drawn = RequestPlan::draw(rng);
        RequestPlan {
            class: drawn.class,
            deadline: drawn.deadline,
            ..RequestPlan::for_burst()
        }
    }

    /// One request of a connection burst: written at once and awaited.
    pub fn for_burst() -> RequestPlan {
        RequestPlan {
            class: RequestClass::Idempotent,
            deadline: Duration::from_millis(2_000),
            pieces: 1,
            piece_pause: Duration::ZERO,
            reads_slowly: false,
            closes_after: None,
            half_closes_after: None,
            pause: Duration::ZERO,
        }
    }
}

/// Draws a half-close right after the request in half of the cases, like a client that sends a file and waits.
fn draw_half_close_delay(rng: &mut WyRand) -> Duration {
    if draw_one_in(rng, 2) {
        Duration::ZERO
    } else {
        draw_milliseconds(rng, 1..=100)
    }
}
