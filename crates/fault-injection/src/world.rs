//! The parties around the gateways of two sites, on one loop: servers with cores, queues, warm-up and groups
//! that drop repeats; clients that send at their own times whatever happens; and a relay between the sites'
//! links that delays, drops, repeats and cuts.

use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use harrierdock_event_loop::{
    Connection, ConnectionId, IoContext, ReadResult, ResourceClass, TimerQueue, WriteResult,
};
use harrierdock_http::{write, MessageReader, Progress, RequestHead, ResponseHead};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

pub const SITES: [&str; 2] = ["hobart", "launceston"];
pub const MEMORY: TimeDelta = TimeDelta(1_000_000);
pub const EXPIRY: TimeDelta = TimeDelta(1_500_000);
pub const SLA: TimeDelta = TimeDelta(450_000);
/// Mean work of a request on one core of a warm server.
pub const WORK: TimeDelta = TimeDelta(20_000);
pub const CORES: usize = 2;
pub const FIRST_BUILD: u32 = 41;
const QUEUE_MOST: usize = 24;
/// How a cold server starts, how long it takes to be warm, and what pushes it over.
pub const COLD_FROM: f64 = 0.35;
pub const RAMP: TimeDelta = TimeDelta(4_800_000);
pub const FALL: TimeDelta = TimeDelta(1_000_000);
pub const FALL_MULTIPLE: f64 = 4.0;
pub const GRACE: TimeDelta = TimeDelta(500_000);
/// How long after a request's time its answer is still waited for, before it counts as lost.
const LATE: TimeDelta = TimeDelta(500_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    Draft,
    Payment,
    Lodge,
}

impl RequestClass {
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Draft => "draft",
            RequestClass::Payment => "payment",
            RequestClass::Lodge => "lodge",
        }
    }

    pub fn priority_weight(self) -> f64 {
        if self == RequestClass::Draft {
            1.0
        } else {
            5.0
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The script's next step.
    Step,
    Arrival(usize),
    Txn(usize),
    /// A job, at a server, in one of its lives.
    Done(ConnectionId, usize, u32),
    Datagram(u64),
    /// A front notices which gateways stand.
    Front,
}

pub struct Server {
    pub site: usize,
    pub address: SocketAddr,
    listener: Option<RegistrationToken>,
    life: u32,
    pub started: Option<Timestamp>,
    pub draining: Option<Timestamp>,
    pub fallen: bool,
    /// The build that it runs, and the part of requests that it fails.
    pub build: u32,
    pub fails: f64,
    busy: usize,
    queue: VecDeque<ConnectionId>,
    arrivals: VecDeque<Timestamp>,
}

struct Line {
    connection: Connection,
    server: usize,
    reader: MessageReader,
    /// The request at work or waiting here, when its time is over, and whether it repeats one already run.
    job: Option<(String, Timestamp)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Settled,
    Declined,
    Voided,
}

pub struct Txn {
    pub site: usize,
    pub class: RequestClass,
    pub asked: Timestamp,
    /// The gateway, and which of its lives.
    pub gateway: Option<(usize, u32)>,
    pub answer: Option<(Answer, Timestamp)>,
    pub twice: bool,
    /// Where it ran, and when it came there.
    pub runs: Vec<(usize, Timestamp)>,
    resent: bool,
}

struct Caller {
    connection: Connection,
    gateway: usize,
    life: u32,
    reader: MessageReader,
    txn: Option<usize>,
    used: bool,
}

/// A gateway as clients and relay know it.
#[derive(Clone)]
pub struct Door {
    pub site: usize,
    pub address: Option<SocketAddr>,
    pub life: u32,
    pub alive: bool,
    /// The front sends clients there.
    pub open: bool,
    /// How many of its site's clients come to it, beside the others.
    pub weight: f64,
}

struct Relay {
    front: Rc<UdpSocket>,
    site: usize,
    to: Option<SocketAddr>,
    backs: BTreeMap<SocketAddr, Rc<UdpSocket>>,
}

#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss: f64,
    /// Nothing passes from the first site to the second.
    pub one_way: bool,
    pub cut: bool,
}

