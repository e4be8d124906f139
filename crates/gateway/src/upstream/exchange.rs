//! The request exchange on a connection: it comes up, the request is written, the response is read.

use calloop::Readiness;
use harrierdock_event_loop::{ConnectionId, ReadResult, WriteResult};
use harrierdock_http::{MessageReader, Progress, ResponseHead};
use harrierdock_types::{AttemptOutcome, TimeDelta};

use super::{wire, Phase, Upstream};
use crate::metrics::Counter;
use crate::runtime::context::{Context, FinishedAttempt, InternalEvent, ResponseBody};
use crate::runtime::timer::Timer;

impl Upstream {
    /// Checks whether a connection that was opened has come up. Returns what it is ready for then.
    pub(crate) fn handle_connected(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        readiness: Readiness,
    ) -> Readiness {
        let Some(pooled) = self
            .connections
            .get_mut(&id)
            .filter(|pooled| pooled.phase == Phase::Connecting)
        else {
            return readiness;
        };
        if pooled.connection.check_connected().is_err() {
            self.fail(context, id, AttemptOutcome::ConnectFailed);
            return readiness;
        }
        context.counters.add(Counter::EndpointConnectionsOpened);
        pooled.phase = Phase::Writing;
        if let Some(exchange) = &mut pooled.exchange {
            context
                .timers
                .cancel(exchange.timer_deadline, Timer::Attempt(id));
            exchange.timer_deadline = exchange.deadline;
            context
                .timers
                .set(exchange.timer_deadline, Timer::Attempt(id));
        }
        Readiness {
            writable: true,
            readable: false,
            ..readiness
        }
    }

    /// Writes and reads what a connection is ready for.
    pub(crate) fn handle_readiness(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        readiness: Readiness,
    ) {
        let Some(pooled) = self.connections.get(&id) else {
            return;
        };
        if readiness.writable && pooled.phase == Phase::Writing {
            self.write(context, id);
        }
        if readiness.readable {
            self.read(context, id);
        }
    }

    /// Writes as much of the request as the socket takes.
    pub(super) fn write(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(pooled) = self.connections.get_mut(&id) else {
            return;
        };
        if pooled.phase != Phase::Writing {
            return;
        }
        let Some(exchange) = pooled.exchange else {
            return;
        };
        let time_left = exchange.deadline - context.now();
        // Sockets are handled before timers, so the attempt's own timer may not have fired yet.
        if time_left <= TimeDelta::ZERO {
            return self.time_out(context, id);
        }
        // No sooner, as the endpoint is not granted what has passed until its request is written.
        if let Some(at) = pooled.time_left_at.take() {
            wire::insert_time_left(&mut pooled.connection.output, at, time_left);
        }
        match pooled.connection.flush(context) {
            // The request was not written in full, so the endpoint cannot have started on it.
            WriteResult::Failed => self.fail(context, id, AttemptOutcome::ConnectFailed),
            WriteResult::Partial => pooled.connection.set_interest(context, true, true),
            WriteResult::Complete => {
                pooled.phase = Phase::Waiting;
                pooled.connection.set_interest(context, true, false);
            }
        }
    }

    fn read(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(pooled) = self.connections.get_mut(&id) else {
            return;
        };
        let result = pooled.connection.read(context);
        if result == ReadResult::WouldBlock {
            return;
        }
        if pooled.phase == Phase::Idle {
            // The endpoint has closed the connection, or sends what was not asked for.
            return self.close_idle(context, id);
        }
        if pooled.phase == Phase::Writing {
            // What comes before the request is written in full is no response to it.
            return self.fail(context, id, AttemptOutcome::ConnectFailed);
        }
        let progress = pooled.reader.read_response(&mut pooled.connection.input);
        if progress == Ok(Progress::Complete) {
            self.handle_response(context, id, result == ReadResult::Data);
        } else if result != ReadResult::Data || progress.is_err() || pooled.reader.is_open_ended() {
            self.fail(context, id, AttemptOutcome::Reset);
        } else if !pooled.reader.is_untouched(&pooled.connection.input) {
            self.shorten_deadline(context, id);
        }
    }

