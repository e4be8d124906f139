//! The transport to the other site's gateways on one UDP socket, and the state of cross-site forwarding.
//! `harrierdock-multi-site` decides which requests are forwarded.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use harrierdock_config::Names;
use harrierdock_multi_site::{MultiSite, MultiSiteConfig, RequestClass};
use harrierdock_site_messages::{
    self as site_messages, ForwardedRequest, ForwardingOutcome, GatewayName, SiteMessage,
};
use harrierdock_site_transport::{Delivery, PathId, SetupError, SiteTransport};
use harrierdock_types::{AffinityKey, BuildId, Parameters, RequestId, TimeDelta, Timestamp};
use socket2::{Domain, Protocol, Socket, Type};
use thiserror::Error;

use super::inbound::InboundRequests;
use super::log::Refusals;
use crate::config::error::{ConfigError, ExtensionError};
use crate::config::extension::ExtensionConfig;
use crate::config::gateway::GatewayConfig;
use crate::config::sites::SiteSettings;
use crate::runtime::context::{Context, OutboundRequest};
use crate::runtime::timer::Timer;

/// A longer datagram is truncated on receipt.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Datagrams read per iteration of the event loop, so that a flood of datagrams doesn't delay requests.
const MAX_READS_PER_ITERATION: usize = 64;
/// The size of the socket's send and receive buffers.
const SOCKET_BUFFER_BYTES: usize = 1 << 20;
/// Responses stored for the other site may take up this fraction of the memory limit.
const STORED_RESPONSE_MEMORY_DIVISOR: usize = 32;
const BYTES_PER_MEGABYTE: usize = 1 << 20;
/// The timer is not reset if the transport's deadline moves by less than this.
const TIMER_SLACK_MICROS: i64 = 1000;

