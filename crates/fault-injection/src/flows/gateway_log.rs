//! Reads the flow export totals that gateways log while they shut down.

use std::collections::BTreeMap;

use crate::collector::RecordKey;

/// Totals over all gateways that export flows.
#[derive(Default)]
pub(super) struct LoggedTotals {
    pub(super) recorded: BTreeMap<RecordKey, u64>,
    /// Dropped attempts and dropped requests.
    pub(super) dropped: [u64; 2],
    pub(super) in_doubt: u64,
    pub(super) sent_messages: u64,
    pub(super) encoded_records: u64,
}

impl LoggedTotals {
    pub(super) fn parse(lines: &[String]) -> Result<LoggedTotals, String> {
        let mut totals = LoggedTotals::default();
        for line in lines {
            if let Some(rows) = line.strip_prefix("tally ") {
                let rows: Vec<(String, u64, String, u64)> =
                    serde_json::from_str(rows).map_err(|e| e.to_string())?;
                for (kind, build, class, count) in rows {
                    *totals
                        .recorded
                        .entry(RecordKey { kind, build, class })
                        .or_default() += count;
                }
            }
            totals
                .dropped
                .iter_mut()
                .zip(parse_counter(line, "dropped"))
                .for_each(|(sum, count)| *sum += count);
            totals.in_doubt += parse_counter(line, "in-doubt").iter().sum::<u64>();
            totals.sent_messages += parse_counter(line, "messages").iter().sum::<u64>();
            totals.encoded_records += parse_counter(line, "records").iter().sum::<u64>();
        }
        Ok(totals)
    }
}

/// Returns the values of a counter in a line `to NAME: recorded [a, b] dropped [c, d] in-doubt e messages f records g`;
/// none if the line lacks the counter.
fn parse_counter(line: &str, counter: &str) -> Vec<u64> {
    let Some((_, rest)) = line.split_once(&format!(" {counter} ")) else {
        return Vec::new();
    };
    let values = rest.strip_prefix('[').map_or_else(
        || rest.split(' ').next().unwrap_or(""),
        |list| list.split(']').next().unwrap_or(""),
    );
    values
        .split(", ")
        .filter_map(|value| value.parse().ok())
        .collect()
}
