//! Short runs with seeds that stay, real daemons and real signals.
//!
//! Only promises are checked, no times: how far a run comes depends on the machine, what must hold
//! does not.

use std::{path::PathBuf, time::Duration};

use borageswitch_soak::{
    plan::{Shape, Size},
    run::{self, Options},
};

/// The program stands beside the folder of the tests' own programs: the test run builds both.
fn daemon() -> PathBuf {
    let own = std::env::current_exe().expect("a test knows its own program");
    let folder = own.ancestors().nth(2).expect("tests stand in a folder of the build's folder");
    folder.join("borageswitch_platformd")
}

const SMALL: Size = Size { daemons: 3, hosts: 6, faults_for: Duration::from_secs(6) };
/// What the program takes unless it is told otherwise.
const USUAL: Size = Size { daemons: 5, hosts: 10, faults_for: Duration::from_secs(20) };

fn assert_kept(size: Size, shape: Shape, seed: u64) {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let options = Options { program: daemon(), dir, size, shape };

    let verdict = run::run(&options, seed).expect("the site can be put together");

    println!("{verdict}");
    assert_eq!(verdict.broken, Vec::<String>::new());
    assert!(verdict.jobs[1] > 0, "no job was accepted: {verdict}");
}

#[test]
fn daemons_keep_their_promises_under_the_faults_of_one_seed() {
    assert_kept(SMALL, Shape::Usual, 1);
}

#[test]
fn daemons_keep_their_promises_under_the_faults_of_another_seed() {
    assert_kept(SMALL, Shape::Usual, 2);
}

/// All daemons are killed at once, and the store does not tell as of when nobody leads. Each daemon took
/// an earlier leader, told again by its watch, for a new one: they asked in turn as fast as they
/// could, and nobody led any more.
#[test]
fn daemons_that_were_all_killed_find_a_leader_again() {
    assert_kept(USUAL, Shape::Usual, 9000);
}

/// Two faults tell the same daemon to end at the same time, and one starts it again before the
/// other looks. The run once took the new process for one that does not end, and reported it.
#[test]
fn a_daemon_that_is_told_to_end_twice_at_a_time_ends_once() {
    assert_kept(USUAL, Shape::Usual, 118);
}

/// Guards against a lasting job that is shown as failed after an outage of the store, a takeover when
/// it is back, lost answers of executors, and a second outage.
#[test]
fn lasting_jobs_survive_outages_of_the_store_with_lost_answers_between() {
    assert_kept(USUAL, Shape::Incident, 1);
}
