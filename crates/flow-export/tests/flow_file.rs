//! Opening and rotating the flow file.

use std::fs;
use std::path::{Path, PathBuf};

use harrierdock_config::Names;
use harrierdock_flow_export::{ExporterSetup, FinishedRequest, FlowExportSettings, FlowExporter};
use harrierdock_flow_metering::{FlowOutcome, FlowPath};
use harrierdock_types::{ClassId, TimeDelta, Timestamp};
use serde_json::json;

const MEGABYTE: usize = 1 << 20;
/// The position of a message's length.
const LENGTH_OCTETS: std::ops::Range<usize> = 2..4;

fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Exports one request to a file of at most one megabyte, and closes the exporter.
fn export_once(folder: &Path) {
    let file = json!({"path": "flows.ipfix", "most_mb": 1, "keep": 1});
    let settings: FlowExportSettings =
        serde_json::from_value(json!({"domain": 1, "file": file})).unwrap();
    let setup = ExporterSetup {
        settings: &settings,
        folder,
        latency_objectives: Vec::new(),
        seed: 7,
    };
    let mut exporter = FlowExporter::open(Timestamp(1_000_000), setup).unwrap();
    let request = FinishedRequest {
        class: ClassId(0),
        outcome: FlowOutcome::RequestSucceeded,
        path: FlowPath::Local,
        duration: TimeDelta::from_millis(30),
    };
    exporter.record_request(Timestamp(1_500_000), &request);
    exporter.close(Timestamp(3_000_000), &Names::default());
}

fn split_messages(content: &[u8]) -> Vec<&[u8]> {
    let mut rest = content;
    let mut messages = Vec::new();
    while !rest.is_empty() {
        let length = u16::from_be_bytes(rest[LENGTH_OCTETS].try_into().unwrap());
        let (message, remaining) = rest.split_at(usize::from(length));
        messages.push(message);
        rest = remaining;
    }
    messages
}

#[test]
fn a_first_message_that_causes_a_rotation_is_written_once() {
    let folder = empty_folder("first-message");
    let path = folder.join("flows.ipfix");
    export_once(&folder);
    let first = fs::read(&path).unwrap();
    let count = split_messages(&first).len();
    assert!(count > 0);
    fs::write(&path, first.repeat(MEGABYTE / first.len())).unwrap();
    export_once(&folder);
    assert!(folder.join("flows.ipfix.1").exists());
    let rotated = fs::read(&path).unwrap();
    assert_eq!(split_messages(&rotated).len(), count);
}
