use std::time::Duration;

use super::{Backlog, Drain, EFFICIENCY};

const SLACK: Duration = Duration::from_secs(1);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The drain of a pool that completes so many core-seconds per second, and more after 1.5 s.
fn drain(now: f64, coming: f64) -> Drain {
    Drain::new(now / EFFICIENCY, coming / EFFICIENCY, millis(1_500))
}

/// The backlog of a pool that completes 90 core-seconds per second.
fn backlog(on_time: f64, late: f64, arriving: f64) -> Backlog {
    let drain = drain(90.0, 0.0);
    Backlog { drain, on_time, late, arriving, sustained: arriving, ..Backlog::default() }
}

#[test]
fn hosts_on_their_way_count_from_their_arrival() {
    // Jobs must not be refused that the hosts requested for them can run in time.
    let more = drain(90.0, 810.0);

    assert_eq!(more.time_for(90.0), millis(1_000));
    assert_eq!(more.time_for(135.0 + 900.0), millis(2_500));
    assert_eq!(drain(0.0, 90.0).time_for(0.0), millis(1_500));
    assert!((more.work_in(millis(2_500)) - 1_035.0).abs() < 1e-6);
}

#[test]
fn jobs_are_not_refused_while_the_hosts_for_them_are_on_their_way() {
    // A peak begins at a pool with few hosts, and the fleet has enough of them. The jobs of the
    // first second and a half are late, but all of them are of use.
    let backlog = Backlog {
        drain: drain(10.0, 90.0),
        on_time: 80.0 * 1.2,
        arriving: 150.0,
        sustained: 50.0,
        ..Backlog::default()
    };

    assert!(backlog.wait(0.0, SLACK) < millis(2_500), "{:?}", backlog.wait(0.0, SLACK));
}

#[test]
fn late_work_delays_only_jobs_that_cannot_be_on_time() {
    // Jobs that can be on time go first, however many late ones wait.
    assert_eq!(backlog(36.0, 5_000.0, 900.0).wait(0.0, SLACK), millis(400));
}

#[test]
fn a_job_that_cannot_be_on_time_waits_for_what_the_others_leave_over() {
    // During a peak there is always another job that can be on time. Had a late job to wait only for
    // the work that is ahead at the moment, all of them would be admitted and end of no use.
    let during = backlog(90.0, 45.0, 900.0).wait(0.0, SLACK);
    let after = backlog(90.0, 45.0, 0.0).wait(0.0, SLACK);

    assert_eq!(during, millis(28_000));
    assert_eq!(after, millis(1_000));
}

#[test]
fn a_caller_beyond_its_share_waits_behind_all_others() {
    let backlog = Backlog { beyond: 900.0, ..backlog(9.0, 0.0, 90.0) };

    assert_eq!(backlog.wait(0.0, SLACK), millis(100));
    assert!(backlog.wait_beyond(0.0, SLACK) > millis(10_000));
}

#[test]
fn work_that_keeps_arriving_is_foreseen() {
    // Daemons decide on limits that are some tenths of a second old.
    assert_eq!(backlog(0.0, 0.0, 50.0).growth(30.0), 0.0);
    assert!((backlog(0.0, 0.0, 90.0).growth(100.0) - 20.0).abs() < 1e-6);
}

#[test]
fn no_amount_of_work_overflows() {
    let backlog = Backlog { drain: Drain::default(), ..backlog(f64::MAX, f64::MAX, 0.0) };

    assert_eq!(backlog.wait(f64::MAX, SLACK), Duration::from_secs(3_600));
}
