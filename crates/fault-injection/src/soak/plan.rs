//! What a seed draws: restarts, signals, stalls and crowds. Without sockets and clock.

use std::fmt;
use std::time::Duration;

use nanorand::{Rng, WyRand};

/// The longest deadline that delays a kill.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3_000);
/// How much later than the counted deadline the earliest kill comes.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// How long a process may be kept from running.
const MAX_STALL_MS: u64 = 150;
/// Until how long after a signal new connections come, drawn between the two.
const NEW_CONNECTIONS_MS: std::ops::RangeInclusive<u64> = 200..=400;
/// When the first restart begins.
const FIRST_RESTART_MS: u64 = 800;
/// The fraction of the golden ratio in 64 bits, which spreads numbers that follow each other.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// How long before the first restart all endpoints begin to hang, where they do.
const HANG_LEAD: Duration = Duration::from_millis(100);
/// Sets the draws of sudden kills apart from those before them, so that a seed's other draws stay what they were.
const SUDDEN_KILL_DRAWS: u64 = 0x6b69_6c6c_0000_0000;
/// The same for the draws of discovery's faults.
const DISCOVERY_DRAWS: u64 = 0x6469_7363_0000_0000;
/// When discovery begins to fail, for how long, and how late it is where it is slow.
const DISCOVERY_FAULT_FROM_MS: std::ops::RangeInclusive<u64> = 500..=1_500;
const DISCOVERY_FAULT_LENGTH_MS: std::ops::RangeInclusive<u64> = 1_000..=5_500;
const DISCOVERY_DELAY_MS: std::ops::RangeInclusive<u64> = 100..=1_500;
/// Descriptors of a gateway, and of one that is short of them.
const DESCRIPTORS: usize = 400;
const FEW_DESCRIPTORS: usize = 90;
/// A third of the few descriptors, less one for each steady client.
const CROWD_REQUESTS: std::ops::RangeInclusive<usize> = 5..=20;

/// The earliest kill, counted from the signal.
pub const EARLIEST_KILL: Duration = MAX_COUNTED_DEADLINE.saturating_add(KILL_GRACE);
/// The least time in which a restart begins and its gateway is up again.
pub const SHORTEST_RUN: Duration = Duration::from_secs(6);

/// A signal to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// Ends it.
    Terminate,
    /// Ends it.
    Interrupt,
    /// Has it read its configuration again.
    HangUp,
}

impl SignalKind {
    /// Whether it begins a shutdown.
    pub fn ends(self) -> bool {
        self != SignalKind::HangUp
    }

    fn name(self) -> &'static str {
        match self {
            SignalKind::Terminate => "TERM",
            SignalKind::Interrupt => "INT",
            SignalKind::HangUp => "HUP",
        }
    }
}

/// Series of signals. All but the fourth end the gateway.
const SIGNAL_SERIES: [&[SignalKind]; 6] = [
    &[SignalKind::Terminate],
    &[SignalKind::Terminate, SignalKind::Terminate],
    &[SignalKind::Terminate, SignalKind::Interrupt],
    &[SignalKind::HangUp, SignalKind::HangUp, SignalKind::HangUp],
    &[
        SignalKind::HangUp,
        SignalKind::Terminate,
        SignalKind::HangUp,
    ],
    &[
        SignalKind::HangUp,
        SignalKind::Terminate,
        SignalKind::HangUp,
        SignalKind::Terminate,
    ],
];

/// When a gateway's process is kept from running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// Never.
    None,
    /// For this long, beginning just before the first signal.
    BeforeSignal(Duration),
    /// For this long, ending at the kill.
    BeforeKill(Duration),
}

/// Many clients that connect at once. With the steady clients' requests theirs take a third of the descriptors at most, as the
/// platform grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crowd {
    /// How many connect and say nothing.
    pub silent: usize,
    /// How many connect and send one request each.
    pub requests: usize,
    /// When, counted from [`Crowd::LEAD`] before the signal.
    pub delay: Duration,
}

impl Crowd {
    /// How long before the signal a crowd may come.
    pub const LEAD: Duration = Duration::from_millis(60);
}

/// How a restart ends its gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// By the signals, and a kill at the earliest moment after them.
    Signals,
    /// By a kill with no signal before it.
    SuddenKill,
}

