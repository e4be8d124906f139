//! A folder for the files of one run, below the system's folder for temporary files.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a folder can't be made.
#[derive(Debug, Error)]
#[error("{path}: {source}", path = path.display())]
pub struct RunFolderError {
    /// The folder.
    path: PathBuf,
    /// Why.
    source: io::Error,
}

/// A folder that is removed with its files when it is dropped, unless it was kept.
#[derive(Debug)]
pub struct RunFolder {
    path: PathBuf,
    is_kept: bool,
}

impl RunFolder {
    /// Makes a folder of this name, followed by the id of this process and the label.
    ///
    /// # Errors
    ///
    /// The folder can't be made.
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

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Leaves the files where they are, for a look at a run that failed.
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
