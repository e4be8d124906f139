//! Between two sites on sockets: the link's UDP socket, the letters on it, and the requests that cross. What is to
//! cross, and what becomes of it, is decided in `crates/multi-site`; this file obeys.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use harrierdock_event_loop::ResourceClass;
use harrierdock_multi_site::{
    status, Action, Change, Event, InboundId, MultiSite, MultiSiteConfig, OperatorCommand,
    RequestClass,
};
use harrierdock_site_messages::{
    self as messages, ForwardedRequest, ForwardingOutcome, GatewayName, SiteMessage,
};
use harrierdock_site_transport::{Delivery, PathId, SiteTransport, TransportEvent};
use harrierdock_types::{BuildId, Event as ModuleEvent, Lifecycle, RequestId};
use harrierdock_types::{TimeDelta, Timestamp};
use socket2::{Domain, Protocol, Socket, Type};

use crate::config::extensions::With;
use crate::config::gateway::Told;
use crate::downstream::Answer;
use crate::metrics::Count;
use crate::runtime::context::{Asked, Body, Notice, Room};
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Due;

/// The longest datagram that is read, and how many in one go, so that a flood of them gives way to requests.
const DATAGRAM_MOST: usize = 2048;
const READ_MOST: usize = 64;
/// What the socket may hold for us meanwhile.
const SOCKET_BUFFER: usize = 1 << 20;
/// The part of the told memory that remembered answers may take: one in this many.
const MEMORY_PART: usize = 32;
const MEGABYTE: usize = 1 << 20;

pub struct Across {
    pub sites: MultiSite,
    link: SiteTransport,
    own: GatewayName,
    other_site: String,
    socket: Rc<UdpSocket>,
    /// Those that were dialled and have not come up.
    dialled: BTreeMap<PathId, GatewayName>,
    /// The requests taken in from the other site, as they were written there.
    held: BTreeMap<RequestId, (InboundId, ForwardedRequest)>,
    inward: BTreeMap<InboundId, RequestId>,
    link_due: Option<Timestamp>,
    sites_due: Option<Timestamp>,
    refused: u64,
    refused_told: Option<Timestamp>,
}

/// How often it is said that strangers were turned away.
const REFUSED_EVERY: TimeDelta = TimeDelta(10_000_000);

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let kind = Type::DGRAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::UDP))?;
    // The system may grant less; then more is lost and sent again.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER);
    socket.bind(&address.into())?;
    Ok(socket.into())
}

impl Across {
    /// None where the file names no other site.
    pub fn open(room: &Room, told: &Told, with: &With) -> Result<Option<Across>, String> {
        let Some(between) = &with.sites else {
            return Ok(None);
        };
        let (terms, names) = told.terms()?;
        let own = between.own(&told.name);
        let credentials = with.credentials(&own)?;
        let link = SiteTransport::new(&credentials, &between.other.site)
            .map_err(|e| format!("sites.keys: {e}"))?;
        let listens = |e: io::Error| format!("sites.listen: {}: {e}", between.listen);
        let socket = Rc::new(bind(between.listen).map_err(listens)?);
        let address = socket.local_addr().map_err(listens)?;
        let class = |(name, told): (&str, &harrierdock_types::ClassParameters)| RequestClass {
            name: name.to_string(),
            retry_safety: told.retry_safety,
            latency_objective: told.latency_objective,
            timeout: told.timeout,
            priority_weight: told.priority_weight,
            deduplicates_across_sites: between
                .groups_spanning
                .iter()
                .any(|spanning| spanning == name),
        };
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let place = MultiSiteConfig {
            own_name: own.clone(),
            address: Some(between.reached_at.unwrap_or(address)),
            // Unix time serves only to stand above this gateway's earlier starts.
            incarnation: unix.as_micros() as u64,
            other_site: between.other.site.clone(),
            seeds: between.seeds(),
            classes: names
                .classes
                .iter()
                .zip(&terms.classes)
                .map(class)
                .collect(),
            slow_start_window: terms.safety.slow_start_window,
            tick: terms.tick,
            retry_after: terms.limits.retry_after,
            stored_response_bytes: told.limits.memory_mb * MEGABYTE / MEMORY_PART,
            seed: told.seed(),
        };
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let call = |_, _: &mut _, gateway: &mut Gateway| {
            if let Some(across) = &mut gateway.across {
                across.hear();
            }
            gateway.settle();
            Ok(PostAction::Continue)
        };
        room.handle
            .insert_source(source, call)
            .map_err(|e| format!("sites: {}", e.error))?;
        tracing::info!(
            "sites: {own} listens on {address} for gateways of {}",
            between.other.site
        );
        Ok(Some(Across {
            sites: MultiSite::new(room.now(), place),
            link,
            own,
            other_site: between.other.site.clone(),
            socket,
            dialled: BTreeMap::new(),
            held: BTreeMap::new(),
            inward: BTreeMap::new(),
            link_due: None,
            sites_due: None,
            refused: 0,
            refused_told: None,
        }))
    }

