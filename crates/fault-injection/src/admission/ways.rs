//! The ways a day is played: each gateway for itself, departure I, slack shared by all, and one dispatcher
//! that sees every queue. The rules of the first two are those of the module, in few lines.

use std::collections::VecDeque;

use harrierdock_admission::AdmissionController;
use harrierdock_types::TimeDelta;

use super::day::{Day, SLOTS};

pub const BEAT: i64 = 50_000;
pub const SHORTEST: i64 = 500_000;
pub const PULSE: i64 = SHORTEST / 4;
pub const CIRCLES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Alone,
    Shed,
    Shared,
    /// The queue in mean works behind which the cheap and the dear are not let in.
    Bound {
        cheap: f64,
        dear: f64,
    },
}

/// What a gateway keeps of one server: the module's limit.
#[derive(Clone, Copy, Debug)]
pub struct Kept {
    pub out: u32,
    pub limit: f64,
    pub lag: f64,
    pub shut: i64,
}

impl Kept {
    pub const NEW: Kept = Kept {
        out: 0,
        limit: 3.0,
        lag: 0.0,
        shut: 0,
    };

    /// An answer after so many latency objectives.
    pub fn served(&mut self, lag: f64) {
        self.lag += 0.2 * (lag - self.lag);
        if self.lag > 0.25 {
            self.limit *= 1.0 - 0.1 * (self.lag / 0.25 - 1.0).min(1.0);
        } else if f64::from(self.out + 2) > self.limit {
            self.limit += 1.0 / self.limit;
        }
        self.limit = self.limit.max(1.0);
    }

    pub fn lost(&mut self) {
        self.limit = (self.limit * 0.8).max(1.0);
    }
}

/// Departure I at one gateway: what it told last, what its speaker told it, and its circle if it is a
/// speaker.
#[derive(Clone, Debug, Default)]
pub struct Circle {
    pub shed: f64,
    pub share: [f64; 3],
    pub taken: usize,
    pub answered: usize,
    pub told: i64,
    pub lowered: i64,
    /// When, taken and answered, of the circle.
    pub flow: VecDeque<(i64, usize, usize)>,
    /// Each member's open attempts, since when it tells and when it did last.
    pub members: Vec<(usize, i64, i64, usize)>,
}

impl Circle {
    /// A word of a member, or of the speaker itself.
    pub fn hear(&mut self, now: i64, from: usize, taken: usize, answered: usize, open: usize) {
        self.flow.push_back((now, taken, answered));
        match self.members.iter_mut().find(|m| m.0 == from) {
            Some(member) => {
                let since = if now - member.2 < SHORTEST {
                    member.1
                } else {
                    now
                };
                *member = (from, since, now, open);
            }
            None => self.members.push((from, now, now, open)),
        }
    }

    /// At each beat: the speaker of several lowers and raises, a member raises.
    pub fn crowd(&mut self, now: i64, speaks: bool) {
        let mut room = 1.0;
        if speaks {
            while self.flow.front().is_some_and(|f| now - f.0 > SHORTEST) {
                self.flow.pop_front();
            }
            let (taken, answered) = self
                .flow
                .iter()
                .fold((0, 0), |(t, a), f| (t + f.1, a + f.2));
            let known = self
                .members
                .iter()
                .filter(|m| now - m.1 > SHORTEST * 3 / 2 && now - m.2 < SHORTEST);
            let open: usize = known.map(|m| m.3).sum();
            let most = 0.6 * answered as f64;
            room = 1.0 - open as f64 / (most + 2.0 * most.sqrt() + 5.0);
            if room < 0.0 && now - self.lowered >= SHORTEST {
                self.lowered = now;
                let borne = answered as f64 / taken.max(1) as f64;
                self.shed = (1.0 - 0.85 * borne / (1.0 - room)).clamp(self.shed, 0.9);
            }
        }
        self.shed = (1.0 - (1.0 - self.shed) * (1.0 + 0.12 * room.max(0.0))).max(0.0);
    }

    /// The part of a request class's requests given up on: the cheapest go first, each to nine tenths.
    pub fn shed_of(&self, day: &Day, class: usize) -> f64 {
        let priority_weight = |p: usize| day.classes[p].priority_weight;
        let share = |of: &dyn Fn(f64) -> bool| {
            (0..3)
                .filter(|p| of(priority_weight(*p)))
                .map(|p| self.share[p])
                .sum::<f64>()
        };
        let (below, level) = (
            share(&|r| r < priority_weight(class)),
            share(&|r| r == priority_weight(class)),
        );
        ((self.shed - below * 0.9) / level.max(0.01)).clamp(0.0, 0.9)
    }
}

pub struct Gateway {
    pub incarnation: u32,
    pub up: bool,
    pub kept: Vec<Kept>,
    pub circle: Circle,
    pub admission: Option<AdmissionController>,
}

/// The one dispatcher's choice: the shortest queue, and whether what comes may stand behind it.
pub fn choose(day: &Day, queues: &[usize], class: usize, cheap: f64, dear: f64) -> Option<usize> {
    let wait = |s: usize| (queues[s] as f64 + 1.0 - SLOTS as f64) / (SLOTS as f64 * day.speeds[s]);
    let best = (0..queues.len()).min_by(|a, b| wait(*a).total_cmp(&wait(*b)))?;
    let most = [cheap, dear][day.level(class)];
    (wait(best) <= most).then_some(best)
}

pub fn lag(day: &Day, class: usize, took: i64) -> f64 {
    TimeDelta(took).ratio_to(day.classes[class].latency_objective)
}
