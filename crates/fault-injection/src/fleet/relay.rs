//! The relay between the gateways of one fleet: a socket for each ordered pair, on a thread of its own. Each gateway
//! is configured with the relay's sockets as its peers. The relay can drop datagrams between two gateways in one direction or
//! both, and delay, lose, duplicate, reorder and corrupt them, with random numbers drawn from the seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// Larger than any valid datagram, so that one that is too long isn't truncated to a valid length.
const DATAGRAM_BUFFER_BYTES: usize = 512;
/// The first byte of a fleet message is at least this; gossip messages are text.
const FIRST_FLEET_MESSAGE_BYTE: u8 = 0xF5;
/// The first byte of an elimination vote.
const VOTE_BYTE: u8 = harrierdock_rollout_controller::FIRST_BYTE;
/// How often the thread checks whether it has to stop.
const MAX_WAIT: Duration = Duration::from_millis(20);
const DATAGRAMS_PER_READ: usize = 32;
/// Delay of a datagram, in microseconds.
const USUAL_DELAY_US: Range<u64> = 300..700;
const REORDERED_DELAY_US: Range<u64> = 500..80_000;

/// The faults that currently apply to datagrams.
#[derive(Clone, Debug, Default)]
pub struct DatagramFaults {
    /// Pairs of sender and receiver between which every datagram is dropped.
    pub dropped_pairs: BTreeSet<(usize, usize)>,
    /// Added to the delay of every datagram from or to a gateway, by gateway index.
    pub delays: BTreeMap<usize, Duration>,
    /// Share of all datagrams that is lost, from 0 to 1. The other ratios are shares of the datagrams that are left.
    pub loss_ratio: f64,
    pub duplication_ratio: f64,
    pub reordering_ratio: f64,
    pub corruption_ratio: f64,
}

/// Counts of datagrams and of their bytes since the start of the relay.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub datagrams: u64,
    pub dropped: u64,
    pub corrupted: u64,
    /// Bytes of fleet messages that each gateway sent, by gateway index.
    pub fleet_bytes: Vec<u64>,
    /// Bytes of elimination votes that all gateways sent. `fleet_bytes` includes them.
    pub vote_bytes: u64,
}

#[derive(Default)]
struct Shared {
    faults: DatagramFaults,
    counters: Counters,
    /// Where the running incarnation of each gateway receives gossip; `None` before its first start.
    gossip_addresses: Vec<Option<SocketAddr>>,
}

