//! The plan that a seed draws: restarts, signals, stalls and connection bursts. Uses no sockets and no clock.

use std::fmt;
use std::time::Duration;

use nanorand::{Rng, WyRand};

/// The longest deadline that delays a kill.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3_000);
/// Time between [`MAX_COUNTED_DEADLINE`] and the earliest kill.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The longest time for which a process is stopped.
const MAX_STALL_MS: u64 = 150;
/// How long after a signal clients keep opening new connections.
const NEW_CONNECTIONS_MS: std::ops::RangeInclusive<u64> = 200..=400;
/// The earliest start of the first restart.
const FIRST_RESTART_MS: u64 = 800;
/// The fractional part of the golden ratio in 64 bits, which spreads consecutive numbers.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// How long before the first restart the window starts in which all endpoints hang.
const HANG_LEAD: Duration = Duration::from_millis(100);
/// Separates the random numbers for sudden kills from a seed's other draws, so that those don't change.
const SUDDEN_KILL_SEED_MASK: u64 = 0x6b69_6c6c_0000_0000;
/// Separates the random numbers for discovery faults from a seed's other draws, for the same reason.
const DISCOVERY_SEED_MASK: u64 = 0x6469_7363_0000_0000;
/// When a discovery fault starts, how long it lasts, and by how much it delays changes.
const DISCOVERY_FAULT_START_MS: std::ops::RangeInclusive<u64> = 500..=1_500;
const DISCOVERY_FAULT_LENGTH_MS: std::ops::RangeInclusive<u64> = 1_000..=5_500;
const DISCOVERY_DELAY_MS: std::ops::RangeInclusive<u64> = 100..=1_500;
/// File descriptor limit of a gateway without and with connection bursts.
const DESCRIPTORS: usize = 400;
const FEW_DESCRIPTORS: usize = 90;
/// Number of requests in a connection burst: at most a third of [`FEW_DESCRIPTORS`], minus one for each steady client.
const BURST_REQUESTS: std::ops::RangeInclusive<usize> = 5..=20;

/// The earliest time at which the platform may kill a gateway, counted from the signal.
pub const EARLIEST_KILL: Duration = MAX_COUNTED_DEADLINE.saturating_add(KILL_GRACE);
/// The shortest soak in which a restart can start and its gateway be ready again.
pub const SHORTEST_RUN: Duration = Duration::from_secs(6);

/// A signal to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// SIGTERM: starts a shutdown.
    Terminate,
    /// SIGINT: starts a shutdown.
    Interrupt,
    /// SIGHUP: reloads the configuration.
    HangUp,
}

impl SignalKind {
    /// Whether the signal starts a shutdown.
    pub fn starts_shutdown(self) -> bool {
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

/// Series of signals that a restart draws from. All but the fourth start a shutdown.
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

/// When a gateway's process is stopped for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// Never.
    None,
    /// For this long, starting right before the first signal.
    BeforeSignal(Duration),
    /// For this long, ending with the kill.
    BeforeKill(Duration),
}

/// Many clients that connect at once. Their requests and those of the steady clients together use at most a third of the
/// file descriptors, which the platform guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBurst {
    /// How many clients connect and send nothing.
    pub idle: usize,
    /// How many clients connect and send one request each.
    pub requests: usize,
    /// When the burst starts, counted from [`ConnectionBurst::LEAD`] before the signal.
    pub delay: Duration,
}

impl ConnectionBurst {
    /// How long before the signal a burst may start.
    pub const LEAD: Duration = Duration::from_millis(60);
}

/// How a restart terminates its gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// By signals, followed by a kill at [`EARLIEST_KILL`] if the process still runs.
    Signals,
    /// By a kill without a preceding signal.
    SuddenKill,
}

/// The restart of one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Index of the gateway.
    pub gateway: usize,
    /// When the first signal or the sudden kill is sent, counted from the start of the soak.
    pub at: Duration,
    /// How the gateway is terminated.
    pub termination: Termination,
    /// The signals that are sent unless the gateway is killed suddenly.
    pub signals: Vec<SignalKind>,
    /// The time from each signal to the next.
    pub signal_gap: Duration,
    /// When the process is stopped for a while.
    pub stall: Stall,
    /// How long after the signal clients keep opening new connections.
    pub new_connections_for: Duration,
    /// A connection burst; `None` in most plans.
    pub burst: Option<ConnectionBurst>,
}

