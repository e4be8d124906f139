//! What happened, against the rules.

use std::collections::BTreeSet;

use harrierdock_multi_site::MultiSite;
use harrierdock_site_messages::ForwardingOutcome;
use harrierdock_types::{RetrySafety, Timestamp};

use super::classes::{classes, MEMORY};
use super::findings::Findings;
use super::world::{World, SECOND, TICK};

impl World {
    pub(super) fn judge(mut self) -> Findings {
        let classes = classes();
        let found = &mut self.found;
        for txn in &self.txns {
            let lived = self.gateways[txn.gateway].life == txn.life;
            let repeat = classes[txn.class].retry_safety;
            if lived {
                found.taken += 1;
                found.answered_once += u64::from(txn.answers.len() == 1);
                found.unanswered += u64::from(txn.answers.is_empty());
                found.late += u64::from(txn.answers.iter().any(|a| a.1 > txn.expiry + TICK));
            }
            found.answered_twice += u64::from(txn.answers.len() > 1);
            if repeat == RetrySafety::NonIdempotent {
                found.once_only_run_twice += u64::from(txn.runs.len() > 1);
            }
            if let RetrySafety::IdempotencyKey { .. } = repeat {
                let first = txn.runs.first().map(|r| r.1);
                let apart = |r: &(usize, Timestamp)| first.is_some_and(|f| r.1 - f > MEMORY);
                let sites: BTreeSet<usize> = txn.runs.iter().map(|r| r.0).collect();
                let strays = sites.len() > 1 && !classes[txn.class].deduplicates_across_sites;
                found.repeats_outside_memory += u64::from(strays || txn.runs.iter().any(apart));
            }
            let first = txn.answers.first().map(|a| a.0);
            found.settled_without_run +=
                u64::from(first == Some(ForwardingOutcome::Succeeded) && txn.runs.is_empty());
            // A client may try again what was declined: that must not have run, once-only or outside a group.
            let harmless = match repeat {
                RetrySafety::Idempotent => true,
                RetrySafety::IdempotencyKey { .. } => classes[txn.class].deduplicates_across_sites,
                RetrySafety::NonIdempotent => false,
            };
            let declined = first == Some(ForwardingOutcome::NotAccepted);
            found.declined_but_ran += u64::from(declined && !harmless && !txn.runs.is_empty());
        }
        for points in self.moves.values() {
            let within = |from: &Timestamp| {
                points
                    .iter()
                    .filter(|p| **p >= *from && **p - *from < SECOND * 60.0)
                    .count()
            };
            found.most_moves_a_minute = found
                .most_moves_a_minute
                .max(points.iter().map(within).max().unwrap_or(0) as u64);
        }
        for gateway in &self.gateways {
            let open = gateway.sites.as_ref().map(MultiSite::open_requests);
            let open = open.unwrap_or_default();
            found.left_owed += (open.outbound + open.inbound) as u64;
        }
        self.found
    }
}
