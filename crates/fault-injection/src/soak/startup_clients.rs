//! Clients that try to connect from the moment a gateway is spawned until it listens.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::clients::{send_request, ClientConnection, ConnectionUse, SharedState, CONNECT_TIMEOUT};
use super::plan::seeded_rng;
use super::requests::RequestPlan;
use super::startup::StartupConnection;

/// How many clients connect during one startup.
const CLIENTS_PER_STARTUP: u64 = 5;
/// The pause between two connection attempts of a client.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// How long a client tries to connect.
const MAX_CONNECT_TIME: Duration = Duration::from_secs(10);
/// The source address of these clients. With the gateway's own address, the system could pick the gateway's port as the
/// source port while no process listens there, and the client would connect to itself.
const CLIENT_ADDRESS: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 2)),
    0,
);

/// The gateway to which the clients of a startup connect, and the seed of their requests.
#[derive(Clone, Copy)]
pub(super) struct StartupTarget {
    pub(super) gateway: usize,
    pub(super) address: SocketAddr,
    pub(super) seed: u64,
}

/// The clients of one startup, each on its own thread.
pub(super) struct StartupClients {
    spawn_senders: Vec<Sender<Instant>>,
    clients: Vec<thread::JoinHandle<Option<StartupConnection>>>,
}

impl StartupClients {
    /// Starts the clients' threads before the spawn, so that no client is delayed by the start of its thread.
    pub(super) fn prepare(shared: &Arc<SharedState>, target: StartupTarget) -> StartupClients {
        let (spawn_senders, clients) = (0..CLIENTS_PER_STARTUP)
            .map(|client| {
                let shared = shared.clone();
                let (sender, receiver) = channel::<Instant>();
                let start = move || {
                    let spawned_at = receiver.recv().ok()?;
                    Some(run_startup_client(&shared, target, client, spawned_at))
                };
                (sender, thread::spawn(start))
            })
            .unzip();
        StartupClients {
            spawn_senders,
            clients,
        }
    }

    /// Makes the clients connect from now on.
    pub(super) fn connect(&self, spawned_at: Instant) {
        for client in &self.spawn_senders {
            // A client that has panicked is missing from the count of clients.
            let _ = client.send(spawned_at);
        }
    }

    /// Waits until each client has received its answer or stopped trying.
    pub(super) fn join(self) -> Vec<StartupConnection> {
        drop(self.spawn_senders);
        let clients = self.clients.into_iter();
        clients
            .filter_map(|client| client.join().expect("a client does not panic"))
            .collect()
    }
}

fn run_startup_client(
    shared: &SharedState,
    target: StartupTarget,
    client: u64,
    spawned_at: Instant,
) -> StartupConnection {
    let StartupTarget {
        gateway,
        address,
        seed,
    } = target;
    let plan = RequestPlan::for_startup_client(&mut seeded_rng(seed.wrapping_add(client)));
    let mut result = StartupConnection {
        gateway,
        tried: 0,
        refused: 0,
        last_refused_after: None,
        connected_after: None,
    };
    // Staggers the clients over one retry interval.
    thread::sleep(RETRY_INTERVAL * client as u32 / CLIENTS_PER_STARTUP as u32);
    while spawned_at.elapsed() < MAX_CONNECT_TIME {
        result.tried += 1;
        let connected = connect(address);
        let after = spawned_at.elapsed();
        match connected {
            Ok(socket) => {
                result.connected_after = Some(after);
                let mut connection = ClientConnection::new(socket, plan.reads_slowly);
                send_request(
                    shared,
                    gateway,
                    &mut connection,
                    &plan,
                    ConnectionUse::Startup,
                );
                break;
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                result.refused += 1;
                result.last_refused_after = Some(after);
            }
            Err(_) => break,
        }
        thread::sleep(RETRY_INTERVAL);
    }
    result
}

fn connect(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.bind(&CLIENT_ADDRESS.into())?;
    socket.connect_timeout(&address.into(), CONNECT_TIMEOUT)?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket)
}
