//! Slow start for a host that has just come back.
//!
//! Load pattern: a rebooted host with cold caches and code not yet compiled gets its full share at
//! once, since all its slots are free. Its first requests run many times as long, and the wave's
//! trial would judge the host by them.
//!
//! Reasons for the constant: ten seconds are long against any start-up effect of a service that
//! answers in tens of milliseconds, and short against a wave's trial.

use std::time::Duration;

use borageswitch_types::Time;

/// The time after which a warming host may use all its slots.
const WARM_UP: Duration = Duration::from_secs(10);

/// Returns how many slots of a target that has been warming since `since` all entries together may
/// use.
pub(super) fn open_slots(now: Time, since: Time, slots: u16) -> u16 {
    let passed = now.since(since).min(WARM_UP).as_millis() as u64;
    let open = u64::from(slots) * passed / WARM_UP.as_millis() as u64;
    (open as u16).clamp(1.min(slots), slots)
}
