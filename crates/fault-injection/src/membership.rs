//! Membership at full size without sockets: hundreds of gateways a site, in rounds, with beats lost at random.

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
/// Rounds for gateways to find each other, and the most waited for a change to be known to all.
const SETTLE: usize = 120;
const MOST: usize = 400;

#[derive(Debug, Default, Serialize)]
pub struct AtLoss {
    pub loss: f64,
    /// Rounds until every gateway knew one gateway's change, and the most over the changes tried.
    pub rounds_median: usize,
    pub rounds_most: usize,
    /// Rounds until every gateway knew the new incarnations after half of all had restarted at once.
    pub rounds_after_restart: usize,
    /// Bytes of beats a gateway sends in a round, in the mean while nothing changes, and just after the restart.
    pub bytes_quiet: f64,
    pub bytes_restart: f64,
    pub roads_mean: f64,
    pub roads_most: usize,
    /// Gateways wrongly suspected or lost at the end, as others hold it.
    pub wrongly_suspected: usize,
}

#[derive(Debug, Default, Serialize)]
pub struct Found {
    pub gateways_a_site: usize,
    pub seed: u64,
    pub bound_rounds: usize,
    pub at: Vec<AtLoss>,
    pub ok: bool,
}

struct World {
    now: Timestamp,
    chance: WyRand,
    loss: f64,
    all: Vec<Membership>,
    by_party: BTreeMap<GatewayName, usize>,
    links: BTreeMap<u64, (usize, usize)>,
    last: u64,
    bytes: usize,
}

fn party(ix: usize) -> GatewayName {
    GatewayName {
        site: SITES[ix % 2].into(),
        gateway: format!("gateway-{:03}", ix / 2),
    }
}

fn address(ix: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (ix / 250) as u8, (ix % 250) as u8], 7443))
}

impl World {
    fn new(each: usize, seed: u64, loss: f64) -> World {
        let mut world = World {
            now: Timestamp(1_000_000_000),
            chance: WyRand::new_seed(seed),
            loss,
            all: Vec::new(),
            by_party: (0..2 * each).map(|ix| (party(ix), ix)).collect(),
            links: BTreeMap::new(),
            last: 0,
            bytes: 0,
        };
        world.all = (0..2 * each).map(|ix| world.member(ix, each)).collect();
        world
    }

    /// Each knows three gateways of the other site from its file; the rest it must learn.
    fn member(&self, ix: usize, each: usize) -> Membership {
        let other = 1 - ix % 2;
        let seeds: Vec<(GatewayName, SocketAddr)> = (0..3.min(each))
            .map(|n| 2 * ((ix * 7 + n * 31) % each) + other)
            .map(|ix| (party(ix), address(ix)))
            .collect();
        let (incarnation, address) = (self.now.0 as u64, Some(address(ix)));
        let own = MemberRecord {
            gateway: party(ix),
            address,
            incarnation,
            version: 1,
            state: MemberState::Serving,
        };
        Membership::new(
            own,
            SITES[other].into(),
            &seeds,
            self.now.0 as u64 ^ ix as u64,
        )
    }

    fn obey(&mut self, ix: usize, asked: Vec<MembershipAction>) {
        for asked in asked {
            match asked {
                MembershipAction::Connect { peer, .. } => {
                    let Some(to) = self.by_party.get(&peer).copied() else {
                        continue;
                    };
                    self.last += 1;
                    let (now, path) = (self.now, PathId(self.last));
                    self.links.insert(self.last, (ix, to));
                    let mut more = self.all[ix].handle_path_opened(now, path, peer);
                    more.extend(self.all[to].handle_path_opened(now, path, party(ix)));
                    // One that holds as many roads as it may hangs up at once.
                    if more
                        .iter()
                        .any(|a| matches!(a, MembershipAction::ClosePath { .. }))
                    {
                        self.drop_link(self.last, true);
                    }
                }
                MembershipAction::ClosePath { path } => self.drop_link(path.0, true),
                _ => {}
            }
        }
    }

    fn drop_link(&mut self, link: u64, orderly: bool) {
        let Some((a, b)) = self.links.remove(&link) else {
            return;
        };
        let now = self.now;
        for ix in [a, b] {
            let asked = self.all[ix].handle_path_closed(now, PathId(link), orderly);
            self.obey(ix, asked);
        }
    }

