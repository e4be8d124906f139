//! What follows from the fleet's load: the ratio of each class's requests that is admitted, by tenant and zone, and the probability that a
//! request meets its deadline. Computed at each tick; reading it allocates nothing.

use harrierdock_types::{ClassId, ClassParameters, TenantId, TimeDelta};

use crate::event::AdmissionParameters;
use crate::fair_share;
use crate::latency_histogram::{LatencyDistribution, LatencyHistogram};
use crate::load_report::LoadCounts;
use crate::peer_reports::FleetLoad;

/// The share of a class's answers that is to be in time where endpoints are full. A longer queue wastes work on late answers, a shorter one
/// leaves endpoints idle.
const IN_TIME_SHARE: f32 = 0.9;
/// Bounds of the mean answer time that is aimed at, as ratios to the latency objective.
const MIN_TARGET_RATIO: f32 = 0.3;
const MAX_TARGET_RATIO: f32 = 0.6;
/// At least this ratio is admitted, so that endpoints that have stopped answering are tried again.
const MIN_SUSTAINABLE_RATIO: f32 = 0.05;
const MAX_SUSTAINABLE_RATIO: f32 = 4.0;
const MIN_GAIN: f32 = 0.25;
const MAX_GAIN: f32 = 1.5;
/// Answers of a typical gateway's window without which nothing is known.
const MIN_ANSWERS: f32 = 3.0;
/// Answers at which a zone's own answer time counts as much as that of all zones.
const ZONE_PRIOR_ANSWERS: f32 = 20.0;
/// Answers at which what they say counts for half of the new sustainable ratio.
const HALF_CONFIDENCE_ANSWERS: f32 = 15.0;
/// The mean answer time assumed where nothing is known, as a ratio to the latency objective.
const PRIOR_MEAN_RATIO: f32 = 0.25;
/// By how much histograms widen for each window of their age.
const WIDENING_PER_WINDOW: f32 = 0.1;
/// The probability at which a request is likely to be admitted soon.
const LIKELY_PROBABILITY: f32 = 0.5;
/// Weight of the newest rise in the running one.
const RISE_SMOOTHING: f32 = 0.5;
/// How far the sustainable ratio follows the queues, as the delay of what is known over the time in which queues would follow it: under 1/e
/// nothing oscillates, past half of pi everything does.
const LOOP_GAIN: f32 = 0.67;
/// Keeps divisors away from zero.
const MIN_SECONDS: f32 = 1e-3;

/// How long ago and over what time the fleet's load was measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Measurement {
    /// The time over which counts decay.
    pub(crate) window: TimeDelta,
    /// The time since the measurement before.
    pub(crate) since_last: TimeDelta,
    /// This gateway has just started: peers know better.
    pub(crate) has_just_started: bool,
}

/// The fleet's answer times by Little's law.
#[derive(Clone, Copy)]
struct ResponseTimes {
    /// What the queues of now will make of them.
    expected: f32,
    /// The mean of the answers that came.
    measured: f32,
    window: f32,
    gain: f32,
}

/// The admitted ratios, and what they follow from.
pub struct AdmissionRates {
    /// Classes in the order in which they are admitted: by priority weight.
    order: Vec<ClassId>,
    zones: usize,
    tenants: usize,
    sustainable_ratio: Option<f32>,
    /// How fast the sustainable ratio rises, a second.
    rise_per_second: f32,
    /// By class.
    admitted: Vec<f32>,
    /// By class: the sustainable ratio from which some of it is admitted.
    starts_at: Vec<f32>,
    /// By class: the sustainable ratio at which all of it is admitted.
    complete_at: Vec<f32>,
    /// By class and tenant.
    admitted_by_tenant: Vec<f32>,
    /// By zone: its share against that of the others, for its queue.
    zone_factors: Vec<f32>,
    /// By class and zone.
    distributions: Vec<LatencyDistribution>,
    /// By class and zone: what the queues of now will make of the answer times, as a ratio to the measured ones.
    latency_factors: Vec<f32>,
    drain_time: TimeDelta,
    response_time_seconds: f32,
    target_seconds: f32,
}

