//! The rates computed from the fleet's load at each tick: the admitted ratio of each class, by tenant and zone, and the probability that a
//! request meets its deadline. Reading them allocates nothing.

use harrierdock_types::{ClassId, ClassParameters, TenantId, TimeDelta};

use crate::event::AdmissionParameters;
use crate::fair_share;
use crate::latency_histogram::{LatencyDistribution, LatencyHistogram};
use crate::load_report::LoadCounts;
use crate::peer_reports::FleetLoad;

/// The targeted share of a class's responses within the latency objective while endpoints are fully loaded. A longer queue wastes work on
/// late responses, a shorter one leaves endpoints idle.
const IN_TIME_SHARE: f32 = 0.9;
/// Bounds of the targeted mean response time, as ratios to the latency objective.
const MIN_TARGET_RATIO: f32 = 0.3;
const MAX_TARGET_RATIO: f32 = 0.6;
/// Lower bound of the sustainable ratio (requests that the endpoints can sustain, as a ratio to all offered requests), so that
/// endpoints that have stopped responding are tried again.
const MIN_SUSTAINABLE_RATIO: f32 = 0.05;
/// Upper bound of the sustainable ratio; above 1, the endpoints could sustain more requests than are offered.
const MAX_SUSTAINABLE_RATIO: f32 = 4.0;
/// Bounds of the exponent with which ratios follow the response time.
const MIN_GAIN: f32 = 0.25;
const MAX_GAIN: f32 = 1.5;
/// The minimum number of responses from which the sustainable ratio is estimated, and the weight of prior data in means.
const MIN_RESPONSES: f32 = 3.0;
/// The number of responses at which a zone's response time has the same weight as the response time of all zones.
const ZONE_PRIOR_RESPONSES: f32 = 20.0;
/// The number of responses at which the newest estimate has half of the weight in the sustainable ratio.
const HALF_CONFIDENCE_RESPONSES: f32 = 15.0;
/// The mean response time assumed without data, as a ratio to the latency objective.
const PRIOR_MEAN_RATIO: f32 = 0.25;
/// The share of each bucket that spreads to its neighbours per window of the histogram's age.
const WIDENING_PER_WINDOW: f32 = 0.1;
/// The probability of admission that `time_to_admission` waits for.
const LIKELY_PROBABILITY: f32 = 0.5;
/// The weight of the newest value in the smoothed rise of the sustainable ratio.
const RISE_SMOOTHING: f32 = 0.5;
/// The gain with which the sustainable ratio follows the queues: the delay of the load data divided by the time in which queues react.
/// Below 1/e the sustainable ratio never oscillates; above pi/2 it always does.
const LOOP_GAIN: f32 = 0.67;
/// Keeps divisors away from zero.
const MIN_SECONDS: f32 = 1e-3;

/// The time base of a load measurement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Measurement {
    /// The time constant of the decay of counts.
    pub(crate) window: TimeDelta,
    /// The time since the previous measurement.
    pub(crate) since_last: TimeDelta,
    /// Whether this gateway has just started and should prefer the sustainable ratio that its peers report.
    pub(crate) has_just_started: bool,
}

/// The fleet's response times, and the parameters used with them.
#[derive(Clone, Copy)]
struct ResponseTimes {
    /// The mean response time that the current queues will lead to, by Little's law.
    expected_seconds: f32,
    /// The mean response time of the responses received.
    measured_seconds: f32,
    /// The time constant of the decay of counts.
    window_seconds: f32,
    /// The exponent with which the zone factors follow the response times.
    gain: f32,
}

/// The admitted ratios, and the estimates that they are computed from.
pub struct AdmissionRates {
    /// Classes in the order of admission: by descending priority weight.
    order: Vec<ClassId>,
    zones: usize,
    tenants: usize,
    /// Requests that the endpoints can sustain, as a ratio to all offered requests; `None` without data.
    sustainable_ratio: Option<f32>,
    /// The smoothed rise of the sustainable ratio per second.
    rise_per_second: f32,
    /// By class: admitted requests as a ratio to offered requests.
    admitted: Vec<f32>,
    /// By class: the sustainable ratio above which some of its requests are admitted.
    starts_at: Vec<f32>,
    /// By class: the sustainable ratio at which all of its requests are admitted.
    complete_at: Vec<f32>,
    /// By class and tenant: admitted requests as a ratio to offered requests.
    admitted_by_tenant: Vec<f32>,
    /// By zone: the factor on the admitted ratio for the zone's queue; the mean weighted by responses is 1.
    zone_factors: Vec<f32>,
    /// The distribution of measured response times by class and zone.
    distributions: Vec<LatencyDistribution>,
    /// By class and zone: the response times that the current queues will lead to, as a ratio to the measured ones.
    latency_factors: Vec<f32>,
    drain_time: TimeDelta,
    response_time_seconds: f32,
    target_seconds: f32,
}

