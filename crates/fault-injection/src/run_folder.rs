//! A folder for the files of one run, inside the system's folder for temporary files.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a run folder can't be created.
#[derive(Debug, Error)]
#[error("can't create {path}: {source}", path = path.display())]
pub struct RunFolderError {
    /// Path of the folder.
    path: PathBuf,
    /// The error of the file system.
    source: io::Error,
}

/// A folder that is removed with its files on drop, unless [`RunFolder::keep`] was called.
#[derive(Debug)]
pub struct RunFolder {
    path: PathBuf,
    is_kept: bool,
}

impl RunFolder {
    /// Creates a folder named `NAME-PROCESS_ID-LABEL`.
    ///
    /// # Errors
    ///
    /// The folder can't be created.
    pub fn create(name: &str, label: &str) -> Result<RunFolder, RunFolderError> {
        let path = std::env::temp_dir().join(format!("{name}-{}-{label}", std::process::id()));
        match fs::create_dir_all(&path) {
            Ok(()) => Ok(RunFolder {
                path,
                is_kept: false,
            }),
            Err(source) => Err(RunFolderError { path, source }),
        }
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps the files after the drop, so that a failed run can be inspected.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        if !self.is_kept {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
