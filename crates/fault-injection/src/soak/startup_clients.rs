//! Clients that connect from the moment in which a gateway is spawned, until it listens.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::clients::{send_request, ClientConnection, ConnectionUse, Shared, CONNECT_TIMEOUT};
use super::plan::seeded;
use super::requests::RequestPlan;
use super::starts::StartupConnection;

/// How many clients connect in a start.
const CLIENTS: u64 = 5;
/// How long a client waits after a refusal.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// How long a client goes on trying.
const GIVE_UP_AFTER: Duration = Duration::from_secs(10);
/// Where these clients connect from. From the gateway's own address, a client that connects to a port where nobody listens yet
/// could be given that port by the system, and be connected to itself.
const CLIENT_ADDRESS: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 2)),
    0,
);

/// Which gateway's clients these are, and what they draw their requests from.
#[derive(Clone, Copy)]
pub(super) struct StartupTarget {
    pub(super) gateway: usize,
    pub(super) address: SocketAddr,
    pub(super) seed: u64,
}

/// The clients of one start, each on a thread of its own.
pub(super) struct StartupClients {
    spawned: Vec<Sender<Instant>>,
    clients: Vec<thread::JoinHandle<Option<StartupConnection>>>,
}

impl StartupClients {
    /// Has them wait for the spawn, so that no thread has to be started once it has come.
    pub(super) fn prepare(shared: &Arc<Shared>, target: StartupTarget) -> StartupClients {
        let (spawned, clients) = (0..CLIENTS)
            .map(|client| {
                let shared = shared.clone();
                let (spawned, spawn) = channel::<Instant>();
                let start = move || {
                    let spawned_at = spawn.recv().ok()?;
                    Some(run_startup_client(&shared, target, client, spawned_at))
                };
                (spawned, thread::spawn(start))
            })
            .unzip();
        StartupClients { spawned, clients }
    }

    /// Has them connect from now on.
    pub(super) fn connect(&self, spawned_at: Instant) {
        for client in &self.spawned {
            // A client that has ended shows as one too few.
            let _ = client.send(spawned_at);
        }
    }

    /// Waits until each has its answer or has given up.
    pub(super) fn join(self) -> Vec<StartupConnection> {
        drop(self.spawned);
        let clients = self.clients.into_iter();
        clients
            .filter_map(|client| client.join().expect("a client does not panic"))
            .collect()
    }
}

fn run_startup_client(
    shared: &Shared,
    target: StartupTarget,
    client: u64,
    spawned_at: Instant,
) -> StartupConnection {
    let StartupTarget {
        gateway,
        address,
        seed,
    } = target;
    let plan = RequestPlan::of_start(&mut seeded(seed.wrapping_add(client)));
    let mut seen = StartupConnection {
        gateway,
        tried: 0,
        refused: 0,
        last_refused_after: None,
        connected_after: None,
    };
    // The clients' tries are spread over the time between two of one.
    thread::sleep(RETRY_INTERVAL * client as u32 / CLIENTS as u32);
    while spawned_at.elapsed() < GIVE_UP_AFTER {
        seen.tried += 1;
        let result = connect(address);
        let after = spawned_at.elapsed();
        match result {
            Ok(socket) => {
                seen.connected_after = Some(after);
                let mut connection = ClientConnection::new(socket, plan.reads_slowly);
                send_request(
                    shared,
                    gateway,
                    &mut connection,
                    &plan,
                    ConnectionUse::Start,
                );
                break;
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                seen.refused += 1;
                seen.last_refused_after = Some(after);
            }
            Err(_) => break,
        }
        thread::sleep(RETRY_INTERVAL);
    }
    seen
}

fn connect(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.bind(&CLIENT_ADDRESS.into())?;
    socket.connect_timeout(&address.into(), CONNECT_TIMEOUT)?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket)
}
