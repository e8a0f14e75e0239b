use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use borageswitch_fakes::platform::example;
use borageswitch_scheduler::{
    executor::EndKind,
    job::{JobSpec, Step},
    ledger::{
        Finished, Ledger,
        counted_ends::CountedEnds,
        crashes::{Crash, GivenUp},
        host_orders::HostOrders,
        job::Progress,
        recent_starts::RecentStarts,
        record::{LingeringRun, Record, StoredAppend},
        snapshot::Snapshot,
    },
    task::{StepKey, TaskKey},
};
use borageswitch_types::{
    names::{CallerName, ExecutorName, HostName, JobName},
    time::UnixMillis,
};

use super::*;

fn submission(caller: Option<CallerName>) -> Submission {
    let steps = vec![Step { count: 1, ..Step::default() }];
    Submission {
        job: JobName::from("j"),
        queue: example::queue("runs", "/runs/", "payroll"),
        accepted: UnixMillis(1),
        spec: JobSpec { payload: "text".into(), steps, schedule: None },
        caller,
    }
}

#[test]
fn values_stored_by_older_versions_can_be_decoded() {
    // Daemons are upgraded while the store has jobs that were accepted before the caller field
    // existed. Their encodings end before the fields that were added since.
    let now = submission(None);
    let mut stored = encode(&now);
    assert_eq!(stored.pop(), Some(0), "no caller is the last byte");
    let before = Snapshot { through: 7, ..Snapshot::default() };
    let mut snapshot = encode(&before);

    assert_eq!(decode_submission(&stored), Ok(now));
    for added_field in [
        "counted ends",
        "survivals of suspects",
        "recent starts",
        "failed runs of gangs",
        "given up jobs",
        "suspects",
        "lingering runs",
    ] {
        assert_eq!(snapshot.pop(), Some(0), "{added_field} are a last byte");
        let decoded =
            decode_with_added_fields::<Snapshot>("snapshot", &snapshot, FIELDS_ADDED_TO_SNAPSHOT);
        assert_eq!(decoded.as_ref(), Ok(&before));
    }
}

/// The snapshot of a ledger with a job of which a task has failed once on `e1` in term 300.
fn snapshot_with_failure() -> Snapshot {
    let mut ledger = Ledger::default();
    ledger.submit(Arc::new(submission(None)));
    let task = TaskKey { job: JobName::from("j"), occurrence: 0, step: 0, index: 0 };
    let executor = ExecutorName::from("e1");
    let (run, number, kind) = (1, 7, EndKind::Failed);
    let assigned = Record::Assigned { task: task.clone(), run, executor: executor.clone() };
    let ended = Record::Ended { executor, number, task, run, kind, checkpoint: None };
    [assigned, ended].iter().for_each(|record| ledger.apply_in_term(record, 300));
    Snapshot::of(&ledger, 301)
}

/// A snapshot as the version before counted ends declares it, up to the recent starts.
type EarlierSnapshot = (
    (u64, BTreeMap<JobName, Progress>, BTreeMap<JobName, Finished>, BTreeMap<ExecutorName, u64>),
    (HostOrders, BTreeMap<u64, Vec<HostName>>, Vec<u64>, BTreeMap<TaskKey, LingeringRun>),
    (BTreeMap<TaskKey, Vec<Crash>>, BTreeMap<JobName, GivenUp>),
    (BTreeMap<StepKey, BTreeSet<u32>>, RecentStarts),
);

#[test]
fn counted_ends_are_read_across_versions() {
    // Guards against failures that the daemons of an earlier version lose while both versions run,
    // and against a count of an earlier version that is dropped because its runs are not known.
    let now = snapshot_with_failure();

    let read = decode_with_added_fields("snapshot", &encode(&now), FIELDS_ADDED_TO_SNAPSHOT);
    let by_earlier: EarlierSnapshot = decode("snapshot", &encode(&now)).unwrap();
    let of_earlier = encode(&by_earlier);
    let of_earlier: Snapshot =
        decode_with_added_fields("snapshot", &of_earlier, FIELDS_ADDED_TO_SNAPSHOT).unwrap();

    assert_eq!(read, Ok(now.clone()));
    assert_ne!(now.counted_ends, CountedEnds::default());
    assert_eq!(of_earlier, Snapshot { counted_ends: CountedEnds::default(), ..now });
}

#[test]
fn a_caller_is_kept_and_damaged_values_are_rejected() {
    let owned = submission(Some(CallerName::from("nosipho")));
    let stored = encode(&owned);

    assert!(decode_submission(&stored[..stored.len() - 4]).is_err());
    assert_eq!(decode_submission(&stored), Ok(owned));
}

#[test]
fn appends_are_read_across_versions() {
    // Guards against a store that no daemon of the other version can read while both run.
    let records = vec![Record::TermBegan];
    let at = UnixMillis(1_700_000_000_000);
    let append = StoredAppend { records: records.clone(), at, term: 300 };

    let of_earlier_version = decode_append(&encode(&records));
    let of_version_with_time = decode_append(&encode(&(&records, at)));
    let by_earlier_version = decode::<Vec<Record>>("append", &encode(&append));
    let by_version_with_time = decode::<(Vec<Record>, UnixMillis)>("append", &encode(&append));

    let without_time = StoredAppend { records: records.clone(), ..StoredAppend::default() };
    let without_term = StoredAppend { term: 0, ..append.clone() };
    assert_eq!(of_earlier_version, Ok(without_time));
    assert_eq!(of_version_with_time, Ok(without_term));
    assert_eq!(by_earlier_version, Ok(records.clone()));
    assert_eq!(by_version_with_time, Ok((records, at)));
    assert_eq!(decode_append(&encode(&append)), Ok(append));
}
