//! A file of IPFIX messages (RFC 5655), written by a helper thread: rotated by size, and cut back to its last whole
//! message when it is opened again after a kill.

use std::fs::{rename, File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::thread::JoinHandle;

use harrierdock_flow_metering::Flow;
use harrierdock_ipfix::{split_file, FileEnd, WireFormat};
use harrierdock_types::Timestamp;

use crate::config::extensions::FlowFileTold;
use crate::flow_export::exporter::Outbox;

/// Messages that wait for the disk, at the most; then flows wait, and are merged.
const WAITING_MOST: usize = 64;
const MESSAGE_MOST: usize = 8 * 1024;
const MEGABYTE: u64 = 1 << 20;

pub struct FlowFile {
    pub outbox: Outbox,
    /// A message that found the thread busy.
    held: Option<Vec<u8>>,
    to: Option<SyncSender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
}

/// What the helper thread has.
struct Disk {
    path: PathBuf,
    file: File,
    size: u64,
    most: u64,
    keep: u32,
}

fn numbered(path: &Path, number: u32) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{number}"));
    name.into()
}

impl Disk {
    /// Opens a file to go on with. A message that a kill has torn is cut off; what is no such file is put aside.
    fn open(path: PathBuf, most: u64, keep: u32) -> Result<Disk, String> {
        let wrong = |e: std::io::Error| format!("flows.file.path: {}: {e}", path.display());
        let mut file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(&path)
            .map_err(wrong)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(wrong)?;
        match split_file(&bytes) {
            Ok(split) => {
                if let FileEnd::TruncatedAt(end) = split.end {
                    tracing::warn!("flows: {} is torn, cut at octet {end}", path.display());
                    file.set_len(end as u64).map_err(wrong)?;
                }
            }
            Err(e) => {
                let at = e.offset;
                return Err(format!(
                    "flows.file.path: {}: no IPFIX at octet {at}",
                    path.display()
                ));
            }
        }
        let size = file.metadata().map_err(wrong)?.len();
        Ok(Disk {
            path,
            file,
            size,
            most,
            keep,
        })
    }

    fn write(&mut self, message: &[u8]) -> std::io::Result<()> {
        self.file.write_all(message)?;
        self.size += message.len() as u64;
        Ok(())
    }

    /// Whether a message would make the file too large; then another one begins.
    fn rotate(&mut self) -> std::io::Result<()> {
        for number in (1..self.keep).rev() {
            // One that is not there need not move.
            let _ = rename(
                numbered(&self.path, number),
                numbered(&self.path, number + 1),
            );
        }
        if self.keep > 0 {
            rename(&self.path, numbered(&self.path, 1))?;
        }
        self.file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&self.path)?;
        if self.keep == 0 {
            self.file.set_len(0)?;
        }
        self.size = 0;
        Ok(())
    }
}

impl FlowFile {
    pub fn open(
        now: Timestamp,
        path: PathBuf,
        told: &FlowFileTold,
        domain: u32,
    ) -> Result<FlowFile, String> {
        let most = u64::from(told.most_mb.max(1)) * MEGABYTE;
        let mut disk = Disk::open(path, most, told.keep)?;
        let (to, messages) = sync_channel::<Vec<u8>>(WAITING_MOST);
        let thread = std::thread::spawn(move || {
            // Each file begins with the templates, by which alone it can be read.
            let (mut templates, mut failed) = (Vec::new(), false);
            for message in messages {
                if templates.is_empty() {
                    templates.clone_from(&message);
                }
                let full = disk.size + message.len() as u64 > disk.most;
                let written = if full {
                    disk.rotate()
                        .and_then(|()| disk.write(&templates))
                        .and_then(|()| disk.write(&message))
                } else {
                    disk.write(&message)
                };
                if let Err(e) = &written {
                    if !std::mem::replace(&mut failed, true) {
                        tracing::warn!("flows: {}: {e}", disk.path.display());
                    }
                } else {
                    failed = false;
                }
            }
            let _ = disk.file.sync_all();
        });
        let outbox = Outbox::new(now, WireFormat::Ipfix, domain, MESSAGE_MOST, None);
        Ok(FlowFile {
            outbox,
            held: None,
            to: Some(to),
            thread: Some(thread),
        })
    }

    /// What is due joins what waits, and goes to the thread as far as that takes it.
    pub fn turn(&mut self, due: &[Flow], seal: impl Fn(&mut Outbox)) {
        due.iter().for_each(|flow| self.outbox.pending.add(*flow));
        let Some(to) = &self.to else { return };
        loop {
            let Some(message) = self.held.take().or_else(|| self.outbox.next()) else {
                if self.outbox.is_empty() {
                    return;
                }
                seal(&mut self.outbox);
                match self.outbox.next() {
                    Some(message) => self.held = Some(message),
                    None => return,
                }
                continue;
            };
            match to.try_send(message) {
                Ok(()) => {}
                Err(TrySendError::Full(message)) => {
                    self.held = Some(message);
                    return;
                }
                Err(TrySendError::Disconnected(_)) => return,
            }
        }
    }

    /// Waits for the thread to write what it has.
    pub fn close(mut self) {
        drop(self.to.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
