//! Gossip between the gateways of a fleet: UDP datagrams, with each peer identified by its configured address.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use harrierdock_types::gossip;
use harrierdock_types::{Event, GossipMessage, PeerId};

use crate::config::gateway::GatewayConfig;
use crate::lease::participant::MIN_BINARY_FIRST_BYTE;
use crate::metrics::Counter;
use crate::runtime::context::{Context, InternalEvent};

/// Longest datagram that is sent or accepted.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Datagrams read per iteration of the event loop, so that a burst of datagrams doesn't delay requests.
const MAX_READS_PER_ITERATION: usize = 32;

/// UDP socket for messages to and from peers.
pub(crate) struct GossipSocket {
    socket: Rc<UdpSocket>,
    /// Addresses of all gateways, this one included, indexed by `PeerId`.
    peers: Vec<SocketAddr>,
    /// Address at which a datagram reaches all peers. `None` if the configuration has none.
    broadcast: Option<SocketAddr>,
    local_peer: PeerId,
}

impl GossipSocket {
    /// Binds the socket and watches it. Returns `None` if the configuration has no gossip address.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the event loop cannot watch the socket.
    pub(crate) fn open<D>(
        handle: &LoopHandle<'static, D>,
        config: &GatewayConfig,
        local_peer: PeerId,
        handle_readable: impl Fn(&mut D) + 'static,
    ) -> io::Result<Option<GossipSocket>> {
        let Some(address) = config.gossip_listen else {
            return Ok(None);
        };
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        tracing::info!(
            "{} receives gossip on {}",
            config.name,
            socket.local_addr()?
        );
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        handle
            .insert_source(source, move |_, _, data| {
                handle_readable(data);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        Ok(Some(GossipSocket {
            socket,
            peers: config.peers.clone(),
            broadcast: config.broadcast,
            local_peer,
        }))
    }

    /// Reads received datagrams, up to the limit per iteration, and queues them as internal events.
    pub(crate) fn receive(&self, context: &mut Context) {
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_READS_PER_ITERATION {
            match self.socket.recv_from(&mut buffer) {
                Ok((size, sender)) => self.handle_datagram(context, sender, &buffer[..size]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The operating system reports the failed delivery of an earlier datagram this way.
                Err(_) => {}
            }
        }
    }

    fn handle_datagram(&self, context: &mut Context, sender: SocketAddr, datagram: &[u8]) {
        let from = self
            .peer_at(sender)
            .filter(|_| datagram.len() <= MAX_DATAGRAM_BYTES);
        let Some(from) = from else {
            return context.counters.add(Counter::GossipRefused);
        };
        if datagram
            .first()
            .is_some_and(|b| *b >= MIN_BINARY_FIRST_BYTE)
        {
            return context.emit(InternalEvent::PeerMessage {
                from,
                bytes: datagram.to_vec(),
            });
        }
        let text = std::str::from_utf8(datagram).ok();
        let Some(message) = text.and_then(gossip::decode) else {
            return context.counters.add(Counter::GossipRefused);
        };
        context.counters.add(Counter::GossipReceived);
        context.emit(InternalEvent::Policy(Event::GossipReceived {
            from,
            message,
        }));
    }

    /// The peer with this address. `None` for unknown addresses and for this gateway itself.
    fn peer_at(&self, address: SocketAddr) -> Option<PeerId> {
        let index = self.peers.iter().position(|peer| *peer == address)?;
        Some(PeerId(index)).filter(|peer| *peer != self.local_peer)
    }

    /// Sends a gossip message to a peer, or to all peers if `to` is `None`.
    pub(crate) fn send_gossip(
        &self,
        context: &mut Context,
        to: Option<PeerId>,
        message: &GossipMessage,
    ) {
        let address = match to {
            Some(peer) => self.peers.get(peer.0).copied(),
            None => self.broadcast,
        };
        self.send_datagram(context, address, gossip::encode(message).as_bytes());
    }

    /// Sends a peer a binary message about leases or rollout votes.
    pub(crate) fn send_to_peer(&self, context: &mut Context, to: PeerId, bytes: &[u8]) {
        self.send_datagram(context, self.peers.get(to.0).copied(), bytes);
    }

    fn send_datagram(&self, context: &mut Context, address: Option<SocketAddr>, bytes: &[u8]) {
        let fits = bytes.len() <= MAX_DATAGRAM_BYTES;
        context
            .counters
            .check_invariant(fits, "a message to a peer fits into a datagram");
        if let Some(address) = address.filter(|_| fits) {
            // A datagram may be lost in transit anyway, so a failed send needs no special handling.
            if self.socket.send_to(bytes, address).is_ok() {
                context.counters.add(Counter::GossipSent);
            }
        }
    }
}
