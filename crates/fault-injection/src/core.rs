//! Two sites without sockets: the deciding parts of several gateways on a simulated network, in simulated time.
//! Letters are lost, repeated and put out of order, links are cut one way or both, gateways are killed and
//! start anew, sites vanish and are drained; then the rules are checked on all that happened.

use harrierdock_types::BuildId;
use harrierdock_types::ClassId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use harrierdock_multi_site::{
    Action, Change, Event, InboundId, MultiSite, MultiSiteConfig, OperatorCommand, PathId,
    RequestClass, RequestEnd, TrafficLocation,
};
use harrierdock_site_messages::{ForwardingOutcome, GatewayName, SiteMessage};
use harrierdock_types::{IdempotencyScope, RequestId, RetrySafety};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};
use serde::Serialize;

const SECOND: TimeDelta = TimeDelta(1_000_000);
const TICK: TimeDelta = TimeDelta(5_000);
const MEMORY: TimeDelta = TimeDelta(1_000_000);
const EXPIRY: TimeDelta = TimeDelta(1_500_000);
/// Simulated time of one seed: trouble, then quiet in which all must be settled.
const TROUBLE: f64 = 20.0;
const QUIET: f64 = 8.0;

fn classes() -> Vec<RequestClass> {
    let class = |name: &str, repeat, priority_weight, spans| {
        let (name, latency_objective) = (name.to_string(), TimeDelta(400_000));
        RequestClass {
            name,
            retry_safety: repeat,
            latency_objective,
            timeout: EXPIRY,
            priority_weight,
            deduplicates_across_sites: spans,
        }
    };
    let referenced = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: MEMORY,
    };
    vec![
        class("draft", RetrySafety::Idempotent, 1.0, false),
        class("payment", referenced, 5.0, true),
        class("ledger", referenced, 5.0, false),
        class("lodge", RetrySafety::NonIdempotent, 5.0, false),
    ]
}

/// What is checked, over all seeds played.
#[derive(Debug, Default, Serialize)]
pub struct Findings {
    pub seeds: u64,
    pub taken: u64,
    pub answered_once: u64,
    pub answered_twice: u64,
    pub unanswered: u64,
    pub late: u64,
    pub once_only_run_twice: u64,
    pub repeats_outside_memory: u64,
    pub settled_without_run: u64,
    pub declined_but_ran: u64,
    pub taken_while_drained: u64,
    pub crossed: u64,
    pub crossed_settled: u64,
    pub most_moves_a_minute: u64,
    pub left_owed: u64,
    pub first_bad_seed: Option<u64>,
    pub ok: bool,
}

