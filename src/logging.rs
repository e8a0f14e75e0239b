//! Structured logs, as text or as one JSON object a record.

use std::{
    fmt::Write,
    io,
    str::FromStr,
    time::{SystemTime, UNIX_EPOCH},
};

use borageswitch_settings::daemon::{LogFormat, LogSettings};
use log::{
    LevelFilter, Record,
    kv::{self, Key, Value, VisitSource},
};

/// Directs the log of this process to standard error.
///
/// # Errors
///
/// When another logger is in place already.
pub fn start(settings: &LogSettings) -> Result<(), log::SetLoggerError> {
    let level = LevelFilter::from_str(&settings.level).unwrap_or(LevelFilter::Info);
    let format = settings.format;
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| match format {
            LogFormat::Text => {
                out.finish(format_args!("{}", text_line(record, &message.to_string())));
            }
            LogFormat::Json => {
                out.finish(format_args!("{}", json_line(record, &message.to_string())));
            }
        })
        .chain(io::stderr())
        .apply()
}

struct TextPairs(String);

impl<'kvs> VisitSource<'kvs> for TextPairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

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

fn text_line(record: &Record<'_>, message: &str) -> String {
    let mut pairs = TextPairs(String::new());
    let _ = record.key_values().visit(&mut pairs);
    format!("{} {:5} {} {message}{}", unix_millis(), record.level(), record.target(), pairs.0)
}

fn json_line(record: &Record<'_>, message: &str) -> String {
    let mut pairs = JsonPairs(serde_json::Map::new());
    let _ = record.key_values().visit(&mut pairs);
    let mut line = serde_json::json!({
        "unix_ms": unix_millis(),
        "level": record.level().as_str(),
        "target": record.target(),
        "message": message,
    });
    if let Some(object) = line.as_object_mut() {
        for (key, value) in pairs.0 {
            object.entry(key).or_insert(value);
        }
    }
    line.to_string()
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
