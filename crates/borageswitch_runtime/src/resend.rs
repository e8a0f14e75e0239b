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
use borageswitch_types::Time;
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

/// How long after a lost response calls are sent again: the store loses responses for seconds.
const LOSS_WINDOW: Duration = Duration::from_secs(5);

/// How long the store takes to respond to the calls that are sent again.
#[derive(Debug, Default)]
pub struct StoreTimes {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    times: ResponseTime,
    /// When a call last got no response.
    lost_at: Option<Time>,
}

impl StoreTimes {
    fn record<T>(&self, sent: Time, outcome: &StoreResult<T>) {
        let now = clock::time();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        match outcome {
            Err(StoreError::Lost) => state.lost_at = Some(now),
            _ => state.times.record(now.since(sent)),
        }
    }

    fn record_loss(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.lost_at = Some(clock::time());
    }

    /// When the response to a call is overdue; `None` while no responses get lost.
    fn overdue_after(&self) -> Option<Duration> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = state.lost_at.is_some_and(|at| clock::time().since(at) < LOSS_WINDOW);
        recent.then(|| state.times.timeout().clamp(MIN_DELAY, MAX_DELAY))
    }
}

/// Makes a call that can take effect only once, and repeats it up to four times while its response
/// is overdue. Without a recent loss it is made once.
///
/// # Errors
///
/// The first error with a response, or [`StoreError::Lost`] if no attempt got one.
pub async fn with_resend<C, F, T>(times: &StoreTimes, call: C) -> StoreResult<T>
where
    C: Fn() -> F,
    F: Future<Output = StoreResult<T>>,
{
    let call = &call;
    let Some(delay) = times.overdue_after() else {
        let sent = clock::time();
        let outcome = call().await;
        times.record(sent, &outcome);
        return outcome;
    };
    let attempt = |after: Duration| async move {
        if !after.is_zero() {
            Timer::after(after).await;
        }
        let sent = clock::time();
        let outcome = call().await;
        times.record(sent, &outcome);
        match outcome {
            // Another attempt may still get a response.
            Err(StoreError::Lost) => future::pending().await,
            outcome => {
                if !after.is_zero() {
                    // The response to the first attempt is overdue and counts as lost.
                    times.record_loss();
                }
                outcome
            }
        }
    };
    let first = future::or(attempt(Duration::ZERO), attempt(delay));
    let second = future::or(attempt(delay * 2), attempt(delay * 3));
    let all = future::or(future::or(first, second), attempt(delay * 4));
    let outcome = with_timeout(TIMEOUT, all).await;
    outcome.unwrap_or_else(|| {
        times.record_loss();
        Err(StoreError::Lost)
    })
}

#[cfg(test)]
mod tests;
