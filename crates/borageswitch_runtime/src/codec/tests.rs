use borageswitch_fakes::platform::example;
use borageswitch_scheduler::{
    job::{JobSpec, Step},
    ledger::snapshot::Snapshot,
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
fn what_earlier_daemons_stored_is_read_by_newer_ones() {
    // Daemons are replaced by newer ones while jobs are stored that were accepted before there were
    // callers. Their encodings end before the fields that have been added since.
    let now = submission(None);
    let mut stored = encode(&now);
    assert_eq!(stored.pop(), Some(0), "no caller is the last byte");
    let before = Snapshot { through: 7, ..Snapshot::default() };
    let mut snapshot = encode(&before);

    assert_eq!(decode_submission(&stored), Ok(now));
    for younger in ["given up jobs", "suspects", "leftovers"] {
        assert_eq!(snapshot.pop(), Some(0), "{younger} are a last byte");
        let decoded = decode_grown::<Snapshot>("snapshot", &snapshot, YOUNGER_IN_SNAPSHOT);
        assert_eq!(decoded.as_ref(), Ok(&before));
    }
}

#[test]
fn a_caller_is_kept_and_damage_is_not_completed() {
    let owned = submission(Some(CallerName::from("nosipho")));
    let stored = encode(&owned);

    assert!(decode_submission(&stored[..stored.len() - 4]).is_err());
    assert_eq!(decode_submission(&stored), Ok(owned));
}
