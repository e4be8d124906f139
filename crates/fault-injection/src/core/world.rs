//! The simulated gateways, links and requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use harrierdock_multi_site::{Event, MultiSite, MultiSiteConfig, PathId};
use harrierdock_site_messages::{ForwardingOutcome, GatewayName};
use harrierdock_types::{ClassId, RequestId, TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use super::classes::{classes, EXPIRY};
use super::findings::Findings;
use super::happening::Happening;

pub(super) const SECOND: TimeDelta = TimeDelta(1_000_000);
pub(super) const TICK: TimeDelta = TimeDelta(5_000);

/// Simulated time of one seed: trouble, then quiet in which all must be settled.
const TROUBLE: f64 = 20.0;
const QUIET: f64 = 8.0;

pub(super) struct Gateway {
    pub(super) party: GatewayName,
    pub(super) address: SocketAddr,
    pub(super) sites: Option<MultiSite>,
    pub(super) life: u32,
    pub(super) drained: bool,
    pub(super) wake: Option<Timestamp>,
    /// Which request each job of the module's is for, and those that have ended.
    pub(super) inward: BTreeMap<u64, u64>,
}

pub(super) struct Txn {
    pub(super) gateway: usize,
    pub(super) life: u32,
    pub(super) class: usize,
    pub(super) expiry: Timestamp,
    pub(super) answers: Vec<(ForwardingOutcome, Timestamp)>,
    pub(super) runs: Vec<(usize, Timestamp)>,
    pub(super) across: bool,
    /// The module here declined it, or it came back: it does not cross (again).
    pub(super) spent: bool,
}

pub(super) struct World {
    pub(super) now: Timestamp,
    pub(super) chance: WyRand,
    pub(super) queue: BTreeMap<(Timestamp, u64), Happening>,
    pub(super) numbered: u64,
    pub(super) gateways: Vec<Gateway>,
    pub(super) links: BTreeMap<u64, (usize, usize)>,
    pub(super) txns: Vec<Txn>,
    pub(super) loss: f64,
    /// Nothing goes from the first site to the second, or back.
    pub(super) cut: [bool; 2],
    pub(super) vanished: [bool; 2],
    pub(super) trouble_until: Timestamp,
    pub(super) moves: BTreeMap<usize, Vec<Timestamp>>,
    pub(super) found: Findings,
}

/// The second site's clocks are half a minute ahead.
fn own_time(gateway: usize, at: Timestamp) -> Timestamp {
    at + SECOND * (30.0 * site(gateway) as f64)
}

pub(super) fn site(gateway: usize) -> usize {
    gateway % 2
}

const SITES: [&str; 2] = ["hobart", "launceston"];

impl World {
    pub(super) fn new(seed: u64, each: usize) -> World {
        let chance = WyRand::new_seed(seed);
        let gateway = |ix: usize| Gateway {
            party: GatewayName {
                site: SITES[site(ix)].into(),
                gateway: format!("g{}", ix / 2),
            },
            address: SocketAddr::from(([127, 0, 0, 1], 9000 + ix as u16)),
            sites: None,
            life: 0,
            drained: false,
            wake: None,
            inward: BTreeMap::new(),
        };
        let mut world = World {
            now: Timestamp(1_000_000_000),
            chance,
            queue: BTreeMap::new(),
            numbered: 0,
            gateways: (0..2 * each).map(gateway).collect(),
            links: BTreeMap::new(),
            txns: Vec::new(),
            loss: 0.0,
            cut: [false; 2],
            vanished: [false; 2],
            trouble_until: Timestamp(0),
            moves: BTreeMap::new(),
            found: Findings::default(),
        };
        world.trouble_until = world.now + SECOND * TROUBLE;
        for ix in 0..2 * each {
            world.start(ix);
            world.after(TimeDelta::ZERO, Happening::Arrive { gateway: ix });
        }
        world.after(SECOND, Happening::Trouble);
        world
    }

    pub(super) fn after(&mut self, span: TimeDelta, happening: Happening) {
        self.numbered += 1;
        self.queue
            .insert((self.now + span, self.numbered), happening);
    }

    pub(super) fn draw(&mut self, below: f64) -> bool {
        self.chance.generate::<f64>() < below
    }

    pub(super) fn span(&mut self, from: i64, to: i64) -> TimeDelta {
        TimeDelta(self.chance.generate_range(from..to))
    }

    pub(super) fn start(&mut self, ix: usize) {
        let other = 1 - site(ix);
        let seeds = self
            .gateways
            .iter()
            .filter(|g| g.party.site == SITES[other])
            .take(2);
        let gateway = &self.gateways[ix];
        let place = MultiSiteConfig {
            own_name: gateway.party.clone(),
            address: Some(gateway.address),
            incarnation: own_time(ix, self.now).0 as u64,
            other_site: SITES[other].into(),
            seeds: seeds.map(|g| (g.party.clone(), g.address)).collect(),
            classes: classes(),
            slow_start_window: SECOND * 2.0,
            tick: TICK,
            retry_after: None,
            stored_response_bytes: 1 << 16,
            seed: self.now.0 as u64 ^ ix as u64,
        };
        let now = own_time(ix, self.now);
        let gateway = &mut self.gateways[ix];
        gateway.sites = Some(MultiSite::new(now, place));
        (gateway.life, gateway.drained, gateway.wake) = (gateway.life + 1, false, None);
        gateway.inward.clear();
        self.tell(ix, Event::EndpointsUpdated { ready: 4 });
    }

    pub(super) fn tell(&mut self, ix: usize, event: Event) {
        let now = own_time(ix, self.now);
        let Some(sites) = &mut self.gateways[ix].sites else {
            return;
        };
        for action in sites.handle(now, event) {
            self.obey(ix, action);
        }
    }

    pub(super) fn answer(&mut self, id: RequestId, verdict: ForwardingOutcome) {
        let now = self.now;
        self.txns[id.0 as usize].answers.push((verdict, now));
    }

    pub(super) fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive { gateway } => {
                if self.gateways[gateway].sites.is_some() {
                    let id = RequestId(self.txns.len() as u64);
                    let class = self.chance.generate_range(0..4_usize);
                    let (life, expiry) = (self.gateways[gateway].life, self.now + EXPIRY);
                    let (answers, runs) = (Vec::new(), Vec::new());
                    self.txns.push(Txn {
                        gateway,
                        life,
                        class,
                        expiry,
                        answers,
                        runs,
                        across: false,
                        spent: false,
                    });
                    self.tell(
                        gateway,
                        Event::RequestReceived {
                            id,
                            class: ClassId(class),
                            remaining: EXPIRY,
                        },
                    );
                }
                let next = self.span(5_000, 60_000);
                if self.now < self.trouble_until + SECOND * 2.0 {
                    self.after(next, Happening::Arrive { gateway });
                }
            }
            Happening::SiteMessage { to, link, letter } => {
                if self.links.contains_key(&link) {
                    self.tell(
                        to,
                        Event::MessageReceived {
                            path: PathId(link),
                            message: *letter,
                        },
                    );
                }
            }
            Happening::Up { from, to, link } => {
                let both = [from, to]
                    .iter()
                    .all(|ix| self.gateways[*ix].sites.is_some());
                let (peer, peer_of) = (
                    self.gateways[to].party.clone(),
                    self.gateways[from].party.clone(),
                );
                if !both {
                    return self.tell(from, Event::ConnectFailed { peer });
                }
                self.links.insert(link, (from, to));
                self.tell(
                    from,
                    Event::PathOpened {
                        path: PathId(link),
                        peer,
                    },
                );
                self.tell(
                    to,
                    Event::PathOpened {
                        path: PathId(link),
                        peer: peer_of,
                    },
                );
            }
            Happening::Unreachable { gateway, peer } => {
                self.tell(gateway, Event::ConnectFailed { peer })
            }
            Happening::Down {
                gateway,
                link,
                orderly,
            } => self.tell(
                gateway,
                Event::PathClosed {
                    path: PathId(link),
                    orderly,
                },
            ),
            Happening::Sent {
                gateway,
                life,
                job,
                txn,
                class,
                left,
            } => {
                if self.gateways[gateway].life == life && self.gateways[gateway].sites.is_some() {
                    self.sent(gateway, job, txn, class, left);
                }
            }
            Happening::Ended {
                gateway,
                life,
                job,
                class,
                settled,
            } => {
                if self.gateways[gateway].life == life && self.gateways[gateway].sites.is_some() {
                    self.ended(gateway, job, class, settled);
                }
            }
            Happening::Wake { gateway, life } => {
                if self.gateways[gateway].life == life {
                    self.gateways[gateway].wake = None;
                    self.tell(gateway, Event::TimerFired);
                }
            }
            Happening::Start { gateway } => self.start(gateway),
            Happening::Trouble => self.trouble(),
        }
    }

    pub(super) fn play(mut self) -> Findings {
        let end = self.trouble_until + SECOND * QUIET;
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(happening);
        }
        self.judge()
    }
}
