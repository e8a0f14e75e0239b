//! Manual limits as operators store them: one key a limit, whose value is a number.
//!
//! The keys are in the part of the store that the leader watches and each new leader lists anyway,
//! so limits cost no call while there are none. The value is the number of jobs per second as text.

use borageswitch_scheduler::policy::manual_limits::LimitSubject;
use borageswitch_types::names::{CallerName, QueueName};

use crate::{keys, ports::Item};

/// A change of the limits that operators have stored.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// A limit is set to so many jobs per second.
    Set(LimitSubject, f64),
    /// A limit is lifted.
    Lifted(LimitSubject),
    /// These are all limits.
    Listed(Vec<(LimitSubject, f64)>),
}

/// The subject of a limit, by its key.
pub fn subject(key: &str) -> Option<LimitSubject> {
    let (kind, name) = key.strip_prefix(keys::MANUAL_LIMITS)?.split_once('/')?;
    match kind {
        "q" => Some(LimitSubject::Queue(QueueName::from(name))),
        "c" => Some(LimitSubject::Caller(CallerName::from(name))),
        _ => None,
    }
}

/// Decodes a limit; `None` if its key or value is invalid.
pub fn decode(item: &Item) -> Option<(LimitSubject, f64)> {
    let text = std::str::from_utf8(&item.value).ok()?;
    let per_second: f64 = text.trim().parse().ok()?;
    let valid = per_second.is_finite() && per_second >= 0.0;
    subject(&item.key).filter(|_| valid).map(|subject| (subject, per_second))
}

/// Decodes all limits among stored items. Invalid ones are logged and left out.
pub fn decode_all(items: &[Item]) -> Vec<(LimitSubject, f64)> {
    let limits = items.iter().filter(|item| item.key.starts_with(keys::MANUAL_LIMITS));
    let decode = |item: &Item| {
        decode(item).or_else(|| {
            log_unreadable(item);
            None
        })
    };
    limits.filter_map(decode).collect()
}

pub(crate) fn log_unreadable(item: &Item) {
    log::error!(key = &*item.key; "manual-limit-unreadable");
}

#[cfg(test)]
mod tests;
