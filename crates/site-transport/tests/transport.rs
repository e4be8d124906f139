//! Two ends on a simulated network that loses, repeats and reorders, with simulated time.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use harrierdock_site_messages::GatewayName;
use harrierdock_site_transport::keys::{authority, issue, show, Pair};
use harrierdock_site_transport::{Credentials, SiteTransport, TransportEvent};
use nanorand::{Rng, WyRand};

const DAY: Duration = Duration::from_secs(86_400);

fn party(site: &str, gateway: &str) -> GatewayName {
    GatewayName {
        site: site.into(),
        gateway: gateway.into(),
    }
}

fn maker() -> Pair {
    let now = SystemTime::now();
    authority("a test", now - DAY, now + DAY).unwrap()
}

fn credentials(of: &Pair, party: &GatewayName, from: SystemTime, until: SystemTime) -> Credentials {
    let pair = issue(of, party, from, until).unwrap();
    Credentials::read(
        of.certificate.as_bytes(),
        pair.certificate.as_bytes(),
        pair.key.as_bytes(),
    )
    .unwrap()
}

struct World {
    now: Instant,
    chance: WyRand,
    loss: f64,
    /// Nothing comes through from the first end to the second.
    one_way: bool,
    links: [SiteTransport; 2],
    /// When each datagram arrives, where, and from where.
    under_way: Vec<(Instant, usize, Vec<u8>)>,
    heard: [Vec<TransportEvent>; 2],
}

fn address(end: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + end as u16))
}

impl World {
    fn new(links: [SiteTransport; 2], seed: u64, loss: f64) -> World {
        let (now, chance) = (Instant::now(), WyRand::new_seed(seed));
        World {
            now,
            chance,
            loss,
            one_way: false,
            links,
            under_way: Vec::new(),
            heard: [Vec::new(), Vec::new()],
        }
    }

    fn usual(seed: u64, loss: f64) -> World {
        let (of, now) = (maker(), SystemTime::now());
        let ends = [
            ("hobart", "h0", "launceston"),
            ("launceston", "l0", "hobart"),
        ];
        let links = ends.map(|(site, gateway, other)| {
            SiteTransport::new(
                &credentials(&of, &party(site, gateway), now - DAY, now + DAY),
                other,
            )
            .unwrap()
        });
        World::new(links, seed, loss)
    }

    fn carry(&mut self) {
        for end in 0..2 {
            while let Some((_, bytes)) = self.links[end].next_out() {
                if self.chance.generate::<f64>() < self.loss || (self.one_way && end == 0) {
                    continue;
                }
                let copies = 1 + usize::from(self.chance.generate::<f64>() < self.loss / 3.0);
                for _ in 0..copies {
                    let after = Duration::from_micros(self.chance.generate_range(500..3000));
                    self.under_way
                        .push((self.now + after, 1 - end, bytes.clone()));
                }
            }
            while let Some(heard) = self.links[end].next_heard() {
                self.heard[end].push(heard);
            }
        }
    }

    /// Lets time pass until nothing is left to happen within it.
    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            self.carry();
            let arrivals = self.under_way.iter().map(|u| u.0);
            let timeouts: Vec<Instant> = self
                .links
                .iter_mut()
                .filter_map(SiteTransport::next_timeout)
                .collect();
            let Some(next) = arrivals.chain(timeouts).min().filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            let now = self.now;
            let (come, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.under_way)
                .into_iter()
                .partition(|u| u.0 <= now);
            self.under_way = rest;
            for (_, end, bytes) in come {
                self.links[end].datagram(now, address(1 - end), &bytes);
            }
            self.links.iter_mut().for_each(|l| l.timeout(now));
        }
        self.now = until;
    }

    fn dial(&mut self) -> u64 {
        self.links[0]
            .dial(self.now, address(1), &party("launceston", "l0"))
            .unwrap()
    }

    fn letters(&self, end: usize) -> Vec<Vec<u8>> {
        let letters = self.heard[end].iter();
        letters
            .filter_map(|h| {
                if let TransportEvent::Message { bytes, .. } = h {
                    Some(bytes.clone())
                } else {
                    None
                }
            })
            .collect()
    }

    fn road(&self, end: usize) -> u64 {
        let up = self.heard[end].iter().find_map(|h| {
            if let TransportEvent::Opened { road, .. } = h {
                Some(*road)
            } else {
                None
            }
        });
        up.expect("a road came up")
    }

    fn whys(&self, end: usize) -> String {
        let why = self.heard[end].iter().map(|h| match h {
            TransportEvent::Refused { why, .. } | TransportEvent::Closed { why, .. } => why.clone(),
            other => format!("{other:?}"),
        });
        why.collect::<Vec<_>>().join("; ")
    }
}

