//! Hosts are released while a load peak begins.

use super::*;

#[test]
fn no_more_orders_are_sent_than_the_platform_accepts() {
    // Guards against thousands of rejected orders that are sent again and again.
    let mut budget = CallBudget::new(590.0, Time::ZERO);
    let mut sent = 0;
    for millis in 0..10_000 {
        while budget.try_take(Time::from_millis(millis)) {
            sent += 1;
        }
    }

    assert!((5_200..=5_900).contains(&sent), "{sent}");
}

#[test]
fn orders_for_needed_hosts_do_not_wait_for_releases() {
    // Guards against a load peak that waits until the hosts of another pool are switched off.
    let now = Time::from_millis(1_000);
    let mut budget = CallBudget::new(590.0, Time::ZERO);
    for _ in 0..budget.optional_calls(now) {
        assert!(budget.try_take(now));
    }

    let needed = (0..60).filter(|_| budget.try_take(now)).count();

    assert_eq!(budget.optional_calls(now), 0);
    assert_eq!(needed, 60);
}

#[test]
fn a_small_site_can_always_send_an_order() {
    let mut budget = CallBudget::new(2.0, Time::ZERO);

    assert!(budget.optional_calls(Time::ZERO) > 0);
    assert!(budget.try_take(Time::ZERO));
    assert!(budget.try_take(Time::from_millis(1_000)));
}
