//! Lease settings in the extension file: accepted and rejected values, with the error of each.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use expect_test::expect;
use harrierdock_fault_injection::stand_ins::{endpoint_list, policy_settings};
use serde_json::{json, Value};

fn configuration(name: &str, ordinal: usize) -> Value {
    let mut settings = policy_settings();
    (settings["balancers"], settings["ordinal"]) = (json!(3), json!(ordinal));
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "aa",
        "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"],
        "limits": {"memory_mb": 192, "sockets": 200}, "known": endpoint_list(1, true, &[]), "settings": settings})
}

fn valid_fleet() -> Value {
    json!({"gateways": ["n0", "n1", "n2"], "electorate": ["n0", "n1", "n2"], "duties": ["steward"],
        "steward": {"installation": "127.0.0.1:9"}})
}

/// Runs `check`. Returns its exit code and last line, without the name of the extension file.
fn check(folder: &std::path::Path, config: &Value, fleet: &Value) -> String {
    let (config_path, extension_path) = (folder.join("config.json"), folder.join("fleet.json"));
    fs::write(&config_path, config.to_string()).unwrap();
    fs::write(&extension_path, json!({ "fleet": fleet }).to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_harrierdock"));
    command
        .arg("check")
        .arg("--config")
        .arg(config_path)
        .arg("--with")
        .arg(extension_path);
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"] {
        command.env_remove(variable);
    }
    let output = command.output().unwrap();
    let text = String::from_utf8([&output.stdout[..], &output.stderr[..]].concat()).unwrap();
    let last_line = text
        .lines()
        .last()
        .unwrap_or("")
        .replace(&folder.display().to_string(), "F");
    format!(
        "{} {}\n",
        output.status.code().unwrap(),
        last_line.replace("harrierdock: F/fleet.json: ", "")
    )
}

#[test]
fn invalid_lease_settings_are_rejected_with_field_reason_and_remedy() {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("file-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let cases = [
        ("duties", json!(["steward"])),
        ("electorate", json!(["n0", "n1"])),
        ("electorate", json!(["n0", "n1", "n9"])),
        ("gateways", json!(["n1", "n2", "n3"])),
        ("gateways", json!(["n0", "n1", "n2", "n3"])),
        ("gateways", json!(["n1", "n0", "n2"])),
        ("lease_ms", json!(900)),
        ("lease_ms", json!("long")),
        ("heartbeat_ms", json!(1)),
        ("duties", json!(["steward", "butler"])),
        ("duties", json!(["heir"])),
        ("drift", json!(0.5)),
        ("steward", json!(null)),
        (
            "steward",
            json!({"installation": "127.0.0.1:9", "on_votes": 1.5}),
        ),
        (
            "steward",
            json!({"installation": "127.0.0.1:9", "bound_ms": 100}),
        ),
        ("rehearsal", json!({"clock_rate": 9.0})),
        ("leases", json!(1)),
    ];
    let mut results = String::new();
    for (field, value) in cases {
        let mut fleet = valid_fleet();
        fleet[field] = value;
        results += &check(&folder, &configuration("n0", 0), &fleet);
    }
    let mut without_gossip = configuration("n0", 0);
    without_gossip
        .as_object_mut()
        .unwrap()
        .remove("peer_listen");
    results += &check(&folder, &without_gossip, &valid_fleet());
    results += &check(&folder, &configuration("n7", 0), &valid_fleet());
    fs::remove_dir_all(&folder).unwrap();
    expect![[r#"
        0 n0 shares steward with 3 gateways, electors n0 n1 n2, lease 2000 ms, heartbeat 500 ms
        2 fleet.electorate: 2 electors are too few: list at least 3 in `electorate`, so that one may fail
        2 fleet.electorate: elector n9 is not listed: add it to `gateways`, or remove it from `electorate`
        2 fleet.gateways: own name n0 is not listed: add it to `gateways`, or start this gateway under a listed name
        2 fleet.gateways: 4 names for 3 `peers` in the configuration: name each peer, in the same order
        2 fleet.gateways: n0 is at position 1, but its ordinal in the configuration is 0: use the same order
        2 fleet.lease_ms: a lease of 900 ms is shorter than two heartbeats of 500 ms: increase `lease_ms` or reduce `heartbeat_ms`, so that one lost message doesn't end a lease
        2 fleet.lease_ms: invalid type: string "long", expected u32 at line 1 column 106
        2 fleet.heartbeat_ms: a heartbeat of 1 ms is out of range: configure at least 10 ms
        2 fleet.duties: lease butler is unknown: use `steward` (rollout controller), `heir` (recovery owner) or `speaker:NUMBER` (aggregator) in `duties`
        2 fleet.steward: is set, but `duties` does not contain `steward`: add it there, or remove `fleet.steward`
        2 fleet.drift: a clock drift of 0.5 is out of range: configure a ratio from 0 to 0.2, such as 0.02
        2 fleet.steward: is missing, but `duties` contains `steward`: add it, or remove `steward` from `duties`
        2 fleet.steward.on_votes: 1.5 is out of range: set a ratio from 0 to below 1, such as 0.5
        2 fleet.steward.bound_ms: the decision timeout of 100 ms is shorter than the lease of 2000 ms: increase it
        2 fleet.rehearsal.clock_rate: 9 is out of range: set a rate from 0.5 to 2, or remove it outside of tests
        2 fleet.leases: unknown field `leases`, expected one of `gateways`, `electorate`, `electorate_number`, `lease_ms`, `heartbeat_ms`, `longest_lease_ms`, `drift`, `duties`, `steward`, `rehearsal` at line 1 column 97
        2 fleet: the configuration has no `peer_listen`, which gossip needs: add it
        2 fleet.gateways: own name n7 is not listed: add it to `gateways`, or start this gateway under a listed name
    "#]].assert_eq(&results);
}

#[test]
fn the_sample_file_is_accepted_by_each_of_its_gateways() {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("sample-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.json");
    let sample: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    for index in 0..5 {
        let mut config = configuration(&format!("n{index}"), index);
        config["settings"]["balancers"] = 5.into();
        config["peers"] = (1..=5).map(|n| json!(format!("127.0.0.1:{n}"))).collect();
        let result = check(&folder, &config, &sample["fleet"]);
        assert!(
            result.starts_with(&format!("0 n{index} shares steward with 5 gateways")),
            "{result}"
        );
    }
    fs::remove_dir_all(&folder).unwrap();
}
