//! What goes into the admission controller, and what comes out of it.

use harrierdock_types::{
    AttemptOutcome, ClassId, ClassParameters, PeerId, RequestId, TenantId, TimeDelta, ZoneId,
};

use crate::load_report::LoadReport;

/// How one gateway's admission controller is configured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionParameters {
    /// The request classes.
    pub classes: Vec<ClassParameters>,
    /// How many zones there are.
    pub zone_count: usize,
    /// Tenants' shares; empty where there are none.
    pub tenant_quotas: Vec<f64>,
    /// Another one for each start, higher than any before.
    pub incarnation: u32,
    /// The least time after which a rejected client may come back; none where rejections carry no time.
    pub min_retry_after: Option<TimeDelta>,
    /// The seed of the controller's randomness.
    pub seed: u64,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt went out to an endpoint of this zone.
    AttemptStarted {
        /// The endpoint's zone.
        zone: ZoneId,
    },
    /// An attempt is no longer in flight.
    AttemptFinished {
        /// The request's class.
        class: ClassId,
        /// The endpoint's zone.
        zone: ZoneId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// How long it took.
        duration: TimeDelta,
    },
    /// A waiting request's client went away, or it was answered otherwise.
    RequestCancelled {
        /// The request.
        id: RequestId,
    },
    /// The membership of a peer has changed.
    MemberChanged {
        /// The peer.
        peer: PeerId,
        /// Its incarnation; none if it is a member no longer.
        incarnation: Option<u32>,
    },
    /// A peer has sent a load report.
    ReportReceived {
        /// The sender.
        from: PeerId,
        /// The report.
        report: LoadReport,
    },
    /// The time asked for by `Action::SetTimer` has come.
    TimerFired,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a waiting request.
    Admit {
        /// The request.
        id: RequestId,
    },
    /// Reject a waiting request.
    Reject {
        /// The request.
        id: RequestId,
        /// After which time the client may come back.
        retry_after: Option<TimeDelta>,
    },
    /// Send a load report.
    SendReport {
        /// The receiver.
        to: PeerId,
        /// The encoded report.
        bytes: Vec<u8>,
    },
    /// Send `Event::TimerFired` after this time.
    SetTimer {
        /// The time from now.
        after: TimeDelta,
    },
}

/// A request that is to be decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// The zones whose endpoints it may use, a bit each; 0 for all.
    pub zones: u8,
    /// How long ago it came.
    pub age: TimeDelta,
    /// How long until its deadline.
    pub remaining: TimeDelta,
    /// An attempt of it may have taken effect.
    pub may_have_run: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is sent.
    Admit,
    /// It is kept; `Action::Admit` or `Action::Reject` follows within this time.
    Wait {
        /// The longest wait.
        at_most: TimeDelta,
    },
    /// It is rejected.
    Reject {
        /// After which time the client may come back.
        retry_after: Option<TimeDelta>,
    },
}
