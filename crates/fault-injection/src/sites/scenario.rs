//! What is played on two sites.

use std::path::PathBuf;
use std::sync::Arc;

use serde_json::Value;

use crate::collector::Collector;
use crate::schedule::{Outage, SiteTime};
use crate::simulation::ScenarioStep;

/// What is played. Seconds count from the moment at which clients come.
#[derive(Clone, Default)]
pub struct Scenario {
    /// The seed of all that is drawn.
    pub seed: u64,
    /// How long clients come.
    pub duration_seconds: f64,
    /// Kills a site's endpoints and gateways.
    pub kill: Option<SiteTime>,
    /// The kill leaves the gateways alone.
    pub endpoints_only: bool,
    /// How long after the kill the site starts again, cold.
    pub restore_after_seconds: Option<f64>,
    /// The share of datagrams between the sites that is lost.
    pub loss_ratio: f64,
    /// Nothing passes from the first site to the second.
    pub is_one_way: bool,
    /// Cuts the path between the sites.
    pub cut: Option<Outage>,
    /// Drains a site by hand, and half of its endpoints by discovery.
    pub drain: Option<SiteTime>,
    /// Gateways are restarted one after another, from this second on.
    pub rolling_restart_second: Option<f64>,
    /// Gateways of each site.
    pub gateways_per_site: usize,
    /// Endpoints of each site.
    pub endpoints_per_site: usize,
    /// Requests a second that come to each site.
    pub requests_per_second: f64,
    /// The first site's requests over the second's.
    pub first_site_load_ratio: f64,
    /// One idempotency group spans both sites.
    pub shares_idempotency_group: bool,
    /// Further steps, by their seconds.
    pub extra_steps: Vec<(f64, ScenarioStep)>,
    /// Flow export by the first gateway of each two of a site.
    pub flow_export: Option<FlowExport>,
}

/// How gateways export flows.
#[derive(Clone)]
pub struct FlowExport {
    /// Where the flows go.
    pub collector: Arc<Collector>,
    /// The `flows` of the gateways' extension configuration, but for what differs by gateway.
    pub configuration: Value,
    /// Where each exporting gateway leaves a file of its flows.
    pub output_folder: Option<PathBuf>,
}
