//! Calls to a store that is unavailable for seconds.

use super::*;

#[test]
fn a_rejected_daemon_retries_less_and_less_often() {
    // Guards against retries whose share of the store's load grows with the number of daemons.
    let mut backoff = Backoff::new(Duration::from_millis(100));
    let mut at = Duration::ZERO;
    let mut calls = 0;
    while at < Duration::from_secs(9) {
        at += backoff.next_delay();
        calls += 1;
    }

    assert!(calls <= 9 * 3, "{calls}");
    backoff.reset();
    assert_eq!(backoff.next_delay(), Duration::from_millis(100));
}
