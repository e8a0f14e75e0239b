//! Conversion of log records to JSON.

use std::time::{SystemTime, UNIX_EPOCH};

use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::Map;

struct Pairs(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Pairs {
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

/// Returns the structured key-value pairs of a record as JSON.
pub fn pairs(record: &Record<'_>) -> Map<String, serde_json::Value> {
    let mut pairs = Pairs(Map::new());
    // Collecting pairs into a map cannot fail.
    let _ = record.key_values().visit(&mut pairs);
    pairs.0
}

/// Returns the wall-clock time in milliseconds since 1970 (Unix time).
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
