//! What peers were last heard to say: the latest of each, of so many peers, each with bounded weight.

use std::collections::BTreeMap;

use harrierdock_types::PeerId;
use harrierdock_types::{TimeDelta, Timestamp};

use crate::latency_histogram::Sketch;
use crate::load_report::{Figures, News};

/// Peers whose figures are kept: more than are heard while news counts.
pub const MOST_HEARD: usize = 48;
/// Members known: as many as the largest fleet has, and room.
pub const MOST_MEMBERS: usize = 1024;
/// Guards against one gateway that moves the rest, by mistake or absurd figures: no count of its counts for
/// more than this many times the median of all heard, and some for chance. A count goes into the view to the
/// power of 2.5 at the most and is fresher than others by up to a fifth, so that the one that lies about its answers
/// moves the view by less than eight gateways' part of it. Harms where a single gateway has most of the traffic:
/// its news counts for less than it is worth; its own figures are whole to itself.
const MOST_TIMES: f32 = 1.4;

#[derive(Debug)]
struct Heard {
    at: Timestamp,
    view: Option<f32>,
    figures: Figures,
    /// What its age leaves of its weight at this beat.
    weight: f32,
}

#[derive(Debug, Default)]
pub struct Peers {
    /// The incarnation that counts of each member, and the last number read of it.
    members: BTreeMap<PeerId, (u32, Option<u32>)>,
    heard: BTreeMap<PeerId, Heard>,
    /// For medians, kept to spare allocations.
    sorted: Vec<f32>,
}

/// All that counts now: own figures and peers' together.
#[derive(Debug, Default)]
pub struct Sum {
    pub figures: Figures,
    /// The median of the views heard, how many there are, and the news' mean age in seconds by its weight.
    pub view: Option<f32>,
    pub views: usize,
    pub age: f32,
}

/// The lower one of an even number: of two, the one that is not absurd.
fn median(of: &mut [f32]) -> f32 {
    let middle = of.len().saturating_sub(1) / 2;
    if of.is_empty() {
        0.0
    } else {
        *of.select_nth_unstable_by(middle, f32::total_cmp).1
    }
}

impl Peers {
    /// A member is there, at this incarnation, or gone. What an earlier incarnation said is forgotten.
    pub fn member(&mut self, peer: PeerId, incarnation: Option<u32>) {
        match incarnation {
            Some(incarnation) if self.members.get(&peer).is_some_and(|m| m.0 >= incarnation) => {}
            Some(incarnation) => {
                self.heard.remove(&peer);
                if self.members.len() < MOST_MEMBERS || self.members.contains_key(&peer) {
                    self.members.insert(peer, (incarnation, None));
                }
            }
            None => {
                self.members.remove(&peer);
                self.heard.remove(&peer);
            }
        }
    }

    pub fn count(&self) -> usize {
        self.members.len()
    }

    pub fn heard(&self) -> usize {
        self.heard.len()
    }

    pub fn nth(&self, at: usize) -> Option<PeerId> {
        self.members.keys().nth(at).copied()
    }

    /// Takes news in. What is old, doubled, of an unknown member or of another incarnation changes nothing,
    /// nor does what was written for other request classes, zones or tenants.
    pub fn hear(&mut self, now: Timestamp, from: PeerId, news: News, like: &Figures) -> bool {
        let Some((incarnation, last)) = self.members.get_mut(&from) else {
            return false;
        };
        let fits = news.offered.len() == like.offered.len()
            && news.open.len() == like.open.len()
            && news.answered.len() == like.answered.len()
            && news.tenants.len() == like.tenants.len();
        if !fits || *incarnation != news.incarnation || last.is_some_and(|l| news.number <= l) {
            return false;
        }
        *last = Some(news.number);
        if !self.heard.contains_key(&from) && self.heard.len() >= MOST_HEARD {
            let oldest = self
                .heard
                .iter()
                .min_by_key(|(_, h)| h.at)
                .map(|(peer, _)| *peer);
            oldest.and_then(|peer| self.heard.remove(&peer));
        }
        let blank = || Heard {
            at: now,
            view: None,
            weight: 0.0,
            figures: Figures::new(like.offered.len(), like.open.len(), like.tenants.len()),
        };
        let heard = self.heard.entry(from).or_insert_with(blank);
        (heard.at, heard.view) = (now, news.view);
        let figures = &mut heard.figures;
        (figures.offered, figures.tenants) = (news.offered, news.tenants);
        (figures.open, figures.answered) = (news.open, news.answered);
        for (number, sketch) in news.sketches {
            if let Some(kept) = figures.sketches.get_mut(number) {
                *kept = sketch;
            }
        }
        true
    }

