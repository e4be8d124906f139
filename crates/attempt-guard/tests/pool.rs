//! A kept connection rests, is usable, then too old to be used.

use harrierdock_attempt_guard::{Kept, Pool};
use harrierdock_types::time::{Point, Span};

#[test]
fn a_kept_connection_rests_then_serves_until_its_server_may_close_it() {
    let pool = Pool::new(Span(250_000), Span(30_000_000));
    let idle = [0, 19_999, 20_000, 29_749_999, 29_750_000];
    let stands = idle.map(|idle| pool.stands(Point(7), Point(7 + idle)));
    assert_eq!(stands, [Kept::Rests, Kept::Rests, Kept::Usable, Kept::Usable, Kept::Old]);
    // Where a server closes an unused connection sooner than one comes up, none is used again.
    let hasty = Pool::new(Span(900_000), Span(400_000));
    assert_eq!(hasty.stands(Point(0), Point(0)), Kept::Old);
}