/// An error on opening the transport to the other site or on reloading its keys.
#[derive(Debug, Error)]
pub(crate) enum ForwardingError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The key files cannot be read or are invalid.
    #[error(transparent)]
    Extension(#[from] ExtensionError),
    /// The extension file no longer configures another site.
    #[error("the extension file has no sites section")]
    NoSites,
    /// The transport does not accept the keys.
    #[error("sites.keys: {0}")]
    Keys(#[from] SetupError),
    /// The UDP socket cannot be bound.
    #[error("sites.listen: {address}: {source}")]
    Listen {
        /// The address in `sites.listen`.
        address: SocketAddr,
        /// The error reported by the operating system.
        source: io::Error,
    },
    /// The event loop cannot watch the socket.
    #[error("sites: {0}")]
    Watch(#[source] calloop::Error),
}

/// The outcome of an inbound request, to send to the other site.
pub(crate) struct InboundAnswer {
    /// Whether the request succeeded, was rejected, or failed.
    pub(crate) outcome: ForwardingOutcome,
    /// The build of the endpoint that answered, if one did.
    pub(crate) build: Option<BuildId>,
    /// The response body, empty without a response.
    pub(crate) body: Vec<u8>,
}

impl InboundAnswer {
    /// An outcome without a response from an endpoint.
    pub(crate) fn without_body(outcome: ForwardingOutcome) -> InboundAnswer {
        InboundAnswer {
            outcome,
            build: None,
            body: Vec::new(),
        }
    }
}

/// The attributes of a request that are forwarded besides its HTTP fields.
pub(crate) struct OutboundAttributes {
    /// The name of the request class.
    pub(crate) class: String,
    /// The affinity key; `None` if the client sent none.
    pub(crate) key: Option<AffinityKey>,
    /// Whether the client has sent the request before.
    pub(crate) is_client_retry: bool,
    /// The oldest build that may answer requests with this affinity key; 0 for any.
    pub(crate) sticky_build: BuildId,
    /// The time until the request's deadline.
    pub(crate) time_left: TimeDelta,
}

impl OutboundAttributes {
    /// Builds the message that forwards the request. Takes the ids and the heartbeat sequence number from `blank`, and sets all
    /// other fields.
    pub(crate) fn into_message(
        self,
        request: &OutboundRequest<'_>,
        blank: ForwardedRequest,
    ) -> ForwardedRequest {
        let time_left_ms = self.time_left.0 / 1000;
        ForwardedRequest {
            class: self.class,
            remaining_ms: time_left_ms.clamp(0, i64::from(u32::MAX)) as u32,
            is_client_retry: self.is_client_retry,
            affinity_key: self.key.map(|key| key.0),
            minimum_build: self.sticky_build.0,
            method: request.method.into(),
            target: request.target.into(),
            request_id: request.client_request_id.into(),
            idempotency_key: request.idempotency_key.map(str::to_string),
            body: request.body.to_vec(),
            ..blank
        }
    }
}

/// This gateway's connections to the other site and its forwarded requests.
pub(crate) struct Forwarding {
    /// The decisions about forwarding between the sites.
    pub(crate) sites: MultiSite,
    /// The encrypted connections, without their socket.
    pub(crate) transport: SiteTransport,
    /// The paths that this gateway opened and whose handshake is not complete.
    pub(crate) connecting: BTreeMap<PathId, GatewayName>,
    /// The unanswered requests from the other site.
    pub(crate) inbound: InboundRequests,
    /// When the timer of the forwarding decisions fires; `None` if no timer is set.
    pub(crate) sites_deadline: Option<Timestamp>,
    /// The refused connections that are not logged yet.
    pub(crate) refusals: Refusals,
    /// The other site's name. A reload cannot change it.
    pub(crate) other_site: String,
    local_name: GatewayName,
    socket: Rc<UdpSocket>,
    transport_deadline: Option<Timestamp>,
}

impl Forwarding {
    /// Binds the socket and starts without connections. `None` if no other site is configured.
    ///
    /// # Errors
    ///
    /// The keys cannot be read, or the address cannot be bound.
    pub(crate) fn open(
        context: &Context,
        config: &GatewayConfig,
        extension: &ExtensionConfig,
    ) -> Result<Option<Forwarding>, ForwardingError> {
        let Some(settings) = &extension.sites else {
            return Ok(None);
        };
        let parameters = &config.parameters;
        let local_name = settings.local_name(&config.name);
        let credentials = settings.credentials(&local_name, extension.folder())?;
        let transport = SiteTransport::new(&credentials, &settings.other.site)?;
        let listen_error = |source: io::Error| ForwardingError::Listen {
            address: settings.listen,
            source,
        };
        let socket = Rc::new(bind(settings.listen).map_err(listen_error)?);
        let address = socket.local_addr().map_err(listen_error)?;
        let site_config = MultiSiteConfig {
            own_name: local_name.clone(),
            address: Some(settings.reached_at.unwrap_or(address)),
            incarnation: incarnation(),
            other_site: settings.other.site.clone(),
            seeds: settings.seeds(),
            classes: request_classes(settings, parameters, &config.names),
            slow_start_window: parameters.safety.slow_start_window,
            tick: parameters.clock_resolution,
            retry_after: parameters.limits.retry_after,
            stored_response_bytes: config.limits.memory_mb * BYTES_PER_MEGABYTE
                / STORED_RESPONSE_MEMORY_DIVISOR,
            seed: config.seed(),
        };
        watch_socket(context, &socket)?;
        tracing::info!(
            "sites: {local_name} listens on {address} for gateways of {}",
            settings.other.site
        );
        Ok(Some(Forwarding {
            sites: MultiSite::new(context.now(), site_config),
            transport,
            connecting: BTreeMap::new(),
            inbound: InboundRequests::default(),
            sites_deadline: None,
            refusals: Refusals::default(),
            other_site: settings.other.site.clone(),
            local_name,
            socket,
            transport_deadline: None,
        }))
    }

    /// Reads the received datagrams and passes them to the transport.
    pub(crate) fn receive(&mut self) {
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_READS_PER_ITERATION {
            match self.socket.recv_from(&mut buffer) {
                Ok((size, from)) => {
                    self.transport
                        .handle_datagram(Instant::now(), from, &buffer[..size])
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The system reports that an earlier datagram could not be delivered.
                Err(_) => {}
            }
        }
    }

    /// Calls a function with the HTTP fields of an inbound request. `None` if the request is already answered.
    pub(crate) fn with_inbound_request<T>(
        &self,
        id: RequestId,
        function: impl FnOnce(OutboundRequest<'_>) -> T,
    ) -> Option<T> {
        self.inbound.outbound_request(id).map(function)
    }

    /// Queues a message on a path. Returns whether the transport accepted it.
    pub(crate) fn send(
        &mut self,
        context: &mut Context,
        path: PathId,
        message: &SiteMessage,
    ) -> bool {
        match site_messages::encode(message) {
            Ok(bytes) => {
                let delivery = match message {
                    SiteMessage::Heartbeat(_) => Delivery::BestEffort,
                    _ => Delivery::Reliable,
                };
                self.transport.send(Instant::now(), path, bytes, delivery)
            }
            Err(e) => {
                context
                    .counters
                    .check_invariant(false, &format!("a message can be encoded: {e}"));
                false
            }
        }
    }

    /// Sends the transport's queued datagrams and sets its timer.
    pub(crate) fn flush(&mut self, context: &mut Context) {
        while let Some((to, bytes)) = self.transport.next_datagram() {
            // A datagram that cannot be sent counts as lost: the transport recovers from lost datagrams.
            let _ = self.socket.send_to(&bytes, to);
        }
        let time_until = |at: Instant| {
            TimeDelta(at.saturating_duration_since(Instant::now()).as_micros() as i64)
        };
        let deadline = self
            .transport
            .next_timeout()
            .map(|at| context.now() + time_until(at));
        let is_unchanged = match (self.transport_deadline, deadline) {
            (Some(current), Some(new)) => (current - new).0.abs() < TIMER_SLACK_MICROS,
            (None, None) => true,
            _ => false,
        };
        if is_unchanged {
            return;
        }
        if let Some(current) = self.transport_deadline {
            context.timers.cancel(current, Timer::SiteTransport);
        }
        if let Some(new) = deadline {
            context.timers.set(new, Timer::SiteTransport);
        }
        self.transport_deadline = deadline;
    }

    /// Runs the transport's timers after its deadline.
    pub(crate) fn handle_transport_timer(&mut self) {
        self.transport_deadline = None;
        self.transport.handle_timeout(Instant::now());
    }

    /// Reloads the key files. The former keys stay in use on an error.
    ///
    /// # Errors
    ///
    /// The files cannot be read, or the transport does not accept the keys.
    pub(crate) fn reload_keys(
        &mut self,
        settings: &SiteSettings,
        folder: &Path,
    ) -> Result<(), ForwardingError> {
        let credentials = settings.credentials(&self.local_name, folder)?;
        self.transport.replace_credentials(&credentials)?;
        Ok(())
    }
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let kind = Type::DGRAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::UDP))?;
    // The system may grant smaller buffers. Then more datagrams are lost and retransmitted.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into())?;
    Ok(socket.into())
}

fn watch_socket(context: &Context, socket: &Rc<UdpSocket>) -> Result<(), ForwardingError> {
    let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
    let handle_transport = context.handlers.site_transport;
    context
        .handle
        .insert_source(source, move |_, _, gateway| {
            handle_transport(gateway);
            Ok(PostAction::Continue)
        })
        .map(|_| ())
        .map_err(|e| ForwardingError::Watch(e.error))
}

/// The number of this start: Unix time in microseconds, which is higher than at earlier starts.
fn incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

fn request_classes(
    settings: &SiteSettings,
    parameters: &Parameters,
    names: &Names,
) -> Vec<RequestClass> {
    let is_deduplicated_across_sites = |name: &str| {
        settings
            .classes_deduplicated_across_sites
            .iter()
            .any(|configured| configured == name)
    };
    names
        .classes
        .iter()
        .zip(&parameters.classes)
        .map(|(name, class)| RequestClass {
            name: name.to_string(),
            retry_safety: class.retry_safety,
            latency_objective: class.latency_objective,
            timeout: class.timeout,
            priority_weight: class.priority_weight,
            deduplicates_across_sites: is_deduplicated_across_sites(name),
        })
        .collect()
}
