//! Structured logs, as text or as one JSON object a record.

use std::{fmt::Write, io, str::FromStr};

use borageswitch_logging::json;
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

fn text_line(record: &Record<'_>, message: &str) -> String {
    let mut pairs = TextPairs(String::new());
    let _ = record.key_values().visit(&mut pairs);
    format!("{} {:5} {} {message}{}", json::unix_millis(), record.level(), record.target(), pairs.0)
}

fn json_line(record: &Record<'_>, message: &str) -> String {
    let mut line = serde_json::json!({
        "unix_ms": json::unix_millis(),
        "level": record.level().as_str(),
        "target": record.target(),
        "message": message,
    });
    if let Some(object) = line.as_object_mut() {
        for (key, value) in json::pairs(record) {
            object.entry(key).or_insert(value);
        }
    }
    line.to_string()
}
