//! Periodic work: idle connections, silent streams, and descriptors for new connections.

use harrierdock_event_loop::logging;

use crate::downstream::AcceptResult;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

impl Gateway {
    /// Closes what has been idle for too long, reopens streams that have ended, and schedules itself again.
    pub(super) fn run_maintenance(&mut self) {
        if self.downstream.is_accepting_paused() && self.context.descriptors.available() == 0 {
            self.free_descriptor();
        }
        let context = &mut self.context;
        self.upstream.close_expired(context);
        self.downstream.close_expired(context);
        self.discovery.run_maintenance(context);
        if let Some(platform) = &mut self.rollout_platform {
            platform.run_maintenance(context);
        }
        if let Some(control_socket) = &mut self.control_socket {
            control_socket.close_expired(&context.handle, context.io.now());
        }
        logging::flush();
        self.export_flows();
        self.context
            .set_timer_after(self.maintenance_interval, Timer::Maintenance);
    }

    /// Accepts the connections that wait, and stops accepting while there are no descriptors for them.
    pub(super) fn accept_connections(&mut self) -> AcceptResult {
        let result = self.downstream.accept(&mut self.context);
        if result == AcceptResult::NoDescriptor && !self.free_descriptor() {
            self.downstream.pause_accepting(&self.context);
        }
        result
    }

    /// Closes a connection so that another can be opened, and returns whether there was one to close. Clients' connections
    /// that stall go first, then idle ones to endpoints, and clients' that were used lately go last.
    pub(crate) fn free_descriptor(&mut self) -> bool {
        let context = &mut self.context;
        self.downstream.evict_stalled(context)
            || self.upstream.close_longest_idle(context)
            || self.downstream.evict_between_requests(context)
    }

    /// Reports the gateway as ready once it has an endpoint list.
    pub(super) fn update_readiness(&mut self) {
        if self.discovery.has_list() {
            self.downstream.set_ready();
        }
    }

    /// Flow records are sent at the maintenance interval, so that they need no timer of their own.
    fn export_flows(&mut self) {
        let now = self.context.now();
        let is_shutting_down = self.shutdown.has_started();
        if let Some(exporter) = &mut self.exporter {
            if is_shutting_down || exporter.next_export() <= now {
                exporter.export(now, &self.dispatcher.names, is_shutting_down);
            }
        }
    }
}
