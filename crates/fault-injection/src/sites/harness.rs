//! Owns the gateways of both sites: starts and kills them, and sends them commands and endpoint lists.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::time::Duration;

use serde_json::Value;

use super::configuration::{
    endpoint_record, flow_export_configuration, gateway_configuration, link_configuration,
    RemoteGateway,
};
use super::error::SitesError;
use super::scenario::Scenario;
use crate::gateway_keys::issue_keys;
use crate::gateway_process::{gateway_program, GatewayProcess};
use crate::simulation::{GatewayTarget, Simulation, SITE_NAMES};
use crate::stand_ins::{discovery_server, endpoint_list, Trace};

const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of the other site's gateways in each gateway's configuration. A gateway learns of the others by gossip.
const CONFIGURED_REMOTE_GATEWAYS: usize = 2;
/// First letter of the gateways' names, by site.
const NAME_PREFIXES: [&str; 2] = ["h", "l"];

/// A gateway's counters of forwarded requests, summed over its incarnations.
#[derive(Clone, Copy, Default)]
pub(super) struct ForwardingCounters {
    pub(super) forwarded: u64,
    pub(super) refused: u64,
    pub(super) succeeded: u64,
    /// How often the gateway's traffic started to move between the sites.
    pub(super) traffic_moves: u64,
}

impl ForwardingCounters {
    fn add_status(&mut self, status: &Value) {
        let counter = |name: &str| status[name].as_u64().unwrap_or(0);
        self.forwarded += counter("handed_over");
        self.refused += counter("refused");
        self.succeeded += counter("settled_there");
        self.traffic_moves += counter("moves");
    }
}

/// A gateway, with its discovery server and its relay.
pub(super) struct Gateway {
    pub(super) name: String,
    pub(super) site: usize,
    pub(super) process: Option<GatewayProcess>,
    pub(super) counters: ForwardingCounters,
    pub(super) discovery: SocketAddr,
    list_sender: Sender<String>,
    /// Where the other site's gateways send datagrams. The relay has the same index as the gateway.
    relay_address: SocketAddr,
}

/// Processor time and requests until the sample was taken.
pub(super) struct UsageSample {
    /// Processor time of each gateway's running incarnation since its start; 0 for a gateway that isn't running.
    pub(super) processor_time_us: Vec<f64>,
    pub(super) request_count: usize,
}

/// The gateways of both sites.
pub(super) struct TestHarness {
    folder: PathBuf,
    program: PathBuf,
    pub(super) gateways: Vec<Gateway>,
    pub(super) is_linked: bool,
    list_version: u32,
    pub(super) rename_count: u32,
    pub(super) scenario: Scenario,
    pub(super) usage_samples: Vec<UsageSample>,
}

impl TestHarness {
    /// Sets up relays, discovery servers and keys; gateways are not started.
    pub(super) fn new(
        scenario: &Scenario,
        is_linked: bool,
        folder: &Path,
        simulation: &mut Simulation,
    ) -> Result<TestHarness, SitesError> {
        let program = gateway_program()?;
        let gateways: Vec<Gateway> = (0..2 * scenario.gateways_per_site)
            .map(|index| new_gateway(index, simulation))
            .collect::<Result<_, _>>()?;
        if is_linked {
            let names: Vec<String> = gateways
                .iter()
                .map(|gateway| format!("{}/{}", SITE_NAMES[gateway.site], gateway.name))
                .collect();
            issue_keys(&program, &folder.join("keys"), &names)?;
        }
        Ok(TestHarness {
            folder: folder.into(),
            program,
            gateways,
            is_linked,
            list_version: 1,
            rename_count: 0,
            scenario: scenario.clone(),
            usage_samples: Vec::new(),
        })
    }

