//! How long it is waited before a service that refused is asked again.

use harrierdock_attempt_guard::Backoff;
use harrierdock_types::time::Span;

const LEAST: Span = Span(250_000);
const MOST: Span = Span(1_500_000);

fn waits(seed: u64, count: usize) -> Vec<i64> {
    let mut backoff = Backoff::new(LEAST, MOST, seed);
    (0..count).map(|_| backoff.failed(Span::ZERO).0).collect()
}

#[test]
fn waits_double_to_the_most_and_are_drawn_by_the_seed() {
    for seed in 0..200 {
        for (n, wait) in waits(seed, 8).into_iter().enumerate() {
            let whole = (LEAST.0 << n).min(MOST.0);
            assert!((LEAST.0.max(whole / 2)..=whole).contains(&wait), "wait {n} of seed {seed}: {wait}");
        }
    }
    assert_ne!(waits(1, 8), waits(2, 8));
    assert_eq!(waits(1, 8), waits(1, 8));
}

#[test]
fn hundreds_that_failed_at_once_do_not_come_back_in_step() {
    let mut backs: Vec<Backoff> = (0..300).map(|seed| Backoff::new(LEAST, MOST, seed)).collect();
    // Each asks again as soon as it may, and is refused each time.
    let mut next = vec![0_i64; backs.len()];
    let mut by_tenth = vec![0; 100];
    for (at, backoff) in next.iter_mut().zip(&mut backs) {
        while *at < 10_000_000 {
            by_tenth[(*at / 100_000) as usize] += 1;
            *at += backoff.failed(Span::ZERO).0;
        }
    }
    let most = by_tenth[50..].iter().max().copied().unwrap_or(0);
    assert!(most <= 45, "{most} of 300 ask within a tenth of a second, of whom some 27 would by chance");
}

#[test]
fn what_worked_makes_the_next_failure_a_first_one() {
    let mut backoff = Backoff::new(LEAST, MOST, 7);
    for _ in 0..5 {
        backoff.failed(Span::ZERO);
    }
    backoff.worked();
    assert_eq!(backoff.failed(Span::ZERO), LEAST);
}

#[test]
fn a_call_that_was_turned_away_late_is_not_made_again_sooner_than_that() {
    let mut backoff = Backoff::new(LEAST, LEAST * 40.0, 7);
    let late = Span(2_000_000);
    let waits = [(); 3].map(|_| backoff.failed(late));
    assert!(waits.iter().all(|w| *w >= late), "{waits:?}");
    assert!(waits[2] >= LEAST * 20.0, "{waits:?}");
}

#[test]
fn what_all_ask_at_a_start_is_spread_evenly() {
    let within = Span(3_000_000);
    let mut by_part = [0; 6];
    for seed in 0..600 {
        let at = Backoff::new(LEAST, MOST, seed).spread().0;
        by_part[(at * 6 / within.0) as usize] += 1;
    }
    assert!(by_part.iter().all(|n| (65..=135).contains(n)), "{by_part:?}");
}
