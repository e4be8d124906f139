//! The rehearsal of flow export: gateways with export beside others without, under the same traffic, and a
//! collector that is away, slow or lossy; then what it has counted is set beside what the gateways say.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use harrierdock_site_transport::Credentials;
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use serde::Serialize;
use serde_json::json;

use crate::collector::{Collector, CollectorOptions, CollectorTransport, RecordKey};
use crate::gateway_keys::issue_keys;
use crate::gateway_process::gateway_program;
use crate::record_tables;
use crate::schedule::Outage;
use crate::simulation::ScenarioStep;
use crate::sites::{self, FlowExport, GatewaySummary};
use crate::statistics::median;

/// What is played.
pub struct Day {
    pub seed: u64,
    pub seconds: f64,
    pub form: String,
    pub transport: CollectorTransport,
    pub collector_down: Option<Outage>,
    pub slow: bool,
    pub churn: bool,
    pub surge: bool,
    /// The part of requests that a build fails which half of the servers get at a third of the time.
    pub bad: f64,
    pub loss: f64,
    pub rate: f64,
    /// A folder in which each exporting gateway leaves its file.
    pub keep: Option<PathBuf>,
}

#[derive(Debug, Default, Serialize)]
pub struct Report {
    pub gateway_tally: BTreeMap<String, u64>,
    pub collector_tally: BTreeMap<String, u64>,
    /// What gateways said that they had dropped, by kind, and what may have been lost in a broken connection.
    pub reported_dropped: BTreeMap<String, u64>,
    pub in_doubt: u64,
    /// Tally = collected + dropped, for every kind; over UDP with losses, that the gap is what was lost.
    pub agree: bool,
    pub messages: u64,
    pub records_sent: u64,
    pub records_collected: u64,
    pub sequence_gap: u64,
    pub lost_on_the_way: u64,
    pub client_data_found: u64,
    pub faults: u64,
    pub memory_mb_with: f64,
    pub memory_mb_without: f64,
    pub late_share_with: f64,
    pub late_share_without: f64,
    pub p99_ms_with: f64,
    pub p99_ms_without: f64,
    pub cpu_ratio: f64,
    /// Octets a second of the gateway that jumps, after it did over before.
    pub surge_octets_ratio: Option<f64>,
    pub rules_kept: bool,
    pub ok: bool,
}

/// A collector's end of TLS, with keys issued by the program itself.
fn tls(folder: &Path) -> Result<Arc<ServerConfig>, String> {
    let keys = folder.join("keys");
    let program = gateway_program().map_err(|error| error.to_string())?;
    let names = [
        "hobart/collector".to_string(),
        "hobart/exporter".to_string(),
    ];
    issue_keys(&program, &keys, &names).map_err(|error| error.to_string())?;
    let read = |name: &str| std::fs::read(keys.join(name)).map_err(|e| format!("{name}: {e}"));
    let own = Credentials::read(
        &read("authority.pem")?,
        &read("hobart-collector.pem")?,
        &read("hobart-collector.key")?,
    )
    .map_err(|e| e.to_string())?;
    let mut roots = RootCertStore::empty();
    own.authority
        .iter()
        .try_for_each(|c| roots.add(c.clone()))
        .map_err(|e| e.to_string())?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
    let config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| e.to_string())?
        .with_client_cert_verifier(verifier.map_err(|e| e.to_string())?)
        .with_single_cert(own.chain, own.key)
        .map_err(|e| e.to_string())?;
    Ok(Arc::new(config))
}

/// `to NAME: recorded [a, b] dropped [c, d] in-doubt e messages f records g`
fn said(line: &str, of: &str) -> Vec<u64> {
    let Some((_, rest)) = line.split_once(&format!(" {of} ")) else {
        return Vec::new();
    };
    let rest = rest.strip_prefix('[').map_or_else(
        || rest.split(' ').next().unwrap_or(""),
        |list| list.split(']').next().unwrap_or(""),
    );
    rest.split(", ").filter_map(|n| n.parse().ok()).collect()
}

