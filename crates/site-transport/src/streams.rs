//! Reliable messages of one connection. Each message has its own QUIC stream, so that a lost packet delays no other message.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use harrierdock_site_messages::MAX_MESSAGE_BYTES;
use quinn_proto::{
    Chunks, Connection, Dir, FinishError, ReadError, ReadableError, StreamEvent, StreamId, VarInt,
    WriteError,
};

/// Limit of unsent bytes on a connection.
pub(crate) const MAX_UNSENT_BYTES: usize = 4 << 20;
/// Application error code for stopping a stream whose message is empty, too long or reset.
const STOP_INVALID_MESSAGE: u32 = 2;

/// A message that is being written to its stream.
struct OutgoingMessage {
    bytes: Bytes,
    sent_bytes: usize,
}

impl OutgoingMessage {
    fn unsent_bytes(&self) -> usize {
        self.bytes.len() - self.sent_bytes
    }
}

/// A message that a stream delivered.
pub(crate) enum ReceivedMessage {
    /// The whole message.
    Complete(Vec<u8>),
    /// The message is longer than [`MAX_MESSAGE_BYTES`], and was discarded.
    TooLong,
}

/// How far a stream was read.
enum ReadState {
    /// More bytes may follow.
    Open,
    /// The message is complete.
    Complete,
    /// The sender gave the message up.
    Reset,
    /// The message is too long.
    TooLong,
}

/// The messages of one connection that are not completely sent or received yet.
#[derive(Default)]
pub(crate) struct MessageStreams {
    /// Partially received messages.
    receiving: HashMap<StreamId, Vec<u8>>,
    /// Messages whose streams are open but blocked by flow control.
    sending: BTreeMap<StreamId, OutgoingMessage>,
    /// Messages that wait for the stream limit to let another stream open.
    queued: VecDeque<Bytes>,
    /// Unsent bytes of `sending` and `queued` together.
    unsent_bytes: usize,
}

impl MessageStreams {
    /// Queues a message. Returns false if [`MAX_UNSENT_BYTES`] would be exceeded, as when the peer stops reading.
    pub(crate) fn queue(&mut self, bytes: Vec<u8>) -> bool {
        if self.unsent_bytes + bytes.len() > MAX_UNSENT_BYTES {
            return false;
        }
        self.unsent_bytes += bytes.len();
        self.queued.push_back(bytes.into());
        true
    }

    /// Writes queued messages as far as flow control permits. Returns true if any bytes were written or a message was finished.
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

    /// Handles a stream event, and returns the messages that it completed.
    pub(crate) fn handle_event(
        &mut self,
        connection: &mut Connection,
        event: StreamEvent,
    ) -> Vec<ReceivedMessage> {
        let mut received = Vec::new();
        match event {
            StreamEvent::Opened { dir: Dir::Uni } => {
                while let Some(id) = connection.streams().accept(Dir::Uni) {
                    self.receiving.insert(id, Vec::new());
                    received.extend(self.read_stream(connection, id));
                }
            }
            StreamEvent::Readable { id } => received.extend(self.read_stream(connection, id)),
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

    /// Reads the available bytes of a stream, and returns its message if that is complete or too long.
    fn read_stream(
        &mut self,
        connection: &mut Connection,
        id: StreamId,
    ) -> Option<ReceivedMessage> {
        let message = self.receiving.get_mut(&id)?;
        let mut stream = connection.recv_stream(id);
        let state = match stream.read(true) {
            Ok(mut chunks) => {
                let state = read_available(&mut chunks, message);
                // The result only reports whether to transmit; the caller polls for datagrams after every event anyway.
                let _ = chunks.finalize();
                state
            }
            Err(ReadableError::ClosedStream | ReadableError::IllegalOrderedRead) => {
                ReadState::Complete
            }
        };
        if matches!(state, ReadState::Open) {
            return None;
        }
        let message = self.receiving.remove(&id)?;
        let received = match state {
            ReadState::Complete if !message.is_empty() => {
                return Some(ReceivedMessage::Complete(message));
            }
            ReadState::TooLong => Some(ReceivedMessage::TooLong),
            ReadState::Open | ReadState::Complete | ReadState::Reset => None,
        };
        // Fails harmlessly if the stream is already closed.
        let _ = connection
            .recv_stream(id)
            .stop(VarInt::from_u32(STOP_INVALID_MESSAGE));
        received
    }
}

/// Appends the available bytes to a message.
fn read_available(chunks: &mut Chunks, message: &mut Vec<u8>) -> ReadState {
    loop {
        match chunks.next(MAX_MESSAGE_BYTES) {
            Ok(Some(chunk)) if message.len() + chunk.bytes.len() <= MAX_MESSAGE_BYTES => {
                message.extend_from_slice(&chunk.bytes);
            }
            Ok(Some(_)) => return ReadState::TooLong,
            Err(ReadError::Reset(_)) => return ReadState::Reset,
            Ok(None) => return ReadState::Complete,
            Err(ReadError::Blocked) => return ReadState::Open,
        }
    }
}