/// Answer times where nothing is known: exponential with the prior mean, at a few quantiles, counted as two answers.
fn prior() -> LatencyHistogram {
    let mut histogram = LatencyHistogram::default();
    for step in 0..8 {
        let quantile = -(1.0 - (step as f32 + 0.5) / 8.0).ln();
        histogram.record(PRIOR_MEAN_RATIO * quantile);
    }
    histogram.decay(0.25);
    histogram
}

impl AdmissionRates {
    pub(crate) fn new(classes: &[ClassParameters], zones: usize, tenants: usize) -> AdmissionRates {
        let count = classes.len();
        let mut order: Vec<ClassId> = (0..count).map(ClassId).collect();
        order.sort_by(|a, b| {
            let weight = |class: &ClassId| classes[class.0].priority_weight;
            weight(b).total_cmp(&weight(a))
        });
        AdmissionRates {
            order,
            zones,
            tenants,
            sustainable_ratio: None,
            rise_per_second: 0.0,
            admitted: vec![1.0; count],
            starts_at: vec![0.0; count],
            complete_at: vec![1.0; count],
            admitted_by_tenant: vec![1.0; count * tenants],
            zone_factors: vec![1.0; zones],
            distributions: vec![prior().distribution(); count * zones],
            latency_factors: vec![1.0; count * zones],
            drain_time: TimeDelta::ZERO,
            response_time_seconds: 0.0,
            target_seconds: 0.0,
        }
    }

    /// The ratio of all offered requests that endpoints are taken to sustain; none while nothing is known.
    pub fn sustainable_ratio(&self) -> Option<f32> {
        self.sustainable_ratio
    }

    /// The answer time that the queues of now will make, in seconds.
    pub fn response_time_seconds(&self) -> f32 {
        self.response_time_seconds
    }

    /// The ratio of this class's requests that is admitted for this tenant in these zones (a bit each; 0 for all).
    ///
    /// # Panics
    /// There is no such class or tenant.
    pub fn admitted_ratio(&self, class: ClassId, tenant: Option<TenantId>, zones: u8) -> f32 {
        let admitted = match tenant {
            Some(tenant) => self.admitted_by_tenant[class.0 * self.tenants + tenant.0],
            None => self.admitted[class.0],
        };
        let mut factors = 0.0;
        let mut count = 0.0;
        for (zone, factor) in self.zone_factors.iter().enumerate() {
            if zones == 0 || zones >> zone & 1 == 1 {
                factors += factor;
                count += 1.0;
            }
        }
        if count > 0.0 {
            admitted * (factors / count)
        } else {
            admitted
        }
    }

    /// The share of its priority weight that a request is likely to bring: the probability of an answer within the latency objective, and what
    /// a late one is worth, in the best of these zones.
    pub(crate) fn expected_value(
        &self,
        class: ClassId,
        parameters: &ClassParameters,
        zones: u8,
        until_objective: TimeDelta,
        until_deadline: TimeDelta,
    ) -> f32 {
        let late_value = parameters.late_value_ratio.clamp(0.0, 1.0) as f32;
        let mut best = 0.0_f32;
        for zone in (0..self.zones).filter(|z| zones == 0 || zones >> z & 1 == 1) {
            let index = class.0 * self.zones + zone;
            let probability_within = |span: TimeDelta| {
                let ratio = span.ratio_to(parameters.latency_objective) as f32;
                self.distributions[index].probability_within(ratio / self.latency_factors[index])
            };
            let in_time = probability_within(until_objective.min(until_deadline));
            let late = (probability_within(until_deadline) - in_time).max(0.0);
            best = best.max(in_time + late_value * late);
        }
        best
    }

    /// How soon half of this class's requests that are not admitted now are likely to be; none if that is not in sight.
    pub(crate) fn time_to_admission(&self, class: ClassId) -> Option<TimeDelta> {
        let current = self.sustainable_ratio?;
        let complete_at = self.complete_at[class.0];
        let missing = complete_at - current.max(self.starts_at[class.0]);
        let half = complete_at - LIKELY_PROBABILITY * missing;
        let seconds = (half - current) / self.rise_per_second.max(f32::MIN_POSITIVE);
        (self.rise_per_second > 0.0 && seconds >= 0.0)
            .then(|| TimeDelta::from_seconds(f64::from(seconds.min(60.0))))
    }

