//! `harrierdock-fault-injection`: plays bad days against the built gateway, or its deciding parts alone, and ends with
//! one JSON line on standard output. Exit code 0 if every property in it holds, 1 if one does not, 2 for bad
//! usage.

use std::process::ExitCode;

use bpaf::Bpaf;
use harrierdock_fault_injection::collector::Road;
use harrierdock_fault_injection::fleet::faults::Fault;
use harrierdock_fault_injection::sites::{self, At, Cut, Day};
use harrierdock_fault_injection::{admission, core, duties, fleet, flows, membership};
use indicatif::{ProgressBar, ProgressDrawTarget};
use serde::Serialize;

/// Rehearses bad days on loopback.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command_line))]
enum Command {
    /// Two sites without sockets, in simulated time: letters lost, cuts, kills, drains, by the seed.
    #[bpaf(command)]
    Core {
        /// The first seed
        #[bpaf(long("seed"), argument("N"), fallback(1))]
        seed: u64,
        /// How many seeds are played
        #[bpaf(long("seeds"), argument("N"), fallback(100))]
        seeds: u64,
        /// Gateways a site
        #[bpaf(long("gateways"), argument("N"), fallback(3))]
        gateways: usize,
    },
    /// Admission in simulated time: the same days in four ways, by priority weight against a dispatcher that sees all queues.
    #[bpaf(command)]
    Admission {
        /// The first seed
        #[bpaf(long("seed"), argument("N"), fallback(1))]
        seed: u64,
        /// How many days are played
        #[bpaf(long("seeds"), argument("N"), fallback(10))]
        seeds: u64,
        #[bpaf(long("gateways"), argument("G"), fallback(24))]
        gateways: usize,
        /// surge, kill-most or cut; the last two with a surge
        #[bpaf(long("fault"), argument("KIND"), fallback(admission::Fault::Surge))]
        fault: admission::Fault,
    },
    /// Two sites with built gateways on sockets: kills, cuts, losses, drains; then the same with the link off.
    #[bpaf(command)]
    Sites {
        #[bpaf(long("seed"), argument("N"), fallback(1))]
        seed: u64,
        /// How long clients come
        #[bpaf(long("seconds"), argument("S"), fallback(20.0))]
        seconds: f64,
        /// Kill all gateways and servers of a site
        #[bpaf(long("kill"), argument("A|B@T"))]
        kill: Option<At>,
        /// Kill its servers only
        #[bpaf(long("servers-only"))]
        servers_only: bool,
        /// The killed site is back, cold, so much later
        #[bpaf(long("back-after"), argument("S"))]
        back_after: Option<f64>,
        /// The part of the link's datagrams that is lost
        #[bpaf(long("loss"), argument("P"), fallback(0.0))]
        loss: f64,
        /// Nothing passes from site A to site B
        #[bpaf(long("one-way"))]
        one_way: bool,
        /// The link is cut for a while
        #[bpaf(long("cut"), argument("T+S"))]
        cut: Option<Cut>,
        /// A site is drained by hand, and half of its servers by discovery
        #[bpaf(long("drain"), argument("A|B@T"))]
        drain: Option<At>,
        /// Gateways are killed and started again, one after another
        #[bpaf(long("rolling"), argument("T"))]
        rolling: Option<f64>,
        /// Gateways a site
        #[bpaf(long("gateways"), argument("G"), fallback(2))]
        gateways: usize,
        /// Servers a site
        #[bpaf(long("servers"), argument("K"), fallback(4))]
        servers: usize,
        /// Requests a second that come to each site
        #[bpaf(long("rate"), argument("R"), fallback(150.0))]
        rate: f64,
        /// How many times as many come to site A
        #[bpaf(long("skew"), argument("X"), fallback(1.0))]
        skew: f64,
        /// Each site's servers drop the repeats of payments for themselves
        #[bpaf(long("no-span"))]
        no_span: bool,
    },
    /// What a crossing costs beside a request served at home, on sockets, in one run.
    #[bpaf(command)]
    Cost {
        #[bpaf(long("seed"), argument("N"), fallback(1))]
        seed: u64,
        /// How often the site is drained and comes home (17 s each)
        #[bpaf(long("periods"), argument("N"), fallback(4))]
        periods: usize,
        /// Requests a second that come to each site
        #[bpaf(long("rate"), argument("R"), fallback(150.0))]
        rate: f64,
    },
    /// Flow export with built gateways: every other one exports, so that the cost shows in one run.
    #[bpaf(command)]
    Flows {
        #[bpaf(long("seed"), argument("N"), fallback(1))]
        seed: u64,
        /// How long clients come
        #[bpaf(long("seconds"), argument("S"), fallback(20.0))]
        seconds: f64,
        /// ipfix or v9
        #[bpaf(long("form"), argument("FORM"), fallback("ipfix".into()))]
        form: String,
        /// udp, tcp or tls
        #[bpaf(long("road"), argument("ROAD"), fallback("tcp".into()))]
        road: String,
        /// The collector is away for a while
        #[bpaf(long("collector-down"), argument("T+S"))]
        collector_down: Option<Cut>,
        /// The collector reads one octet a second
        #[bpaf(long("slow"))]
        slow: bool,
        /// Servers change their names four times a second, and their builds now and then
        #[bpaf(long("churn"))]
        churn: bool,
        /// One gateway jumps from a hundredth of its site's traffic to a fifth
        #[bpaf(long("surge"))]
        surge: bool,
        /// The part of requests that a build fails which half of the servers get at a third of the time
        #[bpaf(long("bad"), argument("P"), fallback(0.0))]
        bad: f64,
        /// The part of datagrams that the collector loses
        #[bpaf(long("loss"), argument("P"), fallback(0.0))]
        loss: f64,
        /// Requests a second that come to each site
        #[bpaf(long("rate"), argument("R"), fallback(150.0))]
        rate: f64,
        /// A folder for each exporting gateway's file of flows, and the collector's tables
        #[bpaf(long("keep"), argument("FOLDER"))]
        keep: Option<std::path::PathBuf>,
    },
    /// A collector by itself: takes IPFIX and NetFlow v9 and prints what it has counted, as JSON, each second.
    #[bpaf(command)]
    Collector {
        /// udp or tcp
        #[bpaf(long("road"), argument("ROAD"), fallback("udp".into()))]
        road: String,
        /// How long it runs
        #[bpaf(long("seconds"), argument("S"), fallback(60.0))]
        seconds: f64,
        /// Where it writes the records it got: a CSV file
        #[bpaf(long("csv"), argument("FILE"))]
        csv: Option<std::path::PathBuf>,
        /// The same as a Parquet file
        #[bpaf(long("parquet"), argument("FILE"))]
        parquet: Option<std::path::PathBuf>,
        /// Where it listens; the system's choice of a port by default
        #[bpaf(long("listen"), argument("ADDRESS"), fallback("127.0.0.1:0".parse().expect("an address")))]
        listen: std::net::SocketAddr,
    },
    /// One fleet of built gateways that share duties: stalls, kills, cuts, restarts between them, by the seed.
    #[bpaf(command)]
    Fleet {
        #[bpaf(long("seed"), argument("N"), fallback(1))]
        seed: u64,
        #[bpaf(long("gateways"), argument("G"), fallback(5))]
        gateways: usize,
        /// How long clients come
        #[bpaf(long("seconds"), argument("S"), fallback(12.0))]
        seconds: f64,
        /// A fault, as stall@2+3: stall, kill, kill-most, cut, cut-half, cut-one-way, slow, skew, restart, mixed.
        /// Two or three are drawn by the seed where none is named
        #[bpaf(long("fault"), argument("KIND@T+D"))]
        fault: Vec<Fault>,
        /// Requests a second
        #[bpaf(long("rate"), argument("R"), fallback(60.0))]
        rate: f64,
        /// The duties' lease in milliseconds; a quarter of it is the heartbeat
        #[bpaf(long("lease"), argument("MS"), fallback(1000))]
        lease: u32,
        /// No fleet is told: the same day without it
        #[bpaf(long("off"))]
        off: bool,
    },
    /// Duties of one fleet without sockets, in simulated time: kills, stalls, cuts, skewed clocks, by the seed.
    #[bpaf(command)]
    Duties {
        /// The first seed
        #[bpaf(long("seed"), argument("N"), fallback(1))]
        seed: u64,
        /// How many seeds are played
        #[bpaf(long("seeds"), argument("N"), fallback(100))]
        seeds: u64,
        /// Gateways of the fleet, five at the least
        #[bpaf(long("gateways"), argument("G"), fallback(5))]
        gateways: usize,
    },
    /// Membership without sockets: rounds and bytes until a change is known to all, at 0, 10 and 30% loss.
    #[bpaf(command)]
    Membership {
        #[bpaf(long("seed"), argument("N"), fallback(1))]
        seed: u64,
        /// Gateways a site
        #[bpaf(long("gateways"), argument("N"), fallback(200))]
        gateways: usize,
        /// Rounds within which one gateway's change must be known to all
        #[bpaf(long("bound"), argument("ROUNDS"), fallback(20))]
        bound: usize,
    },
}

