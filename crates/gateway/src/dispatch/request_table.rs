//! The request table: every request from its receipt until it has its answer and all its attempts have ended.

use std::collections::BTreeMap;

use harrierdock_attempt_guard::Precondition;
use harrierdock_types::{AffinityKey, AttemptOutcome, ClassId, EndpointId, RequestId, Timestamp};

/// An attempt of a request.
pub(crate) struct AttemptRecord {
    /// Where it goes.
    pub(crate) endpoint: EndpointId,
    /// When the policy asked for it.
    pub(crate) started_at: Timestamp,
    /// From when on it counts against the exposure limit.
    pub(crate) exposure_counted_at: Timestamp,
    /// What it was decided on.
    pub(crate) precondition: Precondition,
    /// Whether it has not ended.
    pub(crate) is_open: bool,
    /// Whether it certainly had no effect.
    pub(crate) had_no_effect: bool,
    /// The size of the request's body.
    pub(crate) body_bytes: usize,
}

/// Which site serves a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServingSite {
    /// It is not decided yet.
    Undecided,
    /// This site.
    Local,
    /// The other site.
    Other,
    /// This site, after the other one has returned it.
    ReturnedToLocal,
}

/// A request under way.
pub(crate) struct RequestEntry {
    /// Its class.
    pub(crate) class: ClassId,
    /// Its affinity key, if it has one.
    pub(crate) key: Option<AffinityKey>,
    /// Whether its client has sent it before.
    pub(crate) is_client_retry: bool,
    /// When it was received.
    pub(crate) received_at: Timestamp,
    /// When its client's wait ends.
    pub(crate) deadline: Timestamp,
    /// When it must have been answered, whatever the policy does.
    pub(crate) overdue_at: Timestamp,
    /// Whether it has its answer, or needs none any more.
    pub(crate) is_answered: bool,
    /// Which site serves it.
    pub(crate) serving_site: ServingSite,
    /// Whether the other site has forwarded it.
    pub(crate) is_inbound: bool,
    /// Its attempts at this site's endpoints, by their number.
    pub(crate) attempts: Vec<AttemptRecord>,
}

impl RequestEntry {
    /// Whether an attempt may have had its effect.
    pub(crate) fn may_have_effect(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.had_no_effect)
    }

    fn is_complete(&self) -> bool {
        self.is_answered && self.attempts.iter().all(|attempt| !attempt.is_open)
    }
}

/// What is known of an attempt that has just ended.
pub(crate) struct EndedAttempt {
    /// Where it went.
    pub(crate) endpoint: EndpointId,
    /// When the policy asked for it.
    pub(crate) started_at: Timestamp,
    /// The size of the request's body.
    pub(crate) body_bytes: usize,
}

/// What the other site needs to know of a request besides its bytes.
pub(crate) struct ForwardedAttributes {
    /// Its class.
    pub(crate) class: ClassId,
    /// Its affinity key, if it has one.
    pub(crate) key: Option<AffinityKey>,
    /// Whether its client has sent it before.
    pub(crate) is_client_retry: bool,
}

/// The requests under way.
#[derive(Default)]
pub(crate) struct RequestTable {
    entries: BTreeMap<RequestId, RequestEntry>,
}

impl RequestTable {
    /// Adds a request.
    pub(crate) fn insert(&mut self, id: RequestId, entry: RequestEntry) {
        self.entries.insert(id, entry);
    }

    /// A request, if it is under way.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&id)
    }

    /// A request, if it is under way.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    /// A request that has no answer yet.
    pub(crate) fn get_unanswered_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.get_mut(id).filter(|entry| !entry.is_answered)
    }

    /// Whether the request is under way and was forwarded by the other site.
    pub(crate) fn is_inbound(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|entry| entry.is_inbound)
    }

    /// Whether the request has its answer, or is not known any more.
    pub(crate) fn is_finished(&self, id: RequestId) -> bool {
        self.get(id).is_none_or(|entry| entry.is_answered)
    }

    /// An attempt of a request.
    pub(crate) fn attempt_mut(
        &mut self,
        id: RequestId,
        attempt: usize,
    ) -> Option<&mut AttemptRecord> {
        self.get_mut(id)?.attempts.get_mut(attempt)
    }

    /// Notes that an attempt has ended. `None` if it is unknown or has ended before.
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

    /// Notes that the other site serves a request. `None` if it has its answer already.
    pub(crate) fn mark_forwarded(&mut self, id: RequestId) -> Option<ForwardedAttributes> {
        let entry = self.get_unanswered_mut(id)?;
        entry.serving_site = ServingSite::Other;
        Some(ForwardedAttributes {
            class: entry.class,
            key: entry.key,
            is_client_retry: entry.is_client_retry,
        })
    }

    /// Removes a request that has its answer and no open attempt.
    pub(crate) fn remove_if_complete(&mut self, id: RequestId) {
        if self.get(id).is_some_and(RequestEntry::is_complete) {
            self.entries.remove(&id);
        }
    }

    /// The requests that have no answer yet.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.is_answered)
            .map(|(id, _)| *id)
    }

    /// How many requests have no answer yet.
    pub(crate) fn unanswered_count(&self) -> usize {
        self.unanswered().count()
    }
}
