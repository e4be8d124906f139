//! Relays in front of the sockets that gateways use for the other site. They delay, drop and repeat datagrams, and cut paths.

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
/// Maximum number of datagrams read before the event loop serves other sockets.
const MAX_READS_PER_EVENT: usize = 64;
/// Range of the one-way delay between the sites, in microseconds.
const DELAY_RANGE_US: std::ops::Range<i64> = 700..1300;
/// Ratio of the loss probability to the repeat probability of datagrams.
const LOSSES_PER_REPEAT: f64 = 10.0;

/// A relay in front of one gateway.
struct Relay {
    /// Receives datagrams from the other site's gateways.
    front_socket: Rc<UdpSocket>,
    /// Index of the gateway's site.
    site: usize,
    /// Address of the gateway; `None` until it is set.
    target: Option<SocketAddr>,
    /// One socket towards the gateway for each gateway of the other site, by that gateway's address.
    sender_sockets: BTreeMap<SocketAddr, Rc<UdpSocket>>,
}

/// A datagram that waits for the end of its delay.
struct DelayedDatagram {
    socket: Rc<UdpSocket>,
    receiver: SocketAddr,
    bytes: Vec<u8>,
}

/// All relays, and the datagrams that they are delaying.
#[derive(Default)]
pub(super) struct Relays {
    relays: Vec<Relay>,
    delayed: BTreeMap<u64, DelayedDatagram>,
    last_id: u64,
}

impl Relays {
    /// Sends a delayed datagram, identified by its number.
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
    /// A socket cannot be opened or registered.
    pub fn add_relay(&mut self, site: usize) -> Result<SocketAddr, SimulationError> {
        let front_socket = UdpSocket::bind("127.0.0.1:0")?;
        let index = self.relays.relays.len();
        let address = front_socket.local_addr()?;
        let front_socket =
            self.receive_datagrams(front_socket, move |simulation, sender, bytes| {
                simulation.relay_datagram(index, sender, bytes);
            })?;
        self.relays.relays.push(Relay {
            front_socket,
            site,
            target: None,
            sender_sockets: BTreeMap::new(),
        });
        Ok(address)
    }

    /// Sets the address of the gateway behind a relay.
    pub fn set_relay_target(&mut self, relay: usize, target: SocketAddr) {
        let relay = &mut self.relays.relays[relay];
        relay.target = Some(target);
        relay.sender_sockets.clear();
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
            for _ in 0..MAX_READS_PER_EVENT {
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

    /// Forwards a datagram from a gateway of the other site to this relay's gateway.
    fn relay_datagram(&mut self, index: usize, sender: SocketAddr, bytes: &[u8]) {
        let Some(target) = self.relays.relays[index].target else {
            return;
        };
        let known_socket = self.relays.relays[index]
            .sender_sockets
            .get(&sender)
            .cloned();
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

    /// Opens the socket that represents a gateway of the other site. Datagrams received on it are returned to that gateway.
    fn open_sender_socket(&mut self, index: usize, sender: SocketAddr) -> Option<Rc<UdpSocket>> {
        let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
        let return_datagram = move |simulation: &mut Simulation, _: SocketAddr, bytes: &[u8]| {
            let relay = &simulation.relays.relays[index];
            let front_socket = relay.front_socket.clone();
            let site = relay.site;
            simulation.delay_datagram(site, front_socket, sender, bytes);
        };
        let socket = self.receive_datagrams(socket, return_datagram).ok()?;
        self.relays.relays[index]
            .sender_sockets
            .insert(sender, socket.clone());
        Some(socket)
    }

    /// Drops a datagram from a site, or delays it by the one-way delay. Some datagrams are repeated.
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
