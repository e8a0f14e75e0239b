use super::*;

/// A pool in which a task starts every `each` milliseconds for two seconds, while others wait or not.
fn observe(each: u64, waiting: bool) -> StartRate {
    let mut rate = StartRate::default();
    for now in (1_000..3_000).step_by(each as usize) {
        rate.record_start();
        if waiting {
            rate.record_waiting(Time::from_millis(now));
        }
    }
    rate
}

#[test]
fn the_rate_while_tasks_wait_is_that_of_the_starts() {
    let rate = observe(5, true).per_second(Time::from_millis(3_000)).unwrap();

    assert!((190.0..210.0).contains(&rate), "{rate}");
}

#[test]
fn a_pool_without_waiting_tasks_has_no_limit() {
    // Guards against jobs that count as late because few were submitted before them.
    assert_eq!(observe(50, false).per_second(Time::from_millis(3_000)), None);
}

#[test]
fn the_limit_ends_soon_after_nothing_waits_any_more() {
    let rate = observe(5, true);

    assert_eq!(rate.per_second(Time::from_millis(4_000)), None);
}
