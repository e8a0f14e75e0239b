//! Pools of which executors crash now and then, and all the time.

use super::*;

fn crashing(interval_ms: u64, count: u64) -> (PoolCrashes, Time) {
    let mut crashes = PoolCrashes::default();
    (1..=count).for_each(|number| crashes.add(Time::from_millis(number * interval_ms)));
    (crashes, Time::from_millis(count * interval_ms))
}

#[test]
fn a_pool_whose_executors_crash_each_second_is_not_calm_until_they_stop() {
    // Guards against restarts that count against a sound task while executors crash anyway.
    let (crashes, now) = crashing(500, 20);

    assert!(!crashes.is_calm(now, 14));
    assert!(crashes.is_calm(now + WINDOW, 14));
}

#[test]
fn a_large_pool_is_calm_although_one_of_its_executors_has_crashed() {
    // Guards against restarts that wait forever where some executor is always down.
    let (crashes, now) = crashing(2_000, 5);

    assert!(crashes.is_calm(now, 100));
    assert!(!crashes.is_calm(now, 9));
}

#[test]
fn a_new_leader_observes_its_pools_first() {
    let began = Time::from_millis(10_000);

    assert!(!is_observed(began + WINDOW / 2, began));
    assert!(is_observed(began + WINDOW, began));
}
