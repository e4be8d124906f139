//! What happens in simulated time.

use harrierdock_lease::{Epoch, LeaseName};

use super::GatewayIndex;

/// What happens in simulated time.
pub(super) enum SimulatedEvent {
    TimerFired {
        gateway: GatewayIndex,
        incarnation: u32,
        timer_number: u64,
    },
    MessageArrived {
        from: GatewayIndex,
        to: GatewayIndex,
        bytes: Vec<u8>,
    },
    Started {
        gateway: GatewayIndex,
    },
    Exited {
        gateway: GatewayIndex,
        incarnation: u32,
    },
    /// The holders act.
    ActsDue,
    /// An act of a holder arrives where its epoch is checked.
    ActArrived {
        lease: LeaseName,
        epoch: Epoch,
        gateway: GatewayIndex,
    },
}

impl SimulatedEvent {
    /// The gateway that has to run for this to happen, if it needs one.
    pub(super) fn awaited_gateway(&self) -> Option<GatewayIndex> {
        match self {
            SimulatedEvent::TimerFired { gateway, .. }
            | SimulatedEvent::Exited { gateway, .. }
            | SimulatedEvent::MessageArrived { to: gateway, .. } => Some(*gateway),
            SimulatedEvent::Started { .. }
            | SimulatedEvent::ActsDue
            | SimulatedEvent::ActArrived { .. } => None,
        }
    }
}
