//! One gateway's end of its links: a QUIC endpoint with its connections, called roads here.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use harrierdock_site_messages::{GatewayName, MAX_MESSAGE_BYTES};
use quinn_proto::congestion::BbrConfig;
use quinn_proto::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn_proto::{
    ClientConfig, Connection, ConnectionError, ConnectionHandle, DatagramEvent, Dir, Endpoint,
    EndpointConfig, Event, FinishError, IdleTimeout, ReadError, ReadableError, ServerConfig,
    StreamEvent, StreamId, TransportConfig, VarInt, WriteError,
};
use rustls::server::WebPkiClientVerifier;
use rustls::RootCertStore;
use rustls_pki_types::CertificateDer;

use crate::keys::{dns_name, party, Credentials};

/// The number of a link, never used twice.
pub type PathId = u64;

/// What both ends speak (ALPN, RFC 7301).
const SPEAKS: &[u8] = b"harrierdock/1";
/// A link on which nothing comes for this long is none.
const SILENCE: Duration = Duration::from_secs(3);
/// What a round trip is taken to be until one was seen: so much between regions, less between sites.
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(100);
/// Letters under way at once on a link, each on a stream of its own.
const STREAMS: u32 = 512;
/// Bytes that wait to be sent on a link, at the most.
const WAITING_MOST: usize = 4 << 20;
/// Links at the most, those that are just coming up among them.
const LINKS_MOST: usize = 64;
/// Datagrams that wait for the socket, at the most; the rest stay with their links.
const OUT_MOST: usize = 1024;

/// What was heard, in order.
#[derive(Debug, PartialEq)]
pub enum TransportEvent {
    Opened {
        road: PathId,
        peer: GatewayName,
    },
    /// A link is gone, or one that was dialled never came up.
    /// `orderly` where the other end said that it hangs up.
    Closed {
        road: PathId,
        peer: Option<GatewayName>,
        orderly: bool,
        why: String,
    },
    /// Somebody was turned away before they were anybody.
    Refused {
        remote: SocketAddr,
        why: String,
    },
    Message {
        road: PathId,
        bytes: Vec<u8>,
    },
}

struct Road {
    no: PathId,
    connection: Connection,
    /// Whom we dialled, or who came up.
    peer: Option<GatewayName>,
    up: bool,
    reading: HashMap<StreamId, Vec<u8>>,
    /// What is written on streams that take no more for now, and letters that wait for a stream.
    writing: BTreeMap<StreamId, (Bytes, usize)>,
    queue: VecDeque<Bytes>,
    waiting: usize,
}

pub struct SiteTransport {
    endpoint: Endpoint,
    client: ClientConfig,
    other_site: String,
    roads: BTreeMap<usize, Road>,
    by_no: BTreeMap<PathId, usize>,
    last: PathId,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    heard: VecDeque<TransportEvent>,
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IdleTimeout::try_from(SILENCE).ok());
    transport.initial_rtt(FIRST_ROUND_TRIP);
    transport.max_concurrent_uni_streams(STREAMS.into());
    transport.max_concurrent_bidi_streams(0_u8.into());
    // Guards against a lossy line being taken for a full one: what paces itself by the rate that arrives, not by
    // what is lost, still carries letters where a third of all datagrams are dropped.
    transport.congestion_controller_factory(Arc::new(BbrConfig::default()));
    // Guards against a peer that sends one endless letter, or many: what is not read is not taken in.
    transport.stream_receive_window((MAX_MESSAGE_BYTES as u32 + 1).into());
    transport.receive_window((WAITING_MOST as u32).into());
    Arc::new(transport)
}

fn ends(credentials: &Credentials) -> Result<(ServerConfig, ClientConfig), String> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut roots = RootCertStore::empty();
    for certificate in &credentials.authority {
        roots
            .add(certificate.clone())
            .map_err(|e| format!("authority: {e}"))?;
    }
    let roots = Arc::new(roots);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|e| format!("authority: {e}"))?;
    let versions = &[&rustls::version::TLS13];
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)
        .map_err(|e| e.to_string())?
        .with_client_cert_verifier(verifier)
        .with_single_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(|e| format!("certificate and key: {e}"))?;
    server.alpn_protocols = vec![SPEAKS.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(versions)
        .map_err(|e| e.to_string())?
        .with_root_certificates(roots)
        .with_client_auth_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(|e| format!("certificate and key: {e}"))?;
    client.alpn_protocols = vec![SPEAKS.to_vec()];
    // Guards against a session that outlives the certificate it began with.
    client.resumption = rustls::client::Resumption::disabled();
    server.send_tls13_tickets = 0;
    let server = QuicServerConfig::try_from(server).map_err(|e| e.to_string())?;
    let client = QuicClientConfig::try_from(client).map_err(|e| e.to_string())?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(transport());
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(transport());
    Ok((server, client))
}

