//! The timer that wakes the policy when no other event occurs. Owns the times of the periodic tick and of the pending timer.

use harrierdock_types::{Action, TimeDelta, Timestamp};

use crate::context::Context;

/// The tick interval, as a ratio to the shortest latency objective.
const TICK_RATIO: f64 = 0.1;
/// The shortest delay of the timer.
const MIN_DELAY: TimeDelta = TimeDelta(1);

/// The single timer of a policy, used for ticks and retries.
#[derive(Debug, Default)]
pub struct PolicyTimer {
    next_tick: Timestamp,
    /// When the pending timer fires; `None` if none is pending.
    fires_at: Option<Timestamp>,
}

impl PolicyTimer {
    /// Records that a timer has fired. A timer that is set to a later time stays pending.
    pub fn record_fired(&mut self, now: Timestamp) {
        self.fires_at = self.fires_at.filter(|at| now < *at);
    }

    /// Sets the timer to the next tick or the next retry, whichever is earlier. Does nothing if the pending timer fires by then.
    pub fn emit(
        &mut self,
        context: &Context,
        next_retry: Option<Timestamp>,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        if self.next_tick <= now {
            self.next_tick = now + context.shortest_latency_objective() * TICK_RATIO;
        }
        let next = next_retry
            .map_or(self.next_tick, |retry| retry.min(self.next_tick))
            .max(now + MIN_DELAY);
        if self.fires_at.is_none_or(|at| at <= now || next < at) {
            self.fires_at = Some(next);
            actions.push(Action::SetTimer { after: next - now });
        }
    }
}
