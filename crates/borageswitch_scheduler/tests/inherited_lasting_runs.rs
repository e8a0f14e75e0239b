//! Lasting runs that an earlier leader has started: when they are stopped, and what is stored of them.

mod support;

use std::sync::Arc;

use borageswitch_scheduler::{
    effect::Effect,
    event::Event,
    executor::ActiveRun,
    job::{JobSpec, Step, Submission},
    ledger::{
        Ledger,
        crashes::{Crash, Suspicion},
        record::Record,
    },
};
use borageswitch_types::{
    names::{ExecutorName, JobName},
    time::UnixMillis,
};
use support::{
    fixtures::queue,
    session::{Session, active, key, step, stop_count},
};

/// A ledger with a lasting job of one task, whose run of this number is assigned to `e1`.
fn ledger_with_run(run: u32) -> Ledger {
    let mut ledger = Ledger::default();
    let steps = vec![Step { lasting: true, ..step(1) }];
    ledger.submit(Arc::new(Submission {
        job: JobName::from("j"),
        queue: queue(),
        accepted: UnixMillis(1),
        spec: JobSpec { payload: "text".into(), steps, schedule: None },
        caller: None,
    }));
    ledger.apply(&Record::Assigned { task: key("j", 0), run, executor: ExecutorName::from("e1") });
    ledger
}

/// What a leader has sent and stored.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    stops: usize,
    survivals: usize,
}

/// Advances with a report of both executors each 100 ms.
fn run(session: &mut Session, run: u32, percent: u8, millis: u64) -> Seen {
    let mut seen = Seen::default();
    for _ in 0..millis / 100 {
        let listed = ActiveRun { run, percent, ..active(&key("j", 0)) };
        session.report("e1", &[listed], &[], 0);
        session.report("e2", &[], &[], 0);
        let mut effects = session.advance(50);
        effects.extend(session.advance(50));
        seen.stops += stop_count(&effects);
        for effect in effects {
            if let Effect::Append { append, records, .. } = effect {
                let survived = records.iter().filter(|r| matches!(r, Record::Survived { .. }));
                seen.survivals += survived.count();
                session.handle(Event::Appended { append });
            }
        }
    }
    seen
}

fn stops_of_hung_run(number: u32, millis: u64) -> usize {
    let mut session = Session::without_reports(&["e1", "e2"], ledger_with_run(number));
    run(&mut session, number, 0, millis).stops
}

#[test]
fn a_hung_lasting_run_is_stopped_after_a_takeover() {
    // Guards against a lasting task that does not serve for hours because its run number is high.
    let stops = [1, 3, 13].map(|number| stops_of_hung_run(number, 60_000));

    assert!(stops.iter().all(|stops| *stops > 0), "{stops:?}");
}

#[test]
fn a_suspect_that_lives_is_not_stored_all_the_time() {
    // Guards against appends twice a second for each suspect, and the snapshots that they cause.
    let mut ledger = ledger_with_run(2);
    let crash = Crash {
        executor: ExecutorName::from("e0"),
        at: UnixMillis(990_000),
        run: 1,
        age_ms: 60_000,
        lived_ms: 60_000,
        evidence: 600,
    };
    let suspicions = vec![Suspicion { task: key("j", 0), crash }];
    ledger.apply(&Record::Crashed { suspicions });
    let mut session = Session::without_reports(&["e1", "e2"], ledger);

    let seen = run(&mut session, 2, 100, 120_000);

    assert!(seen.survivals < 10, "{seen:?}");
}