impl Findings {
    fn broken(&self) -> u64 {
        let of_answers =
            self.answered_twice + self.unanswered + self.late + self.settled_without_run;
        let of_runs =
            self.once_only_run_twice + self.repeats_outside_memory + self.declined_but_ran;
        of_answers + of_runs + self.taken_while_drained + self.left_owed
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Job {
    Client(RequestId),
    Inward(u64),
}

enum Happening {
    Arrive {
        gateway: usize,
    },
    SiteMessage {
        to: usize,
        link: u64,
        letter: Box<SiteMessage>,
    },
    Up {
        from: usize,
        to: usize,
        link: u64,
    },
    Unreachable {
        gateway: usize,
        peer: GatewayName,
    },
    Down {
        gateway: usize,
        link: u64,
        orderly: bool,
    },
    Sent {
        gateway: usize,
        life: u32,
        job: Job,
        txn: u64,
        class: usize,
        left: TimeDelta,
    },
    Ended {
        gateway: usize,
        life: u32,
        job: Job,
        class: usize,
        settled: bool,
    },
    Wake {
        gateway: usize,
        life: u32,
    },
    Start {
        gateway: usize,
    },
    Trouble,
}

struct Gateway {
    party: GatewayName,
    address: SocketAddr,
    sites: Option<MultiSite>,
    life: u32,
    drained: bool,
    wake: Option<Timestamp>,
    /// Which request each job of the module's is for, and those that have ended.
    inward: BTreeMap<u64, u64>,
}

struct Txn {
    gateway: usize,
    life: u32,
    class: usize,
    expiry: Timestamp,
    answers: Vec<(ForwardingOutcome, Timestamp)>,
    runs: Vec<(usize, Timestamp)>,
    across: bool,
    /// The module here declined it, or it came back: it does not cross (again).
    spent: bool,
}

struct World {
    now: Timestamp,
    chance: WyRand,
    queue: BTreeMap<(Timestamp, u64), Happening>,
    numbered: u64,
    gateways: Vec<Gateway>,
    links: BTreeMap<u64, (usize, usize)>,
    txns: Vec<Txn>,
    loss: f64,
    /// Nothing goes from the first site to the second, or back.
    cut: [bool; 2],
    vanished: [bool; 2],
    trouble_until: Timestamp,
    moves: BTreeMap<usize, Vec<Timestamp>>,
    found: Findings,
}

/// The second site's clocks are half a minute ahead.
fn own_time(gateway: usize, at: Timestamp) -> Timestamp {
    at + SECOND * (30.0 * site(gateway) as f64)
}

fn site(gateway: usize) -> usize {
    gateway % 2
}

const SITES: [&str; 2] = ["hobart", "launceston"];

impl World {
    fn new(seed: u64, each: usize) -> World {
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

    fn after(&mut self, span: TimeDelta, happening: Happening) {
        self.numbered += 1;
        self.queue
            .insert((self.now + span, self.numbered), happening);
    }

    fn draw(&mut self, below: f64) -> bool {
        self.chance.generate::<f64>() < below
    }

    fn span(&mut self, from: i64, to: i64) -> TimeDelta {
        TimeDelta(self.chance.generate_range(from..to))
    }

    fn start(&mut self, ix: usize) {
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

    fn kill(&mut self, ix: usize) {
        self.gateways[ix].sites = None;
        let ends: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, e)| e.0 == ix || e.1 == ix)
            .map(|(no, _)| *no)
            .collect();
        for link in ends {
            self.hang_up(link, ix, false);
        }
        let back = self.span(100_000, 3_000_000);
        self.after(back, Happening::Start { gateway: ix });
    }

    /// The other end learns of it late.
    fn hang_up(&mut self, link: u64, by: usize, orderly: bool) {
        if let Some((a, b)) = self.links.remove(&link) {
            let (other, late) = (if a == by { b } else { a }, self.span(1_000, 3_000_000));
            self.after(
                late,
                Happening::Down {
                    gateway: other,
                    link,
                    orderly,
                },
            );
        }
    }

    fn tell(&mut self, ix: usize, event: Event) {
        let now = own_time(ix, self.now);
        let Some(sites) = &mut self.gateways[ix].sites else {
            return;
        };
        for action in sites.handle(now, event) {
            self.obey(ix, action);
        }
    }

    fn obey(&mut self, ix: usize, action: Action) {
        let (now, life) = (self.now, self.gateways[ix].life);
        match action {
            Action::ServeLocally {
                id,
                remaining: left,
            } => {
                let txn = &mut self.txns[id.0 as usize];
                txn.spent |= txn.across;
                let class = txn.class;
                self.serve(ix, Job::Client(id), id.0, class, left);
            }
            Action::Forward {
                id,
                path,
                forwarding_id,
                receiver_incarnation,
                heartbeat_sequence,
                remaining: left,
            } => {
                let txn = &mut self.txns[id.0 as usize];
                assert!(
                    !txn.across,
                    "seed {}: a txn went across twice",
                    self.found.seeds
                );
                txn.across = true;
                self.found.crossed += 1;
                let handover = harrierdock_site_messages::ForwardedRequest {
                    forwarding_id,
                    sender_incarnation: self.gateways[ix]
                        .sites
                        .as_ref()
                        .map_or(0, MultiSite::incarnation),
                    receiver_incarnation,
                    heartbeat_sequence,
                    class: classes()[txn.class].name.clone(),
                    remaining_ms: (left.0 / 1000) as u32,
                    request_id: id.0.to_string(),
                    ..Default::default()
                };
                self.send(ix, path.0, SiteMessage::Request(handover));
            }
            Action::Succeed { id, .. } => {
                self.found.crossed_settled += 1;
                self.answer(id, ForwardingOutcome::Succeeded);
            }
            Action::Reject { id, .. } => self.answer(id, ForwardingOutcome::NotAccepted),
            Action::Fail { id } => self.answer(id, ForwardingOutcome::Failed),
            Action::ServeInbound {
                inbound: InboundId(inward),
                class,
                remaining: left,
                request: handover,
                ..
            } => {
                let txn = handover.request_id.parse().unwrap_or(0);
                self.found.taken_while_drained += u64::from(self.gateways[ix].drained);
                self.gateways[ix].inward.insert(inward, txn);
                self.serve(ix, Job::Inward(inward), txn, class.0, left);
            }
            Action::AbandonInbound {
                inbound: InboundId(inward),
            } => {
                if self.gateways[ix].inward.remove(&inward).is_some() {
                    let (verdict, body) = (ForwardingOutcome::Failed, Vec::new());
                    self.tell(
                        ix,
                        Event::InboundCompleted {
                            inbound: InboundId(inward),
                            outcome: verdict,
                            build: None,
                            body,
                        },
                    );
                }
            }
            Action::Connect { peer, address } => {
                let to = self
                    .gateways
                    .iter()
                    .position(|g| g.address == address && g.party == peer);
                let reached =
                    to.filter(|to| self.gateways[*to].sites.is_some() && !self.cut.contains(&true));
                let took = self.span(1_000, 50_000);
                match reached {
                    Some(to) => {
                        self.numbered += 1;
                        let link = self.numbered;
                        self.after(took, Happening::Up { from: ix, to, link });
                    }
                    None => self.after(SECOND, Happening::Unreachable { gateway: ix, peer }),
                }
            }
            Action::ClosePath { path } => self.hang_up(path.0, ix, true),
            Action::Send { path, message } => self.send(ix, path.0, message),
            Action::StatusChanged(Change::TrafficMoved { location: home, .. }) => {
                if home != TrafficLocation::Local {
                    self.moves.entry(ix).or_default().push(now);
                }
            }
            Action::StatusChanged(_) => {}
            Action::SetTimer { after } => {
                let at = now + after;
                if self.gateways[ix].wake.is_none_or(|w| at < w || w <= now) {
                    self.gateways[ix].wake = Some(at);
                    self.after(after, Happening::Wake { gateway: ix, life });
                }
            }
        }
    }

    fn send(&mut self, ix: usize, link: u64, letter: SiteMessage) {
        let Some((a, b)) = self.links.get(&link).copied() else {
            return;
        };
        let to = if a == ix { b } else { a };
        // What is cut is lost; otherwise beats are lost by chance, and other letters come late instead.
        if self.cut[site(ix)] {
            return;
        }
        let (lossy, loss) = (matches!(letter, SiteMessage::Heartbeat(_)), self.loss);
        if lossy && self.draw(loss) {
            return;
        }
        let copies = 1 + usize::from(self.draw(loss / 3.0));
        for _ in 0..copies {
            let mut took = self.span(500, 5_000);
            while !lossy && self.draw(loss) {
                took = took + TimeDelta(40_000);
            }
            // Now and then one is overtaken by much of what follows it.
            if !lossy && self.draw(loss / 10.0) {
                took = took + self.span(100_000, 2_500_000);
            }
            let letter = Box::new(letter.clone());
            self.after(took, Happening::SiteMessage { to, link, letter });
        }
    }

    /// The module stands for its servers: it serves after a while, or declines at once what has not run.
    fn serve(&mut self, ix: usize, job: Job, txn: u64, class: usize, left: TimeDelta) {
        let full = self.draw(0.05) || self.vanished[site(ix)];
        let life = self.gateways[ix].life;
        if full {
            return match job {
                Job::Inward(inward) => {
                    self.gateways[ix].inward.remove(&inward);
                    let verdict = ForwardingOutcome::NotAccepted;
                    self.tell(
                        ix,
                        Event::InboundCompleted {
                            inbound: InboundId(inward),
                            outcome: verdict,
                            build: None,
                            body: Vec::new(),
                        },
                    );
                    let (ending, took) = (RequestEnd::Rejected, TimeDelta::ZERO);
                    self.tell(
                        ix,
                        Event::RequestEnded {
                            class: ClassId(class),
                            end: ending,
                            elapsed: took,
                        },
                    );
                }
                Job::Client(id) => {
                    let spent = std::mem::replace(&mut self.txns[id.0 as usize].spent, true);
                    if spent {
                        self.answer(id, ForwardingOutcome::NotAccepted);
                    } else {
                        self.tell(
                            ix,
                            Event::LocallyRejected {
                                id,
                                class: ClassId(class),
                                remaining: left,
                            },
                        );
                    }
                }
            };
        }
        // Some wait for room; none is sent after its time.
        let waits = if self.draw(0.2) {
            self.span(0, 1_000_000).min(left)
        } else {
            TimeDelta::ZERO
        };
        self.after(
            waits,
            Happening::Sent {
                gateway: ix,
                life,
                job,
                txn,
                class,
                left: left - waits,
            },
        );
    }

    /// It runs whatever becomes of its answer, which is waited for until its time is up.
    fn sent(&mut self, ix: usize, job: Job, txn: u64, class: usize, left: TimeDelta) {
        let open = match job {
            Job::Client(id) => self.txns[id.0 as usize].answers.is_empty(),
            Job::Inward(inward) => self.gateways[ix].inward.contains_key(&inward),
        };
        if !open {
            return;
        }
        let (at, life, took) = (self.now, self.gateways[ix].life, self.span(5_000, 300_000));
        self.txns[txn as usize].runs.push((site(ix), at));
        let settled = took <= left && !self.draw(0.05);
        self.after(
            took.min(left),
            Happening::Ended {
                gateway: ix,
                life,
                job,
                class,
                settled,
            },
        );
    }

    fn ended(&mut self, ix: usize, job: Job, class: usize, settled: bool) {
        match job {
            Job::Inward(inward) => {
                if self.gateways[ix].inward.remove(&inward).is_some() {
                    let verdict = if settled {
                        ForwardingOutcome::Succeeded
                    } else {
                        ForwardingOutcome::Failed
                    };
                    let body = vec![7; 50];
                    self.tell(
                        ix,
                        Event::InboundCompleted {
                            inbound: InboundId(inward),
                            outcome: verdict,
                            build: Some(BuildId(1)),
                            body,
                        },
                    );
                }
            }
            Job::Client(id) => self.answer(
                id,
                if settled {
                    ForwardingOutcome::Succeeded
                } else {
                    ForwardingOutcome::Failed
                },
            ),
        }
        let ending = if settled {
            RequestEnd::Succeeded
        } else {
            RequestEnd::Failed
        };
        self.tell(
            ix,
            Event::RequestEnded {
                class: ClassId(class),
                end: ending,
                elapsed: TimeDelta(100_000),
            },
        );
    }

    fn answer(&mut self, id: RequestId, verdict: ForwardingOutcome) {
        let now = self.now;
        self.txns[id.0 as usize].answers.push((verdict, now));
    }

    fn trouble(&mut self) {
        if self.now >= self.trouble_until {
            (self.loss, self.cut, self.vanished) = (0.0, [false; 2], [false; 2]);
            for ix in 0..self.gateways.len() {
                if std::mem::take(&mut self.gateways[ix].drained) {
                    self.tell(ix, Event::OperatorCommand(OperatorCommand::Resume));
                }
                self.tell(ix, Event::EndpointsUpdated { ready: 4 });
            }
            return;
        }
        let which = self.chance.generate_range(0..2_usize);
        let some = self.chance.generate_range(0..self.gateways.len());
        match self.chance.generate_range(0..9_u32) {
            0 => self.loss = [0.0, 0.1, 0.3][self.chance.generate_range(0..3_usize)],
            1 => self.cut[which] = !self.cut[which],
            2 => self.cut = if self.cut[0] { [false; 2] } else { [true; 2] },
            3 if self.gateways[some].sites.is_some() => self.kill(some),
            4 => {
                for ix in (0..self.gateways.len())
                    .filter(|ix| site(*ix) == which)
                    .collect::<Vec<_>>()
                {
                    if self.gateways[ix].sites.is_some() {
                        self.kill(ix);
                    }
                }
            }
            5 => {
                self.vanished[which] = !self.vanished[which];
                let ready = if self.vanished[which] { 0 } else { 4 };
                for ix in (0..self.gateways.len())
                    .filter(|ix| site(*ix) == which)
                    .collect::<Vec<_>>()
                {
                    self.tell(ix, Event::EndpointsUpdated { ready });
                }
            }
            6 if self.gateways[some].sites.is_some() => {
                let drained = !self.gateways[some].drained;
                self.gateways[some].drained = drained;
                self.tell(
                    some,
                    Event::OperatorCommand(if drained {
                        OperatorCommand::Drain
                    } else {
                        OperatorCommand::Resume
                    }),
                );
            }
            _ => {}
        }
        let next = self.span(200_000, 1_500_000);
        self.after(next, Happening::Trouble);
    }

    fn happen(&mut self, happening: Happening) {
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

    fn play(mut self) -> Findings {
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

    fn judge(mut self) -> Findings {
        let classes = classes();
        let found = &mut self.found;
        for txn in &self.txns {
            let lived = self.gateways[txn.gateway].life == txn.life;
            let repeat = classes[txn.class].retry_safety;
            if lived {
                found.taken += 1;
                found.answered_once += u64::from(txn.answers.len() == 1);
                found.unanswered += u64::from(txn.answers.is_empty());
                found.late += u64::from(txn.answers.iter().any(|a| a.1 > txn.expiry + TICK));
            }
            found.answered_twice += u64::from(txn.answers.len() > 1);
            if repeat == RetrySafety::NonIdempotent {
                found.once_only_run_twice += u64::from(txn.runs.len() > 1);
            }
            if let RetrySafety::IdempotencyKey { .. } = repeat {
                let first = txn.runs.first().map(|r| r.1);
                let apart = |r: &(usize, Timestamp)| first.is_some_and(|f| r.1 - f > MEMORY);
                let sites: BTreeSet<usize> = txn.runs.iter().map(|r| r.0).collect();
                let strays = sites.len() > 1 && !classes[txn.class].deduplicates_across_sites;
                found.repeats_outside_memory += u64::from(strays || txn.runs.iter().any(apart));
            }
            let first = txn.answers.first().map(|a| a.0);
            found.settled_without_run +=
                u64::from(first == Some(ForwardingOutcome::Succeeded) && txn.runs.is_empty());
            // A client may try again what was declined: that must not have run, once-only or outside a group.
            let harmless = match repeat {
                RetrySafety::Idempotent => true,
                RetrySafety::IdempotencyKey { .. } => classes[txn.class].deduplicates_across_sites,
                RetrySafety::NonIdempotent => false,
            };
            let declined = first == Some(ForwardingOutcome::NotAccepted);
            found.declined_but_ran += u64::from(declined && !harmless && !txn.runs.is_empty());
        }
        for points in self.moves.values() {
            let within = |from: &Timestamp| {
                points
                    .iter()
                    .filter(|p| **p >= *from && **p - *from < SECOND * 60.0)
                    .count()
            };
            found.most_moves_a_minute = found
                .most_moves_a_minute
                .max(points.iter().map(within).max().unwrap_or(0) as u64);
        }
        for gateway in &self.gateways {
            let open = gateway.sites.as_ref().map(MultiSite::open_requests);
            let open = open.unwrap_or_default();
            found.left_owed += (open.outbound + open.inbound) as u64;
        }
        self.found
    }
}

/// Plays seeds, one after another, and adds up what was found.
pub fn play(first: u64, seeds: u64, gateways: usize, mut progress: impl FnMut(u64)) -> Findings {
    let mut all = Findings::default();
    for seed in first..first + seeds {
        let found = World::new(seed, gateways).play();
        if found.broken() > 0 && all.first_bad_seed.is_none() {
            all.first_bad_seed = Some(seed);
        }
        all.seeds += 1;
        all.taken += found.taken;
        all.answered_once += found.answered_once;
        all.answered_twice += found.answered_twice;
        all.unanswered += found.unanswered;
        all.late += found.late;
        all.once_only_run_twice += found.once_only_run_twice;
        all.repeats_outside_memory += found.repeats_outside_memory;
        all.settled_without_run += found.settled_without_run;
        all.declined_but_ran += found.declined_but_ran;
        all.taken_while_drained += found.taken_while_drained;
        all.crossed += found.crossed;
        all.crossed_settled += found.crossed_settled;
        all.most_moves_a_minute = all.most_moves_a_minute.max(found.most_moves_a_minute);
        all.left_owed += found.left_owed;
        progress(seed);
    }
    all.ok = all.broken() == 0 && all.most_moves_a_minute <= 10 && all.crossed_settled > 0;
    all
}
