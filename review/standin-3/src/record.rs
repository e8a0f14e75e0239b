//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Writes lines with the time since the start. Clones write to the same file.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// The time since the start, in milliseconds.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written shows as missing lines.
        let _ = writeln!(file, "{:>7}.{:03} s  {text}", now / 1_000, now % 1_000);
    }
}
