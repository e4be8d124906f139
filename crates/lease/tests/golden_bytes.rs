//! Golden tests for the encoding of lease messages and for the name hashes in them.

#[path = "../../types/tests/golden/mod.rs"]
mod golden;

use golden::{check, exact};
use harrierdock_lease::{
    codec, name_hash, Epoch, LeaseName, LeaseRecord, Message, MessageBody, ProposalId,
};

const ROLES: [(&str, LeaseName); 4] = [
    ("rollout", LeaseName::RolloutController),
    ("recovery", LeaseName::RecoveryOwner),
    ("group_3", LeaseName::Aggregator(3)),
    ("group_last", LeaseName::Aggregator(u16::MAX)),
];

/// Builds every kind of message, with typical or with the largest possible numbers.
fn message_bodies(lease: LeaseName, uses_largest: bool) -> [(&'static str, MessageBody); 10] {
    let number = |typical: u64| if uses_largest { u64::MAX } else { typical };
    let epoch = Epoch(number(1_764_600_000_123));
    let (requester_tag, round, lease_ms, remaining_ms) = (
        number(0x0102) as u16,
        number(1) as u16,
        number(2000) as u16,
        number(1500) as u16,
    );
    let (holder_hash, candidates_before) = (number(0x0a0b_0c0d) as u32, number(2) as u8);
    let proposal = ProposalId {
        epoch,
        requester_tag,
    };
    let record = LeaseRecord {
        lease,
        epoch,
        holder_hash,
        remaining_ms,
    };
    let record_count = if uses_largest {
        codec::MAX_KNOWN_LEASES
    } else {
        1
    };
    [
        (
            "ask",
            MessageBody::Prepare {
                lease,
                epoch,
                transferred_epoch: None,
            },
        ),
        (
            "ask_after",
            MessageBody::Prepare {
                lease,
                epoch,
                transferred_epoch: Some(epoch),
            },
        ),
        ("open", MessageBody::Promised { lease, proposal }),
        (
            "take",
            MessageBody::Acquire {
                lease,
                epoch,
                round,
                lease_ms,
            },
        ),
        (
            "granted",
            MessageBody::Granted {
                lease,
                proposal,
                round,
                next_candidate_hash: None,
            },
        ),
        (
            "granted_waiting",
            MessageBody::Granted {
                lease,
                proposal,
                round,
                next_candidate_hash: Some(holder_hash),
            },
        ),
        (
            "held",
            MessageBody::Rejected {
                lease,
                proposal,
                epoch,
                remaining_ms,
                candidates_before,
                holder_hash,
            },
        ),
        ("release", MessageBody::Release { lease, epoch }),
        ("pass", MessageBody::Transfer { lease, epoch }),
        (
            "status",
            MessageBody::KnownLeases {
                records: vec![record; record_count],
            },
        ),
    ]
}

#[test]
fn lease_messages_keep_their_encoding() {
    let mut cases = Vec::new();
    for (role, lease) in ROLES {
        for (kind, body) in message_bodies(lease, false) {
            let message = Message {
                incarnation: 1_764_600_000_000,
                electorate_number: 1,
                electorate_digest: 0x5a,
                body,
            };
            cases.push(exact(format!("{role}.{kind}"), message));
        }
    }
    for (kind, body) in message_bodies(LeaseName::Aggregator(u16::MAX), true) {
        let (incarnation, electorate_number, electorate_digest) = (u64::MAX, u32::MAX, u8::MAX);
        cases.push(exact(
            format!("largest.{kind}"),
            Message {
                incarnation,
                electorate_number,
                electorate_digest,
                body,
            },
        ));
    }
    let zero_record = LeaseRecord {
        lease: LeaseName::RolloutController,
        epoch: Epoch(0),
        holder_hash: 0,
        remaining_ms: 0,
    };
    let other_record = LeaseRecord {
        lease: LeaseName::RecoveryOwner,
        epoch: Epoch(128),
        holder_hash: 127,
        remaining_ms: 16_384,
    };
    let record_lists = [
        ("empty", vec![]),
        ("zeros", vec![zero_record]),
        ("three", vec![zero_record, other_record, zero_record]),
    ];
    for (name, records) in record_lists {
        let body = MessageBody::KnownLeases { records };
        cases.push(exact(
            format!("status.{name}"),
            Message {
                incarnation: 0,
                electorate_number: 0,
                electorate_digest: 0,
                body,
            },
        ));
    }
    let decode = |bytes: &[u8]| codec::decode(bytes).expect("the bytes of a message");
    check(
        include_str!("golden/leases.txt"),
        &cases,
        codec::encode,
        decode,
    );
    assert!(cases
        .iter()
        .all(|(_, message, _)| codec::encode(message).len() <= codec::MAX_MESSAGE_BYTES));
}

/// Messages identify a holder by the hash of its name, so all builds must compute the same hash.
#[test]
fn name_hashes_stay_the_same() {
    let cases = ["", "a", "g0", "g1", "gateway-12.example", "Zürich"];
    let cases = cases.map(|name| (format!("{name:?}"), name, name_hash(name)));
    let decode = |bytes: &[u8]| u32::from_be_bytes(bytes.try_into().expect("four bytes"));
    check(
        include_str!("golden/names.txt"),
        &cases,
        |name| name_hash(name).to_be_bytes().into(),
        decode,
    );
}