impl SiteTransport {
    /// An end that shows these credentials and speaks to gateways of the other site.
    ///
    /// # Errors
    /// Says which of the credentials is of no use, and why.
    pub fn new(credentials: &Credentials, other_site: &str) -> Result<SiteTransport, String> {
        let (server, client) = ends(credentials)?;
        let own = Arc::new(EndpointConfig::default());
        Ok(SiteTransport {
            endpoint: Endpoint::new(own, Some(Arc::new(server)), true, None),
            client,
            other_site: other_site.into(),
            roads: BTreeMap::new(),
            by_no: BTreeMap::new(),
            last: 0,
            out: VecDeque::new(),
            heard: VecDeque::new(),
        })
    }

    /// New credentials, for the links that come up from now on; those that stand go on.
    ///
    /// # Errors
    /// As `new`; then nothing has changed.
    pub fn renew(&mut self, credentials: &Credentials) -> Result<(), String> {
        let (server, client) = ends(credentials)?;
        self.endpoint.set_server_config(Some(Arc::new(server)));
        self.client = client;
        Ok(())
    }

    /// Begins to open a link to a gateway; `Up` or `Down` tells how it went.
    ///
    /// # Errors
    /// Says why it cannot even be tried.
    pub fn dial(
        &mut self,
        now: Instant,
        address: SocketAddr,
        peer: &GatewayName,
    ) -> Result<PathId, String> {
        if self.roads.len() >= LINKS_MOST {
            return Err(format!("{LINKS_MOST} links already"));
        }
        let client = self.client.clone();
        let (handle, connection) = self
            .endpoint
            .connect(now, client, address, &dns_name(peer))
            .map_err(|e| e.to_string())?;
        Ok(self.adopt(now, handle, connection, Some(peer.clone())))
    }

    fn adopt(
        &mut self,
        now: Instant,
        handle: ConnectionHandle,
        connection: Connection,
        peer: Option<GatewayName>,
    ) -> PathId {
        self.last += 1;
        let road = Road {
            no: self.last,
            connection,
            peer,
            up: false,
            reading: HashMap::new(),
            writing: BTreeMap::new(),
            queue: VecDeque::new(),
            waiting: 0,
        };
        self.roads.insert(handle.0, road);
        self.by_no.insert(self.last, handle.0);
        self.drive(now, handle.0);
        self.last
    }

    pub fn hang_up(&mut self, now: Instant, road: PathId, why: &str) {
        let Some(ix) = self.by_no.get(&road).copied() else {
            return;
        };
        if let Some(road) = self.roads.get_mut(&ix) {
            road.connection.close(
                now,
                VarInt::from_u32(0),
                Bytes::copy_from_slice(why.as_bytes()),
            );
        }
        self.drive(now, ix);
    }

    /// A datagram has come in. What is none of ours is passed over.
    pub fn datagram(&mut self, now: Instant, from: SocketAddr, bytes: &[u8]) {
        let mut answer = Vec::new();
        match self
            .endpoint
            .handle(now, from, None, None, BytesMut::from(bytes), &mut answer)
        {
            Some(DatagramEvent::ConnectionEvent(handle, event)) => {
                if let Some(road) = self.roads.get_mut(&handle.0) {
                    road.connection.handle_event(event);
                }
                self.drive(now, handle.0);
            }
            Some(DatagramEvent::NewConnection(incoming)) => {
                if self.roads.len() >= LINKS_MOST {
                    let transmit = self.endpoint.refuse(incoming, &mut answer);
                    return self.put_out(transmit.destination, &answer[..transmit.size]);
                }
                match self.endpoint.accept(incoming, now, &mut answer, None) {
                    Ok((handle, connection)) => {
                        self.adopt(now, handle, connection, None);
                    }
                    Err(e) => {
                        if let Some(transmit) = e.response {
                            self.put_out(transmit.destination, &answer[..transmit.size]);
                        }
                    }
                }
            }
            Some(DatagramEvent::Response(transmit)) => {
                self.put_out(transmit.destination, &answer[..transmit.size])
            }
            None => {}
        }
    }

    fn put_out(&mut self, to: SocketAddr, bytes: &[u8]) {
        if self.out.len() < OUT_MOST {
            self.out.push_back((to, bytes.to_vec()));
        }
    }

