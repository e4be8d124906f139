//! Between two sites: which request goes across, what was handed over and what became of it, and who serves there.
//! `MultiSite::new` makes one gateway's part; `take(now, event)` tells it one event and gives back what it asks
//! for, in order. No I/O, no clock of its own, chance by the told seed. `members` knows who is there,
//! `bearing` what this gateway lends to the other site, `crossing` what it sends there, `custody` what is owed.

mod failover;
mod membership;
mod offered_capacity;
mod ownership;
pub mod status;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use harrierdock_site_messages::{
    ForwardedRequest, ForwardingOutcome, ForwardingResponse, GatewayName, MemberRecord,
    MemberState, SiteMessage,
};
use harrierdock_types::{AffinityKey, BuildId, ClassId, RequestId, RetrySafety};
use harrierdock_types::{TimeDelta, Timestamp};
use serde::Serialize;

use failover::Crossings;
pub use membership::{Membership, MembershipAction, Road};
use offered_capacity::Bearing;
use ownership::{Custody, Due, Inward};
pub use status::{MemberStatus, Status};

/// The pause between two beats on a road. Credit ages within five of them, a road is none after seven.
pub const ROUND: TimeDelta = TimeDelta(100_000);

/// The number of a link between two gateways, never used twice.
pub type PathId = u64;

/// The number of a crossing that was taken in, never used twice.
pub type InboundId = u64;

/// One request class as told.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    pub name: String,
    pub repeat: RetrySafety,
    pub latency_objective: TimeDelta,
    pub expiry: TimeDelta,
    pub priority_weight: f64,
    /// The group that drops its repeats spans both sites.
    pub spans: bool,
}

/// What a gateway is told of its place between the sites.
#[derive(Clone, Debug, PartialEq)]
pub struct MultiSiteConfig {
    pub own: GatewayName,
    /// Where the other site's gateways reach it.
    pub address: Option<SocketAddr>,
    /// Another one for each start, higher than any before.
    pub incarnation: u64,
    pub other_site: String,
    pub seeds: Vec<(GatewayName, SocketAddr)>,
    pub classes: Vec<RequestClass>,
    /// How long a server takes to be warm, and the loop's tick.
    pub warm: TimeDelta,
    pub tick: TimeDelta,
    pub retry_after: Option<TimeDelta>,
    /// Bytes that remembered answers may take.
    pub memory: usize,
    pub seed: u64,
}

/// What an operator says by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    Drain,
    Resume,
}

