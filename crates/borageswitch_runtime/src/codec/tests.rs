use borageswitch_fakes::platform::example;
use borageswitch_scheduler::{
    job::{JobSpec, Step},
    ledger::{
        record::{Record, StoredAppend},
        snapshot::Snapshot,
    },
};
use borageswitch_types::{
    names::{CallerName, JobName},
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
    for added_field in
        ["recent starts", "failed runs of gangs", "given up jobs", "suspects", "lingering runs"]
    {
        assert_eq!(snapshot.pop(), Some(0), "{added_field} are a last byte");
        let decoded =
            decode_with_added_fields::<Snapshot>("snapshot", &snapshot, FIELDS_ADDED_TO_SNAPSHOT);
        assert_eq!(decoded.as_ref(), Ok(&before));
    }
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
    let append = StoredAppend { records: records.clone(), at: UnixMillis(1_700_000_000_000) };

    let of_earlier_version = decode_append(&encode(&records));
    let by_earlier_version = decode::<Vec<Record>>("append", &encode(&append));

    let without_time = StoredAppend { records: records.clone(), at: UnixMillis(0) };
    assert_eq!(of_earlier_version, Ok(without_time));
    assert_eq!(by_earlier_version, Ok(records));
    assert_eq!(decode_append(&encode(&append)), Ok(append));
}
