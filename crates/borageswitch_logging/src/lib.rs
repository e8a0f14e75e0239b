//! Structured logging to standard output, one JSON object per line.
//!
//! Lines are passed to a writer thread through a bounded queue, so that logging never blocks. If
//! the reader of the output is slow and the queue is full, lines are dropped and counted, and the
//! count is written once output continues. Each kind of line has a rate limit per second, so that a
//! flood of one kind does not crowd out the others.
//!
//! - [`json`] converts log records to JSON.
//! - [`budget`] limits the lines per kind and second.

pub mod budget;
pub mod json;

use std::{
    io::{self, Write},
    str::FromStr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
};

use log::{LevelFilter, Record};

use crate::budget::Budget;

/// The maximum number of queued lines: one second of a load peak, less than a megabyte.
const QUEUE_CAPACITY: usize = 4_096;
/// The size in bytes beyond which no further line is added to a write.
const WRITE_BATCH_BYTES: usize = 32 << 10;

/// Installs the logger of this process, which writes to standard output.
///
/// # Errors
///
/// Returns an error if a logger is already installed or the writer thread cannot be started.
pub fn start(level: &str) -> io::Result<()> {
    let level = LevelFilter::from_str(level).unwrap_or(LevelFilter::Info);
    let (tx, rx) = sync_channel::<String>(QUEUE_CAPACITY);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer_dropped = dropped.clone();
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&rx, &writer_dropped))?;
    let budget = Mutex::new(Budget::default());
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            for line in format_lines(record, &budget) {
                send_or_drop(&tx, &dropped, line);
            }
        }))
        .apply()
        .map_err(io::Error::other)
}

/// Formats a record if the budget of its kind allows it, preceded by the counts of lines that were
/// suppressed in the last second.
fn format_lines(record: &Record<'_>, budget: &Mutex<Budget>) -> Vec<String> {
    let kind = record.args().to_string();
    let now_ms = json::unix_millis();
    let decision =
        budget.lock().unwrap_or_else(PoisonError::into_inner).spend(&kind, now_ms / 1_000);
    let counts = decision.suppressed.into_iter().map(|(kind, count)| {
        serde_json::json!({
            "unix_ms": now_ms, "level": "WARN", "kind": "lines-left-out", "of": kind, "count": count
        })
        .to_string()
    });
    let mut lines: Vec<String> = counts.collect();
    if decision.allowed {
        lines.push(format_line(record, kind, now_ms));
    }
    lines
}

fn format_line(record: &Record<'_>, kind: String, now_ms: u64) -> String {
    let mut line = serde_json::Map::new();
    line.insert("unix_ms".to_owned(), now_ms.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("kind".to_owned(), kind.into());
    line.extend(json::pairs(record));
    serde_json::Value::Object(line).to_string()
}

fn send_or_drop(tx: &SyncSender<String>, dropped: &AtomicU64, line: String) {
    match tx.try_send(line) {
        Ok(()) => {}
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(rx: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(line) = rx.recv() {
        let mut batch = line;
        batch.push('\n');
        // Batches the queued lines to save system calls.
        while let Ok(more) = rx.try_recv() {
            batch.push_str(&more);
            batch.push('\n');
            if batch.len() > WRITE_BATCH_BYTES {
                break;
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.push_str(&format!("{{\"kind\":\"lines-dropped\",\"count\":{lost}}}\n"));
        }
        if out.write_all(batch.as_bytes()).and_then(|()| out.flush()).is_err() {
            // The reader has closed the output.
            return;
        }
    }
}

#[cfg(test)]
mod tests;