fn end(found: &impl Serialize, ok: bool) -> Result<bool, String> {
    println!(
        "{}",
        serde_json::to_string(found).map_err(|e| e.to_string())?
    );
    Ok(ok)
}

fn bar(length: u64) -> ProgressBar {
    ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::stderr())
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Core {
            seed,
            seeds,
            gateways,
        } => {
            let bar = bar(seeds);
            let found = core::play(seed, seeds, gateways.max(1), |_| bar.inc(1));
            end(&found, found.ok)
        }
        Command::Admission {
            seed,
            seeds,
            gateways,
            fault,
        } => {
            if seeds == 0 || !(1..=admission::MOST_GATEWAYS).contains(&gateways) {
                return Err(format!(
                    "--seeds is above 0, --gateways from 1 to {}",
                    admission::MOST_GATEWAYS
                ));
            }
            let bar = bar(seeds);
            let found = admission::play(seed, seeds, gateways, fault, |n| bar.set_position(n));
            end(&found, found.ok)
        }
        Command::Sites {
            seed,
            seconds,
            kill,
            servers_only,
            back_after,
            loss,
            one_way,
            cut,
            drain,
            rolling,
            gateways,
            servers,
            rate,
            skew,
            no_span,
        } => {
            let spans = !no_span;
            let day = Day {
                seed,
                seconds,
                kill,
                servers_only,
                back_after,
                loss,
                one_way,
                cut,
                drain,
                rolling,
                gateways,
                servers,
                rate,
                skew,
                spans,
                ..Day::default()
            };
            if !(0.0..=1.0).contains(&loss)
                || seconds <= 0.0
                || rate <= 0.0
                || gateways == 0
                || servers == 0
            {
                return Err(
                    "--loss is from 0 to 1; --seconds, --rate, --gateways and --servers are above 0".into()
                );
            }
            let bar = bar(1000);
            let found = sites::play(&day, |part| bar.set_position((part * 1000.0) as u64))?;
            end(&found, found.ok)
        }
        Command::Cost {
            seed,
            periods,
            rate,
        } => {
            let bar = bar(1000);
            let found = sites::cost(seed, periods.max(1), rate.max(1.0), |part| {
                bar.set_position((part * 1000.0) as u64)
            })?;
            end(&found, found.ok)
        }
        Command::Flows {
            seed,
            seconds,
            form,
            road,
            collector_down,
            slow,
            churn,
            surge,
            bad,
            loss,
            rate,
            keep,
        } => {
            let road = road.parse()?;
            if !["ipfix", "v9"].contains(&form.as_str()) || (form == "v9" && road != Road::Udp) {
                return Err("--form is ipfix, or v9 with --road udp".into());
            }
            let day = flows::Day {
                seed,
                seconds,
                form,
                road,
                collector_down,
                slow,
                churn,
                surge,
                bad,
                loss,
                rate,
                keep,
            };
            let bar = bar(1000);
            let found = flows::play(&day, |part| bar.set_position((part * 1000.0) as u64))?;
            end(&found, found.ok)
        }
        Command::Collector {
            road,
            seconds,
            csv,
            parquet,
            listen,
        } => {
            flows::collect(
                listen,
                road.parse()?,
                seconds,
                csv.as_deref(),
                parquet.as_deref(),
            )?;
            Ok(true)
        }
        Command::Fleet {
            seed,
            gateways,
            seconds,
            fault,
            rate,
            lease,
            off,
        } => {
            if gateways < 3 || seconds <= 0.0 || rate <= 0.0 || lease < 100 {
                return Err(
                    "--gateways is 3 or more, --lease 100 or more, --seconds and --rate above 0"
                        .into(),
                );
            }
            let (faults, heartbeat_ms) = (fault, lease / 4);
            let day = fleet::Day {
                seed,
                gateways,
                seconds,
                faults,
                rate,
                lease_ms: lease,
                heartbeat_ms,
                off,
                ..Default::default()
            };
            let bar = bar(1000);
            let found = fleet::play(&day, |part| bar.set_position((part * 1000.0) as u64))?;
            end(&found, found.ok)
        }
        Command::Duties {
            seed,
            seeds,
            gateways,
        } => {
            let bar = bar(seeds);
            let found = duties::play(seed, seeds, gateways, || bar.inc(1));
            end(&found, found.ok)
        }
        Command::Membership {
            seed,
            gateways,
            bound,
        } => {
            let bar = bar(30);
            let found = membership::play(gateways.max(1), seed, bound, || bar.inc(1));
            end(&found, found.ok)
        }
    }
}

fn main() -> ExitCode {
    match run(command_line().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("harrierdock-fault-injection: {}", e.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}