    /// Sends a letter. One that `may_be_lost` goes in a datagram if it fits; any other arrives, or its link goes
    /// down. Gives back whether there was room.
    pub fn send(&mut self, now: Instant, road: PathId, bytes: Vec<u8>, may_be_lost: bool) -> bool {
        let Some(ix) = self.by_no.get(&road).copied() else {
            return false;
        };
        let Some(road) = self.roads.get_mut(&ix).filter(|r| r.up) else {
            return false;
        };
        let fits = road
            .connection
            .datagrams()
            .max_size()
            .is_some_and(|most| bytes.len() <= most);
        if may_be_lost && fits {
            let sent = road.connection.datagrams().send(bytes.into(), true).is_ok();
            self.drive(now, ix);
            return sent;
        }
        // Guards against a link that takes in nothing filling the memory: what would wait beyond is not sent.
        if road.waiting + bytes.len() > WAITING_MOST {
            return false;
        }
        road.waiting += bytes.len();
        road.queue.push_back(bytes.into());
        self.drive(now, ix);
        true
    }

    /// When `timeout` is to be called next.
    pub fn next_timeout(&mut self) -> Option<Instant> {
        self.roads
            .values_mut()
            .filter_map(|r| r.connection.poll_timeout())
            .min()
    }

    pub fn timeout(&mut self, now: Instant) {
        let due = |r: &mut Road| r.connection.poll_timeout().is_some_and(|at| at <= now);
        let due: Vec<usize> = self
            .roads
            .iter_mut()
            .filter_map(|(ix, r)| due(r).then_some(*ix))
            .collect();
        for ix in due {
            if let Some(road) = self.roads.get_mut(&ix) {
                road.connection.handle_timeout(now);
            }
            self.drive(now, ix);
        }
    }

    /// The next datagram for the socket.
    pub fn next_out(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    pub fn next_heard(&mut self) -> Option<TransportEvent> {
        self.heard.pop_front()
    }

    pub fn len(&self) -> usize {
        self.roads.len()
    }

    pub fn is_empty(&self) -> bool {
        self.roads.is_empty()
    }

    /// Lets a link do all that it can for now.
    fn drive(&mut self, now: Instant, ix: usize) {
        let mut buffer = Vec::new();
        loop {
            let Some(road) = self.roads.get_mut(&ix) else {
                return;
            };
            let mut moved = road.write();
            while self.out.len() < OUT_MOST {
                buffer.clear();
                let Some(transmit) = road.connection.poll_transmit(now, 1, &mut buffer) else {
                    break;
                };
                self.out
                    .push_back((transmit.destination, buffer[..transmit.size].to_vec()));
                moved = true;
            }
            while let Some(event) = road.connection.poll_endpoint_events() {
                if let Some(event) = self.endpoint.handle_event(ConnectionHandle(ix), event) {
                    road.connection.handle_event(event);
                }
                moved = true;
            }
            while let Some(event) = road.connection.poll() {
                moved = true;
                if let Some(why) = road.take(event, &self.other_site, &mut self.heard) {
                    // Whoever has the wrong name is told so, and gone.
                    road.connection.close(
                        now,
                        VarInt::from_u32(1),
                        Bytes::from(why.clone().into_bytes()),
                    );
                    let remote = road.connection.remote_address();
                    self.heard
                        .push_back(TransportEvent::Refused { remote, why });
                    road.peer = None;
                }
            }
            if road.connection.is_drained() {
                let no = road.no;
                if road.up || road.peer.is_some() {
                    let peer = road.peer.take();
                    self.heard.push_back(TransportEvent::Closed {
                        road: no,
                        peer,
                        orderly: true,
                        why: "closed here".into(),
                    });
                }
                self.roads.remove(&ix);
                self.by_no.remove(&no);
                return;
            }
            if !moved {
                return;
            }
        }
    }
}

impl Road {
    /// Takes in an event. Gives back why the other end is to be turned away, if it is.
    fn take(
        &mut self,
        event: Event,
        other_site: &str,
        heard: &mut VecDeque<TransportEvent>,
    ) -> Option<String> {
        match event {
            Event::Connected => {
                let shown = self.connection.crypto_session().peer_identity();
                let shown =
                    shown.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
                let named = match shown.as_ref().and_then(|chain| chain.first()) {
                    Some(first) => party(first),
                    None => Err("shows no certificate".into()),
                };
                let named = match named {
                    Ok(named) if named.site == other_site => named,
                    Ok(named) => {
                        return Some(format!(
                            "certificate names {named}, no gateway of {other_site}"
                        ))
                    }
                    Err(e) => return Some(format!("certificate {e}")),
                };
                self.up = true;
                self.peer = Some(named.clone());
                heard.push_back(TransportEvent::Opened {
                    road: self.no,
                    peer: named,
                });
            }
            Event::ConnectionLost { reason } => {
                let remote = self.connection.remote_address();
                let (up, peer) = (std::mem::take(&mut self.up), self.peer.take());
                let orderly = matches!(&reason, ConnectionError::ApplicationClosed(c) if c.error_code == VarInt::from_u32(0));
                let why = reason.to_string();
                heard.push_back(match peer {
                    Some(peer) => TransportEvent::Closed {
                        road: self.no,
                        peer: Some(peer),
                        orderly,
                        why,
                    },
                    None if up => TransportEvent::Closed {
                        road: self.no,
                        peer: None,
                        orderly,
                        why,
                    },
                    None => TransportEvent::Refused { remote, why },
                });
            }
            Event::Stream(StreamEvent::Opened { dir: Dir::Uni }) => {
                while let Some(id) = self.connection.streams().accept(Dir::Uni) {
                    self.reading.insert(id, Vec::new());
                    self.read(id, heard);
                }
            }
            Event::Stream(StreamEvent::Readable { id }) => self.read(id, heard),
            Event::Stream(StreamEvent::Stopped { id, .. }) => {
                if let Some((bytes, at)) = self.writing.remove(&id) {
                    self.waiting -= bytes.len() - at;
                }
            }
            Event::DatagramReceived => {
                while let Some(bytes) = self.connection.datagrams().recv() {
                    heard.push_back(TransportEvent::Message {
                        road: self.no,
                        bytes: bytes.into(),
                    });
                }
            }
            _ => {}
        }
        None
    }

