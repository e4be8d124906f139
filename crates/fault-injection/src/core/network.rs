//! The paths between gateways, and what becomes of the messages on them.

use harrierdock_multi_site::PathId;
use harrierdock_site_messages::SiteMessage;
use harrierdock_types::TimeDelta;

use super::event::SimulatedEvent;
use super::simulation::{site, NetworkSimulation};

/// How late the other end learns of a close, in microseconds.
const SHORTEST_CLOSE_US: i64 = 1_000;
const LONGEST_CLOSE_US: i64 = 3_000_000;
/// How long a message travels, in microseconds.
const SHORTEST_TRANSIT_US: i64 = 500;
const LONGEST_TRANSIT_US: i64 = 5_000;
/// How long a message that was lost takes to be sent again.
const RETRANSMISSION_DELAY: TimeDelta = TimeDelta(40_000);
/// How long a message is held back that much of what follows overtakes, in microseconds.
const SHORTEST_REORDERING_US: i64 = 100_000;
const LONGEST_REORDERING_US: i64 = 2_500_000;
/// A message is repeated at the loss ratio over this.
const REPEAT_DIVISOR: f64 = 3.0;
/// A message is reordered at the loss ratio over this.
const REORDERING_DIVISOR: f64 = 10.0;

impl NetworkSimulation {
    /// A gateway closes a path; the other end learns of it late.
    pub(super) fn close_path(&mut self, path: PathId, closed_by: usize, orderly: bool) {
        let Some((opener, peer)) = self.paths.remove(&path) else {
            return;
        };
        let gateway = if opener == closed_by { peer } else { opener };
        let delay = self.draw_span(SHORTEST_CLOSE_US, LONGEST_CLOSE_US);
        let closed = SimulatedEvent::PathClosed {
            gateway,
            path,
            orderly,
        };
        self.schedule(delay, closed);
    }

    /// A gateway sends a message. What is cut is lost; else heartbeats are lost by chance, and other messages come late.
    pub(super) fn send_message(&mut self, from: usize, path: PathId, message: &SiteMessage) {
        let Some((opener, peer)) = self.paths.get(&path).copied() else {
            return;
        };
        let to = if opener == from { peer } else { opener };
        if self.is_cut[site(from)] {
            return;
        }
        let is_heartbeat = matches!(message, SiteMessage::Heartbeat(_));
        if is_heartbeat && self.draw_bool(self.loss_ratio) {
            return;
        }
        let copies = 1 + usize::from(self.draw_bool(self.loss_ratio / REPEAT_DIVISOR));
        for _ in 0..copies {
            let transit = self.draw_transit(is_heartbeat);
            let message = Box::new(message.clone());
            self.schedule(
                transit,
                SimulatedEvent::MessageArrived { to, path, message },
            );
        }
    }

    /// How long a message travels: one that is not lost for good is sent again, and now and then overtaken.
    fn draw_transit(&mut self, is_heartbeat: bool) -> TimeDelta {
        let mut transit = self.draw_span(SHORTEST_TRANSIT_US, LONGEST_TRANSIT_US);
        if is_heartbeat {
            return transit;
        }
        while self.draw_bool(self.loss_ratio) {
            transit = transit + RETRANSMISSION_DELAY;
        }
        if self.draw_bool(self.loss_ratio / REORDERING_DIVISOR) {
            transit = transit + self.draw_span(SHORTEST_REORDERING_US, LONGEST_REORDERING_US);
        }
        transit
    }
}
