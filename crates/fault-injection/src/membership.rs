//! Simulates membership with hundreds of gateways per site, without sockets: in rounds of one heartbeat interval, with
//! heartbeats lost at random. Measures how many rounds a change takes to reach all gateways, and the heartbeat bytes per round.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use harrierdock_multi_site::{Membership, MembershipAction, PathId, HEARTBEAT_INTERVAL};
use harrierdock_site_messages::{
    encode, GatewayName, Heartbeat, MemberRecord, MemberState, SiteMessage,
};
use harrierdock_types::Timestamp;
use nanorand::{Rng, WyRand};
use serde::Serialize;

const SITES: [&str; 2] = ["hobart", "launceston"];
const LOSS_RATIOS: [f64; 3] = [0.0, 0.1, 0.3];
/// Rounds in which gateways discover each other, or settle after a change.
const SETTLING_ROUNDS: usize = 120;
/// Rounds after which a measurement gives up on a change that some gateways don't know.
const MAX_ROUNDS: usize = 400;
/// Number of state changes measured at each loss ratio, one after another.
const STATE_CHANGES: usize = 9;
/// Number of the other site's gateways in a gateway's settings.
const CONFIGURED_PEERS: usize = 3;
/// Ratio of the bound on rounds after a restart to the bound after one gateway's change.
const RESTART_BOUND_FACTOR: usize = 4;
const MAX_PATHS_PER_GATEWAY: usize = 24;

/// Measurements at one loss ratio.
#[derive(Debug, Default, Serialize)]
pub struct LossReport {
    /// The share of heartbeats that are lost.
    #[serde(rename = "loss")]
    pub loss_ratio: f64,
    /// Rounds until every gateway knew one gateway's change: the median over all changes.
    #[serde(rename = "rounds_median")]
    pub median_rounds: usize,
    /// Rounds until every gateway knew one gateway's change: the maximum over all changes.
    #[serde(rename = "rounds_most")]
    pub max_rounds: usize,
    /// Rounds until every gateway knew the new incarnations, after half of all gateways restarted at once.
    pub rounds_after_restart: usize,
    /// Heartbeat bytes that a gateway sends in one round: the mean over all gateways, while nothing changes.
    #[serde(rename = "bytes_quiet")]
    pub idle_round_bytes: f64,
    /// Heartbeat bytes that a gateway sends in the first round after the restart: the mean over all gateways.
    #[serde(rename = "bytes_restart")]
    pub restart_round_bytes: f64,
    /// Open paths of a gateway: the mean over all gateways.
    #[serde(rename = "roads_mean")]
    pub mean_paths: f64,
    /// Open paths of a gateway: the maximum over all gateways.
    #[serde(rename = "roads_most")]
    pub max_paths: usize,
    /// Number of records at the end, over all gateways, that list a running gateway as suspected or lost.
    pub wrongly_suspected: usize,
}

/// Measurements at all loss ratios, and whether the bounds hold.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    #[serde(rename = "gateways_a_site")]
    pub gateways_per_site: usize,
    pub seed: u64,
    /// Maximum number of rounds until all gateways must know one gateway's change.
    pub bound_rounds: usize,
    #[serde(rename = "at")]
    pub by_loss_ratio: Vec<LossReport>,
    /// All bounds hold at every loss ratio.
    pub ok: bool,
}

struct Simulation {
    now: Timestamp,
    rng: WyRand,
    loss_ratio: f64,
    members: Vec<Membership>,
    index_by_name: BTreeMap<GatewayName, usize>,
    /// The indexes of the two gateways at the ends of each open path.
    paths: BTreeMap<u64, (usize, usize)>,
    last_path_id: u64,
    /// Heartbeat bytes sent in the current round.
    round_bytes: usize,
}

/// Gateways with even indexes are at the first site.
fn gateway_name(index: usize) -> GatewayName {
    GatewayName {
        site: SITES[index % 2].into(),
        gateway: format!("gateway-{:03}", index / 2),
    }
}

fn gateway_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7443))
}

impl Simulation {
    fn new(gateways_per_site: usize, seed: u64, loss_ratio: f64) -> Simulation {
        let mut simulation = Simulation {
            now: Timestamp(1_000_000_000),
            rng: WyRand::new_seed(seed),
            loss_ratio,
            members: Vec::new(),
            index_by_name: (0..2 * gateways_per_site)
                .map(|index| (gateway_name(index), index))
                .collect(),
            paths: BTreeMap::new(),
            last_path_id: 0,
            round_bytes: 0,
        };
        simulation.members = (0..2 * gateways_per_site)
            .map(|index| simulation.start_member(index, gateways_per_site))
            .collect();
        simulation
    }

