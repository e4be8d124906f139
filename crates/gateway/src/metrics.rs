//! What is counted, and how it is logged.

use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Count {
    Taken,
    Settled,
    Declined,
    Voided,
    Left,
    NotTxn,
    Malformed,
    Served,
    Errored,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Recalled,
    Moot,
    ClientsAccepted,
    ServersConnected,
    Reused,
    KeptWasClosed,
    Lapsed,
    Lists,
    LinesRefused,
    StreamsOpened,
    News,
    NewsPassedOver,
    Complaints,
    Votes,
    VotesRefused,
    MailSent,
    MailHeard,
    MailRefused,
    HandedOver,
    TakenIn,
    LettersRefused,
    NoDescriptor,
    NoBuffer,
    LogLinesLost,
    PoolBroken,
    /// Something that must hold did not.
    Broken,
}

const NAMES: [(Count, &str); 39] = [
    (Count::Taken, "taken"),
    (Count::Settled, "settled"),
    (Count::Declined, "declined"),
    (Count::Voided, "voided"),
    (Count::Left, "left"),
    (Count::NotTxn, "not-txn"),
    (Count::Malformed, "malformed"),
    (Count::Served, "served"),
    (Count::Errored, "errored"),
    (Count::Full, "full"),
    (Count::TimedOut, "timed-out"),
    (Count::ConnectFailed, "connect-failed"),
    (Count::Reset, "reset"),
    (Count::Recalled, "recalled"),
    (Count::Moot, "moot"),
    (Count::ClientsAccepted, "clients-accepted"),
    (Count::ServersConnected, "servers-connected"),
    (Count::Reused, "reused"),
    (Count::KeptWasClosed, "kept-was-closed"),
    (Count::Lapsed, "lapsed"),
    (Count::Lists, "lists"),
    (Count::LinesRefused, "lines-refused"),
    (Count::StreamsOpened, "streams-opened"),
    (Count::News, "news"),
    (Count::NewsPassedOver, "news-passed-over"),
    (Count::Complaints, "complaints"),
    (Count::Votes, "votes"),
    (Count::VotesRefused, "votes-refused"),
    (Count::MailSent, "mail-sent"),
    (Count::MailHeard, "mail-heard"),
    (Count::MailRefused, "mail-refused"),
    (Count::HandedOver, "handed-over"),
    (Count::TakenIn, "taken-in"),
    (Count::LettersRefused, "letters-refused"),
    (Count::NoDescriptor, "no-descriptor"),
    (Count::NoBuffer, "no-buffer"),
    (Count::LogLinesLost, "log-lines-lost"),
    (Count::PoolBroken, "pool-broken"),
    (Count::Broken, "broken"),
];

pub struct Counters([u64; NAMES.len()]);

impl Default for Counters {
    fn default() -> Counters {
        Counters([0; NAMES.len()])
    }
}

impl Counters {
    pub fn add(&mut self, what: Count) {
        self.0[what as usize] += 1;
    }

    pub fn set(&mut self, what: Count, count: u64) {
        self.0[what as usize] = count;
    }

    /// What must hold: asserted in debug builds, counted and logged in release builds.
    pub fn must(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.add(Count::Broken);
            tracing::error!("broken: {what}");
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let seen = NAMES.iter().filter(|(what, _)| self.0[*what as usize] > 0);
        let all: Vec<String> = seen
            .map(|(what, name)| format!("{name}={}", self.0[*what as usize]))
            .collect();
        f.write_str(&all.join(" "))
    }
}
