//! A fleet that is emptied while a rush begins.

use super::*;

#[test]
fn no_more_orders_leave_than_the_platform_takes() {
    // Guards against thousands of refused orders that are given again and again.
    let mut budget = CallBudget::new(590.0, Time::ZERO);
    let mut given = 0;
    for millis in 0..10_000 {
        while budget.take(Time::from_millis(millis)) {
            given += 1;
        }
    }

    assert!((5_200..=5_900).contains(&given), "{given}");
}

#[test]
fn hosts_that_are_needed_need_not_wait_for_those_that_are_not() {
    // Guards against a rush that waits until the hosts of another pool are switched off.
    let now = Time::from_millis(1_000);
    let mut budget = CallBudget::new(590.0, Time::ZERO);
    for _ in 0..budget.spare(now) {
        assert!(budget.take(now));
    }

    let needed = (0..60).filter(|_| budget.take(now)).count();

    assert_eq!(budget.spare(now), 0);
    assert_eq!(needed, 60);
}

#[test]
fn a_small_site_can_always_give_an_order() {
    let mut budget = CallBudget::new(2.0, Time::ZERO);

    assert!(budget.spare(Time::ZERO) > 0);
    assert!(budget.take(Time::ZERO));
    assert!(budget.take(Time::from_millis(1_000)));
}