/// A running relay; its thread stops when it is dropped.
pub struct Relay {
    /// Gateway `g` reaches peer `p` at `peer_addresses[g][p]`. A datagram to `peer_addresses[g][g]` goes to all its peers.
    pub peer_addresses: Vec<Vec<SocketAddr>>,
    shared: Arc<Mutex<Shared>>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Binds the sockets and starts the thread.
    ///
    /// # Errors
    /// A socket can't be opened.
    pub fn start(gateways: usize, seed: u64) -> io::Result<Relay> {
        let bind = || -> io::Result<UdpSocket> {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            Ok(socket)
        };
        let sockets: Vec<UdpSocket> = (0..gateways * gateways)
            .map(|_| bind())
            .collect::<io::Result<_>>()?;
        let addresses = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        let peer_addresses = addresses
            .chunks(gateways.max(1))
            .map(<[SocketAddr]>::to_vec)
            .collect();
        let (shared, is_stopped) = (
            Arc::new(Mutex::new(Shared::default())),
            Arc::new(AtomicBool::new(false)),
        );
        lock(&shared).gossip_addresses = vec![None; gateways];
        lock(&shared).counters.fleet_bytes = vec![0; gateways];
        let mut forwarder = Forwarder {
            gateways,
            sockets,
            shared: shared.clone(),
            rng: WyRand::new_seed(seed ^ 0x0052_454c_4159),
            deliveries: BinaryHeap::new(),
            last_sequence: 0,
        };
        let stop = is_stopped.clone();
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                forwarder.run_once();
            }
        });
        Ok(Relay {
            peer_addresses,
            shared,
            is_stopped,
            thread: Some(thread),
        })
    }

    /// Sets where a gateway's new incarnation receives gossip.
    pub fn set_gossip_address(&self, gateway: usize, address: SocketAddr) {
        lock(&self.shared).gossip_addresses[gateway] = Some(address);
    }

    pub fn update_faults(&self, update: impl FnOnce(&mut DatagramFaults)) {
        update(&mut lock(&self.shared).faults);
    }

    pub fn counters(&self) -> Counters {
        lock(&self.shared).counters.clone()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Delivery time, a sequence number that orders equal times, sender, receiver, and the datagram.
type Delivery = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

/// The state of the relay's thread.
struct Forwarder {
    gateways: usize,
    sockets: Vec<UdpSocket>,
    shared: Arc<Mutex<Shared>>,
    rng: WyRand,
    deliveries: BinaryHeap<Delivery>,
    last_sequence: u64,
}

impl Forwarder {
    /// Waits for datagrams, schedules their deliveries, and sends the datagrams whose delivery time has come.
    fn run_once(&mut self) {
        let until_delivery = self
            .deliveries
            .peek()
            .map(|delivery| delivery.0 .0.saturating_duration_since(Instant::now()));
        let wait = until_delivery.unwrap_or(MAX_WAIT).min(MAX_WAIT);
        let wait = Timespec {
            tv_sec: 0,
            tv_nsec: wait.subsec_nanos().into(),
        };
        let mut polled: Vec<PollFd> = self
            .sockets
            .iter()
            .map(|socket| PollFd::new(socket, PollFlags::IN))
            .collect();
        if poll(&mut polled, Some(&wait)).is_err() {
            return;
        }
        let readable: Vec<usize> = (0..polled.len())
            .filter(|index| polled[*index].revents().contains(PollFlags::IN))
            .collect();
        for index in readable {
            self.receive(index);
        }
        let shared = self.shared.clone();
        while self
            .deliveries
            .peek()
            .is_some_and(|delivery| delivery.0 .0 <= Instant::now())
        {
            let Some(Reverse((_, _, from, to, bytes))) = self.deliveries.pop() else {
                return;
            };
            let address = lock(&shared).gossip_addresses[to];
            if let Some(address) = address {
                // The receiver is configured with the address of this socket for the sender.
                let _ = self.sockets[to * self.gateways + from].send_to(&bytes, address);
            }
        }
    }

    /// Reads datagrams from one socket. Each socket belongs to one pair of sender and receiver.
    fn receive(&mut self, socket_index: usize) {
        let (from, to) = (socket_index / self.gateways, socket_index % self.gateways);
        let mut bytes = [0_u8; DATAGRAM_BUFFER_BYTES];
        let shared = self.shared.clone();
        for _ in 0..DATAGRAMS_PER_READ {
            let Ok((size, _)) = self.sockets[socket_index].recv_from(&mut bytes) else {
                return;
            };
            let mut shared = lock(&shared);
            if bytes[0] >= FIRST_FLEET_MESSAGE_BYTE {
                shared.counters.fleet_bytes[from] += size as u64;
                shared.counters.vote_bytes += if bytes[0] == VOTE_BYTE {
                    size as u64
                } else {
                    0
                };
            }
            let receivers: Vec<usize> = match to == from {
                true => (0..self.gateways).filter(|peer| *peer != from).collect(),
                false => vec![to],
            };
            for receiver in receivers {
                self.schedule_delivery(&mut shared, from, receiver, &bytes[..size]);
            }
        }
    }

    /// Applies the current faults to a datagram, and schedules its delivery unless it is dropped.
    fn schedule_delivery(&mut self, shared: &mut Shared, from: usize, to: usize, bytes: &[u8]) {
        let Shared {
            faults, counters, ..
        } = shared;
        let mut is_drawn = |ratio: f64| ratio > 0.0 && self.rng.generate::<f64>() < ratio;
        counters.datagrams += 1;
        if faults.dropped_pairs.contains(&(from, to)) || is_drawn(faults.loss_ratio) {
            counters.dropped += 1;
            return;
        }
        let (is_duplicated, is_reordered, is_corrupted) = (
            is_drawn(faults.duplication_ratio),
            is_drawn(faults.reordering_ratio),
            is_drawn(faults.corruption_ratio),
        );
        let added_delay: Duration = [from, to]
            .iter()
            .filter_map(|gateway| faults.delays.get(gateway))
            .sum();
        for _ in 0..1 + usize::from(is_duplicated) {
            let mut bytes = bytes.to_vec();
            if is_corrupted && !bytes.is_empty() {
                counters.corrupted += 1;
                let position = self.rng.generate_range(0..bytes.len());
                bytes[position] ^= 1 << self.rng.generate_range(0..8_u8);
            }
            let delay_us = self.rng.generate_range(if is_reordered {
                REORDERED_DELAY_US
            } else {
                USUAL_DELAY_US
            });
            self.last_sequence += 1;
            let at = Instant::now() + added_delay + Duration::from_micros(delay_us);
            self.deliveries
                .push(Reverse((at, self.last_sequence, from, to, bytes)));
        }
    }
}
