//! The command line: runs one command and prints its report as one JSON line.

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

const EXIT_PROPERTY_VIOLATED: u8 = 1;
const EXIT_BAD_USAGE: u8 = 2;
const HELP_COLUMNS: usize = 100;
/// Steps of a progress bar that shows a ratio.
const RATIO_STEPS: f64 = 1000.0;
/// How often a run of `membership` reports progress: 10 changes at each of 3 loss ratios.
const MEMBERSHIP_STEPS: u64 = 30;
const MIN_FLEET_GATEWAYS: usize = 3;
const MAX_SOAK_GATEWAYS: usize = 20;
const MIN_LEASE_MS: u32 = 100;
/// Heartbeats in the duration of a lease.
const HEARTBEATS_PER_LEASE: u32 = 4;

/// Why a command ends without a report.
#[derive(Debug, Error)]
enum CliError {
    #[error("--seeds must be above 0 and --gateways between 1 and {max_gateways}")]
    AdmissionRange { max_gateways: usize },
    #[error("--loss must be between 0 and 1; --seconds, --rate, --gateways and --servers must be above 0")]
    SitesRange,
    #[error("--gateways must be at least 3 and --lease at least 100; --seconds and --rate must be above 0")]
    FleetRange,
    #[error("--seeds must be at least 1")]
    SoakSeeds,
    #[error("--gateways must be between 1 and {MAX_SOAK_GATEWAYS}")]
    SoakGateways,
    #[error("--seconds must be at least {min_seconds}, the time that a shutdown and a restart take", min_seconds = soak::plan::SHORTEST_RUN.as_secs())]
    SoakSeconds,
    #[error("--form must be ipfix, or v9 with --road udp")]
    WireFormat,
    #[error(transparent)]
    Transport(#[from] UnknownTransport),
    #[error("{0}")]
    Run(String),
    #[error(transparent)]
    Report(#[from] serde_json::Error),
}

/// Whether all properties hold, or why there is no report.
type Verdict = Result<bool, CliError>;

/// Runs the command in the process's arguments. Returns exit code 0 if every property holds, 1 if one doesn't, and 2 if the
/// arguments are wrong or the run fails.
pub fn run() -> ExitCode {
    let command = match command_line().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report_parse_failure(failure),
    };
    match run_command(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_PROPERTY_VIOLATED),
        Err(error) => {
            let message = error.to_string().replace('\n', " ");
            eprintln!("harrierdock-fault-injection: {message}");
            ExitCode::from(EXIT_BAD_USAGE)
        }
    }
}

/// Prints the help, or the error in the arguments.
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
    let max_gateways = admission::MAX_GATEWAYS;
    if arguments.seeds == 0 || !(1..=max_gateways).contains(&arguments.gateways) {
        return Err(CliError::AdmissionRange { max_gateways });
    }
    let bar = progress_bar(arguments.seeds);
    let report = admission::run_seeds(
        arguments.seed,
        arguments.seeds,
        arguments.gateways,
        arguments.fault,
        |completed| bar.set_position(completed),
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
    let report = sites::run_with_and_without_link(&scenario, ratio_progress())
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
    let is_supported = match arguments.wire_format.as_str() {
        "ipfix" => true,
        "v9" => transport == CollectorTransport::Udp,
        _ => false,
    };
    if !is_supported {
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
    if arguments.gateways < MIN_FLEET_GATEWAYS
        || arguments.seconds <= 0.0
        || arguments.requests_per_second <= 0.0
        || arguments.lease_ms < MIN_LEASE_MS
    {
        return Err(CliError::FleetRange);
    }
    let scenario = fleet::Scenario {
        seed: arguments.seed,
        gateways: arguments.gateways,
        duration_seconds: arguments.seconds,
        faults: arguments.faults,
        requests_per_second: arguments.requests_per_second,
        lease_ms: arguments.lease_ms,
        heartbeat_ms: arguments.lease_ms / HEARTBEATS_PER_LEASE,
        without_leases: arguments.without_leases,
        ..fleet::Scenario::default()
    };
    let report = fleet::run_scenario(&scenario, ratio_progress())
        .map_err(|error| CliError::Run(error.to_string()))?;
    print_report(&report, report.ok)
}

fn run_duties(arguments: &DutiesArguments) -> Verdict {
    let bar = progress_bar(arguments.seeds);
    let report = duties::run_seeds(arguments.seed, arguments.seeds, arguments.gateways, || {
        bar.inc(1)
    });
    print_report(&report, report.ok)
}

/// Prints the tables to standard error and the report to standard output. Wrong eliminations are measured, and violate no
/// property.
fn run_elimination(arguments: &EliminationArguments) -> Verdict {
    let settings = elimination::ModelSettings::all_rows(arguments.seed, arguments.draws);
    let bar = progress_bar(settings.steps() as u64);
    let rules = elimination::rules::compared_rules();
    let report = elimination::run_draws(&settings, &rules, || bar.inc(1));
    bar.finish_and_clear();
    eprint!("{}", report.table());
    print_report(&report, true)
}

fn run_soak(arguments: &SoakArguments) -> Verdict {
    if arguments.seeds == 0 {
        return Err(CliError::SoakSeeds);
    }
    if !(1..=MAX_SOAK_GATEWAYS).contains(&arguments.gateways) {
        return Err(CliError::SoakGateways);
    }
    let min_duration = soak::plan::SHORTEST_RUN;
    let duration = Duration::try_from_secs_f64(arguments.seconds).unwrap_or_default();
    if duration < min_duration {
        return Err(CliError::SoakSeconds);
    }
    let mut all_hold = true;
    for seed in arguments.seed..arguments.seed.saturating_add(arguments.seeds) {
        let settings = soak::SoakSettings {
            seed,
            gateways: arguments.gateways,
            duration,
        };
        let report = soak::run_soak(&settings).map_err(|error| CliError::Run(error.to_string()))?;
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

/// Shows a progress bar; the returned function sets it to a ratio from 0 to 1.
fn ratio_progress() -> impl FnMut(f64) {
    let bar = progress_bar(RATIO_STEPS as u64);
    move |ratio| bar.set_position((ratio * RATIO_STEPS) as u64)
}
