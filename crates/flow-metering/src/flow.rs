//! What is summed, and under which key.

use harrierdock_types::{TimeDelta, Timestamp};

use crate::Ended;

/// What is counted: attempts to servers, or requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Submission = 0,
    Txn = 1,
}

impl Kind {
    pub const ALL: [Kind; 2] = [Kind::Submission, Kind::Txn];

    pub fn name(self) -> &'static str {
        match self {
            Kind::Submission => "submission",
            Kind::Txn => "txn",
        }
    }
}

/// How it ended: a attempt (the first eight), or a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    Served = 0,
    Errored = 1,
    Full = 2,
    TimedOut = 3,
    ConnectFailed = 4,
    Reset = 5,
    Recalled = 6,
    Moot = 7,
    Settled = 8,
    Declined = 9,
    Voided = 10,
    Left = 11,
}

impl Outcome {
    pub const ALL: [Outcome; 12] = [
        Outcome::Served,
        Outcome::Errored,
        Outcome::Full,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Recalled,
        Outcome::Moot,
        Outcome::Settled,
        Outcome::Declined,
        Outcome::Voided,
        Outcome::Left,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Errored => "errored",
            Outcome::Full => "full",
            Outcome::TimedOut => "timed-out",
            Outcome::ConnectFailed => "connect-failed",
            Outcome::Reset => "reset",
            Outcome::Recalled => "recalled",
            Outcome::Moot => "moot",
            Outcome::Settled => "settled",
            Outcome::Declined => "declined",
            Outcome::Voided => "voided",
            Outcome::Left => "left",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Road {
    Here = 0,
    /// Handed over to the other site.
    Across = 1,
    /// Handed over by the other site.
    Inward = 2,
}

impl Road {
    pub fn name(self) -> &'static str {
        match self {
            Road::Here => "here",
            Road::Across => "across",
            Road::Inward => "inward",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub kind: Kind,
    /// 0 where no build is known.
    pub build: u32,
    pub stage: u8,
    pub class: u8,
    pub outcome: Outcome,
    pub road: Road,
    /// None for all servers that have no row of their own.
    pub endpoint: Option<u32>,
}

impl Key {
    pub fn of(ended: &Ended, endpoint: Option<u32>) -> Key {
        Key {
            kind: ended.kind,
            build: ended.build,
            stage: ended.stage,
            class: ended.class,
            outcome: ended.outcome,
            road: ended.road,
            endpoint,
        }
    }

    /// The key in one number, for tables.
    pub fn packed(&self) -> u128 {
        let endpoint = self.endpoint.map_or(0, |s| u128::from(s) + 1);
        let small = (self.kind as u128) << 24
            | u128::from(self.stage) << 16
            | u128::from(self.class) << 8
            | (self.outcome as u128) << 2
            | self.road as u128;
        endpoint << 72 | u128::from(self.build) << 32 | small
    }
}

/// Classes of time taken, as parts of the latency objective: up to 1/8, 1/4, 1/2, 1, 2, 4, 8, and beyond.
pub const BUCKETS: usize = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    pub count: u64,
    pub second: u64,
    /// Those that took longer than the latency objective.
    pub late: u64,
    /// Microseconds.
    pub time: u64,
    pub times: [u64; BUCKETS],
    pub out: u64,
    pub back: u64,
}

impl Sums {
    pub fn add(&mut self, ended: &Ended) {
        self.count += 1;
        self.second += u64::from(ended.second);
        self.late += u64::from(ended.took > ended.sla);
        self.time = self.time.saturating_add(ended.took.0.max(0) as u64);
        self.times[bucket(ended.took, ended.sla)] += 1;
        self.out = self.out.saturating_add(ended.out);
        self.back = self.back.saturating_add(ended.back);
    }

    /// Adds other sums. Those that would wrap stay at the largest number.
    pub fn merge(&mut self, other: &Sums) {
        let pairs = [
            (&mut self.count, other.count),
            (&mut self.second, other.second),
            (&mut self.late, other.late),
            (&mut self.time, other.time),
            (&mut self.out, other.out),
            (&mut self.back, other.back),
        ];
        pairs
            .into_iter()
            .for_each(|(sum, more)| *sum = sum.saturating_add(more));
        self.times
            .iter_mut()
            .zip(other.times)
            .for_each(|(sum, more)| *sum = sum.saturating_add(more));
    }
}

fn bucket(took: TimeDelta, sla: TimeDelta) -> usize {
    let eighth = (sla.0 / 8).max(1);
    (0..BUCKETS - 1)
        .find(|n| took.0 <= eighth << n)
        .unwrap_or(BUCKETS - 1)
}

/// Sums of one key over an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    pub key: Key,
    pub sums: Sums,
    pub from: Timestamp,
    pub until: Timestamp,
}
