//! Rushes every twenty seconds on small and on large fleets.

use super::*;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[test]
fn a_pool_of_a_large_fleet_keeps_what_its_last_rush_needed_until_the_next() {
    // Six thousand hosts and 590 calls a second: switched off between two rushes, hundreds of hosts
    // of one pool and hundreds of the next would ask for the same calls.
    let horizon = horizon(Duration::from_millis(10_200), Duration::from_millis(1_500));
    let mut peak = Peak::default();
    for at in 0..20 {
        peak.note(Time::from_millis(at * 1_000), if at < 5 { 200 } else { 10 }, horizon);
        assert!(peak.hosts() >= 200, "after {at} s");
    }

    (20..50).for_each(|at| peak.note(Time::from_millis(at * 1_000), 10, horizon));

    assert_eq!(peak.hosts(), 10);
}

#[test]
fn nothing_is_kept_where_the_platform_moves_all_hosts_in_no_time() {
    // Fifty hosts and 64 calls a second: an idle host costs more than its moves.
    let horizon = horizon(Duration::from_millis(770), Duration::from_millis(1_500));
    let mut peak = Peak::default();
    peak.note(Time::from_millis(0), 9, horizon);

    peak.note(Time::from_millis(100), 2, horizon);

    assert_eq!(horizon, secs(0));
    assert_eq!(peak.hosts(), 2);
}

#[test]
fn a_fleet_that_takes_long_to_empty_begins_with_the_first_work() {
    // Thousands of hosts that nobody needs stay on for as long as it takes to send them away; on a
    // small site the first rush of a pool may need all it has.
    let (small, large) = (Duration::from_millis(1_600), Duration::from_millis(10_200));

    assert_eq!(kept_while_learning(large, None), usize::MAX);
    assert_eq!(kept_while_learning(large, Some(100)), 200);
    assert_eq!(kept_while_learning(small, Some(100)), usize::MAX);
}
