//! What a client draws for each of its requests. Without sockets and clock.

use std::time::Duration;

use nanorand::{Rng, WyRand};

use super::plan::{milliseconds, one_in};

/// The longest deadline of a request, of which the platform counts less for a kill.
const LONGEST_DEADLINE_MS: u64 = 3_251;

/// How safe a request is to repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Safe to repeat.
    Idempotent,
    /// Safe to repeat with its key.
    Keyed,
    /// Not to be repeated once it may have run.
    NonIdempotent,
}

impl RequestClass {
    /// The class's name in the gateway's settings.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Idempotent => "draft",
            RequestClass::Keyed => "payment",
            RequestClass::NonIdempotent => "lodge",
        }
    }
}

/// How a client sends a request and takes its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPlan {
    /// The request's class.
    pub class: RequestClass,
    /// The time that the client states.
    pub deadline: Duration,
    /// How many pieces it is written in.
    pub pieces: usize,
    /// The pause between two pieces.
    pub piece_pause: Duration,
    /// Whether the answer is read in small parts with pauses.
    pub reads_slowly: bool,
    /// After how long the client closes its connection without an answer.
    pub leaves_after: Option<Duration>,
    /// After how long the client without an answer ends its writing side, and reads on.
    pub half_closes_after: Option<Duration>,
    /// How long the client waits before its next request.
    pub pause: Duration,
}

impl RequestPlan {
    /// The next request of a client.
    pub fn draw(rng: &mut WyRand) -> RequestPlan {
        let classes = [
            RequestClass::Idempotent,
            RequestClass::Keyed,
            RequestClass::NonIdempotent,
        ];
        let deadlines_ms = [150, 400, 1_000, 2_000, LONGEST_DEADLINE_MS];
        let leaves_after = one_in(rng, 20).then_some(milliseconds(rng, 5..=300));
        let half_closes_after = one_in(rng, 20).then_some(draw_half_close(rng));
        RequestPlan {
            class: classes[rng.generate_range(0..classes.len())],
            deadline: Duration::from_millis(
                deadlines_ms[rng.generate_range(0..deadlines_ms.len())],
            ),
            pieces: if one_in(rng, 6) {
                rng.generate_range(2..=4)
            } else {
                1
            },
            piece_pause: milliseconds(rng, 1..=60),
            reads_slowly: one_in(rng, 12),
            leaves_after,
            half_closes_after: half_closes_after.filter(|_| leaves_after.is_none()),
            pause: if one_in(rng, 2) {
                Duration::ZERO
            } else {
                milliseconds(rng, 1..=120)
            },
        }
    }

    /// The request of a client that connects in a start: written at once, and waited for.
    pub fn of_start(rng: &mut WyRand) -> RequestPlan {
        let drawn = RequestPlan::draw(rng);
        RequestPlan {
            class: drawn.class,
            deadline: drawn.deadline,
            ..RequestPlan::of_crowd()
        }
    }

    /// One request of a crowd: written at once, and waited for.
    pub fn of_crowd() -> RequestPlan {
        RequestPlan {
            class: RequestClass::Idempotent,
            deadline: Duration::from_millis(2_000),
            pieces: 1,
            piece_pause: Duration::ZERO,
            reads_slowly: false,
            leaves_after: None,
            half_closes_after: None,
            pause: Duration::ZERO,
        }
    }
}

/// Right behind the request in half of the cases, as a client does that sends a file and waits.
fn draw_half_close(rng: &mut WyRand) -> Duration {
    if one_in(rng, 2) {
        Duration::ZERO
    } else {
        milliseconds(rng, 1..=100)
    }
}
