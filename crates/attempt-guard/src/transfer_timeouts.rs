//! Decides when a message that arrives in pieces has stalled.

use harrierdock_types::{TimeDelta, Timestamp};

/// Number of consecutive stalls after which the timeouts no longer grow.
const MAX_DOUBLINGS: u32 = 6;

/// The progress of a message that has not arrived completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// When the first piece arrived.
    pub started_at: Timestamp,
    /// When the latest piece arrived.
    pub last_piece_at: Timestamp,
}

/// The timeouts of messages that arrive in pieces.
///
/// A long message that arrives steadily is not stalled; one whose pieces stop coming is, and so is one that never ends. A stalled
/// message is requested again. Each consecutive stall doubles the timeouts, since a message that takes longer than they allow
/// would otherwise be requested again for ever.
pub struct TransferTimeouts {
    /// The longest pause between two pieces, before any stall.
    max_pause: TimeDelta,
    /// The longest time from the first piece to the last, before any stall. The pause never grows beyond it.
    max_duration: TimeDelta,
    consecutive_stalls: u32,
}

impl TransferTimeouts {
    /// Creates the timeouts. Before any stall, a message may pause for `max_pause` and take `max_duration` in total.
    pub fn new(max_pause: TimeDelta, max_duration: TimeDelta) -> TransferTimeouts {
        TransferTimeouts {
            max_pause,
            max_duration,
            consecutive_stalls: 0,
        }
    }

    /// Whether an incomplete message has paused for too long, or takes too long in total.
    pub fn has_stalled(&self, transfer: Transfer, now: Timestamp) -> bool {
        let growth = f64::from(1_u32 << self.consecutive_stalls);
        let max_pause = (self.max_pause * growth).min(self.max_duration);
        now - transfer.last_piece_at > max_pause
            || now - transfer.started_at > self.max_duration * growth
    }

    /// Records that a message stalled and is requested again.
    pub fn record_stall(&mut self) {
        self.consecutive_stalls = (self.consecutive_stalls + 1).min(MAX_DOUBLINGS);
    }

    /// Records that a message arrived completely.
    pub fn record_completion(&mut self) {
        self.consecutive_stalls = 0;
    }
}
