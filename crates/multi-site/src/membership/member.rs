//! One known gateway: its record, and the state of connecting to it.

use harrierdock_site_messages::{GatewayName, MemberRecord, MemberState};
use harrierdock_types::Timestamp;

use super::MembershipAction;
use crate::Change;

/// A known gateway.
pub(super) struct Member {
    pub(super) record: MemberRecord,
    /// In how many intervals its record was sent since it last changed.
    pub(super) times_sent: u32,
    /// Since when it has its state.
    pub(super) since: Timestamp,
    pub(super) failed_connects: u32,
    pub(super) next_connect: Timestamp,
    pub(super) is_connecting: bool,
    /// Its rank among those that this gateway may open paths to; the lowest come first.
    pub(super) rank: u64,
}

impl Member {
    /// A gateway whose record need not be passed on.
    pub(super) fn new(record: MemberRecord, since: Timestamp, rank: u64) -> Member {
        Member {
            record,
            times_sent: u32::MAX,
            since,
            failed_connects: 0,
            next_connect: Timestamp(0),
            is_connecting: false,
            rank,
        }
    }

    /// Takes over a record, and reports a change of state or a new start.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        record: MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        let before = self.record.state;
        let restarted =
            record.incarnation != self.record.incarnation && self.record.incarnation != 0;
        if before != record.state || restarted {
            actions.push(MembershipAction::Changed(Change::Member {
                gateway: record.gateway.clone(),
                state: record.state,
                returned: before >= MemberState::Suspected,
                restarted,
            }));
            self.since = now;
        }
        self.record = record;
        self.times_sent = 0;
    }

    /// Takes over the same record with another state.
    pub(super) fn set_state(
        &mut self,
        now: Timestamp,
        state: MemberState,
        actions: &mut Vec<MembershipAction>,
    ) {
        let record = MemberRecord {
            state,
            ..self.record.clone()
        };
        self.update(now, record, actions);
    }
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;
const MIXING_FACTOR: u64 = 0xbf58_476d_1ce4_e5b9;

/// The rendezvous hash of two gateways: FNV-1a over both names, so that each end computes the same.
pub(super) fn rendezvous_rank(one: &GatewayName, other: &GatewayName) -> u64 {
    let (low, high) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    let bytes = [&low.site, &low.gateway, &high.site, &high.gateway]
        .into_iter()
        .flat_map(|name| name.bytes().chain([0]));
    let hash = bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // Ranks are compared by their high bits, which the last bytes have hardly reached.
    (hash ^ (hash >> 29)).wrapping_mul(MIXING_FACTOR)
}
