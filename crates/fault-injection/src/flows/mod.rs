//! Fault injection for flow export. Under the same traffic, one of each site's two gateways exports flows and the other
//! doesn't. The collector can be stopped, read slowly or drop datagrams. Its counts are then compared with the totals that the
//! gateways logged.

mod collector_tls;
mod evaluation;
mod gateway_log;
mod report;
mod scenario;
mod standalone_collector;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::json;

use crate::collector::{Collector, CollectorOptions, CollectorTransport};
use crate::record_tables;
use crate::sites::{self, FlowExport};

pub use report::Report;
pub use scenario::Scenario;
pub use standalone_collector::run_standalone_collector;

/// How long the collector still receives after the gateways have shut down.
const COLLECTOR_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Runs the scenario with built gateways and compares the collector's counts with the gateways' logs. `progress` gets the
/// completed ratio, from 0 to 1.
///
/// # Errors
///
/// A gateway or the collector can't be started, or a file can't be written.
pub fn run_scenario(scenario: &Scenario, progress: impl FnMut(f64)) -> Result<Report, String> {
    let folder = std::env::temp_dir().join(format!(
        "harrierdock-flow-metering-{}-{}",
        std::process::id(),
        scenario.seed
    ));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let report = run_in_folder(scenario, &folder, progress);
    let _ = std::fs::remove_dir_all(&folder);
    report
}

fn run_in_folder(
    scenario: &Scenario,
    folder: &Path,
    mut progress: impl FnMut(f64),
) -> Result<Report, String> {
    let tls = if scenario.transport == CollectorTransport::Tls {
        Some(collector_tls::issue_server_config(folder)?)
    } else {
        None
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let collector = Collector::start(CollectorOptions {
        listen,
        transport: scenario.transport,
        is_slow: scenario.is_collector_slow,
        loss_ratio: scenario.loss_ratio,
        tls,
    })
    .map_err(|error| error.to_string())?;
    let mut collector_settings = json!({"name": "main", "address": collector.address(),
        "road": scenario.transport.name(), "form": scenario.wire_format});
    if scenario.transport == CollectorTransport::Tls {
        let key = |name: &str| folder.join("keys").join(name).display().to_string();
        collector_settings["keys"] = json!({"authority": key("authority.pem"),
            "certificate": key("hobart-exporter.pem"), "key": key("hobart-exporter.key")});
        collector_settings["server_name"] = json!("collector.hobart.harrierdock.internal");
    }
    let output_folder = match &scenario.output_folder {
        None => None,
        Some(output_folder) => {
            let error = |e| format!("{}: {e}", output_folder.display());
            std::fs::create_dir_all(output_folder).map_err(error)?;
            Some(output_folder.canonicalize().map_err(error)?)
        }
    };
    let sites_scenario = sites::Scenario {
        seed: scenario.seed,
        duration_seconds: scenario.duration_seconds,
        gateways_per_site: 2,
        endpoints_per_site: 4,
        requests_per_second: scenario.requests_per_second,
        first_site_load_ratio: 1.0,
        shares_idempotency_group: true,
        extra_steps: scenario.steps(),
        flow_export: Some(FlowExport {
            collector: collector.clone(),
            configuration: json!({"active_ms": 1000, "collectors": [collector_settings]}),
            output_folder,
        }),
        ..sites::Scenario::default()
    };
    let sites_report = sites::run_scenario(&sites_scenario, false, &mut progress)
        .map_err(|error| error.to_string())?;
    std::thread::sleep(COLLECTOR_DRAIN_TIME);
    collector.stop();
    if let Some(output_folder) = &scenario.output_folder {
        let counts = collector.counts().map_err(|e| e.to_string())?;
        record_tables::write_parquet(&output_folder.join("collected.parquet"), &counts.records)
            .map_err(|e| e.to_string())?;
        record_tables::write_csv(&output_folder.join("collected.csv"), &counts.records)
            .map_err(|e| e.to_string())?;
    }
    evaluation::evaluate(scenario, &sites_report, &collector)
}
