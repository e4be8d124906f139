//! Requests endpoint lists from discovery in poll mode. Owns the state of the watch.

use harrierdock_types::{Action, DiscoveryMode, TimeDelta, Timestamp, UpdateKind};

/// An unanswered watch is requested again after the longest poll interval divided by this.
const UNANSWERED_DIVISOR: f64 = 2.0;
/// A failed watch is requested again after the longest poll interval divided by this.
const FAILED_DIVISOR: f64 = 8.0;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum WatchState {
    #[default]
    NotRequested,
    RequestedAt(Timestamp),
    Established,
    FailedAt(Timestamp),
}

/// The state of the watch for endpoint lists; unused in push mode.
#[derive(Debug, Default)]
pub struct DiscoveryWatch {
    state: WatchState,
}

impl DiscoveryWatch {
    /// Records that discovery has sent a list, or that the call has failed.
    pub fn record_list(&mut self, now: Timestamp, kind: UpdateKind) {
        match (kind, self.state) {
            (UpdateKind::Failed, _) => self.state = WatchState::FailedAt(now),
            (UpdateKind::Delta | UpdateKind::Snapshot, WatchState::RequestedAt(_)) => {
                self.state = WatchState::Established;
            }
            _ => {}
        }
    }

    /// Requests a watch if there is none, or if the last request is unanswered or has failed for long enough. An established watch
    /// needs no further request.
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
        let needs_request = match self.state {
            WatchState::NotRequested => true,
            WatchState::Established => false,
            WatchState::RequestedAt(at) => now - at >= max_poll_interval / UNANSWERED_DIVISOR,
            WatchState::FailedAt(at) => now - at >= max_poll_interval / FAILED_DIVISOR,
        };
        if needs_request {
            self.state = WatchState::RequestedAt(now);
            actions.push(Action::WatchEndpoints);
        }
    }
}
