//! The driver: the only caller of the decision module. Notices become events, actions are obeyed, and a book
//! holds every txn until it has had its answer and all its submissions have ended.

use std::collections::BTreeMap;

use harrierdock_config::Names;
use harrierdock_flow_metering as flows;
use harrierdock_multi_site::{Ending, Event as Crossing};
use harrierdock_policy as policy;
use harrierdock_site_messages::Verdict;
use harrierdock_types::interface::*;
use harrierdock_types::time::{Point, Span};

use crate::dispatch::request_table::{Entry, Whereabouts};
use crate::downstream::Answer;
use crate::flow_export::exporter::Submission;
use crate::metrics::Count;
use crate::runtime::context::Notice;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Due;

pub struct Driver {
    pub module: policy::Gateway,
    pub names: Names,
    pub book: BTreeMap<TxnId, Entry>,
    /// How many attempts a txn may have.
    pub most_attempts: usize,
    pub tick: Span,
}

impl Driver {
    pub fn new(terms: Terms, names: Names, seed: u64) -> Driver {
        let (most_attempts, tick) = (terms.limits.attempts, terms.tick);
        let module = policy::Gateway::new(terms, seed);
        Driver { module, names, book: BTreeMap::new(), most_attempts, tick }
    }

    /// The build that this key stays with.
    pub fn pin_of(&self, key: Key) -> Build {
        self.module.pin_of(key)
    }

    /// How many servers are listed like this.
    pub fn count(&self, lifecycle: Lifecycle) -> usize {
        self.module.servers.values().filter(|s| s.listed.lifecycle == lifecycle).count()
    }

    /// How many txns have not had their answer.
    pub fn owed(&self) -> usize {
        self.book.values().filter(|e| !e.answered).count()
    }
}

fn count_of(outcome: Outcome) -> Count {
    match outcome {
        Outcome::Served => Count::Served,
        Outcome::Errored => Count::Errored,
        Outcome::Full => Count::Full,
        Outcome::TimedOut => Count::TimedOut,
        Outcome::ConnectFailed => Count::ConnectFailed,
        Outcome::Reset => Count::Reset,
        Outcome::Recalled => Count::Recalled,
        Outcome::Moot => Count::Moot,
    }
}

impl Gateway {
    /// Tells the module all that is waiting for it, and does what it asks for.
    pub fn settle(&mut self) {
        loop {
            while let Some((at, notice)) = self.room.inbox.pop_front() {
                self.notice(at, notice);
            }
            self.pump();
            if self.room.inbox.is_empty() {
                break;
            }
        }
        self.clients.trim(&mut self.room);
        // Guards against names of servers that pile up as these come and go; asked only once the module has heard
        // of all that have come.
        let Driver { module, names, .. } = &mut self.driver;
        if names.servers.numbers().len() > module.servers.len() {
            names.servers.retain(|server| module.servers.contains_key(&server));
        }
    }

