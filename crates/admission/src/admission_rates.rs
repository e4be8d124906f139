//! What follows from all that is known: the part of each request class's requests that passes, by tenant and zone, and
//! the chance that one makes its deadline. Reckoned at each beat; reading it allocates nothing.

use harrierdock_types::TimeDelta;
use harrierdock_types::{ClassId, ClassParameters, TenantId};

use crate::fair_share;
use crate::latency_histogram::{Odds, Sketch};
use crate::peer_reports::Sum;
use crate::Place;

/// The part of a request class's answers that are to be in time where servers are full. A longer queue wastes work
/// on late answers, a shorter one leaves servers idle.
const AIM: f32 = 0.9;
/// Of the latency objective: bounds of the mean answer time that is aimed at, whatever sketches say.
const LEAST_AIM: f32 = 0.3;
const MOST_AIM: f32 = 0.6;
/// At least this part passes, so that something is heard of servers that have jammed.
const PROBE: f32 = 0.05;
const MOST_VIEW: f32 = 4.0;
const LEAST_GAIN: f32 = 0.25;
const MOST_GAIN: f32 = 1.5;
/// Answers of a typical gateway's window without which nothing is known.
const FEW: f32 = 3.0;
/// Events that a zone's own pace needs to count as much as that of all zones.
const SOME: f32 = 20.0;
/// Answers at which what they say counts for half of a new view.
const SURE: f32 = 15.0;
/// What is thought of answers of which nothing is known: the mean in latency objectives, and how many answers it
/// counts as.
const PRIOR: f32 = 0.25;
/// By the age of news in windows: how much sketches widen.
const WIDENS: f32 = 0.1;
/// The chance at which a place is likely to come free.
const LIKELY: f32 = 0.5;
/// Weight of the newest rise in the running one.
const LEARN: f32 = 0.5;
/// How far the view follows the queues, in the delay of what is known over the time in which queues would
/// follow it: under 1/e nothing swings, past half of pi everything does.
const FOLLOWS: f32 = 0.67;

pub struct Gates {
    /// Products in the order in which they pass: by priority weight.
    order: Vec<ClassId>,
    zones: usize,
    tenants: usize,
    view: Option<f32>,
    /// How fast the view rises, a second.
    rise: f32,
    /// By request class: the part that passes, the view from which some does and that at which all of it does.
    part: Vec<f32>,
    below: Vec<f32>,
    whole: Vec<f32>,
    /// By request class and tenant.
    by_tenant: Vec<f32>,
    /// By zone: how its pace is against that of all.
    ease: Vec<f32>,
    /// By request class and zone: chances by the latency objective as it will be, and the mean answer time known of.
    odds: Vec<Odds>,
    stretch: Vec<f32>,
    drains: TimeDelta,
    pub pace: f32,
    pub aim: f32,
}

fn prior() -> Sketch {
    let mut sketch = Sketch::default();
    // An exponential of that mean, at a few quantiles.
    for at in 0..8 {
        let quantile = -(1.0 - (at as f32 + 0.5) / 8.0).ln();
        sketch.add(PRIOR * quantile);
    }
    sketch.fade(0.25);
    sketch
}

impl Gates {
    pub fn new(classes: &[ClassParameters], zones: usize, tenants: usize) -> Gates {
        let mut order: Vec<ClassId> = (0..classes.len()).map(ClassId).collect();
        order.sort_by(|a, b| {
            classes[b.0]
                .priority_weight
                .total_cmp(&classes[a.0].priority_weight)
        });
        let count = classes.len();
        Gates {
            order,
            zones,
            tenants,
            view: None,
            rise: 0.0,
            part: vec![1.0; count],
            below: vec![0.0; count],
            whole: vec![1.0; count],
            by_tenant: vec![1.0; count * tenants],
            ease: vec![1.0; zones],
            odds: vec![prior().odds(); count * zones],
            stretch: vec![1.0; count * zones],
            drains: TimeDelta::ZERO,
            pace: 0.0,
            aim: 0.0,
        }
    }

    /// The part of all offered requests that is held to be borne; none while nothing is known.
    pub fn view(&self) -> Option<f32> {
        self.view
    }

