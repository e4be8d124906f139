//! A gateway's side of all its connections to the other site: one QUIC endpoint, with a path id for each connection.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use harrierdock_site_messages::{GatewayName, PathId};
use quinn_proto::{
    ClientConfig, Connection, ConnectionHandle, DatagramEvent, Endpoint, EndpointConfig, Incoming,
};

use crate::certificate::dns_name;
use crate::connection::PathConnection;
use crate::tls::EndpointConfigs;
use crate::{ConnectError, Credentials, SetupError, TransportEvent};

/// Limit of connections, including those still in their handshake.
pub(crate) const MAX_CONNECTIONS: usize = 64;
/// Limit of datagrams queued for the socket. At the limit, further data stays queued in the connections.
const MAX_OUTGOING_DATAGRAMS: usize = 1024;

/// Delivery guarantee of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The message arrives unless its path closes.
    Reliable,
    /// The message may be lost. It is sent as a datagram if it fits into one, else on a stream.
    BestEffort,
}

/// Queue of datagrams for the socket, with their destinations.
#[derive(Default)]
pub(crate) struct OutgoingDatagrams(VecDeque<(SocketAddr, Vec<u8>)>);

impl OutgoingDatagrams {
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_OUTGOING_DATAGRAMS
    }

    /// Queues a datagram, or drops it if the queue is full.
    pub(crate) fn push(&mut self, to: SocketAddr, bytes: &[u8]) {
        if !self.is_full() {
            self.0.push_back((to, bytes.to_vec()));
        }
    }
}

/// A gateway's transport to the gateways of the other site.
pub struct SiteTransport {
    endpoint: Endpoint,
    client_config: ClientConfig,
    other_site: String,
    connections: BTreeMap<ConnectionHandle, PathConnection>,
    handles: BTreeMap<PathId, ConnectionHandle>,
    last_path: PathId,
    outgoing: OutgoingDatagrams,
    events: VecDeque<TransportEvent>,
}

impl SiteTransport {
    /// Creates a transport that presents these credentials and accepts only gateways of the other site.
    ///
    /// # Errors
    /// The credentials are unusable.
    pub fn new(credentials: &Credentials, other_site: &str) -> Result<SiteTransport, SetupError> {
        let configs = EndpointConfigs::new(credentials)?;
        let endpoint_config = Arc::new(EndpointConfig::default());
        let server_config = Some(Arc::new(configs.server));
        Ok(SiteTransport {
            endpoint: Endpoint::new(endpoint_config, server_config, true, None),
            client_config: configs.client,
            other_site: other_site.into(),
            connections: BTreeMap::new(),
            handles: BTreeMap::new(),
            last_path: PathId::default(),
            outgoing: OutgoingDatagrams::default(),
            events: VecDeque::new(),
        })
    }

    /// Replaces the credentials for new connections. Open paths stay open.
    ///
    /// # Errors
    /// The credentials are unusable. The previous ones stay in use.
    pub fn replace_credentials(&mut self, credentials: &Credentials) -> Result<(), SetupError> {
        let configs = EndpointConfigs::new(credentials)?;
        self.endpoint
            .set_server_config(Some(Arc::new(configs.server)));
        self.client_config = configs.client;
        Ok(())
    }

    /// Starts to open a path to a gateway. [`TransportEvent::Opened`] or [`TransportEvent::Closed`] follows.
    ///
    /// # Errors
    /// The connection limit is reached, or QUIC rejects the address or name.
    pub fn connect(
        &mut self,
        now: Instant,
        address: SocketAddr,
        peer: &GatewayName,
    ) -> Result<PathId, ConnectError> {
        if self.connections.len() >= MAX_CONNECTIONS {
            return Err(ConnectError::TooManyConnections);
        }
        let config = self.client_config.clone();
        let (handle, connection) = self
            .endpoint
            .connect(now, config, address, &dns_name(peer))
            .map_err(ConnectError::Refused)?;
        Ok(self.add_connection(now, handle, connection, Some(peer.clone())))
    }

    fn add_connection(
        &mut self,
        now: Instant,
        handle: ConnectionHandle,
        connection: Connection,
        peer: Option<GatewayName>,
    ) -> PathId {
        let path = PathId(self.last_path.0 + 1);
        self.last_path = path;
        let connection = PathConnection::new(path, connection, peer);
        self.connections.insert(handle, connection);
        self.handles.insert(path, handle);
        self.drive_connection(now, handle);
        path
    }

