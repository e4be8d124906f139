//! The steps of a scenario, path faults, and observations during a run.

use harrierdock_types::TimeDelta;

/// A step of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum ScenarioStep {
    /// Kills a site's endpoints.
    KillSite {
        /// Index of the site.
        site: usize,
        /// Whether its gateways are killed as well.
        with_gateways: bool,
    },
    /// Restarts the killed endpoints and gateways of a site.
    RestoreSite {
        /// Index of the site.
        site: usize,
    },
    /// Cuts the path between the sites, or restores it.
    SetPathCut {
        /// True to cut the path, false to restore it.
        is_cut: bool,
    },
    /// Manually drains a site, and drains half of its endpoints through discovery.
    DrainSite {
        /// Index of the site.
        site: usize,
    },
    /// Discovery publishes the current endpoints of a site.
    UpdateDiscovery {
        /// Index of the site whose gateways are updated.
        site: usize,
    },
    /// Kills a gateway and restarts it.
    RestartGateway {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Sends a command to the control sockets of a site's gateways.
    SendCommand {
        /// Index of the site.
        site: usize,
        /// The command, as on the control socket.
        command: &'static str,
    },
    /// Changes a gateway's share of its site's clients.
    SetGatewayWeight {
        /// Index of the gateway.
        gateway: usize,
        /// New weight of the gateway; the initial weight is 1.
        weight: f64,
    },
    /// Renames every endpoint; every tenth time, changes their builds as well.
    RenameEndpoints,
    /// Deploys the next build to half of each site's endpoints.
    ReleaseBuild {
        /// Share of requests that the new build fails.
        failure_ratio: f64,
    },
    /// Stops or restarts the collector.
    SetCollectorRunning {
        /// True to start the collector, false to stop it.
        is_running: bool,
    },
    /// Samples processor time and request counts so far.
    RecordUsage,
    /// Stops the clients from sending requests.
    StopRequests,
    /// The scenario is complete.
    End,
}

/// Current faults of the path between the sites.
#[derive(Clone, Copy, Default)]
pub struct PathFaults {
    /// Probability that a datagram is lost.
    pub loss_ratio: f64,
    /// Whether all datagrams from the first site to the second are dropped.
    pub is_one_way: bool,
    /// Whether all datagrams are dropped in both directions.
    pub is_cut: bool,
}

/// Counts that the simulation observes itself, for the rules and the report.
#[derive(Default)]
pub struct Observations {
    /// Requests that reached a draining endpoint, or were forwarded to a drained site, after the grace period.
    pub requests_after_drain: u64,
    /// Warming endpoints that stopped answering because of overload.
    pub overloaded_warming_endpoints: u64,
    /// Repeated requests that an idempotency group answered without running them again.
    pub repeats_dropped: u64,
    /// Repeated requests that ran because the idempotency group did not remember their key.
    pub repeats_outside_window: u64,
    /// Requests whose deadline passed before a core was available.
    pub expired_before_work: u64,
    /// Largest delay of a timer on this event loop. A large value means a busy machine, not a slow gateway.
    pub largest_loop_delay: TimeDelta,
    /// Datagrams sent between the sites.
    pub datagrams: u64,
    /// Datagrams between the sites that were dropped.
    pub datagrams_dropped: u64,
}
