//! Which daemon campaigns first.

use std::time::Duration;

use super::{LEADER_TTL, RETRY_PAUSE, campaign_delay, store_latency_delay};

const STRONG: f64 = 0.5;
const WEAK: f64 = 0.12;

/// When the campaign of a daemon reaches the store, if each of its calls takes `call`.
fn campaign_time(cores: f64, call: Duration) -> Duration {
    campaign_delay(cores) + call + store_latency_delay(cores, call) + call
}

/// Guards against an election that random store latencies decide. The store takes a quarter of a
/// second for a call, a quarter more or less. Weak hosts are many and strong ones few, so a weak
/// host would usually win, and jobs are late for as long as it leads.
#[test]
fn a_slow_store_does_not_make_a_weak_host_lead() {
    for (strong, weak) in [(250, 250), (280, 220), (312, 188)] {
        let strong = campaign_time(STRONG, Duration::from_millis(strong));
        let weak = campaign_time(WEAK, Duration::from_millis(weak));

        assert!(strong < weak, "{strong:?} against {weak:?}");
    }
}

/// With only weak hosts and a slow store, the lease of the elected leader must not expire during
/// the calls and delays before its first renewal.
#[test]
fn a_weak_host_leads_when_there_is_no_other() {
    let call = Duration::from_millis(500);

    let waited = call + store_latency_delay(0.05, call) + call;

    assert!(waited < LEADER_TTL, "{waited:?}");
}

/// Guards against a weak leader after the store has dropped its history and cut all watches.
/// Daemons read the leader key again when their retry pause is over, so a weak one may learn of the
/// vacancy that much earlier than all strong ones.
#[test]
fn a_weak_host_that_learns_of_the_vacancy_first_lets_a_strong_one_lead() {
    let learned_later = RETRY_PAUSE;

    let strong = learned_later + campaign_time(STRONG, Duration::from_millis(4));
    let weak = campaign_time(WEAK, Duration::from_millis(4));

    assert!(strong < weak, "{strong:?} against {weak:?}");
}