    fn hear(&mut self) {
        let mut bytes = [0_u8; DATAGRAM_MOST];
        for _ in 0..READ_MOST {
            match self.socket.recv_from(&mut bytes) {
                Ok((size, from)) => self
                    .link
                    .handle_datagram(Instant::now(), from, &bytes[..size]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram's word of failure.
                Err(_) => continue,
            }
        }
    }

    /// A request taken in, as its client wrote it at the other site.
    pub fn asked<T>(&self, id: RequestId, with: impl FnOnce(Asked) -> T) -> Option<T> {
        let (_, handover) = self.held.get(&id)?;
        Some(with(Asked {
            method: &handover.method,
            target: &handover.target,
            request: &handover.request_id,
            reference: handover.idempotency_key.as_deref(),
            body: &handover.body,
        }))
    }

    fn send(&mut self, room: &mut Room, path: PathId, message: &SiteMessage) -> bool {
        match messages::encode(message) {
            Ok(bytes) => {
                let delivery = match message {
                    SiteMessage::Heartbeat(_) => Delivery::BestEffort,
                    _ => Delivery::Reliable,
                };
                self.link.send(Instant::now(), path, bytes, delivery)
            }
            Err(e) => {
                room.counters
                    .must(false, &format!("a letter can be written: {e}"));
                false
            }
        }
    }

    /// Sends what the link has for the socket, and notes when it wants to be called.
    fn flush(&mut self, room: &mut Room) {
        while let Some((to, bytes)) = self.link.next_datagram() {
            // A datagram may be lost on its way as well.
            let _ = self.socket.send_to(&bytes, to);
        }
        let after = |at: Instant| {
            TimeDelta(at.saturating_duration_since(Instant::now()).as_micros() as i64)
        };
        let due = self.link.next_timeout().map(|at| room.now() + after(at));
        // A little earlier or later is the same time.
        let same = self
            .link_due
            .zip(due)
            .is_some_and(|(a, b)| (a - b).0.abs() < 1000);
        if !same && self.link_due != due {
            self.link_due
                .into_iter()
                .for_each(|at| room.dues.cancel(at, Due::Link));
            due.into_iter().for_each(|at| room.dues.set(at, Due::Link));
            self.link_due = due;
        }
    }

    pub fn renew(&mut self, with: &With) -> Result<(), String> {
        let credentials = with.credentials(&self.own)?;
        self.link
            .replace_credentials(&credentials)
            .map_err(|e| format!("sites.keys: {e}"))
    }
}

fn plain(change: &Change) -> String {
    match change {
        Change::Joined { gateway } => format!("{gateway} is known"),
        Change::Member {
            gateway,
            state,
            returned,
            restarted,
        } => {
            let state = status::state_text(*state);
            let more = match (returned, restarted) {
                (_, true) => ", started anew",
                (true, _) => ", returned",
                _ => "",
            };
            format!("{gateway} is {state}{more}")
        }
        Change::TrafficMoved {
            location: home,
            reason: why,
        } => {
            let home = status::location_text(*home);
            format!("traffic is {home}: {}", status::reason_text(*why))
        }
        Change::UnmatchedResponses { count: letters } => {
            format!("{letters} answers matched no crossing")
        }
    }
}

impl Gateway {
    /// Tells `crates/multi-site`, and does what it asks for.
    pub fn sites(&mut self, now: Timestamp, event: Event) {
        let Some(across) = &mut self.across else {
            return;
        };
        for action in across.sites.handle(now, event) {
            self.obey_sites(now, action);
        }
    }

