//! Messages over UDP, one per datagram.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

use super::ConnectionError;
use crate::send_queue::SendQueue;

/// The maximum number of messages sent per round, so that a burst does not overrun the collector.
pub(crate) const MAX_DATAGRAMS_PER_ROUND: usize = 16;

/// A UDP socket connected to one collector.
pub(crate) struct UdpConnection(UdpSocket);

impl UdpConnection {
    pub(crate) fn open(address: SocketAddr) -> io::Result<UdpConnection> {
        let unspecified = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(unspecified)?;
        socket.set_nonblocking(true)?;
        socket.connect(address)?;
        Ok(UdpConnection(socket))
    }

    /// Sends queued messages until the socket would block.
    ///
    /// # Errors
    /// The socket reports an error. The first queued message was not sent.
    pub(crate) fn send(&self, queue: &mut SendQueue) -> Result<(), ConnectionError> {
        for _ in 0..MAX_DATAGRAMS_PER_ROUND {
            let Some(message) = queue.front() else {
                return Ok(());
            };
            match self.0.send(&message.octets) {
                Ok(_) => {
                    queue.pop_sent();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                // The error belongs to an earlier datagram, which was not delivered; this message was not sent.
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }
}
