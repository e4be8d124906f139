//! A listener in front of the deployment controller that accepts no connection until the test has it forward them.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use socket2::{Domain, Socket, Type};

/// A listener whose backlog is full, so the kernel leaves the SYN of every further connection unacknowledged.
pub struct HeldListener {
    listener: TcpListener,
    /// Fills the backlog.
    backlog: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl HeldListener {
    pub fn new() -> HeldListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        HeldListener {
            listener,
            backlog: vec![TcpStream::connect(address).unwrap()],
            address,
        }
    }

    /// Whether this process has a connection to the listener in state SYN_SENT.
    pub fn has_pending_connection_of(&self, process_id: u32) -> bool {
        // Remote port and connection state, as in `/proc/net/tcp`.
        let pending_state = format!(":{:04X} 02 ", self.address.port());
        let connections = fs::read_to_string("/proc/net/tcp").unwrap();
        let pending = connections
            .lines()
            .filter(|line| line.contains(&pending_state));
        let sockets: Vec<String> = pending
            .filter_map(|line| {
                line.split_whitespace()
                    .nth(9)
                    .map(|inode| format!("socket:[{inode}]"))
            })
            .collect();
        let descriptors = fs::read_dir(format!("/proc/{process_id}/fd"))
            .unwrap()
            .map_while(Result::ok);
        descriptors
            .filter_map(|entry| fs::read_link(entry.path()).ok())
            .any(|link| {
                sockets
                    .iter()
                    .any(|socket| link.as_os_str() == socket.as_str())
            })
    }

    /// Accepts every connection from here on, and forwards its bytes to the deployment controller.
    pub fn forward_to(self, controller: SocketAddr) {
        thread::spawn(move || {
            drop(self.backlog);
            for client in self.listener.incoming().map_while(Result::ok) {
                let upstream = TcpStream::connect(controller).unwrap();
                let copy = |mut from: TcpStream, mut to: TcpStream| {
                    let mut bytes = [0; 4096];
                    while let Ok(size @ 1..) = from.read(&mut bytes) {
                        if to.write_all(&bytes[..size]).is_err() {
                            break;
                        }
                    }
                    let _ = to.shutdown(std::net::Shutdown::Write);
                };
                let (client_writer, upstream_reader) =
                    (client.try_clone().unwrap(), upstream.try_clone().unwrap());
                thread::spawn(move || copy(client, upstream));
                thread::spawn(move || copy(upstream_reader, client_writer));
            }
        });
    }
}
