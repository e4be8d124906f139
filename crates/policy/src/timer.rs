//! When the policy wants to be called next without another event. Owns the periodic tick and the timer that is set.

use harrierdock_types::{Action, TimeDelta, Timestamp};

use crate::context::Context;

/// The periodic tick, as a ratio to the shortest latency objective.
const TICK_RATIO: f64 = 0.1;
/// The least time that a timer is set to.
const MIN_DELAY: TimeDelta = TimeDelta(1);

/// The one timer of a policy.
#[derive(Debug, Default)]
pub struct PolicyTimer {
    next_tick: Timestamp,
    set_to: Option<Timestamp>,
}

impl PolicyTimer {
    /// The timer has fired. One that is set to a later time stays set.
    pub fn fired(&mut self, now: Timestamp) {
        self.set_to = self.set_to.filter(|at| now < *at);
    }

    /// Sets the timer to the next tick, or to the next retry if that is earlier, unless it is set to an earlier time already.
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
        if self.set_to.is_none_or(|at| at <= now || next < at) {
            self.set_to = Some(next);
            actions.push(Action::SetTimer { after: next - now });
        }
    }
}
