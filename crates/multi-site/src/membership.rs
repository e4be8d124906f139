//! Membership: who serves at either site, and on which roads both ends hear each other. Records of gateways
//! spread from neighbour to neighbour over the roads between the sites; a road is a link on which beats and
//! their echoes come back. Nothing here knows of requests.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use harrierdock_site_messages::{GatewayName, Heartbeat, MemberRecord, MemberState};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use crate::{Change, PathId, ROUND};

/// Roads that a gateway opens of itself; as many again are opened to it, in the mean.
pub const OPENED: usize = 3;
/// Rounds without a beat, or without an echo, after which a road is none.
const MISSED: f64 = 7.0;
/// Rounds without a beat after which others are told of it. Guards against false alarms on a line that loses a
/// third of all beats, where seven in a row are missed every few minutes.
const SUSPECTED: f64 = 14.0;
/// Rounds after which a suspicion that nobody has refuted is a loss.
const REFUTE: f64 = 25.0;
/// Rounds to wait before another try to open a road, doubled with each that failed, and the most.
const RETRY: f64 = 2.0;
const RETRY_MOST: f64 = 32.0;
/// Fresh records in one beat at the most, and old ones repeated beside them, so that none is missed for good.
const FRESH: usize = 16;
const OLD: usize = 2;
/// Records of the whole table in one beat on a road that has come up.
const TABLE: usize = 32;
/// How often a fresh record is told on each road, beyond the logarithm of how many there are.
const RETOLD: u32 = 4;
/// Rounds for which the sending of beats is remembered.
const BEATS: usize = 64;
/// Rounds for which one that is lost is still remembered.
const FORGET: f64 = 3000.0;
/// Roads held at the most, opened by either end.
const MOST_ROADS: usize = 8 * OPENED;
/// Records kept at the most; those of strangers beyond are passed over.
const MOST: usize = 4096;

struct Member {
    record: MemberRecord,
    /// How often its record has been told since it last changed.
    told: u32,
    /// Since when it stands so.
    since: Timestamp,
    tries: u32,
    next_try: Timestamp,
    dialling: bool,
    /// How this gateway ranks it among those it may open roads to.
    rank: u64,
}

pub struct Road {
    pub peer: GatewayName,
    pub since: Timestamp,
    pub heard: Option<Timestamp>,
    /// When the newest beat was sent of which the other end has said that it came.
    pub echoed: Option<Timestamp>,
    pub incarnation: u64,
    /// Both ends hear each other.
    pub whole: bool,
    their_beat: u32,
    /// When their latest beats were heard.
    heard_at: VecDeque<(u32, Timestamp)>,
    /// This end has opened it.
    ours: bool,
    /// Up to where the whole table has been told on it, once it has come up.
    told_to: Option<GatewayName>,
    /// The time a beat and its echo take, without what they wait at the other end.
    pub round_trip: TimeDelta,
}

pub struct Membership {
    own: MemberRecord,
    told: u32,
    other_site: String,
    chance: WyRand,
    known: BTreeMap<GatewayName, Member>,
    pub roads: BTreeMap<PathId, Road>,
    beat: u32,
    sent: [Timestamp; BEATS],
    /// Where the repeating of old records stands.
    next_old: Option<GatewayName>,
}

/// FNV-1a over both ends, so that each end ranks the other's gateways alike and evenly.
fn rank(a: &GatewayName, b: &GatewayName) -> u64 {
    let (a, b) = if a < b { (a, b) } else { (b, a) };
    let bytes = [&a.site, &a.gateway, &b.site, &b.gateway]
        .into_iter()
        .flat_map(|s| s.bytes().chain([0]));
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    // The last bytes need mixing into the high bits, by which hashes are compared.
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// What membership asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    Connect {
        peer: GatewayName,
        address: SocketAddr,
    },
    ClosePath {
        road: PathId,
    },
    Changed(Change),
    /// A road has come to be whole, or is no more.
    PathUsable {
        road: PathId,
    },
    PathLost {
        road: PathId,
    },
    /// Whoever had this incarnation is gone for good.
    PeerRestarted {
        peer: GatewayName,
        incarnation: u64,
    },
}

