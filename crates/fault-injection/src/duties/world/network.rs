//! The roads between gateways.

use std::collections::BTreeSet;

use harrierdock_types::TimeDelta;
use nanorand::Rng;

use super::{Happening, NodeIx, World};

/// How roads are at the moment.
#[derive(Clone, Debug, Default)]
pub struct Roads {
    pub loss: f64,
    pub doubled: f64,
    pub garbled: f64,
    pub late: f64,
    /// The longest delay, in seconds.
    pub delay: f64,
    /// Nothing passes from the first set to the others; nor back, unless one way.
    pub cut: Option<(BTreeSet<NodeIx>, bool)>,
}

impl World {
    pub(super) fn post(&mut self, from: NodeIx, to: NodeIx, bytes: Vec<u8>, lease: bool) {
        self.longest = self.longest.max(bytes.len());
        self.sent_bytes[from] += bytes.len() as u64;
        if lease {
            self.lease_bytes += bytes.len() as u64;
        }
        let roads = self.roads.clone();
        if let Some((part, one_way)) = &roads.cut {
            let (out, back) = (part.contains(&from), part.contains(&to));
            if out != back && (out || !one_way) {
                return;
            }
        }
        let copies = if self.chance.generate::<f64>() < roads.doubled {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.chance.generate::<f64>() < roads.loss {
                continue;
            }
            let mut bytes = bytes.clone();
            if self.chance.generate::<f64>() < roads.garbled {
                let at = self.chance.generate_range(0..bytes.len());
                bytes[at] ^= self.chance.generate_range(1..=255_u8);
            }
            // A late one comes after others that were sent long after it.
            let longest = if self.chance.generate::<f64>() < roads.late {
                2.5
            } else {
                roads.delay
            };
            let delay = TimeDelta::from_seconds(0.0002 + longest * self.chance.generate::<f64>());
            self.add(self.now + delay, Happening::Mail { from, to, bytes });
        }
    }
}
