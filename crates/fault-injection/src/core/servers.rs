//! What stands for the servers.

use harrierdock_multi_site::{Event, InboundId, RequestEnd};
use harrierdock_site_messages::ForwardingOutcome;
use harrierdock_types::{BuildId, ClassId, TimeDelta};

use super::happening::{Happening, Job};
use super::world::{site, World};

impl World {
    /// The module stands for its servers: it serves after a while, or declines at once what has not run.
    pub(super) fn serve(&mut self, ix: usize, job: Job, txn: u64, class: usize, left: TimeDelta) {
        let full = self.draw(0.05) || self.vanished[site(ix)];
        let life = self.gateways[ix].life;
        if full {
            return match job {
                Job::Inward(inward) => {
                    self.gateways[ix].inward.remove(&inward);
                    let verdict = ForwardingOutcome::NotAccepted;
                    self.tell(
                        ix,
                        Event::InboundCompleted {
                            inbound: InboundId(inward),
                            outcome: verdict,
                            build: None,
                            body: Vec::new(),
                        },
                    );
                    let (ending, took) = (RequestEnd::Rejected, TimeDelta::ZERO);
                    self.tell(
                        ix,
                        Event::RequestEnded {
                            class: ClassId(class),
                            end: ending,
                            elapsed: took,
                        },
                    );
                }
                Job::Client(id) => {
                    let spent = std::mem::replace(&mut self.txns[id.0 as usize].spent, true);
                    if spent {
                        self.answer(id, ForwardingOutcome::NotAccepted);
                    } else {
                        self.tell(
                            ix,
                            Event::LocallyRejected {
                                id,
                                class: ClassId(class),
                                remaining: left,
                            },
                        );
                    }
                }
            };
        }
        // Some wait for room; none is sent after its time.
        let waits = if self.draw(0.2) {
            self.span(0, 1_000_000).min(left)
        } else {
            TimeDelta::ZERO
        };
        self.after(
            waits,
            Happening::Sent {
                gateway: ix,
                life,
                job,
                txn,
                class,
                left: left - waits,
            },
        );
    }

    /// It runs whatever becomes of its answer, which is waited for until its time is up.
    pub(super) fn sent(&mut self, ix: usize, job: Job, txn: u64, class: usize, left: TimeDelta) {
        let open = match job {
            Job::Client(id) => self.txns[id.0 as usize].answers.is_empty(),
            Job::Inward(inward) => self.gateways[ix].inward.contains_key(&inward),
        };
        if !open {
            return;
        }
        let (at, life, took) = (self.now, self.gateways[ix].life, self.span(5_000, 300_000));
        self.txns[txn as usize].runs.push((site(ix), at));
        let settled = took <= left && !self.draw(0.05);
        self.after(
            took.min(left),
            Happening::Ended {
                gateway: ix,
                life,
                job,
                class,
                settled,
            },
        );
    }

    pub(super) fn ended(&mut self, ix: usize, job: Job, class: usize, settled: bool) {
        match job {
            Job::Inward(inward) => {
                if self.gateways[ix].inward.remove(&inward).is_some() {
                    let verdict = if settled {
                        ForwardingOutcome::Succeeded
                    } else {
                        ForwardingOutcome::Failed
                    };
                    let body = vec![7; 50];
                    self.tell(
                        ix,
                        Event::InboundCompleted {
                            inbound: InboundId(inward),
                            outcome: verdict,
                            build: Some(BuildId(1)),
                            body,
                        },
                    );
                }
            }
            Job::Client(id) => self.answer(
                id,
                if settled {
                    ForwardingOutcome::Succeeded
                } else {
                    ForwardingOutcome::Failed
                },
            ),
        }
        let ending = if settled {
            RequestEnd::Succeeded
        } else {
            RequestEnd::Failed
        };
        self.tell(
            ix,
            Event::RequestEnded {
                class: ClassId(class),
                end: ending,
                elapsed: TimeDelta(100_000),
            },
        );
    }
}