    /// The part of this request class's requests that passes for this tenant in these zones.
    pub fn part(&self, class: ClassId, tenant: Option<TenantId>, zones: u8) -> f32 {
        let part = match tenant {
            Some(tenant) => self.by_tenant[class.0 * self.tenants + tenant.0],
            None => self.part[class.0],
        };
        let (mut ease, mut count) = (0.0, 0.0);
        for (zone, of) in self.ease.iter().enumerate() {
            if zones == 0 || zones >> zone & 1 == 1 {
                (ease, count) = (ease + of, count + 1.0);
            }
        }
        // Where all zones are alike this changes nothing.
        if count > 0.0 {
            part * (ease / count)
        } else {
            part
        }
    }

    /// What part of its priority weight a request is likely to bring: the chance of an answer within the latency objective, and
    /// what a late one is worth, in the best of these zones.
    pub fn worth(
        &self,
        class: ClassId,
        terms: &ClassParameters,
        zones: u8,
        in_sla: TimeDelta,
        left: TimeDelta,
    ) -> f32 {
        let mut best = 0.0_f32;
        for zone in (0..self.zones).filter(|z| zones == 0 || zones >> z & 1 == 1) {
            let at = class.0 * self.zones + zone;
            let (odds, by) = (&self.odds[at], self.stretch[at]);
            let within =
                |span: TimeDelta| odds.within(span.ratio_to(terms.latency_objective) as f32 / by);
            let in_time = within(in_sla.min(left));
            let late = terms.late_value_ratio.clamp(0.0, 1.0) as f32;
            best = best.max(in_time + late * (within(left) - in_time).max(0.0));
        }
        best
    }

    /// How soon half of those of this request class that do not pass now are likely to; none if that is not in
    /// sight.
    pub fn opens(&self, class: ClassId) -> Option<TimeDelta> {
        let (view, whole) = (self.view?, self.whole[class.0]);
        let half = whole - LIKELY * (whole - view.max(self.below[class.0]));
        let after = (half - view) / self.rise.max(f32::MIN_POSITIVE);
        (self.rise > 0.0 && after >= 0.0)
            .then(|| TimeDelta::from_seconds(f64::from(after.min(60.0))))
    }

    /// How long until the servers' queues are as they are wanted.
    pub fn drains(&self) -> TimeDelta {
        self.drains
    }

    /// Reckons everything anew from what is known.
    pub fn turn(
        &mut self,
        place: &Place,
        window: TimeDelta,
        since: TimeDelta,
        young: bool,
        sum: &mut Sum,
    ) {
        let all = |of: &[f32]| of.iter().sum::<f32>();
        let window = window.as_seconds() as f32;
        let (open, answered) = (all(&sum.figures.open), all(&sum.figures.answered));
        let offered = all(&sum.figures.offered);
        let usual = self.sketches(place, sum, window);
        // Little's law: at once, and not only when late answers come.
        let pace = (open * window + FEW * usual) / (answered + FEW);
        let delay = sum.age + since.as_seconds() as f32;
        let gain = (FOLLOWS * self.aim / delay.max(1e-3)).clamp(LEAST_GAIN, MOST_GAIN);
        let raw = (answered + 1.0) / (offered + 1.0) * (self.aim / pace.max(1e-3)).powf(gain);
        let seen = (answered >= FEW).then_some(raw);
        self.follow(seen, answered / (answered + SURE), young, since, sum);
        self.pace = pace;
        self.drains = TimeDelta::from_seconds(f64::from((pace - self.aim).clamp(0.0, 10.0)));
        self.zone_paces(pace, gain, usual, window, sum);
        self.fill(place, sum);
    }

