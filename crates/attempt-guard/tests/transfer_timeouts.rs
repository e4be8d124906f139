//! When a message that arrives in pieces has stalled.

use harrierdock_attempt_guard::{Transfer, TransferTimeouts};
use harrierdock_types::{TimeDelta, Timestamp};

const MAX_PAUSE_MS: i64 = 250;
const MAX_DURATION_MS: i64 = 5_000;

fn at(milliseconds: i64) -> Timestamp {
    Timestamp(0) + TimeDelta::from_millis(milliseconds)
}

fn timeouts() -> TransferTimeouts {
    TransferTimeouts::new(
        TimeDelta::from_millis(MAX_PAUSE_MS),
        TimeDelta::from_millis(MAX_DURATION_MS),
    )
}

/// When a message that begins at 0 counts as stalled, if its pieces come at this interval, or only its first piece comes.
fn stalls_at(timeouts: &TransferTimeouts, interval_ms: Option<i64>) -> i64 {
    let has_stalled = |now_ms: &i64| {
        let last_piece_ms = interval_ms.map_or(0, |interval| now_ms - now_ms % interval);
        let transfer = Transfer {
            started_at: at(0),
            last_piece_at: at(last_piece_ms),
        };
        timeouts.has_stalled(transfer, at(*now_ms))
    };
    (0..)
        .find(has_stalled)
        .expect("every message stalls in the end")
}

#[test]
fn a_message_stalls_by_its_pauses_or_by_its_whole_duration() {
    assert_eq!(stalls_at(&timeouts(), None), MAX_PAUSE_MS + 1);
    assert_eq!(stalls_at(&timeouts(), Some(300)), MAX_PAUSE_MS + 1);
    assert_eq!(stalls_at(&timeouts(), Some(200)), MAX_DURATION_MS + 1);
}

#[test]
fn consecutive_stalls_double_the_timeouts_up_to_a_limit() {
    let mut timeouts = timeouts();
    let stalls: Vec<[i64; 2]> = (0..9)
        .map(|_| {
            let stalls = [stalls_at(&timeouts, None), stalls_at(&timeouts, Some(200))];
            timeouts.record_stall();
            stalls.map(|milliseconds| milliseconds - 1)
        })
        .collect();
    assert_eq!(
        stalls,
        [
            [250, 5_000],
            [500, 10_000],
            [1_000, 20_000],
            [2_000, 40_000],
            [4_000, 80_000],
            [5_000, 160_000],
            [5_000, 320_000],
            [5_000, 320_000],
            [5_000, 320_000],
        ]
    );
}

#[test]
fn a_complete_message_resets_the_timeouts() {
    let mut timeouts = timeouts();
    timeouts.record_stall();
    timeouts.record_stall();
    timeouts.record_completion();
    assert_eq!(stalls_at(&timeouts, None), MAX_PAUSE_MS + 1);
}
