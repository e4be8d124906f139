//! What this gateway lends to the other site: credit, by request class and road, in proportion to what its servers
//! have shown they bear beyond its own traffic. Credit is told anew each round and counts for that round.

use std::collections::BTreeMap;

use harrierdock_types::ClassId;

use crate::{PathId, RequestClass, RequestEnd};

/// Of what is served here in a round, the part that is lent before anything has crossed.
const FIRST: f64 = 0.5;
/// What is lent grows by this each round while it is used and borne, and falls by that when it is not.
const GROWS: f64 = 1.2;
const FALLS: f64 = 0.8;
/// The part of endings in a round, unserved or after the latency objective, that counts as not borne.
const TROUBLE: f64 = 0.08;
/// The part of what was lent that must have been used for more to be lent.
const USED: f64 = 0.5;
/// Rounds without trouble before more is lent again. Guards against an overloaded site that lends in the moments
/// in which nothing happens to go wrong.
const CALM: u32 = 10;
/// Unused credit beyond the first falls back by this each round.
const FADES: f64 = 0.97;
/// Weight of a new round in running means.
const LEARN: f64 = 0.1;
/// Beyond what was told, as much again may be on its way.
const ON_ITS_WAY: f64 = 2.0;
/// A round's credit can be kept for so many rounds by its receiver; what comes then is still admitted.
pub const KEPT: f64 = 3.0;

#[derive(Default)]
struct Lent {
    wanted: Vec<f64>,
    granted: Vec<f64>,
    /// What may still be admitted.
    room: Vec<f64>,
}

pub struct Bearing {
    classes: usize,
    /// Products in the order in which scarce credit is given: by priority weight.
    order: Vec<ClassId>,
    lent: BTreeMap<PathId, Lent>,
    /// Requests a round that are lent in all.
    most: f64,
    /// Requests served a round, in the mean, and each request class's part.
    served: f64,
    used: f64,
    ended: f64,
    troubled: f64,
    settled: f64,
    /// Rounds since the last with trouble.
    calm: u32,
}

impl Bearing {
    pub fn new(classes: &[RequestClass]) -> Bearing {
        let mut order: Vec<ClassId> = (0..classes.len()).map(ClassId).collect();
        order.sort_by(|a, b| {
            classes[b.0]
                .priority_weight
                .total_cmp(&classes[a.0].priority_weight)
        });
        Bearing {
            classes: classes.len(),
            order,
            lent: BTreeMap::new(),
            most: 0.0,
            served: 0.0,
            used: 0.0,
            ended: 0.0,
            troubled: 0.0,
            settled: 0.0,
            calm: CALM,
        }
    }

    /// A request that this site's servers were to serve has ended, whoever's it was.
    pub fn ended(&mut self, ending: RequestEnd, late: bool) {
        if ending == RequestEnd::ClientGone {
            return;
        }
        self.ended += 1.0;
        self.settled += f64::from(ending == RequestEnd::Succeeded);
        self.troubled += f64::from(ending != RequestEnd::Succeeded || late);
    }

    pub fn wanted(&mut self, road: PathId, wants: &[(ClassId, f64)]) {
        let lent = self.lent.entry(road).or_default();
        lent.wanted = vec![0.0; self.classes];
        for (class, count) in wants {
            lent.wanted[class.0] = *count;
        }
    }

    /// Whether one more of this request class on this road is within what was told.
    pub fn admits(&mut self, road: PathId, class: ClassId) -> bool {
        let room = self
            .lent
            .get_mut(&road)
            .and_then(|l| l.room.get_mut(class.0));
        let Some(room) = room.filter(|r| **r >= 1.0) else {
            return false;
        };
        *room -= 1.0;
        self.used += 1.0;
        true
    }

    /// A round: how much is lent in all, and how it is shared. Nothing where this site is not `open`.
    pub fn round(&mut self, roads: &[PathId], open: bool) {
        self.served += LEARN * (self.settled - self.served);
        let trouble = self.troubled > TROUBLE * self.ended && self.troubled >= 2.0;
        let first = FIRST * self.served.max(self.settled);
        self.calm = if trouble {
            0
        } else {
            self.calm.saturating_add(1)
        };
        let calm = self.calm >= CALM;
        if trouble {
            // Guards this site's own clients: what they lack is not lent.
            self.most *= FALLS;
        } else if !calm {
            // Neither more nor less, until it is known what is borne.
        } else if self.used >= USED * self.most.floor().max(1.0) {
            self.most = self.most * GROWS + 1.0;
        } else if self.most < first {
            self.most = first.min(self.most * GROWS + 1.0);
        } else {
            self.most = first.max(self.most * FADES);
        }
        (self.used, self.ended, self.troubled, self.settled) = (0.0, 0.0, 0.0, 0.0);
        if !open {
            self.most = 0.0;
        }
        self.share(roads, open && calm);
    }

    /// Wants come first, by priority weight; what is left over is spread, so that nobody waits a round to begin.
    fn share(&mut self, roads: &[PathId], well: bool) {
        let mut left = self.most;
        for road in roads {
            let lent = self.lent.entry(*road).or_default();
            lent.wanted.resize(self.classes, 0.0);
            lent.granted = vec![0.0; self.classes];
        }
        for class in &self.order {
            let all: f64 = roads.iter().map(|r| self.lent[r].wanted[class.0]).sum();
            let part = if all > left { left / all } else { 1.0 };
            for road in roads {
                if let Some(lent) = self.lent.get_mut(road) {
                    lent.granted[class.0] = lent.wanted[class.0] * part;
                }
            }
            left -= all * part;
        }
        let shares = (roads.len() * self.classes).max(1) as f64;
        for road in roads {
            if let Some(lent) = self.lent.get_mut(road) {
                lent.room.resize(self.classes, 0.0);
                for class in 0..self.classes {
                    let mut granted = lent.granted[class] + left / shares;
                    // Guards against many roads that each get less than one and so nothing at all, and against a
                    // site without traffic, which has shown nothing yet.
                    if well {
                        granted = granted.max(1.0);
                    }
                    lent.granted[class] = granted.floor();
                    let most = granted * KEPT * ON_ITS_WAY;
                    lent.room[class] = (lent.room[class] + granted * ON_ITS_WAY)
                        .min(most.max(lent.room[class] / 2.0));
                }
            }
        }
        self.lent.retain(|road, _| roads.contains(road));
    }

    /// What is told on a road in this round.
    pub fn grants(&self, road: PathId) -> Vec<(ClassId, u16)> {
        let Some(lent) = self.lent.get(&road) else {
            return Vec::new();
        };
        let told = lent.granted.iter().enumerate().filter(|(_, g)| **g >= 1.0);
        told.map(|(p, g)| (ClassId(p), g.min(f64::from(u16::MAX)) as u16))
            .collect()
    }

    pub fn forget(&mut self, road: PathId) {
        self.lent.remove(&road);
    }
}
