//! The extension file: accepted and rejected settings, the control socket, key reload, and the flow file at shutdown.

use std::fs;
use std::io::{BufRead, BufReader, Lines};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Output, Stdio};
use std::time::{Duration, Instant};

use expect_test::expect;
use harrierdock_fault_injection::stand_ins::{endpoint_list, policy_settings, TEST_TIMEOUT};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

fn harrierdock(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_harrierdock"));
    command.args(arguments);
    for variable in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"] {
        command.env_remove(variable);
    }
    command
}

fn output_text(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8(text).unwrap()
}

/// A temporary folder with a configuration and the keys of two gateways, removed when dropped.
struct Files {
    folder: PathBuf,
}

impl Files {
    fn new(name: &str) -> Files {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("with-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let files = Files { folder };
        let keys = files.path("keys");
        assert!(harrierdock(&["keys", "authority", &keys])
            .output()
            .unwrap()
            .status
            .success());
        let issued = harrierdock(&["keys", "issue", &keys, "hobart/h0", "launceston/l0"])
            .output()
            .unwrap();
        assert!(issued.status.success(), "{}", output_text(&issued));
        let config = json!({"name": "h0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "aa",
            "limits": {"memory_mb": 192, "sockets": 200}, "known": endpoint_list(1, true, &[]), "settings": policy_settings()});
        files.write("config.json", &config);
        files
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn write(&self, name: &str, value: &Value) {
        fs::write(self.path(name), value.to_string()).unwrap();
    }

    fn valid_extension() -> Value {
        json!({"sites": {"site": "hobart", "listen": "127.0.0.1:0",
            "other": {"site": "launceston", "gateways": [{"gateway": "l0", "address": "127.0.0.1:9"}]},
            "keys": {"authority": "keys/authority.pem", "certificate": "keys/hobart-h0.pem", "key": "keys/hobart-h0.key"},
            "control": "h0.sock", "groups_spanning": ["payment"]}})
    }

    /// Sets a field of a valid extension file and returns the output of `check`, with the folder replaced by `F`.
    fn check(&self, field: &str, value: Value) -> String {
        let mut file = Files::valid_extension();
        let (mut target, mut names) = (&mut file, field.split('.').peekable());
        while let Some(name) = names.next() {
            target = match name.parse::<usize>() {
                Ok(index) => &mut target[index],
                Err(_) => &mut target[name],
            };
            if names.peek().is_none() {
                *target = value.clone();
            }
        }
        self.write("sites.json", &file);
        let (config, extension) = (self.path("config.json"), self.path("sites.json"));
        let output = harrierdock(&["check", "--config", &config, "--with", &extension])
            .output()
            .unwrap();
        let text = output_text(&output).replace(&self.folder.display().to_string(), "F");
        assert_eq!(
            output.status.code(),
            Some(if text.starts_with("harrierdock: ") {
                2
            } else {
                0
            }),
            "{text}"
        );
        text
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn an_invalid_extension_file_is_rejected_with_file_field_and_reason() {
    let files = Files::new("check");
    let cases = [
        ("sites.groups_spanning", json!(["payment"])),
        ("sites.site", json!("Hobart")),
        ("sites.site", json!(7)),
        ("sites.listen", json!("somewhere")),
        ("sites.listens", json!("127.0.0.1:1")),
        ("sites.other.site", json!("hobart")),
        ("sites.other.gateways", json!([])),
        ("sites.other.gateways.0.gateway", json!("l 0")),
        ("sites.groups_spanning", json!(["refund"])),
        ("sites.gateway", json!("h1")),
        ("sites.keys.certificate", json!("keys/launceston-l0.pem")),
        ("sites.keys.key", json!("keys/none.key")),
        ("sites.keys.key", json!("config.json")),
        ("flows", json!({"active_ms": 50})),
        (
            "flows",
            json!({"collectors": [{"name": "a", "address": "127.0.0.1:1", "road": "tls"}]}),
        ),
        (
            "flows",
            json!({"collectors": [{"name": "a", "address": "127.0.0.1:1", "road": "tcp", "form": "v9"}]}),
        ),
        (
            "flows",
            json!({"collectors": [{"name": "a", "address": "127.0.0.1:1", "road": "sctp"}]}),
        ),
        ("more", json!(true)),
    ];
    let results: String = cases
        .iter()
        .map(|(field, value)| files.check(field, value.clone()))
        .collect();
    expect![[r#"
        h0 listens on 127.0.0.1:0, discovery at 127.0.0.1:1, platform none, 0 of 1 gateways, products draft payment lodge, 192 MB, 200 descriptors
        hobart/h0 links on 127.0.0.1:0 with 1 of launceston
        harrierdock: F/sites.json: sites.site: 'Hobart' is no name: 1 to 63 small letters, digits and inner hyphens
        harrierdock: F/sites.json: sites.site: invalid type: integer `7`, expected a string at line 1 column 279
        harrierdock: F/sites.json: sites.listen: invalid socket address syntax at line 1 column 184
        harrierdock: F/sites.json: sites.listens: unknown field `listens`, expected one of `site`, `gateway`, `listen`, `reached_at`, `other`, `keys`, `control`, `groups_spanning` at line 1 column 196
        harrierdock: F/sites.json: sites.other.site: 'hobart' is this site's own name
        harrierdock: F/sites.json: sites.other.gateways: must contain at least one gateway
        harrierdock: F/sites.json: sites.other.gateways[0].gateway: 'l 0' is no name: 1 to 63 small letters, digits and inner hyphens
        harrierdock: F/sites.json: sites.groups_spanning: 'refund' is not a request class of the configuration
        harrierdock: F/sites.json: sites.keys.certificate: the certificate is for hobart/h0, not for hobart/h1
        harrierdock: F/sites.json: sites.keys.certificate: the certificate is for launceston/l0, not for hobart/h0
        harrierdock: F/sites.json: sites.keys.key: F/keys/none.key: No such file or directory (os error 2)
        harrierdock: F/sites.json: sites.keys.key: no items found
        harrierdock: F/sites.json: flows.active_ms: 50 is less than 100
        harrierdock: F/sites.json: flows.collectors[0].keys: required with road tls, not allowed otherwise
        harrierdock: F/sites.json: flows.collectors[0].form: v9 requires road udp, because its messages state no length
        harrierdock: F/sites.json: flows.collectors[0].road: unknown variant `sctp`, expected one of `udp`, `tcp`, `tls` at line 1 column 73
        harrierdock: F/sites.json: more: unknown field `more`, expected one of `sites`, `flows`, `fleet` at line 1 column 7
    "#]].assert_eq(&results);
}

#[test]
fn existing_keys_are_not_overwritten_and_the_schema_contains_each_field() {
    let files = Files::new("keys");
    let keys = files.path("keys");
    let again = harrierdock(&["keys", "authority", &keys]).output().unwrap();
    assert!(
        !again.status.success() && output_text(&again).contains("File exists"),
        "{}",
        output_text(&again)
    );
    let without_gateway = harrierdock(&["keys", "issue", &keys, "hobart"])
        .output()
        .unwrap();
    assert_eq!(
        output_text(&without_gateway),
        "harrierdock: 'hobart' is not SITE/GATEWAY\n"
    );
    let schema: Value =
        serde_json::from_str(&output_text(&harrierdock(&["schema"]).output().unwrap())).unwrap();
    let site_settings = &schema["$defs"]["Between"]["properties"];
    for field in [
        "site",
        "gateway",
        "listen",
        "reached_at",
        "other",
        "keys",
        "control",
        "groups_spanning",
    ] {
        assert!(
            site_settings[field].is_object(),
            "{field} is not in the schema"
        );
    }
}

fn serve_with_json_log(config: &str, extension: &str) -> Child {
    let mut command = harrierdock(&[
        "serve",
        "--config",
        config,
        "--with",
        extension,
        "--log-form",
        "json",
    ]);
    command.stderr(Stdio::piped()).spawn().unwrap()
}

fn wait_for_file(path: &str) {
    let started_at = Instant::now();
    while !Path::new(path).exists() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{path} does not exist");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends a command with `harrierdock site` and returns the response.
fn site_command(socket: &str, command: &str) -> Value {
    let output = harrierdock(&["site", "--control", socket, command])
        .output()
        .unwrap();
    serde_json::from_str(&output_text(&output)).unwrap()
}

#[test]
fn the_control_socket_drains_resumes_and_reports_and_sighup_reloads_the_keys() {
    let files = Files::new("control");
    files.write("sites.json", &Files::valid_extension());
    let (config, extension) = (files.path("config.json"), files.path("sites.json"));
    let mut child = serve_with_json_log(&config, &extension);
    let mut log = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let mut line = |part: &str| loop {
        let line = log
            .next()
            .unwrap_or_else(|| panic!("no log line contains {part:?}"));
        let object: Value = serde_json::from_str(&line).unwrap();
        if object["message"].as_str().unwrap().contains(part) {
            return object;
        }
    };
    line("serves on");
    let socket = files.path("h0.sock");
    wait_for_file(&socket);
    let summary = |status: Value| {
        format!(
            "{} {} {}",
            status["standing"], status["home"], status["why"]
        )
    };
    let summaries =
        ["status", "drain", "resume"].map(|command| summary(site_command(&socket, command)));
    expect![[r#"
        [
            "\"serving\" \"here\" \"txns settle here\"",
            "\"draining\" \"away\" \"by hand\"",
            "\"serving\" \"returning\" \"by hand\"",
        ]"#]]
    .assert_eq(&format!("{summaries:#?}"));
    assert_eq!(line("executing operator command: drain")["level"], "WARN");
    kill_process(Pid::from_child(&child), Signal::HUP).unwrap();
    line("reloaded the keys");
    fs::write(files.path("keys/hobart-h0.pem"), "nothing").unwrap();
    kill_process(Pid::from_child(&child), Signal::HUP).unwrap();
    let failure = line("failed to reload the keys, keeping the current ones");
    assert!(
        failure["message"]
            .as_str()
            .unwrap()
            .contains("sites.keys.certificate"),
        "{failure}"
    );
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    line("has shut down");
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(
        !Path::new(&socket).exists(),
        "the control socket was not removed at shutdown"
    );
}

/// A gateway with a control socket, killed when dropped.
struct RunningGateway {
    child: Child,
    socket: String,
    _log: Lines<BufReader<ChildStderr>>,
}

impl RunningGateway {
    fn new(files: &Files) -> RunningGateway {
        files.write("sites.json", &Files::valid_extension());
        let (config, extension) = (files.path("config.json"), files.path("sites.json"));
        let mut child = serve_with_json_log(&config, &extension);
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
        let is_serving = log.any(|line| line.unwrap().contains("serves on"));
        assert!(is_serving, "the gateway exited before serving");
        let socket = files.path("h0.sock");
        RunningGateway {
            child,
            socket,
            _log: log,
        }
    }

    /// Returns the output of `harrierdock site status`.
    fn status(&self) -> String {
        let mut command = harrierdock(&["site", "--control", &self.socket, "status"]);
        output_text(&command.output().unwrap())
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// Guards against answered connections that still count towards the limit, so that the next command is dropped.
#[test]
fn commands_in_quick_succession_are_each_answered() {
    let files = Files::new("succession");
    let running = RunningGateway::new(&files);
    for number in 1..=10 {
        let status = running.status();
        assert!(status.contains("serving"), "command {number}: {status}");
    }
}

// Guards against a command that is dropped at the connection limit instead of waiting for others to finish or time out.
#[test]
fn a_command_waits_behind_idle_connections_and_is_answered() {
    let files = Files::new("idle");
    let running = RunningGateway::new(&files);
    let connect = || UnixStream::connect(&running.socket).unwrap();
    let _idle_connections: Vec<UnixStream> = (0..4).map(|_| connect()).collect();
    let status = running.status();
    assert!(status.contains("serving"), "{status}");
}

#[test]
fn a_flow_file_is_truncated_after_a_partial_message_and_closed_at_shutdown() {
    let files = Files::new("flows");
    let file = files.path("flows.ipfix");
    let collectors = json!([{"name": "unreachable", "address": "127.0.0.1:9", "road": "tcp"}]);
    files.write(
        "with.json",
        &json!({"flows": {"collectors": collectors, "file": {"path": file, "most_mb": 1}}}),
    );
    let (config, extension) = (files.path("config.json"), files.path("with.json"));
    // Part of a message header, as left behind by a killed process.
    fs::write(&file, [0, 10, 0, 40, 1, 2, 3]).unwrap();
    let mut child = harrierdock(&["serve", "--config", &config, "--with", &extension])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let mut line = |part: &str| {
        log.find(|l| l.contains(part))
            .unwrap_or_else(|| panic!("no log line contains {part:?}"))
    };
    line("removed the incomplete last message at octet 0");
    line("serves on");
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    line("flows: to unreachable: recorded [0, 0] dropped [0, 0]");
    line("has shut down");
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert_eq!(
        fs::read(&file).unwrap().len(),
        0,
        "the partial message was not removed"
    );
}
