//! The request table: holds every request from its receipt until it is answered and all its attempts have finished.

use std::collections::BTreeMap;

use harrierdock_attempt_guard::{IdRelease, Precondition, RequestIdHash};
use harrierdock_types::{AffinityKey, AttemptOutcome, ClassId, EndpointId, RequestId, Timestamp};

/// An attempt of a request, open or finished.
pub(crate) struct AttemptRecord {
    /// The endpoint that the attempt is sent to.
    pub(crate) endpoint: EndpointId,
    /// When the policy requested the attempt.
    pub(crate) started_at: Timestamp,
    /// The time as of which the attempt counts against the exposure limit.
    pub(crate) exposure_counted_at: Timestamp,
    /// The state that the policy's decision relied on.
    pub(crate) precondition: Precondition,
    /// Whether the attempt is unfinished.
    pub(crate) is_open: bool,
    /// Whether the attempt finished and certainly had no effect.
    pub(crate) had_no_effect: bool,
    /// The size of the request's body in bytes; 0 until the request is passed to the upstream.
    pub(crate) body_bytes: usize,
}

/// Which site serves a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServingSite {
    /// Not decided yet, or offered to the other site after a local rejection.
    Undecided,
    /// This site, before any forwarding.
    Local,
    /// The other site.
    Other,
    /// This site, after the other site returned the request.
    ReturnedToLocal,
}

/// A request that lacks an answer or has an open attempt.
pub(crate) struct RequestEntry {
    /// The client's own id for the request; `None` once it is released.
    pub(crate) client_id: Option<RequestIdHash>,
    /// The request class that the client named.
    pub(crate) class: ClassId,
    /// The affinity key, or `None` if the request carries none.
    pub(crate) key: Option<AffinityKey>,
    /// Whether the client has sent this request before.
    pub(crate) is_client_retry: bool,
    /// When the dispatcher received the request.
    pub(crate) received_at: Timestamp,
    /// When the client stops waiting; earlier if a shutdown or a return from the other site leaves less time.
    pub(crate) deadline: Timestamp,
    /// When the gateway fails the request if it is still unanswered: one tick after the deadline set on receipt.
    pub(crate) overdue_at: Timestamp,
    /// Whether the request is answered, or abandoned by its client.
    pub(crate) is_answered: bool,
    /// The site that serves the request.
    pub(crate) serving_site: ServingSite,
    /// Whether the other site forwarded the request to this one.
    pub(crate) is_inbound: bool,
    /// The attempts at this site's endpoints, indexed by attempt number.
    pub(crate) attempts: Vec<AttemptRecord>,
}

impl RequestEntry {
    /// Whether any attempt may have had an effect.
    pub(crate) fn may_have_effect(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.had_no_effect)
    }

    /// Whether the client's id for the request may come again once the request is complete.
    pub(crate) fn id_release(&self) -> IdRelease {
        let may_have_run_elsewhere = matches!(
            self.serving_site,
            ServingSite::Other | ServingSite::ReturnedToLocal
        );
        if self.may_have_effect() || may_have_run_elsewhere {
            IdRelease::Spent
        } else {
            IdRelease::Reusable
        }
    }

    fn is_complete(&self) -> bool {
        self.is_answered && self.attempts.iter().all(|attempt| !attempt.is_open)
    }
}

/// The data of an attempt that has just finished.
pub(crate) struct EndedAttempt {
    /// The endpoint that the attempt was sent to.
    pub(crate) endpoint: EndpointId,
    /// When the policy requested the attempt.
    pub(crate) started_at: Timestamp,
    /// The size of the request's body in bytes; 0 if the request was never passed to the upstream.
    pub(crate) body_bytes: usize,
}

/// The attributes that are forwarded to the other site with a request's bytes.
pub(crate) struct ForwardedAttributes {
    /// The request class, which is sent by its name.
    pub(crate) class: ClassId,
    /// The affinity key, or `None` if the request carries none.
    pub(crate) key: Option<AffinityKey>,
    /// Whether the client has sent this request before.
    pub(crate) is_client_retry: bool,
}

/// All requests that lack an answer or have an open attempt, by id.
#[derive(Default)]
pub(crate) struct RequestTable {
    entries: BTreeMap<RequestId, RequestEntry>,
}

impl RequestTable {
    /// Adds a request, replacing any entry under the same id.
    pub(crate) fn insert(&mut self, id: RequestId, entry: RequestEntry) {
        self.entries.insert(id, entry);
    }

    /// The entry of a request, or `None` if the request is complete or unknown.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&id)
    }

    /// The entry of a request, or `None` if the request is complete or unknown.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    /// The entry of a request, or `None` if the request is answered or unknown.
    pub(crate) fn get_unanswered_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.get_mut(id).filter(|entry| !entry.is_answered)
    }

    /// Whether the table holds the request and the other site forwarded it.
    pub(crate) fn is_inbound(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|entry| entry.is_inbound)
    }

    /// Whether the request is answered or no longer in the table.
    pub(crate) fn is_finished(&self, id: RequestId) -> bool {
        self.get(id).is_none_or(|entry| entry.is_answered)
    }

    /// An attempt by its number, counted from 0. `None` if the request or the attempt is unknown.
    pub(crate) fn attempt_mut(
        &mut self,
        id: RequestId,
        attempt: usize,
    ) -> Option<&mut AttemptRecord> {
        self.get_mut(id)?.attempts.get_mut(attempt)
    }

    /// Records the outcome of an attempt. Returns `None` if the attempt is unknown or already finished.
    pub(crate) fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: AttemptOutcome,
    ) -> Option<EndedAttempt> {
        let record = self.attempt_mut(id, attempt).filter(|r| r.is_open)?;
        record.is_open = false;
        record.had_no_effect = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        Some(EndedAttempt {
            endpoint: record.endpoint,
            started_at: record.started_at,
            body_bytes: record.body_bytes,
        })
    }

    /// Records that the other site serves a request. Returns `None` if the request is answered or unknown.
    pub(crate) fn mark_forwarded(&mut self, id: RequestId) -> Option<ForwardedAttributes> {
        let entry = self.get_unanswered_mut(id)?;
        entry.serving_site = ServingSite::Other;
        Some(ForwardedAttributes {
            class: entry.class,
            key: entry.key,
            is_client_retry: entry.is_client_retry,
        })
    }

    /// Removes and returns the request if it is answered and has no open attempt.
    pub(crate) fn remove_if_complete(&mut self, id: RequestId) -> Option<RequestEntry> {
        if self.get(id).is_some_and(RequestEntry::is_complete) {
            return self.entries.remove(&id);
        }
        None
    }

    /// The ids of the unanswered requests, in ascending order.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.is_answered)
            .map(|(id, _)| *id)
    }

    /// The number of unanswered requests.
    pub(crate) fn unanswered_count(&self) -> usize {
        self.unanswered().count()
    }
}