impl Membership {
    /// `seeds` are gateways of the other site that are known from the start.
    pub fn new(
        own: MemberRecord,
        other_site: String,
        seeds: &[(GatewayName, SocketAddr)],
        seed: u64,
    ) -> Membership {
        let member = |(party, address): &(GatewayName, SocketAddr)| {
            let (rank, address) = (rank(&own.party, party), Some(*address));
            let party = party.clone();
            let record = MemberRecord {
                party: party.clone(),
                address,
                incarnation: 0,
                version: 0,
                standing: MemberState::Serving,
            };
            (party, Member::new(record, Timestamp(0), rank))
        };
        Membership {
            own: own.clone(),
            told: 0,
            other_site,
            chance: WyRand::new_seed(seed),
            known: seeds.iter().map(member).collect(),
            roads: BTreeMap::new(),
            beat: 0,
            sent: [Timestamp(0); BEATS],
            next_old: None,
        }
    }

    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// All records held, with since when each stands as it does.
    pub fn records(&self) -> impl Iterator<Item = (&MemberRecord, Timestamp)> {
        self.known.values().map(|m| (&m.record, m.since))
    }

    pub fn standing(&self, party: &GatewayName) -> Option<MemberState> {
        self.known.get(party).map(|m| m.record.standing)
    }

    pub fn record(&self, party: &GatewayName) -> Option<&MemberRecord> {
        self.known.get(party).map(|m| &m.record)
    }

    /// This gateway stands otherwise now, and says so.
    pub fn stand(&mut self, standing: MemberState) {
        if self.own.standing != standing {
            self.own.standing = standing;
            self.own.version += 1;
            self.told = 0;
        }
    }

    /// A link has come up, opened by either end.
    pub fn up(
        &mut self,
        now: Timestamp,
        no: PathId,
        peer: GatewayName,
        asked: &mut Vec<MembershipAction>,
    ) {
        // Guards against strangers, or a site gone wild, that open roads without end.
        if self.roads.len() >= MOST_ROADS {
            return asked.push(MembershipAction::ClosePath { road: no });
        }
        let member = self.known.get_mut(&peer);
        let ours = member.is_some_and(|m| std::mem::take(&mut m.dialling));
        let road = Road {
            peer,
            since: now,
            heard: None,
            echoed: None,
            incarnation: 0,
            whole: false,
            their_beat: 0,
            heard_at: VecDeque::new(),
            ours,
            told_to: Some(GatewayName {
                site: String::new(),
                gateway: String::new(),
            }),
            round_trip: TimeDelta::ZERO,
        };
        self.roads.insert(no, road);
    }

    /// A link is gone, `orderly` where the other end has said so: that is no sign of trouble with it.
    pub fn down(
        &mut self,
        now: Timestamp,
        no: PathId,
        orderly: bool,
        asked: &mut Vec<MembershipAction>,
    ) {
        let Some(road) = self.roads.remove(&no) else {
            return;
        };
        if road.ours {
            self.back_off(now, &road.peer);
        }
        if road.whole {
            asked.push(MembershipAction::PathLost { road: no });
        }
        if !orderly && !self.hears(&road.peer) {
            self.suspect(now, &road.peer, asked);
        }
    }

    pub fn beat_sent(&self) -> u32 {
        self.beat
    }

    /// How old what the other end sent after this beat of its can be at the most; none if that cannot be told.
    /// No clock of the other end is needed: a beat that it had sent before was heard here at a known point.
    pub fn age_at_most(&self, now: Timestamp, no: PathId, beat: u32) -> Option<TimeDelta> {
        let road = self.roads.get(&no)?;
        let before = road.heard_at.iter().rev().find(|h| h.0 <= beat)?;
        Some(now - before.1 + road.round_trip)
    }

    /// Whether a whole road leads to this gateway.
    pub fn hears(&self, peer: &GatewayName) -> bool {
        self.roads.values().any(|r| r.whole && r.peer == *peer)
    }

    /// An attempt to open a link has failed.
    pub fn unreachable(
        &mut self,
        now: Timestamp,
        peer: &GatewayName,
        asked: &mut Vec<MembershipAction>,
    ) {
        self.back_off(now, peer);
        self.suspect(now, peer, asked);
    }

