//! Many gateways in one process on a told clock: what harms only in the sum is asserted of the sum.

mod hall;

use hall::*;
use harrierdock::interface::*;

/// A fleet of `count` that all want the same vote at one moment: how many votes stand at once at the most, and
/// how many calls a second were accepted while they wanted it.
fn votes(count: usize, wanted: Verdict) -> (usize, f64) {
    let mut hall = Hall::new(count, |terms| terms.release.votes_a_second = 16.0);
    hall.list(&[1, 1, 1, 2]);
    hall.news(2, 0, Phase::Trial, 1.0);
    if wanted == Verdict::Back {
        // Five of the eight circles have told how sure they are.
        for speaker in 0..5 {
            hall.mail_all(speaker, &format!("2.0.{}.t", 14));
        }
    }
    hall.until(20_000);
    let from = hall.platform.first_call.map_or(0.0, |at| at.0 as f64 / 1e6);
    (hall.platform.most_standing, hall.platform.accepted as f64 / (20.0 - from))
}

#[test]
fn hundreds_that_vote_at_once_stand_as_many_as_the_platform_takes() {
    for (count, wanted) in [10, 100, 300].into_iter().flat_map(|n| [(n, Verdict::On), (n, Verdict::Back)]) {
        let (standing, a_second) = votes(count, wanted);
        // A vote stands for four seconds: after a rest 32 are let in at once, then 16 a second.
        let most = count.min(32 + 4 * 16);
        assert!(standing * 10 >= most * 9, "{count} {wanted:?}: {standing} of {most} stand at once");
        assert!(a_second < 20.0, "{count} {wanted:?}: {a_second} accepted a second");
    }
}
