//! Converts the simulator's events to the policy's events. The event names are fixed by the simulator's protocol and differ from
//! the code's terms; they are used only in this file and in `host`.

use harrierdock_config::{gossip_id, Names};
use harrierdock_types::{
    gossip, AffinityKey, AttemptOutcome, BuildId, ClassId, EndpointId, EndpointRecord, Event,
    Lifecycle, PeerId, PlatformStatus, RequestId, RolloutPhase, RolloutUpdate, TimeDelta,
    UpdateKind,
};
use serde_json::Value;

use crate::error::EventError;
use crate::row::Row;

const PHASE_ROLLING_BACK: i64 = 1;
const PHASE_RELEASED: i64 = 2;
const PHASE_ROLLED_BACK: i64 = 3;

/// Converts the events of one instance.
pub(crate) struct EventReader<'a> {
    pub(crate) names: &'a mut Names,
    /// The time of the batch, in microseconds.
    pub(crate) now: i64,
}

impl EventReader<'_> {
    /// Converts an event. `None` for a gossip message that cannot be decoded, because it is of another version or malformed.
    ///
    /// `find_list` returns the entries of an endpoint list by its number.
    pub(crate) fn read<'l>(
        &mut self,
        name: &str,
        row: Row<'_>,
        find_list: impl Fn(i64) -> Option<&'l [Value]>,
    ) -> Result<Option<Event>, EventError> {
        let event = match name {
            "TARGETS" => self.endpoints_updated(row, find_list)?,
            "WORK_ITEM" => self.request_received(row)?,
            "ABANDONED" => Event::ClientDisconnected {
                id: RequestId(row.hex(2)?),
            },
            "STREAMING" => response_started(row)?,
            "CLOSED_ATTEMPT" => self.attempt_finished(row)?,
            "PING_RESULT" => self.probe_finished(row)?,
            "STAGE" => rollout_updated(row)?,
            "PLATFORM_SAW" => self.platform_counts(row)?,
            "BAD_ANSWER" => self.complaint_received(row)?,
            "MAIL" => return gossip_received(row),
            "WAKEUP" => Event::TimerFired,
            _ => return Err(EventError::UnknownEvent),
        };
        Ok(Some(event))
    }

    fn class(&self, row: Row<'_>, at: usize) -> Result<ClassId, EventError> {
        let name = row.text(at)?;
        self.names
            .classes
            .id(name)
            .ok_or_else(|| unknown_word("class", name))
    }

    fn endpoint(&self, row: Row<'_>, at: usize) -> Result<EndpointId, EventError> {
        let name = row.text(at)?;
        self.names
            .endpoints
            .id(name)
            .ok_or_else(|| EventError::UnknownEndpoint { name: name.into() })
    }

    fn endpoints_updated<'l>(
        &mut self,
        row: Row<'_>,
        find_list: impl Fn(i64) -> Option<&'l [Value]>,
    ) -> Result<Event, EventError> {
        let kind = match row.text(2)? {
            "Partial" => UpdateKind::Delta,
            "Complete" => UpdateKind::Snapshot,
            "Persisted" => UpdateKind::Cached,
            "Error" => UpdateKind::Failed,
            word => return Err(unknown_word("scope", word)),
        };
        let mut endpoints = Vec::new();
        if kind != UpdateKind::Failed {
            let number = row.integer(4)?;
            let entries = find_list(number).ok_or(EventError::UnknownList { list: number })?;
            for entry in entries {
                endpoints.push(self.endpoint_record(entry)?);
            }
        }
        Ok(Event::EndpointsUpdated { kind, endpoints })
    }

    fn endpoint_record(&mut self, entry: &Value) -> Result<EndpointRecord, EventError> {
        let row = Row(entry.as_array().ok_or(EventError::ListEntryNotAnArray)?);
        let started_at = row.integer_or_zero(7);
        let build = row
            .integer(0)?
            .try_into()
            .map_err(|_| EventError::InvalidBuild { at: 0 })?;
        Ok(EndpointRecord {
            build: BuildId(build),
            endpoint: self.names.endpoints.get_or_assign(row.text(1)?),
            zone: self.names.get_or_assign_zone(row.text(2)?),
            model: self.names.get_or_assign_model(row.text(3)?),
            cell: row.value(4).as_u64().unwrap_or(0),
            lifecycle: match row.text(5)? {
                "Running" => Lifecycle::Ready,
                "Stopping" => Lifecycle::Draining,
                "Deleted" => Lifecycle::Removed,
                word => return Err(unknown_word("lifecycle", word)),
            },
            weight: row.value(6).as_f64().unwrap_or(1.0),
            age: (started_at > 0).then(|| TimeDelta((self.now - started_at).max(0))),
            gossip_id: gossip_id(row.text(1)?),
        })
    }

    fn request_received(&self, row: Row<'_>) -> Result<Event, EventError> {
        Ok(Event::RequestReceived {
            id: RequestId(row.hex(2)?),
            class: self.class(row, 5)?,
            time_left: TimeDelta(row.integer(6)?),
            is_client_retry: row.flag(4)?,
            key: if row.value(7).is_null() {
                None
            } else {
                Some(AffinityKey(row.hex(7)?))
            },
        })
    }

    fn attempt_finished(&self, row: Row<'_>) -> Result<Event, EventError> {
        Ok(Event::AttemptFinished {
            id: RequestId(row.hex(2)?),
            duration: TimeDelta(row.integer(3)?),
            is_request_finished: row.flag(4)?,
            attempt: row.count(5)?,
            outcome: attempt_outcome(row.text(6)?)?,
            endpoint: self.endpoint(row, 7)?,
        })
    }

    /// Probe results are validated, but no decision uses them.
    fn probe_finished(&self, row: Row<'_>) -> Result<Event, EventError> {
        attempt_outcome(row.text(2)?)?;
        self.endpoint(row, 3)?;
        Ok(Event::Unused)
    }

    /// The counts that the platform reports are validated, but no decision uses them.
    fn platform_counts(&self, row: Row<'_>) -> Result<Event, EventError> {
        row.integer(2)?;
        row.count(3)?;
        row.count(4)?;
        self.class(row, 7)?;
        Ok(Event::Unused)
    }

    fn complaint_received(&self, row: Row<'_>) -> Result<Event, EventError> {
        let class = self.class(row, 2)?;
        row.integer(3)?;
        Ok(Event::ComplaintReceived {
            class,
            endpoint: self.endpoint(row, 4)?,
        })
    }
}

