//! A listener in front of the deployment controller that holds back every connection until it is told to forward them.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use socket2::{Domain, Socket, Type};

/// Holds connections back: one that is begun meanwhile waits in the system, not acknowledged.
pub struct HeldListener {
    listener: TcpListener,
    held: Vec<TcpStream>,
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
        // One that nobody accepts fills the backlog.
        HeldListener {
            listener,
            held: vec![TcpStream::connect(address).unwrap()],
            address,
        }
    }

    /// Whether a connection of this process waits: begun, and not acknowledged.
    pub fn has_pending_connection_of(&self, process: u32) -> bool {
        let waits = format!(":{:04X} 02 ", self.address.port());
        let connections = fs::read_to_string("/proc/net/tcp").unwrap();
        let waiting = connections.lines().filter(|l| l.contains(&waits));
        let sockets: Vec<String> = waiting
            .filter_map(|l| {
                l.split_whitespace()
                    .nth(9)
                    .map(|inode| format!("socket:[{inode}]"))
            })
            .collect();
        let held = fs::read_dir(format!("/proc/{process}/fd"))
            .unwrap()
            .map_while(Result::ok);
        held.filter_map(|entry| fs::read_link(entry.path()).ok())
            .any(|link| sockets.iter().any(|s| link.as_os_str() == s.as_str()))
    }

    /// Accepts every connection from here on, and forwards its bytes to the deployment controller.
    pub fn forward_to(self, controller: SocketAddr) {
        thread::spawn(move || {
            drop(self.held);
            for near in self.listener.incoming().map_while(Result::ok) {
                let far = TcpStream::connect(controller).unwrap();
                let pass = |mut from: TcpStream, mut to: TcpStream| {
                    let mut bytes = [0; 4096];
                    while let Ok(size @ 1..) = from.read(&mut bytes) {
                        if to.write_all(&bytes[..size]).is_err() {
                            break;
                        }
                    }
                    let _ = to.shutdown(std::net::Shutdown::Write);
                };
                let (near_too, far_too) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                thread::spawn(move || pass(near, far));
                thread::spawn(move || pass(far_too, near_too));
            }
        });
    }
}
