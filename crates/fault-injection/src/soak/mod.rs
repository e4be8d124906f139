//! A soak of restarts: built gateways under clients that use open connections until the kill, signals in series, stalls,
//! crowds and endpoints that hang. Judged by what clients, endpoints and the kernel saw.

mod clients;
mod discovery;
pub mod judge;
pub mod plan;
pub mod records;
pub mod requests;
mod restarts;
mod sampler;
mod servers;
pub mod starts;
mod startup_clients;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;
use thiserror::Error;

use crate::gateway_process::{gateway_program, GatewayProcess, GatewayProcessError};
use clients::{run_client, Admission, Shared};
use discovery::DiscoveryStandIn;
use judge::{judge, Verdict};
use plan::{seeded, Crowd, Plan, Restart};
use records::{DrainRecord, Observations};
use restarts::{play_restart, GatewaySetup, RestartOutcome};
use sampler::{Sampler, Samples};
use servers::{start_endpoint, AttemptLog, Conduct};

const ENDPOINTS: usize = 4;
const DRAINING_ENDPOINT: usize = 3;
const HANGING_ENDPOINT: usize = 1;
const CLOSING_ENDPOINT: usize = 2;
/// How long after it began to drain an endpoint is removed from the list.
const REMOVED_AFTER_DRAIN: Duration = Duration::from_millis(600);
const CLIENTS_PER_GATEWAY: usize = 10;
/// How long a gateway may take to be ready again.
const READY_LIMIT: Duration = Duration::from_secs(1);

/// What a soak is asked for.
#[derive(Clone, Copy, Debug)]
pub struct SoakSettings {
    /// The seed of all that is drawn.
    pub seed: u64,
    /// How many gateways are started.
    pub gateways: usize,
    /// How long clients come.
    pub duration: Duration,
}

/// Why a soak cannot be played.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A gateway does not start or end.
    #[error(transparent)]
    Gateway(#[from] GatewayProcessError),
    /// The folder for the gateways' files cannot be made.
    #[error("{path}: {source}", path = path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
}

/// The readiness of restarted gateways.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ReadyTimes {
    /// The median, in milliseconds.
    pub median: u64,
    /// The longest, in milliseconds.
    pub max: u64,
}

/// What came of a soak.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// Whether every rule was kept.
    pub ok: bool,
    /// The seed.
    pub seed: u64,
    /// What was played.
    pub drawn: Vec<String>,
    /// What was judged.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// How long restarted gateways took to be ready.
    pub ready_ms: ReadyTimes,
    /// The most descriptors that a gateway held.
    pub descriptors_max: usize,
    /// The longest that the machine kept a thread of the soak itself from running, in milliseconds. All that is measured here
    /// may be late by as much; no rule allows for it.
    pub longest_pause_ms: u64,
    /// The longest that a gateway which could run waited for a processor between two samples, in milliseconds.
    pub longest_wait_ms: u64,
}

/// Plays one seed.
///
/// # Errors
///
/// The gateway's program is not there, or a gateway does not start.
pub fn play(settings: &SoakSettings) -> Result<SoakReport, SoakError> {
    let plan = Plan::draw(settings.seed, settings.gateways, settings.duration);
    let attempts = AttemptLog::new(Instant::now());
    let setup = Arc::new(start_stand_ins(settings, &plan, &attempts)?);
    let mut processes = Vec::new();
    for gateway in 0..settings.gateways {
        processes.push(setup.start(gateway)?);
    }
    let admissions = processes.iter().map(|process| Admission {
        address: process.listen_address,
        is_admitted: true,
        until: None,
    });
    let shared = Shared::new(settings.seed, admissions.collect(), settings.duration);
    let shared = Arc::new(shared);
    if let Some(window) = plan.discovery_window {
        setup.discovery.fail_in(window, shared.started_at);
    }
    let sampler = Sampler::start(&processes);
    let clients = start_clients(settings, &shared);
    let drain = plan.drains_at.map(|at| start_drain(&setup, &shared, at));
    let outcomes = play_restarts(&setup, &shared, &plan, processes, &sampler)?;
    for client in clients {
        // A client that panicked shows as requests without a record.
        let _ = client.join();
    }
    let seen = Observations {
        requests: take_all(&shared.requests),
        refused_connections: take_all(&shared.refused_connections),
        startup_connections: outcomes
            .iter()
            .flat_map(|o| o.startup_connections.iter().copied())
            .collect(),
        attempts: attempts.take(),
        shutdowns: outcomes.iter().filter_map(|o| o.shutdown).collect(),
        sudden_kills: outcomes.iter().filter_map(|o| o.sudden_kill).collect(),
        drain: drain.and_then(|drain| drain.join().ok()),
    };
    let offset = shared.started_at - attempts.started_at();
    let verdict = judge(&seen.shifted(offset));
    Ok(report(settings, &plan, verdict, outcomes, sampler.stop()))
}

fn take_all<T>(records: &Mutex<Vec<T>>) -> Vec<T> {
    std::mem::take(&mut *records.lock().expect("no client panics"))
}

