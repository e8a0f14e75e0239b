//! Tests of calls that are sent again.

use std::{cell::Cell, time::Duration};

use borageswitch_types::Time;
use futures_lite::future;
use smol::Timer;

use super::{StoreTimes, with_resend};
use crate::{
    clock,
    ports::{StoreError, StoreResult},
};

/// The times of a store that has lost a response a moment ago.
fn losing() -> StoreTimes {
    let times = StoreTimes::default();
    times.record::<()>(clock::time(), &Err(StoreError::Lost));
    times
}

/// A call of which the first `lost` attempts get no response.
async fn call(attempts: &Cell<u32>, lost: u32) -> StoreResult<u32> {
    attempts.set(attempts.get() + 1);
    if attempts.get() <= lost {
        future::pending::<()>().await;
    }
    Ok(attempts.get())
}

/// A lost response would hold up all starts of runs until the timeout of the call.
#[test]
fn a_call_whose_response_is_lost_is_sent_again_when_it_is_overdue() {
    let (times, attempts, began) = (losing(), Cell::new(0), clock::time());

    let response = smol::block_on(with_resend(&times, || call(&attempts, 1)));

    assert_eq!(response, Ok(2));
    assert!(clock::time().since(began) >= Duration::from_millis(60));
}

/// An ordinary response must not cost a second call.
#[test]
fn a_prompt_response_is_not_sent_again() {
    let (times, attempts) = (losing(), Cell::new(0));

    let response = smol::block_on(with_resend(&times, || call(&attempts, 0)));

    assert_eq!((response, attempts.get()), (Ok(1), 1));
}

/// A silent store gets five attempts and no more, and the outcome is unknown.
#[test]
fn a_silent_store_gets_a_bounded_number_of_attempts() {
    let (times, attempts) = (losing(), Cell::new(0));

    let response = smol::block_on(with_resend(&times, || call(&attempts, u32::MAX)));

    assert_eq!((response, attempts.get()), (Err(StoreError::Lost), 5));
}

/// With a store that is slow for a while, calls are not repeated for that alone.
#[test]
fn a_store_that_is_slow_is_not_sent_everything_twice() {
    let (times, attempts) = (losing(), Cell::new(0));
    let sent = Time::from_micros(clock::time().as_micros().saturating_sub(240_000));
    (0..50).for_each(|_| times.record(sent, &Ok(())));
    let slow = || async {
        attempts.set(attempts.get() + 1);
        Timer::after(Duration::from_millis(200)).await;
        Ok(())
    };

    let response = smol::block_on(with_resend(&times, slow));

    assert_eq!((response, attempts.get()), (Ok(()), 1));
}

/// Without losses, a call has no second attempt, however long its response takes.
#[test]
fn a_call_is_made_once_while_no_responses_get_lost() {
    let (times, attempts) = (StoreTimes::default(), Cell::new(0));
    let slow = || async {
        attempts.set(attempts.get() + 1);
        Timer::after(Duration::from_millis(200)).await;
        Ok(())
    };

    let response = smol::block_on(with_resend(&times, slow));

    assert_eq!((response, attempts.get()), (Ok(()), 1));
}
