//! The parameters of a run on two sites.

use std::path::PathBuf;
use std::sync::Arc;

use serde_json::Value;

use crate::collector::Collector;
use crate::schedule::{Outage, SiteTime};
use crate::simulation::ScenarioStep;

/// The parameters of a run. Seconds count from the start of the clients.
#[derive(Clone, Default)]
pub struct Scenario {
    /// Seeds all random numbers of the run.
    pub seed: u64,
    /// How long clients send requests.
    pub duration_seconds: f64,
    /// Kills a site's endpoints and gateways.
    pub kill: Option<SiteTime>,
    /// The kill affects only the site's endpoints, not its gateways.
    pub endpoints_only: bool,
    /// Time from the kill to the site's restart, with slow start; `None` if the site stays down.
    pub restore_after_seconds: Option<f64>,
    /// The share of lost datagrams between the sites.
    pub loss_ratio: f64,
    /// Drops all datagrams from the first site to the second.
    pub is_one_way: bool,
    /// Cuts the path between the sites in both directions.
    pub cut: Option<Outage>,
    /// Drains a site manually, and half of its endpoints through discovery.
    pub drain: Option<SiteTime>,
    /// When gateways start to be restarted, one after another.
    pub rolling_restart_second: Option<f64>,
    pub gateways_per_site: usize,
    pub endpoints_per_site: usize,
    /// Requests per second at the second site. The first site has this many times `first_site_load_ratio`.
    pub requests_per_second: f64,
    /// Ratio of the first site's requests to the second site's.
    pub first_site_load_ratio: f64,
    /// The gateways are configured with an idempotency group that spans both sites.
    pub shares_idempotency_group: bool,
    /// Additional steps, each with its time in seconds.
    pub extra_steps: Vec<(f64, ScenarioStep)>,
    /// Flow export by every other gateway of each site; `None` for no flow export.
    pub flow_export: Option<FlowExport>,
}

/// How gateways export flows.
#[derive(Clone)]
pub struct FlowExport {
    /// Receives the flows.
    pub collector: Arc<Collector>,
    /// The `flows` section of the extension configuration, without the fields that differ between gateways.
    pub configuration: Value,
    /// Where each exporting gateway writes its flow file; `None` for no files.
    pub output_folder: Option<PathBuf>,
}
