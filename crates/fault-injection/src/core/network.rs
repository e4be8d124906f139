//! Links between gateways, and what is sent on them.

use harrierdock_site_messages::SiteMessage;
use harrierdock_types::TimeDelta;

use super::happening::Happening;
use super::world::{site, World};

impl World {
    /// The other end learns of it late.
    pub(super) fn hang_up(&mut self, link: u64, by: usize, orderly: bool) {
        if let Some((a, b)) = self.links.remove(&link) {
            let (other, late) = (if a == by { b } else { a }, self.span(1_000, 3_000_000));
            self.after(
                late,
                Happening::Down {
                    gateway: other,
                    link,
                    orderly,
                },
            );
        }
    }

    pub(super) fn send(&mut self, ix: usize, link: u64, letter: SiteMessage) {
        let Some((a, b)) = self.links.get(&link).copied() else {
            return;
        };
        let to = if a == ix { b } else { a };
        // What is cut is lost; otherwise beats are lost by chance, and other letters come late instead.
        if self.cut[site(ix)] {
            return;
        }
        let (lossy, loss) = (matches!(letter, SiteMessage::Heartbeat(_)), self.loss);
        if lossy && self.draw(loss) {
            return;
        }
        let copies = 1 + usize::from(self.draw(loss / 3.0));
        for _ in 0..copies {
            let mut took = self.span(500, 5_000);
            while !lossy && self.draw(loss) {
                took = took + TimeDelta(40_000);
            }
            // Now and then one is overtaken by much of what follows it.
            if !lossy && self.draw(loss / 10.0) {
                took = took + self.span(100_000, 2_500_000);
            }
            let letter = Box::new(letter.clone());
            self.after(took, Happening::SiteMessage { to, link, letter });
        }
    }
}
