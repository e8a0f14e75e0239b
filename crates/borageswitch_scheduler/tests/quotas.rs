//! Quotas: limits for the resources that the tasks of a caller use at once.

mod support;

use std::sync::Arc;

use borageswitch_scheduler::{
    config::{Caller, Config},
    effect::Effect,
    event::Event,
    executor::{EndKind, EndedRun},
    job::{Size, Step},
    ledger::{Ledger, record::Record},
    reducer::explain::Subject,
};
use borageswitch_types::names::{CallerName, JobName};
use support::{
    fixtures::{config, cores},
    session::{Session, active, done, key, step, stop_count},
};

const CALLER: &str = "nosipho";

/// A configuration with a caller that has a quota in cores.
fn config_with_quota(version: u64, quota: u64) -> Arc<Config> {
    let mut config = Config::clone(&config(true));
    let name = CallerName::from(CALLER);
    config.version = version;
    config.callers.insert(name.clone(), Caller { name, weight: 10.0, quota: cores(quota) });
    Arc::new(config)
}

fn session_with_quota(executors: &[&str], ledger: Ledger, quota: u64) -> Session {
    Session::with_config(executors, ledger, config_with_quota(1, quota))
}

/// Stores appends and starts runs until no more are ordered, and returns the number of runs.
fn start_all(session: &mut Session) -> usize {
    let mut started = 0;
    let mut idle = 0;
    while idle < 3 {
        let now = session.store_and_start().len();
        started += now;
        idle = if now == 0 { idle + 1 } else { 0 };
    }
    started
}

fn records(effects: &[Effect]) -> Vec<Record> {
    let stored = effects.iter().filter_map(|effect| match effect {
        Effect::Append { records, .. } => Some(records.clone()),
        _ => None,
    });
    stored.flatten().collect()
}

#[test]
fn a_caller_gets_its_quota_and_the_others_the_rest() {
    // One caller submits forty tasks at once and another submits eight a moment later. In the order
    // of arrival the eight would wait until the forty are done.
    let mut session = session_with_quota(&["e1", "e2"], Ledger::default(), 6);
    session.submit_as(CALLER, "flood", vec![step(40)]);
    session.submit_as("thandi", "few", vec![step(8)]);

    let started = start_all(&mut session);

    assert_eq!(started, 6 + 8);
}

#[test]
fn an_ended_task_lets_a_waiting_one_start() {
    let mut session = session_with_quota(&["e1"], Ledger::default(), 2);
    session.submit_as(CALLER, "j", vec![step(3)]);
    assert_eq!(start_all(&mut session), 2);

    session.report("e1", &[active(&key("j", 1))], &[done(1, &key("j", 0))], 0);

    assert_eq!(start_all(&mut session), 1);
}

#[test]
fn a_lowered_quota_stops_nothing_and_starts_nothing() {
    // An operator lowers a quota while its caller uses all of it. Active runs continue, and waiting
    // tasks start once the runs use less than the new quota.
    let mut session = session_with_quota(&["e1"], Ledger::default(), 4);
    session.submit_as(CALLER, "j", vec![step(6)]);
    assert_eq!(start_all(&mut session), 4);

    session.handle(Event::Configured(config_with_quota(2, 2)));
    let effects = session.advance(60);
    let running: Vec<_> = (2..4).map(|index| active(&key("j", index))).collect();
    let ended: Vec<_> = (0..2).map(|index| done(u64::from(index) + 1, &key("j", index))).collect();
    session.report("e1", &running, &ended, 0);
    let at_quota = start_all(&mut session);
    session.report("e1", &running[1..], &[done(3, &key("j", 2))], 2);

    assert_eq!(stop_count(&effects), 0);
    assert_eq!(at_quota, 0);
    assert_eq!(start_all(&mut session), 1);
}

#[test]
fn a_task_that_exceeds_the_quota_is_ordered_alone() {
    // The tasks need three cores each, and the quota is five cores. A task that exceeds the quota is
    // ordered only after the others have started. If it arrived before them, they would start
    // although the quota is already used up.
    let mut session = session_with_quota(&["e1"], Ledger::default(), 5);
    let large = Step { size: cores(3), ..step(4) };
    session.submit_as(CALLER, "j", vec![large]);

    let first = session.store_and_start().len();
    let rest = start_all(&mut session);

    assert_eq!((first, rest), (1, 1));
}

