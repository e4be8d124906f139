//! Plays a scenario once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use calloop::EventLoop;
use harrierdock_event_loop::{BufferPool, DescriptorBudget, IoContext};
use harrierdock_types::{TimeDelta, Timestamp};

use super::harness::{send_command, Gateway, TestHarness};
use super::keys::issue_keys;
use super::report::Report;
use super::rules::check_rules;
use super::scenario::Scenario;
use crate::gateway_process::gateway_program;
use crate::simulation::{
    Answer, GatewayTarget, ScenarioStep, Simulation, TimerEvent, LATENCY_OBJECTIVE,
};
use crate::stand_ins::{discovery_server, Trace};

fn folder(scenario: &Scenario, linked: bool) -> Result<PathBuf, String> {
    let name = format!(
        "harrierdock-fault-injection-{}-{}-{}",
        std::process::id(),
        scenario.seed,
        u8::from(linked)
    );
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    Ok(folder)
}

/// Plays a scenario once, with the link or without.
pub fn run_scenario(
    scenario: &Scenario,
    linked: bool,
    progress: &mut dyn FnMut(f64),
) -> Result<Report, String> {
    let folder = folder(scenario, linked)?;
    let played = run_in_folder(scenario, linked, &folder, progress);
    if played.is_ok() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    played
}

