//! Compares the adapter's output for fixed batches with golden files, byte for byte. Any change to the parsing of events, to the
//! policy's decisions or to the format of replies shows up as a difference. No test writes the golden files.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::thread;

const BATCHES: &str = include_str!("golden/batches.jsonl");
const REPLIES: &str = include_str!("golden/replies.jsonl");
const MALFORMED: &str = include_str!("golden/malformed.jsonl");
const MALFORMED_STDERR: &str = include_str!("golden/malformed_stderr.txt");

fn run_adapter(input: String) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_harrierdock-simulator-adapter"));
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // An adapter that exits early closes its input before all of it is written, so the write may fail.
    let writer = thread::spawn(move || drop(stdin.write_all(input.as_bytes())));
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap();
    output
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// Asserts that two texts are equal. A failure shows only the first line that differs, because the texts are long.
fn assert_same(expected: &str, actual: &str) {
    for (index, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(expected, actual, "line {}", index + 1);
    }
    assert_eq!(
        expected.lines().count(),
        actual.lines().count(),
        "number of lines"
    );
    assert!(expected == actual, "the texts differ only in line endings");
}

#[test]
fn replies_to_fixed_batches_match_the_golden_file() {
    let output = run_adapter(BATCHES.to_string());
    assert_same(REPLIES, text(&output.stdout));
    assert_eq!(text(&output.stderr), "");
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn fixed_batches_contain_every_event_and_replies_contain_every_command() {
    let inputs = [
        "BOOT",
        "DESTROY",
        "ROSTER",
        "TARGETS",
        "WORK_ITEM",
        "ABANDONED",
        "STREAMING",
        "CLOSED_ATTEMPT",
        "PING_RESULT",
        "STAGE",
        "PLATFORM_SAW",
        "BAD_ANSWER",
        "MAIL",
        "WAKEUP",
    ];
    let commands = [
        "ROUTE",
        "RECALL",
        "NOT_NOW",
        "RESPOND_ERROR",
        "BALLOT",
        "TELL",
        "LISTEN",
        "SET_ALARM",
    ];
    for (names, lines) in [(&inputs[..], BATCHES), (&commands[..], REPLIES)] {
        for name in names {
            assert!(lines.contains(&format!("[\"{name}\",")), "{name}");
        }
    }
    let outcomes = [
        "ok",
        "error",
        "full",
        "timeout",
        "connect_failed",
        "reset",
        "cancelled",
        "moot",
    ];
    for word in outcomes.iter().chain(&[
        "draft",
        "payment",
        "lodge",
        "Partial",
        "Complete",
        "Persisted",
        "Error",
    ]) {
        assert!(BATCHES.contains(&format!("\"{word}\"")), "{word}");
    }
    // Parts of encoded gossip: elimination votes against each arm, outcome reports, latency reports.
    for part in [".t\"]", ".e\"]", ":", "\"/"] {
        let mut gossip_commands = REPLIES
            .split("[\"TELL\",")
            .skip(1)
            .filter_map(|rest| rest.split_inclusive(']').next());
        assert!(
            gossip_commands.any(|command| command.contains(part)),
            "{part}"
        );
    }
    for decision in 0..=3 {
        let mut votes = REPLIES
            .split("[\"BALLOT\",")
            .skip(1)
            .filter_map(|rest| rest.split(']').next());
        assert!(
            votes.any(|vote| vote.ends_with(&format!(",{decision}"))),
            "decision {decision}"
        );
    }
}

#[test]
fn a_malformed_batch_stops_the_adapter_with_the_golden_error_and_exit_code_2() {
    let first = BATCHES.lines().next().unwrap();
    let first_reply = REPLIES.lines().next().unwrap();
    assert_eq!(MALFORMED.lines().count(), MALFORMED_STDERR.lines().count());
    for (batch, line) in MALFORMED.lines().zip(MALFORMED_STDERR.lines()) {
        // The adapter does not process the batch after the malformed one.
        let output = run_adapter(format!("{first}\n{batch}\n{first}\n"));
        assert_eq!(text(&output.stderr), format!("{line}\n"), "{batch}");
        assert_eq!(text(&output.stdout), format!("{first_reply}\n"), "{batch}");
        assert_eq!(output.status.code(), Some(2), "{batch}");
    }
}