    /// Sketches into chances; gives back the mean answer time, and sets the aim.
    fn sketches(&mut self, place: &Place, sum: &mut Sum, window: f32) -> f32 {
        let (mut times, mut counts) = (0.0, 0.0);
        self.aim = f32::INFINITY;
        for (class, terms) in place.classes.iter().enumerate() {
            let (rows, latency_objective) = (
                class * self.zones..(class + 1) * self.zones,
                terms.latency_objective.as_seconds() as f32,
            );
            let mut whole = prior();
            sum.figures.sketches[rows.clone()]
                .iter()
                .for_each(|s| whole.merge(s, 1.0));
            // What is old is less sure.
            whole.widen(WIDENS * sum.age / window);
            let (mean, total) = (whole.mean().unwrap_or(PRIOR), whole.total());
            (times, counts) = (times + mean * latency_objective * total, counts + total);
            let most = whole.quantile(AIM).unwrap_or(1.0);
            let aim = (mean / most.max(1e-3)).clamp(LEAST_AIM, MOST_AIM);
            self.aim = self.aim.min(aim * latency_objective);
            for at in rows {
                let mut sketch = sum.figures.sketches[at];
                sketch.widen(WIDENS * sum.age / window);
                // A zone of which little is known is thought to be like all.
                sketch.merge(&whole, FEW / whole.total().max(FEW));
                self.odds[at] = sketch.odds();
                self.stretch[at] = sketch.mean().unwrap_or(PRIOR) * latency_objective;
            }
        }
        times / f32::max(counts, 1e-3)
    }

    /// Moves the view by what is seen, the more the more that was; few answers say what is mostly chance.
    /// Whoever has just started goes by what peers hold.
    fn follow(&mut self, seen: Option<f32>, sure: f32, young: bool, since: TimeDelta, sum: &Sum) {
        let before = if young {
            sum.view.or(self.view)
        } else {
            self.view.or(sum.view)
        };
        let Some(before) = before.or(seen) else {
            (self.view, self.rise) = (None, 0.0);
            return;
        };
        let bound = |view: f32| view.clamp(PROBE, MOST_VIEW);
        let view = bound(before).powf(1.0 - sure) * bound(seen.unwrap_or(before)).powf(sure);
        let rise = (view - self.view.unwrap_or(view)) / since.as_seconds().max(1e-3) as f32;
        self.rise += LEARN * (rise - self.rise);
        self.view = Some(view);
    }

    /// A zone with a longer queue gets less, another more, by the same law; together as before.
    fn zone_paces(&mut self, pace: f32, gain: f32, usual: f32, window: f32, sum: &Sum) {
        let (mut weights, mut eased) = (1e-3, 1e-3);
        for zone in 0..self.zones {
            let (open, answered) = (sum.figures.open[zone], sum.figures.answered[zone]);
            let own = (open * window + SOME * pace) / (answered + SOME);
            self.ease[zone] = (pace / own.max(1e-3)).powf(gain).clamp(PROBE, 1.0 / PROBE);
            (weights, eased) = (weights + answered, eased + answered * self.ease[zone]);
            for class in 0..self.part.len() {
                let at = class * self.zones + zone;
                // From the mean known of to the one that the queues of now will make.
                let queue = self.stretch[at] + own - usual;
                self.stretch[at] = (queue / self.stretch[at].max(1e-3)).clamp(0.5, 4.0);
            }
        }
        self.ease.iter_mut().for_each(|e| *e *= weights / eased);
    }

    /// Shares what can be borne: the dearest request classes first, those of one priority weight alike; then by tenant.
    fn fill(&mut self, place: &Place, sum: &Sum) {
        let offered = &sum.figures.offered;
        let all: f32 = offered.iter().sum::<f32>() + offered.len() as f32;
        let share = |p: &ClassId| (offered[p.0] + 1.0) / all;
        let view = self.view.unwrap_or(MOST_VIEW);
        let (mut below, mut at) = (0.0, 0);
        while at < self.order.len() {
            let priority_weight = place.classes[(self.order[at]).0].priority_weight;
            let alike = self.order[at..]
                .iter()
                .take_while(|p| place.classes[p.0].priority_weight == priority_weight)
                .count();
            let level = &self.order[at..at + alike.max(1)];
            let shares: f32 = level.iter().map(share).sum();
            let part = ((view - below) / shares.max(1e-6)).clamp(0.0, 1.0);
            for class in level {
                (self.part[class.0], self.below[class.0]) = (part, below);
                self.whole[class.0] = below + shares;
                let row = class.0 * self.tenants..(class.0 + 1) * self.tenants;
                fair_share::pass(
                    &sum.figures.tenants,
                    &place.tenant_quotas,
                    part,
                    &mut self.by_tenant[row],
                );
            }
            below += shares;
            at += alike.max(1);
        }
    }
}
