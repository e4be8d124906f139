//! One gateway: its parts, its loop, how it is told anew, and how it ends.

use std::path::PathBuf;

use calloop::signals::{Event, Signal, Signals};
use calloop::EventLoop;
use harrierdock_event_loop::{logging, BufferPool, DescriptorBudget, IoContext};
use harrierdock_flow_export::{ExporterSetup, FlowExporter};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::config::extensions::With;
use crate::config::gateway::{RolloutsTold, Told};
use crate::control_plane::discovery::Discovery;
use crate::control_plane::rollout_platform::Platform;
use crate::dispatch::dispatcher::Driver;
use crate::downstream::{Clients, Serving, UNUSED};
use crate::gossip::Peers;
use crate::lease::participant::Duties;
use crate::metrics::Count;
use crate::multi_site::control_socket::Control;
use crate::multi_site::forwarding::Across;
use crate::rollout::controller::{Spans, Stewarding};
use crate::runtime::context::Room;
use crate::runtime::timer::Due;
use crate::upstream::Upstream;

/// How long after a signal to end new requests may still come.
const SHUTDOWN_GRACE: TimeDelta = TimeDelta(700_000);
/// The longest time that a client's wait counts for in ending.
const LONGEST_WAIT: TimeDelta = TimeDelta(3_000_000);
/// The shortest pause of periodic work, whatever is told.
const LEAST: TimeDelta = TimeDelta(1_000);
/// Kept aside: standard streams (3), the loop's own (3), signals, listener, peers, discovery, the platform's
/// stream, as many again for those being replaced, and votes.
const RESERVE: usize = 24;

const REPORT: TimeDelta = TimeDelta(10_000_000);

pub struct Gateway {
    pub room: Room,
    pub driver: Driver,
    pub clients: Clients,
    pub servers: Upstream,
    pub discovery: Discovery,
    pub platform: Option<Platform>,
    pub peers: Option<Peers>,
    /// The other site, where one is told.
    pub across: Option<Across>,
    pub control: Option<Control>,
    pub export: Option<Box<FlowExporter>>,
    /// This gateway's part in a fleet, and in the waves of a release, where they are told.
    pub duties: Option<Box<Duties>>,
    pub stewarding: Option<Box<Stewarding>>,
    /// When the fleet's part asked to be woken.
    pub fleet_armed: Option<Timestamp>,
    /// The file of our own that a reload reads again.
    with: Option<PathBuf>,
    /// The file that a reload reads again.
    path: PathBuf,
    vote_timeout: TimeDelta,
    /// How often connections and streams are looked after: as long as a connection may take to come up, and
    /// often enough to close those that say nothing in their time.
    tending: TimeDelta,
    /// How often it is looked at whether the end has come: at each tick of the settings.
    tick: TimeDelta,
    longest: TimeDelta,
    shutdown_since: Option<Timestamp>,
    ended: bool,
}

/// Serves until it is told to end.
pub fn serve(told: &Told, with: Option<PathBuf>) -> Result<(), String> {
    let mut event_loop: EventLoop<Gateway> =
        EventLoop::try_new().map_err(|e| format!("no event loop: {e}"))?;
    let mut gateway = Gateway::new(told, with, &event_loop)?;
    let address = gateway
        .clients
        .address()
        .map_err(|e| format!("no address: {e}"))?;
    tracing::info!("{} serves on {address}", told.name);
    while !gateway.ended {
        let wait = gateway
            .room
            .dues
            .next_deadline()
            .map(|at| gateway.room.clock.duration_until(at));
        // Guards against one socket's trouble ending them all: the loop goes on.
        if let Err(e) = event_loop.dispatch(wait, &mut gateway) {
            gateway
                .room
                .counters
                .must(false, &format!("the loop goes through: {e}"));
        }
        gateway.fall_due();
    }
    gateway.report();
    gateway.end_export();
    tracing::info!("{} ends", told.name);
    Ok(())
}

