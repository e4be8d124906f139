//! Where this gateway's requests go: to its own site's servers, or across, and on which road. It keeps the credit
//! told on each road and what came of its use, and judges when this site is to be left and when to come home.

use std::collections::{BTreeMap, VecDeque};

use harrierdock_site_messages::MemberState;
use harrierdock_types::ClassId;
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use crate::offered_capacity::KEPT;
use crate::{
    Change, Membership, MoveReason, PathId, RequestClass, RequestEnd, TrafficLocation, ROUND,
};

/// Rounds after which credit counts no more: half a second.
const AGES: f64 = 5.0;
/// Endings in a row of which none settled, within this many rounds, that show a site to have vanished.
const VANISHED: usize = 8;
const VANISHED_WITHIN: f64 = 30.0;
/// The part of inquiry-like requests that still goes home while away, to see whether anything settles.
const PROBES: f64 = 0.05;
/// Probes looked at, and how many of them must have settled, to come home.
const PROBED: usize = 5;
const WELL: usize = 4;
/// How long an excursion lasts at the least; doubled for each that follows another within a minute, up to the
/// most. Thereby no more than five excursions begin in a minute, whatever the site does.
pub const EXCURSION: TimeDelta = TimeDelta(2_000_000);
const EXCURSION_MOST: TimeDelta = TimeDelta(30_000_000);
const CALM: TimeDelta = TimeDelta(60_000_000);
/// Times to become warm over which traffic comes home.
const COMING_HOME: f64 = 1.0;
/// Weight of a new answer in running means.
const LEARN: f64 = 0.1;
/// The part of what went on a road that may be refused before the road rests, and how long it does.
const REFUSED: f64 = 0.08;
const RESTS: TimeDelta = TimeDelta(1_000_000);
/// Crossings out on a road: at first, and the bounds within which their number follows how they end.
const WINDOW: f64 = 16.0;
const WINDOW_LEAST: f64 = 4.0;
const WINDOW_MOST: f64 = 512.0;
/// Mean times of a crossing that must be left for one to begin.
const TIMES_LEFT: f64 = 2.0;
/// The part of the latency objective that a crossing is taken to need before any has come back.
const FIRST_TIME: f64 = 0.25;

#[derive(Default)]
struct Credit {
    left: Vec<f64>,
    told: Timestamp,
    out: f64,
    window: f64,
    refused: f64,
    rests_until: Timestamp,
}

pub struct Crossings {
    chance: WyRand,
    classes: usize,
    /// The mean time of a crossing that settled.
    times: Vec<TimeDelta>,
    credit: BTreeMap<PathId, Credit>,
    /// Requests in this round that would cross, and the mean of such.
    asked: Vec<f64>,
    wants: Vec<f64>,
    roads: usize,
    home: TrafficLocation,
    why: MoveReason,
    since: Timestamp,
    /// Until when an excursion lasts at the least, how long the next will, and when the last began.
    stays_until: Timestamp,
    excursion: TimeDelta,
    began: Option<Timestamp>,
    by_hand: bool,
    /// How the latest requests that went to this site's own servers ended.
    endings: VecDeque<(Timestamp, bool)>,
    warm: TimeDelta,
    moves: u64,
    changes: Vec<Change>,
}

impl Crossings {
    pub fn new(classes: &[RequestClass], warm: TimeDelta, seed: u64) -> Crossings {
        Crossings {
            chance: WyRand::new_seed(seed ^ 0x5157),
            classes: classes.len(),
            times: classes
                .iter()
                .map(|p| p.latency_objective * FIRST_TIME)
                .collect(),
            credit: BTreeMap::new(),
            asked: vec![0.0; classes.len()],
            wants: vec![0.0; classes.len()],
            roads: 0,
            home: TrafficLocation::Local,
            why: MoveReason::RequestsSucceed,
            since: Timestamp(0),
            stays_until: Timestamp(0),
            excursion: EXCURSION,
            began: None,
            by_hand: false,
            endings: VecDeque::new(),
            warm,
            moves: 0,
            changes: Vec::new(),
        }
    }

    // ---- which site ----

