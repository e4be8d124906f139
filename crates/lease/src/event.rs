//! What goes into the lease manager, what comes out of it, and what it reports for status.

use harrierdock_types::{PeerId, TimeDelta, Timestamp};

use crate::{Electorate, Epoch, LeaseName, Message};

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message has come, decoded by `codec::decode`.
    MessageReceived {
        /// The sender, by the path that the message came on.
        from: PeerId,
        /// The message.
        message: Message,
    },
    /// The time asked for by `Action::SetTimer` has come; one too early or too late does no harm.
    TimerFired,
    /// This gateway has become a candidate for the lease, or is one no longer: then it transfers the lease.
    CandidacyChanged {
        /// The lease.
        lease: LeaseName,
        /// Whether this gateway wants it.
        is_candidate: bool,
    },
    /// Whoever was acted on has refused the act's epoch as older than `newest`.
    EpochRejected {
        /// The lease.
        lease: LeaseName,
        /// The newest epoch seen there.
        newest: Epoch,
    },
    /// This process is about to end: it transfers all that it holds.
    ShutdownStarted,
    /// The operator has configured another electorate, checked by `LeaseManager::check_electorate_change`.
    ElectorateChanged(Electorate),
}

/// Why this gateway holds a lease no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// A majority did not renew it in time.
    Expired,
    /// It was given up, in order.
    Transferred,
    /// Whoever was acted on knows a newer epoch.
    Superseded,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The receiver.
        to: PeerId,
        /// The message, to be encoded by `codec::encode`.
        message: Message,
    },
    /// This gateway holds the lease from now on.
    Acquired {
        /// The lease.
        lease: LeaseName,
        /// The epoch that its acts carry.
        epoch: Epoch,
    },
    /// This gateway holds the lease no longer.
    Lost {
        /// The lease.
        lease: LeaseName,
        /// The epoch that has ended.
        epoch: Epoch,
        /// Why.
        reason: LossReason,
    },
    /// Send `Event::TimerFired` after this time; the newest one asked for counts.
    SetTimer {
        /// The time from now.
        after: TimeDelta,
    },
}

/// Who holds a lease, as far as this gateway knows. For status only: nothing may be done on its strength.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownHolder {
    /// The holder.
    pub holder: PeerId,
    /// The holder's epoch.
    pub epoch: Epoch,
    /// When the lease expires, by what was heard last.
    pub expires_at: Timestamp,
}

/// Counters since the start, for status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounters {
    /// Messages of an earlier process, or of an unknown gateway.
    pub outdated_messages: u64,
    /// Messages under an electorate whose grants cannot be counted together with this gateway's.
    pub incompatible_messages: u64,
    /// Messages with an epoch too far in the future for any clock.
    pub implausible_messages: u64,
    /// Leases acquired.
    pub acquired: u64,
    /// Leases that expired.
    pub expired: u64,
    /// Leases given up in order.
    pub transferred: u64,
}
