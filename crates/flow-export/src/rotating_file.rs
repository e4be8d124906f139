//! A file of IPFIX messages (RFC 5655) that is rotated by size.

use std::fs::{rename, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use harrierdock_ipfix::{split_file, FileEnd};

use crate::{FlowExportError, FlowFileSettings};

const OCTETS_PER_MEGABYTE: u64 = 1 << 20;

/// A file of IPFIX messages, rotated when it reaches its maximum size.
pub(crate) struct RotatingFile {
    path: PathBuf,
    file: File,
    octets: u64,
    max_octets: u64,
    max_rotated_files: u32,
    /// The message with the templates. Each file starts with this message, so that it can be read without the other files.
    templates: Vec<u8>,
}

/// Returns the path of a rotated file; 1 is the newest.
fn rotated_path(path: &Path, number: u32) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{number}"));
    name.into()
}

impl RotatingFile {
    /// Opens or creates a file. Removes an incomplete last message, which a killed process leaves behind.
    ///
    /// # Errors
    /// The file cannot be opened, read or truncated, or holds something other than IPFIX messages.
    pub(crate) fn open(
        path: PathBuf,
        settings: &FlowFileSettings,
    ) -> Result<RotatingFile, FlowExportError> {
        let io_error = |source: io::Error| FlowExportError::FlowFile {
            path: path.clone(),
            source,
        };
        let mut file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(&path)
            .map_err(io_error)?;
        let mut content = Vec::new();
        file.read_to_end(&mut content).map_err(io_error)?;
        let split = split_file(&content).map_err(|e| FlowExportError::NotIpfix {
            path: path.clone(),
            offset: e.offset,
            source: e.source,
        })?;
        if let FileEnd::TruncatedAt(offset) = split.end {
            tracing::warn!(
                "flows: {}: removed the incomplete last message at octet {offset}",
                path.display()
            );
            file.set_len(offset as u64).map_err(io_error)?;
        }
        let octets = file.metadata().map_err(io_error)?.len();
        Ok(RotatingFile {
            path,
            file,
            octets,
            max_octets: u64::from(settings.max_megabytes.max(1)) * OCTETS_PER_MEGABYTE,
            max_rotated_files: settings.max_rotated_files,
            templates: Vec::new(),
        })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Appends a message, after rotating the file if the message would exceed the maximum size.
    pub(crate) fn append(&mut self, message: &[u8]) -> io::Result<()> {
        let is_first = self.templates.is_empty();
        if is_first {
            self.templates = message.to_vec();
        }
        if self.octets + message.len() as u64 > self.max_octets {
            self.rotate()?;
            if !is_first {
                let templates = self.templates.clone();
                self.write(&templates)?;
            }
        }
        self.write(message)
    }

    fn write(&mut self, message: &[u8]) -> io::Result<()> {
        self.file.write_all(message)?;
        self.octets += message.len() as u64;
        Ok(())
    }

    /// Renames the file and the rotated ones, and starts a new file.
    fn rotate(&mut self) -> io::Result<()> {
        for number in (1..self.max_rotated_files).rev() {
            // Fails if there are fewer rotated files than the maximum.
            let _ = rename(
                rotated_path(&self.path, number),
                rotated_path(&self.path, number + 1),
            );
        }
        if self.max_rotated_files > 0 {
            rename(&self.path, rotated_path(&self.path, 1))?;
        }
        self.file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&self.path)?;
        if self.max_rotated_files == 0 {
            self.file.set_len(0)?;
        }
        self.octets = 0;
        Ok(())
    }

    /// Flushes the file to disk.
    pub(crate) fn sync(&self) -> io::Result<()> {
        self.file.sync_all()
    }
}
