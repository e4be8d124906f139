//! Short traces of the steward, and what must hold whatever comes.

use expect_test::{expect, Expect};
use harrierdock_rollout_controller::*;
use harrierdock_types::{BuildId, PeerId};
use harrierdock_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

const SECOND: i64 = 1_000_000;

fn terms() -> Terms {
    Terms {
        own: PeerId(0),
        gateways: 5,
        on_votes: 0.5,
        back_votes: 0.5,
        bound: TimeDelta(10 * SECOND),
        vote_life: TimeDelta(4 * SECOND),
        retell: TimeDelta(SECOND / 4),
        retry: TimeDelta(SECOND / 5),
        incarnation: 7,
    }
}

fn ballot(build: u32, stage: usize, way: Way) -> Ballot {
    Ballot {
        wave: Wave {
            build: BuildId(build),
            stage,
        },
        way,
    }
}

fn heard(from: usize, number: u32, ballot: Ballot) -> Event {
    Event::Heard {
        from: PeerId(from),
        told: Told {
            incarnation: 1,
            number,
            ballot: Some(ballot),
        },
    }
}

fn trial(build: u32, stage: usize) -> Event {
    Event::Stage {
        wave: Wave {
            build: BuildId(build),
            stage,
        },
        standing: Standing::Trial,
    }
}

/// Plays events at tenths of a second and prints what was asked for, wakes aside.
fn play(events: &[(i64, Event)], expected: Expect) {
    let mut steward = Steward::new(Timestamp(0), terms());
    let mut lines = String::new();
    for (tenths, event) in events {
        for action in steward.take(Timestamp(tenths * SECOND / 10), *event) {
            let line = match action {
                Action::Tell(Told { number, ballot, .. }) => {
                    format!("tells {number}: {}", plain(ballot))
                }
                Action::Call { ballot, again } => {
                    format!("calls {} again {again}", plain(Some(ballot)))
                }
                Action::Said(said) => format!("{said:?}"),
                Action::Wake { .. } => continue,
            };
            lines += &format!("{tenths} {line}\n");
        }
    }
    expected.assert_eq(&lines);
}

fn plain(ballot: Option<Ballot>) -> String {
    ballot.map_or("none".into(), |b| {
        format!("{}.{} {:?}", b.wave.build, b.wave.stage, b.way)
    })
}

