//! Each part of a condition lapses by itself, and nothing else makes an attempt lapse.

use harrierdock_attempt_guard::{Condition, Lapse, Standing};
use harrierdock_types::interface::Lifecycle;
use harrierdock_types::time::{Point, Span};

const AT: Point = Point(1_000_000);

fn decided() -> (Condition, Standing) {
    let condition = Condition { build: 7, started: Some(Point(5)), cap: 0.3, repeat_until: Some(AT) };
    let listed = Some((Lifecycle::Ready, 7, Some(Point(5))));
    (condition, Standing { now: AT - Span(1), closed: false, stale: false, listed, cap: 0.3, pin: 7 })
}

#[test]
fn each_part_lapses_by_itself() {
    let (condition, holds) = decided();
    let listed = |lifecycle, build, started| Standing { listed: Some((lifecycle, build, started)), ..holds };
    let same = Some(Point(5));
    let rows = [
        (holds, None),
        (Standing { cap: 0.4, pin: 0, ..holds }, None),
        (Standing { closed: true, ..holds }, Some(Lapse::Closed)),
        (Standing { stale: true, ..holds }, Some(Lapse::Stale)),
        (listed(Lifecycle::Draining, 7, same), Some(Lapse::Drains)),
        (listed(Lifecycle::Gone, 7, same), Some(Lapse::Drains)),
        (Standing { listed: None, ..holds }, Some(Lapse::Replaced)),
        (listed(Lifecycle::Ready, 8, same), Some(Lapse::Replaced)),
        (listed(Lifecycle::Ready, 7, Some(Point(6))), Some(Lapse::Replaced)),
        (listed(Lifecycle::Ready, 7, None), Some(Lapse::Replaced)),
        (Standing { cap: 0.0, ..holds }, Some(Lapse::CapLowered)),
        (Standing { pin: 8, ..holds }, Some(Lapse::Pinned)),
        (Standing { now: AT, ..holds }, Some(Lapse::Forgotten)),
    ];
    for (standing, lapse) in rows {
        assert_eq!(condition.lapse(&standing), lapse, "{standing:?}");
    }
    let first = Condition { repeat_until: None, ..condition };
    assert_eq!(first.lapse(&Standing { now: AT + Span(1), ..holds }), None);
}
