//! What is played on two sites.

use std::sync::Arc;

use serde_json::Value;

use crate::collector::Collector;
use crate::schedule::{Outage, SiteTime};
use crate::simulation::ScenarioStep;

/// What is played.
#[derive(Clone, Default)]
pub struct Day {
    pub seed: u64,
    pub seconds: f64,
    pub kill: Option<SiteTime>,
    pub servers_only: bool,
    pub back_after: Option<f64>,
    pub loss: f64,
    pub one_way: bool,
    pub cut: Option<Outage>,
    pub drain: Option<SiteTime>,
    /// Gateways restarted one after another, from this second on.
    pub rolling: Option<f64>,
    pub gateways: usize,
    pub servers: usize,
    /// Requests a second that come to each site.
    pub rate: f64,
    /// How much more comes to the first site.
    pub skew: f64,
    pub spans: bool,
    /// Further steps, by their seconds.
    pub more: Vec<(f64, ScenarioStep)>,
    /// Flow export, for every other gateway.
    pub export: Option<Arc<Collector>>,
    pub told_flows: Value,
}