#[test]
fn a_holder_calls_once_on_more_than_half_of_the_votes_and_not_again_when_it_is_done() {
    let on = ballot(42, 0, Way::On);
    play(
        &[
            (0, Event::Holds { epoch: 3 }),
            (0, trial(42, 0)),
            (1, Event::Cast(Some(on))),
            (2, heard(1, 1, on)),
            // The same once more, and one from before: neither is another vote.
            (3, heard(1, 1, on)),
            (4, heard(1, 2, on)),
            (5, heard(2, 1, on)),
            (6, heard(3, 1, on)),
            (
                7,
                Event::Answered {
                    ballot: on,
                    answer: Answer::Done,
                },
            ),
            (8, heard(4, 1, on)),
            (9, Event::Wake),
        ],
        expect![[r#"
            1 tells 1: 42.0 On
            4 tells 2: 42.0 On
            5 calls 42.0 On again false
            7 Done { ballot: Ballot { wave: Wave { build: BuildId(42), stage: 0 }, way: On }, votes: 4 }
            9 tells 3: 42.0 On
        "#]],
    );
}

#[test]
fn whoever_holds_nothing_calls_nothing_and_a_new_holder_calls_on_the_votes_it_has_heard() {
    let on = ballot(42, 0, Way::On);
    play(
        &[
            (0, trial(42, 0)),
            (1, heard(1, 1, on)),
            (1, heard(2, 1, on)),
            (1, heard(3, 1, on)),
            (9, Event::Holds { epoch: 4 }),
            (10, Event::Lost),
            (
                10,
                Event::Answered {
                    ballot: on,
                    answer: Answer::NotWritten,
                },
            ),
            (20, Event::Wake),
            (21, Event::Holds { epoch: 6 }),
            (
                22,
                Event::Answered {
                    ballot: on,
                    answer: Answer::Unknown,
                },
            ),
            (30, Event::Wake),
        ],
        expect![[r#"
            9 calls 42.0 On again false
            21 calls 42.0 On again false
            30 calls 42.0 On again true
        "#]],
    );
}

#[test]
fn a_refused_holder_waits_for_an_epoch_of_its_own_and_a_release_goes_back_only() {
    let (on, back) = (ballot(42, 2, Way::On), ballot(42, 2, Way::Back));
    let wave = Wave {
        build: BuildId(42),
        stage: 2,
    };
    play(
        &[
            (0, Event::Holds { epoch: 3 }),
            (0, trial(42, 2)),
            (1, heard(1, 1, on)),
            (1, heard(2, 1, on)),
            (1, heard(3, 1, on)),
            (
                2,
                Event::Answered {
                    ballot: on,
                    answer: Answer::Older,
                },
            ),
            (3, Event::Wake),
            (4, Event::Holds { epoch: 9 }),
            (
                5,
                Event::Answered {
                    ballot: on,
                    answer: Answer::Done,
                },
            ),
            (
                6,
                Event::Stage {
                    wave,
                    standing: Standing::Released,
                },
            ),
            (7, heard(1, 2, back)),
            (7, heard(2, 2, back)),
            (7, heard(3, 2, back)),
        ],
        expect![[r#"
            1 calls 42.2 On again false
            2 Barred { ballot: Ballot { wave: Wave { build: BuildId(42), stage: 2 }, way: On }, epoch: 3 }
            4 calls 42.2 On again false
            5 Done { ballot: Ballot { wave: Wave { build: BuildId(42), stage: 2 }, way: On }, votes: 3 }
            7 calls 42.2 Back again false
        "#]],
    );
}

#[test]
fn a_wave_without_a_decision_is_told_and_votes_lapse() {
    let on = ballot(42, 0, Way::On);
    play(
        &[
            (0, Event::Holds { epoch: 3 }),
            (0, trial(42, 0)),
            (1, heard(1, 1, on)),
            (50, heard(2, 1, on)),
            (60, heard(3, 1, on)),
            (101, Event::Wake),
        ],
        expect![[r#"
            101 Overdue { wave: Wave { build: BuildId(42), stage: 0 }, on: 0, back: 0, needs: 3, holds: true }
        "#]],
    );
}

#[test]
fn every_cut_and_every_flipped_bit_of_a_ballot_is_refused() {
    let told = Told {
        incarnation: 1 << 40,
        number: 3,
        ballot: Some(ballot(42, 1, Way::Back)),
    };
    let bytes = write(&told);
    assert_eq!(read(&bytes), Ok(told));
    for length in 0..LENGTH {
        assert!(read(&bytes[..length]).is_err());
    }
    for bit in 0..LENGTH * 8 {
        let mut bytes = bytes;
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(read(&bytes).is_err(), "bit {bit}");
    }
}

fn events() -> impl Strategy<Value = (i64, Event)> {
    let ballots = (
        42..44_u32,
        0..2_usize,
        prop_oneof![Just(Way::On), Just(Way::Back)],
    )
        .prop_map(|(build, stage, way)| ballot(build, stage, way));
    let answers = prop_oneof![
        Just(Answer::Done),
        Just(Answer::Older),
        Just(Answer::NotWritten),
        Just(Answer::Unknown)
    ];
    let standings = prop_oneof![
        Just(Standing::Trial),
        Just(Standing::Released),
        Just(Standing::Over)
    ];
    let event = prop_oneof![
        4 => (0..6_usize, 0..9_u32, ballots.clone()).prop_map(|(from, n, b)| heard(from, n, b)),
        2 => ballots.clone().prop_map(|b| Event::Cast(Some(b))),
        2 => (42..44_u32, 0..2_usize, standings)
            .prop_map(|(build, stage, standing)| Event::Stage { wave: Wave { build: BuildId(build), stage }, standing }),
        1 => (1..9_u64).prop_map(|epoch| Event::Holds { epoch }),
        1 => Just(Event::Lost),
        2 => (ballots, answers).prop_map(|(ballot, answer)| Event::Answered { ballot, answer }),
        2 => Just(Event::Wake),
    ];
    (0..SECOND, event)
}

proptest! {
    #[test]
    fn one_call_at_a_time_on_enough_votes_by_a_holder_and_never_for_what_is_done(
        events in proptest::collection::vec(events(), 1..200)
    ) {
        let mut steward = Steward::new(Timestamp(0), terms());
        let (mut now, mut holds, mut out, mut done) = (0, false, None, Vec::new());
        for (after, event) in events {
            now += after;
            match event {
                Event::Holds { .. } => holds = true,
                Event::Lost => holds = false,
                Event::Answered { ballot, answer } if out == Some(ballot) => {
                    out = None;
                    done.extend((answer == Answer::Done).then_some(ballot));
                }
                _ => {}
            }
            for action in steward.take(Timestamp(now), event) {
                if let Action::Call { ballot, .. } = action {
                    prop_assert!(holds && out.is_none(), "a holder's only call");
                    prop_assert!(steward.votes(ballot) >= 3, "on enough votes");
                    prop_assert!(done.iter().all(|d| ballot > *d), "{ballot:?} is done or behind");
                    out = Some(ballot);
                }
            }
        }
    }
}