    /// How much of the traffic is to go across at this point.
    fn share_away(&self, now: Timestamp) -> f64 {
        match self.home {
            TrafficLocation::Local => 0.0,
            TrafficLocation::FailedOver => 1.0,
            TrafficLocation::Returning => {
                1.0 - (now - self.since)
                    .ratio_to(self.warm * COMING_HOME)
                    .clamp(0.0, 1.0)
            }
        }
    }

    /// Whether this request is to go across. While away, a few that may run again still go home.
    pub fn goes_away(&mut self, now: Timestamp, may_probe: bool) -> bool {
        let share = self.share_away(now);
        if share <= 0.0 {
            return false;
        }
        let probes = may_probe
            && self.home == TrafficLocation::FailedOver
            && self.why != MoveReason::OperatorCommand;
        if probes && self.chance.generate::<f64>() < PROBES {
            return false;
        }
        self.chance.generate::<f64>() < share
    }

    pub fn is_away(&self) -> bool {
        self.home == TrafficLocation::FailedOver
    }

    pub fn home_is(&self) -> (TrafficLocation, MoveReason, Timestamp) {
        (self.home, self.why, self.since)
    }

    pub fn ended(&mut self, now: Timestamp, ending: RequestEnd) {
        if ending != RequestEnd::ClientGone {
            self.endings
                .push_back((now, ending == RequestEnd::Succeeded));
            if self.endings.len() > VANISHED {
                self.endings.pop_front();
            }
        }
    }

    /// Discovery's word on how many servers are ready.
    pub fn home(&mut self, now: Timestamp, ready: usize) {
        if ready == 0 && self.home != TrafficLocation::FailedOver {
            self.leave(now, MoveReason::NoReadyEndpoint);
        }
    }

    pub fn by_hand(&mut self, now: Timestamp, drained: bool) {
        self.by_hand = drained;
        if drained {
            if self.home == TrafficLocation::FailedOver {
                self.why = MoveReason::OperatorCommand;
            } else {
                self.turn(
                    now,
                    TrafficLocation::FailedOver,
                    MoveReason::OperatorCommand,
                );
            }
        } else if self.home == TrafficLocation::FailedOver
            && self.why == MoveReason::OperatorCommand
        {
            self.turn(now, TrafficLocation::Returning, MoveReason::OperatorCommand);
        }
    }

    fn turn(&mut self, now: Timestamp, home: TrafficLocation, why: MoveReason) {
        (self.home, self.why, self.since) = (home, why, now);
        self.moves += u64::from(home != TrafficLocation::Local);
        self.endings.clear();
        self.changes.push(Change::TrafficMoved {
            location: home,
            reason: why,
        });
    }

    /// Guards against a site that comes and goes taking all traffic with it each time: an excursion that
    /// follows another lasts longer. Harms by leaving a site that is well again unused for up to half a minute.
    fn leave(&mut self, now: Timestamp, why: MoveReason) {
        let soon = self.began.is_some_and(|at| now - at < CALM);
        self.excursion = if soon {
            (self.excursion * 2.0).min(EXCURSION_MOST)
        } else {
            EXCURSION
        };
        (self.began, self.stays_until) = (Some(now), now + self.excursion);
        self.turn(now, TrafficLocation::FailedOver, why);
    }

    /// Looks whether the site has vanished, or is back.
    pub fn judge(&mut self, now: Timestamp, ready: usize) -> Vec<Change> {
        let none_settled = self.endings.len() >= VANISHED && self.endings.iter().all(|e| !e.1);
        let lately = self
            .endings
            .front()
            .is_some_and(|e| now - e.0 <= ROUND * VANISHED_WITHIN);
        match self.home {
            TrafficLocation::FailedOver if self.by_hand => {}
            TrafficLocation::FailedOver => {
                let latest = self.endings.iter().rev().take(PROBED);
                let settled = latest.clone().filter(|e| e.1 && e.0 > self.since).count();
                let proven = latest.count() >= PROBED && settled >= WELL;
                if now >= self.stays_until && ready > 0 && proven {
                    self.turn(now, TrafficLocation::Returning, MoveReason::RequestsSucceed);
                }
            }
            _ if none_settled && lately => self.leave(now, MoveReason::NothingSucceeds),
            TrafficLocation::Returning if self.share_away(now) <= 0.0 => {
                self.turn(now, TrafficLocation::Local, MoveReason::SlowStartOver)
            }
            _ => {}
        }
        std::mem::take(&mut self.changes)
    }

