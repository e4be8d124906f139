//! When discovery is asked for endpoint lists, where lists are polled. Owns the state of that watch.

use harrierdock_types::{Action, DiscoveryMode, TimeDelta, Timestamp, UpdateKind};

/// A watch that was not answered is asked for again after the longest poll interval over this.
const UNANSWERED_DIVISOR: f64 = 2.0;
/// A watch that failed is asked for again after the longest poll interval over this.
const FAILED_DIVISOR: f64 = 8.0;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum WatchState {
    #[default]
    NeverAsked,
    AskedAt(Timestamp),
    Established,
    FailedAt(Timestamp),
}

/// The watch for endpoint lists.
#[derive(Debug, Default)]
pub struct DiscoveryWatch {
    state: WatchState,
}

impl DiscoveryWatch {
    /// Notes that discovery has sent a list, or that the call has failed.
    pub fn list_received(&mut self, now: Timestamp, kind: UpdateKind) {
        match (kind, self.state) {
            (UpdateKind::Failed, _) => self.state = WatchState::FailedAt(now),
            (UpdateKind::Delta | UpdateKind::Snapshot, WatchState::AskedAt(_)) => {
                self.state = WatchState::Established;
            }
            _ => {}
        }
    }

    /// Asks for lists if that is due: a watch that stands goes on by itself.
    pub fn emit(
        &mut self,
        now: Timestamp,
        mode: DiscoveryMode,
        max_poll_interval: TimeDelta,
        actions: &mut Vec<Action>,
    ) {
        if mode == DiscoveryMode::Push {
            return;
        }
        let is_due = match self.state {
            WatchState::NeverAsked => true,
            WatchState::Established => false,
            WatchState::AskedAt(at) => now - at >= max_poll_interval / UNANSWERED_DIVISOR,
            WatchState::FailedAt(at) => now - at >= max_poll_interval / FAILED_DIVISOR,
        };
        if is_due {
            self.state = WatchState::AskedAt(now);
            actions.push(Action::WatchEndpoints);
        }
    }
}