impl Gateway {
    fn new(
        told: &Told,
        with_path: Option<PathBuf>,
        event_loop: &EventLoop<'static, Gateway>,
    ) -> Result<Gateway, String> {
        let with = With::read(with_path.as_deref())?;
        told.check_with(with_path.as_deref(), &with)?;
        let (terms, names) = told.terms()?;
        let limits = &terms.limits;
        let (connect, idle, tick) = (
            limits.connect_timeout,
            limits.idle_timeout,
            terms.tick.max(LEAST),
        );
        let longest = terms
            .classes
            .iter()
            .map(|p| p.timeout)
            .max()
            .unwrap_or(LONGEST_WAIT)
            .min(LONGEST_WAIT);
        let pool = BufferPool::new(told.limits.memory_mb);
        let descriptors = DescriptorBudget::new(told.limits.sockets, RESERVE + with.descriptors());
        let mut room = Room::new(IoContext::new(event_loop.handle(), pool, descriptors));
        let listens = |e| format!("cannot listen on {}: {e}", told.listen);
        let tending = connect.clamp(LEAST, UNUSED / 4.0);
        let (classes, sockets) = (names.classes.clone(), told.limits.sockets);
        let clients =
            Clients::new(told.listen, classes, idle, tending, sockets).map_err(listens)?;
        let on_mail = |gateway: &mut Gateway| {
            if let Some(peers) = &gateway.peers {
                peers.hear(&mut gateway.room);
            }
            gateway.settle();
        };
        let peers = Peers::open(&room.handle, told, terms.local_peer, on_mail);
        let peers = peers.map_err(|e| format!("cannot hear peers: {e}"))?;
        let across = Across::open(&room, told, &with)?;
        let control = with
            .sites
            .as_ref()
            .and_then(|s| s.control.as_ref())
            .map(|path| with.path(path));
        let control = control
            .map(|path| Control::open(&room.handle, path))
            .transpose()?;
        let (vote_timeout, vote_ttl) = (terms.rollout.vote_timeout, terms.rollout.vote_ttl);
        let platform = told
            .rollouts
            .as_ref()
            .map(|r| Platform::new(r.address, vote_timeout, tending));
        let discovery = Discovery::new(room.now(), told.discovery, tending, &terms, told.seed());
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
            .map_err(|e| format!("no signals: {e}"))?;
        // Guards against a signal that ends the program at once: a helper thread takes over the signals that are held
        // back when it starts, so it starts only now.
        let latency_objectives = terms.classes.iter().map(|p| p.latency_objective).collect();
        let export = match &with.flows {
            Some(settings) => {
                let setup = ExporterSetup {
                    settings,
                    folder: with.folder(),
                    latency_objectives,
                    seed: told.seed(),
                };
                let exporter = FlowExporter::open(room.now(), setup).map_err(|e| e.to_string())?;
                Some(Box::new(exporter))
            }
            None => None,
        };
        let on_signal = |event: Event, _: &mut (), gateway: &mut Gateway| match event.signal() {
            Signal::SIGHUP => gateway.reload(),
            _ => gateway.shut_down(),
        };
        event_loop
            .handle()
            .insert_source(signals, on_signal)
            .map_err(|e| format!("no signals: {e}"))?;
        room.due_in(TimeDelta::ZERO, Due::Tend);
        room.due_in(REPORT, Due::Report);
        let mut gateway = Gateway {
            room,
            driver: Driver::new(terms, names, told.seed()),
            clients,
            servers: Upstream::new(connect, idle),
            discovery,
            platform,
            peers,
            across,
            control,
            export,
            duties: None,
            stewarding: None,
            fleet_armed: None,
            with: with_path,
            path: told.path.clone(),
            vote_timeout,
            tending,
            tick,
            longest,
            shutdown_since: None,
            ended: false,
        };
        let Gateway {
            room,
            driver,
            servers,
            discovery,
            platform,
            ..
        } = &mut gateway;
        discovery.recall(room, &mut driver.names, servers, &told.known);
        if let (Some(platform), Some(news)) =
            (platform, told.rollouts.as_ref().and_then(|r| r.news))
        {
            platform.learn(room, news, false);
        }
        let now = gateway.room.now();
        gateway.sites(now, harrierdock_multi_site::Event::TimerFired);
        let heartbeat = with
            .fleet
            .as_ref()
            .map_or(tending, |f| TimeDelta(i64::from(f.heartbeat_ms) * 1000));
        let spans = Spans {
            vote_ttl,
            call_wait: vote_timeout.max(tending),
            heartbeat,
        };
        gateway.begin_duties(told, &with, &spans)?;
        gateway.settle();
        gateway.look_ready();
        gateway.clients.open(&gateway.room)?;
        Ok(gateway)
    }

