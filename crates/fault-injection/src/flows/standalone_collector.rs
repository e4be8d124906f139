//! A collector without gateways, for the `collector` command.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::collector::{Collector, CollectorOptions, CollectorTransport};
use crate::record_tables;

const PRINT_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a collector and prints its counts as a line of JSON each second. At the end it writes the received records to the
/// given files.
///
/// # Errors
///
/// The transport is TLS, the address can't be bound, or a file can't be written.
pub fn run_standalone_collector(
    listen: SocketAddr,
    transport: CollectorTransport,
    seconds: f64,
    csv: Option<&Path>,
    parquet: Option<&Path>,
) -> Result<(), String> {
    if transport == CollectorTransport::Tls {
        return Err("the collector command supports --road udp and --road tcp only".into());
    }
    let collector = Collector::start(CollectorOptions {
        listen,
        transport,
        is_slow: false,
        loss_ratio: 0.0,
        tls: None,
    })
    .map_err(|error| error.to_string())?;
    eprintln!("collector listens on {}", collector.address());
    let started = Instant::now();
    while started.elapsed().as_secs_f64() < seconds {
        std::thread::sleep(PRINT_INTERVAL);
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
