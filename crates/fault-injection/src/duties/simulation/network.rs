//! The network between gateways: it loses, repeats, corrupts and delays messages.

use std::collections::BTreeSet;

use harrierdock_types::TimeDelta;
use nanorand::Rng;

use super::event::SimulatedEvent;
use super::{GatewayIndex, LeaseSimulation};

const MIN_DELAY_SECONDS: f64 = 0.0002;
const USUAL_DELAY_SECONDS: f64 = 0.002;
/// Longest delay of a reordered message. Messages sent much later overtake it.
const REORDERED_DELAY_SECONDS: f64 = 2.5;

/// A partition of the fleet.
#[derive(Clone, Debug)]
pub struct Partition {
    /// The gateways on one side of the partition.
    pub inside: BTreeSet<GatewayIndex>,
    /// Whether only messages sent from `inside` to the other side are dropped; otherwise messages in both directions are.
    pub is_one_way: bool,
}

impl Partition {
    fn drops(&self, from: GatewayIndex, to: GatewayIndex) -> bool {
        let is_sent_inside = self.inside.contains(&from);
        let is_crossing = is_sent_inside != self.inside.contains(&to);
        is_crossing && (is_sent_inside || !self.is_one_way)
    }
}

/// The faults of the network. Ratios are shares of all messages.
#[derive(Clone, Debug)]
pub struct NetworkConditions {
    /// Lost messages.
    pub loss_ratio: f64,
    /// Messages that arrive twice.
    pub repeat_ratio: f64,
    /// Messages with one byte changed.
    pub corruption_ratio: f64,
    /// Messages with a delay of up to `REORDERED_DELAY_SECONDS`.
    pub reordering_ratio: f64,
    /// Longest delay of the other messages, beyond `MIN_DELAY_SECONDS`.
    pub longest_delay_seconds: f64,
    /// `None` if messages reach the whole fleet.
    pub partition: Option<Partition>,
}

impl Default for NetworkConditions {
    /// A network without faults.
    fn default() -> NetworkConditions {
        NetworkConditions {
            loss_ratio: 0.0,
            repeat_ratio: 0.0,
            corruption_ratio: 0.0,
            reordering_ratio: 0.0,
            longest_delay_seconds: USUAL_DELAY_SECONDS,
            partition: None,
        }
    }
}

impl LeaseSimulation {
    /// Sends a message through the network with its current faults.
    pub(super) fn send_message(&mut self, from: GatewayIndex, to: GatewayIndex, bytes: &[u8]) {
        self.longest_message_bytes = self.longest_message_bytes.max(bytes.len());
        self.sent_bytes[from] += bytes.len() as u64;
        let partition = self.network.partition.as_ref();
        if partition.is_some_and(|partition| partition.drops(from, to)) {
            return;
        }
        let is_repeated = self.draw_bool(self.network.repeat_ratio);
        for _ in 0..1 + usize::from(is_repeated) {
            if self.draw_bool(self.network.loss_ratio) {
                continue;
            }
            let bytes = self.draw_corruption(bytes);
            let at = self.now + self.draw_delay();
            self.schedule(at, SimulatedEvent::MessageArrived { from, to, bytes });
        }
    }

    /// The bytes as they arrive; one byte may be changed.
    fn draw_corruption(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut bytes = bytes.to_vec();
        if self.draw_bool(self.network.corruption_ratio) {
            let position = self.rng.generate_range(0..bytes.len());
            bytes[position] ^= self.rng.generate_range(1..=u8::MAX);
        }
        bytes
    }

    fn draw_delay(&mut self) -> TimeDelta {
        let longest_seconds = if self.draw_bool(self.network.reordering_ratio) {
            REORDERED_DELAY_SECONDS
        } else {
            self.network.longest_delay_seconds
        };
        let drawn_seconds = longest_seconds * self.rng.generate::<f64>();
        TimeDelta::from_seconds(MIN_DELAY_SECONDS + drawn_seconds)
    }
}
