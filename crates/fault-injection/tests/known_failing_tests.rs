//! `.ci/test` and its list of tests that are known to fail, with a stand-in for cargo.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Knows two tests, of which `shape::is_red` fails, and writes down how it was called.
const CARGO: &str = r#"#!/usr/bin/env bash
echo "cargo $*" >> "$CALLS"
case "$*" in
    *--list*) printf 'shape::is_green: test\nshape::is_red: test\ntwice: test\ntwice: test\n' ;;
    *"--exact shape::is_red") exit 101 ;;
esac
"#;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder for the test");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that stays behind harms nobody.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs `.ci/test` on a list with these lines. Returns its output and the calls of cargo.
fn run(name: &str, list: &str) -> (Output, String) {
    let folder = Folder::new(name);
    let cargo = folder.0.join("cargo");
    fs::write(&cargo, CARGO).expect("the stand-in");
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).expect("it can be run");
    let list_path = folder.0.join("KNOWN-RED.txt");
    fs::write(&list_path, list).expect("the list");
    let calls = folder.0.join("calls");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/test");
    let search_path = format!(
        "{}:{}",
        folder.0.display(),
        std::env::var("PATH").expect("a path")
    );
    let output = Command::new("bash")
        .arg(script)
        .arg(&list_path)
        .env("PATH", search_path)
        .env("CALLS", &calls)
        .output()
        .expect("bash runs");
    let calls = fs::read_to_string(&calls).unwrap_or_default();
    (output, calls)
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn without_entries_all_tests_run() {
    let (output, calls) = run("none", "# a comment\n\n");
    assert!(output.status.success(), "{}", stderr(&output));
    assert_eq!(calls, "cargo test --workspace --locked\n");
}

#[test]
fn a_listed_test_is_left_out_by_name_run_apart_and_printed_with_its_result() {
    let entry = "test shape::is_red; cargo test, seed 7; one of two; issue 5";
    let (output, calls) = run("red", &format!("{entry}\n"));
    assert!(output.status.success(), "{}", stderr(&output));
    assert!(
        calls.contains("cargo test --workspace --locked -- --exact --skip shape::is_red\n"),
        "{calls}"
    );
    assert_eq!(stdout(&output), format!("known red, fails: {entry}\n"));
}

#[test]
fn a_listed_test_that_passes_again_is_reported() {
    let (output, _) = run(
        "green",
        "test shape::is_green; cargo test; failed once; issue 5\n",
    );
    assert!(
        stdout(&output).starts_with("known red, passes: test shape::is_green;"),
        "{}",
        stdout(&output)
    );
}

#[test]
fn a_listed_play_is_printed_and_not_run() {
    let (output, calls) = run("play", "play roll 7; bench --seed 7; one lost; issue 5\n");
    assert!(output.status.success());
    assert_eq!(calls, "cargo test --workspace --locked\n");
    assert_eq!(
        stdout(&output),
        "known red, not run here: play roll 7; bench --seed 7; one lost; issue 5\n"
    );
}

#[test]
fn an_entry_that_names_no_test_or_several_fails_before_any_test_runs() {
    for (name, count) in [("shape::is_gone", 0), ("twice", 2)] {
        let (output, calls) = run(
            name.trim_start_matches("shape::"),
            &format!("test {name}; a; b; c\n"),
        );
        assert!(!output.status.success());
        assert!(
            stderr(&output).contains(&format!("'{name}' names {count} tests, not one")),
            "{}",
            stderr(&output)
        );
        assert_eq!(
            calls.lines().count(),
            1,
            "only the list is asked for: {calls}"
        );
    }
}

#[test]
fn an_entry_without_its_four_fields_fails() {
    for (at, entry) in [
        "test a; b; c",
        "test a; b; ; d",
        "test a; b; c; d; e",
        "a; b; c; d",
    ]
    .iter()
    .enumerate()
    {
        let (output, calls) = run(&format!("fields-{at}"), &format!("{entry}\n"));
        assert!(
            !output.status.success() && calls.is_empty(),
            "{entry}: {calls}"
        );
    }
}