#[test]
fn every_letter_arrives_once_whatever_the_network_loses_repeats_and_reorders() {
    for (seed, loss) in [(1, 0.0), (2, 0.05), (3, 0.3)] {
        let mut world = World::usual(seed, loss);
        world.dial();
        for _ in 0..200 {
            let up = |h: &Vec<TransportEvent>| {
                h.iter().any(|h| matches!(h, TransportEvent::Opened { .. }))
            };
            if !world.heard.iter().all(up) {
                world.pass(Duration::from_millis(100));
            }
        }
        assert!(
            matches!(&world.heard[1][0], TransportEvent::Opened { peer, .. } if *peer == party("hobart", "h0"))
        );
        let (there, back) = (world.road(0), world.road(1));
        // Of all sizes, the longest a letter may have among them.
        let letter = |n: usize| {
            vec![
                n as u8;
                if n == 7 {
                    harrierdock_site_messages::MAX_MESSAGE_BYTES
                } else {
                    1 + n * 37
                }
            ]
        };
        for n in 0..200 {
            let now = world.now;
            assert!(world.links[0].send(now, there, letter(n), false));
            assert!(world.links[1].send(now, back, letter(n), false));
            world.pass(Duration::from_millis(5));
        }
        for _ in 0..120 {
            if (0..2).any(|end| world.letters(end).len() < 200) {
                world.pass(Duration::from_secs(1));
            }
        }
        for end in 0..2 {
            let mut came = world.letters(end);
            came.sort();
            let mut sent: Vec<Vec<u8>> = (0..200).map(letter).collect();
            sent.sort();
            let missing: Vec<usize> = sent
                .iter()
                .filter(|s| !came.contains(s))
                .map(Vec::len)
                .collect();
            assert!(
                came == sent,
                "loss {loss}: to end {end} came {}, not those of {missing:?} bytes; {}",
                came.len(),
                world.whys(end).len()
            );
        }
    }
}

#[test]
fn a_link_that_goes_one_way_only_goes_down_at_both_ends_and_comes_up_again() {
    let mut world = World::usual(4, 0.0);
    world.dial();
    world.pass(Duration::from_secs(1));
    world.one_way = true;
    let now = world.now;
    let road = world.road(0);
    world.links[0].send(now, road, vec![1], false);
    world.pass(Duration::from_secs(8));
    assert!(
        world
            .heard
            .iter()
            .all(|h| matches!(h.last(), Some(TransportEvent::Closed { .. }))),
        "{:?}",
        world.heard
    );
    assert!(world.links.iter().all(SiteTransport::is_empty));
    world.one_way = false;
    world.heard = [Vec::new(), Vec::new()];
    world.dial();
    world.pass(Duration::from_secs(1));
    assert!(
        world
            .heard
            .iter()
            .all(|h| matches!(h[..], [TransportEvent::Opened { .. }])),
        "{:?}",
        world.heard
    );
}