    /// Guards against many gateways that dial one that is gone, or full, all at once and without end.
    fn back_off(&mut self, now: Timestamp, peer: &GatewayName) {
        let Some(member) = self.known.get_mut(peer) else {
            return;
        };
        let wait = ROUND * (RETRY * f64::powi(2.0, member.tries.min(16) as i32)).min(RETRY_MOST);
        let jitter = 0.5 + self.chance.generate::<f64>();
        (member.dialling, member.tries, member.next_try) =
            (false, member.tries + 1, now + wait * jitter);
    }

    /// Guards against a site's gateway that is gone, or does not hear us, being taken for a road: it is
    /// suspected until it says otherwise itself.
    fn suspect(&mut self, now: Timestamp, peer: &GatewayName, asked: &mut Vec<MembershipAction>) {
        let Some(member) = self.known.get_mut(peer) else {
            return;
        };
        if member.record.standing < MemberState::Leaving {
            let record = MemberRecord {
                standing: MemberState::Suspected,
                ..member.record.clone()
            };
            member.put(now, record, asked);
        }
    }

    /// Takes in what the other end of a road says.
    pub fn hear(
        &mut self,
        now: Timestamp,
        no: PathId,
        beat: &Heartbeat,
        asked: &mut Vec<MembershipAction>,
    ) {
        let Some(road) = self.roads.get_mut(&no) else {
            return;
        };
        // Guards against beats out of order, or said again: an older one tells nothing.
        if beat.incarnation < road.incarnation
            || (beat.incarnation == road.incarnation && beat.beat <= road.their_beat)
        {
            return;
        }
        (road.heard, road.their_beat, road.incarnation) = (Some(now), beat.beat, beat.incarnation);
        road.heard_at.push_back((beat.beat, now));
        if road.heard_at.len() > BEATS {
            road.heard_at.pop_front();
        }
        let age = self.beat.wrapping_sub(beat.echo);
        if beat.echo > 0 && (age as usize) < BEATS {
            let at = self.sent[beat.echo as usize % BEATS];
            if road.echoed.is_none_or(|e| e < at) {
                road.echoed = Some(at);
                let took = now - at - TimeDelta(i64::from(beat.held_ms) * 1000);
                road.round_trip = TimeDelta(took.0.max(0));
            }
        }
        for record in &beat.records {
            self.learn(now, record, asked);
        }
    }

    /// Takes in a record that a neighbour tells.
    fn learn(&mut self, now: Timestamp, record: &MemberRecord, asked: &mut Vec<MembershipAction>) {
        if record.party == self.own.party {
            // Guards against being given up while alive, and against an earlier start that others still believe
            // in, or a clock that was set back: what is put about of us is refuted by standing above it.
            if record.incarnation > self.own.incarnation {
                self.own.incarnation = record.incarnation + 1;
                self.told = 0;
            } else if record.order() > self.own.order() {
                self.own.version = record.version + 1;
                self.told = 0;
            }
            return;
        }
        let room = self.known.len() < MOST;
        match self.known.get_mut(&record.party) {
            Some(member) if record.order() > member.record.order() => {
                let before = member.record.incarnation;
                if before != 0 && record.incarnation > before {
                    asked.push(MembershipAction::PeerRestarted {
                        peer: record.party.clone(),
                        incarnation: record.incarnation,
                    });
                }
                // Suspicion without an address keeps the address held.
                let address = record.address.or(member.record.address);
                if member.record.address != address {
                    (member.tries, member.next_try) = (0, now);
                }
                member.put(
                    now,
                    MemberRecord {
                        address,
                        ..record.clone()
                    },
                    asked,
                );
            }
            Some(_) => {}
            None if room && record.standing < MemberState::Lost => {
                let rank = rank(&self.own.party, &record.party);
                let member = Member {
                    told: 0,
                    ..Member::new(record.clone(), now, rank)
                };
                self.known.insert(record.party.clone(), member);
                asked.push(MembershipAction::Changed(Change::Joined {
                    party: record.party.clone(),
                }));
            }
            None => {}
        }
    }

