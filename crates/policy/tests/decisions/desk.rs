//! A gateway at a desk: told events by hand at stated milliseconds, its decisions written down as a trace.

use expect_test::Expect;
use harrierdock_policy::Gateway;
use harrierdock_types::gossip as mail;
use harrierdock_types::interface::*;
use harrierdock_types::time::{Point, Span};

pub const ASK: ProductIx = 0;
pub const NOTE: ProductIx = 1;
pub const LODGE: ProductIx = 2;

pub const FINE: fn(ServerIx) -> (Outcome, i64) = |_| (Outcome::Served, 50);

pub fn ms(n: i64) -> Span {
    Span(n * 1000)
}

/// Three products, two zones, two stages; a single balancer unless a test says otherwise.
pub fn terms() -> Terms {
    let product = |repeat| ProductTerms {
        repeat,
        sla: ms(500),
        expiry: ms(1500),
        revenue: 1.0,
        ..ProductTerms::default()
    };
    let noted = Repeat::Referenced { group: Group::Zone, memory: ms(1000) };
    Terms {
        balancers: 1,
        tick: ms(5),
        products: vec![product(Repeat::InquiryLike), product(noted), product(Repeat::OnceOnly)],
        release: ReleaseTerms {
            caps: vec![0.2, 1.0],
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
            ramp: ms(5000),
            fall: ms(1000),
            fall_multiple: 3.0,
            ask_within: ms(8000),
            drain_grace: ms(500),
        },
        limits: LimitTerms {
            attempts: 3,
            recall: true,
            tell: true,
            retry_after: Some(ms(400)),
            ..LimitTerms::default()
        },
        ..Terms::default()
    }
}

pub fn server(server: ServerIx, build: Build) -> Listed {
    Listed { server, build, weight: 1.0, zone: server % 2, mark: server as u16, ..Listed::default() }
}

pub struct Desk {
    gateway: Gateway,
    now: Point,
    wake: Option<Point>,
    next: u64,
    pub again: bool,
    pub trace: String,
    pub sent: Vec<(u64, ServerIx)>,
}

impl Desk {
    pub fn new(terms: Terms) -> Desk {
        let gateway = Gateway::new(terms, 7);
        Desk {
            gateway,
            now: Point(0),
            wake: None,
            next: 0,
            again: false,
            trace: String::new(),
            sent: Vec::new(),
        }
    }

    /// With servers 0.. of the given builds, and the last of the builds as the newest.
    pub fn with(terms: Terms, builds: &[Build], phase: Phase) -> Desk {
        let mut desk = Desk::new(terms);
        let lines = builds.iter().enumerate().map(|(ix, b)| server(ix, *b)).collect();
        desk.tell(Event::Roster { scope: Scope::Whole, lines });
        desk.stage(builds.last().copied().unwrap_or(1), 0, phase, 1.0);
        desk
    }

    /// How much it keeps that comes and goes.
    pub fn kept(&self) -> String {
        let (servers, marks) = (self.gateway.servers.len(), self.gateway.marks.len());
        format!("{servers} servers, {marks} marks, {} keys", self.gateway.pins.len())
    }

    pub fn mail(&mut self, from: PeerIx, text: &str) {
        if let Some(message) = mail::read(text) {
            self.tell(Event::Mail { from, message });
        }
    }

    pub fn tell(&mut self, event: Event) {
        for action in self.gateway.take(self.now, event) {
            let at = self.now.0 / 1000;
            let line = match action {
                Action::Wake { after } => {
                    self.wake = Some(self.now + after);
                    continue;
                }
                Action::Submit { id, server, .. } => {
                    self.sent.push((id.0, server));
                    format!("submit #{} to {server}", id.0)
                }
                Action::Recall { id, attempt } => format!("recall #{} attempt {attempt}", id.0),
                Action::Decline { id, retry_after } => {
                    format!("decline #{}, back in {} ms", id.0, retry_after.map_or(0, |s| s.0 / 1000))
                }
                Action::Void { id } => format!("void #{}", id.0),
                Action::Vote { build, stage, verdict } => {
                    format!("vote {verdict:?} on {build} stage {stage}")
                }
                Action::Tell { to: None, message } => format!("tell {}", mail::write(&message)),
                Action::Tell { to: Some(to), message } => format!("tell {to} {}", mail::write(&message)),
                other => format!("{other:?}"),
            };
            self.trace.push_str(&format!("{at}: {line}\n"));
        }
    }

    /// Lets time pass, with the timer's wakes on the way.
    pub fn until(&mut self, at: i64) {
        while let Some(wake) = self.wake.filter(|w| *w <= Point(0) + ms(at)) {
            self.now = wake.max(self.now);
            self.wake = None;
            self.tell(Event::Wake);
        }
        self.now = Point(0) + ms(at);
    }

    pub fn pass(&mut self, span: i64) {
        self.until(self.now.0 / 1000 + span);
    }

    pub fn stage(&mut self, build: Build, stage: usize, phase: Phase, cap: f64) {
        self.word(build, stage, phase, cap, Word::Valid, false);
    }

    pub fn word(
        &mut self,
        build: Build,
        stage: usize,
        phase: Phase,
        cap: f64,
        word: Word,
        answers_vote: bool,
    ) {
        let age = Span::ZERO;
        self.tell(Event::Stage(StageNews { build, stage, phase, cap, word, answers_vote, age }));
    }

    /// A txn comes in; its number is given back.
    pub fn txn(&mut self, product: ProductIx, key: Option<u64>) -> u64 {
        self.next += 1;
        let id = TxnId(self.next);
        let key = key.map(Key);
        self.tell(Event::Txn {
            id,
            product,
            tenant: None,
            key,
            again: self.again,
            left: ms(1500),
            cost: None,
        });
        self.next
    }

    /// An attempt ends; `ended` as the wire would say it.
    pub fn close(&mut self, txn: u64, attempt: usize, outcome: Outcome, took: i64) {
        let server = self.sent.iter().filter(|s| s.0 == txn).nth(attempt).map_or(0, |s| s.1);
        let ended = outcome == Outcome::Served;
        let (id, took, load) = (TxnId(txn), ms(took), Load::default());
        self.tell(Event::Closed { id, attempt, server, outcome, took, ended, load });
    }

    /// `count` txns a given time apart, each answered as `how` says of its server; returns the servers used.
    pub fn traffic(
        &mut self,
        count: usize,
        apart: i64,
        how: impl Fn(ServerIx) -> (Outcome, i64),
    ) -> Vec<ServerIx> {
        let from = self.sent.len();
        for _ in 0..count {
            let at = self.now.0 / 1000 + apart;
            self.until(at);
            let txn = self.txn(LODGE, None);
            if let Some(&(_, to)) = self.sent.last().filter(|s| s.0 == txn) {
                let (outcome, took) = how(to);
                self.close(txn, 0, outcome, took);
            }
        }
        self.sent[from..].iter().map(|s| s.1).collect()
    }

    /// The trace without the submissions and void notices of bulk traffic.
    pub fn decisions(&self) -> String {
        let bulk = |l: &&str| !l.contains("submit") && !l.contains("void");
        self.trace.lines().filter(bulk).map(|l| format!("{l}\n")).collect()
    }
}

pub fn share(used: &[ServerIx], of: ServerIx) -> String {
    format!("{} of {}", used.iter().filter(|s| **s == of).count(), used.len())
}

pub fn check(desk: &Desk, expected: Expect) {
    expected.assert_eq(&desk.trace);
}
