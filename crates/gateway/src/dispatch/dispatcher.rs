//! The driver: the only caller of the decision module. Notices become events, actions are obeyed, and a book
//! holds every request until it has had its answer and all its attempts have ended.

use std::collections::BTreeMap;

use harrierdock_config::Names;
use harrierdock_flow_export::{AttemptEnded, RequestEnded};
use harrierdock_flow_metering as flows;
use harrierdock_multi_site::{Event as SiteEvent, RequestEnd};
use harrierdock_policy as policy;
use harrierdock_site_messages::ForwardingOutcome;
use harrierdock_types::*;
use harrierdock_types::{TimeDelta, Timestamp};

use crate::dispatch::request_table::{Entry, Whereabouts};
use crate::downstream::Answer;
use crate::metrics::Count;
use crate::runtime::context::Notice;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Due;

pub struct Driver {
    pub module: policy::Policy,
    pub names: Names,
    pub book: BTreeMap<RequestId, Entry>,
    /// How many attempts a request may have.
    pub most_attempts: usize,
    pub tick: TimeDelta,
}

impl Driver {
    pub fn new(terms: Parameters, names: Names, seed: u64) -> Driver {
        let (most_attempts, tick) = (terms.limits.max_attempts, terms.tick);
        let module = policy::Policy::new(terms, seed);
        Driver {
            module,
            names,
            book: BTreeMap::new(),
            most_attempts,
            tick,
        }
    }

    /// The build that this key stays with.
    pub fn pin_of(&self, key: AffinityKey) -> BuildId {
        self.module.sticky_build(key)
    }

    /// How many endpoints are listed like this.
    pub fn count(&self, lifecycle: Lifecycle) -> usize {
        self.module
            .endpoints()
            .filter(|endpoint| endpoint.lifecycle == lifecycle)
            .count()
    }

    /// How many requests have not had their answer.
    pub fn owed(&self) -> usize {
        self.book.values().filter(|e| !e.answered).count()
    }
}