#[test]
fn whoever_has_another_name_site_authority_or_time_is_refused_and_it_is_said_why() {
    let (of, stranger, now) = (maker(), maker(), SystemTime::now());
    let good = || credentials(&of, &party("launceston", "l0"), now - DAY, now + DAY);
    let cases = [
        (
            "another gateway",
            credentials(&of, &party("launceston", "l9"), now - DAY, now + DAY),
            true,
        ),
        (
            "another site",
            credentials(&of, &party("geelong", "h0"), now - DAY, now + DAY),
            false,
        ),
        (
            "expired",
            credentials(&of, &party("hobart", "h0"), now - DAY * 2, now - DAY),
            false,
        ),
        (
            "another authority",
            credentials(&stranger, &party("hobart", "h0"), now - DAY, now + DAY),
            false,
        ),
    ];
    let mut said = Vec::new();
    for (case, odd, answers) in cases {
        let dials = credentials(&of, &party("hobart", "h0"), now - DAY, now + DAY);
        // The odd one answers, or it dials.
        let (first, second) = if answers { (dials, odd) } else { (odd, good()) };
        let links = [
            SiteTransport::new(&first, "launceston").unwrap(),
            SiteTransport::new(&second, "hobart").unwrap(),
        ];
        let mut world = World::new(links, 5, 0.0);
        world.dial();
        world.pass(Duration::from_secs(2));
        let judge = usize::from(!answers);
        assert!(
            !world.heard[judge]
                .iter()
                .any(|h| matches!(h, TransportEvent::Opened { .. })),
            "{case}: {:?}",
            world.heard
        );
        said.push(format!("{case}: {}", world.whys(judge)));
    }
    let said = said.join("\n");
    for part in [
        "NotValidForName",
        "no gateway of hobart",
        "xpired",
        "UnknownIssuer",
    ] {
        assert!(
            said.contains(part) || said.contains("not valid for name"),
            "{part} is not in:\n{said}"
        );
    }
}

#[test]
fn noise_at_the_port_and_replayed_datagrams_change_nothing() {
    let mut world = World::usual(6, 0.0);
    world.dial();
    world.pass(Duration::from_secs(1));
    let (now, road) = (world.now, world.road(0));
    world.links[0].send(now, road, vec![9; 300], false);
    let mut replay = Vec::new();
    while let Some((_, bytes)) = world.links[0].next_out() {
        replay.push(bytes);
    }
    for bytes in replay.iter().cycle().take(replay.len() * 50) {
        world.links[1].datagram(now, address(0), bytes);
    }
    for _ in 0..20_000 {
        let mut noise = vec![0; world.chance.generate_range(0..1400_usize)];
        world.chance.fill_bytes(&mut noise);
        world.links[1].datagram(now, address(5), &noise);
    }
    world.pass(Duration::from_secs(1));
    assert_eq!(world.letters(1), vec![vec![9; 300]]);
    assert!(world.links[1].len() < 64, "{} links", world.links[1].len());
    world.pass(Duration::from_secs(10));
    assert_eq!(
        world.links[1].len(),
        0,
        "what noise began is over, and so is the silent link"
    );
}

#[test]
fn new_keys_are_shown_from_the_next_link_on_and_certificates_can_be_read() {
    let (of, now) = (maker(), SystemTime::now());
    let mut world = World::usual(7, 0.0);
    world.dial();
    world.pass(Duration::from_secs(1));
    let renewed = credentials(&of, &party("launceston", "l0"), now - DAY, now + DAY);
    world.links[1].renew(&renewed).unwrap();
    let (at, road) = (world.now, world.road(0));
    world.links[0].send(at, road, vec![1], false);
    world.pass(Duration::from_millis(100));
    assert_eq!(world.letters(1).len(), 1, "the link that stands goes on");
    world.heard = [Vec::new(), Vec::new()];
    world.dial();
    world.pass(Duration::from_secs(1));
    assert!(
        world.whys(0).contains("invalid peer certificate"),
        "{}",
        world.whys(0)
    );
    let pair = issue(&of, &party("hobart", "h0"), now - DAY * 2, now - DAY).unwrap();
    let shown = show(pair.certificate.as_bytes(), now).unwrap();
    assert!(
        shown.contains("gateway      hobart/h0") && shown.contains("expired"),
        "{shown}"
    );
    assert!(issue(&of, &party("Hobart", "h0"), now, now).is_err());
    assert!(Credentials::read(b"x", pair.certificate.as_bytes(), b"y").is_err());
}
