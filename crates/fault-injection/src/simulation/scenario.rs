//! What a scenario does, and what was observed meanwhile.

use harrierdock_types::TimeDelta;

/// A step of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum ScenarioStep {
    /// Kills a site's endpoints.
    KillSite {
        /// The site.
        site: usize,
        /// Its gateways as well.
        with_gateways: bool,
    },
    /// Starts what was killed again.
    RestoreSite {
        /// The site.
        site: usize,
    },
    /// Cuts the path between the sites, or restores it.
    SetPathCut {
        /// Whether it is cut.
        is_cut: bool,
    },
    /// Drains a site by hand, and half of its endpoints by discovery.
    DrainSite {
        /// The site.
        site: usize,
    },
    /// Discovery sends the endpoints as they are now.
    UpdateDiscovery {
        /// To the gateways of this site.
        site: usize,
    },
    /// Kills a gateway and starts it again.
    RestartGateway {
        /// The gateway.
        gateway: usize,
    },
    /// Sends a command to the control sockets of a site's gateways.
    SendCommand {
        /// The site.
        site: usize,
        /// The command.
        command: &'static str,
    },
    /// Changes a gateway's share of its site's clients.
    SetGatewayWeight {
        /// The gateway.
        gateway: usize,
        /// Its weight against the others.
        weight: f64,
    },
    /// Gives every endpoint another name; every tenth time another build as well.
    RenameEndpoints,
    /// Gives half of each site's endpoints the next build.
    ReleaseBuild {
        /// The share of requests that it fails.
        failure_ratio: f64,
    },
    /// Stops the collector, or starts it again.
    SetCollectorRunning {
        /// Whether it runs.
        is_running: bool,
    },
    /// Records processor time and requests so far.
    RecordUsage,
    /// Ends the clients' requests.
    StopRequests,
    /// Ends the scenario.
    End,
}

/// Faults of the path between the sites.
#[derive(Clone, Copy, Default)]
pub struct PathFaults {
    /// The share of datagrams that is lost.
    pub loss_ratio: f64,
    /// Nothing passes from the first site to the second.
    pub is_one_way: bool,
    /// Nothing passes.
    pub is_cut: bool,
}

/// What the simulation observed, against the rules.
#[derive(Default)]
pub struct Observations {
    /// Requests that came to a drained endpoint or site.
    pub requests_after_drain: u64,
    /// Warming endpoints that failed from overload.
    pub overloaded_warming_endpoints: u64,
    /// Repeats that an idempotency group dropped.
    pub repeats_dropped: u64,
    /// Repeats that no idempotency group remembered.
    pub repeats_outside_window: u64,
    /// Requests whose deadline passed before a core was free.
    pub expired_before_work: u64,
    /// How late the event loop was at the most: a busy machine, not a slow gateway.
    pub largest_loop_delay: TimeDelta,
    /// Datagrams between the sites.
    pub datagrams: u64,
    /// Those of them that were dropped.
    pub datagrams_dropped: u64,
}