    /// Lets the link speak and be heard, until nothing more is to be done for now.
    pub fn pump(&mut self) {
        while let Some(heard) = self.across.as_mut().and_then(|a| a.link.next_event()) {
            let now = self.room.now();
            self.link_heard(now, heard);
        }
        if let Some(across) = &mut self.across {
            across.flush(&mut self.room);
        }
    }

    pub fn link_due(&mut self) {
        if let Some(across) = &mut self.across {
            across.link_due = None;
            across.link.handle_timeout(Instant::now());
        }
    }

    pub fn sites_due(&mut self) {
        let now = self.room.now();
        if let Some(across) = &mut self.across {
            across.sites_due = None;
        }
        self.sites(now, Event::TimerFired);
    }

    fn link_heard(&mut self, now: Timestamp, heard: TransportEvent) {
        let Some(across) = &mut self.across else {
            return;
        };
        match heard {
            TransportEvent::Opened { path, peer } => {
                across.dialled.remove(&path);
                tracing::info!("sites: linked with {peer}");
                self.sites(now, Event::PathOpened { path, peer });
            }
            TransportEvent::Closed {
                path,
                peer,
                orderly,
                reason: why,
            } => {
                let dialled = across.dialled.remove(&path);
                match (dialled, peer) {
                    (Some(peer), _) => {
                        tracing::debug!("sites: {peer} cannot be reached: {why}");
                        if why.contains("certificate") {
                            tracing::warn!("sites: {peer} refused: {why}");
                        }
                        self.sites(now, Event::ConnectFailed { peer });
                    }
                    (None, peer) => {
                        let peer = peer.map_or("a gateway".to_string(), |p| p.to_string());
                        tracing::info!("sites: link with {peer} is down: {why}");
                        self.sites(now, Event::PathClosed { path, orderly });
                    }
                }
            }
            TransportEvent::Refused {
                remote,
                reason: why,
            } => {
                across.refused += 1;
                // Guards against a log full of strangers: one line in a while says how many there were.
                if across
                    .refused_told
                    .is_none_or(|at| now - at >= REFUSED_EVERY)
                {
                    let many = std::mem::take(&mut across.refused);
                    across.refused_told = Some(now);
                    tracing::warn!("sites: {many} refused lately, the last from {remote}: {why}");
                }
            }
            TransportEvent::Message { path, bytes } => match messages::decode(&bytes) {
                Ok(message) => self.sites(now, Event::MessageReceived { path, message }),
                Err(e) => {
                    self.room.counters.add(Count::LettersRefused);
                    tracing::debug!("sites: a letter cannot be read: {e}");
                }
            },
        }
    }

