//! `.ci/test` and its list of known failing tests, run with a stand-in for cargo.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A stand-in for cargo. It lists `shape::is_green`, `shape::is_red` (which fails) and `twice` (listed two times). It appends
/// its arguments to the file `$CALLS`.
const CARGO_STAND_IN: &str = r#"#!/usr/bin/env bash
echo "cargo $*" >> "$CALLS"
case "$*" in
    *--list*) printf 'shape::is_green: test\nshape::is_red: test\ntwice: test\ntwice: test\n' ;;
    *"--exact shape::is_red") exit 101 ;;
esac
"#;

/// A folder in the temporary directory, deleted on drop.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> TemporaryFolder {
        let path = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder can be created");
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // A failure only leaves a temporary folder behind.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs `.ci/test` with this list of known failing tests. Returns its output and the calls of cargo, one per line. `folder_name`
/// distinguishes the folders of tests that run at the same time.
fn run_ci_test(folder_name: &str, list: &str) -> (Output, String) {
    let folder = TemporaryFolder::new(folder_name);
    let cargo = folder.0.join("cargo");
    fs::write(&cargo, CARGO_STAND_IN).expect("the stand-in can be written");
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755))
        .expect("the stand-in can be made executable");
    let list_path = folder.0.join("KNOWN-RED.txt");
    fs::write(&list_path, list).expect("the list can be written");
    let calls = folder.0.join("calls");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/test");
    let search_path = format!(
        "{}:{}",
        folder.0.display(),
        std::env::var("PATH").expect("PATH is set")
    );
    let output = Command::new("bash")
        .arg(script)
        .arg(&list_path)
        .env("PATH", search_path)
        .env("CALLS", &calls)
        .output()
        .expect("bash can be started");
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
    let (output, calls) = run_ci_test("none", "# a comment\n\n");
    assert!(output.status.success(), "{}", stderr(&output));
    assert_eq!(calls, "cargo test --workspace --locked\n");
}

#[test]
fn a_listed_test_is_skipped_by_name_run_separately_and_printed_with_its_result() {
    let entry = "test shape::is_red; cargo test, seed 7; one of two; issue 5";
    let (output, calls) = run_ci_test("red", &format!("{entry}\n"));
    assert!(output.status.success(), "{}", stderr(&output));
    assert!(
        calls.contains("cargo test --workspace --locked -- --exact --skip shape::is_red\n"),
        "{calls}"
    );
    assert_eq!(stdout(&output), format!("known red, fails: {entry}\n"));
}

#[test]
fn a_listed_test_that_passes_again_is_reported() {
    let (output, _) = run_ci_test(
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
fn a_listed_play_entry_is_printed_and_not_run() {
    let (output, calls) = run_ci_test("play", "play roll 7; bench --seed 7; one lost; issue 5\n");
    assert!(output.status.success());
    assert_eq!(calls, "cargo test --workspace --locked\n");
    assert_eq!(
        stdout(&output),
        "known red, not run here: play roll 7; bench --seed 7; one lost; issue 5\n"
    );
}

#[test]
fn an_entry_that_names_no_test_or_several_tests_fails_before_any_test_runs() {
    for (name, count) in [("shape::is_gone", 0), ("twice", 2)] {
        let (output, calls) = run_ci_test(
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
            "only the tests are listed: {calls}"
        );
    }
}

#[test]
fn an_entry_without_exactly_four_fields_fails() {
    for (index, entry) in [
        "test a; b; c",
        "test a; b; ; d",
        "test a; b; c; d; e",
        "a; b; c; d",
    ]
    .iter()
    .enumerate()
    {
        let (output, calls) = run_ci_test(&format!("fields-{index}"), &format!("{entry}\n"));
        assert!(
            !output.status.success() && calls.is_empty(),
            "{entry}: {calls}"
        );
    }
}