#[test]
fn runs_of_a_cancelled_job_count_for_the_next_leader() {
    // A job is cancelled, and its leader crashes before the orders to stop its tasks arrive. The job
    // is deleted when it ends. If its runs were forgotten as well, the next leader would grant the
    // caller its whole quota again.
    let mut session = session_with_quota(&["e1"], Ledger::default(), 4);
    session.submit_as(CALLER, "old", vec![step(4)]);
    assert_eq!(start_all(&mut session), 4);
    session.handle(Event::Cancelled(JobName::from("old")));
    let stored = records(&session.advance(60));
    let mut ledger = Ledger::default();
    stored.iter().for_each(|record| ledger.apply(record));

    let mut next = session_with_quota(&["e1"], ledger, 4);
    next.submit_as(CALLER, "new", vec![step(4)]);
    let before = start_all(&mut next);
    let stopped = |index: u32| EndedRun {
        how: EndKind::Stopped,
        ..done(u64::from(index) + 1, &key("old", index))
    };
    next.report("e1", &[], &(0..4).map(stopped).collect::<Vec<_>>(), 0);

    assert_eq!(before, 0);
    assert_eq!(start_all(&mut next), 4);
}

#[test]
fn a_gang_starts_within_its_quota_or_not_at_all() {
    // A gang of three waits beside single tasks of the same caller. If only some members started,
    // they would occupy capacity without progress.
    let mut session = session_with_quota(&["e1"], Ledger::default(), 4);
    session.submit_as(CALLER, "single", vec![step(2)]);
    assert_eq!(start_all(&mut session), 2);
    session.submit_as(CALLER, "gang", vec![Step { gang: true, ..step(3) }]);

    let before = start_all(&mut session);
    session.report("e1", &[active(&key("single", 1))], &[done(1, &key("single", 0))], 0);

    assert_eq!(before, 0);
    assert_eq!(start_all(&mut session), 3);
}

#[test]
fn explain_shows_that_a_job_waits_for_the_quota_of_its_caller() {
    // An operator needs to see why a job does not start although hosts are idle.
    let mut session = session_with_quota(&["e1"], Ledger::default(), 2);
    session.submit_as(CALLER, "j", vec![step(3)]);
    start_all(&mut session);

    let lines = session.scheduler.explain(session.moment(), &Subject::Job(JobName::from("j")));
    let dump = session.scheduler.dump(session.moment());

    let expected = "its caller nosipho is at its quota: uses 2000 thousandths of a core";
    assert!(lines.iter().any(|line| line.starts_with(expected)), "{lines:?}");
    assert_eq!(dump.callers[CALLER].used, cores(2));
}

#[test]
fn jobs_beyond_the_share_of_a_caller_do_not_displace_those_within_a_share() {
    // One caller submits forty jobs at once, four times its share, and another submits its usual
    // four. All have about the same deadline, and the pool runs eight tasks at once. In the order of
    // deadlines the four would run after all forty.
    let mut config = Config::clone(&config_with_quota(1, 0));
    let name = CallerName::from("thandi");
    let caller = Caller { name: name.clone(), weight: 10.0, quota: Size::default() };
    config.callers.insert(name, caller);
    let mut session = Session::with_config(&["e1"], Ledger::default(), Arc::new(config));
    for job in 0..40 {
        session.submit_as(CALLER, &format!("flood-{job}"), vec![step(1)]);
    }
    session.now += 10;
    for job in 0..4 {
        session.submit_as("thandi", &format!("few-{job}"), vec![step(1)]);
    }

    let mut started = session.store_and_start();
    let first: Vec<_> = started.iter().map(|(_, task)| task.clone()).collect();
    let ended: Vec<_> = (1..).zip(&first).map(|(number, task)| done(number, task)).collect();
    session.report("e1", &[], &ended, 0);
    started.extend(session.store_and_start());

    let of = |job: &str| started.iter().filter(|(_, t)| t.job.as_str().starts_with(job)).count();
    assert_eq!((of("flood"), of("few")), (12, 4));
}
