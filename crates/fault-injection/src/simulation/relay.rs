//! Relays in front of the gateways' sockets for the other site: they delay, drop, repeat and cut datagrams.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use harrierdock_types::TimeDelta;
use nanorand::Rng;

use super::{PathFaults, Simulation, SimulationError, TimerEvent};

const DATAGRAM_BUFFER_BYTES: usize = 2048;
/// Datagrams that are read before other sockets have their turn.
const READS_PER_TURN: usize = 64;
/// One way between the sites takes a time in this range, in microseconds.
const DELAY_RANGE_US: std::ops::Range<i64> = 700..1300;
/// Datagrams are lost so many times as often as they are repeated.
const LOSSES_PER_REPEAT: f64 = 10.0;

struct Relay {
    front: Rc<UdpSocket>,
    site: usize,
    target: Option<SocketAddr>,
    /// The sockets that stand for the other site's gateways, by their addresses.
    senders: BTreeMap<SocketAddr, Rc<UdpSocket>>,
}

struct DelayedDatagram {
    socket: Rc<UdpSocket>,
    receiver: SocketAddr,
    bytes: Vec<u8>,
}

/// All relays, and the datagrams on their way.
#[derive(Default)]
pub(super) struct Relays {
    relays: Vec<Relay>,
    delayed: BTreeMap<u64, DelayedDatagram>,
    last_id: u64,
}

impl Relays {
    /// Sends a datagram whose delay is over.
    pub(super) fn send_delayed(&mut self, id: u64) {
        if let Some(datagram) = self.delayed.remove(&id) {
            let _ = datagram.socket.send_to(&datagram.bytes, datagram.receiver);
        }
    }
}

impl Simulation {
    /// Starts a relay in front of a gateway of this site and returns its address.
    ///
    /// # Errors
    ///
    /// No socket is to be had.
    pub fn add_relay(&mut self, site: usize) -> Result<SocketAddr, SimulationError> {
        let front = UdpSocket::bind("127.0.0.1:0")?;
        let index = self.relays.relays.len();
        let address = front.local_addr()?;
        let front = self.receive_datagrams(front, move |simulation, sender, bytes| {
            simulation.relay_datagram(index, sender, bytes);
        })?;
        self.relays.relays.push(Relay {
            front,
            site,
            target: None,
            senders: BTreeMap::new(),
        });
        Ok(address)
    }

    /// Makes a relay send to this address from now on.
    pub fn set_relay_target(&mut self, relay: usize, target: SocketAddr) {
        let relay = &mut self.relays.relays[relay];
        relay.target = Some(target);
        relay.senders.clear();
    }

    fn receive_datagrams(
        &mut self,
        socket: UdpSocket,
        handle: impl Fn(&mut Simulation, SocketAddr, &[u8]) + 'static,
    ) -> Result<Rc<UdpSocket>, SimulationError> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let reader = socket.clone();
        let on_readable = move |_, _: &mut _, simulation: &mut Simulation| {
            let mut buffer = [0_u8; DATAGRAM_BUFFER_BYTES];
            for _ in 0..READS_PER_TURN {
                match reader.recv_from(&mut buffer) {
                    Ok((size, sender)) => handle(simulation, sender, &buffer[..size]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
            Ok(PostAction::Continue)
        };
        self.io
            .handle
            .insert_source(source, on_readable)
            .map_err(|error| SimulationError::EventSource(error.error))?;
        Ok(socket)
    }

    /// Passes a datagram of the other site's gateway on to this relay's gateway.
    fn relay_datagram(&mut self, index: usize, sender: SocketAddr, bytes: &[u8]) {
        let Some(target) = self.relays.relays[index].target else {
            return;
        };
        let known_socket = self.relays.relays[index].senders.get(&sender).cloned();
        let socket = match known_socket {
            Some(socket) => socket,
            None => {
                let Some(socket) = self.open_sender_socket(index, sender) else {
                    return;
                };
                socket
            }
        };
        let origin_site = 1 - self.relays.relays[index].site;
        self.delay_datagram(origin_site, socket, target, bytes);
    }

    /// Opens the socket that stands for a gateway of the other site; what comes there goes back to that gateway.
    fn open_sender_socket(&mut self, index: usize, sender: SocketAddr) -> Option<Rc<UdpSocket>> {
        let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
        let return_datagram = move |simulation: &mut Simulation, _: SocketAddr, bytes: &[u8]| {
            let relay = &simulation.relays.relays[index];
            let front = relay.front.clone();
            let site = relay.site;
            simulation.delay_datagram(site, front, sender, bytes);
        };
        let socket = self.receive_datagrams(socket, return_datagram).ok()?;
        self.relays.relays[index]
            .senders
            .insert(sender, socket.clone());
        Some(socket)
    }

    /// Drops a datagram from a site, or delays it by the sites' distance and now and then repeats it.
    fn delay_datagram(
        &mut self,
        origin_site: usize,
        socket: Rc<UdpSocket>,
        receiver: SocketAddr,
        bytes: &[u8],
    ) {
        let PathFaults {
            loss_ratio,
            is_one_way,
            is_cut,
        } = self.path_faults;
        self.observations.datagrams += 1;
        let is_blocked = is_cut || (is_one_way && origin_site == 0);
        if is_blocked || self.rng.generate::<f64>() < loss_ratio {
            self.observations.datagrams_dropped += 1;
            return;
        }
        let is_repeated = self.rng.generate::<f64>() < loss_ratio / LOSSES_PER_REPEAT;
        let copies = 1 + usize::from(is_repeated);
        for _ in 0..copies {
            let delay = TimeDelta(self.rng.generate_range(DELAY_RANGE_US));
            self.relays.last_id += 1;
            let id = self.relays.last_id;
            let datagram = DelayedDatagram {
                socket: socket.clone(),
                receiver,
                bytes: bytes.to_vec(),
            };
            self.relays.delayed.insert(id, datagram);
            let deadline = self.io.now() + delay;
            self.timers.set(deadline, TimerEvent::Datagram(id));
        }
    }
}
