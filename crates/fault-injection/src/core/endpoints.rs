//! What stands for the servers.

use harrierdock_multi_site::{Event, InboundId, RequestEnd};
use harrierdock_site_messages::ForwardingOutcome;
use harrierdock_types::{BuildId, ClassId, TimeDelta};

use super::event::{RequestSource, SimulatedEvent};
use super::simulation::{site, NetworkSimulation};

impl NetworkSimulation {
    /// The module stands for its servers: it serves after a while, or declines at once what has not run.
    pub(super) fn serve(
        &mut self,
        ix: usize,
        source: RequestSource,
        request: u64,
        class: usize,
        left: TimeDelta,
    ) {
        let full = self.draw_bool(0.05) || self.lacks_endpoints[site(ix)];
        let incarnation = self.gateways[ix].incarnation;
        if full {
            return match source {
                RequestSource::Inbound(inbound) => {
                    self.gateways[ix].inbound.remove(&inbound);
                    let outcome = ForwardingOutcome::NotAccepted;
                    self.deliver(
                        ix,
                        Event::InboundCompleted {
                            inbound: InboundId(inbound),
                            outcome,
                            build: None,
                            body: Vec::new(),
                        },
                    );
                    let (ending, took) = (RequestEnd::Rejected, TimeDelta::ZERO);
                    self.deliver(
                        ix,
                        Event::RequestEnded {
                            class: ClassId(class),
                            end: ending,
                            elapsed: took,
                        },
                    );
                }
                RequestSource::Client(id) => {
                    let stays_local =
                        std::mem::replace(&mut self.requests[id.0 as usize].stays_local, true);
                    if stays_local {
                        self.record_answer(id, ForwardingOutcome::NotAccepted);
                    } else {
                        self.deliver(
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
        let waits = if self.draw_bool(0.2) {
            self.draw_span(0, 1_000_000).min(left)
        } else {
            TimeDelta::ZERO
        };
        self.schedule(
            waits,
            SimulatedEvent::AttemptStarted {
                gateway: ix,
                incarnation,
                source,
                request,
                class,
                left: left - waits,
            },
        );
    }

    /// It runs whatever becomes of its answer, which is waited for until its time is up.
    pub(super) fn start_attempt(
        &mut self,
        ix: usize,
        source: RequestSource,
        request: u64,
        class: usize,
        left: TimeDelta,
    ) {
        let open = match source {
            RequestSource::Client(id) => self.requests[id.0 as usize].answers.is_empty(),
            RequestSource::Inbound(inbound) => self.gateways[ix].inbound.contains_key(&inbound),
        };
        if !open {
            return;
        }
        let (at, incarnation, took) = (
            self.now,
            self.gateways[ix].incarnation,
            self.draw_span(5_000, 300_000),
        );
        self.requests[request as usize].runs.push((site(ix), at));
        let has_succeeded = took <= left && !self.draw_bool(0.05);
        self.schedule(
            took.min(left),
            SimulatedEvent::AttemptFinished {
                gateway: ix,
                incarnation,
                source,
                class,
                has_succeeded,
            },
        );
    }

    pub(super) fn finish_attempt(
        &mut self,
        ix: usize,
        source: RequestSource,
        class: usize,
        has_succeeded: bool,
    ) {
        match source {
            RequestSource::Inbound(inbound) => {
                if self.gateways[ix].inbound.remove(&inbound).is_some() {
                    let outcome = if has_succeeded {
                        ForwardingOutcome::Succeeded
                    } else {
                        ForwardingOutcome::Failed
                    };
                    let body = vec![7; 50];
                    self.deliver(
                        ix,
                        Event::InboundCompleted {
                            inbound: InboundId(inbound),
                            outcome,
                            build: Some(BuildId(1)),
                            body,
                        },
                    );
                }
            }
            RequestSource::Client(id) => self.record_answer(
                id,
                if has_succeeded {
                    ForwardingOutcome::Succeeded
                } else {
                    ForwardingOutcome::Failed
                },
            ),
        }
        let ending = if has_succeeded {
            RequestEnd::Succeeded
        } else {
            RequestEnd::Failed
        };
        self.deliver(
            ix,
            Event::RequestEnded {
                class: ClassId(class),
                end: ending,
                elapsed: TimeDelta(100_000),
            },
        );
    }
}
