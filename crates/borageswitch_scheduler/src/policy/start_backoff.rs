//! Backoff for tasks whose starts fail.
//!
//! An order may be rejected by every executor as malformed, late or outdated, or get no response at
//! all. Repeated with each decision it costs a write to the store and a call dozens of times a
//! second for as long as its job exists, and opens the circuit breaker of one executor after the
//! other for all other tasks.

use std::time::Duration;

/// The number of consecutive failed starts after which the next one follows at once. Most are the
/// fault of the executor, and another one accepts the task.
const IMMEDIATE_RETRIES: u32 = 2;
/// The first pause; later ones double.
const INITIAL: Duration = Duration::from_millis(100);
/// The longest pause: callers wait, and executors recover within seconds.
const MAX: Duration = Duration::from_millis(1_000);

/// Returns the pause after `failed` consecutive failed starts.
pub fn backoff(failed: u32) -> Duration {
    match failed.checked_sub(IMMEDIATE_RETRIES + 1) {
        None => Duration::ZERO,
        Some(doublings) => (INITIAL * (1 << doublings.min(4))).min(MAX),
    }
}
