//! The `serve` command: event loop iterations and the dispatch of expired timers.

use std::path::PathBuf;
use std::time::Instant;

use calloop::EventLoop;

use crate::config::environment;
use crate::config::gateway::GatewayConfig;
use crate::runtime::error::StartError;
use crate::runtime::gateway::Gateway;
use crate::runtime::startup::{block_signals, listen_on, watch_signals};
use crate::runtime::timer::Timer;

/// Serves requests until SIGTERM or SIGINT shuts the gateway down. The listener is bound as soon as its address is known, so
/// that clients that connect during startup wait in its backlog.
///
/// # Errors
///
/// The configuration is invalid, or a socket cannot be opened.
pub(crate) fn serve(
    config_path: Option<PathBuf>,
    extension_path: Option<PathBuf>,
) -> Result<(), StartError> {
    // Signals are blocked before the listener is bound: a signal must not kill the process while a client is connected.
    let signals = block_signals()?;
    let signals_blocked_at = Instant::now();
    let early_address = environment::listen_address()?;
    let early_listener = early_address.map(listen_on).transpose()?;
    let config = GatewayConfig::read_at_start(config_path, early_address)?;
    let listener = match early_listener {
        Some(listener) => listener,
        None => listen_on(config.listen)?,
    };
    let mut event_loop: EventLoop<Gateway> = EventLoop::try_new().map_err(StartError::EventLoop)?;
    let mut gateway = Gateway::start(&config, listener, extension_path, &event_loop)?;
    watch_signals(&event_loop, signals)?;
    let address = gateway
        .downstream
        .local_address()
        .map_err(StartError::Address)?;
    tracing::info!("{} serves on {address}", config.name);
    // Accept the clients that connected during startup; the event loop accepts later ones.
    gateway.accept_connections();
    gateway.shutdown.signals_blocked_at = Some(gateway.context.clock.at(signals_blocked_at));
    gateway.run_iteration(&mut event_loop);
    gateway.shutdown.signals_blocked_at = None;
    while !gateway.shutdown.is_complete {
        gateway.run_iteration(&mut event_loop);
    }
    gateway.report();
    gateway.close_exporter();
    tracing::info!("{} has shut down", config.name);
    Ok(())
}

impl Gateway {
    /// Waits until a socket is ready or a timer expires, then handles all ready sockets and expired timers.
    pub(crate) fn run_iteration(&mut self, event_loop: &mut EventLoop<'static, Gateway>) {
        let timeout = self
            .context
            .timers
            .next_deadline()
            .map(|deadline| self.context.clock.duration_until(deadline));
        // The loop continues after an error, so that requests on other sockets are unaffected.
        if let Err(e) = event_loop.dispatch(timeout, self) {
            self.context.counters.check_invariant(
                false,
                &format!("the event loop dispatches without errors: {e}"),
            );
        }
        self.handle_expired_timers();
        while self.upstream.resume_reading(&mut self.context) {
            self.process_events();
        }
        self.downstream.resume_with_descriptor(&self.context);
    }

    fn handle_expired_timers(&mut self) {
        let now = self.context.now();
        while let Some(timer) = self.context.timers.pop_expired(now) {
            self.handle_timer(timer);
            self.process_events();
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Policy => self.handle_policy_timer(),
            Timer::Attempt(connection_id) => {
                self.upstream.time_out(&mut self.context, connection_id);
            }
            Timer::Vote(connection_id) => {
                if let Some(platform) = &mut self.rollout_platform {
                    platform.time_out_vote(&mut self.context, connection_id);
                }
            }
            Timer::RequestDeadline(id) => self.fail_overdue_request(id),
            Timer::SiteTransport => self.handle_transport_timer(),
            Timer::MultiSite => self.handle_multi_site_timer(),
            Timer::Lease => self.handle_lease_timer(),
            Timer::RolloutController => self.handle_rollout_timer(),
            Timer::RolloutCommand(connection_id) => self.time_out_rollout_command(connection_id),
            Timer::Maintenance => self.run_maintenance(),
            Timer::Shutdown => self.advance_shutdown(),
            Timer::Report => self.report_and_reschedule(),
        }
    }
}
