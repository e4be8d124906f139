//! Periodic maintenance of connections and streams, and descriptors for new connections.

use harrierdock_event_loop::logging;

use crate::downstream::AcceptResult;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

impl Gateway {
    /// Closes expired connections, reopens closed streams, exports flows, and schedules the next maintenance.
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

    /// Accepts pending connections. Pauses accepting if no descriptor is available and none can be freed.
    pub(super) fn accept_connections(&mut self) -> AcceptResult {
        let result = self.downstream.accept(&mut self.context);
        if result == AcceptResult::NoDescriptor && !self.free_descriptor() {
            self.downstream.pause_accepting(&self.context);
        }
        result
    }

    /// Closes a connection to free its descriptor. Returns `false` if no connection can be closed. Unused and stalled client
    /// connections go first, then idle connections to endpoints, then recently used client connections.
    pub(crate) fn free_descriptor(&mut self) -> bool {
        let context = &mut self.context;
        self.downstream.evict_stalled(context)
            || self.upstream.close_longest_idle(context)
            || self.downstream.evict_between_requests(context)
    }

    /// Marks the gateway as ready once it has an endpoint list.
    pub(super) fn update_readiness(&mut self) {
        if self.discovery.has_list() {
            self.downstream.set_ready();
        }
    }

    /// Exports flow records if they are due, or if the gateway is shutting down. Runs with maintenance, without its own timer.
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