    fn notice(&mut self, now: Point, notice: Notice) {
        match notice {
            Notice::Event(event) => {
                if let Event::Stage(news) = &event {
                    self.steward_news(news);
                    self.export.iter_mut().for_each(|export| export.stage(news));
                }
                let listed = matches!(event, Event::Roster { .. });
                self.take(now, event);
                if listed {
                    self.look_home(now);
                }
            }
            Notice::FleetMail { from, bytes } => self.fleet_mail(from, bytes),
            Notice::Taken { id, product, key, again, left, inward } => {
                let left = left.min(self.left_before_kill(now));
                let (expiry, overdue) = (now + left, now + left + self.driver.tick);
                let entry = Entry {
                    product,
                    key,
                    again,
                    taken: now,
                    expiry,
                    overdue,
                    answered: false,
                    whereabouts: Whereabouts::AtTheDoor,
                    inward: inward.is_some(),
                    sent: Vec::new(),
                };
                self.driver.book.insert(id, entry);
                self.room.dues.set(overdue, Due::Txn(id));
                if let Some(export) = &mut self.export {
                    export.taken();
                }
                if self.across.is_some() && inward.is_none() {
                    self.sites(now, Crossing::Txn { id, product, left });
                } else {
                    self.hand_in(now, id, left);
                }
            }
            Notice::Left { id } => {
                if self.close_txn(id, Ending::Left, flows::Outcome::Left) {
                    self.answer_across(now, id, Verdict::Voided, None, Vec::new());
                    self.sites(now, Crossing::Left { id });
                    self.take(now, Event::Left { id });
                    self.strike(id);
                }
            }
            Notice::Closed { id, attempt, outcome, told } => {
                self.room.counters.add(count_of(outcome));
                let entry = self.driver.book.get_mut(&id);
                let sent = entry.and_then(|e| e.sent.get_mut(attempt)).filter(|s| s.out);
                self.room.counters.must(sent.is_some(), "a submission ends once");
                let Some(sent) = sent else { return };
                sent.out = false;
                sent.never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
                let (server, took, out) = (sent.server, now - sent.at, sent.octets);
                if self.export.is_some() {
                    let back = told.as_ref().map_or(0, |t| t.body.len());
                    self.submission_ended(now, id, (server, attempt), outcome, took, (out, back));
                }
                if let Some(mut told) = told {
                    if !self.close_txn(id, Ending::Settled, flows::Outcome::Settled) {
                        self.room.pool.give_back(&mut told.buffer);
                    } else if self.is_inward(id) {
                        let body = told.buffer[told.body.clone()].to_vec();
                        self.room.pool.give_back(&mut told.buffer);
                        let build = self.driver.module.servers.get(&server).map(|s| s.listed.build);
                        self.answer_across(now, id, Verdict::Settled, build, body);
                    } else {
                        self.clients.answer(&mut self.room, id, Answer::Settled(told));
                    }
                }
                let ended = self.driver.book.get(&id).is_none_or(|e| e.answered);
                let load = Load::default();
                self.take(now, Event::Closed { id, attempt, server, outcome, took, ended, load });
                self.strike(id);
            }
        }
    }

    /// The txn has its answer, or needs none any more. Gives back whether it had none before.
    fn close_txn(&mut self, id: TxnId, ending: Ending, outcome: flows::Outcome) -> bool {
        let Some(entry) = self.driver.book.get_mut(&id).filter(|e| !e.answered) else { return false };
        entry.answered = true;
        self.room.dues.clear(entry.overdue, Due::Txn(id));
        let (product, taken, whereabouts) = (entry.product, entry.taken, entry.whereabouts);
        if let Some(export) = &mut self.export {
            let road = match (entry.inward, whereabouts) {
                (true, _) => flows::Road::Inward,
                (_, Whereabouts::Across) => flows::Road::Across,
                _ => flows::Road::Here,
            };
            let now = self.room.clock.now();
            export.txn(now, product, outcome, road, now - taken);
        }
        if self.across.is_some() && matches!(whereabouts, Whereabouts::Here | Whereabouts::Back) {
            let now = self.room.now();
            self.sites(now, Crossing::Ended { product, ending, took: now - taken });
        }
        true
    }

    fn submission_ended(
        &mut self,
        now: Point,
        id: TxnId,
        (server, attempt): (ServerIx, usize),
        ended: Outcome,
        took: Span,
        (out, back): (usize, usize),
    ) {
        let Gateway { export: Some(export), driver, .. } = self else { return };
        let Some(entry) = driver.book.get(&id) else { return };
        let build = driver.module.servers.get(&server).map_or(0, |s| s.listed.build);
        let (product, second, inward) = (entry.product, attempt > 0, entry.inward);
        let of = Submission { product, build, server, ended, took, second, inward, out, back };
        export.submission(now, &of);
    }

    pub fn is_inward(&self, id: TxnId) -> bool {
        self.driver.book.get(&id).is_some_and(|e| e.inward)
    }

    /// The module is to serve it, within what is left.
    pub fn hand_in(&mut self, now: Point, id: TxnId, left: Span) {
        let Some(entry) = self.driver.book.get_mut(&id).filter(|e| !e.answered) else { return };
        let across = entry.whereabouts == Whereabouts::Across;
        entry.whereabouts = if across { Whereabouts::Back } else { Whereabouts::Here };
        // Guards the time in which a referenced repeat is dropped: what has come back is sent no later.
        entry.expiry = entry.expiry.min(now + left);
        let (product, key, again) = (entry.product, entry.key, entry.again);
        self.take(now, Event::Txn { id, product, tenant: None, key, again, left, cost: None });
    }

    /// A txn that is to cross: its product, its key, and whether it is a client's repeat.
    pub fn crosses(&mut self, id: TxnId) -> Option<(ProductIx, Option<Key>, bool)> {
        let entry = self.driver.book.get_mut(&id).filter(|e| !e.answered)?;
        entry.whereabouts = Whereabouts::Across;
        Some((entry.product, entry.key, entry.again))
    }

