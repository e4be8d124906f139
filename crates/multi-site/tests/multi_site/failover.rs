//! Tests of the failover of a site whose requests stop succeeding.

use expect_test::expect;
use harrierdock_multi_site::{Event, RequestEnd};
use harrierdock_types::ClassId;

use crate::fixture::{Fixture, DRAFT, MS};

#[test]
fn a_failing_site_fails_over_and_a_flapping_site_moves_traffic_at_most_ten_times_a_minute() {
    let mut fixture = Fixture::new();
    let mut moves_by_second = Vec::new();
    // For ten minutes, all requests alternately fail for a second and succeed for a second.
    for second in 0..600 {
        let end = if second % 2 == 0 {
            RequestEnd::Failed
        } else {
            RequestEnd::Succeeded
        };
        for _ in 0..10 {
            fixture.receive_heartbeats(1);
            for _ in 0..3 {
                fixture.handle(Event::RequestEnded {
                    class: ClassId(DRAFT),
                    end,
                    elapsed: MS * 20.0,
                });
            }
        }
        let moved_away = fixture.trace.matches("location: FailedOver").count();
        let returning = fixture.trace.matches("location: Returning").count();
        moves_by_second.push(moved_away + returning);
    }
    let max_moves_per_minute = moves_by_second
        .windows(61)
        .map(|w| w[60] - w[0])
        .max()
        .unwrap();
    assert!(
        max_moves_per_minute <= 10 && moves_by_second[10] > 0,
        "at most {max_moves_per_minute} moves in a minute, {} in total",
        moves_by_second[599]
    );
}

// Guards against a client with short deadlines that moves the traffic of all others to the other site.
#[test]
fn rejections_of_requests_with_too_little_time_do_not_fail_over() {
    let mut lines = String::new();
    for timeout_ms in [1.0, 20.0, 1500.0] {
        let mut fixture = Fixture::new();
        for id in 0..100 {
            fixture.reject_locally(id, DRAFT, timeout_ms);
        }
        fixture.receive_heartbeats(1);
        let moved_away = fixture.trace.matches("location: FailedOver").count();
        lines += &format!("{timeout_ms} ms: {moved_away} failovers\n");
    }
    expect![[r#"
        1 ms: 0 failovers
        20 ms: 0 failovers
        1500 ms: 1 failovers
    "#]]
    .assert_eq(&lines);
}
