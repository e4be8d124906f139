//! The metering process: the live flows of a gateway, and when each of them is exported.

use harrierdock_types::{TimeDelta, Timestamp};

use crate::{
    Flow, FlowCounters, FlowKey, FlowTable, HeavyHitters, Observation, RecordKind, TimerWheel,
};

/// How many endpoints have flows of their own.
pub const MAX_METERED_ENDPOINTS: usize = 64;
/// How many keys may be live before endpoints share the flow of their build.
pub const MAX_FLOW_KEYS: usize = 4096;
/// Ticks of the timer wheel in one active timeout, so that flows expire spread over it.
const TICKS_PER_ACTIVE_TIMEOUT: f64 = 4.0;
/// Two active timeouts, and the ticks by which a timer may be late.
const WHEEL_SLOTS: usize = 2 * TICKS_PER_ACTIVE_TIMEOUT as usize + 2;
/// Active timeouts without an observation after which a flow ends.
const IDLE_ACTIVE_TIMEOUTS: u32 = 2;

/// A count for each [`RecordKind`], at the index of its number.
type CountsByKind = [u64; RecordKind::ALL.len()];

/// The counters of a live flow since its last export.
struct LiveFlow {
    counters: FlowCounters,
    start: Timestamp,
    idle_timeouts: u32,
}

impl LiveFlow {
    fn export(&self, key: FlowKey, end: Timestamp) -> Flow {
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
    observed: CountsByKind,
    ignored: CountsByKind,
}

impl FlowMeter {
    /// A meter that exports a flow in progress after each active timeout.
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

    /// How many were observed since the start, by kind, ignored ones among them.
    pub fn observed(&self) -> [u64; RecordKind::ALL.len()] {
        self.observed
    }

    /// How many were counted in no flow because there were too many keys, by kind.
    pub fn ignored(&self) -> [u64; RecordKind::ALL.len()] {
        self.ignored
    }

    /// How many flows are live.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is live.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Counts one attempt or request that ended.
    pub fn observe(&mut self, now: Timestamp, observation: &Observation) {
        let kind = observation.kind as usize;
        self.observed[kind] += 1;
        let Some(key) = self.admit(observation) else {
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

    /// The key to count under, with less detail while there are too many keys; none if even that doesn't fit.
    fn admit(&mut self, observation: &Observation) -> Option<FlowKey> {
        let endpoint = observation.endpoint.filter(|endpoint| {
            self.heavy_endpoints.observe(*endpoint) && self.flows.len() < MAX_FLOW_KEYS
        });
        let key = FlowKey::of(observation, endpoint);
        if self.flows.contains(&key) || self.flows.len() < MAX_FLOW_KEYS {
            return Some(key);
        }
        let coarse_key = FlowKey {
            endpoint: None,
            stage: 0,
            ..key
        };
        let is_admitted = self.flows.contains(&coarse_key) || self.flows.len() < 2 * MAX_FLOW_KEYS;
        is_admitted.then_some(coarse_key)
    }

    /// Takes the flows whose active timeout has passed, each with the interval since its last export.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<Flow> {
        let mut exported = Vec::new();
        for key in self.timers.advance(now) {
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            if flow.counters.count > 0 {
                exported.push(flow.export(key, now));
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

    /// Takes everything that is not exported yet, ordered by key, and ends all flows.
    pub fn take_all(&mut self, now: Timestamp) -> Vec<Flow> {
        let mut exported: Vec<Flow> = self
            .flows
            .drain()
            .into_iter()
            .filter(|(_, flow)| flow.counters.count > 0)
            .map(|(key, flow)| flow.export(key, now))
            .collect();
        exported.sort_by_key(|flow| flow.key);
        self.timers.clear();
        exported
    }

    /// When flows may expire next.
    pub fn next_expiry(&self) -> Timestamp {
        self.timers.next_tick()
    }
}
