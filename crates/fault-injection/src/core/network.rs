//! Links between gateways, and what is sent on them.

use harrierdock_site_messages::SiteMessage;
use harrierdock_types::TimeDelta;

use super::event::SimulatedEvent;
use super::simulation::{site, NetworkSimulation};

impl NetworkSimulation {
    /// The other end learns of it late.
    pub(super) fn close_path(&mut self, path: u64, by: usize, orderly: bool) {
        if let Some((a, b)) = self.paths.remove(&path) {
            let (other, late) = (
                if a == by { b } else { a },
                self.draw_span(1_000, 3_000_000),
            );
            self.schedule(
                late,
                SimulatedEvent::PathClosed {
                    gateway: other,
                    path,
                    orderly,
                },
            );
        }
    }

    pub(super) fn send_message(&mut self, ix: usize, path: u64, message: SiteMessage) {
        let Some((a, b)) = self.paths.get(&path).copied() else {
            return;
        };
        let to = if a == ix { b } else { a };
        // What is cut is lost; otherwise beats are lost by chance, and other letters come late instead.
        if self.is_cut[site(ix)] {
            return;
        }
        let (lossy, loss_ratio) = (
            matches!(message, SiteMessage::Heartbeat(_)),
            self.loss_ratio,
        );
        if lossy && self.draw_bool(loss_ratio) {
            return;
        }
        let copies = 1 + usize::from(self.draw_bool(loss_ratio / 3.0));
        for _ in 0..copies {
            let mut took = self.draw_span(500, 5_000);
            while !lossy && self.draw_bool(loss_ratio) {
                took = took + TimeDelta(40_000);
            }
            // Now and then one is overtaken by much of what follows it.
            if !lossy && self.draw_bool(loss_ratio / 10.0) {
                took = took + self.draw_span(100_000, 2_500_000);
            }
            let message = Box::new(message.clone());
            self.schedule(took, SimulatedEvent::MessageArrived { to, path, message });
        }
    }
}