    fn fall_due(&mut self) {
        let now = self.room.now();
        while let Some(due) = self.room.dues.pop_expired(now) {
            match due {
                Due::Wake => self.wake(),
                Due::Submission(no) => self.servers.give_up(&mut self.room, no),
                Due::Vote(no) => {
                    if let Some(platform) = &mut self.platform {
                        platform.give_up(&mut self.room, no);
                    }
                }
                Due::Txn(id) => self.overdue(id),
                Due::Link => self.link_due(),
                Due::Sites => self.sites_due(),
                Due::Fleet => self.fleet_due(),
                Due::Steward => self.steward_due(),
                Due::Call(no) => self.give_up_call(no),
                Due::Tend => self.tend(),
                Due::Shutdown => self.advance_shutdown(),
                Due::Report => {
                    self.report();
                    self.room.due_in(REPORT, Due::Report);
                }
            }
            self.settle();
        }
    }

    fn tend(&mut self) {
        if self.clients.is_paused() && self.room.descriptors.available() == 0 {
            self.make_room();
        }
        let room = &mut self.room;
        self.servers.tend(room);
        self.clients.tend(room);
        self.discovery.tend(room);
        if let Some(platform) = &mut self.platform {
            platform.tend(room);
        }
        if let Some(control) = &mut self.control {
            control.tend(&room.handle, room.net.now());
        }
        logging::flush();
        self.tell_flows();
        self.room.due_in(self.tending, Due::Tend);
    }

    /// Ends once no client is left, after the time in which new ones may come.
    fn advance_shutdown(&mut self) {
        let Some(since) = self.shutdown_since else {
            return;
        };
        self.accept();
        let none_left = self.clients.close_between_requests(&mut self.room);
        self.settle();
        self.ended |= none_left && self.driver.owed() == 0;
        if self.room.now() >= since + SHUTDOWN_GRACE + self.longest {
            // Whoever still waits is told so, while there is time to.
            self.void_all();
            self.ended = true;
        }
        self.room.due_in(self.tick, Due::Shutdown);
    }

    /// How long a request taken now may take at the most. Guards against a kill that finds it unanswered: one that comes
    /// after the time in which new ones may come has its answer as long before the earliest kill as a connection may
    /// take to come up. Those before it have until their own time is up.
    pub fn left_before_kill(&self, now: Timestamp) -> TimeDelta {
        match self.shutdown_since {
            Some(since) if now > since + SHUTDOWN_GRACE => {
                (since + SHUTDOWN_GRACE + self.longest - self.tending - now).max(TimeDelta::ZERO)
            }
            _ => TimeDelta(i64::MAX),
        }
    }

    /// It is ready once it knows a list.
    pub fn look_ready(&mut self) {
        if self.discovery.knows() {
            self.clients.turn(Serving::Ready);
        }
    }

    pub fn accept(&mut self) {
        if self.clients.accept(&mut self.room) && !self.make_room() {
            self.clients.pause(&self.room);
        }
    }

    /// Closes a connection to make room for another. Guards against strangers that cost others their connections:
    /// kept ones to endpoints go only when no client's is to be spared, and clients' used lately come last.
    pub fn make_room(&mut self) -> bool {
        let room = &mut self.room;
        self.clients.make_room(room)
            || self.servers.close_idle(room)
            || self.clients.close_unused(room)
    }