/// A window in which endpoints receive requests and answer none of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HangWindow {
    /// Start of the window, from the start of the soak.
    pub from: Duration,
    /// End of the window, exclusive.
    pub until: Duration,
}

impl HangWindow {
    /// Whether a request that an endpoint receives at this time stays unanswered.
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
    /// Discovery sends nothing on streams and answers no request. Changes are published at the end of the window.
    Unavailable,
    /// Discovery publishes changes with this delay. Like the platform's agent, it answers requests at once with the
    /// published list.
    Delayed(Duration),
}

/// A window in which discovery fails while its endpoint list changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryWindow {
    /// How discovery fails.
    pub fault: DiscoveryFault,
    /// Start of the window, from the start of the soak.
    pub from: Duration,
    /// End of the window, exclusive.
    pub until: Duration,
}

impl DiscoveryWindow {
    /// When a change that is made at this time is published. If discovery is unavailable, requests received at this time are
    /// answered at that moment, too.
    pub fn published_at(&self, at: Duration) -> Duration {
        match self.fault {
            _ if !(self.from..self.until).contains(&at) => at,
            DiscoveryFault::Unavailable => self.until,
            DiscoveryFault::Delayed(delay) => at + delay,
        }
    }

    fn draw(rng: &mut WyRand) -> DiscoveryWindow {
        let from = draw_milliseconds(rng, DISCOVERY_FAULT_START_MS);
        let until = from + draw_milliseconds(rng, DISCOVERY_FAULT_LENGTH_MS);
        let delay = draw_milliseconds(rng, DISCOVERY_DELAY_MS);
        let fault = if draw_one_in(rng, 2) {
            DiscoveryFault::Unavailable
        } else {
            DiscoveryFault::Delayed(delay)
        };
        DiscoveryWindow { fault, from, until }
    }

    /// Draws when an endpoint starts to drain: in the first half of the window, early enough that most soaks check it.
    fn draw_drain_time(&self, rng: &mut WyRand) -> Duration {
        let length = (self.until - self.from).as_millis() as u64;
        self.from + draw_milliseconds(rng, 0..=length / 2)
    }
}

impl fmt::Display for DiscoveryWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, until) = (self.from.as_millis(), self.until.as_millis());
        match self.fault {
            DiscoveryFault::Unavailable => write!(f, "discovery is away")?,
            DiscoveryFault::Delayed(delay) => {
                write!(f, "discovery is {} ms late", delay.as_millis())?;
            }
        }
        write!(f, " from {from} to {until} ms")
    }
}

/// The faults of one soak. All times count from its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The restarts, ordered by time.
    pub restarts: Vec<Restart>,
    /// Whether one endpoint never answers.
    pub one_endpoint_hangs: bool,
    /// A window that covers the first restart, in which no endpoint answers; `None` in most plans.
    pub hang_window: Option<HangWindow>,
    /// Whether one endpoint closes its connection after some answers.
    pub one_endpoint_closes: bool,
    /// When one endpoint starts to drain; `None` if none does.
    pub drain_at: Option<Duration>,
    /// When discovery fails, while an endpoint starts to drain; `None` in most plans.
    pub discovery_window: Option<DiscoveryWindow>,
    /// File descriptor limit of each gateway.
    pub descriptors: usize,
}

pub(super) fn draw_milliseconds(
    rng: &mut WyRand,
    range: std::ops::RangeInclusive<u64>,
) -> Duration {
    Duration::from_millis(rng.generate_range(range))
}

pub(super) fn draw_one_in(rng: &mut WyRand, count: u32) -> bool {
    rng.generate_range(0..count) == 0
}

/// Creates a random generator whose draws differ between consecutive seeds. `WyRand` alone doesn't ensure this for the
/// first draws.
pub fn seeded_rng(seed: u64) -> WyRand {
    let mut mixed = seed.wrapping_mul(SEED_MULTIPLIER);
    mixed ^= mixed >> (u64::BITS / 2);
    WyRand::new_seed(mixed.wrapping_mul(SEED_MULTIPLIER))
}

