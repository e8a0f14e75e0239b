//! Structured logs on standard output, one JSON object a line.
//!
//! A line is handed to a thread of its own through a bounded queue. Whoever logs never waits: when
//! the reader of the output is slow, or there are too many lines, lines are dropped and counted,
//! and the count is written as soon as there is room again.

use std::{
    io::{self, Write},
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
};

use log::{
    LevelFilter, Record,
    kv::{self, Key, Value, VisitSource},
};

use crate::clock;

/// How many lines may wait to be written: a second of a rush, under a megabyte.
const QUEUE: usize = 4_096;

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
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| offer(&tx, &dropped, json_line(record))))
        .apply()
        .map_err(io::Error::other)
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

/// The most bytes that are written at once.
const MAX_WRITE: usize = 32 << 10;

struct JsonPairs(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonPairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => serde_json::Value::from(number),
            (_, Some(flag)) => serde_json::Value::from(flag),
            _ => serde_json::Value::from(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn json_line(record: &Record<'_>) -> String {
    let mut pairs = JsonPairs(serde_json::Map::new());
    // Collecting pairs into a map cannot fail.
    let _ = record.key_values().visit(&mut pairs);
    let mut line = serde_json::Map::new();
    line.insert("unix_ms".to_owned(), clock::wall().0.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("kind".to_owned(), record.args().to_string().into());
    line.extend(pairs.0);
    serde_json::Value::Object(line).to_string()
}

#[cfg(test)]
mod tests;
