//! The command line: runs one sub-command and prints its report as one JSON line.

mod arguments;

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Args, ParseFailure};
use indicatif::{ProgressBar, ProgressDrawTarget};
use serde::Serialize;
use thiserror::Error;

use crate::collector::{CollectorTransport, UnknownTransport};
use crate::{admission, core, duties, elimination, fleet, flows, membership, sites, soak};
use arguments::{
    command_line, AdmissionArguments, CollectorArguments, Command, CoreArguments, CostArguments,
    DutiesArguments, EliminationArguments, FleetArguments, FlowsArguments, MembershipArguments,
    SitesArguments, SoakArguments,
};

const EXIT_VIOLATED_PROPERTY: u8 = 1;
const EXIT_BAD_USAGE: u8 = 2;
const HELP_COLUMNS: usize = 100;
/// Steps of the progress bar where progress is a ratio.
const RATIO_STEPS: f64 = 1000.0;
const MEMBERSHIP_STEPS: u64 = 30;
const SMALLEST_FLEET: usize = 3;
const MOST_SOAK_GATEWAYS: usize = 20;
const SHORTEST_LEASE_MS: u32 = 100;
/// Heartbeats of a lease.
const HEARTBEATS_PER_LEASE: u32 = 4;

/// Why a sub-command ends without a report.
#[derive(Debug, Error)]
enum CliError {
    #[error("--seeds is above 0, --gateways from 1 to {most_gateways}")]
    AdmissionRange { most_gateways: usize },
    #[error("--loss is from 0 to 1; --seconds, --rate, --gateways and --servers are above 0")]
    SitesRange,
    #[error("--gateways is 3 or more, --lease 100 or more, --seconds and --rate above 0")]
    FleetRange,
    #[error("--seeds is 1 or more")]
    SoakSeeds,
    #[error("--gateways is from 1 to {MOST_SOAK_GATEWAYS}")]
    SoakGateways,
    #[error("--seconds is {shortest} or more: a shutdown and the start anew take that long", shortest = soak::plan::SHORTEST_RUN.as_secs())]
    SoakSeconds,
    #[error("--form is ipfix, or v9 with --road udp")]
    WireFormat,
    #[error(transparent)]
    Transport(#[from] UnknownTransport),
    #[error("{0}")]
    Run(String),
    #[error(transparent)]
    Report(#[from] serde_json::Error),
}

/// Whether all properties hold.
type Verdict = Result<bool, CliError>;

/// Runs the sub-command that the process's arguments name. Exit code 0 if every property holds, 1 if one does not, 2 if
/// the run is not possible as asked.
pub fn run() -> ExitCode {
    let command = match command_line().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report_parse_failure(failure),
    };
    match run_command(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATED_PROPERTY),
        Err(error) => {
            let message = error.to_string().replace('\n', " ");
            eprintln!("harrierdock-fault-injection: {message}");
            ExitCode::from(EXIT_BAD_USAGE)
        }
    }
}

/// Prints help, or what is wrong with the arguments.
fn report_parse_failure(failure: ParseFailure) -> ExitCode {
    failure.print_message(HELP_COLUMNS);
    if failure.exit_code() == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_BAD_USAGE)
    }
}

fn run_command(command: Command) -> Verdict {
    match command {
        Command::Core(arguments) => run_core(&arguments),
        Command::Admission(arguments) => run_admission(&arguments),
        Command::Sites(arguments) => run_sites(&arguments),
        Command::Cost(arguments) => run_cost(&arguments),
        Command::Flows(arguments) => run_flows(arguments),
        Command::Collector(arguments) => run_collector(&arguments),
        Command::Fleet(arguments) => run_fleet(arguments),
        Command::Duties(arguments) => run_duties(&arguments),
        Command::Elimination(arguments) => run_elimination(&arguments),
        Command::Soak(arguments) => run_soak(&arguments),
        Command::Membership(arguments) => run_membership(&arguments),
    }
}

fn run_core(arguments: &CoreArguments) -> Verdict {
    let bar = progress_bar(arguments.seeds);
    let report = core::run_seeds(
        arguments.seed,
        arguments.seeds,
        arguments.gateways.max(1),
        |_| bar.inc(1),
    );
    print_report(&report, report.ok)
}

fn run_admission(arguments: &AdmissionArguments) -> Verdict {
    let most_gateways = admission::MOST_GATEWAYS;
    if arguments.seeds == 0 || !(1..=most_gateways).contains(&arguments.gateways) {
        return Err(CliError::AdmissionRange { most_gateways });
    }
    let bar = progress_bar(arguments.seeds);
    let report = admission::play(
        arguments.seed,
        arguments.seeds,
        arguments.gateways,
        arguments.fault,
        |played| bar.set_position(played),
    );
    print_report(&report, report.ok)
}

fn run_sites(arguments: &SitesArguments) -> Verdict {
    if !(0.0..=1.0).contains(&arguments.loss_ratio)
        || arguments.seconds <= 0.0
        || arguments.requests_per_second <= 0.0
        || arguments.gateways == 0
        || arguments.endpoints == 0
    {
        return Err(CliError::SitesRange);
    }
    let scenario = sites::Scenario {
        seed: arguments.seed,
        duration_seconds: arguments.seconds,
        kill: arguments.kill,
        endpoints_only: arguments.endpoints_only,
        restore_after_seconds: arguments.restart_after_seconds,
        loss_ratio: arguments.loss_ratio,
        is_one_way: arguments.one_way,
        cut: arguments.cut,
        drain: arguments.drain,
        rolling_restart_second: arguments.rolling_restart_second,
        gateways_per_site: arguments.gateways,
        endpoints_per_site: arguments.endpoints,
        requests_per_second: arguments.requests_per_second,
        first_site_load_ratio: arguments.skew,
        shares_idempotency_group: !arguments.separate_idempotency_groups,
        ..sites::Scenario::default()
    };
    let report = sites::play(&scenario, ratio_progress())
        .map_err(|error| CliError::Run(error.to_string()))?;
    print_report(&report, report.ok)
}

