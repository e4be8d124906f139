//! Plays a scenario once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use calloop::EventLoop;
use harrierdock_event_loop::{BufferPool, DescriptorBudget, IoContext};
use harrierdock_types::{TimeDelta, Timestamp};

use super::harness::{say, Gateway, Stage};
use super::keys::make_keys;
use super::report::Report;
use super::rules::judge;
use super::scenario::Day;
use crate::gateway_process::gateway_program;
use crate::simulation::{
    Answer, GatewayTarget, ScenarioStep, Simulation, TimerEvent, LATENCY_OBJECTIVE,
};
use crate::stand_ins::{discovery_server, Trace};

fn folder(day: &Day, linked: bool) -> Result<PathBuf, String> {
    let name = format!(
        "harrierdock-fault-injection-{}-{}-{}",
        std::process::id(),
        day.seed,
        u8::from(linked)
    );
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    Ok(folder)
}

/// Plays a day once, with the link or without.
pub fn once(day: &Day, linked: bool, progress: &mut dyn FnMut(f64)) -> Result<Report, String> {
    let folder = folder(day, linked)?;
    let played = on_stage(day, linked, &folder, progress);
    if played.is_ok() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    played
}

fn on_stage(
    day: &Day,
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
    let mut simulation = Simulation::new(net, day.seed, day.spans);
    simulation.requests_per_second = [day.rate * day.skew, day.rate];
    let mut stage = Stage {
        folder: folder.into(),
        program: gateway_program().map_err(|error| error.to_string())?,
        gateways: Vec::new(),
        fronts: Vec::new(),
        linked,
        revision: 1,
        churned: 0,
        day: day.clone(),
        marks: Vec::new(),
    };
    for ix in 0..2 * day.servers {
        simulation
            .add_endpoint(ix % 2)
            .map_err(|error| error.to_string())?;
    }
    for ix in 0..2 * day.gateways {
        let (discovery, say) = discovery_server(&Trace::default());
        let name = format!("{}{}", ["h", "l"][ix % 2], ix / 2);
        let (relay, front) = (world_relay(&mut simulation, ix)?, ix % 2);
        stage.fronts.push(relay.1);
        simulation.gateways.push(GatewayTarget {
            site: front,
            address: None,
            incarnation: 0,
            is_alive: false,
            accepts_clients: false,
            weight: 1.0,
        });
        let (process, spent) = (None, BTreeMap::new());
        stage.gateways.push(Gateway {
            name,
            site: ix % 2,
            process,
            relay: Some(relay.0),
            discovery,
            say,
            spent,
        });
    }
    if linked {
        make_keys(&stage.program, folder, &stage.gateways)?;
    }
    for ix in 0..stage.gateways.len() {
        stage.start(&mut simulation, ix)?;
        simulation.gateways[ix].accepts_clients = true;
    }
    // The links come up before clients do.
    let from = simulation.now() + TimeDelta::from_seconds(1.5);
    let at = |second: f64| from + TimeDelta::from_seconds(second);
    let mut steps = vec![
        (at(day.seconds), ScenarioStep::StopRequests),
        (at(day.seconds + 2.5), ScenarioStep::End),
    ];
    if let Some(kill) = day.kill {
        steps.push((
            at(kill.second),
            ScenarioStep::KillSite {
                site: kill.site,
                with_gateways: !day.servers_only,
            },
        ));
        if let Some(after) = day.back_after {
            steps.push((
                at(kill.second + after),
                ScenarioStep::RestoreSite { site: kill.site },
            ));
        }
    }
    if let Some(cut) = day.cut {
        steps.push((
            at(cut.start_second),
            ScenarioStep::SetPathCut { is_cut: true },
        ));
        steps.push((
            at(cut.end_second()),
            ScenarioStep::SetPathCut { is_cut: false },
        ));
    }
    if let Some(drain) = day.drain {
        steps.push((
            at(drain.second),
            ScenarioStep::DrainSite { site: drain.site },
        ));
    }
    if let Some(second) = day.rolling {
        for gateway in 0..stage.gateways.len() {
            steps.push((
                at(second + 1.5 * gateway as f64),
                ScenarioStep::RestartGateway { gateway },
            ));
        }
    }
    steps.extend(
        day.more
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
    ) = (day.loss, day.one_way);
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
            over |= stage.step(&mut simulation, step)?;
        }
        progress((simulation.now() - from).as_seconds() / (day.seconds + 2.5));
    }
    let mut report = judge(day, &simulation, from);
    for ix in 0..stage.gateways.len() {
        stage.count(ix);
        let gateway = &mut stage.gateways[ix];
        if let Some(process) = &mut gateway.process {
            let usage = process.resource_usage();
            memory = memory.max(usage.memory_mb);
            report.cpu_a_txn += usage.processor_time_us;
            process.read_log();
            report.broken_lines += process.violations.len() as u64;
            report.crashes += u64::from(simulation.gateways[ix].is_alive && !process.is_running());
            process
                .violations
                .iter()
                .for_each(|line| eprintln!("{}: {line}", gateway.name));
        }
        let spent = |name: &str| gateway.spent.get(name).copied().unwrap_or(0);
        report.crossed += spent("handed_over");
        report.crossed_refused += spent("refused");
        report.crossed_settled += spent("settled_there");
        report.moves += spent("moves");
    }
    let of = |w: &[(Timestamp, Vec<f64>, usize)], g: usize| w[1].1[g] - w[0].1[g];
    for w in stage.marks.windows(2) {
        let ticks: f64 = (0..stage.gateways.len()).map(|g| of(w, g)).sum();
        report.marked.push(ticks / (w[1].2 - w[0].2).max(1) as f64);
        let of_gateway = |g: usize| {
            let txns = simulation.requests[w[0].2..w[1].2]
                .iter()
                .filter(|t| t.gateway.is_some_and(|(at, _)| at == g));
            (of(w, g), txns.count())
        };
        report
            .by_gateway
            .push((0..stage.gateways.len()).map(of_gateway).collect());
    }
    for (g, gateway) in stage.gateways.iter().enumerate() {
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
            .of_gateways
            .push((late as f64 / all.max(1) as f64, p99, used));
    }
    if day.export.is_some() {
        for gateway in &mut stage.gateways {
            if let Some(process) = &mut gateway.process {
                report
                    .last_lines
                    .extend(process.shut_down().map_err(|error| error.to_string())?);
            }
        }
    }
    let trip =
        say(&stage.control(0), "status").and_then(|s| s["members"][0]["round_trip_ms"].as_f64());
    report.round_trip_ms = trip.unwrap_or(0.0);
    report.memory_mb = memory;
    report.cpu_a_txn /= report.taken.max(1) as f64;
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
