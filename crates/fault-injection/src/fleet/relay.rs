//! The relay between the gateways of one fleet: a socket for each ordered pair, on a thread of its own. Each gateway
//! knows its peers by the relay's sockets, so every datagram between two of them can be cut one way or both,
//! delayed, dropped, doubled, overtaken and garbled, by the seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// The longest datagram between gateways, with room to see one that is longer.
const DATAGRAM_MOST: usize = 512;
/// Fleet messages begin with a byte from here on; the module's are text.
const FLEET_FROM: u8 = 0xF5;
const BALLOT: u8 = harrierdock_rollout_controller::FIRST_BYTE;
/// How long the thread sleeps at the most, so that it sees that it is to end.
const NAP: Duration = Duration::from_millis(20);

/// What befalls datagrams now.
#[derive(Clone, Debug, Default)]
pub struct DatagramFaults {
    /// Nothing passes from the first to the second.
    pub dropped_pairs: BTreeSet<(usize, usize)>,
    /// Added to the delay of all that these gateways send and get.
    pub slow: BTreeMap<usize, Duration>,
    /// Parts of all datagrams.
    pub lost: f64,
    pub doubled: f64,
    pub overtaken: f64,
    pub garbled: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub datagrams: u64,
    pub not_passed: u64,
    pub garbled: u64,
    /// Bytes of fleet messages that each gateway sent, and those of them that were ballots.
    pub fleet_bytes: Vec<u64>,
    pub ballot_bytes: u64,
}

#[derive(Default)]
struct Shared {
    faults: DatagramFaults,
    counters: Counters,
    /// Where each gateway hears its peers in its present life.
    leads: Vec<Option<SocketAddr>>,
}

pub struct Relay {
    /// `peer_addresses[g][p]` stands for gateway `p` to gateway `g`; `peer_addresses[g][g]` for all others together.
    pub peer_addresses: Vec<Vec<SocketAddr>>,
    shared: Arc<Mutex<Shared>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn locked(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Sockets for a fleet of so many.
    ///
    /// # Errors
    /// No sockets are to be had.
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
        let (shared, over) = (
            Arc::new(Mutex::new(Shared::default())),
            Arc::new(AtomicBool::new(false)),
        );
        locked(&shared).leads = vec![None; gateways];
        locked(&shared).counters.fleet_bytes = vec![0; gateways];
        let mut road = Road {
            gateways,
            sockets,
            shared: shared.clone(),
            chance: WyRand::new_seed(seed ^ 0x0052_454c_4159),
            packets: BinaryHeap::new(),
            last: 0,
        };
        let ends = over.clone();
        let thread = std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                road.run_once();
            }
        });
        Ok(Relay {
            peer_addresses,
            shared,
            over,
            thread: Some(thread),
        })
    }

    /// Where a gateway hears its peers from now on.
    pub fn set_gossip_address(&self, gateway: usize, to: SocketAddr) {
        locked(&self.shared).leads[gateway] = Some(to);
    }

    pub fn update_faults(&self, change: impl FnOnce(&mut DatagramFaults)) {
        change(&mut locked(&self.shared).faults);
    }

    pub fn counters(&self) -> Counters {
        locked(&self.shared).counters.clone()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

type Packet = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

struct Road {
    gateways: usize,
    sockets: Vec<UdpSocket>,
    shared: Arc<Mutex<Shared>>,
    chance: WyRand,
    packets: BinaryHeap<Packet>,
    last: u64,
}

impl Road {
    /// Waits for what comes next, takes it in, and sends what is due.
    fn run_once(&mut self) {
        let next = self
            .packets
            .peek()
            .map(|p| p.0 .0.saturating_duration_since(Instant::now()));
        let wait = next.unwrap_or(NAP).min(NAP);
        let wait = Timespec {
            tv_sec: 0,
            tv_nsec: wait.subsec_nanos().into(),
        };
        let mut watched: Vec<PollFd> = self
            .sockets
            .iter()
            .map(|s| PollFd::new(s, PollFlags::IN))
            .collect();
        if poll(&mut watched, Some(&wait)).is_err() {
            return;
        }
        let ready: Vec<usize> = (0..watched.len())
            .filter(|ix| watched[*ix].revents().contains(PollFlags::IN))
            .collect();
        for ix in ready {
            self.take_in(ix);
        }
        let shared = self.shared.clone();
        while self
            .packets
            .peek()
            .is_some_and(|p| p.0 .0 <= Instant::now())
        {
            let Some(Reverse((_, _, from, to, bytes))) = self.packets.pop() else {
                return;
            };
            let lead = locked(&shared).leads[to];
            if let Some(lead) = lead {
                // It comes from the socket by which its receiver knows its sender.
                let _ = self.sockets[to * self.gateways + from].send_to(&bytes, lead);
            }
        }
    }

    fn take_in(&mut self, ix: usize) {
        let (from, to) = (ix / self.gateways, ix % self.gateways);
        let mut bytes = [0_u8; DATAGRAM_MOST];
        let shared = self.shared.clone();
        for _ in 0..32 {
            let Ok((size, _)) = self.sockets[ix].recv_from(&mut bytes) else {
                return;
            };
            let mut shared = locked(&shared);
            if bytes[0] >= FLEET_FROM {
                shared.counters.fleet_bytes[from] += size as u64;
                shared.counters.ballot_bytes += if bytes[0] == BALLOT { size as u64 } else { 0 };
            }
            let all: Vec<usize> = match to == from {
                true => (0..self.gateways).filter(|p| *p != from).collect(),
                false => vec![to],
            };
            for to in all {
                self.carry(&mut shared, from, to, &bytes[..size]);
            }
        }
    }

    fn carry(&mut self, shared: &mut Shared, from: usize, to: usize, bytes: &[u8]) {
        let Shared {
            faults: now,
            counters,
            ..
        } = shared;
        let mut falls = |part: f64| part > 0.0 && self.chance.generate::<f64>() < part;
        counters.datagrams += 1;
        if now.dropped_pairs.contains(&(from, to)) || falls(now.lost) {
            counters.not_passed += 1;
            return;
        }
        let (twice, overtaken, garbled) =
            (falls(now.doubled), falls(now.overtaken), falls(now.garbled));
        let slow: Duration = [from, to].iter().filter_map(|g| now.slow.get(g)).sum();
        for _ in 0..1 + usize::from(twice) {
            let mut bytes = bytes.to_vec();
            if garbled && !bytes.is_empty() {
                counters.garbled += 1;
                let at = self.chance.generate_range(0..bytes.len());
                bytes[at] ^= 1 << self.chance.generate_range(0..8_u8);
            }
            // Half a millisecond there; one that is overtaken takes up to eighty.
            let micros =
                self.chance
                    .generate_range(if overtaken { 500..80_000 } else { 300..700_u64 });
            self.last += 1;
            let at = Instant::now() + slow + Duration::from_micros(micros);
            self.packets.push(Reverse((at, self.last, from, to, bytes)));
        }
    }
}