fn run_cost(arguments: &CostArguments) -> Verdict {
    let report = sites::measure_forwarding_cost(
        arguments.seed,
        arguments.periods.max(1),
        arguments.requests_per_second.max(1.0),
        ratio_progress(),
    )
    .map_err(|error| CliError::Run(error.to_string()))?;
    print_report(&report, report.ok)
}

fn run_flows(arguments: FlowsArguments) -> Verdict {
    let transport: CollectorTransport = arguments.transport.parse()?;
    let is_possible = match arguments.wire_format.as_str() {
        "ipfix" => true,
        "v9" => transport == CollectorTransport::Udp,
        _ => false,
    };
    if !is_possible {
        return Err(CliError::WireFormat);
    }
    let scenario = flows::Scenario {
        seed: arguments.seed,
        duration_seconds: arguments.seconds,
        wire_format: arguments.wire_format,
        transport,
        collector_outage: arguments.collector_outage,
        is_collector_slow: arguments.slow_collector,
        renames_endpoints: arguments.churn,
        has_surge: arguments.surge,
        failure_ratio: arguments.failure_ratio,
        loss_ratio: arguments.loss_ratio,
        requests_per_second: arguments.requests_per_second,
        output_folder: arguments.output_folder,
    };
    let report = flows::run_scenario(&scenario, ratio_progress()).map_err(CliError::Run)?;
    print_report(&report, report.ok)
}

fn run_collector(arguments: &CollectorArguments) -> Verdict {
    flows::run_standalone_collector(
        arguments.listen,
        arguments.transport.parse()?,
        arguments.seconds,
        arguments.csv.as_deref(),
        arguments.parquet.as_deref(),
    )
    .map_err(CliError::Run)?;
    Ok(true)
}

fn run_fleet(arguments: FleetArguments) -> Verdict {
    if arguments.gateways < SMALLEST_FLEET
        || arguments.seconds <= 0.0
        || arguments.requests_per_second <= 0.0
        || arguments.lease_ms < SHORTEST_LEASE_MS
    {
        return Err(CliError::FleetRange);
    }
    let day = fleet::Day {
        seed: arguments.seed,
        gateways: arguments.gateways,
        seconds: arguments.seconds,
        faults: arguments.faults,
        rate: arguments.requests_per_second,
        lease_ms: arguments.lease_ms,
        heartbeat_ms: arguments.lease_ms / HEARTBEATS_PER_LEASE,
        off: arguments.without_leases,
        ..fleet::Day::default()
    };
    let report =
        fleet::play(&day, ratio_progress()).map_err(|error| CliError::Run(error.to_string()))?;
    print_report(&report, report.ok)
}

fn run_duties(arguments: &DutiesArguments) -> Verdict {
    let bar = progress_bar(arguments.seeds);
    let report = duties::play(arguments.seed, arguments.seeds, arguments.gateways, || {
        bar.inc(1)
    });
    print_report(&report, report.ok)
}

/// Prints the tables for people; a share of wrong verdicts is a finding and no broken property.
fn run_elimination(arguments: &EliminationArguments) -> Verdict {
    let settings = elimination::ModelSettings::all_rows(arguments.seed, arguments.draws);
    let bar = progress_bar(settings.steps() as u64);
    let rules = elimination::rules::compared_rules();
    let report = elimination::play(&settings, &rules, || bar.inc(1));
    bar.finish_and_clear();
    eprint!("{}", report.table());
    print_report(&report, true)
}

fn run_soak(arguments: &SoakArguments) -> Verdict {
    if arguments.seeds == 0 {
        return Err(CliError::SoakSeeds);
    }
    if !(1..=MOST_SOAK_GATEWAYS).contains(&arguments.gateways) {
        return Err(CliError::SoakGateways);
    }
    let shortest = soak::plan::SHORTEST_RUN;
    let duration = Duration::try_from_secs_f64(arguments.seconds).unwrap_or_default();
    if duration < shortest {
        return Err(CliError::SoakSeconds);
    }
    let mut all_hold = true;
    for seed in arguments.seed..arguments.seed.saturating_add(arguments.seeds) {
        let settings = soak::SoakSettings {
            seed,
            gateways: arguments.gateways,
            duration,
        };
        let report = soak::play(&settings).map_err(|error| CliError::Run(error.to_string()))?;
        all_hold &= print_report(&report, report.ok)?;
    }
    Ok(all_hold)
}

fn run_membership(arguments: &MembershipArguments) -> Verdict {
    let bar = progress_bar(MEMBERSHIP_STEPS);
    let report = membership::run_simulations(
        arguments.gateways.max(1),
        arguments.seed,
        arguments.bound_rounds,
        || bar.inc(1),
    );
    print_report(&report, report.ok)
}

fn print_report(report: &impl Serialize, all_properties_hold: bool) -> Verdict {
    println!("{}", serde_json::to_string(report)?);
    Ok(all_properties_hold)
}

fn progress_bar(length: u64) -> ProgressBar {
    ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::stderr())
}

/// Shows progress given as a ratio from 0 to 1.
fn ratio_progress() -> impl FnMut(f64) {
    let bar = progress_bar(RATIO_STEPS as u64);
    move |ratio| bar.set_position((ratio * RATIO_STEPS) as u64)
}