    fn obey_sites(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::ServeLocally { id, remaining } => self.hand_in(now, id, remaining),
            Action::Forward {
                id,
                path,
                forwarding_id,
                receiver_incarnation,
                heartbeat_sequence,
                remaining,
            } => {
                let blank = ForwardedRequest {
                    forwarding_id,
                    receiver_incarnation,
                    heartbeat_sequence,
                    ..ForwardedRequest::default()
                };
                self.hand_over(now, id, path, blank, remaining)
            }
            Action::Succeed { id, body, build } => self.settled_across(now, id, &body, build),
            Action::Reject { id, retry_after } => self.answer(id, Answer::Declined { retry_after }),
            Action::Fail { id } => self.answer(id, Answer::Voided),
            Action::ServeInbound {
                inbound: inward,
                class,
                key,
                remaining: left,
                request: handover,
            } => {
                let id = self.room.next_txn();
                let (again, least) = (handover.is_client_retry, handover.minimum_build);
                if let Some(across) = &mut self.across {
                    across.held.insert(id, (inward, handover));
                    across.inward.insert(inward, id);
                }
                self.room.counters.add(Count::TakenIn);
                if let Some(key) = key.filter(|_| least > 0) {
                    let pinned = ModuleEvent::StickyVersionLearned {
                        key,
                        build: BuildId(least),
                    };
                    self.room.tell(Notice::Event(pinned));
                }
                self.room.tell(Notice::Taken {
                    id,
                    class,
                    key,
                    again,
                    left,
                    inward: Some(inward),
                });
            }
            Action::AbandonInbound { inbound: inward } => {
                if let Some(id) = self
                    .across
                    .as_ref()
                    .and_then(|a| a.inward.get(&inward))
                    .copied()
                {
                    self.room.tell(Notice::Left { id });
                }
            }
            Action::Connect { peer, address } => {
                let Some(across) = &mut self.across else {
                    return;
                };
                match across.link.connect(Instant::now(), address, &peer) {
                    Ok(path) => {
                        across.dialled.insert(path, peer);
                    }
                    Err(e) => {
                        tracing::debug!("sites: {peer} cannot be dialled: {e}");
                        self.sites(now, Event::ConnectFailed { peer });
                    }
                }
            }
            Action::ClosePath { path } => {
                if let Some(across) = &mut self.across {
                    across.link.close(Instant::now(), path, "no path");
                }
            }
            Action::Send { path, message } => {
                let Gateway { across, room, .. } = self;
                if let Some(across) = across {
                    across.send(room, path, &message);
                }
            }
            Action::StatusChanged(change) => match change {
                Change::Joined { .. } => tracing::debug!("sites: {}", plain(&change)),
                Change::TrafficMoved { .. } | Change::UnmatchedResponses { .. } => {
                    tracing::warn!("sites: {}", plain(&change))
                }
                Change::Member { .. } => tracing::info!("sites: {}", plain(&change)),
            },
            Action::SetTimer { after } => {
                let Gateway { across, room, .. } = self;
                if let Some(across) = across {
                    let at = now + after;
                    across
                        .sites_due
                        .into_iter()
                        .for_each(|before| room.dues.cancel(before, Due::Sites));
                    room.dues.set(at, Due::Sites);
                    across.sites_due = Some(at);
                }
            }
        }
    }

