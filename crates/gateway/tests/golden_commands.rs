//! Output of the built program for golden files: results byte for byte, errors by exit code and form. No test writes the
//! files under `golden/`.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::{json, Value};

fn golden_path(name: &str) -> String {
    format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn read_golden(name: &str) -> String {
    fs::read_to_string(golden_path(name)).unwrap()
}

struct CommandOutput {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs the program in the root folder of the repository.
fn run(arguments: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_harrierdock"));
    command
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"] {
        command.env_remove(variable);
    }
    let output = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    CommandOutput {
        code: output.status.code(),
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    }
}

fn assert_prints_golden(arguments: &[&str], name: &str) {
    let output = run(arguments);
    assert_eq!(
        (output.code, output.stderr.as_str()),
        (Some(0), ""),
        "{arguments:?}"
    );
    assert_eq!(output.stdout, read_golden(name), "{arguments:?}");
}

/// Asserts a one-line error that contains `expected_parts`, exit code 2, and no standard output.
fn assert_fails(arguments: &[&str], expected_parts: &[&str]) {
    let output = run(arguments);
    assert_eq!(
        (output.code, output.stdout.as_str()),
        (Some(2), ""),
        "{arguments:?}: {}",
        output.stderr
    );
    assert!(
        output.stderr.starts_with("harrierdock: "),
        "{}",
        output.stderr
    );
    assert!(
        output.stderr.ends_with('\n') && output.stderr.lines().count() == 1,
        "{}",
        output.stderr
    );
    expected_parts
        .iter()
        .for_each(|part| assert!(output.stderr.contains(part), "{part}: {}", output.stderr));
}

/// A temporary folder, removed when dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> TemporaryFolder {
        let name = format!("golden-{name}-{}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).unwrap();
        TemporaryFolder(folder)
    }

    fn write(&self, name: &str, bytes: impl AsRef<[u8]>) -> String {
        let path = self.0.join(name);
        fs::write(&path, bytes).unwrap();
        path.display().to_string()
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn small_configuration() -> Value {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/small.json");
    serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap()
}

#[test]
fn check_prints_the_golden_summary_of_the_small_configuration_with_and_without_flows() {
    assert_prints_golden(&["check", "--config", "docs/small.json"], "check_small.txt");
    let with_flows = [
        "check",
        "--config",
        "docs/small.json",
        "--with",
        "deploy/flows.json",
    ];
    assert_prints_golden(&with_flows, "check_small_flows.txt");
}

#[test]
fn check_rejects_the_fleet_and_sites_samples_with_the_small_configuration() {
    let check_arguments = |extension| ["check", "--config", "docs/small.json", "--with", extension];
    assert_fails(
        &check_arguments("deploy/fleet.json"),
        &["deploy/fleet.json", "fleet"],
    );
    assert_fails(
        &check_arguments("deploy/sites.json"),
        &["deploy/sites.json", "sites.keys"],
    );
}

#[test]
fn check_prints_the_golden_summary_of_a_fleet_and_of_two_sites() {
    let folder = TemporaryFolder::new("fitting");
    let mut config = small_configuration();
    config["settings"]["balancers"] = 5.into();
    config["peer_listen"] = "127.0.0.1:0".into();
    config["peers"] = (1..=5).map(|n| json!(format!("127.0.0.1:{n}"))).collect();
    let fleet = folder.write("fleet-config.json", config.to_string());
    assert_prints_golden(
        &["check", "--config", &fleet, "--with", "deploy/fleet.json"],
        "check_fleet.txt",
    );
    let sites = golden_path("sites.json");
    assert_prints_golden(
        &["check", "--config", "docs/small.json", "--with", &sites],
        "check_sites.txt",
    );
}

#[test]
fn check_rejects_a_missing_unreadable_or_invalid_configuration_with_exit_code_2() {
    let folder = TemporaryFolder::new("bad");
    assert_fails(
        &["check", "--config", "docs/none.json"],
        &["docs/none.json"],
    );
    assert_fails(&["check"], &["LB_CONFIG"]);
    let broken = folder.write("broken.json", "{");
    assert_fails(&["check", "--config", &broken], &[&broken]);
    let mut config = small_configuration();
    config["settings"]["classes"][1]["idempotency"] = "sound".into();
    let invalid = folder.write("invalid.json", config.to_string());
    assert_fails(
        &["check", "--config", &invalid],
        &[&invalid, "settings.classes[1].idempotency", "sound"],
    );
    let extension = folder.write("more.json", r#"{"more": 1}"#);
    assert_fails(
        &["check", "--config", "docs/small.json", "--with", &extension],
        &[&extension, "more"],
    );
}

#[test]
fn schema_prints_the_golden_json() {
    assert_prints_golden(&["schema"], "schema.json");
}

#[test]
fn help_and_version_succeed_and_invalid_arguments_fail() {
    let help = run(&["--help"]);
    assert_eq!((help.code, help.stderr.as_str()), (Some(0), ""));
    for command in [
        "serve", "check", "schema", "keys", "flows", "site", "version",
    ] {
        assert!(
            help.stdout
                .lines()
                .any(|l| l.trim_start().starts_with(command)),
            "{command}"
        );
        assert_eq!(run(&[command, "--help"]).code, Some(0), "{command}");
    }
    let version = run(&["version"]);
    assert_eq!((version.code, version.stderr.as_str()), (Some(0), ""));
    for arguments in [
        &["banana"][..],
        &["check", "--banana"],
        &["flows"],
        &["site", "status"],
    ] {
        let output = run(arguments);
        assert_eq!(
            (output.code, output.stdout.as_str()),
            (Some(1), ""),
            "{arguments:?}"
        );
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}

#[test]
fn flows_prints_the_golden_table_of_complete_and_truncated_files() {
    assert_prints_golden(&["flows", &golden_path("flows.ipfix")], "flows.txt");
    // Two files, oldest first, give one table.
    assert_prints_golden(
        &[
            "flows",
            &golden_path("flows.ipfix.1"),
            &golden_path("flows.ipfix"),
        ],
        "flows_both.txt",
    );
    let folder = TemporaryFolder::new("truncated");
    let mut bytes = fs::read(golden_path("flows.ipfix")).unwrap();
    bytes.extend_from_slice(&[0, 10, 0, 200, 1, 2, 3]);
    let truncated = folder.write("truncated.ipfix", &bytes);
    let output = run(&["flows", &truncated]);
    assert_eq!(
        (output.code, output.stdout),
        (Some(0), read_golden("flows.txt"))
    );
    assert_eq!(output.stderr.lines().count(), 1, "{}", output.stderr);
    let other = folder.write(
        "other.ipfix",
        "not an IPFIX file, but longer than a message header",
    );
    assert_fails(&["flows", &other], &[&other]);
}

/// Replaces the remaining days of validity, which depend on the current date, by `N`.
fn mask_remaining_days(text: &str) -> String {
    let line = |line: &str| {
        let days = line
            .strip_prefix("state        valid, ")
            .and_then(|l| l.strip_suffix(" days left"));
        match days.and_then(|days| days.parse::<u32>().ok()) {
            Some(_) => "state        valid, N days left\n".to_string(),
            None => format!("{line}\n"),
        }
    };
    text.lines().map(line).collect()
}

#[test]
fn keys_show_prints_the_golden_descriptions() {
    for name in ["authority", "hobart-n0"] {
        let output = run(&["keys", "show", &golden_path(&format!("keys/{name}.pem"))]);
        assert_eq!(
            (output.code, output.stderr.as_str()),
            (Some(0), ""),
            "{name}"
        );
        assert_eq!(
            mask_remaining_days(&output.stdout),
            read_golden(&format!("keys/{name}.txt")),
            "{name}"
        );
    }
    let key = golden_path("keys/hobart-n0.key");
    let output = run(&["keys", "show", &key]);
    assert_eq!(
        output.code,
        Some(2),
        "a key file contains no certificate: {}",
        output.stdout
    );
}

#[test]
fn a_golden_authority_issues_certificates_and_no_file_is_overwritten() {
    let folder = TemporaryFolder::new("issue");
    for extension in ["pem", "key"] {
        folder.write(
            &format!("authority.{extension}"),
            read_golden(&format!("keys/authority.{extension}")),
        );
    }
    let path = folder.0.display().to_string();
    let output = run(&["keys", "issue", &path, "launceston/l0"]);
    let expected = format!("{path}/launceston-l0.pem\n{path}/launceston-l0.key\n");
    assert_eq!(
        (output.code, output.stdout, output.stderr.as_str()),
        (Some(0), expected, "")
    );
    assert_fails(
        &["keys", "issue", &path, "launceston/l0"],
        &["launceston-l0.key"],
    );
    assert_fails(&["keys", "authority", &path], &["authority.key"]);
    let shown = run(&["keys", "show", &format!("{path}/launceston-l0.pem")]);
    assert!(
        shown.stdout.starts_with("gateway      launceston/l0\n"),
        "{}",
        shown.stdout
    );
}
