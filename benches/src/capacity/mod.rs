//! Slopes behind docs/CAPACITY.md: how state, messages, time and memory grow with a region.
//!
//! [`document`] measures the fleet document and what is done with it, without network. [`live`]
//! runs real daemons against stand-ins, at rest, under a stream of changes, and through a wave.

mod document;
mod live;

use serde_json::{Value, json};

/// Measures the document and the running daemons at several sizes.
pub(crate) fn run() -> Value {
    json!({ "document": document::run(), "live": live::run() })
}