    /// Starts a gateway with the current time as its incarnation. Its settings list three gateways of the other site; it
    /// learns of all others by gossip.
    fn start_member(&self, index: usize, gateways_per_site: usize) -> Membership {
        let other_site = 1 - index % 2;
        let configured_peers: Vec<(GatewayName, SocketAddr)> = (0..CONFIGURED_PEERS
            .min(gateways_per_site))
            .map(|n| 2 * ((index * 7 + n * 31) % gateways_per_site) + other_site)
            .map(|peer| (gateway_name(peer), gateway_address(peer)))
            .collect();
        let (incarnation, address) = (self.now.0 as u64, Some(gateway_address(index)));
        let own_record = MemberRecord {
            gateway: gateway_name(index),
            address,
            incarnation,
            version: 1,
            state: MemberState::Serving,
        };
        Membership::new(
            own_record,
            SITES[other_site].into(),
            &configured_peers,
            self.now.0 as u64 ^ index as u64,
        )
    }

    fn apply_actions(&mut self, index: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Connect { peer, .. } => {
                    let Some(peer_index) = self.index_by_name.get(&peer).copied() else {
                        continue;
                    };
                    self.last_path_id += 1;
                    let (now, path) = (self.now, PathId(self.last_path_id));
                    self.paths.insert(self.last_path_id, (index, peer_index));
                    let mut next_actions = self.members[index].handle_path_opened(now, path, peer);
                    next_actions.extend(self.members[peer_index].handle_path_opened(
                        now,
                        path,
                        gateway_name(index),
                    ));
                    // A gateway at its limit of paths closes the new one at once.
                    if next_actions
                        .iter()
                        .any(|action| matches!(action, MembershipAction::ClosePath { .. }))
                    {
                        self.close_path(self.last_path_id, true);
                    }
                }
                MembershipAction::ClosePath { path } => self.close_path(path.0, true),
                _ => {}
            }
        }
    }

    fn close_path(&mut self, path_id: u64, is_orderly: bool) {
        let Some((first, second)) = self.paths.remove(&path_id) else {
            return;
        };
        let now = self.now;
        for index in [first, second] {
            let actions = self.members[index].handle_path_closed(now, PathId(path_id), is_orderly);
            self.apply_actions(index, actions);
        }
    }

    /// Advances the time by one heartbeat interval, and exchanges the heartbeats of all gateways.
    fn run_round(&mut self) {
        self.now = self.now + HEARTBEAT_INTERVAL;
        self.round_bytes = 0;
        let mut heartbeats: Vec<(usize, u64, Heartbeat)> = Vec::new();
        for index in 0..self.members.len() {
            let interval = self.members[index].start_interval(self.now);
            self.apply_actions(index, interval.actions);
            let sent = interval.heartbeats.into_iter();
            heartbeats.extend(sent.map(|sent| (index, sent.path.0, sent.heartbeat)));
        }
        for (sender, path_id, heartbeat) in heartbeats {
            let Some((first, second)) = self.paths.get(&path_id).copied() else {
                continue;
            };
            let message = SiteMessage::Heartbeat(heartbeat);
            self.round_bytes += encode(&message).map_or(0, |bytes| bytes.len());
            if self.rng.generate::<f64>() < self.loss_ratio {
                continue;
            }
            let receiver = if first == sender { second } else { first };
            if let SiteMessage::Heartbeat(heartbeat) = &message {
                let actions = self.members[receiver].handle_heartbeat_received(
                    self.now,
                    PathId(path_id),
                    heartbeat,
                );
                self.apply_actions(receiver, actions);
            }
        }
    }

    /// Runs rounds until every gateway has records of the changed gateways for which `is_current` holds. Returns the number
    /// of rounds, or [`MAX_ROUNDS`] + 1 if that many weren't enough.
    fn run_until_known(
        &mut self,
        changed: &[usize],
        is_current: impl Fn(&MemberRecord) -> bool,
    ) -> usize {
        for rounds in 1..=MAX_ROUNDS {
            self.run_round();
            let all_know = self.members.iter().enumerate().all(|(index, member)| {
                changed
                    .iter()
                    .filter(|other| **other != index)
                    .all(|other| {
                        member
                            .record(&gateway_name(*other))
                            .is_some_and(&is_current)
                    })
            });
            if all_know {
                return rounds;
            }
        }
        MAX_ROUNDS + 1
    }

    /// Crashes these gateways at once and starts them again.
    fn restart(&mut self, restarted: &[usize], gateways_per_site: usize) {
        for index in restarted {
            let open_paths = self
                .paths
                .iter()
                .filter(|(_, ends)| ends.0 == *index || ends.1 == *index)
                .map(|(path_id, _)| *path_id);
            for path_id in open_paths.collect::<Vec<u64>>() {
                self.close_path(path_id, false);
            }
            self.members[*index] = self.start_member(*index, gateways_per_site);
        }
    }

    fn bytes_per_gateway(&self) -> f64 {
        self.round_bytes as f64 / self.members.len() as f64
    }
}

