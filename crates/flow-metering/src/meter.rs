//! The metering process: counts observations in live flows, and exports each flow at its active timeout.

use harrierdock_types::{TimeDelta, Timestamp};

use crate::{
    Flow, FlowCounters, FlowKey, FlowTable, HeavyHitters, Observation, RecordKind, TimerWheel,
};

/// The largest number of endpoints that have flows of their own.
pub const MAX_METERED_ENDPOINTS: usize = 64;
/// Beyond this number of live flows, new flows do not distinguish endpoints and rollout stages.
pub const MAX_FLOW_KEYS: usize = 4096;
/// Ticks of the timer wheel per active timeout; more than one, so that flows do not all expire at once.
const TICKS_PER_ACTIVE_TIMEOUT: f64 = 4.0;
/// Slots for two active timeouts, plus the ticks by which a timer may be late.
const WHEEL_SLOTS: usize = 2 * TICKS_PER_ACTIVE_TIMEOUT as usize + 2;
/// A flow is removed after this many successive active timeouts without an observation.
const IDLE_ACTIVE_TIMEOUTS: u32 = 2;

/// A count for each [`RecordKind`], indexed by its discriminant.
type CountsByKind = [u64; RecordKind::ALL.len()];

/// The counters of a live flow since its last export.
struct LiveFlow {
    counters: FlowCounters,
    start: Timestamp,
    /// Number of consecutive active timeouts without an observation.
    idle_timeouts: u32,
}

impl LiveFlow {
    fn to_flow(&self, key: FlowKey, end: Timestamp) -> Flow {
        Flow {
            key,
            counters: self.counters,
            start: self.start,
            end,
        }
    }
}

/// Counts all attempts and requests of a gateway by flow key.
pub struct FlowMeter {
    active_timeout: TimeDelta,
    flows: FlowTable<LiveFlow>,
    timers: TimerWheel<FlowKey>,
    heavy_endpoints: HeavyHitters,
    /// All attempts and requests, including ignored ones.
    observed: CountsByKind,
    /// Attempts and requests that no flow counted because there were too many keys.
    ignored: CountsByKind,
}

impl FlowMeter {
    /// Creates a meter that exports each flow once per active timeout.
    pub fn new(now: Timestamp, active_timeout: TimeDelta) -> FlowMeter {
        let tick = active_timeout / TICKS_PER_ACTIVE_TIMEOUT;
        FlowMeter {
            active_timeout,
            flows: FlowTable::new(),
            timers: TimerWheel::new(now, tick, WHEEL_SLOTS),
            heavy_endpoints: HeavyHitters::new(MAX_METERED_ENDPOINTS),
            observed: [0; RecordKind::ALL.len()],
            ignored: [0; RecordKind::ALL.len()],
        }
    }

    /// Returns the attempts and requests observed since the start, by kind, including ignored ones.
    pub fn observed(&self) -> [u64; RecordKind::ALL.len()] {
        self.observed
    }

    /// Returns the attempts and requests that no flow counted because there were too many keys, by kind.
    pub fn ignored(&self) -> [u64; RecordKind::ALL.len()] {
        self.ignored
    }

    /// Returns the number of live flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether there is no live flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Counts a finished attempt or request.
    pub fn observe(&mut self, now: Timestamp, observation: &Observation) {
        let kind = observation.kind as usize;
        self.observed[kind] += 1;
        let Some(key) = self.select_key(observation) else {
            self.ignored[kind] += 1;
            return;
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.counters.add(observation);
            flow.idle_timeouts = 0;
            return;
        }
        let mut counters = FlowCounters::default();
        counters.add(observation);
        let flow = LiveFlow {
            counters,
            start: now,
            idle_timeouts: 0,
        };
        self.flows.insert(key, flow);
        self.timers.schedule(now + self.active_timeout, key);
    }

    /// Returns the key to count an observation under, without endpoint and stage if there are too many keys. Returns `None` if
    /// the key without endpoint and stage does not fit either.
    fn select_key(&mut self, observation: &Observation) -> Option<FlowKey> {
        let endpoint = observation.endpoint.filter(|endpoint| {
            self.heavy_endpoints.observe(*endpoint) && self.flows.len() < MAX_FLOW_KEYS
        });
        let key = FlowKey::from_observation(observation, endpoint);
        if self.flows.contains(&key) || self.flows.len() < MAX_FLOW_KEYS {
            return Some(key);
        }
        let coarse_key = FlowKey {
            endpoint: None,
            stage: 0,
            ..key
        };
        let has_space = self.flows.contains(&coarse_key) || self.flows.len() < 2 * MAX_FLOW_KEYS;
        has_space.then_some(coarse_key)
    }

    /// Takes the flows whose active timeout has passed. Each covers the interval since its last export.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<Flow> {
        let mut exported = Vec::new();
        for key in self.timers.advance(now) {
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            if flow.counters.count > 0 {
                exported.push(flow.to_flow(key, now));
                flow.counters = FlowCounters::default();
                flow.idle_timeouts = 0;
            } else {
                flow.idle_timeouts += 1;
            }
            flow.start = now;
            if flow.idle_timeouts >= IDLE_ACTIVE_TIMEOUTS {
                self.flows.remove(&key);
            } else {
                self.timers.schedule(now + self.active_timeout, key);
            }
        }
        exported
    }

    /// Removes all flows, and returns those with counts not exported yet, ordered by key.
    pub fn take_all(&mut self, now: Timestamp) -> Vec<Flow> {
        let mut exported: Vec<Flow> = self
            .flows
            .drain()
            .into_iter()
            .filter(|(_, flow)| flow.counters.count > 0)
            .map(|(key, flow)| flow.to_flow(key, now))
            .collect();
        exported.sort_by_key(|flow| flow.key);
        self.timers.clear();
        exported
    }

    /// Returns the next time at which flows may expire.
    pub fn next_expiry(&self) -> Timestamp {
        self.timers.next_tick()
    }
}
