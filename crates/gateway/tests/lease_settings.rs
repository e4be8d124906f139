//! What is told of a fleet in the file of our own: what is refused and why, and what is accepted.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use expect_test::expect;
use harrierdock_fault_injection::stand_ins::{endpoint_list, policy_settings};
use serde_json::{json, Value};

fn told(name: &str, ordinal: usize) -> Value {
    let mut settings = policy_settings();
    (settings["balancers"], settings["ordinal"]) = (json!(3), json!(ordinal));
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "aa",
        "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"],
        "limits": {"memory_mb": 192, "sockets": 200}, "known": endpoint_list(1, true, &[]), "settings": settings})
}

fn good() -> Value {
    json!({"gateways": ["n0", "n1", "n2"], "electorate": ["n0", "n1", "n2"], "duties": ["steward"],
        "steward": {"installation": "127.0.0.1:9"}})
}

/// What `check` says, with its exit code, without the folder's name.
fn check(folder: &std::path::Path, told: &Value, fleet: &Value) -> String {
    let (config, with) = (folder.join("told.json"), folder.join("fleet.json"));
    fs::write(&config, told.to_string()).unwrap();
    fs::write(&with, json!({ "fleet": fleet }).to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_harrierdock"));
    command
        .arg("check")
        .arg("--config")
        .arg(config)
        .arg("--with")
        .arg(with);
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"] {
        command.env_remove(variable);
    }
    let output = command.output().unwrap();
    let said = String::from_utf8([&output.stdout[..], &output.stderr[..]].concat()).unwrap();
    let last = said
        .lines()
        .last()
        .unwrap_or("")
        .replace(&folder.display().to_string(), "F");
    format!(
        "{} {}\n",
        output.status.code().unwrap(),
        last.replace("harrierdock: F/fleet.json: ", "")
    )
}

#[test]
fn lease_settings_that_do_not_fit_are_refused_with_field_reason_and_remedy() {
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
    let mut said = String::new();
    for (field, value) in cases {
        let mut fleet = good();
        fleet[field] = value;
        said += &check(&folder, &told("n0", 0), &fleet);
    }
    let mut alone = told("n0", 0);
    alone.as_object_mut().unwrap().remove("peer_listen");
    said += &check(&folder, &alone, &good());
    said += &check(&folder, &told("n7", 0), &good());
    fs::remove_dir_all(&folder).unwrap();
    expect![[r#"
        0 n0 shares steward with 3 gateways, electors n0 n1 n2, lease 2000 ms, heartbeat 500 ms
        2 fleet.electorate: 2 electors: name at least 3 in `electorate`, so that one may fail
        2 fleet.electorate: elector n9 is not among the names: add it to `names`, or remove it from `electorate`
        2 fleet.gateways: own name n0 is not among the names: add it to `names`, or start with another name
        2 fleet.gateways: 4 names for 3 of the configuration's `peers`: name each, in that order
        2 fleet.gateways: n0 is at place 1, the configuration's ordinal is 0: put them in one order
        2 fleet.lease_ms: a lease of 900 ms is shorter than two heartbeats of 500 ms: lengthen `lease` or shorten `heartbeat`, so that one lost message ends no holding
        2 fleet.lease_ms: invalid type: string "long", expected u32 at line 1 column 106
        2 fleet.heartbeat_ms: a heartbeat of 1 ms is out of range: tell at least 10 ms
        2 fleet.duties: lease butler is unknown: tell `steward`, `heir` or `speaker:NUMBER` in `duties`
        2 fleet.steward: is there without the duty: add `steward` to `duties`, or take it away
        2 fleet.drift: a drift of 0.5 is out of range: tell a part from 0 to 0.2, such as 0.02
        2 fleet.steward: is missing, and the duty `steward` needs it: add it, or take the duty away
        2 fleet.steward.on_votes: 1.5 is no part from 0 to below 1: tell one such as 0.5
        2 fleet.steward.bound_ms: 100 is shorter than the lease of 2000 ms: lengthen it
        2 fleet.rehearsal.clock_rate: 9 is not from 0.5 to 2: leave it out, but for a rehearsal
        2 fleet.leases: unknown field `leases`, expected one of `gateways`, `electorate`, `electorate_number`, `lease_ms`, `heartbeat_ms`, `longest_lease_ms`, `drift`, `duties`, `steward`, `rehearsal` at line 1 column 97
        2 fleet: the configuration has no `peer_listen`, on which gateways hear each other: add it
        2 fleet.gateways: own name n7 is not among the names: add it to `names`, or start with another name
    "#]].assert_eq(&said);
}

#[test]
fn the_sample_is_accepted_for_each_of_its_gateways() {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("sample-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.json");
    let sample: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    for ix in 0..5 {
        let mut told = told(&format!("n{ix}"), ix);
        told["settings"]["balancers"] = 5.into();
        told["peers"] = (1..=5).map(|n| json!(format!("127.0.0.1:{n}"))).collect();
        let said = check(&folder, &told, &sample["fleet"]);
        assert!(
            said.starts_with(&format!("0 n{ix} shares steward with 5 gateways")),
            "{said}"
        );
    }
    fs::remove_dir_all(&folder).unwrap();
}
