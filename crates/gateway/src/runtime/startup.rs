//! Startup: the listener is bound first, so that clients wait in its backlog, and starts accepting last.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use calloop::signals::{Event as SignalEvent, Signal, Signals};
use calloop::EventLoop;
use harrierdock_config::Names;
use harrierdock_event_loop::{BufferPool, DescriptorBudget, IoContext};
use harrierdock_flow_export::{ExporterSetup, FlowExportError, FlowExporter};
use harrierdock_types::{Parameters, TimeDelta};

use crate::config::extension::ExtensionConfig;
use crate::config::gateway::GatewayConfig;
use crate::control_plane::discovery::{Discovery, DiscoverySettings};
use crate::control_plane::list_limits::ListLimits;
use crate::control_plane::rollout_platform::RolloutPlatform;
use crate::dispatch::dispatcher::Dispatcher;
use crate::downstream::{Downstream, DownstreamSettings, Listener, MIN_IDLE_TIME};
use crate::gossip::GossipSocket;
use crate::multi_site::control_socket::{ControlSocket, ControlSocketError};
use crate::multi_site::forwarding::Forwarding;
use crate::rollout::commands::CommandTimes;
use crate::runtime::context::Context;
use crate::runtime::error::{StartError, WatchError};
use crate::runtime::gateway::Gateway;
use crate::runtime::reporting::REPORT_INTERVAL;
use crate::runtime::shutdown::ShutdownState;
use crate::runtime::socket_handlers::{handle_control_connection, handle_gossip, SocketHandlers};
use crate::runtime::timer::Timer;
use crate::upstream::Upstream;

/// Lower bound for the intervals of periodic work: 1 ms, in microseconds.
const MIN_INTERVAL: TimeDelta = TimeDelta(1_000);
/// Descriptors that are not available for requests: standard streams (3), event loop (3), signals, listener, gossip,
/// discovery, the stream from the rollout platform, the same number for sockets being replaced, and votes.
const RESERVED_DESCRIPTORS: usize = 24;

impl Gateway {
    /// Opens every part and applies the initial state from the configuration. The caller must have blocked signals: the exporter
    /// starts a thread that inherits the block, and an unblocked signal in that thread would terminate the process.
    ///
    /// # Errors
    ///
    /// The settings are invalid, or a socket cannot be opened.
    pub(crate) fn start(
        config: &GatewayConfig,
        listener: Listener,
        extension_path: Option<PathBuf>,
        event_loop: &EventLoop<'static, Gateway>,
    ) -> Result<Gateway, StartError> {
        let extension = ExtensionConfig::read(extension_path.as_deref())?;
        config.check_extension(extension_path.as_deref(), &extension)?;
        let (parameters, names) = (config.parameters.clone(), config.names.clone());
        let mut context = new_context(config, &extension, event_loop);
        let limits = &parameters.limits;
        let maintenance_interval = limits
            .connect_timeout
            .clamp(MIN_INTERVAL, MIN_IDLE_TIME / 4.0);
        let downstream_settings = downstream_settings(config, &parameters, &names);
        let gossip = GossipSocket::open(
            &context.handle,
            config,
            parameters.local_peer,
            handle_gossip,
        )
        .map_err(StartError::Gossip)?;
        let forwarding = Forwarding::open(&context, config, &extension)?;
        let control_socket = open_control_socket(&context, &extension)?;
        let vote_timeout = parameters.rollout.vote_timeout;
        let rollout_platform = config
            .rollouts
            .as_ref()
            .map(|r| RolloutPlatform::new(r.address, vote_timeout, maintenance_interval));
        let discovery = new_discovery(&context, config, maintenance_interval);
        let exporter = open_exporter(&context, config, &extension, &parameters)?;
        context.set_timer_after(TimeDelta::ZERO, Timer::Maintenance);
        context.set_timer_after(REPORT_INTERVAL, Timer::Report);
        let command_times =
            command_times(&parameters, &extension, vote_timeout, maintenance_interval);
        let mut gateway = Gateway {
            context,
            downstream: Downstream::new(listener, downstream_settings),
            upstream: Upstream::new(limits.connect_timeout, limits.idle_timeout),
            discovery,
            rollout_platform,
            gossip,
            forwarding,
            control_socket,
            exporter,
            leases: None,
            rollout_commands: None,
            shutdown: new_shutdown_state(&parameters),
            extension_path,
            config_path: config.path.clone(),
            vote_timeout,
            maintenance_interval,
            dispatcher: Dispatcher::new(parameters, names, config.seed()),
        };
        gateway.apply_initial_state(config, &extension, &command_times)?;
        Ok(gateway)
    }

    /// Applies the cached endpoint list and the rollout state, starts the leases, and starts accepting connections.
    fn apply_initial_state(
        &mut self,
        config: &GatewayConfig,
        extension: &ExtensionConfig,
        command_times: &CommandTimes,
    ) -> Result<(), StartError> {
        self.discovery.apply_cached(
            &mut self.context,
            &mut self.dispatcher.names,
            &mut self.upstream,
            &config.cached_list,
        );
        let update = config.rollouts.as_ref().and_then(|r| r.state);
        if let (Some(platform), Some(update)) = (&mut self.rollout_platform, update) {
            platform.apply_update(&mut self.context, update, false);
        }
        let now = self.context.now();
        self.handle_multi_site_event(now, harrierdock_multi_site::Event::TimerFired);
        self.start_leases(config, extension, command_times)?;
        self.process_events();
        self.update_readiness();
        self.downstream
            .start_accepting(&self.context)
            .map_err(StartError::Watch)
    }
}