    /// Adds up own figures and what was heard: each by its counts, its age and at most its bounded part. News
    /// fades over `fades` and is forgotten after four of those.
    pub fn sum(&mut self, now: Timestamp, own: &Figures, fades: TimeDelta, sum: &mut Sum) {
        self.heard.retain(|_, h| now - h.at < fades * 4.0);
        sum.figures.clone_from(own);
        let Peers { heard, sorted, .. } = self;
        for h in heard.values_mut() {
            h.weight = (-(now - h.at).ratio_to(fades)).exp().min(1.0) as f32;
        }
        let mut bounded = |own: f32, of: &dyn Fn(&Figures) -> f32| {
            sorted.clear();
            sorted.push(own);
            sorted.extend(heard.values().map(|h| of(&h.figures)));
            let median = median(sorted);
            let most = MOST_TIMES * (median + median.sqrt() + 1.0);
            own + heard
                .values()
                .map(|h| h.weight * of(&h.figures).min(most))
                .sum::<f32>()
        };
        for (at, of) in sum.figures.offered.iter_mut().enumerate() {
            *of = bounded(*of, &|f| f.offered[at]);
        }
        for (at, of) in sum.figures.tenants.iter_mut().enumerate() {
            *of = bounded(*of, &|f| f.tenants[at]);
        }
        for (at, of) in sum.figures.open.iter_mut().enumerate() {
            *of = bounded(*of, &|f| f.open[at]);
        }
        for (at, of) in sum.figures.answered.iter_mut().enumerate() {
            *of = bounded(*of, &|f| f.answered[at]);
        }
        // Guards against one that puts all it has into one request class, whose chances would be mostly its own: bounded
        // by request class, not by its sketches together.
        for class in 0..own.offered.len() {
            let rows = class * own.open.len()..(class + 1) * own.open.len();
            let total = |f: &Figures| {
                f.sketches[rows.clone()]
                    .iter()
                    .map(Sketch::total)
                    .sum::<f32>()
            };
            sorted.clear();
            sorted.push(total(own));
            sorted.extend(heard.values().map(|h| total(&h.figures)));
            let most = median(sorted) + 1.0;
            for h in heard.values() {
                let part = h.weight * (most / total(&h.figures).max(1.0)).min(1.0);
                let kept = sum.figures.sketches[rows.clone()]
                    .iter_mut()
                    .zip(&h.figures.sketches[rows.clone()]);
                kept.for_each(|(k, s)| k.merge(s, part));
            }
        }
        let (mut weights, mut aged) = (1.0, 0.0);
        for h in heard.values() {
            weights += h.weight;
            aged += h.weight * (now - h.at).as_seconds() as f32;
        }
        sum.age = aged / weights;
        sorted.clear();
        sorted.extend(
            heard
                .values()
                .filter(|h| now - h.at < fades)
                .filter_map(|h| h.view),
        );
        sum.views = sorted.len();
        // Of one or two, one may be absurd: the fewer, the nearer to all that is offered.
        let sure = sum.views as f32 / (sum.views as f32 + 1.0);
        sum.view = (!sorted.is_empty()).then(|| median(sorted).max(f32::MIN_POSITIVE).powf(sure));
    }
}