/// The response times assumed without data: eight quantiles of an exponential distribution, with the weight of two responses.
fn prior_histogram() -> LatencyHistogram {
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
            distributions: vec![prior_histogram().distribution(); count * zones],
            latency_factors: vec![1.0; count * zones],
            drain_time: TimeDelta::ZERO,
            response_time_seconds: 0.0,
            target_seconds: 0.0,
        }
    }

    /// The estimated ratio of all offered requests that the endpoints can sustain; `None` without data.
    pub fn sustainable_ratio(&self) -> Option<f32> {
        self.sustainable_ratio
    }

    /// The mean response time that the current queues will lead to.
    pub fn response_time_seconds(&self) -> f32 {
        self.response_time_seconds
    }

    /// The admitted ratio of a class's requests for a tenant in the zones of a bit mask (0 for all zones).
    ///
    /// # Panics
    /// If the class or tenant does not exist.
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

    /// The expected value of a request as a share of its priority weight, in the best of its zones. A response within the latency objective
    /// counts 1, and a later one within the deadline counts the late value ratio.
    pub(crate) fn expected_value(
        &self,
        class: ClassId,
        parameters: &ClassParameters,
        zones: u8,
        until_objective: TimeDelta,
        until_deadline: TimeDelta,
    ) -> f32 {
        let late_value_ratio = parameters.late_value_ratio.clamp(0.0, 1.0) as f32;
        let mut best = 0.0_f32;
        for zone in (0..self.zones).filter(|zone| zones == 0 || zones >> zone & 1 == 1) {
            let index = class.0 * self.zones + zone;
            let probability_within = |span: TimeDelta| {
                let ratio = span.ratio_to(parameters.latency_objective) as f32;
                self.distributions[index].probability_within(ratio / self.latency_factors[index])
            };
            let in_time = probability_within(until_objective.min(until_deadline));
            let late = (probability_within(until_deadline) - in_time).max(0.0);
            best = best.max(in_time + late_value_ratio * late);
        }
        best
    }

    /// How long until half of the class's requests that are not admitted now will be admitted, at the present rise of the sustainable ratio.
    /// `None` if the ratio is unknown, does not rise, or has already passed that point.
    pub(crate) fn time_to_admission(&self, class: ClassId) -> Option<TimeDelta> {
        let current = self.sustainable_ratio?;
        let complete_at = self.complete_at[class.0];
        let missing = complete_at - current.max(self.starts_at[class.0]);
        let likely_at = complete_at - LIKELY_PROBABILITY * missing;
        let seconds = (likely_at - current) / self.rise_per_second.max(f32::MIN_POSITIVE);
        (self.rise_per_second > 0.0 && seconds >= 0.0)
            .then(|| TimeDelta::from_seconds(f64::from(seconds.min(60.0))))
    }

    /// The estimated time until the endpoints' queues have drained to the target.
    pub(crate) fn drain_time(&self) -> TimeDelta {
        self.drain_time
    }

    /// Recomputes all rates from the fleet's load.
    pub(crate) fn update(
        &mut self,
        parameters: &AdmissionParameters,
        measurement: Measurement,
        load: &FleetLoad,
    ) {
        let total = |counts: &[f32]| counts.iter().sum::<f32>();
        let window_seconds = measurement.window.as_seconds() as f32;
        let in_flight = total(&load.counts.in_flight);
        let answered = total(&load.counts.answered);
        let offered = total(&load.counts.offered);
        let measured_seconds = self.update_distributions(parameters, load, window_seconds);
        // Little's law shows a queue at once, while measured times show it only once late responses arrive.
        let expected_seconds = (in_flight * window_seconds + MIN_RESPONSES * measured_seconds)
            / (answered + MIN_RESPONSES);
        let delay_seconds = load.age_seconds + measurement.since_last.as_seconds() as f32;
        let gain = LOOP_GAIN * self.target_seconds / delay_seconds.max(MIN_SECONDS);
        let gain = gain.clamp(MIN_GAIN, MAX_GAIN);
        let pressure = (self.target_seconds / expected_seconds.max(MIN_SECONDS)).powf(gain);
        let estimate = (answered + 1.0) / (offered + 1.0) * pressure;
        let estimate = (answered >= MIN_RESPONSES).then_some(estimate);
        let confidence = answered / (answered + HALF_CONFIDENCE_RESPONSES);
        self.update_sustainable_ratio(estimate, confidence, measurement, load);
        self.response_time_seconds = expected_seconds;
        let excess_seconds = (expected_seconds - self.target_seconds).clamp(0.0, 10.0);
        self.drain_time = TimeDelta::from_seconds(f64::from(excess_seconds));
        let times = ResponseTimes {
            expected_seconds,
            measured_seconds,
            window_seconds,
            gain,
        };
        self.update_zones(times, &load.counts);
        self.admit_by_priority(parameters, &load.counts);
    }

    /// Computes the distributions from histograms, and the target. Returns the mean response time in seconds.
    fn update_distributions(
        &mut self,
        parameters: &AdmissionParameters,
        load: &FleetLoad,
        window_seconds: f32,
    ) -> f32 {
        let widening = WIDENING_PER_WINDOW * load.age_seconds / window_seconds;
        let mut weighted_seconds = 0.0;
        let mut responses = 0.0;
        self.target_seconds = f32::INFINITY;
        for (class, class_parameters) in parameters.classes.iter().enumerate() {
            let range = class * self.zones..(class + 1) * self.zones;
            let objective_seconds = class_parameters.latency_objective.as_seconds() as f32;
            let mut all_zones = prior_histogram();
            for histogram in &load.counts.histograms[range.clone()] {
                all_zones.merge(histogram, 1.0);
            }
            all_zones.widen(widening);
            let mean = all_zones.mean().unwrap_or(PRIOR_MEAN_RATIO);
            let total = all_zones.total();
            weighted_seconds += mean * objective_seconds * total;
            responses += total;
            let in_time_quantile = all_zones.quantile(IN_TIME_SHARE).unwrap_or(1.0);
            let target =
                (mean / in_time_quantile.max(1e-3)).clamp(MIN_TARGET_RATIO, MAX_TARGET_RATIO);
            self.target_seconds = self.target_seconds.min(target * objective_seconds);
            for index in range {
                let mut histogram = load.counts.histograms[index];
                histogram.widen(widening);
                // Adds the histogram of all zones at a low weight, so that it dominates only in zones with little data.
                histogram.merge(
                    &all_zones,
                    MIN_RESPONSES / all_zones.total().max(MIN_RESPONSES),
                );
                self.distributions[index] = histogram.distribution();
                self.latency_factors[index] =
                    histogram.mean().unwrap_or(PRIOR_MEAN_RATIO) * objective_seconds;
            }
        }
        weighted_seconds / f32::max(responses, 1e-3)
    }

    /// Moves the sustainable ratio towards the estimate, weighted by confidence. A gateway that has just started starts from the ratio that
    /// its peers report.
    fn update_sustainable_ratio(
        &mut self,
        estimate: Option<f32>,
        confidence: f32,
        measurement: Measurement,
        load: &FleetLoad,
    ) {
        let previous = if measurement.has_just_started {
            load.sustainable_ratio.or(self.sustainable_ratio)
        } else {
            self.sustainable_ratio.or(load.sustainable_ratio)
        };
        let Some(previous) = previous.or(estimate) else {
            self.sustainable_ratio = None;
            self.rise_per_second = 0.0;
            return;
        };
        let bounded = |ratio: f32| ratio.clamp(MIN_SUSTAINABLE_RATIO, MAX_SUSTAINABLE_RATIO);
        let kept = bounded(previous).powf(1.0 - confidence);
        // Rounding may move the product of two powers within the bounds outside them.
        let ratio = bounded(kept * bounded(estimate.unwrap_or(previous)).powf(confidence));
        let elapsed_seconds = measurement.since_last.as_seconds().max(1e-3) as f32;
        let rise = (ratio - self.sustainable_ratio.unwrap_or(ratio)) / elapsed_seconds;
        self.rise_per_second += RISE_SMOOTHING * (rise - self.rise_per_second);
        self.sustainable_ratio = Some(ratio);
    }

    /// Computes a factor on the admitted ratio of each zone: lower for a longer queue, by the same formula as the sustainable ratio. The
    /// mean factor, weighted by responses, is 1, so that the total admitted stays the same.
    fn update_zones(&mut self, times: ResponseTimes, counts: &LoadCounts) {
        let mut weights = 1e-3;
        let mut weighted_factors = 1e-3;
        for zone in 0..self.zones {
            let answered = counts.answered[zone];
            let queued = counts.in_flight[zone] * times.window_seconds;
            let zone_expected_seconds = (queued + ZONE_PRIOR_RESPONSES * times.expected_seconds)
                / (answered + ZONE_PRIOR_RESPONSES);
            self.zone_factors[zone] = (times.expected_seconds
                / zone_expected_seconds.max(MIN_SECONDS))
            .powf(times.gain)
            .clamp(MIN_SUSTAINABLE_RATIO, 1.0 / MIN_SUSTAINABLE_RATIO);
            weights += answered;
            weighted_factors += answered * self.zone_factors[zone];
            for class in 0..self.admitted.len() {
                let index = class * self.zones + zone;
                // The mean response time that the current queues will lead to, as a ratio to the measured mean.
                let mean = self.latency_factors[index];
                let expected_mean = mean + zone_expected_seconds - times.measured_seconds;
                self.latency_factors[index] = (expected_mean / mean.max(1e-3)).clamp(0.5, 4.0);
            }
        }
        self.zone_factors
            .iter_mut()
            .for_each(|factor| *factor *= weights / weighted_factors);
    }

    /// Divides the sustainable ratio among classes by descending priority weight, equally among classes of one weight, then among tenants.
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
            let level_size = self.order[first..]
                .iter()
                .take_while(|class| weight(class) == level_weight)
                .count()
                .max(1);
            let level = &self.order[first..first + level_size];
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
            first += level_size;
        }
    }
}