#[derive(Default)]
pub struct Found {
    pub after_drain: u64,
    pub cold_pushed_over: u64,
    pub repeats_dropped: u64,
    pub repeats_outside_memory: u64,
    pub never_ran: u64,
    /// How late the loop itself was at the most: a busy machine, not a slow gateway.
    pub rig_late: TimeDelta,
    pub datagrams: u64,
    pub datagrams_dropped: u64,
}

pub struct World {
    pub net: IoContext<World>,
    pub dues: TimerQueue<Due>,
    pub chance: WyRand,
    pub servers: Vec<Server>,
    lines: BTreeMap<ConnectionId, Line>,
    pub txns: Vec<Txn>,
    callers: BTreeMap<ConnectionId, Caller>,
    pub doors: Vec<Door>,
    relays: Vec<Relay>,
    pub faults: Faults,
    packets: BTreeMap<u64, (Rc<UdpSocket>, SocketAddr, Vec<u8>)>,
    last_packet: u64,
    /// Payments that a group of servers has run: by group and key.
    seen: BTreeMap<(usize, String), Timestamp>,
    /// One group drops repeats at both sites.
    pub spans: bool,
    pub rate: [f64; 2],
    pub arriving: bool,
    /// Each site by hand drained since this point.
    pub drained: [Option<Timestamp>; 2],
    pub steps: VecDeque<(Timestamp, Step)>,
    pub found: Found,
}

/// What the script does.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Kill {
        site: usize,
        gateways: bool,
    },
    Back {
        site: usize,
    },
    Cut {
        cut: bool,
    },
    Drain {
        site: usize,
    },
    /// Discovery has told of the servers as they are now.
    Tell {
        site: usize,
    },
    Restart {
        gateway: usize,
    },
    /// A word to the gateways of a site.
    Hand {
        site: usize,
        word: &'static str,
    },
    /// One gateway's part of its site's clients changes.
    Weigh {
        gateway: usize,
        weight: f64,
    },
    /// Every server gets another name; now and then all get another build.
    Churn,
    /// Half of each site's servers get the next build, which fails this part of requests.
    Release {
        fails: f64,
    },
    /// The collector is stopped, or started again.
    Collector {
        up: bool,
    },
    /// Processor time and requests are noted.
    Mark,
    StopArrivals,
    End,
}

/// Gives back the request that a name stands for: `SITE-NUMBER`.
fn number(name: &str) -> Option<usize> {
    name.rsplit('-').next()?.parse().ok()
}

impl World {
    pub fn new(net: IoContext<World>, seed: u64, spans: bool) -> World {
        World {
            net,
            dues: TimerQueue::default(),
            chance: WyRand::new_seed(seed),
            servers: Vec::new(),
            lines: BTreeMap::new(),
            txns: Vec::new(),
            callers: BTreeMap::new(),
            doors: Vec::new(),
            relays: Vec::new(),
            faults: Faults::default(),
            packets: BTreeMap::new(),
            last_packet: 0,
            seen: BTreeMap::new(),
            spans,
            rate: [0.0; 2],
            arriving: false,
            drained: [None; 2],
            steps: VecDeque::new(),
            found: Found::default(),
        }
    }

    pub fn now(&self) -> Timestamp {
        self.net.now()
    }

    /// A span with this mean, as between arrivals that know nothing of each other.
    fn exponential(&mut self, mean: TimeDelta) -> TimeDelta {
        mean * -(1.0 - self.chance.generate::<f64>()).ln()
    }

    // ---- servers ----

