//! Tests that the message for each invalid setting names the setting, and that any received bytes decode to a message or an error.

use expect_test::expect;
use harrierdock_lease::codec::{self, FIRST_BYTE, FORMAT_VERSION, MAX_MESSAGE_BYTES};
use harrierdock_lease::{
    Epoch, FencingGuard, LeaseName, LeaseRecord, LeaseSettings, Message, MessageBody, ProposalId,
};
use harrierdock_types::TimeDelta;
use proptest::prelude::*;

fn settings() -> LeaseSettings {
    let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect();
    LeaseSettings {
        own_name: "a".into(),
        peer_names: names(&["a", "b", "c", "d"]),
        electorate: names(&["a", "b", "c"]),
        electorate_number: 1,
        lease_duration: TimeDelta::from_seconds(2.0),
        heartbeat_interval: TimeDelta::from_seconds(0.8),
        longest_lease_duration: None,
        clock_drift_ratio: 0.02,
        lease_names: names(&["steward", "speaker:3"]),
    }
}

#[test]
fn each_invalid_setting_is_reported_with_its_correction() {
    let mistakes: [fn(&mut LeaseSettings); 11] = [
        |s| s.own_name = "e".into(),
        |s| s.peer_names.push("b".into()),
        |s| s.electorate.truncate(2),
        |s| s.electorate = (0..8).map(|i| i.to_string()).collect(),
        |s| s.electorate[2] = "z".into(),
        |s| s.electorate[2] = "a".into(),
        |s| s.heartbeat_interval = TimeDelta::from_seconds(1.1),
        |s| s.lease_duration = TimeDelta::from_seconds(90.0),
        |s| s.clock_drift_ratio = f64::NAN,
        |s| s.lease_names.push("speaker:many".into()),
        |s| s.lease_names.push("steward".into()),
    ];
    let mut lines = String::new();
    for mistake in mistakes {
        let mut settings = settings();
        mistake(&mut settings);
        lines += &format!("{}\n", settings.parameters().unwrap_err());
    }
    expect![[r#"
        own name e is not listed: add it to `gateways`, or start this gateway under a listed name
        name b is listed twice: remove one from `gateways`
        2 electors are too few: list at least 3 in `electorate`, so that one may fail
        8 electors are too many: list at most 7 in `electorate`, since each adds traffic and delay
        elector z is not listed: add it to `gateways`, or remove it from `electorate`
        elector a is listed twice: remove one from `electorate`
        a lease of 2000 ms is shorter than two heartbeats of 1100 ms: increase `lease_ms` or reduce `heartbeat_ms`, so that one lost message doesn't end a lease
        a lease of 90000 ms is out of range: configure 100 ms to 60 s
        a clock drift of NaN is out of range: configure a ratio from 0 to 0.2, such as 0.02
        lease speaker:many is unknown: use `steward` (rollout controller), `heir` (recovery owner) or `speaker:NUMBER` (aggregator) in `duties`
        lease steward is listed twice: remove one from `duties`
    "#]].assert_eq(&lines);
    assert!(settings().parameters().is_ok());
}

fn messages() -> Vec<Message> {
    let (lease, epoch) = (LeaseName::Aggregator(u16::MAX), Epoch(u64::MAX));
    let proposal = ProposalId {
        epoch,
        requester_tag: u16::MAX,
    };
    let record = LeaseRecord {
        lease,
        epoch,
        holder_hash: u32::MAX,
        remaining_ms: u16::MAX,
    };
    let bodies = [
        MessageBody::Prepare {
            lease,
            epoch,
            transferred_epoch: Some(epoch),
        },
        MessageBody::Promised { lease, proposal },
        MessageBody::Acquire {
            lease,
            epoch,
            round: u16::MAX,
            lease_ms: u16::MAX,
        },
        MessageBody::Granted {
            lease,
            proposal,
            round: u16::MAX,
            next_candidate_hash: Some(u32::MAX),
        },
        MessageBody::Rejected {
            lease,
            proposal,
            epoch,
            remaining_ms: u16::MAX,
            candidates_before: u8::MAX,
            holder_hash: u32::MAX,
        },
        MessageBody::Release { lease, epoch },
        MessageBody::Transfer { lease, epoch },
        MessageBody::KnownLeases {
            records: vec![record; codec::MAX_KNOWN_LEASES],
        },
    ];
    let message = |body| Message {
        incarnation: u64::MAX,
        electorate_number: u32::MAX,
        electorate_digest: u8::MAX,
        body,
    };
    bodies.into_iter().map(message).collect()
}

#[test]
fn every_message_fits_and_round_trips_and_no_corrupted_one_decodes() {
    for message in messages() {
        let bytes = codec::encode(&message);
        assert!(
            bytes.len() <= MAX_MESSAGE_BYTES,
            "{} bytes are too many: {message:?}",
            bytes.len()
        );
        assert!(std::str::from_utf8(&bytes).is_err() && bytes[0] >= 0xF5);
        assert_eq!(codec::decode(&bytes), Ok(message));
        for len in 0..bytes.len() {
            assert!(codec::decode(&bytes[..len]).is_err());
        }
        for bit in 0..bytes.len() * 8 {
            let mut corrupted = bytes.clone();
            corrupted[bit / 8] ^= 1 << (bit % 8);
            assert!(
                codec::decode(&corrupted).is_err(),
                "decoded with bit {bit} flipped"
            );
        }
    }
}

proptest! {
    #[test]
    fn any_bytes_decode_to_a_message_or_an_error(mut bytes: Vec<u8>, has_header: bool) {
        if let (true, [first, version, ..]) = (has_header, &mut bytes[..]) {
            (*first, *version) = (FIRST_BYTE, FORMAT_VERSION);
        }
        if let Ok(message) = codec::decode(&bytes) {
            prop_assert_eq!(codec::decode(&codec::encode(&message)), Ok(message));
        }
    }
}

#[test]
fn a_fencing_guard_refuses_older_epochs_of_each_lease() {
    let mut guard = FencingGuard::default();
    assert!(guard.admit(LeaseName::RecoveryOwner, Epoch(5)).is_ok());
    assert!(guard.admit(LeaseName::RecoveryOwner, Epoch(5)).is_ok());
    assert!(guard.admit(LeaseName::RolloutController, Epoch(1)).is_ok());
    let stale = guard.admit(LeaseName::RecoveryOwner, Epoch(4)).unwrap_err();
    expect!["operation under lease heir has epoch 4, but epoch 5 is known: the sender has lost the lease; reply to it with the newer epoch"]
        .assert_eq(&stale.to_string());
}
