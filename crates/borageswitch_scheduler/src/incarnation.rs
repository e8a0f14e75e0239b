//! Identifiers for the incarnations of an executor.
//!
//! An executor may restart under its registered name, and then has lost all its runs and state. All
//! knowledge about an executor therefore refers to one incarnation, whose identifier includes the
//! start time if the platform reports it.

use borageswitch_types::{names::ExecutorName, time::UnixMillis};

/// Separates the registered name from the start time; names of the platform do not contain it.
pub const SEPARATOR: char = '@';

/// Returns the identifier of the incarnation that started at the given time.
pub fn name(registered: &str, started_at: Option<UnixMillis>) -> ExecutorName {
    match started_at {
        Some(started_at) => ExecutorName::from(format!("{registered}{SEPARATOR}{}", started_at.0)),
        None => ExecutorName::from(registered),
    }
}

/// Returns the registered name of an incarnation.
pub fn registered_name(incarnation: &ExecutorName) -> &str {
    let name = incarnation.as_str();
    name.split_once(SEPARATOR).map_or(name, |(registered, _)| registered)
}

/// Returns the start time of an incarnation, if it is known.
pub fn started_at(incarnation: &ExecutorName) -> Option<UnixMillis> {
    let (_, started_at) = incarnation.as_str().split_once(SEPARATOR)?;
    started_at.parse().ok().map(UnixMillis)
}
