//! The flows not yet sent to one collector.
//!
//! A new flow is merged into the pending flow of the same key, whose interval is extended. With too many keys, the flows of all
//! endpoints of a build are merged into one flow, and then the flows of all its stages. A flow that still does not fit is dropped
//! and counted.

use std::collections::BTreeMap;

use crate::{Flow, FlowKey, RecordKind};

/// Totals of the flows dropped for lack of space, at shutdown, or because their collector was removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedFlows {
    /// Attempts and requests counted by the dropped flows, by kind.
    pub counts: [u64; RecordKind::ALL.len()],
    /// The number of dropped flows.
    pub flows: u64,
}

impl DroppedFlows {
    fn add(&mut self, flow: &Flow) {
        self.counts[flow.key.kind as usize] += flow.counters.count;
        self.flows += 1;
    }
}

/// Which parts of the keys are left out.
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

/// A bounded table of the flows not yet sent to one collector.
pub struct PendingFlows {
    max_keys: usize,
    aggregation: Aggregation,
    flows: BTreeMap<FlowKey, Flow>,
    dropped: DroppedFlows,
}

impl PendingFlows {
    /// Creates an empty table of at most `max_keys` keys; 0 is raised to 1.
    pub fn new(max_keys: usize) -> PendingFlows {
        PendingFlows {
            max_keys: max_keys.max(1),
            aggregation: Aggregation::None,
            flows: BTreeMap::new(),
            dropped: DroppedFlows::default(),
        }
    }

    /// Returns the number of pending flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow is pending.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the totals of all dropped flows.
    pub fn dropped(&self) -> DroppedFlows {
        self.dropped
    }

    /// Adds a new flow, or one that was taken out and could not be sent.
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
            // The aggregation only increases until the table is empty again, so the loop ends.
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

    /// Merges a flow into the pending flow of a key. Returns false if the key has no pending flow.
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

    /// Removes and returns the first flow in key order.
    pub fn pop_first(&mut self) -> Option<Flow> {
        let first = self.flows.pop_first().map(|(_, flow)| flow);
        if self.flows.is_empty() {
            self.aggregation = Aggregation::None;
        }
        first
    }

    /// Drops all pending flows.
    pub fn drop_all(&mut self) {
        for flow in std::mem::take(&mut self.flows).into_values() {
            self.dropped.add(&flow);
        }
    }
}