/// How a request ended that this gateway's own module was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    Succeeded,
    /// Nothing of it ever ran.
    Rejected,
    /// Anything else: voided, or declined after it may have run.
    Failed,
    /// Its client went away.
    ClientGone,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request.
    RequestReceived {
        id: RequestId,
        class: ClassId,
        left: TimeDelta,
    },
    /// The module would decline a client's request of which nothing has run.
    LocallyRejected {
        id: RequestId,
        class: ClassId,
        left: TimeDelta,
    },
    ClientGone {
        id: RequestId,
    },
    /// A request that the module was given has ended, be it a client's or one taken in.
    RequestEnded {
        class: ClassId,
        ending: RequestEnd,
        took: TimeDelta,
    },
    /// One that was taken in has had its answer here.
    InboundCompleted {
        inward: InboundId,
        verdict: ForwardingOutcome,
        build: Option<BuildId>,
        body: Vec<u8>,
    },
    /// How many servers discovery lists as ready.
    EndpointsUpdated {
        ready: usize,
    },
    PathOpened {
        road: PathId,
        peer: GatewayName,
    },
    /// `orderly` where the other end has said that it hangs up.
    PathClosed {
        road: PathId,
        orderly: bool,
    },
    ConnectFailed {
        peer: GatewayName,
    },
    MessageReceived {
        road: PathId,
        letter: SiteMessage,
    },
    OperatorCommand(OperatorCommand),
    /// The gateway was told to end.
    ShutdownStarted,
    TimerFired,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The module serves it, within what is left.
    ServeLocally {
        id: RequestId,
        left: TimeDelta,
    },
    /// It is handed over on this road, under this number, to this incarnation.
    Forward {
        id: RequestId,
        road: PathId,
        crossing: u64,
        to: u64,
        /// The newest beat sent by then.
        beat: u32,
        left: TimeDelta,
    },
    Succeed {
        id: RequestId,
        body: Vec<u8>,
        build: Option<BuildId>,
    },
    Reject {
        id: RequestId,
        retry_after: Option<TimeDelta>,
    },
    Fail {
        id: RequestId,
    },
    /// A crossing is to be served here, through the module.
    ServeInbound {
        inward: InboundId,
        class: ClassId,
        key: Option<AffinityKey>,
        left: TimeDelta,
        handover: ForwardedRequest,
    },
    /// Nobody waits for this one any more.
    AbandonInbound {
        inward: InboundId,
    },
    Connect {
        peer: GatewayName,
        address: SocketAddr,
    },
    ClosePath {
        road: PathId,
    },
    Send {
        road: PathId,
        letter: SiteMessage,
    },
    StatusChanged(Change),
    SetTimer {
        after: TimeDelta,
    },
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Joined {
        party: GatewayName,
    },
    Member {
        party: GatewayName,
        standing: MemberState,
        back: bool,
        reborn: bool,
    },
    /// Where this gateway's traffic goes, and why.
    TrafficMoved {
        location: TrafficLocation,
        reason: MoveReason,
    },
    /// So many letters matched nothing since the last word on it.
    UnmatchedResponses {
        count: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficLocation {
    Local,
    FailedOver,
    Returning,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    OperatorCommand,
    NoReadyEndpoint,
    NothingSucceeds,
    RequestsSucceed,
    SlowStartOver,
}

/// What was counted so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    pub handed_over: u64,
    /// Handed over and not taken, or declined there.
    pub refused: u64,
    pub settled_there: u64,
    pub voided_unanswered: u64,
    pub served_here_after: u64,
    pub taken_in: u64,
    pub turned_away: u64,
    pub copies: u64,
    pub strange: u64,
    pub moves: u64,
}

/// One gateway's part between the sites.
pub struct MultiSite {
    place: MultiSiteConfig,
    now: Timestamp,
    members: Membership,
    bearing: Bearing,
    crossings: Crossings,
    custody: Custody,
    tally: Counters,
    by_name: BTreeMap<String, ClassId>,
    /// Operators drained this site, or the gateway ends.
    drained: bool,
    ending: bool,
    ready: usize,
    round: Timestamp,
    armed: Option<Timestamp>,
    strange_told: (u64, Timestamp),
    out: Vec<Action>,
}

/// How often operators are told of letters that match nothing.
const STRANGE_EVERY: TimeDelta = TimeDelta(10_000_000);

impl MultiSite {
    pub fn new(now: Timestamp, place: MultiSiteConfig) -> MultiSite {
        let own = MemberRecord {
            party: place.own.clone(),
            address: place.address,
            incarnation: place.incarnation,
            version: 1,
            standing: MemberState::Serving,
        };
        let members = Membership::new(own, place.other_site.clone(), &place.seeds, place.seed);
        let longest = place
            .classes
            .iter()
            .map(|p| p.expiry)
            .max()
            .unwrap_or(TimeDelta::ZERO);
        MultiSite {
            now,
            members,
            bearing: Bearing::new(&place.classes),
            crossings: Crossings::new(&place.classes, place.warm, place.seed),
            custody: Custody::new(longest, place.memory),
            tally: Counters::default(),
            by_name: place
                .classes
                .iter()
                .enumerate()
                .map(|(ix, p)| (p.name.clone(), ClassId(ix)))
                .collect(),
            drained: false,
            ending: false,
            ready: 0,
            round: now,
            armed: None,
            strange_told: (0, now),
            out: Vec::new(),
            place,
        }
    }