    /// A round: judges roads, opens and closes them, and gives back the beat for each road.
    pub fn round(
        &mut self,
        now: Timestamp,
        asked: &mut Vec<MembershipAction>,
    ) -> Vec<(PathId, Heartbeat)> {
        self.judge(now, asked);
        self.open(now, asked);
        self.beat += 1;
        self.sent[self.beat as usize % BEATS] = now;
        let records = self.news();
        let known = &self.known;
        let beats = self.roads.iter_mut().map(|(no, road)| {
            let mut records = records.clone();
            road.catch_up(known, &mut records);
            let held = road.heard.map_or(TimeDelta::ZERO, |at| now - at);
            let beat = Heartbeat {
                incarnation: self.own.incarnation,
                beat: self.beat,
                echo: road.their_beat,
                held_ms: (held.0 / 1000).min(i64::from(u32::MAX)) as u32,
                records,
                ..Heartbeat::default()
            };
            (*no, beat)
        });
        beats.collect()
    }

    fn judge(&mut self, now: Timestamp, asked: &mut Vec<MembershipAction>) {
        let missed = ROUND * MISSED;
        let mut deaf = Vec::new();
        for (no, road) in &mut self.roads {
            let fresh = |at: Option<Timestamp>| at.is_some_and(|at| now - at <= missed);
            let whole = fresh(road.heard) && fresh(road.echoed);
            if whole != std::mem::replace(&mut road.whole, whole) {
                asked.push(if whole {
                    MembershipAction::PathUsable { road: *no }
                } else {
                    MembershipAction::PathLost { road: *no }
                });
            }
            if whole && now - road.since > ROUND * REFUTE {
                if let Some(member) = self.known.get_mut(&road.peer) {
                    member.tries = 0;
                }
            }
            // Whoever is heard but does not hear us is no road, yet may be one for others.
            let silent = now - road.heard.unwrap_or(road.since);
            if silent > ROUND * SUSPECTED {
                deaf.push((*no, road.peer.clone(), silent > ROUND * REFUTE));
            }
        }
        for (no, peer, over) in deaf {
            if !self.hears(&peer) {
                self.suspect(now, &peer, asked);
            }
            if over {
                self.roads.remove(&no);
                asked.push(MembershipAction::ClosePath { road: no });
            }
        }
        // Each end may have opened a road to the other at once; one of the two, the same always, parts with one.
        let double = self.roads.iter().filter(|(no, r)| {
            let lower = self.own.party < r.peer;
            lower
                && r.whole
                && self
                    .roads
                    .range(..*no)
                    .any(|(_, o)| o.whole && o.peer == r.peer)
        });
        if let Some(no) = double.map(|(no, _)| *no).next() {
            self.roads.remove(&no);
            asked.extend([
                MembershipAction::PathLost { road: no },
                MembershipAction::ClosePath { road: no },
            ]);
        }
        let refute = ROUND * REFUTE;
        for member in self.known.values_mut() {
            if member.record.standing == MemberState::Suspected && now - member.since > refute {
                let record = MemberRecord {
                    standing: MemberState::Lost,
                    ..member.record.clone()
                };
                member.put(now, record, asked);
            }
        }
        // Guards against keeping all that ever were: names come and go.
        let held: Vec<&GatewayName> = self.roads.values().map(|r| &r.peer).collect();
        self.known.retain(|party, m| {
            m.record.standing < MemberState::Leaving
                || m.record.incarnation == 0
                || now - m.since < ROUND * FORGET
                || held.contains(&party)
        });
    }

