//! Lengths of calls to the advisor.

use std::time::Duration;

use borageswitch_types::Time;

use super::{self as advice};
use crate::config::AdvisorTimes;

fn times(decision_ms: u64, per_host_ms: u64, validity_ms: u64) -> AdvisorTimes {
    AdvisorTimes {
        decision: Duration::from_millis(decision_ms),
        per_host: Duration::from_millis(per_host_ms),
        validity: Duration::from_millis(validity_ms),
    }
}

#[test]
fn a_call_names_what_is_needed_and_what_costs_little_more() {
    assert_eq!(advice::executors_to_name(&times(20, 1, 2_000), 1), 20);
    assert_eq!(advice::executors_to_name(&times(200, 50, 3_000), 1), 4);
    assert_eq!(advice::executors_to_name(&times(200, 50, 3_000), 4), 8);
    assert_eq!(advice::executors_to_name(&times(200, 0, 3_000), 1), 30);
}

/// Guards against answers whose tickets have expired when they arrive.
#[test]
fn a_call_is_shorter_than_the_validity_of_its_tickets() {
    let slow = times(500, 100, 1_000);

    let named = advice::executors_to_name(&slow, 1);

    assert!(advice::call_time(&slow, named) + advice::TICKET_MARGIN <= slow.validity);
}

/// Guards against calls that are given up before the advisor can have answered them.
#[test]
fn a_call_is_given_up_only_after_the_times_that_the_advisor_promises() {
    for decision_ms in [0, 200, 1_700, 3_500, 20_000] {
        for executors in [1, 12, 30] {
            let times = times(decision_ms, 50, 8_000);
            assert!(advice::timeout(&times, executors) > advice::call_time(&times, executors));
        }
    }
}

#[test]
fn the_validity_begins_when_the_answer_was_due_and_not_after_it_has_arrived() {
    let (sent, times) = (Time::from_millis(1_000), times(200, 50, 3_000));

    let late = advice::valid_until(&times, 4, sent, Time::from_millis(9_000));
    let early = advice::valid_until(&times, 4, sent, Time::from_millis(1_100));

    assert_eq!((late, early), (Time::from_millis(4_400), Time::from_millis(4_100)));
}

/// Guards against times of the configuration that hold up the calls of all other queues.
#[test]
fn a_queue_whose_answers_cannot_be_used_is_not_asked_for() {
    assert!(advice::is_useful(&times(3_500, 100, 8_000)));
    assert!(!advice::is_useful(&times(40_000, 0, 100_000)));
    assert!(!advice::is_useful(&times(20, 1, 250)));
}

#[test]
fn pauses_after_unanswered_calls_grow_to_a_bound() {
    let pauses = [1, 2, 3, 4, 100].map(|unanswered| advice::backoff(unanswered).as_millis());

    assert_eq!(pauses, [300, 600, 1_200, 2_400, 2_400]);
}
