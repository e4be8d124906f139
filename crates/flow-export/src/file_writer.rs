//! Writes the flow file on a separate thread, so that a slow disk does not block the event loop.

use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::JoinHandle;

use harrierdock_ipfix::WireFormat;
use harrierdock_types::Timestamp;

use crate::rotating_file::RotatingFile;
use crate::send_queue::{SendQueue, SendQueueSettings};
use crate::{FlowExportError, FlowFileSettings};

/// The maximum number of encoded messages that wait for the writing thread. While as many wait, flows stay pending, and flows
/// of the same key are merged.
const MAX_QUEUED_MESSAGES: usize = 64;
const MAX_MESSAGE_OCTETS: usize = 8 * 1024;

/// The queue of the flow file, and the thread that writes the file.
pub(crate) struct FlowFileWriter {
    queue: SendQueue,
    /// A message for which the thread's queue had no space.
    unsent: Option<Vec<u8>>,
    messages: SyncSender<Vec<u8>>,
    thread: JoinHandle<()>,
}

impl FlowFileWriter {
    pub(crate) fn open(
        now: Timestamp,
        path: PathBuf,
        settings: &FlowFileSettings,
        observation_domain: u32,
    ) -> Result<FlowFileWriter, FlowExportError> {
        let file = RotatingFile::open(path, settings)?;
        let (messages, received) = sync_channel(MAX_QUEUED_MESSAGES);
        let thread = std::thread::spawn(move || write_messages(file, &received));
        let queue_settings = SendQueueSettings {
            format: WireFormat::Ipfix,
            observation_domain,
            max_message_octets: MAX_MESSAGE_OCTETS,
            template_interval: None,
        };
        Ok(FlowFileWriter {
            queue: SendQueue::new(now, queue_settings),
            unsent: None,
            messages,
            thread,
        })
    }

    pub(crate) fn queue_mut(&mut self) -> &mut SendQueue {
        &mut self.queue
    }

    /// Passes messages to the thread until its queue is full, and calls `encode` whenever there is no encoded message left.
    pub(crate) fn drive(&mut self, encode: impl Fn(&mut SendQueue)) {
        while let Some(message) = self.next_message(&encode) {
            match self.messages.try_send(message) {
                Ok(()) => {}
                Err(TrySendError::Full(message)) => {
                    self.unsent = Some(message);
                    return;
                }
                Err(TrySendError::Disconnected(_)) => return,
            }
        }
    }

    fn next_message(&mut self, encode: impl Fn(&mut SendQueue)) -> Option<Vec<u8>> {
        if let Some(message) = self.unsent.take() {
            return Some(message);
        }
        if self.queue.front().is_none() && !self.queue.is_empty() {
            encode(&mut self.queue);
        }
        self.queue.pop_sent().map(|message| message.octets)
    }

    /// Waits until the thread has written all messages passed to it.
    pub(crate) fn close(self) {
        drop(self.messages);
        // Ignores a panic of the thread: at shutdown there is no way to handle it.
        let _ = self.thread.join();
    }
}

/// Writes messages until the channel is closed. Logs the first of consecutive errors.
fn write_messages(mut file: RotatingFile, messages: &Receiver<Vec<u8>>) {
    let mut has_failed = false;
    for message in messages {
        match file.append(&message) {
            Ok(()) => has_failed = false,
            Err(e) if !has_failed => {
                has_failed = true;
                tracing::warn!("flows: writing {} failed: {e}", file.path().display());
            }
            Err(_) => {}
        }
    }
    // Ignores an error: at shutdown there is no way to handle it.
    let _ = file.sync();
}
