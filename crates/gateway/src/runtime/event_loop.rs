//! Serving: the event loop's turns, and what each timer does.

use std::path::PathBuf;
use std::time::Instant;

use calloop::EventLoop;

use crate::config::environment;
use crate::config::gateway::GatewayConfig;
use crate::runtime::error::StartError;
use crate::runtime::gateway::Gateway;
use crate::runtime::startup::{block_signals, listen_on, watch_signals};
use crate::runtime::timer::Timer;

/// Serves until a signal ends the gateway. Listens as early as the address is known: a client that connects during the start
/// waits in the listener's queue.
///
/// # Errors
///
/// The configuration does not fit, or a socket cannot be opened.
pub(crate) fn serve(
    config_path: Option<PathBuf>,
    extension_path: Option<PathBuf>,
) -> Result<(), StartError> {
    // Before the listener is bound, so that no signal ends the process under a client that has connected.
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
    // Those that connected during the start. Later ones have not waited.
    gateway.accept_connections();
    gateway.shutdown.signals_wait_since = Some(gateway.context.clock.at(signals_blocked_at));
    gateway.turn(&mut event_loop);
    gateway.shutdown.signals_wait_since = None;
    while !gateway.shutdown.is_complete {
        gateway.turn(&mut event_loop);
    }
    gateway.report();
    gateway.close_exporter();
    tracing::info!("{} ends", config.name);
    Ok(())
}

impl Gateway {
    /// Handles the sockets that are ready and the timers that have expired. Waits for the first of them.
    pub(crate) fn turn(&mut self, event_loop: &mut EventLoop<'static, Gateway>) {
        let timeout = self
            .context
            .timers
            .next_deadline()
            .map(|deadline| self.context.clock.duration_until(deadline));
        // A failing turn must not end the requests on all other sockets, so the loop goes on.
        if let Err(e) = event_loop.dispatch(timeout, self) {
            self.context
                .counters
                .check_invariant(false, &format!("the loop goes through: {e}"));
        }
        self.handle_expired_timers();
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
