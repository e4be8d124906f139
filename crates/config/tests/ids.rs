//! A number is never given to two names.

use harrierdock_config::Ids;

#[test]
fn a_number_is_given_once_however_names_come_and_go() {
    let mut ids = Ids::default();
    let first = ["a", "b", "a"].map(|name| ids.number(name));
    ids.retain(|number| number != 0);
    let then = ["a", "b", "c"].map(|name| ids.number(name));
    assert_eq!((first, then, ids.name(0), ids.get("a")), ([0, 1, 0], [2, 1, 3], None, Some(2)));
}
