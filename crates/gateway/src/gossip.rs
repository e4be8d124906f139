//! Other gateways of the tier: datagrams, known by their sender's address.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use harrierdock_types::gossip;
use harrierdock_types::{Event, GossipMessage, PeerId};

use crate::config::gateway::Told;
use crate::lease::participant::FLEET_FROM;
use crate::metrics::Count;
use crate::runtime::context::{Notice, Room};

/// The longest datagram that may be sent.
const MOST: usize = 256;
/// Datagrams read in one go, so that a flood of them gives way to requests.
const READ_MOST: usize = 32;

pub struct Peers {
    socket: Rc<UdpSocket>,
    addresses: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    own: PeerId,
}

impl Peers {
    /// None where the gateway was told of no peers.
    pub fn open<D>(
        handle: &LoopHandle<'static, D>,
        told: &Told,
        own: PeerId,
        on_mail: impl Fn(&mut D) + 'static,
    ) -> io::Result<Option<Peers>> {
        let Some(address) = told.peer_listen else {
            return Ok(None);
        };
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        tracing::info!("{} hears peers on {}", told.name, socket.local_addr()?);
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let call = move |_, _: &mut _, data: &mut D| {
            on_mail(data);
            Ok(PostAction::Continue)
        };
        handle
            .insert_source(source, call)
            .map_err(|e| io::Error::other(e.error))?;
        Ok(Some(Peers {
            socket,
            addresses: told.peers.clone(),
            all: told.peers_all,
            own,
        }))
    }

    pub fn hear(&self, room: &mut Room) {
        let mut bytes = [0_u8; MOST + 1];
        for _ in 0..READ_MOST {
            let (size, sender) = match self.socket.recv_from(&mut bytes) {
                Ok(got) => got,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram's word of failure.
                Err(_) => continue,
            };
            let from = self
                .addresses
                .iter()
                .position(|a| *a == sender)
                .map(PeerId)
                .filter(|p| *p != self.own);
            if let Some(from) = from.filter(|_| size <= MOST && bytes[0] >= FLEET_FROM && size > 0)
            {
                room.tell(Notice::FleetMail {
                    from,
                    bytes: bytes[..size].to_vec(),
                });
                continue;
            }
            let said = std::str::from_utf8(&bytes[..size])
                .ok()
                .filter(|_| size <= MOST);
            let Some((from, message)) = from.zip(said.and_then(gossip::decode)) else {
                room.counters.add(Count::MailRefused);
                continue;
            };
            room.counters.add(Count::MailHeard);
            room.tell(Notice::Event(Event::GossipReceived { from, message }));
        }
    }

    pub fn tell(&self, room: &mut Room, to: Option<PeerId>, message: &GossipMessage) {
        let address = match to {
            Some(peer) => self.addresses.get(peer.0).copied(),
            None => self.all,
        };
        self.send_bytes(room, address, gossip::encode(message).as_bytes());
    }

    /// A message of the fleet, to one gateway.
    pub fn send(&self, room: &mut Room, to: PeerId, bytes: &[u8]) {
        self.send_bytes(room, self.addresses.get(to.0).copied(), bytes);
    }

    fn send_bytes(&self, room: &mut Room, address: Option<SocketAddr>, bytes: &[u8]) {
        room.counters
            .must(bytes.len() <= MOST, "a message to a peer fits a datagram");
        if let Some(address) = address.filter(|_| bytes.len() <= MOST) {
            // A datagram may be lost on its way as well.
            if self.socket.send_to(bytes, address).is_ok() {
                room.counters.add(Count::MailSent);
            }
        }
    }
}