/// One gateway's restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restart {
    /// The gateway.
    pub gateway: usize,
    /// When the first signal is sent.
    pub at: Duration,
    /// How the gateway ends.
    pub ending: Ending,
    /// The signals, where it ends by them.
    pub signals: Vec<SignalKind>,
    /// The time from each signal to the next.
    pub signal_gap: Duration,
    /// When the process is stalled.
    pub stall: Stall,
    /// How long after the signal new connections come.
    pub new_connections_for: Duration,
    /// A crowd, in some restarts.
    pub crowd: Option<Crowd>,
}

/// A time in which endpoints receive requests and answer none of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HangWindow {
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

impl HangWindow {
    /// Whether a request that is received now is not answered.
    pub fn contains(&self, at: Duration) -> bool {
        (self.from..self.until).contains(&at)
    }
}

impl Restart {
    fn fmt_signals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.signals.iter().map(|signal| signal.name()).collect();
        write!(f, "{}", names.join(" "))?;
        match self.stall {
            Stall::None => Ok(()),
            Stall::BeforeSignal(length) => write!(f, ", stalled {} ms at it", length.as_millis()),
            Stall::BeforeKill(length) => {
                write!(f, ", stalled {} ms before the kill", length.as_millis())
            }
        }
    }
}

/// How discovery fails for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// It says nothing on watches and answers no call. What changes meanwhile is told at the end.
    Away,
    /// It learns of changes later by this, and answers calls at once with what it has, as the platform's agent does.
    Slow(Duration),
}

/// A time in which discovery fails, and its list changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryWindow {
    /// What fails.
    pub fault: DiscoveryFault,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

impl DiscoveryWindow {
    /// When a change of this moment is told. Where discovery is away, it answers calls of this moment then, too.
    pub fn told_at(&self, at: Duration) -> Duration {
        match self.fault {
            _ if !(self.from..self.until).contains(&at) => at,
            DiscoveryFault::Away => self.until,
            DiscoveryFault::Slow(delay) => at + delay,
        }
    }

    fn draw(rng: &mut WyRand) -> DiscoveryWindow {
        let from = milliseconds(rng, DISCOVERY_FAULT_FROM_MS);
        let until = from + milliseconds(rng, DISCOVERY_FAULT_LENGTH_MS);
        let delay = milliseconds(rng, DISCOVERY_DELAY_MS);
        let fault = if one_in(rng, 2) {
            DiscoveryFault::Away
        } else {
            DiscoveryFault::Slow(delay)
        };
        DiscoveryWindow { fault, from, until }
    }

    /// When an endpoint begins to drain: within the window, early enough that it is judged before the end of most runs.
    fn draw_drain(&self, rng: &mut WyRand) -> Duration {
        let length = (self.until - self.from).as_millis() as u64;
        self.from + milliseconds(rng, 0..=length / 2)
    }
}

impl fmt::Display for DiscoveryWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, until) = (self.from.as_millis(), self.until.as_millis());
        match self.fault {
            DiscoveryFault::Away => write!(f, "discovery is away")?,
            DiscoveryFault::Slow(delay) => {
                write!(f, "discovery is {} ms late", delay.as_millis())?;
            }
        }
        write!(f, " from {from} to {until} ms")
    }
}

/// What is played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The restarts, in the order of their times.
    pub restarts: Vec<Restart>,
    /// Whether one endpoint answers nothing at all.
    pub one_endpoint_hangs: bool,
    /// When no endpoint answers what it receives: through the whole of the first restart, in some runs.
    pub all_hang: Option<HangWindow>,
    /// Whether one endpoint closes its connections after some answers.
    pub one_endpoint_closes: bool,
    /// When one endpoint begins to drain.
    pub drains_at: Option<Duration>,
    /// When discovery fails, in some runs. An endpoint drains meanwhile.
    pub discovery_window: Option<DiscoveryWindow>,
    /// How many descriptors each gateway may have.
    pub descriptors: usize,
}

pub(super) fn milliseconds(rng: &mut WyRand, range: std::ops::RangeInclusive<u64>) -> Duration {
    Duration::from_millis(rng.generate_range(range))
}

pub(super) fn one_in(rng: &mut WyRand, count: u32) -> bool {
    rng.generate_range(0..count) == 0
}

/// A generator whose draws differ between neighbouring seeds, which `WyRand` alone does not give for the first of them.
pub fn seeded(seed: u64) -> WyRand {
    let mut mixed = seed.wrapping_mul(SEED_MULTIPLIER);
    mixed ^= mixed >> (u64::BITS / 2);
    WyRand::new_seed(mixed.wrapping_mul(SEED_MULTIPLIER))
}

