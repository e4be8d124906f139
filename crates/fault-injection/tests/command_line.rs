//! Exit codes for invalid command-line arguments.

use std::process::{Command, Output};

fn run_fault_injection(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_harrierdock-fault-injection"))
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn arguments_that_cannot_be_parsed_exit_with_code_2() {
    let cases: [&[&str]; 5] = [
        &["sites", "--kill", "C@3"],
        &["flows", "--collector-down", "3"],
        &["core", "--seeds", "many"],
        &["core", "--unknown"],
        &[],
    ];
    for arguments in cases {
        let output = run_fault_injection(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {output:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}: {output:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
    assert_eq!(run_fault_injection(&["--help"]).status.code(), Some(0));
}
