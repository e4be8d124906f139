//! The configuration at the start and at a reload.

use std::fs;
use std::net::TcpListener;
use std::process::Command;

use expect_test::expect;

use crate::support::*;

#[test]
fn an_invalid_configuration_or_an_address_in_use_is_reported_in_one_line() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let good = gateway_configuration(unresponsive_server(), &[]);
    let mut rows = vec![json!([]), json!({"listen": "nowhere"})];
    for (field, value) in [
        ("listen", json!(listener.local_addr().unwrap())),
        ("settings", json!({"classes": 7})),
    ] {
        let mut row = good.clone();
        row[field] = value;
        rows.push(row);
    }
    let run = |mut command: Command| {
        let out = command.output().unwrap();
        let output = String::from_utf8_lossy(&out.stderr).into_owned()
            + &String::from_utf8_lossy(&out.stdout);
        let output = output.replace(&listener.local_addr().unwrap().to_string(), "ADDRESS");
        let path = output
            .split(' ')
            .find(|w| w.contains("config-"))
            .unwrap_or("\0")
            .to_string();
        format!("{:?} {}", out.status.code(), output.replace(&path, "PATH"))
    };
    let mut trace: String = rows
        .iter()
        .map(|row| run(gateway_command(row, &["serve"])))
        .collect();
    let mut unset = gateway_command(&good, &["serve"]);
    unset.env_remove("LB_CONFIG");
    trace += &run(unset);
    let mut check = good.clone();
    check["discovery"] = "127.0.0.1:8500".into();
    trace += &run(gateway_command(&check, &["check"]));
    let mut overridden = gateway_command(&check, &["check"]);
    overridden
        .env("LB_NAME", "n7")
        .env("LB_LISTEN", "127.0.0.2:1")
        .env("LB_DISCOVERY", "127.0.0.2:2");
    trace += &run(overridden);
    expect![[r#"
        Some(2) harrierdock: PATH not an object
        Some(2) harrierdock: PATH listen: invalid socket address syntax
        Some(2) harrierdock: cannot listen on ADDRESS: Address already in use (os error 98)
        Some(2) harrierdock: PATH settings.classes: invalid type: integer `7`, expected a sequence
        Some(2) harrierdock: no configuration: LB_CONFIG is not set
        Some(0) n0 listens on 127.0.0.1:0, discovery at 127.0.0.1:8500, platform none, 0 of 1 gateways, products draft payment lodge, 192 MB, 200 descriptors
        Some(0) n7 listens on 127.0.0.2:1, discovery at 127.0.0.2:2, platform none, 0 of 1 gateways, products draft payment lodge, 192 MB, 200 descriptors
    "#]]
    .assert_eq(&trace);
}

/// Reloads invalid configuration files and records the log line of each.
fn reload_bad_files(gateway: &Gateway, trace: &Trace, path: &str, config: &Value) {
    for bad in [
        "{".to_string(),
        config.to_string().replace("safe", "sound"),
        "[]".into(),
    ] {
        fs::write(path, bad).unwrap();
        gateway.signal(Signal::HUP);
        let output = gateway.wait_for_log_line("the configuration is unchanged");
        trace.record(
            output
                .split_once("reload failed;")
                .unwrap()
                .1
                .replace(path, "PATH"),
        );
    }
}

/// Sends SIGHUP and SIGTERM together, and records the answer to one more request and the exit code.
fn reload_and_shut_down(gateway: &mut Gateway, client: &mut Client, trace: &Trace) {
    gateway.signal(Signal::HUP);
    gateway.signal(Signal::TERM);
    trace.record(format!(
        "afterwards: {}",
        client.request(client_request("lodge", "a2", 9000))
    ));
    trace.record(format!(
        "exit code: {:?}",
        gateway.child.wait().unwrap().code()
    ));
}

#[test]
fn a_reload_switches_to_the_new_addresses_and_changes_nothing_else() {
    let trace = Trace::default();
    let one = endpoint("one", &trace, &[EndpointBehavior::Slow]);
    let [(first, _line_sender), (second, line_sender)] =
        [discovery_server(&trace), discovery_server(&trace)];
    let (before, _updates_before) = start_platform(&trace, &[], Some("{}"));
    let (after, _updates_after) = start_platform(&trace, &[], Some("{}"));
    let mut config = gateway_configuration(second, &[endpoint_record("s-1", one, "ready", 41)]);
    config["settings"]["family_info"]["decided_by"] = "clocked".into();
    config["rollouts"] = json!({"address": before, "news": rollout_update(42, 0, "trial")});
    let path = write_config(&config);
    // LB_DISCOVERY overrides the file at the start, and must not override it at a reload.
    let mut command = gateway_command(&config, &["serve", "--log", "debug"]);
    command
        .env("LB_CONFIG", &path)
        .env("LB_DISCOVERY", first.to_string());
    let mut gateway = start_gateway_with(&config, command);
    trace.wait_for("discovery: GET", 1);
    trace.wait_for("platform: events", 1);
    let mut client = gateway.client();
    client.send(client_request("lodge", "a1", 9000));
    trace.wait_for("one.1: POST", 1);
    config["rollouts"] = json!({"address": after});
    reload_bad_files(&gateway, &trace, &path, &config);
    fs::write(&path, config.to_string()).unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for_log_line("info reloading the configuration");
    trace.wait_for("discovery: GET", 2);
    trace.wait_for("platform: events", 2);
    trace.record(format!("in progress: {}", client.receive()));
    line_sender
        .send(endpoint_list(42, false, &[]).to_string())
        .unwrap();
    gateway.wait_for_log_line("discovery: list 42 ");
    wait_for_connection_reuse();
    reload_and_shut_down(&mut gateway, &mut client, &trace);
    // The two streams connect in either order.
    trace
        .0
        .lock()
        .unwrap()
        .sort_by_key(|l| (!l.contains(": GET "), !l.contains(": events")));
    assert_trace(
        &trace,
        expect![[r#"
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        discovery: GET /v1/endpoints?stream=1&index=41 HTTP/1.1
        platform: events
        platform: events
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request a1 "{}"
         the configuration is unchanged: PATH: EOF while parsing an object at line 1 column 1
         the configuration is unchanged: PATH: settings.classes[0].idempotency: unknown variant `sound`, expected one of `safe`, `keyed`, `unsafe`
         the configuration is unchanged: PATH: not an object
        in progress: 200 one settled a1
        one.1: POST /api?obj=7F3a9c21e0b4d655&x=%20 request a2 "{}"
        afterwards: 200 Connection: close one settled a2
        exit code: Some(0)
    "#]],
    );
}

/// Runs `check` on a configuration with environment variables, and returns its exit code and output.
fn check_with(config: &Value, variables: &[(&str, &str)]) -> String {
    let mut command = gateway_command(config, &["check"]);
    command.envs(variables.iter().copied());
    let path = write_config(config);
    let out = command.env("LB_CONFIG", &path).output().unwrap();
    let output = [out.stderr, out.stdout].concat();
    let output = String::from_utf8_lossy(&output).replace(&path, "PATH");
    format!("{:?} {output}", out.status.code())
}

#[test]
fn an_environment_variable_overrides_an_invalid_or_missing_field() {
    let mut good = gateway_configuration("127.0.0.1:8500".parse().unwrap(), &[]);
    good["listen"] = "127.0.0.1:1".into();
    let mut wrong = good.clone();
    wrong["listen"] = json!(7);
    let mut missing = good.clone();
    missing.as_object_mut().unwrap().remove("listen");
    missing.as_object_mut().unwrap().remove("name");
    let variables = [("LB_LISTEN", "127.0.0.2:2"), ("LB_NAME", "n7")];
    let nowhere = [("LB_LISTEN", "nowhere")];
    let trace = [
        check_with(&wrong, &[]),
        check_with(&wrong, &variables),
        check_with(&missing, &[]),
        check_with(&missing, &variables),
        check_with(&good, &nowhere),
    ];
    expect![[r#"
        Some(2) harrierdock: PATH: listen: invalid type: integer `7`, expected socket address
        Some(0) n7 listens on 127.0.0.2:2, discovery at 127.0.0.1:8500, platform none, 0 of 1 gateways, products draft payment lodge, 192 MB, 200 descriptors
        Some(2) harrierdock: PATH: missing field `listen`
        Some(0) n7 listens on 127.0.0.2:2, discovery at 127.0.0.1:8500, platform none, 0 of 1 gateways, products draft payment lodge, 192 MB, 200 descriptors
        Some(2) harrierdock: PATH: listen: invalid socket address syntax
    "#]]
    .assert_eq(&trace.concat());
}

#[test]
fn an_invalid_list_entry_is_reported_by_its_index() {
    let address = "127.0.0.1:8500".parse().unwrap();
    let mut endpoint = endpoint_record("s-1", address, "ready", 41);
    endpoint["phase"] = "asleep".into();
    let config = gateway_configuration(address, &[endpoint]);
    let mut peers = gateway_configuration(address, &[]);
    peers["peers"] = json!(["127.0.0.1:1", "nowhere"]);
    let trace = [check_with(&config, &[]), check_with(&peers, &[])];
    expect![[r#"
        Some(2) harrierdock: PATH: known.members[0].phase: unknown variant `asleep`, expected one of `ready`, `draining`, `gone`
        Some(2) harrierdock: PATH: peers[1]: invalid socket address syntax
    "#]]
    .assert_eq(&trace.concat());
}