    /// How long until the endpoints' queues are as short as they are to be.
    pub(crate) fn drain_time(&self) -> TimeDelta {
        self.drain_time
    }

    /// Computes everything anew from the fleet's load.
    pub(crate) fn update(
        &mut self,
        parameters: &AdmissionParameters,
        measurement: Measurement,
        load: &FleetLoad,
    ) {
        let total = |counts: &[f32]| counts.iter().sum::<f32>();
        let window = measurement.window.as_seconds() as f32;
        let in_flight = total(&load.counts.in_flight);
        let answered = total(&load.counts.answered);
        let offered = total(&load.counts.offered);
        let measured = self.update_distributions(parameters, load, window);
        // Little's law: it sees a queue at once, and not only when late answers come.
        let expected = (in_flight * window + MIN_ANSWERS * measured) / (answered + MIN_ANSWERS);
        let delay = load.age_seconds + measurement.since_last.as_seconds() as f32;
        let gain = LOOP_GAIN * self.target_seconds / delay.max(MIN_SECONDS);
        let gain = gain.clamp(MIN_GAIN, MAX_GAIN);
        let pressure = (self.target_seconds / expected.max(MIN_SECONDS)).powf(gain);
        let seen = (answered + 1.0) / (offered + 1.0) * pressure;
        let seen = (answered >= MIN_ANSWERS).then_some(seen);
        let confidence = answered / (answered + HALF_CONFIDENCE_ANSWERS);
        self.follow(seen, confidence, measurement, load);
        self.response_time_seconds = expected;
        let excess = (expected - self.target_seconds).clamp(0.0, 10.0);
        self.drain_time = TimeDelta::from_seconds(f64::from(excess));
        let times = ResponseTimes {
            expected,
            measured,
            window,
            gain,
        };
        self.update_zones(times, &load.counts);
        self.admit_by_priority(parameters, &load.counts);
    }

    /// Turns histograms into distributions, and sets the target. Returns the mean answer time in seconds.
    fn update_distributions(
        &mut self,
        parameters: &AdmissionParameters,
        load: &FleetLoad,
        window: f32,
    ) -> f32 {
        let widening = WIDENING_PER_WINDOW * load.age_seconds / window;
        let mut weighted_times = 0.0;
        let mut answers = 0.0;
        self.target_seconds = f32::INFINITY;
        for (class, class_parameters) in parameters.classes.iter().enumerate() {
            let range = class * self.zones..(class + 1) * self.zones;
            let objective = class_parameters.latency_objective.as_seconds() as f32;
            let mut all_zones = prior();
            for histogram in &load.counts.histograms[range.clone()] {
                all_zones.merge(histogram, 1.0);
            }
            all_zones.widen(widening);
            let mean = all_zones.mean().unwrap_or(PRIOR_MEAN_RATIO);
            let total = all_zones.total();
            weighted_times += mean * objective * total;
            answers += total;
            let in_time = all_zones.quantile(IN_TIME_SHARE).unwrap_or(1.0);
            let target = (mean / in_time.max(1e-3)).clamp(MIN_TARGET_RATIO, MAX_TARGET_RATIO);
            self.target_seconds = self.target_seconds.min(target * objective);
            for index in range {
                let mut histogram = load.counts.histograms[index];
                histogram.widen(widening);
                // A zone of which little is known is taken to be like all.
                histogram.merge(&all_zones, MIN_ANSWERS / all_zones.total().max(MIN_ANSWERS));
                self.distributions[index] = histogram.distribution();
                self.latency_factors[index] =
                    histogram.mean().unwrap_or(PRIOR_MEAN_RATIO) * objective;
            }
        }
        weighted_times / f32::max(answers, 1e-3)
    }

