//! A hall full of gateways on one told clock: each is told events by name and time, its mail goes to its peers,
//! its votes to a platform that takes so many a second, its submissions to servers that answer as a test says.

use std::collections::BTreeMap;

use harrierdock::interface::*;
use harrierdock::mail;
use harrierdock::policy::Gateway;
use harrierdock::time::{Point, Span};

pub fn ms(n: i64) -> Span {
    Span(n * 1000)
}

pub fn terms(balancers: usize) -> Terms {
    let product = |repeat| ProductTerms { repeat, sla: ms(800), expiry: ms(2400), ..ProductTerms::default() };
    let noted = Repeat::Referenced { group: Group::All, memory: ms(1600) };
    Terms {
        balancers,
        tick: ms(1),
        products: vec![product(Repeat::InquiryLike), product(noted), product(Repeat::OnceOnly)],
        release: ReleaseTerms {
            caps: vec![0.1, 1.0],
            steps: vec![0.2, 1.0],
            window: ms(2000),
            free: 1.0,
            vote_life: ms(4000),
            vote_wait: ms(800),
            votes_a_second: 600.0,
            ..ReleaseTerms::default()
        },
        rules: RuleTerms {
            cold_from: 0.3,
            ramp: ms(3000),
            fall: ms(1000),
            fall_multiple: 4.0,
            ..RuleTerms::default()
        },
        limits: LimitTerms {
            attempts: 3,
            recall: true,
            tell: true,
            retry_after: Some(ms(1000)),
            connect: ms(250),
            idle: ms(30_000),
            ..LimitTerms::default()
        },
        ..Terms::default()
    }
}

/// Takes so many calls a second, twice that at once after a rest; a vote stands for its life.
#[derive(Default)]
pub struct Platform {
    calls_a_second: f64,
    life: Span,
    spare: f64,
    filled: Point,
    standing: BTreeMap<PeerIx, Point>,
    pub accepted: usize,
    pub refused: usize,
    pub most_standing: usize,
    pub first_call: Option<Point>,
}

impl Platform {
    fn call(&mut self, now: Point, from: PeerIx) -> bool {
        self.first_call.get_or_insert(now);
        let full = 2.0 * self.calls_a_second;
        self.spare = (self.spare + (now - self.filled).as_secs() * self.calls_a_second).min(full);
        self.filled = now;
        if self.spare < 1.0 {
            self.refused += 1;
            return false;
        }
        self.spare -= 1.0;
        self.accepted += 1;
        self.standing.insert(from, now + self.life);
        self.standing.retain(|_, until| *until > now);
        self.most_standing = self.most_standing.max(self.standing.len());
        true
    }
}

pub struct Hall {
    pub gateways: Vec<Gateway>,
    pub platform: Platform,
    now: Point,
    /// What is to come, in order: a number keeps those of one moment in theirs.
    due: BTreeMap<(Point, u64), (PeerIx, Event)>,
    wakes: Vec<Option<Point>>,
    news: Option<StageNews>,
    count: u64,
}

impl Hall {
    pub fn new(count: usize, set: impl Fn(&mut Terms)) -> Hall {
        let one = |ordinal| {
            let mut terms = Terms { ordinal, ..terms(count) };
            set(&mut terms);
            Gateway::new(terms, 7 + ordinal as u64)
        };
        let gateways: Vec<Gateway> = (0..count).map(one).collect();
        let told = &gateways[0].terms.release;
        let (calls_a_second, life) = (told.votes_a_second, told.vote_life);
        let platform = Platform { calls_a_second, life, spare: 2.0 * calls_a_second, ..Platform::default() };
        let wakes = vec![None; count];
        Hall { gateways, platform, now: Point(0), due: BTreeMap::new(), wakes, news: None, count: 0 }
    }

    fn plan(&mut self, after: Span, to: PeerIx, event: Event) {
        self.count += 1;
        self.due.insert((self.now + after, self.count), (to, event));
    }

    pub fn all(&mut self, event: &Event) {
        (0..self.gateways.len()).for_each(|to| self.tell(to, event.clone()));
    }

    /// Servers 0.. of these builds, all of them up for long.
    pub fn list(&mut self, builds: &[Build]) {
        let line = |(server, build): (ServerIx, &Build)| Listed {
            server,
            build: *build,
            zone: server % 2,
            mark: server as u16,
            ..Listed::default()
        };
        let lines = builds.iter().enumerate().map(line).collect();
        self.all(&Event::Roster { scope: Scope::Whole, lines });
    }

    pub fn news(&mut self, build: Build, stage: usize, phase: Phase, cap: f64) {
        let (word, answers_vote, age) = (Word::Valid, false, Span::ZERO);
        let news = StageNews { build, stage, phase, cap, word, answers_vote, age };
        self.news = Some(news.clone());
        self.all(&Event::Stage(news));
    }

    pub fn mail_all(&mut self, from: PeerIx, text: &str) {
        if let Some(message) = mail::read(text) {
            self.all(&Event::Mail { from, message });
        }
    }

    pub fn tell(&mut self, to: PeerIx, event: Event) {
        for action in self.gateways[to].take(self.now, event) {
            match action {
                Action::Wake { after } => self.wakes[to] = Some(self.now + after),
                Action::Vote { .. } => {
                    let counts = self.platform.call(self.now, to);
                    let word = if counts { Word::Valid } else { Word::Full };
                    if let Some(news) = self.news.clone() {
                        self.plan(ms(80), to, Event::Stage(StageNews { word, answers_vote: true, ..news }));
                    }
                }
                Action::Tell { to: Some(peer), message } => {
                    self.plan(ms(5), peer, Event::Mail { from: to, message });
                }
                Action::Tell { to: None, message } => {
                    for peer in (0..self.gateways.len()).filter(|p| *p != to) {
                        self.plan(ms(5), peer, Event::Mail { from: to, message: message.clone() });
                    }
                }
                _ => {}
            }
        }
    }

    pub fn until(&mut self, at: i64) {
        let end = Point(0) + ms(at);
        loop {
            let wake = self.wakes.iter().enumerate().filter_map(|(g, w)| w.map(|w| (w, g))).min();
            let event = self.due.first_key_value().map(|(k, _)| k.0);
            match (wake, event) {
                (Some((at, g)), event) if at <= end && event.is_none_or(|e| at < e) => {
                    self.now = at.max(self.now);
                    self.wakes[g] = None;
                    self.tell(g, Event::Wake);
                }
                (_, Some(at)) if at <= end => {
                    self.now = at;
                    if let Some((_, (to, event))) = self.due.pop_first() {
                        self.tell(to, event);
                    }
                }
                _ => break,
            }
        }
        self.now = end;
    }
}
