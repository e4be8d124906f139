//! Exit codes of bad usage.

use std::process::{Command, Output};

fn fault_injection(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_harrierdock-fault-injection"))
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn arguments_that_cannot_be_parsed_exit_with_the_code_of_bad_usage() {
    let cases: [&[&str]; 5] = [
        &["sites", "--kill", "C@3"],
        &["flows", "--collector-down", "3"],
        &["core", "--seeds", "many"],
        &["core", "--unknown"],
        &[],
    ];
    for arguments in cases {
        let output = fault_injection(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {output:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}: {output:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
    assert_eq!(fault_injection(&["--help"]).status.code(), Some(0));
}
