//! A timer wheel: each timer is in the slot of the tick at which it expires, and each tick empties one slot.

use harrierdock_types::{TimeDelta, Timestamp};

/// Timers, grouped by the tick at which they expire.
pub struct TimerWheel<T> {
    slots: Vec<Vec<T>>,
    tick: TimeDelta,
    current_slot: usize,
    next_tick: Timestamp,
}

impl<T> TimerWheel<T> {
    /// Creates a wheel of `slots` slots (at least 2), each one `tick` long. A timer beyond its span expires with the last slot.
    pub fn new(now: Timestamp, tick: TimeDelta, slots: usize) -> TimerWheel<T> {
        let tick = tick.max(TimeDelta(1));
        TimerWheel {
            slots: (0..slots.max(2)).map(|_| Vec::new()).collect(),
            tick,
            current_slot: 0,
            next_tick: now + tick,
        }
    }

    /// Adds a timer. Within the wheel's span, it never expires early and is less than a tick late.
    pub fn schedule(&mut self, deadline: Timestamp, timer: T) {
        let remaining = (deadline - self.next_tick).0.max(0);
        let last_slot = self.slots.len() as i64 - 1;
        let ticks = ((remaining + self.tick.0 - 1) / self.tick.0).min(last_slot) as usize;
        let slot = (self.current_slot + ticks) % self.slots.len();
        self.slots[slot].push(timer);
    }

    /// Advances to `now`, and returns all expired timers.
    pub fn advance(&mut self, now: Timestamp) -> Vec<T> {
        let mut expired = Vec::new();
        for _ in 0..self.slots.len() {
            if self.next_tick > now {
                return expired;
            }
            expired.append(&mut self.slots[self.current_slot]);
            self.current_slot = (self.current_slot + 1) % self.slots.len();
            self.next_tick = self.next_tick + self.tick;
        }
        // After a full round all timers have expired, so the remaining missed ticks are skipped.
        if self.next_tick <= now {
            let missed = (now - self.next_tick).0 / self.tick.0 + 1;
            self.next_tick = self.next_tick + TimeDelta(self.tick.0.saturating_mul(missed));
        }
        expired
    }

    /// Returns the time of the next tick.
    pub fn next_tick(&self) -> Timestamp {
        self.next_tick
    }

    /// Cancels all timers.
    pub fn clear(&mut self) {
        for slot in &mut self.slots {
            slot.clear();
        }
    }
}
