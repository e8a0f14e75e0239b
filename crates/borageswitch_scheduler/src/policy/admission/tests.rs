use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::names::{CallerName, JobName, QueueName};

use super::{AdmissionQuery, Decision, QueueLimit, RefusalReason, decide, retry_after};

const OBJECTIVE: Duration = Duration::from_secs(2);

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn query(caller: Option<&str>, patience: Option<Duration>) -> AdmissionQuery {
    AdmissionQuery {
        job: JobName::from("j"),
        queue: QueueName::from("runs"),
        caller: caller.map(CallerName::from),
        chain: secs(1.0),
        core_seconds: 10.0,
        patience,
    }
}

fn limit(wait: f64, wait_beyond: f64, run_ratio: f64) -> QueueLimit {
    QueueLimit {
        wait: secs(wait),
        wait_beyond: secs(wait_beyond),
        drain_per_s: 100.0,
        run_ratio,
        beyond: BTreeSet::from([CallerName::from("hot")]),
    }
}

fn is_admitted(limit: &QueueLimit, age: f64, caller: Option<&str>) -> bool {
    decide(limit, secs(age), &query(caller, None), OBJECTIVE) == Decision::Admit
}

#[test]
fn a_job_that_could_be_of_use_is_admitted() {
    // A job is of use for three times its objective of two seconds. Refused on estimates that are
    // half as much again as the truth, it would have been served in time.
    assert!(is_admitted(&limit(7.9, 7.9, 1.0), 0.0, None));
    assert!(!is_admitted(&limit(8.1, 8.1, 1.0), 0.0, None));
    assert!(is_admitted(&limit(8.1, 8.1, 0.8), 0.0, None), "runs are shorter than declared");
    assert!(is_admitted(&limit(8.1, 8.1, 1.0), 0.2, None), "the wait has passed in part");
}

#[test]
fn only_a_caller_beyond_its_share_is_judged_by_the_longer_wait() {
    // One caller submits several times its share. The others must not be refused for its backlog.
    let limit = limit(1.0, 60.0, 1.0);

    let refused = decide(&limit, Duration::ZERO, &query(Some("hot"), None), OBJECTIVE);

    assert!(is_admitted(&limit, 0.0, Some("mild")));
    assert!(is_admitted(&limit, 0.0, None));
    let Decision::Refuse { reason, .. } = refused else { panic!("{refused:?}") };
    assert_eq!(reason, RefusalReason::BeyondShare);
}

#[test]
fn a_retry_is_named_only_if_it_can_help() {
    // A caller that is told to return after it has given up, or when its job is of no use any more,
    // waits and submits in vain.
    let limit = limit(60.0, 60.0, 1.0);
    let named = |turn, patience| retry_after(secs(turn), &limit, &query(None, patience), OBJECTIVE);

    assert_eq!(named(0.0, None), Some(secs(1.0)), "not at once");
    assert_eq!(named(1.2, None), Some(secs(2.0)), "whole seconds");
    assert_eq!(named(3.1, None), None, "beyond the default patience");
    assert_eq!(named(3.1, Some(Duration::ZERO)), None, "zero means the default");
    assert_eq!(named(3.1, Some(secs(4.0))), Some(secs(4.0)));
    assert_eq!(named(5.5, Some(secs(60.0))), None, "it ends after it is of use");
}

#[test]
fn malformed_values_do_not_panic() {
    // Queries and limits come from other processes.
    for ratio in [f64::NAN, f64::INFINITY, -1.0, 1e300] {
        let limit = QueueLimit { wait: Duration::MAX, ..limit(0.0, 0.0, ratio) };
        let query = AdmissionQuery { chain: Duration::MAX, ..query(None, Some(Duration::MAX)) };

        decide(&limit, Duration::ZERO, &query, Duration::MAX);
        retry_after(Duration::MAX, &limit, &query, Duration::MAX);
    }
}
