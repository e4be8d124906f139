//! Results of clients that try to connect as soon as a gateway is spawned. Uses no sockets and no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// How long after the first connection of a startup another may still be refused, as both times are measured imprecisely.
const MEASUREMENT_TOLERANCE: Duration = Duration::from_millis(50);

/// A client that tries to connect from a gateway's spawn until it succeeds. Times count from the spawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupConnection {
    /// Index of the gateway, which restarts once per soak.
    pub gateway: usize,
    /// How many connections the client tried, including the last.
    pub tried: usize,
    /// How many connections were refused.
    pub refused: usize,
    /// When a connection was last refused; `None` if none was.
    pub last_refused_after: Option<Duration>,
    /// When a connection was established. `None` if one failed other than by a refusal, or none was established in time.
    pub connected_after: Option<Duration>,
}

/// A median and a maximum, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// The median; the upper of the two middle values for an even count.
    pub median: u64,
    /// The largest value; 0 for no values.
    pub max: u64,
}

impl Spread {
    /// Computes the spread of times in ascending order.
    fn from_sorted(times: &[Duration]) -> Spread {
        let microseconds_at =
            |index: usize| times.get(index).map_or(0, |time| time.as_micros() as u64);
        Spread {
            median: microseconds_at(times.len() / 2),
            max: microseconds_at(times.len().saturating_sub(1)),
        }
    }
}

/// Counts of the clients that connect during startups. A refused connection is no violation by itself, as a process does
/// not listen yet when it is spawned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StartupCounts {
    /// Startups in which at least one connection was established.
    pub starts: usize,
    /// Clients that tried to connect.
    pub clients: usize,
    /// Connections that these clients tried.
    pub connections_tried: usize,
    /// Connections that were refused.
    pub connections_refused: usize,
    /// Time from the spawn until the first connection was established.
    pub first_connection_us: Spread,
    /// The time to the first connection of each startup, in ascending order, in microseconds.
    pub first_connections_us: Vec<u64>,
    /// Requests of the clients that connected.
    pub requests: usize,
    /// Requests with a complete answer that belongs to them.
    pub answered: usize,
    /// Requests without an answer, or with the answer to another request.
    pub lost: usize,
}

impl StartupCounts {
    /// Counts the connections. Requests are added by [`StartupCounts::add_request`].
    pub fn from_connections(connections: &[StartupConnection]) -> StartupCounts {
        let mut first: Vec<Duration> = find_first_connections(connections).into_values().collect();
        first.sort();
        StartupCounts {
            starts: first.len(),
            clients: connections.len(),
            connections_tried: connections.iter().map(|c| c.tried).sum(),
            connections_refused: connections.iter().map(|c| c.refused).sum(),
            first_connection_us: Spread::from_sorted(&first),
            first_connections_us: first.iter().map(|t| t.as_micros() as u64).collect(),
            ..StartupCounts::default()
        }
    }

    /// Counts a request of a client that connected.
    pub fn add_request(&mut self, is_answered: bool, is_lost: bool) {
        self.requests += 1;
        self.answered += usize::from(is_answered);
        self.lost += usize::from(is_lost);
    }
}

/// Time from the spawn to the first connection, by gateway.
fn find_first_connections(connections: &[StartupConnection]) -> BTreeMap<usize, Duration> {
    let mut first = BTreeMap::new();
    for connection in connections {
        if let Some(after) = connection.connected_after {
            let earliest = first.entry(connection.gateway).or_insert(after);
            *earliest = after.min(*earliest);
        }
    }
    first
}

/// A rule violation by the connections of a startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupViolation {
    /// A client never connected.
    NeverConnected {
        /// Index of the gateway.
        gateway: usize,
        /// How many connections the client tried.
        tried: usize,
    },
    /// A connection was refused after another had been established: the gateway stopped listening again.
    RefusedAfterFirst {
        /// Index of the gateway.
        gateway: usize,
        /// Time from the first connection to the refusal.
        late: Duration,
    },
}

impl StartupViolation {
    /// Describes the violation for the report.
    pub fn describe(&self) -> String {
        match self {
            StartupViolation::NeverConnected { gateway, tried } => {
                format!("n{gateway}: no connection established after the spawn, {tried} tried")
            }
            StartupViolation::RefusedAfterFirst { gateway, late } => format!(
                "n{gateway} refused a connection {} ms after it accepted its first since the spawn",
                late.as_millis()
            ),
        }
    }
}

/// Returns the rule violations of these connections.
pub fn find_startup_violations(connections: &[StartupConnection]) -> Vec<StartupViolation> {
    let first = find_first_connections(connections);
    let violation = |connection: &StartupConnection| {
        let gateway = connection.gateway;
        if connection.connected_after.is_none() {
            let tried = connection.tried;
            return Some(StartupViolation::NeverConnected { gateway, tried });
        }
        let first_after = first.get(&gateway)?;
        let late = connection.last_refused_after?.checked_sub(*first_after)?;
        (late > MEASUREMENT_TOLERANCE)
            .then_some(StartupViolation::RefusedAfterFirst { gateway, late })
    };
    connections.iter().filter_map(violation).collect()
}
