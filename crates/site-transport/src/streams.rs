//! Reliable messages on one connection: each is a QUIC stream of its own, so that none waits for another that was lost.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use harrierdock_site_messages::MAX_MESSAGE_BYTES;
use quinn_proto::{
    Chunks, Connection, Dir, FinishError, ReadError, ReadableError, StreamEvent, StreamId, VarInt,
    WriteError,
};

/// The most bytes that wait to be sent on a connection.
pub(crate) const MAX_UNSENT_BYTES: usize = 4 << 20;
/// The error code with which a stream without a message is stopped.
const STOP_NO_MESSAGE: u32 = 2;

/// A message on its stream.
struct OutgoingMessage {
    bytes: Bytes,
    sent_bytes: usize,
}

impl OutgoingMessage {
    fn unsent_bytes(&self) -> usize {
        self.bytes.len() - self.sent_bytes
    }
}

/// The messages that are being sent and received on one connection.
#[derive(Default)]
pub(crate) struct MessageStreams {
    receiving: HashMap<StreamId, Vec<u8>>,
    /// Messages whose streams take no more bytes for now.
    sending: BTreeMap<StreamId, OutgoingMessage>,
    /// Messages that wait for a stream.
    queued: VecDeque<Bytes>,
    /// The bytes of both that were not sent.
    unsent_bytes: usize,
}

impl MessageStreams {
    /// Queues a message. False if too much waits already: the other end may take in nothing.
    pub(crate) fn queue(&mut self, bytes: Vec<u8>) -> bool {
        if self.unsent_bytes + bytes.len() > MAX_UNSENT_BYTES {
            return false;
        }
        self.unsent_bytes += bytes.len();
        self.queued.push_back(bytes.into());
        true
    }

    /// Writes waiting messages, as far as the other end takes them. True if any was written.
    pub(crate) fn write(&mut self, connection: &mut Connection) -> bool {
        self.open_streams(connection);
        let mut progressed = false;
        let mut finished = Vec::new();
        for (id, message) in &mut self.sending {
            let mut stream = connection.send_stream(*id);
            while message.unsent_bytes() > 0 {
                match stream.write(&message.bytes[message.sent_bytes..]) {
                    Ok(count) => {
                        message.sent_bytes += count;
                        self.unsent_bytes -= count;
                        progressed = true;
                    }
                    Err(WriteError::Blocked) => break,
                    Err(WriteError::Stopped(_) | WriteError::ClosedStream) => {
                        self.unsent_bytes -= message.unsent_bytes();
                        message.sent_bytes = message.bytes.len();
                    }
                }
            }
            if message.unsent_bytes() == 0 {
                match stream.finish() {
                    Ok(()) | Err(FinishError::Stopped(_) | FinishError::ClosedStream) => {
                        finished.push(*id);
                    }
                }
            }
        }
        for id in &finished {
            self.sending.remove(id);
        }
        progressed || !finished.is_empty()
    }

    fn open_streams(&mut self, connection: &mut Connection) {
        while !self.queued.is_empty() {
            let Some(id) = connection.streams().open(Dir::Uni) else {
                return;
            };
            if let Some(bytes) = self.queued.pop_front() {
                let message = OutgoingMessage {
                    bytes,
                    sent_bytes: 0,
                };
                self.sending.insert(id, message);
            }
        }
    }

    /// Handles what has happened on a stream, and returns the messages that are complete.
    pub(crate) fn handle_event(
        &mut self,
        connection: &mut Connection,
        event: StreamEvent,
    ) -> Vec<Vec<u8>> {
        let mut received = Vec::new();
        match event {
            StreamEvent::Opened { dir: Dir::Uni } => {
                while let Some(id) = connection.streams().accept(Dir::Uni) {
                    self.receiving.insert(id, Vec::new());
                    received.extend(self.read(connection, id));
                }
            }
            StreamEvent::Readable { id } => received.extend(self.read(connection, id)),
            StreamEvent::Stopped { id, .. } => {
                if let Some(message) = self.sending.remove(&id) {
                    self.unsent_bytes -= message.unsent_bytes();
                }
            }
            StreamEvent::Opened { dir: Dir::Bi }
            | StreamEvent::Writable { .. }
            | StreamEvent::Finished { .. }
            | StreamEvent::Available { .. } => {}
        }
        received
    }

    /// Reads what has come on a stream, and returns the message if it is complete.
    fn read(&mut self, connection: &mut Connection, id: StreamId) -> Option<Vec<u8>> {
        let message = self.receiving.get_mut(&id)?;
        let mut stream = connection.recv_stream(id);
        let is_over = match stream.read(true) {
            Ok(mut chunks) => {
                let is_over = read_chunks(&mut chunks, message);
                // The connection is asked for datagrams after every event in any case.
                let _ = chunks.finalize();
                is_over
            }
            Err(ReadableError::ClosedStream | ReadableError::IllegalOrderedRead) => true,
        };
        if !is_over {
            return None;
        }
        let message = self.receiving.remove(&id)?;
        if message.is_empty() {
            // The stream may be gone already.
            let _ = connection
                .recv_stream(id)
                .stop(VarInt::from_u32(STOP_NO_MESSAGE));
            return None;
        }
        Some(message)
    }
}

/// Reads what has come of a message. True if nothing more comes; a message that is too long, or was reset, is then empty.
fn read_chunks(chunks: &mut Chunks, message: &mut Vec<u8>) -> bool {
    loop {
        match chunks.next(MAX_MESSAGE_BYTES) {
            Ok(Some(chunk)) if message.len() + chunk.bytes.len() <= MAX_MESSAGE_BYTES => {
                message.extend_from_slice(&chunk.bytes);
            }
            Ok(Some(_)) | Err(ReadError::Reset(_)) => {
                message.clear();
                return true;
            }
            Ok(None) => return true,
            Err(ReadError::Blocked) => return false,
        }
    }
}
