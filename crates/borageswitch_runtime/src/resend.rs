//! Sends a call to the store again when its response is overdue.
//!
//! For some seconds the store may lose a third of its responses. All starts and ends of runs wait
//! for the append in flight, and a leader that misses two renewals is replaced. With a timeout that
//! allows for a slow store, each lost response would hold the leader up for most of a second. Calls
//! that can take effect only once are therefore sent again as soon as a response is overdue, and
//! the first response counts.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use borageswitch_scheduler::policy::response_time::ResponseTime;
use futures_lite::future;
use smol::Timer;

use crate::{
    clock,
    orders::with_timeout,
    ports::{StoreError, StoreResult},
};

/// The shortest time after which a call is sent again. An ordinary call takes some 10 ms, so that
/// one which takes so long is exceptional.
const MIN_DELAY: Duration = Duration::from_millis(60);
/// The longest time after which a call is sent again.
const MAX_DELAY: Duration = Duration::from_millis(450);
/// How long a response is awaited, however often the call was sent.
const TIMEOUT: Duration = Duration::from_millis(600);

/// How long the store takes to respond to the calls that are sent again.
#[derive(Debug, Default)]
pub struct StoreTimes {
    times: Mutex<ResponseTime>,
}

impl StoreTimes {
    fn record(&self, took: Duration) {
        self.times.lock().unwrap_or_else(PoisonError::into_inner).record(took);
    }

    /// When the response to a call is overdue.
    fn overdue_after(&self) -> Duration {
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.timeout().clamp(MIN_DELAY, MAX_DELAY)
    }
}

/// Makes a call that can take effect only once, and repeats it up to four times while its response
/// is overdue.
///
/// # Errors
///
/// The first error with a response, or [`StoreError::Lost`] if no attempt got one.
pub async fn with_resend<C, F, T>(times: &StoreTimes, call: C) -> StoreResult<T>
where
    C: Fn() -> F,
    F: Future<Output = StoreResult<T>>,
{
    let delay = times.overdue_after();
    let call = &call;
    let attempt = |after: Duration| async move {
        if !after.is_zero() {
            Timer::after(after).await;
        }
        let sent = clock::time();
        match call().await {
            // Another attempt may still get a response.
            Err(StoreError::Lost) => future::pending().await,
            outcome => {
                times.record(clock::time().since(sent));
                outcome
            }
        }
    };
    let first = future::or(attempt(Duration::ZERO), attempt(delay));
    let second = future::or(attempt(delay * 2), attempt(delay * 3));
    let all = future::or(future::or(first, second), attempt(delay * 4));
    with_timeout(TIMEOUT, all).await.unwrap_or(Err(StoreError::Lost))
}

#[cfg(test)]
mod tests;
