//! The sub-commands and their switches.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::admission;
use crate::fleet::faults::Fault;
use crate::schedule::{Outage, SiteTime};

// bpaf prints doc comments as help texts, so other comments in this file are plain comments.

/// Injects failures into gateways on loopback, or into simulations, and checks the rules that must hold.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command_line))]
pub(super) enum Command {
    /// Two sites without sockets, in simulated time: message loss, cuts, kills and drains drawn from the seed.
    #[bpaf(command)]
    Core(#[bpaf(external(core_arguments))] CoreArguments),
    /// Admission in simulated time: compares three policies with a dispatcher that sees all queues, by the priority weight served.
    #[bpaf(command)]
    Admission(#[bpaf(external(admission_arguments))] AdmissionArguments),
    /// Two sites with built gateways on sockets: kills, cuts, loss and drains; then the same scenario without the link.
    #[bpaf(command)]
    Sites(#[bpaf(external(sites_arguments))] SitesArguments),
    /// Cost of a forwarded request compared with a request served at its own site, on sockets, in one run.
    #[bpaf(command)]
    Cost(#[bpaf(external(cost_arguments))] CostArguments),
    /// Flow export with built gateways: every other gateway exports, so that one run shows the cost of export.
    #[bpaf(command)]
    Flows(#[bpaf(external(flows_arguments))] FlowsArguments),
    /// Standalone collector: receives IPFIX and NetFlow v9, and prints its counts as JSON each second.
    #[bpaf(command)]
    Collector(#[bpaf(external(collector_arguments))] CollectorArguments),
    /// One fleet of built gateways that share leases: stalls, kills, cuts and restarts drawn from the seed.
    #[bpaf(command)]
    Fleet(#[bpaf(external(fleet_arguments))] FleetArguments),
    /// Leases of one fleet without sockets, in simulated time: kills, stalls, cuts and clock skew drawn from the seed.
    #[bpaf(command)]
    Duties(#[bpaf(external(duties_arguments))] DutiesArguments),
    /// Rollouts without sockets: how often each rule eliminates a good build, and how soon a bad one.
    #[bpaf(command)]
    Elimination(#[bpaf(external(elimination_arguments))] EliminationArguments),
    /// Restarts of built gateways, drawn from the seed, under clients that use their connections until the kill.
    #[bpaf(command)]
    Soak(#[bpaf(external(soak_arguments))] SoakArguments),
    /// Membership without sockets: rounds and bytes until all gateways know a change, at 0, 10 and 30% loss.
    #[bpaf(command)]
    Membership(#[bpaf(external(membership_arguments))] MembershipArguments),
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct CoreArguments {
    /// The first seed
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// Number of seeds to run
    #[bpaf(long("seeds"), argument("N"), fallback(100))]
    pub(super) seeds: u64,
    /// Gateways per site
    #[bpaf(long("gateways"), argument("N"), fallback(3))]
    pub(super) gateways: usize,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct AdmissionArguments {
    /// The first seed
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// Number of seeds to run
    #[bpaf(long("seeds"), argument("N"), fallback(10))]
    pub(super) seeds: u64,
    /// Number of gateways
    #[bpaf(long("gateways"), argument("G"), fallback(24))]
    pub(super) gateways: usize,
    /// surge, kill-most or cut; kill-most and cut include a surge
    #[bpaf(long("fault"), argument("KIND"), fallback(admission::Fault::Surge))]
    pub(super) fault: admission::Fault,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct SitesArguments {
    /// Seed of the random draws
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How long clients send requests, in seconds
    #[bpaf(long("seconds"), argument("S"), fallback(20.0))]
    pub(super) seconds: f64,
    /// Kill all gateways and endpoints of a site
    #[bpaf(long("kill"), argument("A|B@T"))]
    pub(super) kill: Option<SiteTime>,
    /// With --kill: kill the endpoints of the site only
    #[bpaf(long("servers-only"))]
    pub(super) endpoints_only: bool,
    /// With --kill: start the site again, cold, after this many seconds
    #[bpaf(long("back-after"), argument("S"))]
    pub(super) restart_after_seconds: Option<f64>,
    /// Share of the datagrams between the sites that is lost, from 0 to 1
    #[bpaf(long("loss"), argument("P"), fallback(0.0))]
    pub(super) loss_ratio: f64,
    /// Drop all datagrams from site A to site B
    #[bpaf(long("one-way"))]
    pub(super) one_way: bool,
    /// Cut the link at second T for S seconds
    #[bpaf(long("cut"), argument("T+S"))]
    pub(super) cut: Option<Outage>,
    /// Drain a site manually, and half of its endpoints by discovery
    #[bpaf(long("drain"), argument("A|B@T"))]
    pub(super) drain: Option<SiteTime>,
    /// Kill and restart the gateways one after another, from second T on
    #[bpaf(long("rolling"), argument("T"))]
    pub(super) rolling_restart_second: Option<f64>,
    /// Gateways per site
    #[bpaf(long("gateways"), argument("G"), fallback(2))]
    pub(super) gateways: usize,
    /// Endpoints per site
    #[bpaf(long("servers"), argument("K"), fallback(4))]
    pub(super) endpoints: usize,
    /// Requests per second at each site
    #[bpaf(long("rate"), argument("R"), fallback(150.0))]
    pub(super) requests_per_second: f64,
    /// Requests at site A as a multiple of those at site B
    #[bpaf(long("skew"), argument("X"), fallback(1.0))]
    pub(super) skew: f64,
    /// Make each site a separate idempotency group, whose endpoints recognize only repeats at the same site
    #[bpaf(long("no-span"))]
    pub(super) separate_idempotency_groups: bool,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct CostArguments {
    /// Seed of the random draws
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How often the site is drained and resumed (17 s each)
    #[bpaf(long("periods"), argument("N"), fallback(4))]
    pub(super) periods: usize,
    /// Requests per second at each site
    #[bpaf(long("rate"), argument("R"), fallback(150.0))]
    pub(super) requests_per_second: f64,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct FlowsArguments {
    /// Seed of the random draws
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// How long clients send requests, in seconds
    #[bpaf(long("seconds"), argument("S"), fallback(20.0))]
    pub(super) seconds: f64,
    /// Message format: ipfix, or v9 (with --road udp only)
    #[bpaf(long("form"), argument("FORM"), fallback("ipfix".into()))]
    pub(super) wire_format: String,
    /// Transport: udp, tcp or tls
    #[bpaf(long("road"), argument("ROAD"), fallback("tcp".into()))]
    pub(super) transport: String,
    /// Stop the collector at second T for S seconds
    #[bpaf(long("collector-down"), argument("T+S"))]
    pub(super) collector_outage: Option<Outage>,
    /// Make the collector read one octet per second
    #[bpaf(long("slow"))]
    pub(super) slow_collector: bool,
    /// Rename the endpoints four times per second, and change their builds at every tenth time
    #[bpaf(long("churn"))]
    pub(super) churn: bool,
    /// Raise one gateway's share of its site's requests from a hundredth to a fifth at half-time
    #[bpaf(long("surge"))]
    pub(super) surge: bool,
    /// Release a build to half of the endpoints after a third of the run; it fails this share of its requests
    #[bpaf(long("bad"), argument("P"), fallback(0.0))]
    pub(super) failure_ratio: f64,
    /// Share of datagrams that the collector drops, from 0 to 1
    #[bpaf(long("loss"), argument("P"), fallback(0.0))]
    pub(super) loss_ratio: f64,
    /// Requests per second at each site
    #[bpaf(long("rate"), argument("R"), fallback(150.0))]
    pub(super) requests_per_second: f64,
    /// Folder for the flow file of each exporting gateway and for the collector's tables
    #[bpaf(long("keep"), argument("FOLDER"))]
    pub(super) output_folder: Option<PathBuf>,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct CollectorArguments {
    /// Transport: udp or tcp
    #[bpaf(long("road"), argument("ROAD"), fallback("udp".into()))]
    pub(super) transport: String,
    /// How long the collector runs, in seconds
    #[bpaf(long("seconds"), argument("S"), fallback(60.0))]
    pub(super) seconds: f64,
    /// Write the received records to this CSV file
    #[bpaf(long("csv"), argument("FILE"))]
    pub(super) csv: Option<PathBuf>,
    /// Write the received records to this Parquet file
    #[bpaf(long("parquet"), argument("FILE"))]
    pub(super) parquet: Option<PathBuf>,
    /// Address to listen on; the default is 127.0.0.1 with a port that the system picks
    #[bpaf(long("listen"), argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub(super) listen: SocketAddr,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct FleetArguments {
    /// Seed of the random draws
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// Number of gateways
    #[bpaf(long("gateways"), argument("G"), fallback(5))]
    pub(super) gateways: usize,
    /// How long clients send requests, in seconds
    #[bpaf(long("seconds"), argument("S"), fallback(12.0))]
    pub(super) seconds: f64,
    /// A fault at second T for D seconds, such as stall@2+3. KIND is stall, kill, kill-most, cut, cut-half,
    /// cut-one-way, slow, skew, restart or mixed. Without this switch two or three faults are drawn from the seed
    #[bpaf(long("fault"), argument("KIND@T+D"))]
    pub(super) faults: Vec<Fault>,
    /// Requests per second
    #[bpaf(long("rate"), argument("R"), fallback(60.0))]
    pub(super) requests_per_second: f64,
    /// Duration of a lease in milliseconds; the heartbeat interval is a quarter of it
    #[bpaf(long("lease"), argument("MS"), fallback(1000))]
    pub(super) lease_ms: u32,
    /// Run the same scenario without leases, for comparison
    #[bpaf(long("off"))]
    pub(super) without_leases: bool,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct DutiesArguments {
    /// The first seed
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// Number of seeds to run
    #[bpaf(long("seeds"), argument("N"), fallback(100))]
    pub(super) seeds: u64,
    /// Gateways of the fleet, at least five
    #[bpaf(long("gateways"), argument("G"), fallback(5))]
    pub(super) gateways: usize,
}

const DEFAULT_ELIMINATION_DRAWS: NonZeroUsize = NonZeroUsize::new(100).unwrap();

#[derive(Bpaf, Clone, Debug)]
pub(super) struct EliminationArguments {
    /// Seed of the random draws
    #[bpaf(long("seed"), argument("S"), fallback(1))]
    pub(super) seed: u64,
    /// Draws of good builds, and as many of bad builds, for each fleet size and number of bad endpoints
    #[bpaf(long("draws"), argument("N"), fallback(DEFAULT_ELIMINATION_DRAWS))]
    pub(super) draws: NonZeroUsize,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct MembershipArguments {
    /// Seed of the random draws
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// Gateways per site
    #[bpaf(long("gateways"), argument("N"), fallback(200))]
    pub(super) gateways: usize,
    /// Rounds within which all gateways must know one gateway's change
    #[bpaf(long("bound"), argument("ROUNDS"), fallback(20))]
    pub(super) bound_rounds: usize,
}

#[derive(Bpaf, Clone, Debug)]
pub(super) struct SoakArguments {
    /// The first seed
    #[bpaf(long("seed"), argument("N"), fallback(1))]
    pub(super) seed: u64,
    /// Number of seeds to run, one after another
    #[bpaf(long("seeds"), argument("K"), fallback(1))]
    pub(super) seeds: u64,
    /// Number of gateways
    #[bpaf(long("gateways"), argument("G"), fallback(3))]
    pub(super) gateways: usize,
    /// How long clients send requests, in seconds
    #[bpaf(long("seconds"), argument("S"), fallback(9.0))]
    pub(super) seconds: f64,
}
