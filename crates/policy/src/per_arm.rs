//! One value for each arm of a rollout.

use harrierdock_types::Arm;

/// Two values of the same type, one for each arm; `get` and `get_mut` select one by [`Arm`].
#[derive(Clone, Debug, Default)]
pub(crate) struct PerArm<T> {
    pub(crate) baseline: T,
    pub(crate) canary: T,
}

impl<T> PerArm<T> {
    pub(crate) fn get(&self, arm: Arm) -> &T {
        match arm {
            Arm::Baseline => &self.baseline,
            Arm::Canary => &self.canary,
        }
    }

    pub(crate) fn get_mut(&mut self, arm: Arm) -> &mut T {
        match arm {
            Arm::Baseline => &mut self.baseline,
            Arm::Canary => &mut self.canary,
        }
    }
}

/// The canary arm if `is_canary`, else the baseline.
pub(crate) fn arm_if_canary(is_canary: bool) -> Arm {
    if is_canary {
        Arm::Canary
    } else {
        Arm::Baseline
    }
}
