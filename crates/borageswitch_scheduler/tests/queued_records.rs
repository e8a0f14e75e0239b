//! Effects, removals of keys and snapshots while more records are queued than one append carries.

mod support;

use std::collections::BTreeSet;

use borageswitch_scheduler::{
    effect::Effect,
    event::Event,
    job::{Size, Step},
    ledger::{Ledger, record::Record, snapshot::Snapshot},
};
use borageswitch_types::names::JobName;
use support::session::{Session, active, done, key, step};

/// The number of tasks of a job whose ends take more than one append.
const TASKS: u32 = 4_500;
/// Enough appends to start them.
const ROUNDS_TO_START: u32 = 4;
/// The number of appends of a session whose queue never drains.
const APPENDS: u64 = 60;

/// Stores the next append and returns its records and the jobs whose submissions it removes.
fn store_next(session: &mut Session) -> Option<(Vec<Record>, Vec<JobName>)> {
    let effects = session.advance(20);
    let append = effects.into_iter().find_map(|effect| match effect {
        Effect::Append { append, records, forget, .. } => Some((append, records, forget)),
        _ => None,
    });
    let (append, records, forget) = append?;
    session.handle(Event::Appended { append });
    Some((records, forget))
}

fn started(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Start(..))).count()
}

#[test]
fn a_submission_is_not_removed_before_the_end_of_its_job_is_stored() {
    // Guards against losing a job whose end takes several appends, if the term ends between them.
    let mut session = Session::new(&["e1"]);
    let size = Size { cpu_milli: 1, memory_mb: 1, accelerators: 0 };
    session.submit("j", vec![Step { size, ..step(TASKS) }]);
    for _ in 0..ROUNDS_TO_START {
        session.store_and_start();
    }
    let tasks: Vec<_> = (0..TASKS).map(|index| key("j", index)).collect();
    let running: Vec<_> = tasks.iter().map(active).collect();
    session.report("e1", &running, &[], 0);
    let ended: Vec<_> = (1..).zip(&tasks).map(|(number, task)| done(number, task)).collect();

    session.report("e1", &[], &ended, 0);
    let mut stored_ends = BTreeSet::new();
    let mut removed = BTreeSet::new();
    while let Some((records, forget)) = store_next(&mut session) {
        stored_ends.extend(records.iter().filter_map(|record| match record {
            Record::Finished { job, .. } => Some(job.clone()),
            _ => None,
        }));
        removed.extend(forget);
        assert!(removed.is_subset(&stored_ends), "removed {removed:?}, stored {stored_ends:?}");
    }

    assert_eq!(removed, BTreeSet::from([JobName::from("j")]));
}

#[test]
fn a_start_does_not_wait_for_records_that_are_queued_after_its_own() {
    // Guards against starting nothing for as long as records are queued faster than they are stored.
    let mut session = Session::with_records_per_append(&["e1"], 2);
    session.submit("j", vec![step(8)]);

    store_next(&mut session);
    let effects = session.settle();

    assert_eq!(started(&effects), 2, "{effects:?}");
}

#[test]
fn snapshots_are_stored_although_the_queue_never_drains() {
    // Guards against a log that grows for as long as records are queued faster than they are stored.
    let mut session = Session::with_records_per_append(&[], 4);
    let mut stored: Vec<Record> = Vec::new();
    let mut last_snapshot: Option<Snapshot> = None;
    let mut after_snapshot: Vec<Record> = Vec::new();

    for append in 1..=APPENDS {
        for number in 0..5 {
            let job = format!("{append}-{number}");
            session.submit(&job, vec![step(1)]);
            session.handle(Event::Cancelled(JobName::from(&*job)));
        }
        let (records, _) = store_next(&mut session).unwrap();
        stored.extend(records.iter().cloned());
        after_snapshot.extend(records);
        for effect in session.settle() {
            if let Effect::StoreSnapshot { snapshot, .. } = effect {
                assert_eq!(snapshot.through, append);
                last_snapshot = Some(*snapshot);
                after_snapshot.clear();
            }
        }
    }

    let snapshot = last_snapshot.expect("a snapshot");
    let mut restored = snapshot.restore([]);
    after_snapshot.iter().for_each(|record| restored.apply(record));
    let mut expected = Ledger::default();
    stored.iter().for_each(|record| expected.apply(record));
    assert_eq!(restored, expected);
}