    /// Writes a client's request to the other site.
    fn hand_over(
        &mut self,
        now: Timestamp,
        id: RequestId,
        path: PathId,
        blank: ForwardedRequest,
        left: TimeDelta,
    ) {
        let Some((class, key, again)) = self.crosses(id) else {
            return;
        };
        let least_build = key.map_or(0, |key| self.driver.pin_of(key).0);
        let Gateway {
            across,
            room,
            clients,
            driver,
            ..
        } = self;
        let Some(across) = across else { return };
        let (from, crossing) = (across.sites.incarnation(), blank.forwarding_id);
        let name = driver.names.classes.name(class).to_string();
        let write = |asked: Asked<'_>| ForwardedRequest {
            sender_incarnation: from,
            class: name,
            remaining_ms: (left.0 / 1000).clamp(0, i64::from(u32::MAX)) as u32,
            is_client_retry: again,
            affinity_key: key.map(|k| k.0),
            minimum_build: least_build,
            method: asked.method.into(),
            target: asked.target.into(),
            request_id: asked.request.into(),
            idempotency_key: asked.reference.map(str::to_string),
            body: asked.body.to_vec(),
            ..blank
        };
        // One whose client has gone is told as left, and nothing is sent for it.
        let Some(handover) = clients.asked(id, write) else {
            return;
        };
        room.counters.add(Count::HandedOver);
        if !across.send(room, path, &SiteMessage::Request(handover)) {
            // Not sent, so not taken, for certain.
            let verdict = ForwardingOutcome::NotAccepted;
            let answer = messages::ForwardingResponse {
                forwarding_id: crossing,
                sender_incarnation: from,
                outcome: verdict,
                build: None,
                body: Vec::new(),
            };
            self.sites(
                now,
                Event::MessageReceived {
                    path,
                    message: SiteMessage::Response(answer),
                },
            );
        }
    }

    fn settled_across(
        &mut self,
        now: Timestamp,
        id: RequestId,
        body: &[u8],
        build: Option<BuildId>,
    ) {
        // One that has its answer already takes no buffer.
        let Some((_, key, _)) = self.crosses(id) else {
            return;
        };
        if let Some((key, build)) = key.zip(build) {
            self.take(now, ModuleEvent::StickyVersionLearned { key, build });
        }
        let answer = match self.room.buffers.acquire(ResourceClass::Upstream) {
            Some(mut buffer) if body.len() <= buffer.capacity() => {
                buffer.extend_from_slice(body);
                Answer::Settled(Body {
                    buffer,
                    body: 0..body.len(),
                })
            }
            Some(mut buffer) => {
                self.room.buffers.release(&mut buffer);
                Answer::Voided
            }
            None => Answer::Voided,
        };
        self.answer(id, answer);
    }

    /// A request that was taken in has had its answer here.
    pub fn answer_across(
        &mut self,
        now: Timestamp,
        id: RequestId,
        verdict: ForwardingOutcome,
        build: Option<BuildId>,
        body: Vec<u8>,
    ) {
        let Some(across) = &mut self.across else {
            return;
        };
        let Some((inward, _)) = across.held.remove(&id) else {
            return;
        };
        across.inward.remove(&inward);
        self.sites(
            now,
            Event::InboundCompleted {
                inbound: inward,
                outcome: verdict,
                build,
                body,
            },
        );
    }

    /// Discovery's list has changed.
    pub fn look_home(&mut self, now: Timestamp) {
        if self.across.is_some() {
            let ready = self.driver.count(Lifecycle::Ready);
            self.sites(now, Event::EndpointsUpdated { ready });
        }
    }

    /// An operator's word on the control socket. Gives back one line.
    pub fn by_hand(&mut self, word: &str) -> String {
        let now = self.room.now();
        let hand = match word {
            "drain" => Some(OperatorCommand::Drain),
            "resume" => Some(OperatorCommand::Resume),
            "status" => None,
            odd => {
                return format!(
                    "{{\"error\":\"unknown word '{}'\"}}\n",
                    odd.escape_default()
                )
            }
        };
        if let Some(hand) = hand {
            tracing::warn!("sites: told by hand to {word}");
            self.sites(now, Event::OperatorCommand(hand));
            self.settle();
        }
        let status = self
            .across
            .as_ref()
            .map(|a| serde_json::to_string(&a.sites.status()));
        format!(
            "{}\n",
            status
                .and_then(Result::ok)
                .unwrap_or_else(|| r#"{"error":"no other site is told"}"#.into())
        )
    }

    /// New keys and certificates for the links that come up from now on.
    pub fn renew_keys(&mut self, with: &With) {
        let Some(across) = &mut self.across else {
            return;
        };
        if with
            .sites
            .as_ref()
            .is_some_and(|s| s.other.site != across.other_site)
        {
            return tracing::warn!("sites: another other site counts from the next start on");
        }
        match across.renew(with) {
            Ok(()) => tracing::info!("sites: keys are read again"),
            Err(e) => tracing::warn!("sites: the keys held stay: {e}"),
        }
    }
}
