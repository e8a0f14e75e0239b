//! The clocks of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use borageswitch_scheduler::event::Now;
use borageswitch_types::{Time, time::UnixMillis};
use rustix::time::{ClockId, clock_gettime};

/// The time since the host was booted, which includes the time during which it was suspended.
///
/// The ordinary monotonic clock stops during suspension. With it, a daemon that was suspended for
/// seconds would take its lease for valid and give orders concurrently with its successor.
pub fn time() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    Time::from_micros(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
}

/// The time of the wall clock.
pub fn wall() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(since.as_millis() as u64)
}

/// The time of both clocks.
pub fn now() -> Now {
    Now { time: time(), wall: wall() }
}

/// A duration in whole milliseconds. One that is too long for the number, such as the wait in a
/// pool without hosts, becomes the largest number.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
