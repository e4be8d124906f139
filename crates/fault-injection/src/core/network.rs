//! Simulates the paths between gateways, and the loss and delay of their messages.

use harrierdock_multi_site::PathId;
use harrierdock_site_messages::SiteMessage;
use harrierdock_types::TimeDelta;

use super::event::SimulatedEvent;
use super::simulation::{site, NetworkSimulation};

/// Range of the delay until the other end notices a close, in microseconds.
const SHORTEST_CLOSE_US: i64 = 1_000;
const LONGEST_CLOSE_US: i64 = 3_000_000;
/// Range of the transit time of a message, in microseconds.
const SHORTEST_TRANSIT_US: i64 = 500;
const LONGEST_TRANSIT_US: i64 = 5_000;
/// Delay added by each retransmission of a lost message.
const RETRANSMISSION_DELAY: TimeDelta = TimeDelta(40_000);
/// Range of the extra delay of a reordered message, in microseconds; many later messages overtake it.
const SHORTEST_REORDERING_US: i64 = 100_000;
const LONGEST_REORDERING_US: i64 = 2_500_000;
/// The probability of a repeated message is the loss ratio divided by this.
const REPEAT_DIVISOR: f64 = 3.0;
/// The probability of a reordered message is the loss ratio divided by this.
const REORDERING_DIVISOR: f64 = 10.0;

impl NetworkSimulation {
    /// Closes a path at one gateway. The other end notices after a delay.
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

    /// Sends a message. A cut drops every message; loss drops heartbeats, and delays other messages by retransmissions.
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

    /// Draws the transit time of a message. All messages but heartbeats may be retransmitted and reordered.
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
