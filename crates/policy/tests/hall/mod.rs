//! A hall full of gateways on one told clock: each is told events by name and time, its mail goes to its peers,
//! its votes to a platform that takes so many a second, its submissions to servers that answer as a test says.

use std::collections::{BTreeMap, BTreeSet};

use harrierdock_policy::Gateway;
use harrierdock_types::gossip as mail;
use harrierdock_types::interface::*;
use harrierdock_types::time::{Point, Span};

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

/// Works on so many at a time, in the order in which they come; what it is asked for too late it passes over.
#[derive(Clone)]
pub struct Machine {
    free: Vec<Point>,
    pub work: Span,
    /// Says nothing at all, and lets no connection come up.
    pub lost: bool,
    /// Fails all at once.
    pub failing: bool,
    pub got: usize,
}

impl Machine {
    /// When it will have answered what comes now, if it does by then.
    fn answers(&mut self, now: Point, until: Point) -> Option<Point> {
        self.got += 1;
        let free = self.free.iter_mut().min().filter(|_| !self.lost)?;
        let start = now.max(*free);
        if start >= until {
            return None;
        }
        *free = start + self.work;
        Some(*free).filter(|done| *done < until)
    }
}

/// What became of the txns of one second and product.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ended {
    pub asked: usize,
    pub in_time: usize,
    pub declined: usize,
}

pub struct Hall {
    pub gateways: Vec<Gateway>,
    pub platform: Platform,
    pub machines: Vec<Machine>,
    pub ended: BTreeMap<(i64, ProductIx), Ended>,
    /// The txns that are out: product, when taken, when over.
    txns: BTreeMap<TxnId, (ProductIx, Point, Point)>,
    attempts: BTreeMap<TxnId, usize>,
    /// Which gateway has sent something to which server.
    pub met: BTreeSet<(PeerIx, ServerIx)>,
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
        Hall {
            gateways,
            platform,
            machines: Vec::new(),
            ended: BTreeMap::new(),
            txns: BTreeMap::new(),
            attempts: BTreeMap::new(),
            met: BTreeSet::new(),
            now: Point(0),
            due: BTreeMap::new(),
            wakes: vec![None; count],
            news: None,
            count: 0,
        }
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

    /// Servers that work on `cores` txns at a time, each for so long; all run build 1.
    pub fn serve(&mut self, servers: usize, cores: usize, work: Span) {
        let machine = Machine { free: vec![Point(0); cores], work, lost: false, failing: false, got: 0 };
        self.machines = vec![machine; servers];
        self.list(&vec![1; servers]);
        self.news(1, 0, Phase::Released, 1.0);
    }

    /// Each gateway takes a txn each `apart`, of one product after the other, until then.
    pub fn traffic(&mut self, apart: Span, until: i64) {
        let (count, from) = (self.gateways.len(), self.now);
        let end = Point(0) + ms(until);
        for g in 0..count {
            let mut at = from + apart * (g as f64 / count as f64);
            let mut n = g;
            while at < end {
                self.count += 1;
                let (id, product) = (TxnId(self.count), n % 3);
                let left = self.gateways[g].terms.products[product].expiry;
                let event =
                    Event::Txn { id, product, tenant: None, key: None, again: false, left, cost: None };
                self.due.insert((at, self.count), (g, event));
                (at, n) = (at + apart, n + 1);
            }
        }
        self.until(until);
    }

    /// All of some seconds and a product.
    pub fn over(&self, seconds: std::ops::Range<i64>, product: ProductIx) -> Ended {
        let of = self.ended.iter().filter(|((s, p), _)| seconds.contains(s) && *p == product);
        of.fold(Ended::default(), |all, (_, e)| Ended {
            asked: all.asked + e.asked,
            in_time: all.in_time + e.in_time,
            declined: all.declined + e.declined,
        })
    }

    fn end(&mut self, id: TxnId, how: impl Fn(&mut Ended, bool)) {
        let Some((product, taken, _)) = self.txns.remove(&id) else { return };
        let ended = self.ended.entry((taken.0 / 1_000_000, product)).or_default();
        how(ended, self.now - taken <= ms(800));
    }

    fn submit(&mut self, from: PeerIx, id: TxnId, server: ServerIx) {
        let Some(&(_, _, over)) = self.txns.get(&id) else { return };
        let attempt = *self.attempts.entry(id).and_modify(|a| *a += 1).or_insert(0);
        let machine = &mut self.machines[server];
        self.met.insert((from, server));
        // Half of the connections are kept ones, on which a lost server says nothing.
        let (outcome, done) = match machine.answers(self.now, over) {
            _ if machine.lost && id.0.is_multiple_of(2) => (Outcome::ConnectFailed, self.now + ms(250)),
            _ if machine.failing => (Outcome::Errored, self.now + ms(5)),
            Some(done) => (Outcome::Served, done),
            None => (Outcome::TimedOut, over),
        };
        let (took, ended, load) = (done - self.now, false, Load::default());
        self.plan(took, from, Event::Closed { id, attempt, server, outcome, took, ended, load });
    }

    pub fn tell(&mut self, to: PeerIx, event: Event) {
        match &event {
            Event::Txn { id, product, left, .. } => {
                self.txns.insert(*id, (*product, self.now, self.now + *left));
                self.ended.entry((self.now.0 / 1_000_000, *product)).or_default().asked += 1;
            }
            Event::Closed { id, outcome: Outcome::Served, .. } => {
                self.end(*id, |e, in_time| e.in_time += usize::from(in_time));
            }
            _ => {}
        }
        for action in self.gateways[to].take(self.now, event) {
            match action {
                Action::Submit { id, server, .. } => self.submit(to, id, server),
                Action::Decline { id, .. } => self.end(id, |e, _| e.declined += 1),
                Action::Void { id } => self.end(id, |_, _| {}),
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