    /// Moves the sustainable ratio to what is seen, by the confidence in it. A gateway that has just started goes by what peers report.
    fn follow(
        &mut self,
        seen: Option<f32>,
        confidence: f32,
        measurement: Measurement,
        load: &FleetLoad,
    ) {
        let before = if measurement.has_just_started {
            load.sustainable_ratio.or(self.sustainable_ratio)
        } else {
            self.sustainable_ratio.or(load.sustainable_ratio)
        };
        let Some(before) = before.or(seen) else {
            self.sustainable_ratio = None;
            self.rise_per_second = 0.0;
            return;
        };
        let bounded = |ratio: f32| ratio.clamp(MIN_SUSTAINABLE_RATIO, MAX_SUSTAINABLE_RATIO);
        let kept = bounded(before).powf(1.0 - confidence);
        // The product of two powers within the bounds may leave them by rounding.
        let ratio = bounded(kept * bounded(seen.unwrap_or(before)).powf(confidence));
        let elapsed = measurement.since_last.as_seconds().max(1e-3) as f32;
        let rise = (ratio - self.sustainable_ratio.unwrap_or(ratio)) / elapsed;
        self.rise_per_second += RISE_SMOOTHING * (rise - self.rise_per_second);
        self.sustainable_ratio = Some(ratio);
    }

    /// A zone with a longer queue gets less, another more, by the same law; together as before.
    fn update_zones(&mut self, times: ResponseTimes, counts: &LoadCounts) {
        let mut weights = 1e-3;
        let mut weighted_factors = 1e-3;
        for zone in 0..self.zones {
            let answered = counts.answered[zone];
            let queued = counts.in_flight[zone] * times.window;
            let own =
                (queued + ZONE_PRIOR_ANSWERS * times.expected) / (answered + ZONE_PRIOR_ANSWERS);
            self.zone_factors[zone] = (times.expected / own.max(MIN_SECONDS))
                .powf(times.gain)
                .clamp(MIN_SUSTAINABLE_RATIO, 1.0 / MIN_SUSTAINABLE_RATIO);
            weights += answered;
            weighted_factors += answered * self.zone_factors[zone];
            for class in 0..self.admitted.len() {
                let index = class * self.zones + zone;
                // From the measured mean to the one that the queues of now will make.
                let mean = self.latency_factors[index];
                let queue = mean + own - times.measured;
                self.latency_factors[index] = (queue / mean.max(1e-3)).clamp(0.5, 4.0);
            }
        }
        self.zone_factors
            .iter_mut()
            .for_each(|factor| *factor *= weights / weighted_factors);
    }

    /// Shares what can be sustained: classes of the highest priority weight first, those of one weight alike; then by tenant.
    fn admit_by_priority(&mut self, parameters: &AdmissionParameters, counts: &LoadCounts) {
        let offered = &counts.offered;
        let total: f32 = offered.iter().sum::<f32>() + offered.len() as f32;
        let share = |class: &ClassId| (offered[class.0] + 1.0) / total;
        let weight = |class: &ClassId| parameters.classes[class.0].priority_weight;
        let sustainable = self.sustainable_ratio.unwrap_or(MAX_SUSTAINABLE_RATIO);
        let mut used = 0.0;
        let mut first = 0;
        while first < self.order.len() {
            let level_weight = weight(&self.order[first]);
            let alike = self.order[first..]
                .iter()
                .take_while(|class| weight(class) == level_weight)
                .count()
                .max(1);
            let level = &self.order[first..first + alike];
            let shares: f32 = level.iter().map(share).sum();
            let admitted = ((sustainable - used) / shares.max(1e-6)).clamp(0.0, 1.0);
            for class in level {
                self.admitted[class.0] = admitted;
                self.starts_at[class.0] = used;
                self.complete_at[class.0] = used + shares;
                let tenants = class.0 * self.tenants..(class.0 + 1) * self.tenants;
                fair_share::admitted_ratios(
                    &counts.offered_by_tenant,
                    &parameters.tenant_quotas,
                    admitted,
                    &mut self.admitted_by_tenant[tenants],
                );
            }
            used += shares;
            first += alike;
        }
    }
}
