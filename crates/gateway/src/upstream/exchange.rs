//! One request exchange on a connection: establishes the connection, writes the request, reads the response.

use calloop::Readiness;
use harrierdock_event_loop::{ConnectionId, ReadResult, WriteResult};
use harrierdock_http::{MessageReader, ParseError, Progress, ResponseHead, BUFFER_BYTES};
use harrierdock_types::{AttemptOutcome, TimeDelta};

use super::{wire, Phase, Upstream};
use crate::metrics::Counter;
use crate::runtime::context::{Context, FinishedAttempt, InternalEvent, ResponseBody};
use crate::runtime::timer::Timer;

impl Upstream {
    /// Handles the result of a pending connect. Returns a readiness for writing if it succeeded, and fails the attempt if it
    /// failed. Returns `readiness` unchanged if no connect was pending.
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
            self.fail_exchange(context, id, AttemptOutcome::ConnectFailed);
            return readiness;
        }
        context.counters.add(Counter::EndpointConnectionsOpened);
        pooled.phase = Phase::WritingRequest;
        self.restore_deadline(context, id);
        Readiness {
            writable: true,
            readable: false,
            ..readiness
        }
    }

    /// Writes to and reads from a connection, as its readiness allows.
    pub(crate) fn handle_readiness(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        readiness: Readiness,
    ) {
        let Some(pooled) = self.connections.get(&id) else {
            return;
        };
        if readiness.writable && pooled.phase == Phase::WritingRequest {
            self.write(context, id);
        }
        if readiness.readable {
            self.read(context, id);
        }
    }

    /// Writes as much of the request as the socket accepts.
    pub(super) fn write(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(pooled) = self.connections.get_mut(&id) else {
            return;
        };
        if pooled.phase != Phase::WritingRequest {
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
        // Inserted right before the first write, so that the endpoint is not granted time that has already passed.
        if let Some(offset) = pooled.time_left_offset.take() {
            wire::insert_time_left(&mut pooled.connection.output, offset, time_left);
        }
        match pooled.connection.flush(context) {
            // The request's last byte was not written, so the endpoint cannot have started to process it.
            WriteResult::Failed => self.fail_exchange(context, id, AttemptOutcome::ConnectFailed),
            WriteResult::Partial => pooled.connection.set_interest(context, true, true),
            WriteResult::Complete => {
                pooled.phase = Phase::AwaitingResponse;
                pooled.connection.set_interest(context, true, false);
            }
        }
    }

    /// Reads until the response is complete or no more input has arrived.
    pub(super) fn read(&mut self, context: &mut Context, id: ConnectionId) {
        while let Some(pooled) = self.connections.get_mut(&id) {
            let result = pooled.connection.read(context);
            let may_have_more = result == ReadResult::Data && pooled.connection.is_input_full();
            self.handle_read(context, id, result);
            let is_awaiting_response = self
                .connections
                .get(&id)
                .is_some_and(|pooled| pooled.phase == Phase::AwaitingResponse);
            if !may_have_more || !is_awaiting_response {
                return;
            }
        }
    }

    fn handle_read(&mut self, context: &mut Context, id: ConnectionId, result: ReadResult) {
        let Some(pooled) = self.connections.get_mut(&id) else {
            return;
        };
        if result == ReadResult::WouldBlock {
            return;
        }
        if pooled.phase == Phase::Idle {
            // The endpoint closed the connection, or sent bytes without a request.
            return self.close_idle(context, id);
        }
        if pooled.phase == Phase::WritingRequest {
            // Bytes or a close before the request's last byte is written cannot be its response.
            return self.fail_exchange(context, id, AttemptOutcome::ConnectFailed);
        }
        if result == ReadResult::NoBuffer {
            return self.await_buffer(context, id);
        }
        let progress = pooled.reader.read_response(&mut pooled.connection.input);
        if let Err(error @ (ParseError::BodyTooLarge | ParseError::HeadTooLarge)) = progress {
            context.counters.add(Counter::EndpointResponsesTooLong);
            tracing::debug!("upstream: the response to an attempt cannot be read: {error}");
        }
        if progress == Ok(Progress::Complete) {
            self.handle_response(context, id, result == ReadResult::Data);
        } else if result != ReadResult::Data || progress.is_err() || pooled.reader.is_open_ended() {
            self.fail_exchange(context, id, AttemptOutcome::Reset);
        } else if !pooled.reader.is_untouched(&pooled.connection.input) {
            // Several responses that grow in steps could take all memory and wait for each other.
            let message_bytes = pooled.reader.announced_bytes().unwrap_or(BUFFER_BYTES);
            pooled.connection.expect_input(message_bytes);
            self.shorten_deadline(context, id);
        }
    }

    /// Requires a partly received response to complete within the connect timeout. Otherwise a response that is shorter than its
    /// stated length would keep the client waiting until the deadline.
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

    /// Lets the attempt on this connection take until its own deadline again.
    pub(super) fn restore_deadline(&mut self, context: &mut Context, id: ConnectionId) {
        let exchange = self
            .connections
            .get_mut(&id)
            .and_then(|pooled| pooled.exchange.as_mut());
        let Some(exchange) = exchange else {
            return;
        };
        context
            .timers
            .cancel(exchange.timer_deadline, Timer::Attempt(id));
        exchange.timer_deadline = exchange.deadline;
        context
            .timers
            .set(exchange.timer_deadline, Timer::Attempt(id));
    }

    /// Handles a complete response. `is_open`: the endpoint has not closed the connection after the response.
    fn handle_response(&mut self, context: &mut Context, id: ConnectionId, is_open: bool) {
        let Some(pooled) = self.connections.get_mut(&id) else {
            return;
        };
        let Ok(Some(head)) = ResponseHead::parse(&pooled.connection.input) else {
            return self.fail_exchange(context, id, AttemptOutcome::Reset);
        };
        let outcome = wire::outcome_of(&head);
        // A connection with unrequested bytes after a complete response is not reused.
        let has_excess_bytes = pooled.connection.input.len() != pooled.reader.body().end;
        let is_reusable = head.keeps_alive()
            && is_open
            && pooled.phase == Phase::AwaitingResponse
            && !has_excess_bytes;
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

    /// Returns a connection to the pool, or closes it if another instance runs at its endpoint by now.
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
        pooled.last_used_at = context.now();
        pooled.connection.set_interest(context, true, false);
        endpoint.idle.push(id);
    }

    /// Reports the outcome of the attempt and keeps the connection open.
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

    /// Reports the outcome of the attempt and closes the connection.
    pub(super) fn fail_exchange(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        outcome: AttemptOutcome,
    ) {
        self.finish_exchange(context, id, outcome, None);
        self.close(context, id);
    }

    /// Closes a connection without reporting the attempt on it.
    pub(super) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(mut pooled) = self.connections.remove(&id) else {
            return;
        };
        pooled.end_buffer_wait(context);
        if let Some(exchange) = pooled.exchange {
            context
                .timers
                .cancel(exchange.timer_deadline, Timer::Attempt(id));
        }
        pooled.connection.close(context);
    }

    /// Handles the timeout of the attempt on this connection. Closes the connection, so that nothing more is written for the
    /// attempt.
    pub(crate) fn time_out(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(pooled) = self.connections.get(&id) else {
            return;
        };
        let outcome = match pooled.phase {
            Phase::Connecting | Phase::WritingRequest => AttemptOutcome::ConnectFailed,
            Phase::AwaitingResponse if pooled.reader.is_untouched(&pooled.connection.input) => {
                AttemptOutcome::TimedOut
            }
            Phase::AwaitingResponse => AttemptOutcome::Reset,
            Phase::Idle => return,
        };
        self.fail_exchange(context, id, outcome);
    }
}
