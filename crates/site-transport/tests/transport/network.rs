//! A simulated network between two transports that loses, repeats and reorders datagrams.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::{
    create_authority, issue_certificate, CertificateAndKey, Credentials, PathId, SiteTransport,
    TransportEvent, Validity,
};
use nanorand::{Rng, WyRand};

const DAY: Duration = Duration::from_secs(86_400);

/// Indices of the two ends. The connecting end opens paths to the accepting end.
pub const CONNECTING: usize = 0;
pub const ACCEPTING: usize = 1;

pub fn gateway_name(site: &str, gateway: &str) -> GatewayName {
    GatewayName {
        site: site.into(),
        gateway: gateway.into(),
    }
}

/// A validity period from one day ago until one day from now.
pub fn valid_now() -> Validity {
    let now = SystemTime::now();
    Validity {
        from: now - DAY,
        until: now + DAY,
    }
}

/// A validity period that ended one day ago.
pub fn expired() -> Validity {
    let now = SystemTime::now();
    Validity {
        from: now - DAY * 2,
        until: now - DAY,
    }
}

pub fn authority() -> CertificateAndKey {
    create_authority("a test", valid_now()).unwrap()
}

pub fn credentials(
    authority: &CertificateAndKey,
    gateway: &GatewayName,
    validity: Validity,
) -> Credentials {
    let pair = issue_certificate(authority, gateway, validity).unwrap();
    Credentials::read(
        authority.certificate.as_bytes(),
        pair.certificate.as_bytes(),
        pair.key.as_bytes(),
    )
    .unwrap()
}

/// A datagram that was sent and has not arrived yet.
struct InTransit {
    arrival: Instant,
    /// Index of the receiving end.
    to: usize,
    bytes: Vec<u8>,
}

/// Two transports, the datagrams between them, and the events that they reported.
pub struct Network {
    pub now: Instant,
    pub rng: WyRand,
    loss_probability: f64,
    /// Drops all datagrams from the connecting end to the accepting end.
    pub is_cut_one_way: bool,
    pub ends: [SiteTransport; 2],
    in_transit: Vec<InTransit>,
    pub events: [Vec<TransportEvent>; 2],
}

/// The simulated address of an end.
pub fn address(end: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + end as u16))
}

impl Network {
    pub fn new(ends: [SiteTransport; 2], seed: u64, loss_probability: f64) -> Network {
        Network {
            now: Instant::now(),
            rng: WyRand::new_seed(seed),
            loss_probability,
            is_cut_one_way: false,
            ends,
            in_transit: Vec::new(),
            events: [Vec::new(), Vec::new()],
        }
    }

    /// A network of one gateway from each of two sites, with valid credentials of the same authority.
    pub fn with_two_sites(seed: u64, loss_probability: f64) -> Network {
        let authority = authority();
        let ends = [
            ("hobart", "h0", "launceston"),
            ("launceston", "l0", "hobart"),
        ];
        let ends = ends.map(|(site, gateway, other_site)| {
            let name = gateway_name(site, gateway);
            let credentials = credentials(&authority, &name, valid_now());
            SiteTransport::new(&credentials, other_site).unwrap()
        });
        Network::new(ends, seed, loss_probability)
    }

    /// Collects events from both ends, and sends their datagrams through the simulated network.
    fn collect(&mut self) {
        for end in 0..2 {
            while let Some((_, bytes)) = self.ends[end].next_datagram() {
                let is_cut = self.is_cut_one_way && end == CONNECTING;
                if self.rng.generate::<f64>() < self.loss_probability || is_cut {
                    continue;
                }
                let copies =
                    1 + usize::from(self.rng.generate::<f64>() < self.loss_probability / 3.0);
                for _ in 0..copies {
                    let delay = Duration::from_micros(self.rng.generate_range(500..3000));
                    self.in_transit.push(InTransit {
                        arrival: self.now + delay,
                        to: 1 - end,
                        bytes: bytes.clone(),
                    });
                }
            }
            while let Some(event) = self.ends[end].next_event() {
                self.events[end].push(event);
            }
        }
    }

    /// Advances simulated time by `duration` and handles all arrivals and timeouts up to then.
    pub fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        loop {
            self.collect();
            let arrivals = self.in_transit.iter().map(|datagram| datagram.arrival);
            let timeouts: Vec<Instant> = self
                .ends
                .iter_mut()
                .filter_map(SiteTransport::next_timeout)
                .collect();
            let Some(next) = arrivals.chain(timeouts).min().filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            let now = self.now;
            let (arrived, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_transit)
                .into_iter()
                .partition(|datagram| datagram.arrival <= now);
            self.in_transit = rest;
            for InTransit { to, bytes, .. } in arrived {
                self.ends[to].handle_datagram(now, address(1 - to), &bytes);
            }
            self.ends.iter_mut().for_each(|end| end.handle_timeout(now));
        }
        self.now = until;
    }

    /// Starts to open a path from the connecting end to the accepting end.
    pub fn connect(&mut self) -> PathId {
        self.ends[CONNECTING]
            .connect(
                self.now,
                address(ACCEPTING),
                &gateway_name("launceston", "l0"),
            )
            .unwrap()
    }

    pub fn clear_events(&mut self) {
        self.events = [Vec::new(), Vec::new()];
    }

    /// The messages that an end has received, in order of arrival.
    pub fn messages(&self, end: usize) -> Vec<Vec<u8>> {
        self.events[end]
            .iter()
            .filter_map(|event| match event {
                TransportEvent::Message { bytes, .. } => Some(bytes.clone()),
                _ => None,
            })
            .collect()
    }

    pub fn has_opened(&self, end: usize) -> bool {
        self.events[end]
            .iter()
            .any(|event| matches!(event, TransportEvent::Opened { .. }))
    }

    /// The first path that opened at an end.
    pub fn path(&self, end: usize) -> PathId {
        let opened = self.events[end].iter().find_map(|event| match event {
            TransportEvent::Opened { path, .. } => Some(*path),
            _ => None,
        });
        opened.expect("a path has opened")
    }

    /// The reasons of closed and refused paths, and the `Debug` text of all other events.
    pub fn reasons(&self, end: usize) -> String {
        let reasons = self.events[end].iter().map(|event| match event {
            TransportEvent::Refused { reason, .. } | TransportEvent::Closed { reason, .. } => {
                reason.clone()
            }
            other => format!("{other:?}"),
        });
        reasons.collect::<Vec<_>>().join("; ")
    }
}
