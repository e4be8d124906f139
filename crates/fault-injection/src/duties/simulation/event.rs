//! Events of the simulation.

use harrierdock_lease::{Epoch, LeaseName};

use super::GatewayIndex;

/// An event in simulated time.
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
    /// Each holder starts an operation under its lease.
    OperationsDue,
    /// An operation of a holder arrives at the fencing guard.
    OperationArrived {
        lease: LeaseName,
        epoch: Epoch,
        gateway: GatewayIndex,
    },
}

impl SimulatedEvent {
    /// The gateway that processes the event; the event waits while that gateway is stalled. `None` if no gateway processes it.
    pub(super) fn processing_gateway(&self) -> Option<GatewayIndex> {
        match self {
            SimulatedEvent::TimerFired { gateway, .. }
            | SimulatedEvent::Exited { gateway, .. }
            | SimulatedEvent::MessageArrived { to: gateway, .. } => Some(*gateway),
            SimulatedEvent::Started { .. }
            | SimulatedEvent::OperationsDue
            | SimulatedEvent::OperationArrived { .. } => None,
        }
    }
}
