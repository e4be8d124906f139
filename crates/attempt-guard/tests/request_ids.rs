//! Tests of the ids by which copies of clients' requests are recognized.

use harrierdock_attempt_guard::{IdRelease, RequestIds};

#[test]
fn an_id_is_in_use_until_its_request_ends() {
    let mut ids = RequestIds::default();
    let first = ids.open("aa").unwrap();
    assert_eq!(ids.open("aa"), None);
    assert!(ids.open("ab").is_some());
    ids.release(first, IdRelease::Reusable);
    assert!(ids.open("aa").is_some());
}

#[test]
fn a_spent_id_is_never_open_again_while_it_is_remembered() {
    let mut ids = RequestIds::default();
    let first = ids.open("aa").unwrap();
    ids.release(first, IdRelease::Spent);
    assert_eq!(ids.open("aa"), None);
}

// Guards against memory that grows with each new id.
#[test]
fn the_latest_spent_ids_are_remembered_within_a_bound() {
    const LATEST: usize = 32_768;
    let mut ids = RequestIds::default();
    for number in 0..5 * LATEST {
        let id = ids.open(&number.to_string()).unwrap();
        ids.release(id, IdRelease::Spent);
        assert!(ids.spent_count() <= 2 * LATEST);
        if let Some(oldest) = (number + 1).checked_sub(LATEST) {
            assert_eq!(ids.open(&oldest.to_string()), None, "{oldest} of {number}");
        }
    }
    assert!(ids.open("0").is_some());
}
