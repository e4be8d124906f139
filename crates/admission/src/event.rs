//! Parameters, events, actions and decisions of the admission controller.

use harrierdock_types::{
    AttemptOutcome, ClassId, ClassParameters, PeerId, RequestId, TenantId, TimeDelta, ZoneId,
};

use crate::load_report::LoadReport;

/// The configuration of one gateway's admission controller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionParameters {
    /// The request classes, indexed by `ClassId`.
    pub classes: Vec<ClassParameters>,
    /// The number of zones; the controller clamps it to 1 to `MAX_ZONES`.
    pub zone_count: usize,
    /// The quota of each tenant, relative to the quotas of the other tenants; empty without tenants.
    pub tenant_quotas: Vec<f64>,
    /// Increases with each start of this gateway.
    pub incarnation: u32,
    /// The shortest time until a rejected client may retry; `None` if rejections carry no such time.
    pub min_retry_after: Option<TimeDelta>,
    /// The seed of the controller's random number generator.
    pub seed: u64,
}

/// An event that the gateway passes to the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt was sent to an endpoint.
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
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The time from sending the attempt to its outcome.
        duration: TimeDelta,
    },
    /// The client of a waiting request disconnected, or the request was answered in another way.
    RequestCancelled {
        /// The waiting request.
        id: RequestId,
    },
    /// A peer joined, restarted or left.
    MemberChanged {
        /// The peer that joined, restarted or left.
        peer: PeerId,
        /// The peer's current incarnation; `None` if the peer is no longer a member.
        incarnation: Option<u32>,
    },
    /// A peer has sent a load report.
    ReportReceived {
        /// The sender.
        from: PeerId,
        /// The decoded report.
        report: LoadReport,
    },
    /// The timer set by `Action::SetTimer` has expired.
    TimerFired,
}

/// An action that the gateway must carry out for the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a waiting request.
    Admit {
        /// The request, which leaves the wait queue.
        id: RequestId,
    },
    /// Reject a waiting request.
    Reject {
        /// The request, which leaves the wait queue.
        id: RequestId,
        /// How long the client should wait before it retries; `None` if not configured.
        retry_after: Option<TimeDelta>,
    },
    /// Send a load report.
    SendReport {
        /// The peer that receives the report.
        to: PeerId,
        /// The encoded report.
        bytes: Vec<u8>,
    },
    /// Pass `Event::TimerFired` to the controller after this time.
    SetTimer {
        /// The delay from the current time.
        after: TimeDelta,
    },
}

/// A request to admit, keep waiting or reject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The request's identifier; the wait queue accepts each identifier once.
    pub id: RequestId,
    /// The request class; a request of an unknown class is admitted.
    pub class: ClassId,
    /// The tenant that sent the request; `None`, or an unknown tenant, counts as no tenant.
    pub tenant: Option<TenantId>,
    /// The zones whose endpoints the request may use, as a bit mask; 0 stands for all zones.
    pub zones: u8,
    /// The time since the request arrived.
    pub age: TimeDelta,
    /// The time until the request's deadline.
    pub remaining: TimeDelta,
    /// Whether an earlier attempt of this request may have taken effect.
    pub may_have_effect: bool,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The request is sent to an endpoint.
    Admit,
    /// The request waits; `Action::Admit` or `Action::Reject` follows.
    Wait {
        /// The longest time until that action.
        max_wait: TimeDelta,
    },
    /// The request is rejected.
    Reject {
        /// How long the client should wait before it retries; `None` if not configured.
        retry_after: Option<TimeDelta>,
    },
}
