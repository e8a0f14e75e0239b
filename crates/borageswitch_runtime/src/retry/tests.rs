//! Calls to a store that is away for seconds.

use super::*;

#[test]
fn a_daemon_that_is_turned_away_asks_ever_more_seldom() {
    // Guards against retries that take a growing share of the store's calls as daemons are added.
    let mut pauses = Pauses::new(Duration::from_millis(100));
    let mut at = Duration::ZERO;
    let mut calls = 0;
    while at < Duration::from_secs(9) {
        at += pauses.failed();
        calls += 1;
    }

    assert!(calls <= 9 * 3, "{calls}");
    pauses.answered();
    assert_eq!(pauses.failed(), Duration::from_millis(100));
}
