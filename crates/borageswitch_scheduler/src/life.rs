//! Names of executors' lives.
//!
//! An executor may start again under the name that it is registered by, and then holds and knows
//! nothing of before. Whatever is believed of an executor is believed of one life, so the moment of
//! its start is part of a life's name where the platform tells it.

use borageswitch_types::{names::ExecutorName, time::UnixMillis};

/// Stands between the registered name and the moment of the start; the platform's names do not
/// have it.
const SEPARATOR: char = '@';

/// The name of the life of an executor that began at that moment.
pub fn name(registered: &str, born: Option<UnixMillis>) -> ExecutorName {
    match born {
        Some(born) => ExecutorName::from(format!("{registered}{SEPARATOR}{}", born.0)),
        None => ExecutorName::from(registered),
    }
}

/// The name under which a life is registered.
pub fn registered(life: &ExecutorName) -> &str {
    let name = life.as_str();
    name.split_once(SEPARATOR).map_or(name, |(registered, _)| registered)
}

/// When a life began, if that is known.
pub fn born(life: &ExecutorName) -> Option<UnixMillis> {
    let (_, born) = life.as_str().split_once(SEPARATOR)?;
    born.parse().ok().map(UnixMillis)
}