    pub fn take(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::RequestReceived { id, class, left } => self.txn(id, class, left),
            Event::LocallyRejected { id, class, left } => self.spared(id, class, left),
            Event::ClientGone { id } => self.left(id),
            Event::RequestEnded {
                class,
                ending,
                took,
            } => {
                let late = took
                    > self
                        .place
                        .classes
                        .get(class.0)
                        .map_or(took, |p| p.latency_objective);
                self.bearing.ended(ending, late);
                self.crossings.ended(now, ending);
            }
            Event::InboundCompleted {
                inward,
                verdict,
                build,
                body,
            } => self.answered(inward, verdict, build, body),
            Event::EndpointsUpdated { ready } => {
                self.ready = ready;
                self.crossings.home(now, ready);
            }
            Event::PathOpened { road, peer } => {
                let mut asked = Vec::new();
                self.members.up(now, road, peer, &mut asked);
                self.obey(asked);
                self.beat();
            }
            Event::PathClosed { road, orderly } => {
                let mut asked = Vec::new();
                self.members.down(now, road, orderly, &mut asked);
                self.obey(asked);
            }
            Event::ConnectFailed { peer } => {
                let mut asked = Vec::new();
                self.members.unreachable(now, &peer, &mut asked);
                self.obey(asked);
            }
            Event::MessageReceived { road, letter } => self.heard(road, letter),
            Event::OperatorCommand(hand) => {
                self.drained = hand == OperatorCommand::Drain;
                self.crossings.by_hand(now, self.drained);
                self.stand();
            }
            Event::ShutdownStarted => {
                self.ending = true;
                self.stand();
            }
            Event::TimerFired => {}
        }
        self.fall_due();
        self.emit()
    }

    // ---- what comes from clients ----

    /// A request goes across only where this site's own servers are not to have it; the module sees all others.
    fn txn(&mut self, id: RequestId, class: ClassId, left: TimeDelta) {
        let Some(told) = self.place.classes.get(class.0) else {
            return self.out.push(Action::ServeLocally { id, left });
        };
        // Guards against a site that nobody looks at again because none of its request classes may run twice.
        let mut classes = self.place.classes.iter();
        let probes = told.repeat == RetrySafety::Idempotent
            || classes.all(|p| p.repeat != RetrySafety::Idempotent);
        if !self.crossings.goes_away(self.now, probes) || !self.cross(id, class, left, false) {
            self.out.push(Action::ServeLocally { id, left });
        }
    }

    /// What the module would decline may cross, while there is time; otherwise it is declined at once.
    fn spared(&mut self, id: RequestId, class: ClassId, left: TimeDelta) {
        self.crossings.ended(self.now, RequestEnd::Rejected);
        self.bearing.ended(RequestEnd::Rejected, false);
        if !self.cross(id, class, left, true) {
            self.decline(id);
        }
    }

    fn cross(&mut self, id: RequestId, class: ClassId, left: TimeDelta, spared: bool) -> bool {
        let Some(told) = self.place.classes.get(class.0) else {
            return false;
        };
        if self.ending {
            return false;
        }
        let Some(no) = self.crossings.road(self.now, &self.members, class, left) else {
            return false;
        };
        let Some(road) = self.members.roads.get(&no) else {
            return false;
        };
        let (peer, to) = (road.peer.clone(), road.incarnation);
        // The answer must be back before the client's time is up.
        let margin = self.place.tick + road.round_trip;
        let out = ownership::Out {
            id,
            class,
            peer,
            to,
            sent: self.now,
            expiry: self.now + left - self.place.tick,
            spared,
            repeat: told.repeat,
            spans: told.spans,
            road: Some(no),
        };
        let crossing = self.custody.hand_over(out);
        self.crossings.handed_over(no, class);
        self.tally.handed_over += 1;
        let left = TimeDelta((left - margin).0.max(1000));
        // Guards against a repeat there after one here, once the road is lost: both lie within one memory.
        let left = match told.repeat {
            RetrySafety::IdempotencyKey {
                deduplication_window: memory,
                ..
            } => left.min(memory - margin),
            _ => left,
        };
        let beat = self.members.beat_sent();
        self.out.push(Action::Forward {
            id,
            road: no,
            crossing,
            to,
            beat,
            left,
        });
        true
    }

    fn decline(&mut self, id: RequestId) {
        self.out.push(Action::Reject {
            id,
            retry_after: self.place.retry_after,
        });
    }

    fn left(&mut self, id: RequestId) {
        if let Some((crossing, out)) = self.custody.left(id) {
            if let Some(road) = self.road_to(&out.peer, out.road) {
                let from = self.members.own().incarnation;
                self.out.push(Action::Send {
                    road,
                    letter: SiteMessage::Cancel { crossing, from },
                });
            }
        }
    }

    /// A whole road to this gateway, the one it was on if that still is.
    fn road_to(&self, peer: &GatewayName, road: Option<PathId>) -> Option<PathId> {
        let whole = |no: &PathId| {
            self.members
                .roads
                .get(no)
                .is_some_and(|r| r.whole && r.peer == *peer)
        };
        let other = || self.members.roads.keys().copied().find(whole);
        road.filter(whole).or_else(other)
    }

    // ---- what comes from the other site ----

    fn heard(&mut self, road: PathId, letter: SiteMessage) {
        match letter {
            SiteMessage::Heartbeat(beat) => {
                let mut asked = Vec::new();
                self.members.hear(self.now, road, &beat, &mut asked);
                self.obey(asked);
                let by_name = |told: &[(String, u16)]| -> Vec<(ClassId, f64)> {
                    let known = told
                        .iter()
                        .filter_map(|(name, n)| Some((*self.by_name.get(name)?, f64::from(*n))));
                    known.collect()
                };
                let (grants, wants) = (by_name(&beat.grants), by_name(&beat.wants));
                self.crossings.granted(self.now, road, &grants);
                self.bearing.wanted(road, &wants);
            }
            SiteMessage::Request(handover) => self.taken_over(road, handover),
            SiteMessage::Response(answer) => self.answer(road, answer),
            SiteMessage::StatusQuery { crossing, from, to } => {
                self.inquiry(road, crossing, from, to)
            }
            SiteMessage::Cancel { crossing, from } => {
                let Some(peer) = self.members.roads.get(&road).map(|r| r.peer.clone()) else {
                    return;
                };
                if let Some(inward) = self.custody.cancel(&(peer, from, crossing)) {
                    self.out.push(Action::AbandonInbound { inward });
                }
            }
        }
    }

    /// A request is handed over to us. It is taken once, whatever copies come; what is not taken never runs.
    fn taken_over(&mut self, road: PathId, handover: ForwardedRequest) {
        let Some(peer) = self.members.roads.get(&road).map(|r| r.peer.clone()) else {
            return;
        };
        let (crossing, from) = (handover.crossing, handover.from);
        let place = (peer, from, crossing);
        if let Some(held) = self.custody.inward(&place) {
            self.tally.copies += 1;
            if let Inward::Done {
                verdict,
                build,
                body,
                ..
            } = held
            {
                let answer = ForwardingResponse {
                    crossing,
                    to: from,
                    verdict: *verdict,
                    build: build.map(|b| b.0),
                    body: body.clone(),
                };
                self.out.push(Action::Send {
                    road,
                    letter: SiteMessage::Response(answer),
                });
            }
            return;
        }
        // What was meant for an earlier start may have run then.
        let verdict = if handover.to != self.members.own().incarnation {
            Some(ForwardingOutcome::Unknown)
        } else if self.drained || self.ending || self.ready == 0 || self.custody.is_full() {
            Some(ForwardingOutcome::NotAccepted)
        } else {
            None
        };
        let class = self.by_name.get(&handover.class).copied();
        // Guards against a peer that does not keep to its credit; a little beyond, what was on its way counts.
        let admitted = verdict.is_none() && class.is_some_and(|p| self.bearing.admits(road, p));
        let (Some(class), true) = (class, admitted) else {
            return self.turn_away(
                road,
                place,
                verdict.unwrap_or(ForwardingOutcome::NotAccepted),
            );
        };
        let left = TimeDelta(i64::from(handover.left_ms) * 1000);
        // Guards against one that was under way for longer than repeats are remembered: it may have run at its
        // own site meanwhile. Harms by refusing a few where many beats are lost.
        let referenced = matches!(
            self.place.classes[class.0].repeat,
            RetrySafety::IdempotencyKey { .. }
        );
        let age = if referenced {
            self.members.age_at_most(self.now, road, handover.beat)
        } else {
            Some(TimeDelta::ZERO)
        };
        let left = age.map_or(TimeDelta::ZERO, |age| left - age);
        if left <= self.place.tick {
            return self.turn_away(road, place, ForwardingOutcome::NotAccepted);
        }
        self.tally.taken_in += 1;
        let inward = self.custody.take_in(place, road);
        let key = handover.key.map(AffinityKey);
        self.out.push(Action::ServeInbound {
            inward,
            class,
            key,
            left,
            handover,
        });
    }

    /// It is not taken, neither now nor when a copy of it comes.
    fn turn_away(
        &mut self,
        road: PathId,
        place: ownership::MultiSiteConfig,
        verdict: ForwardingOutcome,
    ) {
        let (to, crossing) = (place.1, place.2);
        self.tally.turned_away += 1;
        self.custody
            .close(self.now, place, verdict, None, Vec::new());
        let answer = ForwardingResponse {
            crossing,
            to,
            verdict,
            build: None,
            body: Vec::new(),
        };
        self.out.push(Action::Send {
            road,
            letter: SiteMessage::Response(answer),
        });
    }

    fn answered(
        &mut self,
        inward: InboundId,
        verdict: ForwardingOutcome,
        build: Option<BuildId>,
        body: Vec<u8>,
    ) {
        let Some((place, road)) =
            self.custody
                .answered(self.now, inward, verdict, build, body.clone())
        else {
            return;
        };
        let (peer, from, crossing) = place;
        let answer = ForwardingResponse {
            crossing,
            to: from,
            verdict,
            build: build.map(|b| b.0),
            body,
        };
        if let Some(road) = self.road_to(&peer, Some(road)) {
            self.out.push(Action::Send {
                road,
                letter: SiteMessage::Response(answer),
            });
        }
    }

    fn inquiry(&mut self, road: PathId, crossing: u64, from: u64, to: u64) {
        let Some(peer) = self.members.roads.get(&road).map(|r| r.peer.clone()) else {
            return;
        };
        let place = (peer, from, crossing);
        let (verdict, build, body) = match self.custody.inward(&place) {
            Some(Inward::Running { .. }) => return,
            Some(Inward::Done {
                verdict,
                build,
                body,
                ..
            }) => (*verdict, *build, body.clone()),
            None if to == self.members.own().incarnation => {
                // It has not come, and from now on it is not taken any more, however late it comes.
                self.custody.close(
                    self.now,
                    place,
                    ForwardingOutcome::NotAccepted,
                    None,
                    Vec::new(),
                );
                (ForwardingOutcome::NotAccepted, None, Vec::new())
            }
            None => (ForwardingOutcome::Unknown, None, Vec::new()),
        };
        let answer = ForwardingResponse {
            crossing,
            to: from,
            verdict,
            build: build.map(|b| b.0),
            body,
        };
        self.out.push(Action::Send {
            road,
            letter: SiteMessage::Response(answer),
        });
    }

    /// What the other site says of a crossing. Only the first word on it counts.
    fn answer(&mut self, road: PathId, answer: ForwardingResponse) {
        let from = self.members.roads.get(&road).map(|r| &r.peer);
        let matches = answer.to == self.members.own().incarnation;
        let Some(out) = from
            .filter(|_| matches)
            .and_then(|peer| self.custody.end(answer.crossing, peer))
        else {
            self.tally.strange += 1;
            return;
        };
        let (id, took) = (out.id, self.now - out.sent);
        let taken = matches!(
            answer.verdict,
            ForwardingOutcome::Succeeded | ForwardingOutcome::Failed
        );
        self.crossings
            .came_back(self.now, road, out.class, taken, took);
        self.tally.refused += u64::from(!taken);
        let left = out.expiry - self.now;
        match answer.verdict {
            ForwardingOutcome::Succeeded => {
                self.tally.settled_there += 1;
                self.out.push(Action::Succeed {
                    id,
                    body: answer.body,
                    build: answer.build.map(BuildId),
                });
            }
            // Never run, so this site's servers may have it, if the module has not turned it away already.
            ForwardingOutcome::NotAccepted if !out.spared && left > TimeDelta::ZERO => {
                self.out.push(Action::ServeLocally { id, left })
            }
            ForwardingOutcome::NotAccepted => self.decline(id),
            // Guards against a client whose next try meets other servers than those that drop its repeat.
            ForwardingOutcome::Rejected { may_have_run: ran } if ran && !out.may_try_again() => {
                self.out.push(Action::Fail { id })
            }
            ForwardingOutcome::Rejected { .. } => self.decline(id),
            ForwardingOutcome::Failed => self.out.push(Action::Fail { id }),
            ForwardingOutcome::Unknown => self.uncertain(out),
        }
    }

    /// A crossing of which nothing more will be known.
    fn uncertain(&mut self, out: ownership::Out) {
        let id = out.id;
        match out.after_loss(self.now, self.place.tick) {
            ownership::After::Here { left } if !out.spared => {
                self.tally.served_here_after += 1;
                self.out.push(Action::ServeLocally { id, left });
            }
            ownership::After::Here { .. } => self.decline(id),
            ownership::After::Wait => {
                self.tally.voided_unanswered += 1;
                self.out.push(Action::Fail { id });
            }
        }
    }

    // ---- time, and what follows from membership ----

    fn fall_due(&mut self) {
        while let Some(due) = self.custody.due(self.now) {
            match due {
                Due::Expired(out) => {
                    self.tally.voided_unanswered += 1;
                    // Guards against a road on which nothing comes back: it counts as refused, not as slow.
                    if let Some(road) = out.road {
                        self.crossings
                            .came_back(self.now, road, out.class, false, TimeDelta::ZERO);
                    }
                    self.out.push(Action::Fail { id: out.id });
                }
                Due::Forgotten => {}
            }
        }
        if self.now >= self.round {
            // Rounds that were missed are not made up for.
            self.round = self.now + ROUND;
            self.go_round();
        }
    }

    fn go_round(&mut self) {
        let changes = self.crossings.judge(self.now, self.ready);
        self.tally.moves = self.crossings.moves();
        self.out
            .extend(changes.into_iter().map(Action::StatusChanged));
        let open = !self.drained && !self.ending && self.ready > 0 && !self.crossings.is_away();
        let roads: Vec<PathId> = self
            .members
            .roads
            .iter()
            .filter(|(_, r)| r.whole)
            .map(|(no, _)| *no)
            .collect();
        self.bearing.round(&roads, open);
        self.crossings.round(&roads);
        self.beat();
        if self.tally.strange > self.strange_told.0
            && self.now - self.strange_told.1 >= STRANGE_EVERY
        {
            let letters = self.tally.strange - self.strange_told.0;
            self.strange_told = (self.tally.strange, self.now);
            self.out
                .push(Action::StatusChanged(Change::UnmatchedResponses {
                    count: letters,
                }));
        }
    }

    fn beat(&mut self) {
        let mut asked = Vec::new();
        let beats = self.members.round(self.now, &mut asked);
        self.obey(asked);
        let name = |(p, n): (ClassId, u16)| Some((self.place.classes.get(p.0)?.name.clone(), n));
        for (road, mut beat) in beats {
            beat.grants = self
                .bearing
                .grants(road)
                .into_iter()
                .filter_map(name)
                .collect();
            beat.wants = self
                .crossings
                .wants()
                .into_iter()
                .filter_map(name)
                .collect();
            self.out.push(Action::Send {
                road,
                letter: SiteMessage::Heartbeat(beat),
            });
        }
    }

    fn stand(&mut self) {
        let standing = match (self.ending, self.drained) {
            (true, _) => MemberState::Leaving,
            (_, true) => MemberState::Draining,
            _ => MemberState::Serving,
        };
        self.members.stand(standing);
        // Told at once: what was granted before counts no more.
        let roads: Vec<PathId> = self.members.roads.keys().copied().collect();
        self.bearing.round(&roads, false);
        self.beat();
    }

    fn obey(&mut self, asked: Vec<MembershipAction>) {
        for asked in asked {
            match asked {
                MembershipAction::Connect { peer, address } => {
                    self.out.push(Action::Connect { peer, address })
                }
                MembershipAction::ClosePath { road } => {
                    self.forget_road(road);
                    self.out.push(Action::ClosePath { road });
                }
                MembershipAction::Changed(change) => self.out.push(Action::StatusChanged(change)),
                MembershipAction::PathUsable { road } => self.whole(road),
                MembershipAction::PathLost { road } => self.broken(road),
                MembershipAction::PeerRestarted { peer, incarnation } => {
                    self.reborn(&peer, incarnation)
                }
            }
        }
    }

    fn forget_road(&mut self, road: PathId) {
        self.crossings.forget(road);
        self.bearing.forget(road);
    }

    /// A road is whole again: what is owed from its other end is asked for.
    fn whole(&mut self, road: PathId) {
        let Some(peer) = self.members.roads.get(&road).map(|r| r.peer.clone()) else {
            return;
        };
        let from = self.members.own().incarnation;
        for (crossing, to) in self.custody.owed_by(&peer) {
            let letter = SiteMessage::StatusQuery { crossing, from, to };
            self.out.push(Action::Send { road, letter });
        }
    }

    /// A road is none any more. What went on it and may run again is served here; the rest waits for a late
    /// answer until its time is up.
    fn broken(&mut self, road: PathId) {
        self.forget_road(road);
        for (out, after) in self
            .custody
            .cut(road, &self.members, self.now, self.place.tick)
        {
            match after {
                ownership::After::Here { left } if !out.spared => {
                    self.tally.served_here_after += 1;
                    self.out.push(Action::ServeLocally { id: out.id, left });
                }
                _ => self.decline(out.id),
            }
        }
    }

    /// Another start: what an earlier one had taken will never be answered, and for what it had handed over
    /// nobody waits.
    fn reborn(&mut self, peer: &GatewayName, incarnation: u64) {
        for out in self.custody.taken_to_the_grave(peer, incarnation) {
            self.uncertain(out);
        }
        for inward in self.custody.orphans(peer, incarnation) {
            self.out.push(Action::AbandonInbound { inward });
        }
    }

    fn emit(&mut self) -> Vec<Action> {
        let next = self
            .custody
            .next()
            .map_or(self.round, |at| at.min(self.round))
            .max(self.now + TimeDelta(1));
        if self.armed.is_none_or(|at| at <= self.now || next < at) {
            self.armed = Some(next);
            self.out.push(Action::SetTimer {
                after: next - self.now,
            });
        }
        std::mem::take(&mut self.out)
    }

    pub fn incarnation(&self) -> u64 {
        self.members.own().incarnation
    }

    pub fn tally(&self) -> Counters {
        self.tally
    }

    /// How many crossings are owed an answer, in either direction.
    pub fn owed(&self) -> (usize, usize) {
        self.custody.owed()
    }
}
