//! Failover of a site whose requests stop succeeding.

use harrierdock_multi_site::{Event, RequestEnd};
use harrierdock_types::ClassId;

use crate::fixture::{Fixture, DRAFT, MS};

#[test]
fn a_failing_site_fails_over_and_a_flapping_one_moves_traffic_a_bounded_number_of_times() {
    let mut fixture = Fixture::new();
    let mut moves = Vec::new();
    // Ten minutes in which no request succeeds for a second, and all of them for the next.
    for second in 0..600 {
        let end = if second % 2 == 0 {
            RequestEnd::Failed
        } else {
            RequestEnd::Succeeded
        };
        for _ in 0..10 {
            fixture.heartbeats(1);
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
        moves.push(moved_away + returning);
    }
    let in_a_minute = moves.windows(61).map(|w| w[60] - w[0]).max().unwrap();
    assert!(
        in_a_minute <= 10 && moves[10] > 0,
        "{in_a_minute} moves in a minute, {} in all",
        moves[599]
    );
}
