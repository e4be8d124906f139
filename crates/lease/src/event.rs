//! The events and actions of the lease manager, and its status types.

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::{Electorate, Epoch, LeaseName, Message};

/// An input of the lease manager.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message has arrived and was decoded by `codec::decode`.
    MessageReceived {
        /// The sender, identified by the path that the message came on.
        from: PeerId,
        /// The decoded message, not yet checked.
        message: Message,
    },
    /// The timer set by `Action::SetTimer` has fired. Firing too early or too late is harmless.
    TimerFired,
    /// This gateway becomes a candidate for the lease, or stops being one and transfers the lease if it holds it.
    CandidacyChanged {
        /// The lease to seek or to give up.
        lease: LeaseName,
        /// Whether this gateway is to seek and hold the lease.
        is_candidate: bool,
    },
    /// The receiver of an operation has refused its epoch as older than `newest`.
    EpochRejected {
        /// The lease under which the operation was sent.
        lease: LeaseName,
        /// The newest epoch that the receiver knows of.
        newest: Epoch,
    },
    /// This process is shutting down, so it transfers all leases that it holds and acquires none.
    ShutdownStarted,
    /// The operator has configured another electorate. `LeaseManager::check_electorate_change` has accepted it.
    ElectorateChanged(Electorate),
}

/// Why this gateway no longer holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// No majority of the electors renewed the lease in time.
    Expired,
    /// This gateway gave up the lease, because it shuts down or is no longer a candidate.
    Transferred,
    /// The receiver of an operation knows a newer epoch.
    Superseded,
}

/// An output of the lease manager, for the caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The receiver, never this gateway itself.
        to: PeerId,
        /// The message; the caller encodes it by `codec::encode`.
        message: Message,
    },
    /// This gateway holds the lease from now on.
    Acquired {
        /// The acquired lease.
        lease: LeaseName,
        /// The epoch to send along with operations under the lease.
        epoch: Epoch,
    },
    /// This gateway no longer holds the lease.
    Lost {
        /// The lost lease.
        lease: LeaseName,
        /// The epoch in which it was held.
        epoch: Epoch,
        /// Why the lease was lost.
        reason: LossReason,
    },
    /// Deliver `Event::TimerFired` after this time. Replaces the previous timer.
    SetTimer {
        /// The delay from the handled event, on the clock that `LeaseManager::handle` receives as `now`.
        after: TimeDelta,
    },
}

/// The holder of a lease as far as this gateway knows. It may be outdated, so use it for status reports only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownHolder {
    /// The gateway that holds or last held the lease.
    pub holder: PeerId,
    /// The holder's epoch.
    pub epoch: Epoch,
    /// When the lease expires by the latest report, unless it is renewed.
    pub expires_at: Timestamp,
}

/// Counters since the start, for status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounters {
    /// Messages dropped because they came from an earlier process or an unknown gateway, or had an implausible incarnation.
    pub outdated_messages: u64,
    /// Messages dropped because grants under their electorate don't count together with this gateway's.
    pub incompatible_messages: u64,
    /// Messages dropped because their epoch is more than a year ahead of this process' start.
    pub implausible_messages: u64,
    /// How often this gateway acquired a lease.
    pub acquired: u64,
    /// How often it lost a lease because no majority renewed it in time.
    pub expired: u64,
    /// How often it gave up a lease on shutdown or at the end of its candidacy.
    pub transferred: u64,
}
