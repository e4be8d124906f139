//! Compares encoded vote messages with a golden file, byte for byte.

#[path = "../../types/tests/golden/mod.rs"]
mod golden;

use golden::{check, exact};
use harrierdock_rollout_controller::{
    decode as decode_vote, encode, Decision, RolloutStage, Vote, VoteMessage, MESSAGE_BYTES,
};
use harrierdock_types::BuildId;

fn vote(build: u32, stage: usize, decision: Decision) -> Option<Vote> {
    Some(Vote {
        stage: RolloutStage {
            build: BuildId(build),
            stage,
        },
        decision,
    })
}

#[test]
fn vote_messages_match_the_golden_file() {
    let message = |incarnation, sequence, vote| VoteMessage {
        incarnation,
        sequence,
        vote,
    };
    let incarnation = 1_764_600_000_000;
    let mut cases = vec![
        exact("zeros", message(0, 0, None)),
        exact("taken_back", message(incarnation, 7, None)),
        exact("taken_back_largest", message(u64::MAX, u32::MAX, None)),
        exact(
            "advance",
            message(incarnation, 1, vote(12, 0, Decision::Promote)),
        ),
        exact(
            "advance_zeros",
            message(0, 0, vote(0, 0, Decision::Promote)),
        ),
        exact(
            "advance_each_byte",
            message(
                0x0102_0304_0506_0708,
                0x090a_0b0c,
                vote(0x0d0e_0f10, 0x11_1213, Decision::Promote),
            ),
        ),
        exact(
            "advance_largest",
            message(
                u64::MAX,
                u32::MAX,
                vote(u32::MAX, 0xff_ffff, Decision::Promote),
            ),
        ),
        exact(
            "roll_back",
            message(incarnation, 2, vote(12, 3, Decision::RollBack)),
        ),
        exact(
            "roll_back_zeros",
            message(0, 0, vote(0, 0, Decision::RollBack)),
        ),
        exact(
            "roll_back_largest",
            message(
                u64::MAX,
                u32::MAX,
                vote(u32::MAX, 0xff_ffff, Decision::RollBack),
            ),
        ),
    ];
    // A stage number of more than three bytes is truncated.
    let (wide, narrow) = (
        vote(12, 0x0100_0002, Decision::Promote),
        vote(12, 2, Decision::Promote),
    );
    cases.push((
        "stage_cut".into(),
        message(incarnation, 3, wide),
        message(incarnation, 3, narrow),
    ));
    let decode = |bytes: &[u8]| decode_vote(bytes).expect("a vote message");
    check(
        include_str!("golden/votes.txt"),
        &cases,
        |message| encode(message).to_vec(),
        decode,
    );
    assert_eq!(MESSAGE_BYTES, 26);
}
