//! The entry of one gateway in the membership table.

use harrierdock_site_messages::{GatewayName, MemberRecord, MemberState};
use harrierdock_types::Timestamp;

use super::MembershipAction;
use crate::Change;

/// A gateway's record and the state of connecting to it.
pub(super) struct Member {
    pub(super) record: MemberRecord,
    /// In how many heartbeat intervals the record was sent since it last changed.
    pub(super) times_sent: u32,
    /// When the record's state or incarnation last changed.
    pub(super) state_since: Timestamp,
    pub(super) failed_connects: u32,
    pub(super) next_connect: Timestamp,
    pub(super) is_connecting: bool,
    /// The gateway's rendezvous rank; paths are opened to the lowest ranks first.
    pub(super) rank: u64,
}

impl Member {
    /// Creates an entry whose record is not sent to other gateways until it changes.
    pub(super) fn new(record: MemberRecord, state_since: Timestamp, rank: u64) -> Member {
        Member {
            record,
            times_sent: u32::MAX,
            state_since,
            failed_connects: 0,
            next_connect: Timestamp(0),
            is_connecting: false,
            rank,
        }
    }

    /// Replaces the record, and reports a change of state or a restart.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        record: MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        let former_state = self.record.state;
        let restarted =
            record.incarnation != self.record.incarnation && self.record.incarnation != 0;
        if former_state != record.state || restarted {
            actions.push(MembershipAction::Changed(Change::Member {
                gateway: record.gateway.clone(),
                state: record.state,
                returned: former_state >= MemberState::Suspected,
                restarted,
            }));
            self.state_since = now;
        }
        self.record = record;
        self.times_sent = 0;
    }

    /// Changes only the state of the record.
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

/// The rendezvous rank of a pair of gateways: FNV-1a over both sorted names, so that both ends compute the same value.
pub(super) fn rendezvous_rank(first: &GatewayName, second: &GatewayName) -> u64 {
    let (low, high) = if first < second {
        (first, second)
    } else {
        (second, first)
    };
    let bytes = [&low.site, &low.gateway, &high.site, &high.gateway]
        .into_iter()
        .flat_map(|name| name.bytes().chain([0]));
    let hash = bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // Mixes the last bytes into the high bits, which decide the order of ranks.
    (hash ^ (hash >> 29)).wrapping_mul(MIXING_FACTOR)
}