fn run_in_folder(
    scenario: &Scenario,
    linked: bool,
    folder: &Path,
    progress: &mut dyn FnMut(f64),
) -> Result<Report, String> {
    let mut event_loop: EventLoop<Simulation> = EventLoop::try_new().map_err(|e| e.to_string())?;
    let net = IoContext::new(
        event_loop.handle(),
        BufferPool::new(2048),
        DescriptorBudget::new(4096, 0),
    );
    let mut simulation = Simulation::new(net, scenario.seed, scenario.shares_idempotency_group);
    simulation.requests_per_second = [
        scenario.requests_per_second * scenario.first_site_load_ratio,
        scenario.requests_per_second,
    ];
    let mut harness = TestHarness {
        folder: folder.into(),
        program: gateway_program().map_err(|error| error.to_string())?,
        gateways: Vec::new(),
        relay_addresses: Vec::new(),
        linked,
        list_version: 1,
        rename_count: 0,
        scenario: scenario.clone(),
        usage_samples: Vec::new(),
    };
    for ix in 0..2 * scenario.endpoints_per_site {
        simulation
            .add_endpoint(ix % 2)
            .map_err(|error| error.to_string())?;
    }
    for ix in 0..2 * scenario.gateways_per_site {
        let (discovery, say) = discovery_server(&Trace::default());
        let name = format!("{}{}", ["h", "l"][ix % 2], ix / 2);
        let (relay, front) = (world_relay(&mut simulation, ix)?, ix % 2);
        harness.relay_addresses.push(relay.1);
        simulation.gateways.push(GatewayTarget {
            site: front,
            address: None,
            incarnation: 0,
            is_alive: false,
            accepts_clients: false,
            weight: 1.0,
        });
        let (process, spent) = (None, BTreeMap::new());
        harness.gateways.push(Gateway {
            name,
            site: ix % 2,
            process,
            relay: Some(relay.0),
            discovery,
            list_sender: say,
            counters: spent,
        });
    }
    if linked {
        issue_keys(&harness.program, folder, &harness.gateways)?;
    }
    for ix in 0..harness.gateways.len() {
        harness.start(&mut simulation, ix)?;
        simulation.gateways[ix].accepts_clients = true;
    }
    // The links come up before clients do.
    let from = simulation.now() + TimeDelta::from_seconds(1.5);
    let at = |second: f64| from + TimeDelta::from_seconds(second);
    let mut steps = vec![
        (at(scenario.duration_seconds), ScenarioStep::StopRequests),
        (at(scenario.duration_seconds + 2.5), ScenarioStep::End),
    ];
    if let Some(kill) = scenario.kill {
        steps.push((
            at(kill.second),
            ScenarioStep::KillSite {
                site: kill.site,
                with_gateways: !scenario.endpoints_only,
            },
        ));
        if let Some(after) = scenario.restore_after_seconds {
            steps.push((
                at(kill.second + after),
                ScenarioStep::RestoreSite { site: kill.site },
            ));
        }
    }
    if let Some(cut) = scenario.cut {
        steps.push((
            at(cut.start_second),
            ScenarioStep::SetPathCut { is_cut: true },
        ));
        steps.push((
            at(cut.end_second()),
            ScenarioStep::SetPathCut { is_cut: false },
        ));
    }
    if let Some(drain) = scenario.drain {
        steps.push((
            at(drain.second),
            ScenarioStep::DrainSite { site: drain.site },
        ));
    }
    if let Some(second) = scenario.rolling_restart_second {
        for gateway in 0..harness.gateways.len() {
            steps.push((
                at(second + 1.5 * gateway as f64),
                ScenarioStep::RestartGateway { gateway },
            ));
        }
    }
    steps.extend(
        scenario
            .extra_steps
            .iter()
            .map(|(second, step)| (at(*second), step.clone())),
    );
    steps.sort_by_key(|s| s.0);
    steps
        .iter()
        .for_each(|s| simulation.timers.set(s.0, TimerEvent::ScenarioStep));
    simulation.steps = steps.into();
    (
        simulation.path_faults.loss_ratio,
        simulation.path_faults.is_one_way,
    ) = (scenario.loss_ratio, scenario.is_one_way);
    simulation.sends_requests = true;
    for site in 0..2 {
        simulation.timers.set(from, TimerEvent::Arrival(site));
    }
    let mut over = false;
    let mut memory: f64 = 0.0;
    while !over {
        let wait = simulation
            .timers
            .next_deadline()
            .map(|at| simulation.io.clock.duration_until(at));
        event_loop
            .dispatch(wait, &mut simulation)
            .map_err(|e| e.to_string())?;
        for step in simulation.run_due_events() {
            over |= harness.execute_step(&mut simulation, step)?;
        }
        progress((simulation.now() - from).as_seconds() / (scenario.duration_seconds + 2.5));
    }
    let mut report = check_rules(scenario, &simulation, from);
    for ix in 0..harness.gateways.len() {
        harness.collect_counters(ix);
        let gateway = &mut harness.gateways[ix];
        if let Some(process) = &mut gateway.process {
            let usage = process.resource_usage();
            memory = memory.max(usage.memory_mb);
            report.processor_time_per_request_us += usage.processor_time_us;
            process.read_log();
            report.logged_violations += process.violations.len() as u64;
            report.crashes += u64::from(simulation.gateways[ix].is_alive && !process.is_running());
            process
                .violations
                .iter()
                .for_each(|line| eprintln!("{}: {line}", gateway.name));
        }
        let spent = |name: &str| gateway.counters.get(name).copied().unwrap_or(0);
        report.forwarded += spent("handed_over");
        report.forwards_refused += spent("refused");
        report.forwards_succeeded += spent("settled_there");
        report.traffic_moves += spent("moves");
    }
    let of = |w: &[(Timestamp, Vec<f64>, usize)], g: usize| w[1].1[g] - w[0].1[g];
    for w in harness.usage_samples.windows(2) {
        let ticks: f64 = (0..harness.gateways.len()).map(|g| of(w, g)).sum();
        report
            .processor_time_per_request_by_span
            .push(ticks / (w[1].2 - w[0].2).max(1) as f64);
        let of_gateway = |g: usize| {
            let txns = simulation.requests[w[0].2..w[1].2]
                .iter()
                .filter(|t| t.gateway.is_some_and(|(at, _)| at == g));
            (of(w, g), txns.count())
        };
        report
            .usage_by_span
            .push((0..harness.gateways.len()).map(of_gateway).collect());
    }
    for (g, gateway) in harness.gateways.iter().enumerate() {
        let of_it = simulation
            .requests
            .iter()
            .filter(|t| t.gateway.is_some_and(|(at, _)| at == g));
        let (mut all, mut late, mut took) = (0_u64, 0_u64, Vec::new());
        for (answer, at, asked) in of_it.filter_map(|t| t.answer.map(|(a, at)| (a, at, t.sent_at)))
        {
            all += 1;
            late += u64::from(answer != Answer::Succeeded || at - asked > LATENCY_OBJECTIVE);
            took.push((at - asked).as_seconds() * 1000.0);
        }
        took.sort_by(f64::total_cmp);
        let p99 = took.get(took.len() * 99 / 100).copied().unwrap_or(0.0);
        let used = gateway
            .process
            .as_ref()
            .map_or(0.0, |p| p.resource_usage().memory_mb);
        report
            .gateway_summaries
            .push((late as f64 / all.max(1) as f64, p99, used));
    }
    if scenario.collector.is_some() {
        for gateway in &mut harness.gateways {
            if let Some(process) = &mut gateway.process {
                report
                    .flow_export_log
                    .extend(process.shut_down().map_err(|error| error.to_string())?);
            }
        }
    }
    let trip = send_command(&harness.control_socket(0), "status")
        .and_then(|s| s["members"][0]["round_trip_ms"].as_f64());
    report.round_trip_ms = trip.unwrap_or(0.0);
    report.memory_mb = memory;
    report.processor_time_per_request_us /= report.accepted.max(1) as f64;
    Ok(report)
}

fn world_relay(simulation: &mut Simulation, ix: usize) -> Result<(usize, SocketAddr), String> {
    Ok((
        ix,
        simulation
            .add_relay(ix % 2)
            .map_err(|error| error.to_string())?,
    ))
}