const KINDS: [&str; 2] = ["submission", "txn"];

pub fn play(day: &Day, progress: impl FnMut(f64)) -> Result<Report, String> {
    let folder = std::env::temp_dir().join(format!(
        "harrierdock-flow-metering-{}-{}",
        std::process::id(),
        day.seed
    ));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let played = on_stage(day, &folder, progress);
    let _ = std::fs::remove_dir_all(&folder);
    played
}

fn on_stage(day: &Day, folder: &Path, mut progress: impl FnMut(f64)) -> Result<Report, String> {
    let config = if day.transport == CollectorTransport::Tls {
        Some(tls(folder)?)
    } else {
        None
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let collector = Collector::start(CollectorOptions {
        listen,
        transport: day.transport,
        is_slow: day.slow,
        loss_ratio: day.loss,
        tls: config,
    })
    .map_err(|error| error.to_string())?;
    let mut told = json!({"name": "main", "address": collector.address(), "road": day.transport.name(),
        "form": day.form});
    if day.transport == CollectorTransport::Tls {
        let key = |name: &str| folder.join("keys").join(name).display().to_string();
        told["keys"] = json!({"authority": key("authority.pem"), "certificate": key("hobart-exporter.pem"),
            "key": key("hobart-exporter.key")});
        told["server_name"] = json!("collector.hobart.harrierdock.internal");
    }
    let output_folder = match &day.keep {
        None => None,
        Some(keep) => {
            let error = |e| format!("{}: {e}", keep.display());
            std::fs::create_dir_all(keep).map_err(error)?;
            Some(keep.canonicalize().map_err(error)?)
        }
    };
    let mut more: Vec<(f64, ScenarioStep)> = (0..=(day.seconds / 2.0) as u32)
        .map(|n| (f64::from(n) * 2.0, ScenarioStep::RecordUsage))
        .collect();
    if let Some(down) = day.collector_down {
        more.push((
            down.start_second,
            ScenarioStep::SetCollectorRunning { is_running: false },
        ));
        more.push((
            down.end_second(),
            ScenarioStep::SetCollectorRunning { is_running: true },
        ));
    }
    if day.churn {
        more.extend(
            (1..(day.seconds * 4.0) as u32)
                .map(|n| (f64::from(n) / 4.0, ScenarioStep::RenameEndpoints)),
        );
    }
    if day.bad > 0.0 {
        more.push((
            day.seconds / 3.0,
            ScenarioStep::ReleaseBuild {
                failure_ratio: day.bad,
            },
        ));
    }
    if day.surge {
        // Of a site's two gateways the first gets a hundredth, and from half-time on a fifth.
        more.push((
            0.0,
            ScenarioStep::SetGatewayWeight {
                gateway: 0,
                weight: 0.0101,
            },
        ));
        more.push((
            day.seconds / 2.0,
            ScenarioStep::SetGatewayWeight {
                gateway: 0,
                weight: 0.25,
            },
        ));
    }
    let on_sites = sites::Scenario {
        seed: day.seed,
        duration_seconds: day.seconds,
        gateways_per_site: 2,
        endpoints_per_site: 4,
        requests_per_second: day.rate,
        first_site_load_ratio: 1.0,
        shares_idempotency_group: true,
        extra_steps: more,
        flow_export: Some(FlowExport {
            collector: collector.clone(),
            configuration: json!({"active_ms": 1000, "collectors": [told]}),
            output_folder,
        }),
        ..sites::Scenario::default()
    };
    let played =
        sites::run_scenario(&on_sites, false, &mut progress).map_err(|error| error.to_string())?;
    // What is on its way to the collector still comes.
    std::thread::sleep(Duration::from_millis(500));
    collector.stop();
    if let Some(keep) = &day.keep {
        let counts = collector.counts().map_err(|e| e.to_string())?;
        record_tables::write_parquet(&keep.join("collected.parquet"), &counts.records)
            .map_err(|e| e.to_string())?;
        record_tables::write_csv(&keep.join("collected.csv"), &counts.records)
            .map_err(|e| e.to_string())?;
    }
    judge(day, &played, &collector)
}

fn judge(day: &Day, played: &sites::Report, collector: &Collector) -> Result<Report, String> {
    let counts = collector.counts().map_err(|e| e.to_string())?;
    let mut report = Report::default();
    let (mut recorded, mut dropped) = (BTreeMap::<RecordKey, u64>::new(), [0_u64; 2]);
    for line in &played.flow_export_log {
        if let Some(tally) = line.strip_prefix("tally ") {
            let rows: Vec<(String, u64, String, u64)> =
                serde_json::from_str(tally).map_err(|e| e.to_string())?;
            for (kind, build, class, count) in rows {
                *recorded
                    .entry(RecordKey { kind, build, class })
                    .or_default() += count;
            }
        }
        let of = said(line, "dropped");
        dropped
            .iter_mut()
            .zip(of)
            .for_each(|(sum, more)| *sum += more);
        report.in_doubt += said(line, "in-doubt").iter().sum::<u64>();
        report.messages += said(line, "messages").iter().sum::<u64>();
        report.records_sent += said(line, "records").iter().sum::<u64>();
    }
    let name = |key: &RecordKey| format!("{} {} {}", key.kind, key.build, key.class);
    report.gateway_tally = recorded.iter().map(|(row, n)| (name(row), *n)).collect();
    report.collector_tally = counts
        .totals
        .iter()
        .map(|(row, n)| (name(row), *n))
        .collect();
    report.reported_dropped = KINDS
        .iter()
        .zip(dropped)
        .map(|(kind, n)| (kind.to_string(), n))
        .collect();
    let total = |sums: &BTreeMap<RecordKey, u64>, kind: &str| {
        sums.iter()
            .filter(|(key, _)| key.kind == kind)
            .map(|(_, n)| n)
            .sum::<u64>()
    };
    report.records_collected = counts.domains.values().map(|d| d.records).sum();
    report.sequence_gap = counts.domains.values().map(|d| d.sequence_gap).sum();
    (report.lost_on_the_way, report.faults) = (counts.dropped_datagrams, counts.malformed_messages);
    let whole = KINDS.iter().zip(dropped).all(|(kind, dropped)| {
        let (all, got) = (
            total(&recorded, kind),
            total(&counts.totals, kind) + dropped,
        );
        // What was written just before a connection broke may have come or not.
        got <= all + report.in_doubt && got + report.in_doubt >= all
    });
    let exact = dropped != [0; 2] || report.in_doubt > 0 || day.churn || recorded == counts.totals;
    // Over UDP what was lost is seen in the sequence numbers, up to the last message.
    let missing = report.records_sent.saturating_sub(report.records_collected);
    let lossy = counts.dropped_datagrams > 0;
    let gap = if day.form == "v9" {
        counts.dropped_datagrams
    } else {
        missing
    };
    report.agree = if lossy {
        gap.abs_diff(report.sequence_gap) <= gap / 20 + 60
    } else {
        whole && exact
    };
    let seen = |pattern: &[u8]| {
        counts
            .raw
            .windows(pattern.len())
            .filter(|w| *w == pattern)
            .count() as u64
    };
    let patterns: [&[u8]; 6] = [
        b"hobart-",
        b"launceston-",
        b"key-",
        b"obj=",
        b"/api",
        b"lines",
    ];
    report.client_data_found = patterns.into_iter().map(seen).sum();
    // The first gateway of each site exports, the second does not.
    let with = |g: usize| g < 2;
    let mean = |of: &dyn Fn(&GatewaySummary) -> f64, exports: bool| {
        let some: Vec<f64> = played
            .gateway_summaries
            .iter()
            .enumerate()
            .filter(|(g, _)| with(*g) == exports)
            .map(|(_, v)| of(v))
            .collect();
        some.iter().sum::<f64>() / some.len().max(1) as f64
    };
    (report.late_share_with, report.late_share_without) = (
        mean(&|g| g.late_ratio, true),
        mean(&|g| g.late_ratio, false),
    );
    (report.p99_ms_with, report.p99_ms_without) = (
        mean(&|g| g.latency_p99_ms, true),
        mean(&|g| g.latency_p99_ms, false),
    );
    (report.memory_mb_with, report.memory_mb_without) =
        (mean(&|g| g.memory_mb, true), mean(&|g| g.memory_mb, false));
    let ratios = played.usage_by_span.iter().filter_map(|span| {
        let of = |exports: bool| {
            let some = span
                .iter()
                .enumerate()
                .filter(|(g, _)| with(*g) == exports)
                .map(|(_, s)| *s);
            let (ticks, txns) = some.fold((0.0, 0), |sum, s| {
                (sum.0 + s.processor_time_us, sum.1 + s.requests)
            });
            (txns > 0).then(|| ticks / txns as f64)
        };
        Some(of(true)? / of(false).filter(|w| *w > 0.0)?)
    });
    report.cpu_ratio = median(ratios.collect());
    if day.surge {
        let half = (day.seconds / 2.0) as u64 + 2;
        let rate = |of: &dyn Fn(u64) -> bool| {
            let some: Vec<u64> = counts
                .octets
                .iter()
                .filter(|((d, s), _)| *d == 1 && *s > 3 && of(*s))
                .map(|(_, n)| *n)
                .collect();
            some.iter().sum::<u64>() as f64 / some.len().max(1) as f64
        };
        report.surge_octets_ratio = Some(rate(&|s| s > half) / rate(&|s| s < half).max(1.0));
    }
    report.rules_kept = played.answered_twice + played.unanswered + played.non_idempotent_run_twice
        == 0
        && played.logged_violations + played.crashes + played.repeats_outside_window == 0;
    // One that never takes anything in is only to cost nothing.
    let heard = day.slow || report.agree;
    report.ok = report.rules_kept && heard && report.client_data_found == 0 && !recorded.is_empty();
    Ok(report)
}

/// A collector by itself, with a line of JSON each second.
pub fn collect(
    listen: SocketAddr,
    transport: CollectorTransport,
    seconds: f64,
    csv: Option<&Path>,
    parquet: Option<&Path>,
) -> Result<(), String> {
    if transport == CollectorTransport::Tls {
        return Err("a collector by itself listens by udp or tcp".into());
    }
    let collector = Collector::start(CollectorOptions {
        listen,
        transport,
        is_slow: false,
        loss_ratio: 0.0,
        tls: None,
    })
    .map_err(|error| error.to_string())?;
    eprintln!("collects on {}", collector.address());
    let from = Instant::now();
    while from.elapsed().as_secs_f64() < seconds {
        std::thread::sleep(Duration::from_secs(1));
        let counts = collector.counts().map_err(|e| e.to_string())?;
        let sums: BTreeMap<String, u64> = counts
            .totals
            .iter()
            .map(|(key, n)| (format!("{} {} {}", key.kind, key.build, key.class), *n))
            .collect();
        println!(
            "{}",
            json!({"messages": counts.messages, "faults": counts.malformed_messages, "sums": sums})
        );
    }
    collector.stop();
    let counts = collector.counts().map_err(|e| e.to_string())?;
    csv.map_or(Ok(()), |path| {
        record_tables::write_csv(path, &counts.records)
    })
    .map_err(|e| e.to_string())?;
    parquet
        .map_or(Ok(()), |path| {
            record_tables::write_parquet(path, &counts.records)
        })
        .map_err(|e| e.to_string())?;
    Ok(())
}