    /// A response that has begun has to be complete within the connect timeout, because one that claims to be longer than it
    /// is would keep its client waiting until the deadline.
    fn shorten_deadline(&mut self, context: &mut Context, id: ConnectionId) {
        let exchange = self
            .connections
            .get_mut(&id)
            .and_then(|pooled| pooled.exchange.as_mut())
            .filter(|exchange| exchange.timer_deadline == exchange.deadline);
        let Some(exchange) = exchange else {
            return;
        };
        context
            .timers
            .cancel(exchange.timer_deadline, Timer::Attempt(id));
        exchange.timer_deadline = exchange.deadline.min(context.now() + self.connect_timeout);
        context
            .timers
            .set(exchange.timer_deadline, Timer::Attempt(id));
    }

    /// A response is complete. `stays_open`: the endpoint has not closed the connection behind it.
    fn handle_response(&mut self, context: &mut Context, id: ConnectionId, stays_open: bool) {
        let Some(pooled) = self.connections.get_mut(&id) else {
            return;
        };
        let Ok(Some(head)) = ResponseHead::parse(&pooled.connection.input) else {
            return self.fail(context, id, AttemptOutcome::Reset);
        };
        let outcome = wire::outcome_of(&head);
        // Bytes that follow a complete response were not asked for, and end the connection.
        let has_surplus = pooled.connection.input.len() != pooled.reader.body().end;
        let is_reusable =
            head.keeps_alive() && stays_open && pooled.phase == Phase::Waiting && !has_surplus;
        let response = (outcome == AttemptOutcome::Succeeded).then(|| ResponseBody {
            buffer: std::mem::take(&mut pooled.connection.input),
            range: pooled.reader.body(),
        });
        self.finish_exchange(context, id, outcome, response);
        if is_reusable {
            self.keep_idle(context, id);
        } else {
            self.close(context, id);
        }
    }

    /// Puts a connection into the pool, unless another instance runs at its endpoint now.
    fn keep_idle(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(pooled) = self.connections.get_mut(&id) else {
            return;
        };
        let endpoint = self
            .endpoints
            .get_mut(&pooled.endpoint)
            .filter(|endpoint| endpoint.instance == pooled.instance);
        let Some(endpoint) = endpoint else {
            return self.close(context, id);
        };
        pooled.connection.input.clear();
        pooled.connection.release_empty_buffers(context);
        pooled.reader = MessageReader::default();
        pooled.phase = Phase::Idle;
        pooled.since = context.now();
        pooled.connection.set_interest(context, true, false);
        endpoint.idle.push(id);
    }

    /// Reports how the attempt ended. The connection stays.
    fn finish_exchange(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        outcome: AttemptOutcome,
        response: Option<ResponseBody>,
    ) {
        let Some(pooled) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(exchange) = pooled.exchange.take() else {
            return;
        };
        context
            .timers
            .cancel(exchange.timer_deadline, Timer::Attempt(id));
        self.attempts.remove(&exchange.attempt);
        context.emit(InternalEvent::AttemptFinished(FinishedAttempt {
            id: exchange.attempt.request,
            attempt: exchange.attempt.attempt,
            outcome,
            response,
        }));
    }

    /// Reports how the attempt ended, and closes the connection.
    pub(super) fn fail(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        outcome: AttemptOutcome,
    ) {
        self.finish_exchange(context, id, outcome, None);
        self.close(context, id);
    }

    /// Closes a connection. An attempt on it is not reported.
    pub(super) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(pooled) = self.connections.remove(&id) else {
            return;
        };
        if let Some(exchange) = pooled.exchange {
            context
                .timers
                .cancel(exchange.timer_deadline, Timer::Attempt(id));
        }
        pooled.connection.close(context);
    }

    /// The time of the attempt on this connection is over. The connection is closed, so that nothing more is written for it.
    pub(crate) fn time_out(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(pooled) = self.connections.get(&id) else {
            return;
        };
        let outcome = match pooled.phase {
            Phase::Connecting | Phase::Writing => AttemptOutcome::ConnectFailed,
            Phase::Waiting if pooled.reader.is_untouched(&pooled.connection.input) => {
                AttemptOutcome::TimedOut
            }
            Phase::Waiting => AttemptOutcome::Reset,
            Phase::Idle => return,
        };
        self.fail(context, id, outcome);
    }
}
