//! For how long a list is acted on that nothing confirms.

use harrierdock_attempt_guard::{Freshness, TOLD_ANYWAY};
use harrierdock_types::interface::{Discovery, RuleTerms, Terms};
use harrierdock_types::time::{Point, Span};

const START: Point = Point(7_000_000);
const GRACE: Span = Span(500_000);

fn held(discovery: Discovery) -> Freshness {
    let rules = RuleTerms { drain_grace: GRACE, ..RuleTerms::default() };
    Freshness::new(&Terms { discovery, rules, ..Terms::default() }, START)
}

#[test]
fn a_list_that_is_asked_for_counts_as_long_as_a_change_may_go_untold_and_a_kept_one_half_as_long() {
    let mut asked = held(Discovery::OnRequest);
    let half = START + TOLD_ANYWAY / 2.0;
    assert!(!asked.is_stale(half - Span(1)) && asked.is_stale(half));
    asked.confirm(half);
    let whole = half + TOLD_ANYWAY + GRACE;
    assert!(!asked.is_stale(whole - Span(1)) && asked.is_stale(whole));
    asked.confirm(whole);
    assert!(!asked.is_stale(whole));
}

#[test]
fn a_list_that_is_pushed_counts_until_another_comes() {
    let pushed = held(Discovery::Pushed);
    assert!(!pushed.is_stale(START + TOLD_ANYWAY * 100.0));
}
