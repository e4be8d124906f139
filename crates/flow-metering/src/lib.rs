//! Flows: sums over a gateway's attempts and requests by release, stage, request class, outcome and road, for export.
//! `Flows` is told what ended and gives back sums that are due; each collector's `Pending` merges what waits for
//! it and decides what is given up when it cannot all be kept. No I/O, no clock of its own.

mod pending_flows;
mod heavy_hitters;
mod flow;
mod flow_table;
mod timer_wheel;

pub use pending_flows::{Dropped, Pending};
pub use heavy_hitters::Busiest;
pub use flow::{Flow, Key, Kind, Outcome, Road, Sums, BUCKETS};
pub use flow_table::Table;
pub use timer_wheel::Wheel;

use harrierdock_types::{TimeDelta, Timestamp};

/// Servers that have rows of their own.
pub const SERVERS: usize = 64;
/// Keys alive at the most; beyond, servers' rows are folded into their release's.
pub const KEYS: usize = 4096;
/// The wheel turns so many times within an active time-out, so that what is due is spread over it.
const TURNS: f64 = 4.0;
/// Active time-outs without anything after which a key is forgotten.
const IDLE: u32 = 2;

/// One thing that ended, as the driver tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    pub kind: Kind,
    pub build: u32,
    pub stage: u8,
    pub class: u8,
    pub outcome: Outcome,
    pub road: Road,
    /// The server's small index; none for requests.
    pub endpoint: Option<u32>,
    /// It was not the request's first attempt.
    pub second: bool,
    pub took: TimeDelta,
    pub sla: TimeDelta,
    /// Octets of the request's body, and of the answer's.
    pub out: u64,
    pub back: u64,
}

/// A row of the table, with since when its sums are.
struct Row {
    sums: Sums,
    from: Timestamp,
    idle: u32,
}

/// All that is recorded of one gateway.
pub struct Flows {
    active: TimeDelta,
    rows: Table<Row>,
    wheel: Wheel<Key>,
    busiest: Busiest,
    /// What was recorded since the start, by kind: how many, whatever became of them.
    recorded: [u64; Kind::ALL.len()],
    /// Sums that found no room even in their release's row: how many, by kind.
    pub ignored: [u64; Kind::ALL.len()],
}

impl Flows {
    /// `active` is the time after which a row that goes on is told.
    pub fn new(now: Timestamp, active: TimeDelta) -> Flows {
        Flows {
            active,
            rows: Table::new(),
            wheel: Wheel::new(now, active / TURNS, 2 * TURNS as usize + 2),
            busiest: Busiest::new(SERVERS),
            recorded: [0; Kind::ALL.len()],
            ignored: [0; Kind::ALL.len()],
        }
    }

    pub fn recorded(&self) -> [u64; Kind::ALL.len()] {
        self.recorded
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.len() == 0
    }

    /// Adds one that ended.
    pub fn record(&mut self, now: Timestamp, ended: &Ended) {
        self.recorded[ended.kind as usize] += 1;
        // A server that is not among the busiest has no row of its own, nor has any while keys are scarce.
        let endpoint = ended
            .endpoint
            .filter(|s| self.busiest.touch(*s) && self.rows.len() < KEYS);
        let mut key = Key::of(ended, endpoint);
        if !self.rows.contains(&key) && self.rows.len() >= KEYS {
            key = Key {
                endpoint: None,
                stage: 0,
                ..key
            };
            if !self.rows.contains(&key) && self.rows.len() >= 2 * KEYS {
                self.ignored[ended.kind as usize] += 1;
                return;
            }
        }
        if let Some(row) = self.rows.get_mut(&key) {
            row.sums.add(ended);
            row.idle = 0;
            return;
        }
        let mut sums = Sums::default();
        sums.add(ended);
        self.rows.insert(
            key,
            Row {
                sums,
                from: now,
                idle: 0,
            },
        );
        self.wheel.set(now + self.active, key);
    }

    /// What is due by now, each with the interval that its sums are over.
    pub fn due(&mut self, now: Timestamp) -> Vec<Flow> {
        let mut flows = Vec::new();
        for key in self.wheel.turn(now) {
            let Some(row) = self.rows.get_mut(&key) else {
                continue;
            };
            if row.sums.count > 0 {
                let sums = std::mem::take(&mut row.sums);
                flows.push(Flow {
                    key,
                    sums,
                    from: row.from,
                    until: now,
                });
                (row.from, row.idle) = (now, 0);
            } else {
                row.idle += 1;
                row.from = now;
            }
            if row.idle >= IDLE {
                self.rows.remove(&key);
            } else {
                self.wheel.set(now + self.active, key);
            }
        }
        flows
    }

    /// Everything that has not been told, at the end.
    pub fn flush(&mut self, now: Timestamp) -> Vec<Flow> {
        let rows = self
            .rows
            .drain()
            .into_iter()
            .filter(|(_, row)| row.sums.count > 0);
        let mut flows: Vec<Flow> = rows
            .map(|(key, row)| Flow {
                key,
                sums: row.sums,
                from: row.from,
                until: now,
            })
            .collect();
        flows.sort_by_key(|f| f.key);
        self.wheel.clear();
        flows
    }

    /// When the wheel turns next.
    pub fn next(&self) -> Timestamp {
        self.wheel.next()
    }
}