impl Plan {
    /// What this seed plays with so many gateways in this time.
    pub fn draw(seed: u64, gateways: usize, duration: Duration) -> Plan {
        let mut rng = seeded(seed);
        let has_crowds = one_in(&mut rng, 3);
        let last_ms = duration.saturating_sub(SHORTEST_RUN).as_millis() as u64;
        let mut restarts: Vec<Restart> = (0..gateways)
            .map(|gateway| {
                let at = milliseconds(&mut rng, FIRST_RESTART_MS..=FIRST_RESTART_MS + last_ms);
                draw_restart(&mut rng, gateway, at, has_crowds)
            })
            .collect();
        restarts.sort_by_key(|restart| restart.at);
        let drains_at = milliseconds(&mut rng, 500..=2_000);
        for restart in &mut restarts {
            if one_in(
                &mut seeded(seed ^ (SUDDEN_KILL_DRAWS + restart.gateway as u64)),
                4,
            ) {
                restart.ending = Ending::SuddenKill;
            }
        }
        let mut discovery_rng = seeded(seed ^ DISCOVERY_DRAWS);
        let discovery_window =
            one_in(&mut discovery_rng, 3).then(|| DiscoveryWindow::draw(&mut discovery_rng));
        let drain_meanwhile = discovery_window.map(|w| w.draw_drain(&mut discovery_rng));
        let first_restart = restarts.first().map_or(Duration::ZERO, |first| first.at);
        let all_hang = HangWindow {
            from: first_restart.saturating_sub(HANG_LEAD),
            until: first_restart + EARLIEST_KILL,
        };
        Plan {
            restarts,
            one_endpoint_hangs: one_in(&mut rng, 3),
            all_hang: one_in(&mut rng, 4).then_some(all_hang),
            one_endpoint_closes: one_in(&mut rng, 3),
            drains_at: drain_meanwhile.or(one_in(&mut rng, 3).then_some(drains_at)),
            discovery_window,
            descriptors: if has_crowds {
                FEW_DESCRIPTORS
            } else {
                DESCRIPTORS
            },
        }
    }
}

impl Plan {
    /// What is played, in words.
    pub fn describe(&self) -> Vec<String> {
        let mut drawn: Vec<String> = self.restarts.iter().map(Restart::to_string).collect();
        let all_hang = "no endpoint answers during the first restart";
        drawn.extend(self.all_hang.map(|_| all_hang.into()));
        drawn.extend(self.one_endpoint_hangs.then(|| "an endpoint hangs".into()));
        drawn.extend(
            self.one_endpoint_closes
                .then(|| "an endpoint closes connections".into()),
        );
        let drain = |at: Duration| format!("an endpoint drains at {} ms", at.as_millis());
        drawn.extend(self.drains_at.map(drain));
        drawn.extend(self.discovery_window.map(|window| window.to_string()));
        drawn.push(format!("{} descriptors a gateway", self.descriptors));
        drawn
    }
}

fn draw_restart(rng: &mut WyRand, gateway: usize, at: Duration, has_crowds: bool) -> Restart {
    let series = rng.generate_range(0..SIGNAL_SERIES.len());
    let length = milliseconds(rng, 20..=MAX_STALL_MS);
    let stall = match rng.generate_range(0..3_u32) {
        0 => Stall::BeforeSignal(length),
        1 => Stall::BeforeKill(length),
        _ => Stall::None,
    };
    let crowd = Crowd {
        silent: rng.generate_range(100..=300),
        requests: rng.generate_range(CROWD_REQUESTS),
        delay: milliseconds(rng, 0..=2 * Crowd::LEAD.as_millis() as u64),
    };
    Restart {
        gateway,
        at,
        ending: Ending::Signals,
        signals: SIGNAL_SERIES[series].to_vec(),
        signal_gap: milliseconds(rng, 1..=16),
        stall,
        new_connections_for: milliseconds(rng, NEW_CONNECTIONS_MS),
        crowd: has_crowds.then_some(crowd),
    }
}

impl fmt::Display for Restart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "n{} at {} ms: ", self.gateway, self.at.as_millis())?;
        match self.ending {
            Ending::SuddenKill => write!(f, "KILL")?,
            Ending::Signals => self.fmt_signals(f)?,
        }
        match self.crowd {
            Some(Crowd {
                silent, requests, ..
            }) => write!(f, ", crowd of {silent} silent and {requests} asking"),
            None => Ok(()),
        }
    }
}
