//! Tests of the identifiers of endpoint names.

use harrierdock_config::EndpointNames;
use harrierdock_types::EndpointId;

#[test]
fn identifiers_of_removed_endpoints_are_not_reused() {
    let mut names = EndpointNames::default();
    let before = ["a", "b", "a"].map(|name| names.get_or_assign(name).0);
    names.retain(|endpoint| endpoint != EndpointId(0));
    let after = ["a", "b", "c"].map(|name| names.get_or_assign(name).0);
    assert_eq!(
        (before, after, names.name(EndpointId(0)), names.id("a")),
        ([0, 1, 0], [2, 1, 3], None, Some(EndpointId(2)))
    );
}
