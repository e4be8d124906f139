//! The messages of one socket are told apart by their first byte.

use harrierdock_admission::load_report;
use harrierdock_lease::codec as lease;

#[test]
fn no_two_kinds_of_gossip_messages_begin_alike() {
    let first_bytes = [
        lease::FIRST_BYTE,
        load_report::FIRST_BYTE,
        harrierdock_rollout_controller::FIRST_BYTE,
    ];
    for (index, first_byte) in first_bytes.into_iter().enumerate() {
        assert!(!first_byte.is_ascii(), "text messages are ASCII");
        assert!(!first_bytes[..index].contains(&first_byte));
    }
    let report = load_report::encode(&Default::default(), &Default::default(), 0).0;
    let refused = lease::decode(&report);
    assert!(
        matches!(refused, Err(lease::DecodeError::FirstByte { .. })),
        "{refused:?}"
    );
}