    fn read(&mut self, id: StreamId, heard: &mut VecDeque<TransportEvent>) {
        let Some(letter) = self.reading.get_mut(&id) else {
            return;
        };
        let mut stream = self.connection.recv_stream(id);
        let over = match stream.read(true) {
            Ok(mut chunks) => {
                let over = loop {
                    match chunks.next(MAX_MESSAGE_BYTES) {
                        Ok(Some(chunk))
                            if letter.len() + chunk.bytes.len() <= MAX_MESSAGE_BYTES =>
                        {
                            letter.extend_from_slice(&chunk.bytes)
                        }
                        // Too long, or taken back: no letter.
                        Ok(Some(_)) | Err(ReadError::Reset(_)) => {
                            letter.clear();
                            break true;
                        }
                        Ok(None) => break true,
                        Err(ReadError::Blocked) => break false,
                    }
                };
                let _ = chunks.finalize();
                over
            }
            Err(ReadableError::ClosedStream | ReadableError::IllegalOrderedRead) => true,
        };
        if over {
            let letter = self.reading.remove(&id).unwrap_or_default();
            if letter.is_empty() {
                let _ = self.connection.recv_stream(id).stop(VarInt::from_u32(2));
            } else {
                heard.push_back(TransportEvent::Message {
                    road: self.no,
                    bytes: letter,
                });
            }
        }
    }

    /// Writes what waits, as far as the other end takes it. Gives back whether any was.
    fn write(&mut self) -> bool {
        let mut moved = false;
        let mut done = Vec::new();
        while let Some(bytes) = self.queue.pop_front() {
            match self.connection.streams().open(Dir::Uni) {
                Some(id) => self.writing.insert(id, (bytes, 0)),
                None => {
                    self.queue.push_front(bytes);
                    break;
                }
            };
        }
        for (id, (bytes, at)) in &mut self.writing {
            let mut stream = self.connection.send_stream(*id);
            while *at < bytes.len() {
                match stream.write(&bytes[*at..]) {
                    Ok(n) => {
                        (*at, self.waiting, moved) = (*at + n, self.waiting - n, true);
                    }
                    Err(WriteError::Blocked) => break,
                    Err(WriteError::Stopped(_) | WriteError::ClosedStream) => {
                        self.waiting -= bytes.len() - *at;
                        *at = bytes.len();
                    }
                }
            }
            if *at == bytes.len() {
                match stream.finish() {
                    Ok(()) | Err(FinishError::Stopped(_) | FinishError::ClosedStream) => {
                        done.push(*id)
                    }
                }
            }
        }
        done.iter().for_each(|id| drop(self.writing.remove(id)));
        moved || !done.is_empty()
    }
}
