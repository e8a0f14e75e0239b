use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::names::{CallerName, QueueName};

use super::*;

/// The token of the known leader.
const LEADER: u64 = 7;

fn limits(token: u64, sequence: u64) -> AdmissionLimits {
    let wait = Duration::from_secs(4);
    let limit = QueueLimit { wait, wait_beyond: wait, run_ratio: 1.0, ..QueueLimit::default() };
    let queues = BTreeMap::from([(QueueName::from("runs"), limit)]);
    AdmissionLimits { token, sequence, valid: LIMITS_VALID, queues }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn known(limits: AdmissionLimits) -> KnownLimits {
    let known = KnownLimits::default();
    known.receive(at(0), LEADER, Arc::new(limits)).unwrap();
    known
}

#[test]
fn limits_expire_one_second_after_they_were_requested() {
    // The leader is lost while limits are in effect. Jobs would be refused until there is a new
    // leader, which may take seconds.
    let known = known(limits(LEADER, 1));

    let current = known.current(at(999), LEADER).unwrap();

    assert_eq!(current.age, Duration::from_millis(999));
    assert_eq!(known.current(at(1_000), LEADER), None);
}

#[test]
fn limits_that_were_delayed_on_their_way_do_not_replace_newer_ones() {
    let known = known(limits(LEADER, 5));

    let late = known.receive(at(10), LEADER, Arc::new(limits(LEADER, 4)));
    let earlier_leader = known.receive(at(10), LEADER, Arc::new(limits(LEADER - 1, 9)));
    let again = known.receive(at(20), LEADER, Arc::new(limits(LEADER, 5)));

    assert_eq!(late, Err(IgnoreReason::Outdated));
    assert_eq!(earlier_leader, Err(IgnoreReason::Outdated));
    assert_eq!(again, Ok(()));
    assert_eq!(known.current(at(30), LEADER).unwrap().age, Duration::from_millis(10));
}

#[test]
fn limits_of_an_earlier_leader_refuse_nothing_once_the_next_one_is_known() {
    let known = known(limits(LEADER, 5));

    assert_eq!(known.current(at(10), LEADER + 1), None);
    known.receive(at(10), LEADER + 1, Arc::new(limits(LEADER + 1, 1))).unwrap();
    assert!(known.current(at(20), LEADER + 1).is_some());
}

#[test]
fn impossible_values_are_ignored_and_the_limits_before_remain() {
    // A decision by such values would refuse or admit everything.
    let change = |change: fn(&mut QueueLimit)| {
        let mut limits = limits(LEADER, 6);
        limits.queues.values_mut().for_each(change);
        limits
    };
    fn callers() -> BTreeSet<CallerName> {
        (0..33).map(|n| CallerName::from(format!("c{n}"))).collect()
    }
    let mut valid_for_ever = limits(LEADER, 6);
    valid_for_ever.valid = Duration::MAX;
    let malformed = [
        change(|limit| limit.run_ratio = f64::NAN),
        change(|limit| limit.run_ratio = 0.0),
        change(|limit| limit.drain_per_s = f64::INFINITY),
        change(|limit| limit.drain_per_s = -1.0),
        change(|limit| limit.beyond = callers()),
        valid_for_ever,
    ];
    let known = known(limits(LEADER, 5));

    for limits in malformed {
        assert_eq!(known.receive(at(10), LEADER, Arc::new(limits)), Err(IgnoreReason::Malformed));
    }

    assert_eq!(known.current(at(20), LEADER).unwrap().limits.sequence, 5);
}

#[test]
fn a_late_response_without_limits_does_not_end_newer_ones() {
    let known = known(limits(LEADER, 1));
    known.receive(at(20), LEADER, Arc::new(limits(LEADER, 2))).unwrap();

    known.clear(at(10));
    assert!(known.current(at(30), LEADER).is_some());
    known.clear(at(30));

    assert_eq!(known.current(at(40), LEADER), None);
}
