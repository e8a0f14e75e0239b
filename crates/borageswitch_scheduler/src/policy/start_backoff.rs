//! How long a task waits after starts that came to nothing.
//!
//! The load: an order that every executor finds malformed, late or outdated, or that none answers.
//! Repeated with each decision it costs a write to the store and a call dozens of times a second, for
//! as long as its job lives, and closes one executor after the other for everybody else.

use std::time::Duration;

/// So many starts in a row that came to nothing are followed by another one at once: most are due to
/// the executor, and another one takes the task.
const AT_ONCE: u32 = 2;
/// The first pause; later ones double.
const FIRST: Duration = Duration::from_millis(100);
/// The longest pause: callers wait, and executors recover within seconds.
const LONGEST: Duration = Duration::from_millis(1_000);

/// The pause after so many starts in a row that came to nothing.
pub fn pause(failed: u32) -> Duration {
    match failed.checked_sub(AT_ONCE + 1) {
        None => Duration::ZERO,
        Some(doublings) => (FIRST * (1 << doublings.min(4))).min(LONGEST),
    }
}
