//! Who tries first to lead.

use std::time::Duration;

use super::{LEADER_TTL, RETRY_PAUSE, head_start, wait_for_store};

const STRONG: f64 = 0.5;
const WEAK: f64 = 0.12;

/// When a daemon's attempt reaches the store, if each of its calls takes so long.
fn attempt(cores: f64, call: Duration) -> Duration {
    head_start(cores) + call + wait_for_store(cores, call) + call
}

/// The store takes a quarter of a second for a call, a quarter more or less. Decided by its whims,
/// the leader is one of the many weak hosts more often than one of the few strong ones, and callers'
/// jobs are late for as long as it leads.
#[test]
fn a_slow_store_does_not_make_a_weak_host_lead() {
    for (strong, weak) in [(250, 250), (280, 220), (312, 188)] {
        let strong = attempt(STRONG, Duration::from_millis(strong));
        let weak = attempt(WEAK, Duration::from_millis(weak));

        assert!(strong < weak, "{strong:?} against {weak:?}");
    }
}

/// Only weak hosts are left and the store is slow. One of them has to lead: its lease must outlive
/// the calls and the waits before its first renewal.
#[test]
fn a_weak_host_leads_when_there_is_no_other() {
    let call = Duration::from_millis(500);

    let waited = call + wait_for_store(0.05, call) + call;

    assert!(waited < LEADER_TTL, "{waited:?}");
}

/// The store drops its history and cuts all watches. Daemons read anew who leads whenever their pause
/// after the cut is over, so a weak one may learn of the vacancy that much earlier than all strong
/// ones. If it led, jobs would be late for as long as it does.
#[test]
fn a_weak_host_that_hears_first_lets_a_strong_one_lead() {
    let heard_later = RETRY_PAUSE;

    let strong = heard_later + attempt(STRONG, Duration::from_millis(4));
    let weak = attempt(WEAK, Duration::from_millis(4));

    assert!(strong < weak, "{strong:?} against {weak:?}");
}
