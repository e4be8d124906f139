//! Soak test of restarts. Built gateways are terminated by series of signals and by kills while clients use open connections
//! until the kill. Stalls, connection bursts and hanging endpoints add to the load. The rules are checked against the records
//! of clients and endpoints and against samples from `/proc`.

mod clients;
mod discovery;
mod endpoints;
pub mod plan;
pub mod records;
pub mod requests;
mod restarts;
pub mod rules;
mod sampler;
pub mod startup;
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
use clients::{run_client, GatewayAccess, SharedState};
use discovery::DiscoveryStandIn;
use endpoints::{start_endpoint, AttemptLog, EndpointMode};
use plan::{seeded_rng, ConnectionBurst, Plan, Restart};
use records::{DrainRecord, Observations};
use restarts::{perform_restart, GatewaySetup, RestartOutcome};
use rules::{check_rules, Verdict};
use sampler::{Sampler, Samples};

const ENDPOINTS: usize = 4;
const DRAINING_ENDPOINT: usize = 3;
const HANGING_ENDPOINT: usize = 1;
const CLOSING_ENDPOINT: usize = 2;
/// Time from the start of an endpoint's drain to its removal from the endpoint list.
const REMOVAL_DELAY_AFTER_DRAIN: Duration = Duration::from_millis(600);
const CLIENTS_PER_GATEWAY: usize = 10;
/// Time within which at least nine in ten restarted gateways must become ready.
const READY_LIMIT: Duration = Duration::from_secs(1);

/// The settings of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakSettings {
    /// The seed of all random choices.
    pub seed: u64,
    /// The number of gateways.
    pub gateways: usize,
    /// How long clients send requests.
    pub duration: Duration,
}

/// Why a soak can't run.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A gateway doesn't start or shut down.
    #[error(transparent)]
    Gateway(#[from] GatewayProcessError),
    /// The folder for the gateways' files can't be created.
    #[error("can't create {path}: {source}", path = path.display())]
    Folder {
        /// Path of the folder.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
}

/// How long restarted gateways took to become ready.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ReadyTimes {
    /// The median, in milliseconds.
    pub median: u64,
    /// The longest, in milliseconds.
    pub max: u64,
}

/// The report of a soak.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// Whether all rules hold.
    pub ok: bool,
    /// The seed of the soak.
    pub seed: u64,
    /// Descriptions of the faults that the seed drew.
    pub drawn: Vec<String>,
    /// The counts and violations of the rules.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// How long restarted gateways took to become ready.
    pub ready_ms: ReadyTimes,
    /// The most file descriptors that a gateway had open.
    pub descriptors_max: usize,
    /// The longest time for which the machine kept a thread of the soak itself from running, in milliseconds. Any measured
    /// time may be late by this much; the rules make no allowance for it.
    pub longest_pause_ms: u64,
    /// The longest time that a runnable gateway waited for a processor between two samples, in milliseconds.
    pub longest_wait_ms: u64,
}

/// Runs the soak of one seed.
///
/// # Errors
///
/// The gateway program is missing, or a gateway doesn't start or shut down.
pub fn run_soak(settings: &SoakSettings) -> Result<SoakReport, SoakError> {
    let plan = Plan::draw(settings.seed, settings.gateways, settings.duration);
    let attempt_log = AttemptLog::new(Instant::now());
    let setup = Arc::new(start_stand_ins(settings, &plan, &attempt_log)?);
    let mut processes = Vec::new();
    for gateway in 0..settings.gateways {
        processes.push(setup.start(gateway)?);
    }
    let access = processes.iter().map(|process| GatewayAccess {
        address: process.listen_address,
        accepts_connections: true,
        accepts_until: None,
    });
    let shared = SharedState::new(settings.seed, access.collect(), settings.duration);
    let shared = Arc::new(shared);
    if let Some(window) = plan.discovery_window {
        setup.discovery.fail_in(window, shared.started_at);
    }
    let sampler = Sampler::start(&processes);
    let clients = start_clients(settings, &shared);
    let drain = plan.drain_at.map(|at| schedule_drain(&setup, &shared, at));
    let outcomes = perform_restarts(&setup, &shared, &plan, processes, &sampler)?;
    for client in clients {
        // A client that panicked leaves its last request without a record.
        let _ = client.join();
    }
    let observations = Observations {
        requests: take_all(&shared.requests),
        refused_connections: take_all(&shared.refused_connections),
        startup_connections: outcomes
            .iter()
            .flat_map(|o| o.startup_connections.iter().copied())
            .collect(),
        attempts: attempt_log.take(),
        shutdowns: outcomes.iter().filter_map(|o| o.shutdown).collect(),
        sudden_kills: outcomes.iter().filter_map(|o| o.sudden_kill).collect(),
        drain: drain.and_then(|drain| drain.join().ok()),
    };
    let offset = shared.started_at - attempt_log.started_at();
    let verdict = check_rules(&observations.with_attempts_shifted(offset));
    Ok(build_report(
        settings,
        &plan,
        verdict,
        outcomes,
        sampler.stop(),
    ))
}