    /// Reads the configuration again and turns to the addresses it tells. All else stays as it is: what is
    /// known, what is under way, every connection to clients and endpoints. A file that cannot be read changes
    /// nothing.
    fn reload(&mut self) {
        let told = match Told::read_again(&self.path) {
            Ok(told) => told,
            Err(e) => return tracing::warn!("told to reload, nothing changes: {e}"),
        };
        tracing::info!("told to reload");
        if self.with.is_some() {
            match With::read(self.with.as_deref()) {
                Ok(with) => self.renew(&told, &with),
                Err(e) => tracing::warn!("told to reload, the keys held stay: {e}"),
            }
        }
        self.discovery.turn_to(&mut self.room, told.discovery);
        if let Some(RolloutsTold { address, .. }) = told.rollouts {
            let new = || Platform::new(address, self.vote_timeout, self.tending);
            self.platform
                .get_or_insert_with(new)
                .turn_to(&mut self.room, address);
        }
    }

    /// The file of our own was read again: new keys, and new collectors.
    fn renew(&mut self, told: &Told, with: &With) {
        let fleet = told
            .beside()
            .and_then(|b| with.check_fleet(&b).map_err(|e| e.to_string()));
        if let Err(e) = with.check_flows().and(fleet) {
            return tracing::warn!(
                "told to reload, what is told beside the configuration stays: {e}"
            );
        }
        self.renew_keys(with);
        self.renew_duties(with);
        if self.export.is_none() && with.flows.is_some() {
            tracing::warn!("flows: export begins with the next start only");
        }
        let now = self.room.now();
        if let Some(export) = &mut self.export {
            match export.reload(now, with.flows.as_ref(), with.folder()) {
                Ok(()) => tracing::info!("flows: collectors are read again"),
                Err(e) => tracing::warn!("flows: the collectors held stay: {e}"),
            }
        }
    }

    /// Flows are told where connections are looked after anyway, so that they wake nobody.
    fn tell_flows(&mut self) {
        let (now, ends) = (self.room.now(), self.shutdown_since.is_some());
        if let Some(export) = self
            .export
            .as_mut()
            .filter(|e| ends || e.next_export() <= now)
        {
            export.export(now, &self.driver.names, ends);
        }
    }

    /// The first signal lets all that is taken be answered; a second one ends at once. Guards what was taken against
    /// an end without a word, however it is hurried: what is still owed is voided.
    fn shut_down(&mut self) {
        if self.shutdown_since.is_some() {
            self.void_all();
            self.ended = true;
            return;
        }
        tracing::info!("told to end");
        // Before clients are parted with, so that another has taken over while they still are.
        self.fleet(harrierdock_lease::Event::ShutdownStarted);
        self.shutdown_since = Some(self.room.now());
        self.room.due_in(SHUTDOWN_GRACE, Due::Shutdown);
        self.clients.turn(Serving::ShuttingDown);
        let now = self.room.now();
        self.sites(now, harrierdock_multi_site::Event::ShutdownStarted);
    }

    /// The last line on flows says what was recorded and what became of it.
    fn end_export(&mut self) {
        let now = self.room.now();
        let Some(mut export) = self.export.take() else {
            return;
        };
        tracing::info!(
            "flows: tally {}",
            export.observed_totals_json(&self.driver.names)
        );
        let summary = export.close(now, &self.driver.names);
        let recorded = summary.observed;
        for t in summary.collectors {
            tracing::info!(
                "flows: to {}: recorded {recorded:?} dropped {:?} in-doubt {} messages {} records {}",
                t.name,
                t.dropped.counts,
                t.in_doubt,
                t.sent_messages,
                t.encoded_records
            );
        }
    }

    fn report(&mut self) {
        let room = &mut self.room;
        room.counters
            .set(Count::LogLinesLost, logging::dropped_lines());
        room.counters
            .set(Count::PoolBroken, room.net.buffers.violations);
        room.counters
            .set(Count::NoBuffer, room.net.buffer_shortages);
        room.counters
            .set(Count::StreamsOpened, room.net.streams_opened);
        let (held, lent) = (room.descriptors.in_use, room.buffers.in_use);
        self.duties
            .iter()
            .for_each(|duties| tracing::info!("counts: {}", duties.counts(room.net.now())));
        tracing::info!(
            "counts: {} open={held} lent={lent} owed={}",
            room.counters,
            self.driver.owed()
        );
    }
}
