//! Structured logs on standard output, one JSON object a line.
//!
//! A line is handed to a thread of its own through a bounded queue. Whoever logs never waits: when
//! the reader of the output is slow, lines are dropped and counted, and the count is written as
//! soon as there is room again. Each kind of line has a budget a second, so that a flood of one
//! kind leaves room for the others.
//!
//! - [`json`]: a record as a JSON object.
//! - [`budget`]: how many lines of a kind are written.

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

/// How many lines may wait to be written: a second of a rush, under a megabyte.
const QUEUE: usize = 4_096;
/// The most bytes that are written at once.
const MAX_WRITE: usize = 32 << 10;

/// Directs the log of this process to standard output.
///
/// # Errors
///
/// When another logger is in place already, or no thread can be started.
pub fn start(level: &str) -> io::Result<()> {
    let level = LevelFilter::from_str(level).unwrap_or(LevelFilter::Info);
    let (tx, rx) = sync_channel::<String>(QUEUE);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = dropped.clone();
    thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&rx, &counted))?;
    let budget = Mutex::new(Budget::default());
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            for line in lines(record, &budget) {
                offer(&tx, &dropped, line);
            }
        }))
        .apply()
        .map_err(io::Error::other)
}

/// The line of a record, if its kind's budget allows it, behind the counts that are due.
fn lines(record: &Record<'_>, budget: &Mutex<Budget>) -> Vec<String> {
    let kind = record.args().to_string();
    let now_ms = json::unix_millis();
    let spent = budget.lock().unwrap_or_else(PoisonError::into_inner).spend(&kind, now_ms / 1_000);
    let counts = spent.left_out.into_iter().map(|(kind, count)| {
        serde_json::json!({
            "unix_ms": now_ms, "level": "WARN", "kind": "lines-left-out", "of": kind, "count": count
        })
        .to_string()
    });
    let mut lines: Vec<String> = counts.collect();
    if spent.allowed {
        lines.push(line(record, kind, now_ms));
    }
    lines
}

fn line(record: &Record<'_>, kind: String, now_ms: u64) -> String {
    let mut line = serde_json::Map::new();
    line.insert("unix_ms".to_owned(), now_ms.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("kind".to_owned(), kind.into());
    line.extend(json::pairs(record));
    serde_json::Value::Object(line).to_string()
}

fn offer(tx: &SyncSender<String>, dropped: &AtomicU64, line: String) {
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
        let mut text = line;
        text.push('\n');
        // Lines that came together are written together: each write has its price.
        while let Ok(more) = rx.try_recv() {
            text.push_str(&more);
            text.push('\n');
            if text.len() > MAX_WRITE {
                break;
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!("{{\"kind\":\"lines-dropped\",\"count\":{lost}}}\n"));
        }
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            // Nobody reads the output any more.
            return;
        }
    }
}

#[cfg(test)]
mod tests;