fn measure_at_loss(
    gateways_per_site: usize,
    seed: u64,
    loss_ratio: f64,
    mut progress: impl FnMut(),
) -> LossReport {
    let mut simulation = Simulation::new(gateways_per_site, seed, loss_ratio);
    (0..SETTLING_ROUNDS).for_each(|_| simulation.run_round());
    let mut report = LossReport {
        loss_ratio,
        ..LossReport::default()
    };
    let mut all_rounds = Vec::new();
    for change in 0..STATE_CHANGES {
        let index = (change * 37 + 5) % (2 * gateways_per_site);
        let state = if change.is_multiple_of(2) {
            MemberState::Draining
        } else {
            MemberState::Serving
        };
        simulation.members[index].set_own_state(state);
        let version = simulation.members[index].own_record().version;
        all_rounds.push(simulation.run_until_known(&[index], |record| record.version >= version));
        progress();
    }
    all_rounds.sort_unstable();
    (report.median_rounds, report.max_rounds) = (
        all_rounds[all_rounds.len() / 2],
        all_rounds[all_rounds.len() - 1],
    );
    (0..SETTLING_ROUNDS).for_each(|_| simulation.run_round());
    report.idle_round_bytes = simulation.bytes_per_gateway();
    // Every other gateway of each site.
    let restarted: Vec<usize> = (0..2 * gateways_per_site)
        .filter(|index| (index / 2) % 2 == 0)
        .collect();
    simulation.restart(&restarted, gateways_per_site);
    let restart_incarnation = simulation.now.0 as u64;
    simulation.run_round();
    report.restart_round_bytes = simulation.bytes_per_gateway();
    report.rounds_after_restart = simulation.run_until_known(&restarted, |record| {
        record.incarnation >= restart_incarnation && record.state < MemberState::Suspected
    }) + 1;
    progress();
    (0..SETTLING_ROUNDS).for_each(|_| simulation.run_round());
    let path_counts: Vec<usize> = simulation
        .members
        .iter()
        .map(|member| member.paths().len())
        .collect();
    report.mean_paths = path_counts.iter().sum::<usize>() as f64 / path_counts.len() as f64;
    report.max_paths = path_counts.iter().copied().max().unwrap_or(0);
    let suspicions = simulation
        .members
        .iter()
        .flat_map(|member| member.records())
        .filter(|(record, _)| record.state >= MemberState::Suspected);
    report.wrongly_suspected = suspicions.count();
    report
}

/// Runs the simulation at each loss ratio. `bound_rounds` is the most rounds that one gateway's change may take; `progress`
/// is called after each measured change.
pub fn run_simulations(
    gateways_per_site: usize,
    seed: u64,
    bound_rounds: usize,
    mut progress: impl FnMut(),
) -> Report {
    let by_loss_ratio: Vec<LossReport> = LOSS_RATIOS
        .map(|loss_ratio| measure_at_loss(gateways_per_site, seed, loss_ratio, &mut progress))
        .into();
    let ok = by_loss_ratio.iter().all(|report| {
        report.max_rounds <= bound_rounds
            && report.rounds_after_restart <= RESTART_BOUND_FACTOR * bound_rounds
            && report.max_paths <= MAX_PATHS_PER_GATEWAY
    });
    Report {
        gateways_per_site,
        seed,
        bound_rounds,
        by_loss_ratio,
        ok,
    }
}
