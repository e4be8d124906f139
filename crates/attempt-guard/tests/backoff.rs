//! Backoff after failed calls.

use harrierdock_attempt_guard::Backoff;
use harrierdock_types::TimeDelta;

const MIN: TimeDelta = TimeDelta(250_000);
const MAX: TimeDelta = TimeDelta(1_500_000);

fn draw_waits_us(seed: u64, count: usize) -> Vec<i64> {
    let mut backoff = Backoff::new(MIN, MAX, seed);
    (0..count)
        .map(|_| backoff.next_wait(TimeDelta::ZERO).0)
        .collect()
}

#[test]
fn waits_double_up_to_the_maximum_and_are_drawn_from_the_seed() {
    for seed in 0..200 {
        for (index, wait) in draw_waits_us(seed, 8).into_iter().enumerate() {
            let bound = (MIN.0 << index).min(MAX.0);
            assert!(
                (MIN.0.max(bound / 2)..=bound).contains(&wait),
                "wait {index} of seed {seed} is out of bounds: {wait}"
            );
        }
    }
    assert_ne!(draw_waits_us(1, 8), draw_waits_us(2, 8));
    assert_eq!(draw_waits_us(1, 8), draw_waits_us(1, 8));
}

#[test]
fn gateways_whose_calls_failed_together_do_not_retry_together() {
    let mut backoffs: Vec<Backoff> = (0..300).map(|seed| Backoff::new(MIN, MAX, seed)).collect();
    // Each gateway calls again right after its wait, and each call fails.
    let mut next_calls_us = vec![0_i64; backoffs.len()];
    let mut calls_by_tenth_second = vec![0; 100];
    for (call_at, backoff) in next_calls_us.iter_mut().zip(&mut backoffs) {
        while *call_at < 10_000_000 {
            calls_by_tenth_second[(*call_at / 100_000) as usize] += 1;
            *call_at += backoff.next_wait(TimeDelta::ZERO).0;
        }
    }
    let max_calls = calls_by_tenth_second[50..]
        .iter()
        .max()
        .copied()
        .unwrap_or(0);
    assert!(
        max_calls <= 45,
        "{max_calls} of 300 gateways call within a tenth of a second; independent calls would be about 27"
    );
}

#[test]
fn a_successful_call_resets_the_backoff_to_the_minimum() {
    let mut backoff = Backoff::new(MIN, MAX, 7);
    for _ in 0..5 {
        backoff.next_wait(TimeDelta::ZERO);
    }
    backoff.reset();
    assert_eq!(backoff.next_wait(TimeDelta::ZERO), MIN);
}

#[test]
fn the_wait_is_at_least_as_long_as_the_failed_call() {
    let mut backoff = Backoff::new(MIN, MIN * 40.0, 7);
    let call_duration = TimeDelta(2_000_000);
    let waits = [(); 3].map(|_| backoff.next_wait(call_duration));
    assert!(waits.iter().all(|wait| *wait >= call_duration), "{waits:?}");
    assert!(waits[2] >= MIN * 20.0, "{waits:?}");
}

#[test]
fn calls_at_a_start_are_spread_evenly() {
    let max_wait = TimeDelta(3_000_000);
    let mut calls_by_sixth = [0; 6];
    for seed in 0..600 {
        let wait = Backoff::new(MIN, MAX, seed).draw_spread_wait().0;
        calls_by_sixth[(wait * 6 / max_wait.0) as usize] += 1;
    }
    assert!(
        calls_by_sixth
            .iter()
            .all(|calls| (65..=135).contains(calls)),
        "{calls_by_sixth:?}"
    );
}
