//! Responses that wait for a longer buffer. They are read on in the order in which they began to wait.

use harrierdock_event_loop::ConnectionId;
use harrierdock_types::AttemptOutcome;

use super::Upstream;
use crate::runtime::context::Context;

impl Upstream {
    /// Stops reading a response until a longer buffer is available. The attempt's deadline stays.
    pub(super) fn await_buffer(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(pooled) = self.connections.get_mut(&id) else {
            return;
        };
        if pooled.buffer_wait_since.is_some() {
            // Reading is paused, so a readable event means that the connection failed.
            return self.fail_exchange(context, id, AttemptOutcome::Reset);
        }
        pooled.buffer_wait_since = Some(context.now());
        pooled.connection.set_interest(context, false, false);
        self.buffer_waiters.push_back(id);
        self.restore_deadline(context, id);
    }

    /// Reads on the response that has waited for a buffer the longest. Returns false if none waits, or no buffer is available.
    pub(crate) fn resume_reading(&mut self, context: &mut Context) -> bool {
        while let Some(id) = self.buffer_waiters.front().copied() {
            let waiting = self
                .connections
                .get_mut(&id)
                .filter(|pooled| pooled.buffer_wait_since.is_some());
            let Some(pooled) = waiting else {
                self.buffer_waiters.pop_front();
                continue;
            };
            if !pooled.connection.can_read(context) {
                return false;
            }
            self.buffer_waiters.pop_front();
            pooled.end_buffer_wait(context);
            pooled.connection.set_interest(context, true, false);
            self.read(context, id);
            return true;
        }
        false
    }
}