fn count_of(outcome: AttemptOutcome) -> Count {
    match outcome {
        AttemptOutcome::Succeeded => Count::Served,
        AttemptOutcome::ServerError => Count::Errored,
        AttemptOutcome::Rejected => Count::Full,
        AttemptOutcome::TimedOut => Count::TimedOut,
        AttemptOutcome::ConnectFailed => Count::ConnectFailed,
        AttemptOutcome::Reset => Count::Reset,
        AttemptOutcome::Cancelled => Count::Recalled,
        AttemptOutcome::NotSent => Count::Moot,
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
        // Guards against names of endpoints that pile up as these come and go; asked only once the module has heard
        // of all that have come.
        let Driver { module, names, .. } = &mut self.driver;
        if names.endpoints.ids().len() > module.endpoint_count() {
            names
                .endpoints
                .retain(|endpoint| module.endpoint(endpoint).is_some());
        }
    }

    fn notice(&mut self, now: Timestamp, notice: Notice) {
        match notice {
            Notice::Event(event) => {
                if let Event::RolloutUpdated(news) = &event {
                    self.steward_news(news);
                    self.export
                        .iter_mut()
                        .for_each(|export| export.set_rollout(news));
                }
                let listed = matches!(event, Event::EndpointsUpdated { .. });
                self.take(now, event);
                if listed {
                    self.look_home(now);
                }
            }
            Notice::FleetMail { from, bytes } => self.fleet_mail(from, bytes),
            Notice::Taken {
                id,
                class,
                key,
                again,
                left,
                inward,
            } => {
                let left = left.min(self.left_before_kill(now));
                let (expiry, overdue) = (now + left, now + left + self.driver.tick);
                let entry = Entry {
                    class,
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
                    export.count_received_request();
                }
                if self.across.is_some() && inward.is_none() {
                    self.sites(
                        now,
                        SiteEvent::RequestReceived {
                            id,
                            class,
                            remaining: left,
                        },
                    );
                } else {
                    self.hand_in(now, id, left);
                }
            }
            Notice::Left { id } => {
                if self.close_txn(
                    id,
                    RequestEnd::ClientGone,
                    flows::FlowOutcome::ClientDisconnected,
                ) {
                    self.answer_across(now, id, ForwardingOutcome::Failed, None, Vec::new());
                    self.sites(now, SiteEvent::ClientGone { id });
                    self.take(now, Event::ClientDisconnected { id });
                    self.strike(id);
                }
            }
            Notice::Closed {
                id,
                attempt,
                outcome,
                told,
            } => {
                self.room.counters.add(count_of(outcome));
                let entry = self.driver.book.get_mut(&id);
                let sent = entry
                    .and_then(|e| e.sent.get_mut(attempt))
                    .filter(|s| s.out);
                self.room
                    .counters
                    .must(sent.is_some(), "a submission ends once");
                let Some(sent) = sent else { return };
                sent.out = false;
                sent.never_ran = matches!(
                    outcome,
                    AttemptOutcome::Rejected
                        | AttemptOutcome::ConnectFailed
                        | AttemptOutcome::NotSent
                );
                let (endpoint, duration, out) = (sent.endpoint, now - sent.at, sent.octets);
                if self.export.is_some() {
                    let back = told.as_ref().map_or(0, |t| t.body.len());
                    self.submission_ended(
                        now,
                        id,
                        (endpoint, attempt),
                        outcome,
                        duration,
                        (out, back),
                    );
                }
                if let Some(mut told) = told {
                    if !self.close_txn(
                        id,
                        RequestEnd::Succeeded,
                        flows::FlowOutcome::RequestSucceeded,
                    ) {
                        self.room.buffers.release(&mut told.buffer);
                    } else if self.is_inward(id) {
                        let body = told.buffer[told.body.clone()].to_vec();
                        self.room.buffers.release(&mut told.buffer);
                        let build = self
                            .driver
                            .module
                            .endpoint(endpoint)
                            .map(|record| record.build);
                        self.answer_across(now, id, ForwardingOutcome::Succeeded, build, body);
                    } else {
                        self.clients
                            .answer(&mut self.room, id, Answer::Settled(told));
                    }
                }
                let request_finished = self.driver.book.get(&id).is_none_or(|e| e.answered);
                self.take(
                    now,
                    Event::AttemptFinished {
                        id,
                        attempt,
                        endpoint,
                        outcome,
                        duration,
                        request_finished,
                    },
                );
                self.strike(id);
            }
        }
    }

    /// The request has its answer, or needs none any more. Gives back whether it had none before.
    fn close_txn(
        &mut self,
        id: RequestId,
        ending: RequestEnd,
        outcome: flows::FlowOutcome,
    ) -> bool {
        let Some(entry) = self.driver.book.get_mut(&id).filter(|e| !e.answered) else {
            return false;
        };
        entry.answered = true;
        self.room.dues.cancel(entry.overdue, Due::Txn(id));
        let (class, taken, whereabouts) = (entry.class, entry.taken, entry.whereabouts);
        if let Some(export) = &mut self.export {
            let path = match (entry.inward, whereabouts) {
                (true, _) => flows::FlowPath::Inbound,
                (_, Whereabouts::Across) => flows::FlowPath::Forwarded,
                _ => flows::FlowPath::Local,
            };
            let now = self.room.clock.now();
            let ended = RequestEnded {
                class,
                outcome,
                path,
                duration: now - taken,
            };
            export.record_request(now, &ended);
        }
        if self.across.is_some() && matches!(whereabouts, Whereabouts::Here | Whereabouts::Back) {
            let now = self.room.now();
            self.sites(
                now,
                SiteEvent::RequestEnded {
                    class,
                    end: ending,
                    elapsed: now - taken,
                },
            );
        }
        true
    }

    fn submission_ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        (endpoint, attempt): (EndpointId, usize),
        outcome: AttemptOutcome,
        duration: TimeDelta,
        (request_octets, response_octets): (usize, usize),
    ) {
        let Gateway {
            export: Some(export),
            driver,
            ..
        } = self
        else {
            return;
        };
        let Some(entry) = driver.book.get(&id) else {
            return;
        };
        let build = driver
            .module
            .endpoint(endpoint)
            .map_or(BuildId(0), |record| record.build);
        let ended = AttemptEnded {
            class: entry.class,
            build,
            endpoint,
            outcome,
            duration,
            is_retry: attempt > 0,
            is_inbound: entry.inward,
            request_octets,
            response_octets,
        };
        export.record_attempt(now, &ended);
    }

    pub fn is_inward(&self, id: RequestId) -> bool {
        self.driver.book.get(&id).is_some_and(|e| e.inward)
    }

    /// The module is to serve it, within what is left.
    pub fn hand_in(&mut self, now: Timestamp, id: RequestId, left: TimeDelta) {
        let Some(entry) = self.driver.book.get_mut(&id).filter(|e| !e.answered) else {
            return;
        };
        let across = entry.whereabouts == Whereabouts::Across;
        entry.whereabouts = if across {
            Whereabouts::Back
        } else {
            Whereabouts::Here
        };
        // Guards the time in which a referenced repeat is dropped: what has come back is sent no later.
        entry.expiry = entry.expiry.min(now + left);
        let (class, key, is_client_retry) = (entry.class, entry.key, entry.again);
        self.take(
            now,
            Event::RequestReceived {
                id,
                class,
                key,
                is_client_retry,
                time_left: left,
            },
        );
    }

    /// A request that is to cross: its request class, its key, and whether it is a client's repeat.
    pub fn crosses(&mut self, id: RequestId) -> Option<(ClassId, Option<AffinityKey>, bool)> {
        let entry = self.driver.book.get_mut(&id).filter(|e| !e.answered)?;
        entry.whereabouts = Whereabouts::Across;
        Some((entry.class, entry.key, entry.again))
    }

    /// The module declines it. What never ran here, and was not across yet, may be of use to the other site.
    fn declined(&mut self, now: Timestamp, id: RequestId, retry_after: Option<TimeDelta>) {
        let entry = self
            .driver
            .book
            .get(&id)
            .filter(|e| !e.answered && !e.inward);
        let spared = entry.filter(|e| e.whereabouts == Whereabouts::Here && !e.may_have_run());
        match spared
            .map(|e| (e.class, e.expiry - now))
            .filter(|_| self.across.is_some())
        {
            Some((class, left)) => {
                if let Some(entry) = self.driver.book.get_mut(&id) {
                    entry.whereabouts = Whereabouts::AtTheDoor;
                }
                self.sites(
                    now,
                    SiteEvent::LocallyRejected {
                        id,
                        class,
                        remaining: left,
                    },
                );
            }
            None => self.answer(id, Answer::Declined { retry_after }),
        }
    }

    /// Takes a request out of the book once nothing of it is left.
    fn strike(&mut self, id: RequestId) {
        let over = |e: &Entry| e.answered && e.sent.iter().all(|s| !s.out);
        if self.driver.book.get(&id).is_some_and(over) {
            self.driver.book.remove(&id);
        }
    }

    pub fn take(&mut self, now: Timestamp, event: Event) {
        for action in self.driver.module.handle(now, event) {
            self.obey(now, action);
        }
    }

    fn obey(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => self.submit(now, id, endpoint, timeout),
            Action::CancelAttempt { id, attempt } => {
                self.servers.recall(&mut self.room, id, attempt)
            }
            Action::Reject { id, retry_after } => self.declined(now, id, retry_after),
            Action::Fail { id } => self.answer(id, Answer::Voided),
            Action::Vote {
                build,
                stage,
                decision: verdict,
            } => {
                if !self.vote_by_steward(build, stage, verdict) {
                    let room = &mut self.room;
                    self.platform
                        .iter_mut()
                        .for_each(|p| p.vote(room, build, stage, verdict));
                }
            }
            Action::SendGossip { to, message } => {
                if let Some(peers) = &self.peers {
                    peers.tell(&mut self.room, to, &message);
                }
            }
            // The watch stands from the start on.
            Action::WatchEndpoints => {}
            Action::SetTimer { after } => self.room.dues.set(now + after, Due::Wake),
        }
    }

    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        let ran = self.driver.book.get(&id).is_some_and(Entry::may_have_run);
        let ending = match &answer {
            Answer::Settled(_) => RequestEnd::Succeeded,
            Answer::Declined { .. } if !ran => RequestEnd::Rejected,
            Answer::Declined { .. } | Answer::Voided => RequestEnd::Failed,
        };
        let outcome = match &answer {
            Answer::Settled(_) => flows::FlowOutcome::RequestSucceeded,
            Answer::Declined { .. } => flows::FlowOutcome::RequestRejected,
            Answer::Voided => flows::FlowOutcome::RequestFailed,
        };
        if !self.close_txn(id, ending, outcome) {
            return;
        }
        if self.is_inward(id) {
            let verdict = match ending {
                RequestEnd::Rejected => ForwardingOutcome::NotAccepted,
                _ if matches!(answer, Answer::Declined { .. }) => {
                    ForwardingOutcome::Rejected { may_have_run: ran }
                }
                _ => ForwardingOutcome::Failed,
            };
            let now = self.room.now();
            self.answer_across(now, id, verdict, None, Vec::new());
        } else {
            self.clients.answer(&mut self.room, id, answer);
        }
        self.strike(id);
    }

    /// Guards the rule that no request is lost, should the module ever leave one without an answer.
    pub fn overdue(&mut self, id: RequestId) {
        self.room
            .counters
            .must(false, "a txn has its answer by its expiry");
        self.answer(id, Answer::Voided);
        let now = self.room.now();
        self.sites(now, SiteEvent::ClientGone { id });
        self.take(now, Event::ClientDisconnected { id });
    }

    /// Gives up on every request that has no answer yet.
    pub fn void_all(&mut self) {
        let now = self.room.now();
        let owed = self
            .driver
            .book
            .iter()
            .filter(|(_, e)| !e.answered)
            .map(|(id, _)| *id);
        for id in owed.collect::<Vec<RequestId>>() {
            self.answer(id, Answer::Voided);
            self.take(now, Event::ClientDisconnected { id });
        }
        self.settle();
    }

    pub fn wake(&mut self) {
        let now = self.room.now();
        self.take(now, Event::TimerFired);
    }
}