impl Plan {
    /// Draws the plan of a seed for this number of gateways and this duration of the soak.
    pub fn draw(seed: u64, gateways: usize, duration: Duration) -> Plan {
        let mut rng = seeded_rng(seed);
        let has_bursts = draw_one_in(&mut rng, 3);
        let last_ms = duration.saturating_sub(SHORTEST_RUN).as_millis() as u64;
        let mut restarts: Vec<Restart> = (0..gateways)
            .map(|gateway| {
                let at = draw_milliseconds(&mut rng, FIRST_RESTART_MS..=FIRST_RESTART_MS + last_ms);
                draw_restart(&mut rng, gateway, at, has_bursts)
            })
            .collect();
        restarts.sort_by_key(|restart| restart.at);
        let drain_at = draw_milliseconds(&mut rng, 500..=2_000);
        for restart in &mut restarts {
            if draw_one_in(
                &mut seeded_rng(seed ^ (SUDDEN_KILL_SEED_MASK + restart.gateway as u64)),
                4,
            ) {
                restart.termination = Termination::SuddenKill;
            }
        }
        let mut discovery_rng = seeded_rng(seed ^ DISCOVERY_SEED_MASK);
        let discovery_window =
            draw_one_in(&mut discovery_rng, 3).then(|| DiscoveryWindow::draw(&mut discovery_rng));
        let drain_during_fault = discovery_window.map(|w| w.draw_drain_time(&mut discovery_rng));
        let first_restart = restarts.first().map_or(Duration::ZERO, |first| first.at);
        let hang_window = HangWindow {
            from: first_restart.saturating_sub(HANG_LEAD),
            until: first_restart + EARLIEST_KILL,
        };
        Plan {
            restarts,
            one_endpoint_hangs: draw_one_in(&mut rng, 3),
            hang_window: draw_one_in(&mut rng, 4).then_some(hang_window),
            one_endpoint_closes: draw_one_in(&mut rng, 3),
            drain_at: drain_during_fault.or(draw_one_in(&mut rng, 3).then_some(drain_at)),
            discovery_window,
            descriptors: if has_bursts {
                FEW_DESCRIPTORS
            } else {
                DESCRIPTORS
            },
        }
    }
}

impl Plan {
    /// Describes the plan for the report, one text per fault.
    pub fn describe(&self) -> Vec<String> {
        let mut drawn: Vec<String> = self.restarts.iter().map(Restart::to_string).collect();
        let hang_window = "no endpoint answers during the first restart";
        drawn.extend(self.hang_window.map(|_| hang_window.into()));
        drawn.extend(self.one_endpoint_hangs.then(|| "an endpoint hangs".into()));
        drawn.extend(
            self.one_endpoint_closes
                .then(|| "an endpoint closes connections".into()),
        );
        let drain = |at: Duration| format!("an endpoint drains at {} ms", at.as_millis());
        drawn.extend(self.drain_at.map(drain));
        drawn.extend(self.discovery_window.map(|window| window.to_string()));
        drawn.push(format!("{} descriptors a gateway", self.descriptors));
        drawn
    }
}

fn draw_restart(rng: &mut WyRand, gateway: usize, at: Duration, has_bursts: bool) -> Restart {
    let series = rng.generate_range(0..SIGNAL_SERIES.len());
    let length = draw_milliseconds(rng, 20..=MAX_STALL_MS);
    let stall = match rng.generate_range(0..3_u32) {
        0 => Stall::BeforeSignal(length),
        1 => Stall::BeforeKill(length),
        _ => Stall::None,
    };
    let burst = ConnectionBurst {
        idle: rng.generate_range(100..=300),
        requests: rng.generate_range(BURST_REQUESTS),
        delay: draw_milliseconds(rng, 0..=2 * ConnectionBurst::LEAD.as_millis() as u64),
    };
    Restart {
        gateway,
        at,
        termination: Termination::Signals,
        signals: SIGNAL_SERIES[series].to_vec(),
        signal_gap: draw_milliseconds(rng, 1..=16),
        stall,
        new_connections_for: draw_milliseconds(rng, NEW_CONNECTIONS_MS),
        burst: has_bursts.then_some(burst),
    }
}

impl fmt::Display for Restart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "n{} at {} ms: ", self.gateway, self.at.as_millis())?;
        match self.termination {
            Termination::SuddenKill => write!(f, "KILL")?,
            Termination::Signals => self.fmt_signals(f)?,
        }
        match self.burst {
            Some(ConnectionBurst { idle, requests, .. }) => {
                write!(
                    f,
                    ", crowd of {idle} idle and {requests} requesting clients"
                )
            }
            None => Ok(()),
        }
    }
}
