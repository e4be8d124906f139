//! What clients see that connect from the moment in which a gateway is spawned. Without sockets and clock.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// How long after the first connection of a start another may still be refused, by the measuring of both.
const MEASURING_SLACK: Duration = Duration::from_millis(50);

/// A client that connects from the spawn of a gateway on, until its connection comes up. Times count from the spawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupConnection {
    /// The gateway. It starts anew once in a soak.
    pub gateway: usize,
    /// How many connections were tried, the last included.
    pub tried: usize,
    /// How many of them were refused.
    pub refused: usize,
    /// When the last of those was refused.
    pub last_refused_after: Option<Duration>,
    /// When one came up. None if it failed otherwise than by a refusal, or none came up in time.
    pub connected_after: Option<Duration>,
}

/// A median and a maximum, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// The median.
    pub median: u64,
    /// The largest.
    pub max: u64,
}

impl Spread {
    /// Of sorted times.
    fn of_sorted(times: &[Duration]) -> Spread {
        let at = |index: usize| times.get(index).map_or(0, |time| time.as_micros() as u64);
        Spread {
            median: at(times.len() / 2),
            max: at(times.len().saturating_sub(1)),
        }
    }
}

/// Counts of the clients that connect in starts. A refused connection is no violation, as no process listens at its spawn.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StartCounts {
    /// Starts in which a connection came up.
    pub starts: usize,
    /// Clients.
    pub clients: usize,
    /// Connections that they tried.
    pub connections_tried: usize,
    /// Those that were refused.
    pub connections_refused: usize,
    /// From the spawn until the first connection came up.
    pub first_connection_us: Spread,
    /// The same of each start, in ascending order, in microseconds.
    pub first_connections_us: Vec<u64>,
    /// Requests of clients whose connection came up.
    pub requests: usize,
    /// Those with a whole answer of their own.
    pub answered: usize,
    /// Those that are lost.
    pub lost: usize,
}

impl StartCounts {
    /// Counts connections. The requests are counted by [`StartCounts::add_request`].
    pub fn of_connections(connections: &[StartupConnection]) -> StartCounts {
        let mut first: Vec<Duration> = first_connections(connections).into_values().collect();
        first.sort();
        StartCounts {
            starts: first.len(),
            clients: connections.len(),
            connections_tried: connections.iter().map(|c| c.tried).sum(),
            connections_refused: connections.iter().map(|c| c.refused).sum(),
            first_connection_us: Spread::of_sorted(&first),
            first_connections_us: first.iter().map(|t| t.as_micros() as u64).collect(),
            ..StartCounts::default()
        }
    }

    /// Counts a request of a client whose connection came up.
    pub fn add_request(&mut self, is_answered: bool, is_lost: bool) {
        self.requests += 1;
        self.answered += usize::from(is_answered);
        self.lost += usize::from(is_lost);
    }
}

/// When the first connection came up, by gateway.
fn first_connections(connections: &[StartupConnection]) -> BTreeMap<usize, Duration> {
    let mut first = BTreeMap::new();
    for connection in connections {
        if let Some(after) = connection.connected_after {
            let earliest = first.entry(connection.gateway).or_insert(after);
            *earliest = after.min(*earliest);
        }
    }
    first
}

/// A connection of a start that breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartViolation {
    /// It never came up.
    NeverConnected {
        /// The gateway.
        gateway: usize,
        /// How often it was tried.
        tried: usize,
    },
    /// It was refused after another had come up: the listener had gone again.
    RefusedAfterFirst {
        /// The gateway.
        gateway: usize,
        /// How long after the first connection.
        late: Duration,
    },
}

impl StartViolation {
    /// What was seen, in words.
    pub fn describe(&self) -> String {
        match self {
            StartViolation::NeverConnected { gateway, tried } => {
                format!("n{gateway}: no connection came up after its spawn, {tried} tried")
            }
            StartViolation::RefusedAfterFirst { gateway, late } => format!(
                "n{gateway} refuses a connection {} ms after its first since its spawn",
                late.as_millis()
            ),
        }
    }
}

/// The connections that break a rule.
pub fn start_violations(connections: &[StartupConnection]) -> Vec<StartViolation> {
    let first = first_connections(connections);
    let violation = |connection: &StartupConnection| {
        let gateway = connection.gateway;
        if connection.connected_after.is_none() {
            let tried = connection.tried;
            return Some(StartViolation::NeverConnected { gateway, tried });
        }
        let first_after = first.get(&gateway)?;
        let late = connection.last_refused_after?.checked_sub(*first_after)?;
        (late > MEASURING_SLACK).then_some(StartViolation::RefusedAfterFirst { gateway, late })
    };
    connections.iter().filter_map(violation).collect()
}
