//! The steward of a wave: where a release's wave is advanced by a call of the installation and not by the
//! platform's count of votes, one gateway makes that call. The module of each gateway alone decides how it votes;
//! here ballots are told, counted, and turned into at most one call for each wave and way. No I/O: events come in,
//! actions go out. Whether this gateway may act is asked where the bytes are written, not here.

mod codec;

use std::collections::BTreeMap;

use harrierdock_types::{BuildId, PeerId};
use harrierdock_types::{TimeDelta, Timestamp};

pub use codec::{read, write, FormError, FIRST, LENGTH};

/// One stage of one build, in the order in which they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wave {
    pub build: BuildId,
    pub stage: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    On,
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ballot {
    pub wave: Wave,
    pub way: Way,
}

/// A gateway's ballot as it tells it to those who may be steward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// When the teller started: a later start stands above an earlier one.
    pub incarnation: u64,
    /// Its messages in order.
    pub number: u32,
    /// None once its module has taken the vote away.
    pub ballot: Option<Ballot>,
}

/// How a wave stands, as the platform tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may go on or back.
    Trial,
    /// The build is out everywhere; it may only go back.
    Released,
    /// It is on its way back, or gone.
    Over,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The installation has done it, now or before.
    Done,
    /// It has seen a later holder.
    Older,
    /// It was never written: this gateway may not act.
    NotWritten,
    /// It failed, or no answer came in time: it may have been done.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// This gateway's own module votes, or takes its vote away.
    Cast(Option<Ballot>),
    Heard {
        from: PeerId,
        told: Told,
    },
    Stage {
        wave: Wave,
        standing: Standing,
    },
    /// The duty is this gateway's, under this epoch.
    Holds {
        epoch: u64,
    },
    Lost,
    Answered {
        ballot: Ballot,
        answer: Answer,
    },
    Wake,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// To all who may be steward.
    Tell(Told),
    /// The call that is due. It carries the epoch of the moment at which it is written, and whether an earlier one
    /// of this gateway's had no answer.
    Call {
        ballot: Ballot,
        again: bool,
    },
    /// Worth a line in the log.
    Said(Said),
    Wake {
        after: TimeDelta,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// The installation has done what the votes asked for.
    Done { ballot: Ballot, votes: usize },
    /// The installation knows a later holder; nothing more is asked under this epoch.
    Barred { ballot: Ballot, epoch: u64 },
    /// No decision within the bound: votes on and back, and how many one side needs.
    Overdue {
        wave: Wave,
        on: usize,
        back: usize,
        needs: usize,
        holds: bool,
    },
}

/// What is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub own: PeerId,
    pub gateways: usize,
    /// More than this part of all gateways moves a wave on, or back.
    pub on_votes: f64,
    pub back_votes: f64,
    /// Within so long a wave on trial is to have a decision, or the log says so.
    pub bound: TimeDelta,
    /// A vote that is not renewed lapses after so long.
    pub vote_life: TimeDelta,
    /// How soon a ballot is told again at first, as datagrams may be lost; then after twice as long each time, up to
    /// half a vote's life, so that a ballot that stands for long costs little.
    pub retell: TimeDelta,
    /// After a call that failed or was not answered.
    pub retry: TimeDelta,
    /// This gateway's start.
    pub incarnation: u64,
}

struct Heard {
    incarnation: u64,
    number: u32,
    ballot: Option<Ballot>,
    at: Timestamp,
}

pub struct Steward {
    now: Timestamp,
    terms: Terms,
    number: u32,
    /// The own module's vote and when it was cast.
    cast: Option<(Ballot, Timestamp)>,
    /// When the own ballot is told next, and how long after that once more.
    telling: Option<(Timestamp, TimeDelta)>,
    /// The last of each gateway: bounded by the number of gateways told.
    heard: BTreeMap<PeerId, Heard>,
    wave: Option<(Wave, Standing)>,
    /// When the wave is overdue.
    overdue: Option<Timestamp>,
    holds: Option<u64>,
    /// The epoch under which the installation has told of a later one.
    barred: Option<u64>,
    /// The latest that the installation has done.
    done: Option<Ballot>,
    /// The call under way.
    out: Option<Ballot>,
    /// A call of which it is not known whether it was done.
    unsure: Option<Ballot>,
    /// No call before this point.
    rests: Timestamp,
    said: Vec<Said>,
    armed: Option<Timestamp>,
}

impl Steward {
    pub fn new(now: Timestamp, terms: Terms) -> Steward {
        Steward {
            now,
            terms,
            number: 0,
            cast: None,
            telling: None,
            heard: BTreeMap::new(),
            wave: None,
            overdue: None,
            holds: None,
            barred: None,
            done: None,
            out: None,
            unsure: None,
            rests: now,
            said: Vec::new(),
            armed: None,
        }
    }

    pub fn take(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        // Guards against a clock that is read out of order by different callers: time never goes back here.
        self.now = self.now.max(now);
        match event {
            Event::Cast(ballot) => self.cast(ballot),
            Event::Heard { from, told } => self.hear(from, told),
            Event::Stage { wave, standing } => self.stage(wave, standing),
            Event::Holds { epoch } => self.holds = Some(epoch),
            Event::Lost => self.holds = None,
            Event::Answered { ballot, answer } => self.answered(ballot, answer),
            Event::Wake => {}
        }
        self.emit()
    }

    /// Gateways that vote this way on the wave, this one's own module included.
    pub fn votes(&self, ballot: Ballot) -> usize {
        let live = |at: Timestamp| self.now - at < self.terms.vote_life;
        let own = self.cast.is_some_and(|(b, at)| b == ballot && live(at));
        let others = self
            .heard
            .values()
            .filter(|h| h.ballot == Some(ballot) && live(h.at))
            .count();
        others + usize::from(own)
    }