fn start_stand_ins(
    settings: &SoakSettings,
    plan: &Plan,
    attempts: &AttemptLog,
) -> Result<GatewaySetup, SoakError> {
    let conduct = |endpoint| match endpoint {
        HANGING_ENDPOINT if plan.one_endpoint_hangs => Conduct::Hangs,
        CLOSING_ENDPOINT if plan.one_endpoint_closes => Conduct::Closes,
        _ => Conduct::Works,
    };
    let addresses: Vec<SocketAddr> = (0..ENDPOINTS)
        .map(|index| {
            let hang_window = plan.all_hang;
            start_endpoint(index, conduct(index), hang_window, settings.seed, attempts)
        })
        .collect();
    let folder = std::env::temp_dir().join(format!(
        "harrierdock-soak-{}-{}",
        std::process::id(),
        settings.seed
    ));
    std::fs::create_dir_all(&folder).map_err(|source| SoakError::Folder {
        path: folder.clone(),
        source,
    })?;
    Ok(GatewaySetup {
        program: gateway_program()?,
        folder,
        seed: settings.seed,
        descriptors: plan.descriptors,
        discovery: DiscoveryStandIn::start(&addresses),
    })
}

fn start_clients(settings: &SoakSettings, shared: &Arc<Shared>) -> Vec<thread::JoinHandle<()>> {
    let clients = settings.gateways * CLIENTS_PER_GATEWAY;
    let start = |client: usize| {
        let shared = shared.clone();
        let gateway = client % settings.gateways;
        let seed = settings
            .seed
            .wrapping_mul(1_000)
            .wrapping_add(client as u64);
        thread::spawn(move || run_client(&shared, gateway, seeded(seed)))
    };
    (0..clients).map(start).collect()
}

/// Has an endpoint drain later on, and go a while after, and says when every watch carries the drain.
fn start_drain(
    setup: &Arc<GatewaySetup>,
    shared: &Arc<Shared>,
    at: Duration,
) -> thread::JoinHandle<DrainRecord> {
    let setup = setup.clone();
    let shared = shared.clone();
    thread::spawn(move || {
        thread::sleep(at);
        let told_at = setup.discovery.drain(DRAINING_ENDPOINT);
        thread::sleep(REMOVED_AFTER_DRAIN);
        setup.discovery.remove(DRAINING_ENDPOINT);
        DrainRecord {
            endpoint: DRAINING_ENDPOINT,
            told_at: told_at - shared.started_at,
        }
    })
}

fn play_restarts(
    setup: &Arc<GatewaySetup>,
    shared: &Arc<Shared>,
    plan: &Plan,
    processes: Vec<GatewayProcess>,
    sampler: &Sampler,
) -> Result<Vec<RestartOutcome>, GatewayProcessError> {
    let mut processes: Vec<Option<GatewayProcess>> = processes.into_iter().map(Some).collect();
    let start = |restart: &Restart| {
        let process = processes[restart.gateway].take()?;
        let setup = setup.clone();
        let shared = shared.clone();
        let restart = restart.clone();
        let slot = sampler.slot(restart.gateway);
        Some(thread::spawn(move || {
            let lead = restart.crowd.map_or(Duration::ZERO, |_| Crowd::LEAD);
            thread::sleep(restart.at.saturating_sub(lead + shared.now()));
            let outcome = play_restart(&setup, &shared, &restart, process);
            if let Ok(outcome) = &outcome {
                slot.store(outcome.process.id() as usize, Ordering::SeqCst);
            }
            outcome
        }))
    };
    let running: Vec<_> = plan.restarts.iter().filter_map(start).collect();
    running
        .into_iter()
        .map(|restart| restart.join().expect("a restart does not panic"))
        .collect()
}

fn report(
    settings: &SoakSettings,
    plan: &Plan,
    mut verdict: Verdict,
    mut outcomes: Vec<RestartOutcome>,
    samples: Samples,
) -> SoakReport {
    let descriptors_max = samples.descriptors_max;
    let violations = &mut verdict.violations;
    for outcome in &mut outcomes {
        outcome.process.read_log();
        violations.append(&mut outcome.violations);
        violations.append(&mut outcome.process.violations);
    }
    let mut ready: Vec<Duration> = outcomes.iter().filter_map(|o| o.ready_after).collect();
    ready.sort();
    let in_time = ready.iter().filter(|after| **after <= READY_LIMIT).count();
    if in_time * 10 < ready.len() * 9 {
        violations.push(format!(
            "{in_time} of {} restarts were ready in time",
            ready.len()
        ));
    }
    if descriptors_max > plan.descriptors {
        violations.push(format!(
            "{descriptors_max} descriptors, {} allowed",
            plan.descriptors
        ));
    }
    let at = |index: usize| ready.get(index).map_or(0, |after| after.as_millis() as u64);
    SoakReport {
        ok: verdict.is_ok() && verdict.violations.is_empty(),
        seed: settings.seed,
        drawn: plan.describe(),
        verdict,
        ready_ms: ReadyTimes {
            median: at(ready.len() / 2),
            max: at(ready.len().saturating_sub(1)),
        },
        descriptors_max,
        longest_pause_ms: samples.longest_pause.as_millis() as u64,
        longest_wait_ms: samples.longest_wait.as_millis() as u64,
    }
}