    fn round(&mut self) {
        self.now = self.now + HEARTBEAT_INTERVAL;
        self.bytes = 0;
        let mut beats: Vec<(usize, u64, Heartbeat)> = Vec::new();
        for ix in 0..self.all.len() {
            let interval = self.all[ix].start_interval(self.now);
            self.obey(ix, interval.actions);
            let sent = interval.heartbeats.into_iter();
            beats.extend(sent.map(|sent| (ix, sent.path.0, sent.heartbeat)));
        }
        for (ix, link, beat) in beats {
            let Some((a, b)) = self.links.get(&link).copied() else {
                continue;
            };
            let letter = SiteMessage::Heartbeat(beat);
            self.bytes += encode(&letter).map_or(0, |bytes| bytes.len());
            if self.chance.generate::<f64>() < self.loss {
                continue;
            }
            let to = if a == ix { b } else { a };
            if let SiteMessage::Heartbeat(beat) = &letter {
                let asked = self.all[to].handle_heartbeat_received(self.now, PathId(link), beat);
                self.obey(to, asked);
            }
        }
    }

    /// Rounds until every other gateway holds this of these.
    fn known(&mut self, of: &[usize], holds: impl Fn(&MemberRecord) -> bool) -> usize {
        for rounds in 1..=MOST {
            self.round();
            let all_know = self.all.iter().enumerate().all(|(ix, members)| {
                of.iter()
                    .filter(|o| **o != ix)
                    .all(|o| members.record(&party(*o)).is_some_and(&holds))
            });
            if all_know {
                return rounds;
            }
        }
        MOST + 1
    }

    fn per_gateway(&self) -> f64 {
        self.bytes as f64 / self.all.len() as f64
    }
}

fn at(each: usize, seed: u64, loss: f64, mut progress: impl FnMut()) -> AtLoss {
    let mut world = World::new(each, seed, loss);
    (0..SETTLE).for_each(|_| world.round());
    let mut found = AtLoss {
        loss,
        ..AtLoss::default()
    };
    let mut all_rounds = Vec::new();
    for n in 0..9_usize {
        let ix = (n * 37 + 5) % (2 * each);
        let standing = if n.is_multiple_of(2) {
            MemberState::Draining
        } else {
            MemberState::Serving
        };
        world.all[ix].set_own_state(standing);
        let version = world.all[ix].own_record().version;
        all_rounds.push(world.known(&[ix], |r| r.version >= version));
        progress();
    }
    all_rounds.sort_unstable();
    (found.rounds_median, found.rounds_most) = (
        all_rounds[all_rounds.len() / 2],
        all_rounds[all_rounds.len() - 1],
    );
    (0..SETTLE).for_each(|_| world.round());
    found.bytes_quiet = world.per_gateway();
    // Every other pair of gateways, at both sites.
    let again: Vec<usize> = (0..2 * each).filter(|ix| (ix / 2) % 2 == 0).collect();
    for ix in &again {
        let ends = world
            .links
            .iter()
            .filter(|(_, e)| e.0 == *ix || e.1 == *ix)
            .map(|(no, _)| *no);
        for link in ends.collect::<Vec<u64>>() {
            world.drop_link(link, false);
        }
        world.all[*ix] = world.member(*ix, each);
    }
    let from = world.now.0 as u64;
    world.round();
    found.bytes_restart = world.per_gateway();
    found.rounds_after_restart = world.known(&again, |r| {
        r.incarnation >= from && r.state < MemberState::Suspected
    }) + 1;
    progress();
    (0..SETTLE).for_each(|_| world.round());
    let roads: Vec<usize> = world.all.iter().map(|m| m.paths().len()).collect();
    found.roads_mean = roads.iter().sum::<usize>() as f64 / roads.len() as f64;
    found.roads_most = roads.iter().copied().max().unwrap_or(0);
    let wrong = world
        .all
        .iter()
        .flat_map(|m| m.records())
        .filter(|(r, _)| r.state >= MemberState::Suspected);
    found.wrongly_suspected = wrong.count();
    found
}

/// Plays at three rates of loss. `bound` is the most rounds that one gateway's change may take.
pub fn play(gateways: usize, seed: u64, bound: usize, mut progress: impl FnMut()) -> Found {
    let at: Vec<AtLoss> = [0.0, 0.1, 0.3]
        .map(|loss| at(gateways, seed, loss, &mut progress))
        .into();
    let ok = at.iter().all(|a| {
        a.rounds_most <= bound && a.rounds_after_restart <= 4 * bound && a.roads_most <= 24
    });
    Found {
        gateways_a_site: gateways,
        seed,
        bound_rounds: bound,
        at,
        ok,
    }
}