    /// Closes a path and sends the reason to the other end.
    pub fn close(&mut self, now: Instant, path: PathId, reason: &str) {
        let Some(handle) = self.handles.get(&path).copied() else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&handle) {
            connection.close_orderly(now, reason);
        }
        self.drive_connection(now, handle);
    }

    /// Handles a datagram from the socket. A datagram that neither belongs to a connection nor starts one is ignored.
    pub fn handle_datagram(&mut self, now: Instant, from: SocketAddr, bytes: &[u8]) {
        let mut response = Vec::new();
        let bytes = BytesMut::from(bytes);
        let event = self
            .endpoint
            .handle(now, from, None, None, bytes, &mut response);
        match event {
            Some(DatagramEvent::ConnectionEvent(handle, event)) => {
                if let Some(connection) = self.connections.get_mut(&handle) {
                    connection.handle_event(event);
                }
                self.drive_connection(now, handle);
            }
            Some(DatagramEvent::NewConnection(incoming)) => self.accept(now, incoming),
            Some(DatagramEvent::Response(transmit)) => {
                self.outgoing
                    .push(transmit.destination, &response[..transmit.size]);
            }
            None => {}
        }
    }

    fn accept(&mut self, now: Instant, incoming: Incoming) {
        let mut response = Vec::new();
        let transmit = if self.connections.len() >= MAX_CONNECTIONS {
            Some(self.endpoint.refuse(incoming, &mut response))
        } else {
            match self.endpoint.accept(incoming, now, &mut response, None) {
                Ok((handle, connection)) => {
                    self.add_connection(now, handle, connection, None);
                    None
                }
                Err(error) => error.response,
            }
        };
        if let Some(transmit) = transmit {
            self.outgoing
                .push(transmit.destination, &response[..transmit.size]);
        }
    }

    /// Sends a message. Returns false if the path is not open, or if it cannot buffer the message.
    pub fn send(&mut self, now: Instant, path: PathId, bytes: Vec<u8>, delivery: Delivery) -> bool {
        let Some(handle) = self.handles.get(&path).copied() else {
            return false;
        };
        let connection = self.connections.get_mut(&handle);
        let Some(connection) = connection.filter(|connection| connection.is_open) else {
            return false;
        };
        let as_datagram = delivery == Delivery::BestEffort && connection.fits_datagram(bytes.len());
        let is_sent = if as_datagram {
            connection.send_datagram(bytes)
        } else {
            connection.queue_message(bytes)
        };
        if is_sent || as_datagram {
            self.drive_connection(now, handle);
        }
        is_sent
    }

    /// When [`SiteTransport::handle_timeout`] must be called next; `None` if no timer is set.
    pub fn next_timeout(&mut self) -> Option<Instant> {
        self.connections
            .values_mut()
            .filter_map(PathConnection::next_timeout)
            .min()
    }

    /// Handles the timers that have expired.
    pub fn handle_timeout(&mut self, now: Instant) {
        let mut timed_out = Vec::new();
        for (handle, connection) in &mut self.connections {
            if connection.next_timeout().is_some_and(|at| at <= now) {
                timed_out.push(*handle);
            }
        }
        for handle in timed_out {
            if let Some(connection) = self.connections.get_mut(&handle) {
                connection.handle_timeout(now);
            }
            self.drive_connection(now, handle);
        }
    }

    /// Takes the next datagram for the socket, with its destination.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outgoing.0.pop_front()
    }

    /// Takes the next event for the caller.
    pub fn next_event(&mut self) -> Option<TransportEvent> {
        self.events.pop_front()
    }

    /// Number of connections, including those still in their handshake or closing.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether the transport has no connection, in any state.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Advances a connection until it makes no more progress, and removes it once it is drained.
    fn drive_connection(&mut self, now: Instant, handle: ConnectionHandle) {
        let mut progressed = true;
        while progressed {
            let Some(connection) = self.connections.get_mut(&handle) else {
                return;
            };
            progressed = connection.write_messages();
            progressed |= connection.collect_datagrams(now, &mut self.outgoing);
            progressed |= connection.exchange_endpoint_events(handle, &mut self.endpoint);
            progressed |= connection.process_events(now, &self.other_site, &mut self.events);
            if connection.is_drained() {
                return self.remove_connection(handle);
            }
        }
    }

    fn remove_connection(&mut self, handle: ConnectionHandle) {
        if let Some(mut connection) = self.connections.remove(&handle) {
            self.events.extend(connection.take_local_close_event());
            self.handles.remove(&connection.path);
        }
    }
}
