//! Short runs with seeds that stay, real daemons and real signals.
//!
//! Only promises are checked, no times: how far a run comes depends on the machine, what must hold
//! does not.

use std::{path::PathBuf, time::Duration};

use borageswitch_soak::{
    plan::Size,
    run::{self, Options},
};

/// The program stands beside the folder of the tests' own programs: the test run builds both.
fn daemon() -> PathBuf {
    let own = std::env::current_exe().expect("a test knows its own program");
    let folder = own.ancestors().nth(2).expect("tests stand in a folder of the build's folder");
    folder.join("borageswitch_platformd")
}

fn assert_kept(seed: u64) {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let size = Size { daemons: 3, hosts: 6, faults_for: Duration::from_secs(6) };
    let options = Options { program: daemon(), dir, size };

    let verdict = run::run(&options, seed).expect("the site can be put together");

    println!("{verdict}");
    assert_eq!(verdict.broken, Vec::<String>::new());
    assert!(verdict.jobs[1] > 0, "no job was accepted: {verdict}");
}

#[test]
fn daemons_keep_their_promises_under_the_faults_of_one_seed() {
    assert_kept(1);
}

#[test]
fn daemons_keep_their_promises_under_the_faults_of_another_seed() {
    assert_kept(2);
}
