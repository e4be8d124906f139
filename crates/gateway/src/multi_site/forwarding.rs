//! The transport to the other site's gateways, on one UDP socket, and the state of cross-site forwarding. What is forwarded is
//! decided in `harrierdock-multi-site`.

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

/// The longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Datagrams read in one turn of the loop, so that a flood of them gives way to requests.
const MAX_READS_PER_TURN: usize = 64;
/// What the socket may hold until it is read or sent.
const SOCKET_BUFFER_BYTES: usize = 1 << 20;
/// Answers that are kept for the other site may take one in this many parts of the memory limit.
const ANSWER_MEMORY_DIVISOR: usize = 32;
const BYTES_PER_MEGABYTE: usize = 1 << 20;
/// A transport deadline that moves by less than this keeps its timer.
const TIMER_SLACK_MICROS: i64 = 1000;

/// Why the transport to the other site cannot be opened, or its keys not be replaced.
#[derive(Debug, Error)]
pub(crate) enum ForwardingError {
    /// The configuration is refused.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The key files cannot be used.
    #[error(transparent)]
    Extension(#[from] ExtensionError),
    /// The extension file names no other site any more.
    #[error("no sites")]
    NoSites,
    /// The keys do not fit the transport.
    #[error("sites.keys: {0}")]
    Keys(#[from] SetupError),
    /// The socket cannot be opened.
    #[error("sites.listen: {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The loop cannot watch the socket.
    #[error("sites: {0}")]
    Watch(#[source] calloop::Error),
}

/// The answer to a request that the other site has forwarded.
pub(crate) struct InboundAnswer {
    /// How it ended.
    pub(crate) outcome: ForwardingOutcome,
    /// The build that answered it.
    pub(crate) build: Option<BuildId>,
    /// The response's body.
    pub(crate) body: Vec<u8>,
}

impl InboundAnswer {
    /// An answer that no endpoint has given.
    pub(crate) fn without_body(outcome: ForwardingOutcome) -> InboundAnswer {
        InboundAnswer {
            outcome,
            build: None,
            body: Vec::new(),
        }
    }
}

/// What is forwarded of a request besides its bytes.
pub(crate) struct OutboundAttributes {
    /// The name of its class.
    pub(crate) class: String,
    /// Its affinity key, if it has one.
    pub(crate) key: Option<AffinityKey>,
    /// Whether its client has sent it before.
    pub(crate) is_client_retry: bool,
    /// The oldest build that may answer its affinity key.
    pub(crate) sticky_build: BuildId,
    /// How long its client still waits.
    pub(crate) time_left: TimeDelta,
}

impl OutboundAttributes {
    /// The message that forwards the request. `blank` holds the rest of its fields.
    pub(crate) fn message(
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

/// This gateway's side of the connections between two sites.
pub(crate) struct Forwarding {
    /// What is decided between the sites.
    pub(crate) sites: MultiSite,
    /// The transport.
    pub(crate) transport: SiteTransport,
    /// The paths that were opened and have not come up.
    pub(crate) connecting: BTreeMap<PathId, GatewayName>,
    /// The requests that the other site has forwarded.
    pub(crate) inbound: InboundRequests,
    /// The deadline of the forwarding timer.
    pub(crate) sites_deadline: Option<Timestamp>,
    /// Connections refused lately.
    pub(crate) refusals: Refusals,
    /// The other site's name.
    pub(crate) other_site: String,
    local_name: GatewayName,
    socket: Rc<UdpSocket>,
    transport_deadline: Option<Timestamp>,
}

impl Forwarding {
    /// Opens the socket. `None` if no other site is configured.
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
            tick: parameters.tick,
            retry_after: parameters.limits.retry_after,
            stored_response_bytes: config.limits.memory_mb * BYTES_PER_MEGABYTE
                / ANSWER_MEMORY_DIVISOR,
            seed: config.seed(),
        };
        watch(context, &socket)?;
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

    /// Reads what has arrived and hands it to the transport.
    pub(crate) fn receive(&mut self) {
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            match self.socket.recv_from(&mut buffer) {
                Ok((size, from)) => {
                    self.transport
                        .handle_datagram(Instant::now(), from, &buffer[..size])
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The system reports here that an earlier datagram could not be delivered.
                Err(_) => {}
            }
        }
    }

    /// Calls a function with the bytes of an inbound request that has no answer yet.
    pub(crate) fn with_inbound_request<T>(
        &self,
        id: RequestId,
        function: impl FnOnce(OutboundRequest<'_>) -> T,
    ) -> Option<T> {
        self.inbound.outbound_request(id).map(function)
    }

    /// Sends a message on a connection. Returns whether the transport has taken it.
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

    /// Sends what the transport has for the socket, and sets its timer.
    pub(crate) fn flush(&mut self, context: &mut Context) {
        while let Some((to, bytes)) = self.transport.next_datagram() {
            // A datagram may be lost, so one that cannot be sent needs no handling of its own.
            let _ = self.socket.send_to(&bytes, to);
        }
        let delay_until = |at: Instant| {
            TimeDelta(at.saturating_duration_since(Instant::now()).as_micros() as i64)
        };
        let deadline = self
            .transport
            .next_timeout()
            .map(|at| context.now() + delay_until(at));
        let is_unchanged = match (self.transport_deadline, deadline) {
            (Some(set), Some(wanted)) => (set - wanted).0.abs() < TIMER_SLACK_MICROS,
            (None, None) => true,
            _ => false,
        };
        if is_unchanged {
            return;
        }
        if let Some(set) = self.transport_deadline {
            context.timers.cancel(set, Timer::SiteTransport);
        }
        if let Some(wanted) = deadline {
            context.timers.set(wanted, Timer::SiteTransport);
        }
        self.transport_deadline = deadline;
    }

    /// The transport's timer has fired.
    pub(crate) fn handle_transport_timer(&mut self) {
        self.transport_deadline = None;
        self.transport.handle_timeout(Instant::now());
    }

    /// Reads the key files again.
    ///
    /// # Errors
    ///
    /// They cannot be read, or do not fit; the former keys stay.
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
    // The system may grant less; then more is lost and sent again.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into())?;
    Ok(socket.into())
}

fn watch(context: &Context, socket: &Rc<UdpSocket>) -> Result<(), ForwardingError> {
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

/// Unix time in microseconds, which is above that of this gateway's earlier starts.
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
    let spans = |name: &str| {
        settings
            .classes_deduplicated_across_sites
            .iter()
            .any(|spanning| spanning == name)
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
            deduplicates_across_sites: spans(name),
        })
        .collect()
}
