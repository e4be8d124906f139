//! The roads between gateways.

use std::collections::BTreeSet;

use harrierdock_types::TimeDelta;
use nanorand::Rng;

use super::{GatewayIndex, LeaseSimulation, SimulatedEvent};

/// How roads are at the moment.
#[derive(Clone, Debug, Default)]
pub struct NetworkConditions {
    pub loss_ratio: f64,
    pub repeat_ratio: f64,
    pub corruption_ratio: f64,
    pub reordering_ratio: f64,
    /// The longest delay, in seconds.
    pub longest_delay_seconds: f64,
    /// Nothing passes from the first set to the others; nor back, unless one way.
    pub partition: Option<(BTreeSet<GatewayIndex>, bool)>,
}

impl LeaseSimulation {
    pub(super) fn send_message(
        &mut self,
        from: GatewayIndex,
        to: GatewayIndex,
        bytes: Vec<u8>,
        lease: bool,
    ) {
        self.longest_message = self.longest_message.max(bytes.len());
        self.sent_bytes[from] += bytes.len() as u64;
        if lease {
            self.lease_bytes += bytes.len() as u64;
        }
        let roads = self.network.clone();
        if let Some((part, one_way)) = &roads.partition {
            let (out, back) = (part.contains(&from), part.contains(&to));
            if out != back && (out || !one_way) {
                return;
            }
        }
        let copies = if self.rng.generate::<f64>() < roads.repeat_ratio {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.rng.generate::<f64>() < roads.loss_ratio {
                continue;
            }
            let mut bytes = bytes.clone();
            if self.rng.generate::<f64>() < roads.corruption_ratio {
                let at = self.rng.generate_range(0..bytes.len());
                bytes[at] ^= self.rng.generate_range(1..=255_u8);
            }
            // A late one comes after others that were sent long after it.
            let longest = if self.rng.generate::<f64>() < roads.reordering_ratio {
                2.5
            } else {
                roads.longest_delay_seconds
            };
            let delay = TimeDelta::from_seconds(0.0002 + longest * self.rng.generate::<f64>());
            self.schedule(
                self.now + delay,
                SimulatedEvent::MessageArrived { from, to, bytes },
            );
        }
    }
}
