use std::time::Duration;

use borageswitch_types::{Time, names::JobName};

use super::{MAX_RESERVATIONS, VirtualQueue};
use crate::policy::backlog::Drain;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn job(number: usize) -> JobName {
    JobName::from(format!("{number:016x}"))
}

fn drain() -> Drain {
    Drain::new(100.0, 0.0, Duration::ZERO)
}

#[test]
fn a_job_waits_only_behind_reservations_before_its_own() {
    // Refused jobs return all together. Counted against each other, none would be admitted.
    let mut queue = VirtualQueue::default();
    for number in 0..3 {
        queue.reserve(&job(number), at(1_000 + number as u64), false, 10.0);
    }

    let ahead = |number| queue.due_before(at(1_000), &drain(), Some(&job(number)), false);

    assert_eq!([ahead(0), ahead(1), ahead(2)], [0.0, 10.0, 20.0]);
    assert_eq!(queue.due_before(at(1_000), &drain(), None, false), 30.0, "a new job");
}

#[test]
fn capacity_before_the_turn_of_a_reservation_is_not_held_back() {
    // Were it held back, the pool would idle until the first refused job returns.
    let mut queue = VirtualQueue::default();
    queue.reserve(&job(0), at(3_000), false, 10.0);

    assert_eq!(queue.due_before(at(1_000), &drain(), None, false), 0.0);
    assert_eq!(queue.due_before(at(3_000), &drain(), None, false), 10.0);
}

#[test]
fn reservations_beyond_a_share_are_behind_those_within() {
    let mut queue = VirtualQueue::default();
    queue.reserve(&job(0), at(1_000), true, 10.0);
    queue.reserve(&job(1), at(1_000), false, 1.0);

    assert_eq!((queue.total(false), queue.total(true)), (1.0, 11.0));
    assert_eq!(queue.due_before(at(1_000), &drain(), None, false), 1.0);
    assert_eq!(queue.due_before(at(1_000), &drain(), None, true), 11.0);
}

#[test]
fn reservations_expire_and_their_number_is_bounded() {
    // Callers that never return would hold capacity for ever, and their number is not bounded.
    let mut queue = VirtualQueue::default();
    for number in 0..MAX_RESERVATIONS + 10 {
        queue.reserve(&job(number), at(1_000), false, 0.5);
    }
    assert_eq!(queue.get(&job(9)), None, "the oldest are dropped");
    assert_eq!(queue.total(false), MAX_RESERVATIONS as f64 * 0.5);

    queue.expire(at(3_000));
    assert!(!queue.is_empty());
    queue.expire(at(3_001));
    assert!(queue.is_empty());
    assert_eq!(queue.total(true), 0.0);
}

#[test]
fn a_job_may_return_half_a_second_before_its_turn() {
    let mut queue = VirtualQueue::default();
    queue.reserve(&job(0), at(2_000), false, 1.0);
    let reserved = queue.get(&job(0)).copied().unwrap();

    assert!(reserved.is_early(at(1_499)));
    assert!(!reserved.is_early(at(1_500)));
}
