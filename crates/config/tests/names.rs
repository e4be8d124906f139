//! Identifiers of endpoint names.

use harrierdock_config::EndpointNames;
use harrierdock_types::EndpointId;

#[test]
fn an_identifier_is_never_given_to_two_names() {
    let mut names = EndpointNames::default();
    let first = ["a", "b", "a"].map(|name| names.get_or_assign(name).0);
    names.retain(|endpoint| endpoint != EndpointId(0));
    let then = ["a", "b", "c"].map(|name| names.get_or_assign(name).0);
    assert_eq!(
        (first, then, names.name(EndpointId(0)), names.id("a")),
        ([0, 1, 0], [2, 1, 3], None, Some(EndpointId(2)))
    );
}
