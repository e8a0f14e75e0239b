//! The folder of a run, which no other run may use at the same time.
//!
//! Daemons read their settings from it whenever they start. If two runs wrote to one folder, the
//! daemons of the first would start again with the addresses of the second.

use std::{
    fs::{self, File, TryLockError},
    io,
    path::{Path, PathBuf},
};

use crate::plan::Shape;

/// The file whose lock keeps other runs out of a folder.
const LOCK: &str = "lock";

/// A folder that is locked, across processes, until this is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

impl Folder {
    /// Creates the folder of a seed in `dir`, and locks it.
    ///
    /// # Errors
    ///
    /// When another run uses the folder, or it cannot be written.
    pub fn claim(dir: &Path, shape: Shape, seed: u64) -> io::Result<Self> {
        let path = dir.join(name(shape, seed));
        fs::create_dir_all(&path)?;
        let lock = File::create(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path, _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                let reason = format!("another run uses {}", path.display());
                Err(io::Error::new(io::ErrorKind::ResourceBusy, reason))
            }
            Err(TryLockError::Error(err)) => Err(err),
        }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

fn name(shape: Shape, seed: u64) -> String {
    match shape {
        Shape::Usual => format!("seed-{seed}"),
        Shape::Incident => format!("incident-{seed}"),
    }
}