fn unknown_word(what: &'static str, word: &str) -> EventError {
    EventError::UnknownWord {
        what,
        word: word.into(),
    }
}

fn attempt_outcome(word: &str) -> Result<AttemptOutcome, EventError> {
    Ok(match word {
        "ok" => AttemptOutcome::Succeeded,
        "error" => AttemptOutcome::ServerError,
        "full" => AttemptOutcome::Rejected,
        "timeout" => AttemptOutcome::TimedOut,
        "connect_failed" => AttemptOutcome::ConnectFailed,
        "reset" => AttemptOutcome::Reset,
        "cancelled" => AttemptOutcome::Cancelled,
        "moot" => AttemptOutcome::NotSent,
        word => return Err(unknown_word("outcome", word)),
    })
}

fn response_started(row: Row<'_>) -> Result<Event, EventError> {
    let id = RequestId(row.hex(2)?);
    row.count(3)?;
    Ok(Event::ResponseStarted { id })
}

fn rollout_updated(row: Row<'_>) -> Result<Event, EventError> {
    let status = match row.text(5)? {
        "ok" => PlatformStatus::Valid,
        "moot" => PlatformStatus::Superseded,
        "full" => PlatformStatus::Overloaded,
        "error" => PlatformStatus::ServerError,
        "timeout" => PlatformStatus::TimedOut,
        word => return Err(unknown_word("word", word)),
    };
    let phase = match row.integer_or_zero(4) {
        PHASE_ROLLING_BACK => RolloutPhase::RollingBack,
        PHASE_RELEASED => RolloutPhase::Released,
        PHASE_ROLLED_BACK => RolloutPhase::RolledBack,
        _ => RolloutPhase::Canary,
    };
    Ok(Event::RolloutUpdated(RolloutUpdate {
        build: BuildId(row.value(6).as_u64().unwrap_or(0) as u32),
        stage: row.value(3).as_u64().unwrap_or(0) as usize,
        phase,
        exposure_limit: row.value(2).as_f64().unwrap_or(0.0),
        status,
        is_vote_response: row.value(7).as_i64() == Some(1),
        age: TimeDelta(row.integer_or_zero(8)),
    }))
}

fn gossip_received(row: Row<'_>) -> Result<Option<Event>, EventError> {
    let from = PeerId(row.count(2)?);
    let message = gossip::decode(row.text(3)?);
    Ok(message.map(|message| Event::GossipReceived { from, message }))
}
