//! What a new leader assumes about the ages of runs and crashes that earlier leaders have recorded.

mod support;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, RegistrationChange},
    executor::ActiveRun,
    job::{JobSpec, Step, Submission},
    ledger::{
        Ledger,
        crashes::{Crash, Suspicion},
        record::Record,
    },
    task::TaskKey,
};
use borageswitch_types::{
    names::{ExecutorName, JobName},
    time::UnixMillis,
};
use std::{sync::Arc, time::Duration};
use support::{
    fixtures::{cores, queue},
    session::{Session, active, key, step},
};

/// The duration of a step of a session, in milliseconds.
const STEP: u64 = 50;

/// A ledger in which the tasks of a job run on an executor, each with this run.
fn ledger_with_runs(job: &str, step: Step, executor: &str, run: u32) -> Ledger {
    let mut ledger = Ledger::default();
    let count = step.count;
    ledger.submit(Arc::new(Submission {
        job: JobName::from(job),
        queue: queue(),
        accepted: UnixMillis(1),
        spec: JobSpec { payload: "text".into(), steps: vec![step], schedule: None },
        caller: None,
    }));
    for index in 0..count {
        let executor = ExecutorName::from(executor);
        ledger.apply(&Record::Assigned { task: key(job, index), run, executor });
    }
    ledger
}

fn running(task: &TaskKey, run: u32, percent: u8) -> ActiveRun {
    ActiveRun { run, percent, ..active(task) }
}

/// Runs the session while its executors report the same runs, and stores all appends. Returns the
/// effects with the log lines.
fn run(session: &mut Session, reports: &[(&str, Vec<ActiveRun>)], millis: u64) -> Vec<Effect> {
    let mut all = Vec::new();
    for _ in 0..millis / STEP {
        session.now += STEP;
        for (executor, runs) in reports {
            session.report(executor, runs, &[], 0);
        }
        for effect in session.settle_with_log() {
            if let Effect::Append { append, .. } = &effect {
                session.handle(Event::Appended { append: *append });
            }
            all.push(effect);
        }
    }
    all
}

/// The jobs whose runs were stopped.
fn stopped_jobs(effects: &[Effect]) -> Vec<JobName> {
    let stops = effects.iter().filter_map(|effect| match effect {
        Effect::Stop(_, task, _) => Some(task.job.clone()),
        _ => None,
    });
    stops.collect()
}

fn is_logged(effects: &[Effect], kind: &str) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Log(line) if line.kind == kind))
}

#[test]
fn a_long_run_of_an_earlier_leader_is_not_preempted_as_the_youngest() {
    // Guards against lasting tasks that displace runs with minutes of work after each takeover,
    // although runs that have just begun could make room.
    let long = Step { estimate: Duration::from_secs(600), ..step(8) };
    let ledger = ledger_with_runs("long", long, "e0", 1);
    let mut session = Session::without_reports(&["e0", "e1"], ledger);
    let on_e0: Vec<ActiveRun> = (0..8).map(|i| running(&key("long", i), 1, 50)).collect();
    run(&mut session, &[("e0", on_e0.clone()), ("e1", Vec::new())], STEP);
    let wide = Step { size: cores(2), estimate: Duration::from_secs(600), ..step(4) };
    session.submit("new", vec![wide]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 4, "{started:?}");
    let on_e1: Vec<ActiveRun> = (0..4).map(|i| running(&key("new", i), 1, 50)).collect();
    let reports = [("e0", on_e0), ("e1", on_e1)];
    run(&mut session, &reports, 1_000);

    session.submit("lasting", vec![Step { lasting: true, ..step(1) }]);
    let effects = run(&mut session, &reports, 500);

    assert_eq!(stopped_jobs(&effects), ["new".into()], "{effects:?}");
}

#[test]
fn no_hosts_are_reserved_for_a_gang_beside_long_runs_of_an_earlier_leader() {
    // Guards against capacity that is withheld from all other jobs because runs which have made
    // their progress in minutes seem to have made it since the takeover.
    let long = Step { estimate: Duration::from_secs(60), ..step(7) };
    let ledger = ledger_with_runs("long", long, "e0", 1);
    let mut session = Session::without_reports(&["e0"], ledger);
    let runs: Vec<ActiveRun> = (0..7).map(|i| running(&key("long", i), 1, 60)).collect();
    session.submit("gang", vec![Step { gang: true, size: cores(4), ..step(2) }]);

    let effects = run(&mut session, &[("e0", runs)], 2_000);

    assert!(is_logged(&effects, "gang-waits"), "{effects:?}");
    assert!(!is_logged(&effects, "gang-room-kept"), "{effects:?}");
}

#[test]
fn a_run_that_was_given_more_time_keeps_it_after_a_takeover() {
    // Guards against a slow task whose runs are stopped early again by each new leader, so that it
    // is never done. One that hangs is still stopped.
    let ledger = ledger_with_runs("slow", step(1), "e0", 4);
    let mut session = Session::without_reports(&["e0", "e1"], ledger);
    let reports = [("e0", vec![running(&key("slow", 0), 4, 0)]), ("e1", Vec::new())];

    let early = run(&mut session, &reports, 5_000);
    let late = run(&mut session, &reports, 10_000);

    assert_eq!(stopped_jobs(&early), [], "{early:?}");
    assert!(!stopped_jobs(&late).is_empty(), "{late:?}");
}

#[test]
fn crashes_ahead_of_the_clock_of_a_new_leader_contain_no_queue() {
    // Guards against sound jobs that wait for probes because of old crashes, which a leader with a
    // clock that is an hour behind takes for crashes of this moment.
    let mut ledger = ledger_with_runs("j", step(2), "gone", 1);
    for executor in ["x", "y"] {
        let crash = Crash {
            executor: ExecutorName::from(executor),
            at: UnixMillis(1_000_000 + 3_600_000),
            run: 1,
            age_ms: 10,
            lived_ms: 0,
            evidence: 1_000,
        };
        let suspicions = vec![Suspicion { task: key("j", 0), crash }];
        ledger.apply(&Record::Crashed { suspicions });
    }
    let mut session = Session::without_reports(&["e0"], ledger);
    session.report("e0", &[], &[], 0);

    session.submit("sound", vec![step(4)]);
    let started = session.store_and_start();

    let sound = started.iter().filter(|(_, task)| task.job.as_str() == "sound").count();
    assert_eq!(sound, 4, "{started:?}");
}

#[test]
fn losses_of_runs_of_unknown_age_contain_no_queue() {
    // Guards against sound jobs that wait for probes after a takeover, because runs that were lost
    // with their executors pass for runs that had just started.
    let mut ledger = ledger_with_runs("j", step(2), "e1", 1);
    let moved = Record::Assigned { task: key("j", 1), run: 2, executor: "e2".into() };
    ledger.apply(&moved);
    let mut session = Session::without_reports(&["e0", "e1", "e2"], ledger);
    let mut logged = Vec::new();
    for (lost, millis) in [("e1", 5_000), ("e2", 10_000)] {
        let gone = RegistrationChange::Unregistered(lost.into());
        session.handle(Event::RegistrationChanged(gone));
        let effects = run(&mut session, &[("e0", Vec::new())], millis);
        logged.extend(effects.into_iter().filter(|effect| matches!(effect, Effect::Log(_))));
    }

    assert!(is_logged(&logged, "executor-crashed"), "{logged:?}");
    assert!(!is_logged(&logged, "containment-began"), "{logged:?}");
}
