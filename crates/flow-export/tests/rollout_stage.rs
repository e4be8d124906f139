//! The stage and the exposure limit that records state for the build in rollout.

use std::fs;
use std::path::Path;

use harrierdock_config::Names;
use harrierdock_flow_export::report::FlowReport;
use harrierdock_flow_export::{ExporterSetup, FinishedAttempt, FlowExportSettings, FlowExporter};
use harrierdock_types::{
    AttemptOutcome, BuildId, ClassId, EndpointId, PlatformStatus, RolloutPhase, RolloutUpdate,
    TimeDelta, Timestamp,
};
use serde_json::json;

const CANARY: BuildId = BuildId(42);
const START: Timestamp = Timestamp(1_000_000);

fn update(build: BuildId, stage: usize, limit: f64, status: PlatformStatus) -> RolloutUpdate {
    RolloutUpdate {
        build,
        stage,
        phase: RolloutPhase::Canary,
        exposure_limit: limit,
        status,
        is_vote_response: true,
        age: TimeDelta::ZERO,
    }
}

/// Exports an attempt at the canary after these updates, and returns the report's lines about it.
fn report_after(name: &str, updates: &[RolloutUpdate]) -> Vec<String> {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    let file = json!({"path": "flows.ipfix", "most_mb": 1, "keep": 1});
    let settings: FlowExportSettings =
        serde_json::from_value(json!({"domain": 1, "file": file})).unwrap();
    let setup = ExporterSetup {
        settings: &settings,
        folder: &folder,
        latency_objectives: vec![TimeDelta::from_millis(500)],
        seed: 7,
    };
    let mut exporter = FlowExporter::open(START, setup).unwrap();
    for update in updates {
        exporter.set_rollout(update);
    }
    exporter.count_received_request();
    let attempt = FinishedAttempt {
        class: ClassId(0),
        build: CANARY,
        endpoint: EndpointId(0),
        outcome: AttemptOutcome::Succeeded,
        duration: TimeDelta::from_millis(30),
        is_retry: false,
        is_inbound: false,
        request_octets: 2,
        response_octets: 2,
    };
    let end = START + TimeDelta::from_millis(2_000);
    exporter.record_attempt(START, &attempt);
    exporter.close(end, &Names::default());
    let report = FlowReport::read(&[folder.join("flows.ipfix")]).unwrap();
    let lines = report.table();
    lines.lines().skip(1).map(str::to_string).collect()
}

// Guards against records that state stage 0 and no limit for a build on trial while votes end in errors.
#[test]
fn a_vote_without_a_rollout_state_changes_no_stage_or_limit() {
    let valid = update(CANARY, 2, 0.8, PlatformStatus::Valid);
    let failed = update(BuildId(0), 0, 0.0, PlatformStatus::ServerError);
    let superseded = update(CANARY, 2, 0.0, PlatformStatus::Superseded);
    let expected = report_after("valid", std::slice::from_ref(&valid));
    assert!(expected[0].starts_with("   42     2"), "{expected:?}");
    assert!(expected[0].ends_with("80.0%"), "{expected:?}");
    assert_eq!(report_after("failed", &[valid.clone(), failed]), expected);
    assert_eq!(report_after("superseded", &[valid, superseded]), expected);
}