fn new_context(
    config: &GatewayConfig,
    extension: &ExtensionConfig,
    event_loop: &EventLoop<'static, Gateway>,
) -> Context {
    let reserved = RESERVED_DESCRIPTORS + extension.reserved_descriptors();
    let connection_limit = config.limits.descriptors.saturating_sub(reserved);
    let pool = BufferPool::new(config.limits.memory_mb, connection_limit);
    let descriptors = DescriptorBudget::new(pool.max_connections(), 0);
    let io = IoContext::new(event_loop.handle(), pool, descriptors);
    Context::new(io, SocketHandlers::of_gateway())
}

fn new_discovery(
    context: &Context,
    config: &GatewayConfig,
    maintenance_interval: TimeDelta,
) -> Discovery {
    let settings = DiscoverySettings {
        address: config.discovery,
        retry_interval: maintenance_interval,
        list_limits: ListLimits::new(&config.limits, &context.buffers),
    };
    Discovery::new(context.now(), &settings, &config.parameters, config.seed())
}

fn downstream_settings(
    config: &GatewayConfig,
    parameters: &Parameters,
    names: &Names,
) -> DownstreamSettings {
    DownstreamSettings {
        classes: names.classes.clone(),
        idle_timeout: parameters.limits.idle_timeout,
        descriptor_limit: config.limits.descriptors,
    }
}

/// Binds the listener for clients. Connections wait in its backlog until the gateway has started.
///
/// # Errors
///
/// The address cannot be bound.
pub(crate) fn listen_on(address: SocketAddr) -> Result<Listener, StartError> {
    Listener::bind(address).map_err(|source| StartError::Listen { address, source })
}

fn open_control_socket(
    context: &Context,
    extension: &ExtensionConfig,
) -> Result<Option<ControlSocket>, ControlSocketError> {
    let path: Option<&Path> = extension
        .sites
        .as_ref()
        .and_then(|s| s.control_socket.as_deref());
    path.map(|path| {
        ControlSocket::open(
            &context.handle,
            extension.resolve_path(path),
            handle_control_connection,
        )
    })
    .transpose()
}

fn open_exporter(
    context: &Context,
    config: &GatewayConfig,
    extension: &ExtensionConfig,
    parameters: &Parameters,
) -> Result<Option<Box<FlowExporter>>, FlowExportError> {
    let Some(settings) = &extension.flows else {
        return Ok(None);
    };
    let latency_objectives = parameters
        .classes
        .iter()
        .map(|class| class.latency_objective)
        .collect();
    let setup = ExporterSetup {
        settings,
        folder: extension.folder(),
        latency_objectives,
        seed: config.seed(),
    };
    let exporter = FlowExporter::open(context.now(), setup)?;
    Ok(Some(Box::new(exporter)))
}

/// Blocks the signals that the event loop handles. Threads started later inherit the block.
///
/// # Errors
///
/// The operating system reports an error.
pub(super) fn block_signals() -> Result<Signals, StartError> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(StartError::Signals)
}

/// Adds the signals to the event loop. Its first iteration handles the signals that arrived while they were blocked.
///
/// # Errors
///
/// The signal source cannot be added.
pub(super) fn watch_signals(
    event_loop: &EventLoop<'static, Gateway>,
    signals: Signals,
) -> Result<(), StartError> {
    let handle_signal = |event: SignalEvent, _: &mut (), gateway: &mut Gateway| match event.signal()
    {
        Signal::SIGHUP => gateway.reload(),
        _ => gateway.shut_down(),
    };
    event_loop
        .handle()
        .insert_source(signals, handle_signal)
        .map(|_| ())
        .map_err(|e| StartError::WatchSignals(WatchError(e.error)))
}

fn command_times(
    parameters: &Parameters,
    extension: &ExtensionConfig,
    vote_timeout: TimeDelta,
    maintenance_interval: TimeDelta,
) -> CommandTimes {
    let heartbeat = extension
        .leases
        .as_ref()
        .map_or(maintenance_interval, |leases| {
            TimeDelta::from_millis(i64::from(leases.heartbeat_ms))
        });
    CommandTimes {
        vote_ttl: parameters.rollout.vote_ttl,
        timeout: vote_timeout.max(maintenance_interval),
        heartbeat,
    }
}

fn new_shutdown_state(parameters: &Parameters) -> ShutdownState {
    let longest_timeout = parameters.classes.iter().map(|class| class.timeout).max();
    ShutdownState {
        schedule: None,
        signals_blocked_at: None,
        is_complete: false,
        longest_timeout: longest_timeout.unwrap_or(TimeDelta(i64::MAX)),
        check_interval: parameters.clock_resolution.max(MIN_INTERVAL),
    }
}
