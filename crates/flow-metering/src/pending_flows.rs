//! The flows that wait for one collector.
//!
//! A flow joins the one that waits under the same key, and that one's interval widens. When there are too many keys, endpoints are
//! aggregated into their build, and then stages. Only what doesn't fit even then is dropped, and counted.

use std::collections::BTreeMap;

use crate::{Flow, FlowKey, RecordKind};

/// What was dropped because too many keys waited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedFlows {
    /// Attempts and requests, by kind.
    pub counts: [u64; RecordKind::ALL.len()],
    /// The flows that counted them.
    pub flows: u64,
}

impl DroppedFlows {
    fn add(&mut self, flow: &Flow) {
        self.counts[flow.key.kind as usize] += flow.counters.count;
        self.flows += 1;
    }
}

/// How far keys are aggregated.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Aggregation {
    None,
    Endpoints,
    EndpointsAndStages,
}

impl Aggregation {
    fn apply(self, key: FlowKey) -> FlowKey {
        match self {
            Aggregation::None => key,
            Aggregation::Endpoints => FlowKey {
                endpoint: None,
                ..key
            },
            Aggregation::EndpointsAndStages => FlowKey {
                endpoint: None,
                stage: 0,
                ..key
            },
        }
    }
}

/// A bounded table of the flows that wait for one collector.
pub struct PendingFlows {
    max_keys: usize,
    aggregation: Aggregation,
    flows: BTreeMap<FlowKey, Flow>,
    dropped: DroppedFlows,
}

impl PendingFlows {
    /// An empty table of so many keys at most, one at least.
    pub fn new(max_keys: usize) -> PendingFlows {
        PendingFlows {
            max_keys: max_keys.max(1),
            aggregation: Aggregation::None,
            flows: BTreeMap::new(),
            dropped: DroppedFlows::default(),
        }
    }

    /// How many flows wait.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow waits.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// All that was dropped so far.
    pub fn dropped(&self) -> DroppedFlows {
        self.dropped
    }

    /// Adds a flow, or returns one that could not be sent.
    pub fn add(&mut self, flow: Flow) {
        loop {
            let key = self.aggregation.apply(flow.key);
            if self.merge(key, &flow) {
                return;
            }
            if self.flows.len() < self.max_keys {
                self.flows.insert(key, Flow { key, ..flow });
                return;
            }
            // Each step of aggregation is taken once until the table is empty again, so the loop ends.
            match self.aggregation {
                Aggregation::None => self.aggregate(Aggregation::Endpoints),
                Aggregation::Endpoints => self.aggregate(Aggregation::EndpointsAndStages),
                Aggregation::EndpointsAndStages => {
                    self.dropped.add(&flow);
                    return;
                }
            }
        }
    }

    /// Merges a flow into the one that waits under a key. Returns false if there is none.
    fn merge(&mut self, key: FlowKey, flow: &Flow) -> bool {
        let Some(pending) = self.flows.get_mut(&key) else {
            return false;
        };
        pending.counters.merge(&flow.counters);
        pending.start = pending.start.min(flow.start);
        pending.end = pending.end.max(flow.end);
        true
    }

    fn aggregate(&mut self, aggregation: Aggregation) {
        self.aggregation = aggregation;
        for (key, flow) in std::mem::take(&mut self.flows) {
            let key = aggregation.apply(key);
            if !self.merge(key, &flow) {
                self.flows.insert(key, Flow { key, ..flow });
            }
        }
    }

    /// Takes the first flow, in the order of keys.
    pub fn pop_first(&mut self) -> Option<Flow> {
        let first = self.flows.pop_first().map(|(_, flow)| flow);
        if self.flows.is_empty() {
            self.aggregation = Aggregation::None;
        }
        first
    }

    /// Drops all flows that wait, and counts them as dropped.
    pub fn drop_all(&mut self) {
        for flow in std::mem::take(&mut self.flows).into_values() {
            self.dropped.add(&flow);
        }
    }
}
