//! The sub-commands and their switches.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::admission;
use crate::fleet::faults::Fault;
use crate::schedule::{Outage, SiteTime};

// Comments on these types are plain ones: a documentation comment becomes part of the help.

/// Rehearses bad days on loopback.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command_line))]
pub(super) enum Command {
    /// Two sites without sockets, in simulated time: letters lost, cuts, kills, drains, by the seed.
    #[bpaf(command)]
    Core(#[bpaf(external(core_arguments))] CoreArguments),
    /// Admission in simulated time: the same days in four ways, by priority weight against a dispatcher that sees all queues.
    #[bpaf(command)]
    Admission(#[bpaf(external(admission_arguments))] AdmissionArguments),
    /// Two sites with built gateways on sockets: kills, cuts, losses, drains; then the same with the link off.
    #[bpaf(command)]
    Sites(#[bpaf(external(sites_arguments))] SitesArguments),
    /// What a crossing costs beside a request served at home, on sockets, in one run.
    #[bpaf(command)]
    Cost(#[bpaf(external(cost_arguments))] CostArguments),
    /// Flow export with built gateways: every other one exports, so that the cost shows in one run.
    #[bpaf(command)]
    Flows(#[bpaf(external(flows_arguments))] FlowsArguments),
    /// A collector by itself: takes IPFIX and NetFlow v9 and prints what it has counted, as JSON, each second.
    #[bpaf(command)]
    Collector(#[bpaf(external(collector_arguments))] CollectorArguments),
    /// One fleet of built gateways that share duties: stalls, kills, cuts, restarts between them, by the seed.
    #[bpaf(command)]
    Fleet(#[bpaf(external(fleet_arguments))] FleetArguments),
    /// Duties of one fleet without sockets, in simulated time: kills, stalls, cuts, skewed clocks, by the seed.
    #[bpaf(command)]
    Duties(#[bpaf(external(duties_arguments))] DutiesArguments),
    /// Rollouts without sockets: how often a good build is eliminated and how soon a bad one is, by rule.
    #[bpaf(command)]
    Elimination(#[bpaf(external(elimination_arguments))] EliminationArguments),
    /// Restarts of built gateways under clients that use open connections until the kill, by the seed.
    #[bpaf(command)]
    Soak(#[bpaf(external(soak_arguments))] SoakArguments),
    /// Membership without sockets: rounds and bytes until a change is known to all, at 0, 10 and 30% loss.
    #[bpaf(command)]
    Membership(#[bpaf(external(membership_arguments))] MembershipArguments),
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct CoreArguments {
    /// The first seed
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How many seeds are played
    #[bpaf(long("seeds"), argument("N"), fallback(100))]
    pub(super) seeds: u64,
    /// Gateways a site
    #[bpaf(long("gateways"), argument("N"), fallback(3))]
    pub(super) gateways: usize,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct AdmissionArguments {
    /// The first seed
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How many days are played
    #[bpaf(long("seeds"), argument("N"), fallback(10))]
    pub(super) seeds: u64,
    #[bpaf(long("gateways"), argument("G"), fallback(24))]
    pub(super) gateways: usize,
    /// surge, kill-most or cut; the last two with a surge
    #[bpaf(long("fault"), argument("KIND"), fallback(admission::Fault::Surge))]
    pub(super) fault: admission::Fault,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct SitesArguments {
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How long clients come
    #[bpaf(long("seconds"), argument("S"), fallback(20.0))]
    pub(super) seconds: f64,
    /// Kill all gateways and servers of a site
    #[bpaf(long("kill"), argument("A|B@T"))]
    pub(super) kill: Option<SiteTime>,
    /// Kill its servers only
    #[bpaf(long("servers-only"))]
    pub(super) endpoints_only: bool,
    /// The killed site is back, cold, so much later
    #[bpaf(long("back-after"), argument("S"))]
    pub(super) restart_after_seconds: Option<f64>,
    /// The part of the link's datagrams that is lost
    #[bpaf(long("loss"), argument("P"), fallback(0.0))]
    pub(super) loss_ratio: f64,
    /// Nothing passes from site A to site B
    #[bpaf(long("one-way"))]
    pub(super) one_way: bool,
    /// The link is cut for a while
    #[bpaf(long("cut"), argument("T+S"))]
    pub(super) cut: Option<Outage>,
    /// A site is drained by hand, and half of its servers by discovery
    #[bpaf(long("drain"), argument("A|B@T"))]
    pub(super) drain: Option<SiteTime>,
    /// Gateways are killed and started again, one after another
    #[bpaf(long("rolling"), argument("T"))]
    pub(super) rolling_restart_second: Option<f64>,
    /// Gateways a site
    #[bpaf(long("gateways"), argument("G"), fallback(2))]
    pub(super) gateways: usize,
    /// Servers a site
    #[bpaf(long("servers"), argument("K"), fallback(4))]
    pub(super) endpoints: usize,
    /// Requests a second that come to each site
    #[bpaf(long("rate"), argument("R"), fallback(150.0))]
    pub(super) requests_per_second: f64,
    /// How many times as many come to site A
    #[bpaf(long("skew"), argument("X"), fallback(1.0))]
    pub(super) skew: f64,
    /// Each site's servers drop the repeats of payments for themselves
    #[bpaf(long("no-span"))]
    pub(super) separate_idempotency_groups: bool,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct CostArguments {
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How often the site is drained and comes home (17 s each)
    #[bpaf(long("periods"), argument("N"), fallback(4))]
    pub(super) periods: usize,
    /// Requests a second that come to each site
    #[bpaf(long("rate"), argument("R"), fallback(150.0))]
    pub(super) requests_per_second: f64,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct FlowsArguments {
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How long clients come
    #[bpaf(long("seconds"), argument("S"), fallback(20.0))]
    pub(super) seconds: f64,
    /// ipfix or v9
    #[bpaf(long("form"), argument("FORM"), fallback("ipfix".into()))]
    pub(super) wire_format: String,
    /// udp, tcp or tls
    #[bpaf(long("road"), argument("ROAD"), fallback("tcp".into()))]
    pub(super) transport: String,
    /// The collector is away for a while
    #[bpaf(long("collector-down"), argument("T+S"))]
    pub(super) collector_outage: Option<Outage>,
    /// The collector reads one octet a second
    #[bpaf(long("slow"))]
    pub(super) slow_collector: bool,
    /// Servers change their names four times a second, and their builds now and then
    #[bpaf(long("churn"))]
    pub(super) churn: bool,
    /// One gateway jumps from a hundredth of its site's traffic to a fifth
    #[bpaf(long("surge"))]
    pub(super) surge: bool,
    /// The part of requests that a build fails which half of the servers get at a third of the time
    #[bpaf(long("bad"), argument("P"), fallback(0.0))]
    pub(super) failure_ratio: f64,
    /// The part of datagrams that the collector loses
    #[bpaf(long("loss"), argument("P"), fallback(0.0))]
    pub(super) loss_ratio: f64,
    /// Requests a second that come to each site
    #[bpaf(long("rate"), argument("R"), fallback(150.0))]
    pub(super) requests_per_second: f64,
    /// A folder for each exporting gateway's file of flows, and the collector's tables
    #[bpaf(long("keep"), argument("FOLDER"))]
    pub(super) output_folder: Option<PathBuf>,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct CollectorArguments {
    /// udp or tcp
    #[bpaf(long("road"), argument("ROAD"), fallback("udp".into()))]
    pub(super) transport: String,
    /// How long it runs
    #[bpaf(long("seconds"), argument("S"), fallback(60.0))]
    pub(super) seconds: f64,
    /// Where it writes the records it got: a CSV file
    #[bpaf(long("csv"), argument("FILE"))]
    pub(super) csv: Option<PathBuf>,
    /// The same as a Parquet file
    #[bpaf(long("parquet"), argument("FILE"))]
    pub(super) parquet: Option<PathBuf>,
    /// Where it listens; the system's choice of a port by default
    #[bpaf(long("listen"), argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub(super) listen: SocketAddr,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct FleetArguments {
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    #[bpaf(long("gateways"), argument("G"), fallback(5))]
    pub(super) gateways: usize,
    /// How long clients come
    #[bpaf(long("seconds"), argument("S"), fallback(12.0))]
    pub(super) seconds: f64,
    /// A fault, as stall@2+3: stall, kill, kill-most, cut, cut-half, cut-one-way, slow, skew, restart, mixed.
    /// Two or three are drawn by the seed where none is named
    #[bpaf(long("fault"), argument("KIND@T+D"))]
    pub(super) faults: Vec<Fault>,
    /// Requests a second
    #[bpaf(long("rate"), argument("R"), fallback(60.0))]
    pub(super) requests_per_second: f64,
    /// The duties' lease in milliseconds; a quarter of it is the heartbeat
    #[bpaf(long("lease"), argument("MS"), fallback(1000))]
    pub(super) lease_ms: u32,
    /// No fleet is told: the same day without it
    #[bpaf(long("off"))]
    pub(super) without_leases: bool,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct DutiesArguments {
    /// The first seed
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How many seeds are played
    #[bpaf(long("seeds"), argument("N"), fallback(100))]
    pub(super) seeds: u64,
    /// Gateways of the fleet, five at the least
    #[bpaf(long("gateways"), argument("G"), fallback(5))]
    pub(super) gateways: usize,
}

/// Draws of good and of bad builds in each row, where the command line names none.
const DEFAULT_ELIMINATION_DRAWS: NonZeroUsize = NonZeroUsize::new(100).unwrap();

#[derive(Bpaf, Clone, Debug)]
pub(super) struct EliminationArguments {
    #[bpaf(long("seed"), argument("S"), fallback(1))]
    pub(super) seed: u64,
    /// Draws of good builds, and as many of bad ones, for each size of fleet and number of bad endpoints
    #[bpaf(long("draws"), argument("N"), fallback(DEFAULT_ELIMINATION_DRAWS))]
    pub(super) draws: NonZeroUsize,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct MembershipArguments {
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// Gateways a site
    #[bpaf(long("gateways"), argument("N"), fallback(200))]
    pub(super) gateways: usize,
    /// Rounds within which one gateway's change must be known to all
    #[bpaf(long("bound"), argument("ROUNDS"), fallback(20))]
    pub(super) bound_rounds: usize,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct SoakArguments {
    /// The first seed
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How many seeds are played, one after another
    #[bpaf(long("seeds"), argument("K"), fallback(1))]
    pub(super) seeds: u64,
    /// Gateways
    #[bpaf(long("gateways"), argument("G"), fallback(3))]
    pub(super) gateways: usize,
    /// How long clients come
    #[bpaf(long("seconds"), argument("S"), fallback(9.0))]
    pub(super) seconds: f64,
}
