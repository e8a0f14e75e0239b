//! The clocks of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use borageswitch_scheduler::event::Now;
use borageswitch_types::{Time, time::UnixMillis};
use rustix::time::{ClockId, clock_gettime};

/// The time since the host was started, which goes on while the host is suspended.
///
/// The ordinary monotonic clock stands still then: a daemon that was suspended for seconds would
/// believe that its lease still holds, and give orders beside its successor.
pub fn time() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    Time::from_micros(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
}

/// The wall clock.
pub fn wall() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(since.as_millis() as u64)
}

/// Both.
pub fn now() -> Now {
    Now { time: time(), wall: wall() }
}