    /// The module declines it. What never ran here, and was not across yet, may be of use to the other site.
    fn declined(&mut self, now: Point, id: TxnId, retry_after: Option<Span>) {
        let entry = self.driver.book.get(&id).filter(|e| !e.answered && !e.inward);
        let spared = entry.filter(|e| e.whereabouts == Whereabouts::Here && !e.may_have_run());
        match spared.map(|e| (e.product, e.expiry - now)).filter(|_| self.across.is_some()) {
            Some((product, left)) => {
                if let Some(entry) = self.driver.book.get_mut(&id) {
                    entry.whereabouts = Whereabouts::AtTheDoor;
                }
                self.sites(now, Crossing::Spared { id, product, left });
            }
            None => self.answer(id, Answer::Declined { retry_after }),
        }
    }

    /// Takes a txn out of the book once nothing of it is left.
    fn strike(&mut self, id: TxnId) {
        let over = |e: &Entry| e.answered && e.sent.iter().all(|s| !s.out);
        if self.driver.book.get(&id).is_some_and(over) {
            self.driver.book.remove(&id);
        }
    }

    pub fn take(&mut self, now: Point, event: Event) {
        for action in self.driver.module.take(now, event) {
            self.obey(now, action);
        }
    }

    fn obey(&mut self, now: Point, action: Action) {
        match action {
            Action::Submit { id, server, timeout } => self.submit(now, id, server, timeout),
            Action::Recall { id, attempt } => self.servers.recall(&mut self.room, id, attempt),
            Action::Decline { id, retry_after } => self.declined(now, id, retry_after),
            Action::Void { id } => self.answer(id, Answer::Voided),
            Action::Vote { build, stage, verdict } => {
                if !self.vote_by_steward(build, stage, verdict) {
                    let room = &mut self.room;
                    self.platform.iter_mut().for_each(|p| p.vote(room, build, stage, verdict));
                }
            }
            Action::Tell { to, message } => {
                if let Some(peers) = &self.peers {
                    peers.tell(&mut self.room, to, &message);
                }
            }
            Action::Probe { server } => self.servers.probe(&mut self.room, server),
            // The watch stands from the start on.
            Action::Listen => {}
            Action::Wake { after } => self.room.dues.set(now + after, Due::Wake),
        }
    }

    pub fn answer(&mut self, id: TxnId, answer: Answer) {
        let ran = self.driver.book.get(&id).is_some_and(Entry::may_have_run);
        let ending = match &answer {
            Answer::Settled(_) => Ending::Settled,
            Answer::Declined { .. } if !ran => Ending::Declined,
            Answer::Declined { .. } | Answer::Voided => Ending::Failed,
        };
        let outcome = match &answer {
            Answer::Settled(_) => flows::Outcome::Settled,
            Answer::Declined { .. } => flows::Outcome::Declined,
            Answer::Voided => flows::Outcome::Voided,
        };
        if !self.close_txn(id, ending, outcome) {
            return;
        }
        if self.is_inward(id) {
            let verdict = match ending {
                Ending::Declined => Verdict::NotTaken,
                _ if matches!(answer, Answer::Declined { .. }) => Verdict::Declined { ran },
                _ => Verdict::Voided,
            };
            let now = self.room.now();
            self.answer_across(now, id, verdict, None, Vec::new());
        } else {
            self.clients.answer(&mut self.room, id, answer);
        }
        self.strike(id);
    }

    /// Guards the rule that no txn is lost, should the module ever leave one without an answer.
    pub fn overdue(&mut self, id: TxnId) {
        self.room.counters.must(false, "a txn has its answer by its expiry");
        self.answer(id, Answer::Voided);
        let now = self.room.now();
        self.sites(now, Crossing::Left { id });
        self.take(now, Event::Left { id });
    }

    /// Gives up on every txn that has no answer yet.
    pub fn void_all(&mut self) {
        let now = self.room.now();
        let owed = self.driver.book.iter().filter(|(_, e)| !e.answered).map(|(id, _)| *id);
        for id in owed.collect::<Vec<TxnId>>() {
            self.answer(id, Answer::Voided);
            self.take(now, Event::Left { id });
        }
        self.settle();
    }

    pub fn wake(&mut self) {
        let now = self.room.now();
        self.take(now, Event::Wake);
    }
}
