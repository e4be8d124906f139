//! Traces of the rollout controller, and a property test over random events.

use expect_test::{expect, Expect};
use harrierdock_rollout_controller::*;
use harrierdock_types::{BuildId, PeerId, TimeDelta, Timestamp};
use proptest::prelude::*;

const MICROS_PER_SECOND: i64 = 1_000_000;

fn parameters() -> RolloutControllerParameters {
    RolloutControllerParameters {
        local_peer: PeerId(0),
        gateway_count: 5,
        promote_votes_ratio: 0.5,
        roll_back_votes_ratio: 0.5,
        decision_timeout: TimeDelta(10 * MICROS_PER_SECOND),
        vote_ttl: TimeDelta(4 * MICROS_PER_SECOND),
        resend_interval: TimeDelta(MICROS_PER_SECOND / 4),
        retry_delay: TimeDelta(MICROS_PER_SECOND / 5),
        incarnation: 7,
    }
}

fn vote(build: u32, stage: usize, decision: Decision) -> Vote {
    Vote {
        stage: RolloutStage {
            build: BuildId(build),
            stage,
        },
        decision,
    }
}

fn received(from: usize, sequence: u32, vote: Vote) -> Event {
    Event::VoteReceived {
        from: PeerId(from),
        message: VoteMessage {
            incarnation: 1,
            sequence,
            vote: Some(vote),
        },
    }
}

fn canary(build: u32, stage: usize) -> Event {
    Event::StageUpdated {
        stage: RolloutStage {
            build: BuildId(build),
            stage,
        },
        phase: StagePhase::Canary,
    }
}

/// Feeds events to a controller, at times in tenths of a second, and compares all actions except timers with a trace.
fn check_trace(events: &[(i64, Event)], expected: Expect) {
    let mut controller = RolloutController::new(Timestamp(0), parameters());
    let mut lines = String::new();
    for (tenths, event) in events {
        for action in controller.handle(Timestamp(tenths * MICROS_PER_SECOND / 10), *event) {
            let line = match action {
                Action::SendVote(VoteMessage { sequence, vote, .. }) => {
                    format!("send vote, sequence {sequence}: {}", describe(vote))
                }
                Action::Call { vote, is_retry } => {
                    format!("call {}, retry {is_retry}", describe(Some(vote)))
                }
                Action::Notify(notice) => format!("{notice:?}"),
                Action::SetTimer { .. } => continue,
            };
            lines += &format!("{tenths} {line}\n");
        }
    }
    expected.assert_eq(&lines);
}

fn describe(vote: Option<Vote>) -> String {
    vote.map_or("none".into(), |vote| {
        format!(
            "{}.{} {:?}",
            vote.stage.build, vote.stage.stage, vote.decision
        )
    })
}