    /// The indexes of a site's gateways.
    pub(super) fn gateways_of_site(&self, site: usize) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|index| self.gateways[*index].site == site)
            .collect()
    }

    /// Starts a new incarnation of a gateway.
    pub(super) fn start(
        &mut self,
        simulation: &mut Simulation,
        index: usize,
    ) -> Result<(), SitesError> {
        let gateway = &self.gateways[index];
        let cached_list = self.endpoint_list(simulation, gateway.site);
        let seed = self.scenario.seed.wrapping_mul(31);
        let seed = seed.wrapping_add(index as u64);
        let process = GatewayProcess::start(
            &self.program,
            &self.folder,
            &gateway.name,
            &gateway_configuration(gateway, seed, &cached_list),
            self.extension_configuration(index).as_ref(),
        )?;
        let target = &mut simulation.gateways[index];
        target.address = Some(process.listen_address);
        target.incarnation += 1;
        target.is_alive = true;
        if let Some(address) = process.site_address {
            simulation.set_relay_target(index, address);
        }
        self.gateways[index].process = Some(process);
        Ok(())
    }

    /// The extension configuration of a gateway: flow export if it exports flows, else the link to the other site. `None` if
    /// it has neither.
    fn extension_configuration(&self, index: usize) -> Option<Value> {
        let gateway = &self.gateways[index];
        let flow_export = self.scenario.flow_export.as_ref();
        if let Some(flow_export) = flow_export.filter(|_| exports_flows(index)) {
            return Some(flow_export_configuration(gateway, index + 1, flow_export));
        }
        if !self.is_linked {
            return None;
        }
        let remote_gateways: Vec<RemoteGateway> = self
            .gateways
            .iter()
            .filter(|remote| remote.site != gateway.site)
            .take(CONFIGURED_REMOTE_GATEWAYS)
            .map(|remote| RemoteGateway {
                name: &remote.name,
                address: remote.relay_address,
            })
            .collect();
        Some(link_configuration(
            gateway,
            gateway.relay_address,
            &remote_gateways,
            self.scenario.shares_idempotency_group,
        ))
    }

    /// Reads a gateway's counters, then kills it.
    pub(super) fn kill(&mut self, simulation: &mut Simulation, index: usize) {
        self.collect_counters(index);
        if let Some(process) = &mut self.gateways[index].process {
            process.kill();
        }
        simulation.gateways[index].is_alive = false;
    }

    /// Adds the counters of the running incarnation to the sums over earlier incarnations.
    pub(super) fn collect_counters(&mut self, index: usize) {
        if !self.is_linked {
            return;
        }
        if let Some(status) = self.send_command(index, "status") {
            self.gateways[index].counters.add_status(&status);
        }
    }

    /// Sends a command to a gateway's control socket. Returns `None` without a JSON answer in time.
    pub(super) fn send_command(&self, index: usize, command: &str) -> Option<Value> {
        let socket = format!("{}.sock", self.gateways[index].name);
        let mut stream = UnixStream::connect(self.folder.join(socket)).ok()?;
        stream.set_read_timeout(Some(COMMAND_TIMEOUT)).ok()?;
        stream.write_all(command.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        serde_json::from_str(&answer).ok()
    }

    /// Sends the current endpoint list of a site to its gateways.
    pub(super) fn publish_endpoints(&mut self, simulation: &Simulation, site: usize) {
        self.list_version += 1;
        let line = self.endpoint_list(simulation, site).to_string();
        for gateway in self.gateways.iter().filter(|gateway| gateway.site == site) {
            let _ = gateway.list_sender.send(line.clone());
        }
    }

    /// Builds the snapshot of a site's endpoints as discovery sends it.
    fn endpoint_list(&self, simulation: &Simulation, site: usize) -> Value {
        let records: Vec<Value> = endpoints_of_site(simulation, site)
            .into_iter()
            .map(|index| {
                let is_running = simulation.is_endpoint_running(index);
                let endpoint = &simulation.endpoints[index];
                endpoint_record(index, endpoint, is_running, self.rename_count)
            })
            .collect();
        endpoint_list(self.list_version, true, &records)
    }
}

fn new_gateway(index: usize, simulation: &mut Simulation) -> Result<Gateway, SitesError> {
    let site = index % 2;
    let relay_address = simulation.add_relay(site)?;
    simulation.gateways.push(GatewayTarget::not_started(site));
    let (discovery, list_sender) = discovery_server(&Trace::default());
    Ok(Gateway {
        name: format!("{}{}", NAME_PREFIXES[site], index / 2),
        site,
        process: None,
        counters: ForwardingCounters::default(),
        discovery,
        list_sender,
        relay_address,
    })
}

/// The indexes of a site's endpoints.
pub(super) fn endpoints_of_site(simulation: &Simulation, site: usize) -> Vec<usize> {
    (0..simulation.endpoints.len())
        .filter(|index| simulation.endpoints[*index].site == site)
        .collect()
}

/// With flow export, every other gateway of each site exports flows.
fn exports_flows(index: usize) -> bool {
    (index / 2).is_multiple_of(2)
}
