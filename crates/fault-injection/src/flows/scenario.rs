//! The scenario of one run, and its steps.

use std::path::PathBuf;

use crate::collector::CollectorTransport;
use crate::schedule::Outage;
use crate::simulation::ScenarioStep;

/// Seconds between two samples of the gateways' usage.
const USAGE_SAMPLE_SECONDS: f64 = 2.0;
/// How many times per second all endpoints are renamed.
const RENAMES_PER_SECOND: f64 = 4.0;

/// Parameters of one run of two sites with flow export. Seconds count from the start of the clients.
pub struct Scenario {
    pub seed: u64,
    /// How long clients send requests.
    pub duration_seconds: f64,
    /// The format of the flow messages: `ipfix` or `v9`.
    pub wire_format: String,
    pub transport: CollectorTransport,
    /// When the collector is stopped; `None` if it runs throughout.
    pub collector_outage: Option<Outage>,
    /// The collector reads one octet per second.
    pub is_collector_slow: bool,
    /// Renames the endpoints four times a second.
    pub renames_endpoints: bool,
    /// Raises one gateway's share of its site's requests at half-time.
    pub has_surge: bool,
    /// The share of requests that the next build fails. Half of the endpoints get this build after a third of the run; with
    /// 0, it isn't released.
    pub failure_ratio: f64,
    /// The share of datagrams that the collector drops.
    pub loss_ratio: f64,
    /// Client requests per second at each site.
    pub requests_per_second: f64,
    /// Where the exporting gateways and the collector write their files; `None` writes none.
    pub output_folder: Option<PathBuf>,
}

impl Scenario {
    /// The steps of the scenario, each with its time in seconds.
    pub(super) fn steps(&self) -> Vec<(f64, ScenarioStep)> {
        let samples = (self.duration_seconds / USAGE_SAMPLE_SECONDS) as u32;
        let mut steps: Vec<(f64, ScenarioStep)> = (0..=samples)
            .map(|n| {
                (
                    f64::from(n) * USAGE_SAMPLE_SECONDS,
                    ScenarioStep::RecordUsage,
                )
            })
            .collect();
        if let Some(outage) = self.collector_outage {
            steps.push((
                outage.start_second,
                ScenarioStep::SetCollectorRunning { is_running: false },
            ));
            steps.push((
                outage.end_second(),
                ScenarioStep::SetCollectorRunning { is_running: true },
            ));
        }
        if self.renames_endpoints {
            let renames = (self.duration_seconds * RENAMES_PER_SECOND) as u32;
            steps.extend((1..renames).map(|n| {
                (
                    f64::from(n) / RENAMES_PER_SECOND,
                    ScenarioStep::RenameEndpoints,
                )
            }));
        }
        if self.failure_ratio > 0.0 {
            steps.push((
                self.duration_seconds / 3.0,
                ScenarioStep::ReleaseBuild {
                    failure_ratio: self.failure_ratio,
                },
            ));
        }
        if self.has_surge {
            // The first of the site's two gateways gets a hundredth of the requests, and a fifth from half-time on.
            steps.push((
                0.0,
                ScenarioStep::SetGatewayWeight {
                    gateway: 0,
                    weight: 0.0101,
                },
            ));
            steps.push((
                self.duration_seconds / 2.0,
                ScenarioStep::SetGatewayWeight {
                    gateway: 0,
                    weight: 0.25,
                },
            ));
        }
        steps
    }
}