#[test]
fn a_holder_calls_once_on_a_majority_of_votes_and_not_again_after_success() {
    let promote = vote(42, 0, Decision::Promote);
    check_trace(
        &[
            (0, Event::LeaseAcquired { epoch: 3 }),
            (0, canary(42, 0)),
            (1, Event::VoteChanged(Some(promote))),
            (2, received(1, 1, promote)),
            // Neither a duplicated message nor a renewed vote counts as another vote.
            (3, received(1, 1, promote)),
            (4, received(1, 2, promote)),
            (5, received(2, 1, promote)),
            (6, received(3, 1, promote)),
            (
                7,
                Event::CallFinished {
                    vote: promote,
                    outcome: CallOutcome::Done,
                },
            ),
            (8, received(4, 1, promote)),
            (9, Event::TimerFired),
        ],
        expect![[r#"
            1 send vote, sequence 1: 42.0 Promote
            4 send vote, sequence 2: 42.0 Promote
            5 call 42.0 Promote, retry false
            7 Done { vote: Vote { stage: RolloutStage { build: BuildId(42), stage: 0 }, decision: Promote }, votes: 4 }
            9 send vote, sequence 3: 42.0 Promote
        "#]],
    );
}

#[test]
fn only_the_holder_calls_and_a_new_holder_uses_the_votes_received_before() {
    let promote = vote(42, 0, Decision::Promote);
    check_trace(
        &[
            (0, canary(42, 0)),
            (1, received(1, 1, promote)),
            (1, received(2, 1, promote)),
            (1, received(3, 1, promote)),
            (9, Event::LeaseAcquired { epoch: 4 }),
            (10, Event::LeaseLost),
            (
                10,
                Event::CallFinished {
                    vote: promote,
                    outcome: CallOutcome::NotSent,
                },
            ),
            (20, Event::TimerFired),
            (21, Event::LeaseAcquired { epoch: 6 }),
            (
                22,
                Event::CallFinished {
                    vote: promote,
                    outcome: CallOutcome::Unknown,
                },
            ),
            (30, Event::TimerFired),
        ],
        expect![[r#"
            9 call 42.0 Promote, retry false
            21 call 42.0 Promote, retry false
            30 call 42.0 Promote, retry true
        "#]],
    );
}

#[test]
fn a_rejected_holder_waits_for_a_new_epoch_and_a_released_build_is_only_rolled_back() {
    let (promote, roll_back) = (
        vote(42, 2, Decision::Promote),
        vote(42, 2, Decision::RollBack),
    );
    let stage = RolloutStage {
        build: BuildId(42),
        stage: 2,
    };
    check_trace(
        &[
            (0, Event::LeaseAcquired { epoch: 3 }),
            (0, canary(42, 2)),
            (1, received(1, 1, promote)),
            (1, received(2, 1, promote)),
            (1, received(3, 1, promote)),
            (
                2,
                Event::CallFinished {
                    vote: promote,
                    outcome: CallOutcome::StaleEpoch,
                },
            ),
            (3, Event::TimerFired),
            (4, Event::LeaseAcquired { epoch: 9 }),
            (
                5,
                Event::CallFinished {
                    vote: promote,
                    outcome: CallOutcome::Done,
                },
            ),
            (
                6,
                Event::StageUpdated {
                    stage,
                    phase: StagePhase::Released,
                },
            ),
            (7, received(1, 2, roll_back)),
            (7, received(2, 2, roll_back)),
            (7, received(3, 2, roll_back)),
        ],
        expect![[r#"
            1 call 42.2 Promote, retry false
            2 EpochRejected { vote: Vote { stage: RolloutStage { build: BuildId(42), stage: 2 }, decision: Promote }, epoch: 3 }
            4 call 42.2 Promote, retry false
            5 Done { vote: Vote { stage: RolloutStage { build: BuildId(42), stage: 2 }, decision: Promote }, votes: 3 }
            7 call 42.2 RollBack, retry false
        "#]],
    );
}

#[test]
fn a_stage_without_a_decision_is_reported_after_its_votes_expire() {
    let promote = vote(42, 0, Decision::Promote);
    check_trace(
        &[
            (0, Event::LeaseAcquired { epoch: 3 }),
            (0, canary(42, 0)),
            (1, received(1, 1, promote)),
            (50, received(2, 1, promote)),
            (60, received(3, 1, promote)),
            (101, Event::TimerFired),
        ],
        expect![[r#"
            101 Overdue { stage: RolloutStage { build: BuildId(42), stage: 0 }, promote_votes: 0, roll_back_votes: 0, needed_votes: 3, holds_lease: true }
        "#]],
    );
}

#[test]
fn every_truncated_message_and_every_flipped_bit_is_rejected() {
    let message = VoteMessage {
        incarnation: 1 << 40,
        sequence: 3,
        vote: Some(vote(42, 1, Decision::RollBack)),
    };
    let bytes = encode(&message);
    assert_eq!(decode(&bytes), Ok(message));
    for length in 0..MESSAGE_BYTES {
        assert!(decode(&bytes[..length]).is_err(), "length {length}");
    }
    for bit in 0..MESSAGE_BYTES * 8 {
        let mut bytes = bytes;
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&bytes).is_err(), "bit {bit}");
    }
}

/// A random event, with the time since the event before it in microseconds.
fn delayed_event() -> impl Strategy<Value = (i64, Event)> {
    let votes = (
        42..44_u32,
        0..2_usize,
        prop_oneof![Just(Decision::Promote), Just(Decision::RollBack)],
    )
        .prop_map(|(build, stage, decision)| vote(build, stage, decision));
    let outcomes = prop_oneof![
        Just(CallOutcome::Done),
        Just(CallOutcome::StaleEpoch),
        Just(CallOutcome::NotSent),
        Just(CallOutcome::Unknown)
    ];
    let phases = prop_oneof![
        Just(StagePhase::Canary),
        Just(StagePhase::Released),
        Just(StagePhase::RolledBack)
    ];
    let event = prop_oneof![
        4 => (0..6_usize, 0..9_u32, votes.clone())
            .prop_map(|(from, sequence, vote)| received(from, sequence, vote)),
        2 => votes.clone().prop_map(|vote| Event::VoteChanged(Some(vote))),
        2 => (42..44_u32, 0..2_usize, phases)
            .prop_map(|(build, stage, phase)| Event::StageUpdated { stage: RolloutStage { build: BuildId(build), stage }, phase }),
        1 => (1..9_u64).prop_map(|epoch| Event::LeaseAcquired { epoch }),
        1 => Just(Event::LeaseLost),
        2 => (votes, outcomes).prop_map(|(vote, outcome)| Event::CallFinished { vote, outcome }),
        2 => Just(Event::TimerFired),
    ];
    (0..MICROS_PER_SECOND, event)
}

proptest! {
    #[test]
    fn a_holder_makes_one_call_at_a_time_on_enough_votes_and_none_for_executed_votes(
        events in proptest::collection::vec(delayed_event(), 1..200)
    ) {
        let mut controller = RolloutController::new(Timestamp(0), parameters());
        let (mut now, mut holds_lease, mut pending, mut executed) = (0, false, None, Vec::new());
        for (delay_us, event) in events {
            now += delay_us;
            match event {
                Event::LeaseAcquired { .. } => holds_lease = true,
                Event::LeaseLost => holds_lease = false,
                Event::CallFinished { vote, outcome } if pending == Some(vote) => {
                    pending = None;
                    executed.extend((outcome == CallOutcome::Done).then_some(vote));
                }
                _ => {}
            }
            for action in controller.handle(Timestamp(now), event) {
                if let Action::Call { vote, .. } = action {
                    prop_assert!(holds_lease && pending.is_none(), "a call without the lease or during another call");
                    prop_assert!(controller.count_votes(vote) >= 3, "a call without enough votes");
                    prop_assert!(
                        executed.iter().all(|earlier| vote > *earlier),
                        "{vote:?} was executed or precedes an executed vote"
                    );
                    pending = Some(vote);
                }
            }
        }
    }
}
