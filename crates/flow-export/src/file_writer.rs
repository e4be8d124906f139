//! Writes flows to a file on a helper thread, so that a slow disk does not block the event loop.

use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::JoinHandle;

use harrierdock_ipfix::WireFormat;
use harrierdock_types::Timestamp;

use crate::rotating_file::RotatingFile;
use crate::send_queue::{SendQueue, SendQueueSettings};
use crate::{FlowExportError, FlowFileSettings};

/// Messages that wait for the disk, at most; beyond them flows wait, and are merged.
const MAX_QUEUED_MESSAGES: usize = 64;
const MAX_MESSAGE_OCTETS: usize = 8 * 1024;

/// The flow file's queue, and the thread that writes it.
pub(crate) struct FlowFileWriter {
    queue: SendQueue,
    /// A message that the thread's queue had no space for.
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

    /// Passes what waits to the thread, as far as its queue has space, and encodes more whenever all messages are passed on.
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

    /// Waits for the thread to write what it has received.
    pub(crate) fn close(self) {
        drop(self.messages);
        // The thread does not panic, and at shutdown nothing could be done about it.
        let _ = self.thread.join();
    }
}

/// Writes messages until the channel is closed. Of errors in a row the first is logged.
fn write_messages(mut file: RotatingFile, messages: &Receiver<Vec<u8>>) {
    let mut has_failed = false;
    for message in messages {
        match file.append(&message) {
            Ok(()) => has_failed = false,
            Err(e) if !has_failed => {
                has_failed = true;
                tracing::warn!("flows: {}: {e}", file.path().display());
            }
            Err(_) => {}
        }
    }
    // At shutdown nothing could be done about an error.
    let _ = file.sync();
}