fn take_all<T>(records: &Mutex<Vec<T>>) -> Vec<T> {
    std::mem::take(&mut *records.lock().expect("no client panics"))
}

fn start_stand_ins(
    settings: &SoakSettings,
    plan: &Plan,
    attempt_log: &AttemptLog,
) -> Result<GatewaySetup, SoakError> {
    let mode_of = |endpoint| match endpoint {
        HANGING_ENDPOINT if plan.one_endpoint_hangs => EndpointMode::Hanging,
        CLOSING_ENDPOINT if plan.one_endpoint_closes => EndpointMode::Closing,
        _ => EndpointMode::Answering,
    };
    let addresses: Vec<SocketAddr> = (0..ENDPOINTS)
        .map(|index| {
            let hang_window = plan.hang_window;
            start_endpoint(
                index,
                mode_of(index),
                hang_window,
                settings.seed,
                attempt_log,
            )
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

fn start_clients(
    settings: &SoakSettings,
    shared: &Arc<SharedState>,
) -> Vec<thread::JoinHandle<()>> {
    let clients = settings.gateways * CLIENTS_PER_GATEWAY;
    let start = |client: usize| {
        let shared = shared.clone();
        let gateway = client % settings.gateways;
        let seed = settings
            .seed
            .wrapping_mul(1_000)
            .wrapping_add(client as u64);
        thread::spawn(move || run_client(&shared, gateway, seeded_rng(seed)))
    };
    (0..clients).map(start).collect()
}

/// Drains an endpoint at this time and removes it later. The record states when every stream had sent the drain.
fn schedule_drain(
    setup: &Arc<GatewaySetup>,
    shared: &Arc<SharedState>,
    at: Duration,
) -> thread::JoinHandle<DrainRecord> {
    let setup = setup.clone();
    let shared = shared.clone();
    thread::spawn(move || {
        thread::sleep(at);
        let published_at = setup.discovery.drain(DRAINING_ENDPOINT);
        thread::sleep(REMOVAL_DELAY_AFTER_DRAIN);
        setup.discovery.remove(DRAINING_ENDPOINT);
        DrainRecord {
            endpoint: DRAINING_ENDPOINT,
            published_at: published_at - shared.started_at,
        }
    })
}

fn perform_restarts(
    setup: &Arc<GatewaySetup>,
    shared: &Arc<SharedState>,
    plan: &Plan,
    processes: Vec<GatewayProcess>,
    sampler: &Sampler,
) -> Result<Vec<RestartOutcome>, GatewayProcessError> {
    let mut processes: Vec<Option<GatewayProcess>> = processes.into_iter().map(Some).collect();
    let start_restart = |restart: &Restart| {
        let process = processes[restart.gateway].take()?;
        let setup = setup.clone();
        let shared = shared.clone();
        let restart = restart.clone();
        let slot = sampler.process_id_slot(restart.gateway);
        Some(thread::spawn(move || {
            let lead = restart
                .burst
                .map_or(Duration::ZERO, |_| ConnectionBurst::LEAD);
            thread::sleep(restart.at.saturating_sub(lead + shared.now()));
            let outcome = perform_restart(&setup, &shared, &restart, process);
            if let Ok(outcome) = &outcome {
                slot.store(outcome.process.id() as usize, Ordering::SeqCst);
            }
            outcome
        }))
    };
    let running: Vec<_> = plan.restarts.iter().filter_map(start_restart).collect();
    running
        .into_iter()
        .map(|restart| restart.join().expect("a restart does not panic"))
        .collect()
}

fn build_report(
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
    let mut ready_times: Vec<Duration> = outcomes.iter().filter_map(|o| o.ready_after).collect();
    ready_times.sort();
    let in_time = ready_times
        .iter()
        .filter(|after| **after <= READY_LIMIT)
        .count();
    if in_time * 10 < ready_times.len() * 9 {
        violations.push(format!(
            "{in_time} of {} restarts were ready in time",
            ready_times.len()
        ));
    }
    if descriptors_max > plan.descriptors {
        violations.push(format!(
            "{descriptors_max} descriptors, {} allowed",
            plan.descriptors
        ));
    }
    let ready_ms_at = |index: usize| {
        ready_times
            .get(index)
            .map_or(0, |after| after.as_millis() as u64)
    };
    SoakReport {
        ok: verdict.is_ok() && verdict.violations.is_empty(),
        seed: settings.seed,
        drawn: plan.describe(),
        verdict,
        ready_ms: ReadyTimes {
            median: ready_ms_at(ready_times.len() / 2),
            max: ready_ms_at(ready_times.len().saturating_sub(1)),
        },
        descriptors_max,
        longest_pause_ms: samples.longest_pause.as_millis() as u64,
        longest_wait_ms: samples.longest_wait.as_millis() as u64,
    }
}
