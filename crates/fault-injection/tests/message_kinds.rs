//! The kinds of gossip messages share a socket and are distinguished by their first byte.

use harrierdock_admission::load_report;
use harrierdock_lease::codec as lease;

#[test]
fn each_kind_of_gossip_message_has_its_own_first_byte() {
    let first_bytes = [
        lease::FIRST_BYTE,
        load_report::FIRST_BYTE,
        harrierdock_rollout_controller::FIRST_BYTE,
    ];
    for (index, first_byte) in first_bytes.into_iter().enumerate() {
        assert!(
            !first_byte.is_ascii(),
            "text messages start with an ASCII byte"
        );
        assert!(!first_bytes[..index].contains(&first_byte));
    }
    let report = load_report::encode(&Default::default(), &Default::default(), 0).0;
    let decoded = lease::decode(&report);
    assert!(
        matches!(decoded, Err(lease::DecodeError::FirstByte { .. })),
        "{decoded:?}"
    );
}