    pub fn moves(&self) -> u64 {
        self.moves
    }

    // ---- which road ----

    /// Credit told on a road, which takes the place of what was told before.
    pub fn granted(&mut self, now: Timestamp, road: PathId, grants: &[(ClassId, f64)]) {
        let credit = self.credit.entry(road).or_insert_with(|| Credit {
            window: WINDOW,
            ..Credit::default()
        });
        credit.left.resize(self.classes, 0.0);
        credit.told = now;
        let mut told = vec![0.0; self.classes];
        for (class, count) in grants {
            told[class.0] = *count;
        }
        for (left, told) in credit.left.iter_mut().zip(told) {
            *left = (*left + told).min(told * KEPT);
        }
    }

    /// The road for one more of this request class: whole, serving, with credit told lately, and with the most left.
    pub fn road(
        &mut self,
        now: Timestamp,
        members: &Membership,
        class: ClassId,
        left: TimeDelta,
    ) -> Option<PathId> {
        self.asked[class.0] += 1.0;
        if left < self.times[class.0] * TIMES_LEFT {
            return None;
        }
        let open = self.credit.iter().filter(|(no, c)| {
            let road = members.roads.get(no).filter(|r| r.whole);
            road.is_some_and(|r| members.standing(&r.peer) == Some(MemberState::Serving))
                && now - c.told <= ROUND * AGES
                && now >= c.rests_until
                && c.out < c.window
                && c.left.get(class.0).is_some_and(|l| *l >= 1.0)
        });
        let most = open.max_by(|a, b| a.1.left[class.0].total_cmp(&b.1.left[class.0]));
        most.map(|(no, _)| *no)
    }

    pub fn handed_over(&mut self, road: PathId, class: ClassId) {
        if let Some(credit) = self.credit.get_mut(&road) {
            credit.left[class.0] -= 1.0;
            credit.out += 1.0;
        }
    }

    /// A crossing has ended, `taken` if it was not refused there.
    pub fn came_back(
        &mut self,
        now: Timestamp,
        road: PathId,
        class: ClassId,
        taken: bool,
        took: TimeDelta,
    ) {
        if taken {
            let time = &mut self.times[class.0];
            *time = TimeDelta(time.0 + ((took - *time).0 as f64 * LEARN) as i64);
        }
        let Some(credit) = self.credit.get_mut(&road) else {
            return;
        };
        credit.out = (credit.out - 1.0).max(0.0);
        credit.refused += LEARN / 2.0 * (f64::from(!taken) - credit.refused);
        credit.window = if taken {
            credit.window + 1.0 / credit.window
        } else {
            credit.window * (1.0 - LEARN)
        };
        credit.window = credit.window.clamp(WINDOW_LEAST, WINDOW_MOST);
        // Guards against requests that travel to be refused, whatever the other end has granted.
        if credit.refused > REFUSED {
            (credit.rests_until, credit.refused) = (now + RESTS, REFUSED / 2.0);
        }
    }

    pub fn round(&mut self, roads: &[PathId]) {
        for (asked, wants) in self.asked.iter_mut().zip(&mut self.wants) {
            // What is wanted is told at once as it grows, and forgotten slowly.
            *wants = asked.max(*wants * (1.0 - LEARN));
            *asked = 0.0;
        }
        self.roads = roads.len();
    }

    /// What is told on a road that would cross: its part of all.
    pub fn wants(&self) -> Vec<(ClassId, u16)> {
        let part = 1.0 / self.roads.max(1) as f64;
        let wants = self.wants.iter().enumerate().map(|(p, w)| {
            (
                ClassId(p),
                (w * part).ceil().min(f64::from(u16::MAX)) as u16,
            )
        });
        wants.filter(|w| w.1 > 0).collect()
    }

    /// How much credit is held in all, by request class.
    pub fn credit(&self, now: Timestamp) -> Vec<f64> {
        let fresh = self
            .credit
            .values()
            .filter(|c| now - c.told <= ROUND * AGES);
        fresh.fold(vec![0.0; self.classes], |mut all, c| {
            all.iter_mut().zip(&c.left).for_each(|(a, l)| *a += l);
            all
        })
    }

    pub fn forget(&mut self, road: PathId) {
        self.credit.remove(&road);
    }
}