    /// Starts a server on a port of its own, cold if told so.
    pub fn open_server(&mut self, ix: usize, cold: bool) -> Result<(), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        listener.set_nonblocking(true).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let call =
            move |_, listener: &mut calloop::generic::NoIoDrop<TcpListener>, world: &mut World| {
                while let Ok((stream, _)) = listener.accept() {
                    if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
                        continue;
                    }
                    let no = world.net.next_connection_id();
                    let ready = move |world: &mut World, _: Readiness| world.hear_line(no);
                    let connection = Connection::register(
                        &mut world.net,
                        stream,
                        Interest::READ,
                        ResourceClass::Reserved,
                        ready,
                    );
                    if let Ok(connection) = connection {
                        let line = Line {
                            connection,
                            server: ix,
                            reader: MessageReader::default(),
                            job: None,
                        };
                        world.lines.insert(no, line);
                    }
                }
                Ok(PostAction::Continue)
            };
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let token = self
            .net
            .handle
            .insert_source(source, call)
            .map_err(|e| e.to_string())?;
        let now = self.now();
        let server = &mut self.servers[ix];
        (server.address, server.listener, server.fallen) = (address, Some(token), false);
        (server.started, server.draining) = (cold.then_some(now), None);
        Ok(())
    }

    pub fn add_server(&mut self, site: usize) -> Result<(), String> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        self.servers.push(Server {
            site,
            address,
            listener: None,
            life: 0,
            started: None,
            draining: None,
            fallen: false,
            build: FIRST_BUILD,
            fails: 0.0,
            busy: 0,
            queue: VecDeque::new(),
            arrivals: VecDeque::new(),
        });
        self.open_server(self.servers.len() - 1, false)
    }

    pub fn stop_server(&mut self, ix: usize) {
        let server = &mut self.servers[ix];
        if let Some(token) = server.listener.take() {
            self.net.handle.remove(token);
        }
        server.life += 1;
        (server.busy, server.queue, server.arrivals) = (0, VecDeque::new(), VecDeque::new());
        let gone: Vec<ConnectionId> = self
            .lines
            .iter()
            .filter(|(_, l)| l.server == ix)
            .map(|l| *l.0)
            .collect();
        gone.into_iter().for_each(|no| self.drop_line(no));
    }

    pub fn runs(&self, ix: usize) -> bool {
        self.servers[ix].listener.is_some()
    }

    fn drop_line(&mut self, no: ConnectionId) {
        if let Some(line) = self.lines.remove(&no) {
            line.connection.close(&mut self.net);
        }
    }

    pub fn warmth(&self, ix: usize) -> f64 {
        let Some(started) = self.servers[ix].started else {
            return 1.0;
        };
        (COLD_FROM + (1.0 - COLD_FROM) * (self.now() - started).ratio_to(RAMP)).min(1.0)
    }

    fn hear_line(&mut self, no: ConnectionId) {
        let Some(line) = self.lines.get_mut(&no) else {
            return;
        };
        match line.connection.read(&mut self.net) {
            ReadResult::Data => {}
            ReadResult::WouldBlock => return,
            _ => {
                // Given up on: what waits is not begun, what runs goes on for nobody.
                let server = line.server;
                self.servers[server].queue.retain(|q| *q != no);
                return self.drop_line(no);
            }
        }
        if line.job.is_some()
            || line.reader.read_request(&mut line.connection.input) != Ok(Progress::Complete)
        {
            return;
        }
        let Ok(Some(head)) = RequestHead::parse(&line.connection.input) else {
            return self.drop_line(no);
        };
        let one = |name| head.fields.single(name).ok().flatten();
        let name = one("X-Txn").unwrap_or("").to_string();
        let left: i64 = one("X-Remaining-Ms")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        let (server, key) = (line.server, one("Idempotency-Key").map(str::to_string));
        let now = self.net.now();
        line.job = Some((name.clone(), now + TimeDelta(left * 1000)));
        self.arrived(server, &name);
        // A repeat within the group's memory is answered without running again.
        if let Some(key) = key {
            let group = if self.spans {
                0
            } else {
                self.servers[server].site
            };
            let first = self.seen.get(&(group, key.clone())).copied();
            if first.is_some_and(|at| now - at < MEMORY) {
                self.found.repeats_dropped += 1;
                return self.reply(no, 200);
            }
            let other = self.seen.contains_key(&(1 - group, key.clone()));
            self.found.repeats_outside_memory += u64::from(first.is_some() || other);
            self.seen.insert((group, key), now);
        }
        let server = &mut self.servers[server];
        if server.fallen {
            return;
        }
        if server.queue.len() >= QUEUE_MOST {
            return self.reply(no, 503);
        }
        server.queue.push_back(no);
        let ix = self.lines[&no].server;
        self.work(ix);
    }

    /// What came, against drains and against what a cold server stands.
    fn arrived(&mut self, ix: usize, name: &str) {
        let (now, warmth) = (self.now(), self.warmth(ix));
        let server = &mut self.servers[ix];
        let late = |since: Option<Timestamp>| since.is_some_and(|at| now - at > GRACE);
        // What came across, not from clients that turned to this site's gateways themselves.
        let by = number(name).and_then(|n| self.txns.get(n)?.gateway);
        let strange = by.is_some_and(|(gateway, _)| self.doors[gateway].site != server.site);
        let drained_site = strange && late(self.drained[server.site]);
        self.found.after_drain += u64::from(late(server.draining) || drained_site);
        server.arrivals.push_back(now);
        while server.arrivals.front().is_some_and(|at| now - *at > FALL) {
            server.arrivals.pop_front();
        }
        let stands = FALL_MULTIPLE * warmth * FALL.ratio_to(WORK) * CORES as f64;
        if warmth < 1.0 && server.arrivals.len() as f64 > stands && !server.fallen {
            server.fallen = true;
            self.found.cold_pushed_over += 1;
        }
    }

    fn work(&mut self, ix: usize) {
        while self.servers[ix].busy < CORES && !self.servers[ix].fallen {
            let Some(no) = self.servers[ix].queue.pop_front() else {
                return;
            };
            let Some((name, until)) = self.lines.get(&no).and_then(|l| l.job.clone()) else {
                continue;
            };
            let now = self.now();
            if until <= now {
                self.found.never_ran += 1;
                self.reply(no, 504);
                continue;
            }
            let site = self.servers[ix].site;
            if let Some(txn) = number(&name).and_then(|n| self.txns.get_mut(n)) {
                txn.runs.push((site, now));
            }
            let warmth = self.warmth(ix);
            let took = self.exponential(WORK / 2.0) + WORK / 2.0;
            self.servers[ix].busy += 1;
            let life = self.servers[ix].life;
            self.dues.set(now + took / warmth, Due::Done(no, ix, life));
        }
    }

    /// A core is free again, also where nobody waits for the answer any more.
    fn done(&mut self, no: ConnectionId, ix: usize, life: u32) {
        if self.servers[ix].life == life {
            self.servers[ix].busy = self.servers[ix].busy.saturating_sub(1);
            let fails = self.servers[ix].fails;
            let fails = fails > 0.0 && self.chance.generate::<f64>() < fails;
            self.reply(no, if fails { 500 } else { 200 });
            self.work(ix);
        }
    }

    fn reply(&mut self, no: ConnectionId, status: u16) {
        let Some(line) = self.lines.get_mut(&no) else {
            return;
        };
        let Some((name, _)) = line.job.take() else {
            return;
        };
        let Some(out) = line.connection.output_buffer(&mut self.net) else {
            return self.drop_line(no);
        };
        write::status_line(out, status);
        if matches!(status, 503 | 504) {
            write::field(out, "X-Turned-Away", 1);
        }
        let body = if status == 200 {
            format!("settled {name}")
        } else {
            String::new()
        };
        write::body(out, body.as_bytes());
        line.reader.consume(&mut line.connection.input);
        line.connection.release_empty_buffers(&mut self.net);
        if line.connection.flush(&mut self.net) != WriteResult::Complete {
            self.drop_line(no);
        }
    }

    // ---- clients ----

    fn arrive(&mut self, site: usize) {
        if !self.arriving {
            return;
        }
        let next = self.exponential(TimeDelta::from_seconds(1.0 / self.rate[site].max(0.001)));
        let now = self.now();
        self.dues.set(now + next, Due::Arrival(site));
        let class = match self.chance.generate::<f64>() {
            p if p < 0.6 => RequestClass::Draft,
            p if p < 0.8 => RequestClass::Payment,
            _ => RequestClass::Lodge,
        };
        let txn = Txn {
            site,
            class,
            asked: now,
            gateway: None,
            answer: None,
            twice: false,
            runs: Vec::new(),
            resent: false,
        };
        self.txns.push(txn);
        let ix = self.txns.len() - 1;
        self.dues.set(now + EXPIRY + LATE, Due::Txn(ix));
        self.ask(ix);
    }

    /// Sends a request to a gateway of its site; of the other one where its own site's are gone.
    fn ask(&mut self, ix: usize) {
        let site = self.txns[ix].site;
        let doors = &self.doors;
        let open = |site: usize| -> Vec<usize> {
            (0..doors.len())
                .filter(|d| doors[*d].site == site && doors[*d].open)
                .collect()
        };
        let mut among = open(site);
        if among.is_empty() {
            among = open(1 - site);
        }
        if among.is_empty() {
            return;
        }
        let mut left = self.chance.generate::<f64>()
            * among.iter().map(|d| self.doors[*d].weight).sum::<f64>();
        let at = among.iter().position(|d| {
            left -= self.doors[*d].weight;
            left < 0.0
        });
        let gateway = among[at.unwrap_or(0)];
        let life = self.doors[gateway].life;
        let idle = |c: &Caller| c.gateway == gateway && c.life == life && c.txn.is_none();
        let kept = self
            .callers
            .iter()
            .rev()
            .find(|(_, c)| idle(c))
            .map(|(no, _)| *no);
        let no = match kept {
            Some(no) => no,
            None => {
                let Some(address) = self.doors[gateway].address else {
                    return;
                };
                let no = self.net.next_connection_id();
                let ready =
                    move |world: &mut World, readiness: Readiness| world.hear_caller(no, readiness);
                let dialled =
                    Connection::connect(&mut self.net, address, ResourceClass::Reserved, ready);
                let Ok(connection) = dialled else { return };
                let caller = Caller {
                    connection,
                    gateway,
                    life,
                    reader: MessageReader::default(),
                    txn: None,
                    used: false,
                };
                self.callers.insert(no, caller);
                no
            }
        };
        let (class, now) = (self.txns[ix].class, self.net.now());
        let left = self.txns[ix].asked + EXPIRY - now;
        let Some(caller) = self.callers.get_mut(&no) else {
            return;
        };
        caller.txn = Some(ix);
        let Some(out) = caller.connection.output_buffer(&mut self.net) else {
            return;
        };
        let method = if class == RequestClass::Draft {
            "GET"
        } else {
            "POST"
        };
        write::request_line(out, method, &format!("/api?obj={ix:016x}"));
        write::field(out, "Host", "app");
        write::field(out, "X-Txn", format_args!("{}-{ix}", SITES[site]));
        write::field(out, "X-Lane", class.name());
        write::field(out, "X-Remaining-Ms", left.0 / 1000);
        if class == RequestClass::Payment {
            write::field(out, "Idempotency-Key", format_args!("key-{ix}"));
        }
        if class == RequestClass::Draft {
            write::end_of_head(out);
        } else {
            write::body(out, b"{\"lines\":[1,2,3]}");
        }
        self.flush_caller(no);
    }

    fn flush_caller(&mut self, no: ConnectionId) {
        let Some(caller) = self.callers.get_mut(&no) else {
            return;
        };
        match caller.connection.flush(&mut self.net) {
            WriteResult::Complete => {
                caller.connection.set_interest(&self.net, true, false);
                let (gateway, life) = (caller.gateway, caller.life);
                if let Some(txn) = caller.txn {
                    self.txns[txn].gateway = Some((gateway, life));
                }
            }
            WriteResult::Partial => caller.connection.set_interest(&self.net, true, true),
            WriteResult::Failed if caller.connection.check_connected().is_ok() && !caller.used => {
                // Not up yet: the callback comes once it is.
                caller.connection.set_interest(&self.net, true, true);
            }
            WriteResult::Failed => self.lose_caller(no),
        }
    }

    fn hear_caller(&mut self, no: ConnectionId, readiness: Readiness) {
        if readiness.writable {
            let Some(caller) = self.callers.get_mut(&no) else {
                return;
            };
            if caller.connection.check_connected().is_err() {
                return self.lose_caller(no);
            }
            self.flush_caller(no);
        }
        let Some(caller) = self.callers.get_mut(&no) else {
            return;
        };
        if !readiness.readable {
            return;
        }
        match caller.connection.read(&mut self.net) {
            ReadResult::Data => {}
            ReadResult::WouldBlock => return,
            _ => return self.lose_caller(no),
        }
        match caller.reader.read_response(&mut caller.connection.input) {
            Ok(Progress::Complete) => {}
            Ok(_) => return,
            Err(_) => return self.lose_caller(no),
        }
        let now = self.net.now();
        let Ok(Some(head)) = ResponseHead::parse(&caller.connection.input) else {
            return self.lose_caller(no);
        };
        let (status, keeps) = (head.status, head.keeps_alive());
        let body = caller.connection.input[caller.reader.body()].to_vec();
        let surplus = caller.connection.input.len() > caller.reader.body().end;
        caller.used = true;
        if let Some(ix) = caller.txn.take() {
            let expected = format!("settled {}-{ix}", SITES[self.txns[ix].site]);
            let answer = match status {
                200 if body == expected.as_bytes() => Answer::Settled,
                429 | 503 => Answer::Declined,
                _ => Answer::Voided,
            };
            let txn = &mut self.txns[ix];
            txn.twice |= txn.answer.is_some() || surplus;
            txn.answer = txn.answer.or(Some((answer, now)));
        }
        caller.reader.consume(&mut caller.connection.input);
        caller.connection.release_empty_buffers(&mut self.net);
        if !keeps || surplus {
            self.lose_caller(no);
        }
    }

    /// A connection is gone. What was asked on one that had been kept is asked once more, as the protocol says.
    fn lose_caller(&mut self, no: ConnectionId) {
        let Some(caller) = self.callers.remove(&no) else {
            return;
        };
        let (txn, used, whole) = (caller.txn, caller.used, caller.connection.output.is_empty());
        let Some(ix) = txn else {
            return caller.connection.close(&mut self.net);
        };
        // What a killed gateway held may have gone on: that is not asked again.
        let door = &self.doors[caller.gateway];
        let again =
            !self.txns[ix].resent && (used || !whole) && door.alive && door.life == caller.life;
        caller.connection.close(&mut self.net);
        if again {
            self.txns[ix].resent = true;
            self.txns[ix].gateway = None;
            self.ask(ix);
        }
    }

    fn txn_over(&mut self, ix: usize) {
        if self.txns[ix].answer.is_some() {
            return;
        }
        // An answer that has come while this loop was busy counts as come.
        let waits = self
            .callers
            .iter()
            .find(|(_, c)| c.txn == Some(ix))
            .map(|(no, _)| *no);
        if let Some(no) = waits {
            self.hear_caller(
                no,
                Readiness {
                    readable: true,
                    writable: false,
                    error: false,
                },
            );
        }
        if self.txns[ix].answer.is_some() {
            return;
        }
        let waits = self
            .callers
            .iter()
            .find(|(_, c)| c.txn == Some(ix))
            .map(|(no, _)| *no);
        if let Some(caller) = waits.and_then(|no| self.callers.remove(&no)) {
            caller.connection.close(&mut self.net);
        }
    }

    // ---- the relay ----

    /// A relay in front of a gateway's link. Gives back where it listens.
    pub fn add_relay(&mut self, site: usize) -> Result<SocketAddr, String> {
        let front = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let (ix, address) = (
            self.relays.len(),
            front.local_addr().map_err(|e| e.to_string())?,
        );
        let front = self.watch(front, move |world, from, bytes| {
            world.forward(ix, from, bytes)
        })?;
        self.relays.push(Relay {
            front,
            site,
            to: None,
            backs: BTreeMap::new(),
        });
        Ok(address)
    }

    pub fn lead(&mut self, relay: usize, to: SocketAddr) {
        self.relays[relay].to = Some(to);
        self.relays[relay].backs.clear();
    }

    fn watch(
        &mut self,
        socket: UdpSocket,
        call: impl Fn(&mut World, SocketAddr, &[u8]) + 'static,
    ) -> Result<Rc<UdpSocket>, String> {
        socket.set_nonblocking(true).map_err(|e| e.to_string())?;
        let socket = Rc::new(socket);
        let (source, reads) = (
            Generic::new(socket.clone(), Interest::READ, Mode::Level),
            socket.clone(),
        );
        let on_ready = move |_, _: &mut _, world: &mut World| {
            let mut bytes = [0_u8; 2048];
            for _ in 0..64 {
                match reads.recv_from(&mut bytes) {
                    Ok((size, from)) => call(world, from, &bytes[..size]),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
            Ok(PostAction::Continue)
        };
        self.net
            .handle
            .insert_source(source, on_ready)
            .map_err(|e| e.to_string())?;
        Ok(socket)
    }

    /// From a gateway of the other site to this relay's gateway.
    fn forward(&mut self, ix: usize, from: SocketAddr, bytes: &[u8]) {
        let Some(to) = self.relays[ix].to else { return };
        let back = match self.relays[ix].backs.get(&from) {
            Some(back) => back.clone(),
            None => {
                let Ok(socket) = UdpSocket::bind("127.0.0.1:0") else {
                    return;
                };
                let answer = move |world: &mut World, _: SocketAddr, bytes: &[u8]| {
                    let (front, site) = (world.relays[ix].front.clone(), world.relays[ix].site);
                    world.carry(site, front, from, bytes);
                };
                let Ok(back) = self.watch(socket, answer) else {
                    return;
                };
                self.relays[ix].backs.insert(from, back.clone());
                back
            }
        };
        let site = 1 - self.relays[ix].site;
        self.carry(site, back, to, bytes);
    }

    /// A datagram on its way from a site: dropped, or delayed by the sites' distance and now and then repeated.
    fn carry(&mut self, from: usize, socket: Rc<UdpSocket>, to: SocketAddr, bytes: &[u8]) {
        let Faults { loss, one_way, cut } = self.faults;
        self.found.datagrams += 1;
        if cut || (one_way && from == 0) || self.chance.generate::<f64>() < loss {
            self.found.datagrams_dropped += 1;
            return;
        }
        let copies = 1 + usize::from(self.chance.generate::<f64>() < loss / 10.0);
        for _ in 0..copies {
            let after = TimeDelta(self.chance.generate_range(700..1300));
            self.last_packet += 1;
            self.packets
                .insert(self.last_packet, (socket.clone(), to, bytes.to_vec()));
            self.dues
                .set(self.net.now() + after, Due::Datagram(self.last_packet));
        }
    }

    // ---- time ----

    /// Does what is due, but for the script's steps, which it gives back.
    pub fn fall_due(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        while let Some(at) = self.dues.next_deadline().filter(|at| *at <= self.now()) {
            let late = self.now() - at;
            self.found.rig_late = self.found.rig_late.max(late);
            let Some(due) = self.dues.pop_expired(at) else {
                break;
            };
            match due {
                Due::Step => {
                    while self.steps.front().is_some_and(|s| s.0 <= at) {
                        steps.extend(self.steps.pop_front().map(|s| s.1));
                    }
                }
                Due::Arrival(site) => self.arrive(site),
                Due::Txn(ix) => self.txn_over(ix),
                Due::Done(no, ix, life) => self.done(no, ix, life),
                Due::Datagram(no) => {
                    if let Some((socket, to, bytes)) = self.packets.remove(&no) {
                        let _ = socket.send_to(&bytes, to);
                    }
                }
                Due::Front => {
                    for door in &mut self.doors {
                        door.open = door.alive;
                    }
                }
            }
        }
        steps
    }
}
