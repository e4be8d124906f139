//! Totals of all observations, logged at shutdown to check the collected flows against.

use std::collections::BTreeMap;

use harrierdock_config::ClassNames;
use harrierdock_flow_metering::RecordKind;
use harrierdock_types::{BuildId, ClassId};

use crate::wire_names;

/// From this number of rows on, attempts are counted under build 0. That loses detail only in a log line.
const MAX_BUILD_ROWS: usize = 512;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TotalsKey {
    kind: RecordKind,
    build: BuildId,
    class: ClassId,
}

/// The number of attempts and requests observed, by build and request class.
#[derive(Default)]
pub(crate) struct ObservedTotals(BTreeMap<TotalsKey, u64>);

impl ObservedTotals {
    pub(crate) fn count(&mut self, kind: RecordKind, build: BuildId, class: ClassId) {
        let build = if self.0.len() < MAX_BUILD_ROWS {
            build
        } else {
            BuildId(0)
        };
        *self.0.entry(TotalsKey { kind, build, class }).or_default() += 1;
    }

    /// Returns the totals as JSON: a list of rows of kind, build, request class and count.
    pub(crate) fn to_json(&self, names: &ClassNames) -> String {
        let rows: Vec<_> = self
            .0
            .iter()
            .map(|(key, count)| {
                let kind = wire_names::kind(key.kind);
                (kind, key.build.0, names.name(key.class), count)
            })
            .collect();
        serde_json::to_string(&rows).unwrap_or_default()
    }
}
