//! Load peaks every twenty seconds, on small and on large fleets.

use super::*;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[test]
fn a_pool_of_a_large_fleet_keeps_the_hosts_of_its_last_peak_until_the_next() {
    // Six thousand hosts and 590 calls a second: if hosts were switched off between two peaks,
    // hundreds of hosts of one pool and hundreds of the next would compete for the same calls.
    let retention = retention(Duration::from_millis(10_200), Duration::from_millis(1_500));
    let mut peak = Peak::default();
    for at in 0..20 {
        peak.record(Time::from_millis(at * 1_000), if at < 5 { 200 } else { 10 }, retention);
        assert!(peak.hosts() >= 200, "after {at} s");
    }

    (20..50).for_each(|at| peak.record(Time::from_millis(at * 1_000), 10, retention));

    assert_eq!(peak.hosts(), 10);
}

#[test]
fn nothing_is_kept_where_the_platform_moves_all_hosts_at_once() {
    // Fifty hosts and 64 calls a second: keeping a host idle costs more than moving it.
    let retention = retention(Duration::from_millis(770), Duration::from_millis(1_500));
    let mut peak = Peak::default();
    peak.record(Time::from_millis(0), 9, retention);

    peak.record(Time::from_millis(100), 2, retention);

    assert_eq!(retention, secs(0));
    assert_eq!(peak.hosts(), 2);
}

#[test]
fn a_fleet_that_takes_long_to_release_starts_with_the_first_work() {
    // Thousands of unneeded hosts stay on for as long as it takes to release them. On a small site,
    // the first peak of a pool may need all its hosts.
    let (small, large) = (Duration::from_millis(1_600), Duration::from_millis(10_200));

    assert_eq!(hosts_kept_while_learning(large, None), usize::MAX);
    assert_eq!(hosts_kept_while_learning(large, Some(100)), 200);
    assert_eq!(hosts_kept_while_learning(small, Some(100)), usize::MAX);
}