    /// The gateways of the other site that this one opens roads to: the first by rendezvous hashing of those
    /// that are not lost, and of the lost ones in turn where there are too few.
    fn open(&mut self, now: Timestamp, asked: &mut Vec<MembershipAction>) {
        let there = self.known.iter().filter(|(p, _)| p.site == self.other_site);
        // Lost ones do not count as roads wanted, yet are tried, so that a site cut off is found again.
        let mut first: Vec<(bool, u64, &GatewayName)> = Vec::new();
        for (party, member) in there {
            let place = (
                member.record.standing >= MemberState::Leaving,
                member.rank,
                party,
            );
            if first.len() < 2 * OPENED || first.last().is_some_and(|last| place < *last) {
                let at = first.partition_point(|f| *f < place);
                first.insert(at, place);
                first.truncate(2 * OPENED);
            }
        }
        let well = first.iter().take_while(|f| !f.0).count().min(OPENED);
        let enough = if well == OPENED { OPENED } else { first.len() };
        let wanted: Vec<GatewayName> = first
            .into_iter()
            .take(enough)
            .map(|f| f.2.clone())
            .collect();
        // What this end opened before it knew better ones is given up once those stand, one a round.
        if well == OPENED && wanted.iter().all(|party| self.hears(party)) {
            let spare = self
                .roads
                .iter()
                .find(|(_, r)| r.ours && !wanted.contains(&r.peer));
            if let Some(no) = spare.map(|(no, _)| *no) {
                let whole = self.roads.remove(&no).is_some_and(|r| r.whole);
                asked.extend(whole.then_some(MembershipAction::PathLost { road: no }));
                asked.push(MembershipAction::ClosePath { road: no });
            }
        }
        for party in wanted {
            if self.roads.values().any(|r| r.peer == party) {
                continue;
            }
            let Some(member) = self.known.get_mut(&party) else {
                continue;
            };
            let Some(address) = member.record.address else {
                continue;
            };
            if !member.dialling && member.next_try <= now {
                member.dialling = true;
                asked.push(MembershipAction::Connect {
                    peer: party,
                    address,
                });
            }
        }
    }

    /// The records that the beats of this round tell: its own, those told least often, a few old ones.
    fn news(&mut self) -> Vec<MemberRecord> {
        let all = self.known.len() as u32 + 2;
        let enough = all.ilog2() + RETOLD;
        let mut records = Vec::new();
        if self.told < enough || self.beat.is_multiple_of(8) {
            self.told += 1;
            records.push(self.own.clone());
        }
        let fresh = self
            .known
            .values()
            .filter(|m| m.told < enough && m.record.incarnation > 0);
        let mut fresh: Vec<(u32, &GatewayName)> =
            fresh.map(|m| (m.told, &m.record.party)).collect();
        fresh.sort();
        fresh.truncate(FRESH);
        let mut named: Vec<GatewayName> = fresh.into_iter().map(|f| f.1.clone()).collect();
        let after = self.next_old.take();
        let later = self.known.range(
            after.clone().unwrap_or(GatewayName {
                site: String::new(),
                gateway: String::new(),
            })..,
        );
        let old = later
            .chain(self.known.iter())
            .filter(|(p, m)| m.record.incarnation > 0 && !named.contains(p));
        let old: Vec<GatewayName> = old
            .take((OLD + 1).min(self.known.len()))
            .map(|(p, _)| p.clone())
            .collect();
        self.next_old = old.get(OLD).cloned();
        named.extend(old.into_iter().take(OLD));
        named.dedup();
        for party in named {
            if let Some(member) = self.known.get_mut(&party) {
                member.told = member.told.saturating_add(1);
                records.push(member.record.clone());
            }
        }
        records
    }
}

impl Road {
    /// Guards against a gateway that has just started knowing nobody for long: a road that has come up is told
    /// all records held, a part in each beat.
    fn catch_up(&mut self, known: &BTreeMap<GatewayName, Member>, records: &mut Vec<MemberRecord>) {
        let Some(from) = self.told_to.take() else {
            return;
        };
        let mut rest = known
            .range(from..)
            .filter(|(_, m)| m.record.incarnation > 0);
        records.extend(rest.by_ref().take(TABLE).map(|(_, m)| m.record.clone()));
        self.told_to = rest.next().map(|(party, _)| party.clone());
    }
}

impl Member {
    fn new(record: MemberRecord, since: Timestamp, rank: u64) -> Member {
        Member {
            record,
            told: u32::MAX,
            since,
            tries: 0,
            next_try: Timestamp(0),
            dialling: false,
            rank,
        }
    }

    fn put(&mut self, now: Timestamp, record: MemberRecord, asked: &mut Vec<MembershipAction>) {
        let (before, after) = (self.record.standing, record.standing);
        let reborn = record.incarnation != self.record.incarnation && self.record.incarnation != 0;
        if before != after || reborn {
            let (party, back) = (record.party.clone(), before >= MemberState::Suspected);
            asked.push(MembershipAction::Changed(Change::Member {
                party,
                standing: after,
                back,
                reborn,
            }));
            self.since = now;
        }
        (self.record, self.told) = (record, 0);
    }
}