    /// How many votes are more than this part.
    fn needs(&self, part: f64) -> usize {
        (part * self.terms.gateways as f64).floor() as usize + 1
    }

    fn cast(&mut self, ballot: Option<Ballot>) {
        let changed = self.cast.map(|c| c.0) != ballot;
        self.cast = ballot.map(|b| (b, self.now));
        if changed {
            self.telling = Some((self.now, self.terms.retell));
        }
    }

    fn hear(&mut self, from: PeerId, told: Told) {
        if from >= PeerId(self.terms.gateways) || from == self.terms.own {
            return;
        }
        // Guards against messages that are doubled, come late or out of order, or from before a restart: only what
        // stands above the last of this gateway counts. Could harm if a gateway's clock were set back by more than
        // it was down: its ballots would count for nothing until it is past its earlier start.
        let newer = |h: &Heard| (told.incarnation, told.number) > (h.incarnation, h.number);
        if self.heard.get(&from).is_none_or(newer) {
            let Told {
                incarnation,
                number,
                ballot,
            } = told;
            self.heard.insert(
                from,
                Heard {
                    incarnation,
                    number,
                    ballot,
                    at: self.now,
                },
            );
        }
    }

    fn stage(&mut self, wave: Wave, standing: Standing) {
        // Guards against news out of order: a wave that was left behind is not gone back to.
        if self.wave.is_some_and(|(held, _)| wave < held) || self.wave == Some((wave, standing)) {
            return;
        }
        self.overdue = (standing == Standing::Trial).then_some(self.now + self.terms.bound);
        self.wave = Some((wave, standing));
    }

    fn answered(&mut self, ballot: Ballot, answer: Answer) {
        if self.out != Some(ballot) {
            return;
        }
        self.out = None;
        match answer {
            Answer::Done => {
                self.done = self.done.max(Some(ballot));
                self.overdue = None;
                let votes = self.votes(ballot);
                self.said.push(Said::Done { ballot, votes });
            }
            Answer::Older => {
                // Guards against a holder that goes on asking once it is known to be deposed: it waits for an epoch
                // of its own that is another one.
                self.barred = self.holds;
                let epoch = self.holds.unwrap_or(0);
                self.said.push(Said::Barred { ballot, epoch });
            }
            Answer::NotWritten => self.rests = self.now + self.terms.retry,
            Answer::Unknown => {
                self.unsure = Some(ballot);
                self.rests = self.now + self.terms.retry;
            }
        }
    }

    /// The call that the votes ask for, the careful way first.
    fn due(&self) -> Option<Ballot> {
        let (wave, standing) = self.wave?;
        let ways = match standing {
            Standing::Trial => &[
                (Way::Back, self.terms.back_votes),
                (Way::On, self.terms.on_votes),
            ][..],
            Standing::Released => &[(Way::Back, self.terms.back_votes)],
            Standing::Over => &[],
        };
        let enough = |(way, part): &(Way, f64)| {
            let ballot = Ballot { wave, way: *way };
            (self.votes(ballot) >= self.needs(*part)).then_some(ballot)
        };
        // Guards against a wave advanced twice: what was done is over, whatever old votes say.
        ways.iter()
            .find_map(enough)
            .filter(|b| self.done.is_none_or(|done| *b > done))
    }

    /// The difference between what is wanted and what is out already.
    fn emit(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        let lapses = self.cast.map(|(_, at)| at + self.terms.vote_life);
        let past = |(b, _): (Ballot, Timestamp)| self.wave.is_some_and(|(held, _)| b.wave < held);
        if lapses.is_some_and(|at| at <= self.now) || self.cast.is_some_and(past) {
            self.cast = None;
            self.telling = None;
        }
        if let Some((_, after)) = self.telling.filter(|(at, _)| *at <= self.now) {
            self.number += 1;
            let ballot = self.cast.map(|c| c.0);
            out.push(Action::Tell(Told {
                incarnation: self.terms.incarnation,
                number: self.number,
                ballot,
            }));
            let next = (after * 2.0).min(self.terms.vote_life / 2.0);
            self.telling = ballot.map(|_| (self.now + after, next));
        }
        let free = self.out.is_none() && self.now >= self.rests;
        let may = self.holds.is_some() && self.holds != self.barred;
        let due = self.due().filter(|_| may);
        if let Some(ballot) = due.filter(|_| free) {
            self.out = Some(ballot);
            out.push(Action::Call {
                ballot,
                again: self.unsure == Some(ballot),
            });
        }
        if let Some((wave, _)) = self
            .wave
            .filter(|_| self.overdue.is_some_and(|at| at <= self.now))
        {
            let count = |way| self.votes(Ballot { wave, way });
            let (on, back, needs) = (
                count(Way::On),
                count(Way::Back),
                self.needs(self.terms.on_votes),
            );
            self.said.push(Said::Overdue {
                wave,
                on,
                back,
                needs,
                holds: self.holds.is_some(),
            });
            self.overdue = Some(self.now + self.terms.bound);
        }
        out.extend(self.said.drain(..).map(Action::Said));
        let resting = due.filter(|_| self.out.is_none()).map(|_| self.rests);
        let next = [self.telling.map(|t| t.0), self.overdue, resting]
            .into_iter()
            .flatten()
            .min();
        // What was set for an earlier point still comes; only a nearer one is asked for anew.
        if let Some(at) = next.filter(|at| self.armed.is_none_or(|a| a <= self.now || *at < a)) {
            self.armed = Some(at);
            out.push(Action::Wake {
                after: (at - self.now).max(TimeDelta(1)),
            });
        }
        out
    }
}
