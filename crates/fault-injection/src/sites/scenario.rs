//! What is played on two sites.

use std::sync::Arc;

use serde_json::Value;

use crate::collector::Collector;
use crate::schedule::{Outage, SiteTime};
use crate::simulation::ScenarioStep;

/// What is played.
#[derive(Clone, Default)]
pub struct Scenario {
    pub seed: u64,
    pub duration_seconds: f64,
    pub kill: Option<SiteTime>,
    pub endpoints_only: bool,
    pub restore_after_seconds: Option<f64>,
    pub loss_ratio: f64,
    pub is_one_way: bool,
    pub cut: Option<Outage>,
    pub drain: Option<SiteTime>,
    /// Gateways restarted one after another, from this second on.
    pub rolling_restart_second: Option<f64>,
    pub gateways_per_site: usize,
    pub endpoints_per_site: usize,
    /// Requests a second that come to each site.
    pub requests_per_second: f64,
    /// How much more comes to the first site.
    pub first_site_load_ratio: f64,
    pub shares_idempotency_group: bool,
    /// Further steps, by their seconds.
    pub extra_steps: Vec<(f64, ScenarioStep)>,
    /// Flow export, for every other gateway.
    pub collector: Option<Arc<Collector>>,
    pub flow_export_configuration: Value,
}
