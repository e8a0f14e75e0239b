//! Counting of the runs of a task that have failed.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{
    effect::{Effect, PollOrder},
    event::{Event, PollResponse, RegistrationChange},
    executor::{EndKind, EndedRun, Registration, Report},
    fleet::HostEntry,
    job::Step,
    ledger::{Ledger, counted_ends::CountedEnds, record::Record, snapshot::Snapshot},
    task::TaskKey,
};
use borageswitch_types::{Time, names::ExecutorName};
use support::session::{Session, acknowledgements, active, done, host, key, registration, step};

fn failed(number: u64, run: u32, task: &TaskKey) -> EndedRun {
    EndedRun { run, how: EndKind::Failed, ..done(number, task) }
}

fn failures(session: &Session, task: &TaskKey) -> u16 {
    session.scheduler.ledger().task(task).unwrap().failures
}

/// What the next leader knows after the first run of a task has failed on `e1`, if the end is stored
/// but not acknowledged.
fn ledger_with_failure(task: &TaskKey) -> Ledger {
    let mut session = Session::without_reports(&[], Ledger::default());
    session.submit(task.job.as_str(), vec![step(1)]);
    let mut ledger = session.scheduler.ledger().clone();
    let executor = ExecutorName::from("e1");
    let assigned = Record::Assigned { task: task.clone(), run: 1, executor: executor.clone() };
    let (kind, checkpoint) = (EndKind::Failed, None);
    let ended = Record::Ended { executor, number: 1, task: task.clone(), run: 1, kind, checkpoint };
    [assigned, ended].iter().for_each(|record| ledger.apply(record));
    ledger
}

fn register(session: &mut Session, executor: &str) {
    let change = RegistrationChange::Present(registration(executor));
    session.handle(Event::RegistrationChanged(change));
}

fn unregister(session: &mut Session, executor: &str) {
    let change = RegistrationChange::Unregistered(ExecutorName::from(executor));
    session.handle(Event::RegistrationChanged(change));
}

/// Lets two seconds pass, in which each append is stored.
fn run_two_seconds(session: &mut Session) -> Vec<Effect> {
    let mut effects = Vec::new();
    for _ in 0..40 {
        for effect in session.advance(50) {
            if let Effect::Append { append, .. } = effect {
                session.handle(Event::Appended { append });
            }
            effects.push(effect);
        }
    }
    effects
}

#[test]
fn a_failure_counts_once_if_its_executor_is_registered_twice_after_a_takeover() {
    // Guards against a leader that forgets the processed ends of an executor which has not answered
    // it yet, and counts the same end again when the executor is back.
    let task = key("j", 0);
    let mut session = Session::without_reports(&[], ledger_with_failure(&task));
    register(&mut session, "e1");
    session.settle();
    unregister(&mut session, "e1");
    run_two_seconds(&mut session);

    register(&mut session, "e1");
    session.report("e1", &[], &[failed(1, 1, &task)], 0);

    assert_eq!(failures(&session, &task), 1);
}

#[test]
fn an_end_that_an_earlier_leader_stored_is_acknowledged_to_an_executor_that_registers_later() {
    // Guards against an end that is listed for ever: a full list of such ends hides all later ones.
    let task = key("j", 0);
    let mut session = Session::without_reports(&[], ledger_with_failure(&task));
    register(&mut session, "e1");
    session.settle();
    session.report("e1", &[], &[failed(1, 1, &task)], 0);

    let effects = run_two_seconds(&mut session);

    assert!(acknowledgements(&effects).contains(&1), "{effects:?}");
}

/// A leader with a task whose first run has failed on `e1`: the end is stored, and acknowledged if
/// `is_acknowledged`.
fn session_with_failure(task: &TaskKey, is_acknowledged: bool) -> Session {
    let mut session = Session::new(&["e1"]);
    session.submit(task.job.as_str(), vec![step(1)]);
    assert_eq!(session.store_and_start().len(), 1);
    session.report("e1", &[], &[failed(1, 1, task)], 0);
    // Without an executor that accepts runs, the task does not start again.
    drain(&mut session, "e1");
    store_appends(&mut session);
    if is_acknowledged {
        session.report("e1", &[], &[], 1);
    }
    assert_eq!(failures(&session, task), 1);
    session
}

fn drain(session: &mut Session, executor: &str) {
    let draining = Registration { draining: true, ..registration(executor) };
    session.handle(Event::RegistrationChanged(RegistrationChange::Present(draining)));
}

/// Stores all appends that are sent within half a second.
fn store_appends(session: &mut Session) {
    for _ in 0..10 {
        for effect in session.advance(50) {
            if let Effect::Append { append, .. } = effect {
                session.handle(Event::Appended { append });
            }
        }
    }
}

/// Whether the leader knows ends of an executor.
fn is_known(session: &Session, executor: &str) -> bool {
    let executor = ExecutorName::from(executor);
    session.scheduler.ledger().last_ends.contains_key(&executor)
}

/// `e1` responds to a poll that was sent at a time before it was forgotten.
fn answer_poll_of(session: &mut Session, sent: Time, ended: &[EndedRun]) {
    let order = PollOrder { until_ms: None, acknowledged: 0, wait: Duration::from_secs(1) };
    let report =
        Report { clock_ms: sent.as_micros() / 1_000, ended: ended.to_vec(), ..Report::default() };
    let (executor, response) = (ExecutorName::from("e1"), PollResponse::Report(report));
    session.handle(Event::Polled { executor, sent, order, response });
}

/// The executor registers again, and lists the end of the first run once more.
fn return_with_failure(session: &mut Session, task: &TaskKey) {
    drain(session, "e1");
    session.report("e1", &[], &[failed(1, 1, task)], 0);
}

#[test]
fn a_failure_counts_once_if_a_response_arrives_after_its_executor_was_forgotten() {
    // Guards against a response to an old poll that counts an acknowledged end again: the executor
    // lost its registration, was forgotten with the number of its last end, and has returned.
    let task = key("j", 0);
    let mut session = session_with_failure(&task, true);
    let sent = Time::from_millis(session.now - 400);
    unregister(&mut session, "e1");
    store_appends(&mut session);
    assert!(!is_known(&session, "e1"));

    drain(&mut session, "e1");
    answer_poll_of(&mut session, sent, &[failed(1, 1, &task)]);

    assert_eq!(failures(&session, &task), 1);
}

#[test]
fn a_failure_counts_once_if_another_executor_registers_at_the_address_meanwhile() {
    // Guards against an executor that is taken for ended because another one claims its address,
    // and that lists its unacknowledged end again when it is back.
    let task = key("j", 0);
    let mut session = session_with_failure(&task, false);
    unregister(&mut session, "e1");
    drain(&mut session, "e2");
    store_appends(&mut session);
    assert!(!is_known(&session, "e1"));

    return_with_failure(&mut session, &task);

    assert_eq!(failures(&session, &task), 1);
}

#[test]
fn a_failure_counts_once_if_its_executor_answered_as_another_incarnation_meanwhile() {
    // Guards against an executor that is taken for ended by one misdirected response, and that
    // lists its unacknowledged end again when it is back.
    let task = key("j", 0);
    let mut session = session_with_failure(&task, false);
    session.poll_answered("e1", PollResponse::OtherIncarnation, 0);
    store_appends(&mut session);
    assert!(!is_known(&session, "e1"));

    return_with_failure(&mut session, &task);

    assert_eq!(failures(&session, &task), 1);
}

#[test]
fn a_failure_counts_once_if_an_old_list_of_hosts_lacks_its_executor() {
    // Guards against an executor that is taken for ended by a list that is older than its return,
    // and that lists its unacknowledged end again.
    let task = key("j", 0);
    let mut session = session_with_failure(&task, false);
    session.list_hosts(vec![host("h", "e1")]);
    session.advance(1_200);
    unregister(&mut session, "e1");
    session.list_hosts(vec![HostEntry { executor: None, ..host("h", "e1") }]);
    store_appends(&mut session);
    assert!(!is_known(&session, "e1"));

    return_with_failure(&mut session, &task);

    assert_eq!(failures(&session, &task), 1);
}

#[test]
fn a_failure_counts_once_if_registration_and_lease_of_its_executor_expired_meanwhile() {
    // Guards against an executor that is taken for ended after its registration and its lease have
    // expired, though it was only cut off, and that lists an acknowledged end in an old response.
    let task = key("j", 0);
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(2)]);
    assert_eq!(session.store_and_start().len(), 2);
    session.report("e1", &[active(&key("j", 1))], &[failed(1, 1, &task)], 0);
    drain(&mut session, "e1");
    store_appends(&mut session);
    session.report("e1", &[active(&key("j", 1))], &[], 1);
    unregister(&mut session, "e1");
    for _ in 0..20 {
        store_appends(&mut session);
    }
    assert!(!is_known(&session, "e1"));

    return_with_failure(&mut session, &task);

    assert_eq!(failures(&session, &task), 1);
}

#[test]
fn a_failure_counts_once_if_the_next_leader_reads_an_append_without_answer() {
    // Guards against an end that two leaders count: the append of the first one was stored but got
    // no answer, and the second one took the executor for ended before it listed the end again.
    let task = key("j", 0);
    let mut session = Session::without_reports(&[], ledger_with_failure(&task));
    drain(&mut session, "e1");
    session.settle();
    session.poll_answered("e1", PollResponse::OtherIncarnation, 0);
    store_appends(&mut session);
    assert!(!is_known(&session, "e1"));

    return_with_failure(&mut session, &task);

    assert_eq!(failures(&session, &task), 1);
}

#[test]
fn a_failure_counts_once_if_a_restored_leader_hears_of_it_again() {
    // Guards against a snapshot without the ends that count: the next leader would count again an
    // end of an executor that the leader before had forgotten.
    let task = key("j", 0);
    let mut session = session_with_failure(&task, true);
    unregister(&mut session, "e1");
    store_appends(&mut session);
    let ledger = session.scheduler.ledger();
    let submission = ledger.jobs[&task.job].submission.clone();
    let ledger = Snapshot::of(ledger, 9).restore([submission]);

    let mut next = Session::without_reports(&["e1"], ledger);
    return_with_failure(&mut next, &task);

    assert_eq!(failures(&next, &task), 1);
}

#[test]
fn a_failure_counts_once_if_lists_of_ends_are_cut() {
    // Guards against ends that count again because the list that repeats them is incomplete.
    let task = key("j", 0);
    let mut session = session_with_failure(&task, true);
    unregister(&mut session, "e1");
    store_appends(&mut session);

    drain(&mut session, "e1");
    session.report_partly("e1", &[], &[failed(1, 1, &task)], 0);
    session.report_partly("e1", &[], &[failed(1, 1, &task)], 0);

    assert_eq!(failures(&session, &task), 1);
}

#[test]
fn two_copies_of_a_task_that_fail_count_once_each_however_often_they_are_listed() {
    // Guards against copies of a task on two executors that are taken for one run, or for more
    // than two.
    let task = key("j", 0);
    let mut session = session_with_failure(&task, true);
    unregister(&mut session, "e1");
    drain(&mut session, "e2");
    session.report("e2", &[], &[failed(1, 2, &task)], 0);
    store_appends(&mut session);

    return_with_failure(&mut session, &task);
    session.report("e2", &[], &[failed(1, 2, &task)], 0);

    assert_eq!(failures(&session, &task), 2);
}

#[test]
fn a_failed_gang_counts_once_if_the_end_of_a_member_is_listed_again() {
    // Guards against a gang that loses two attempts by one failed run.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![Step { gang: true, ..step(2) }]);
    assert_eq!(session.store_and_start().len(), 2);
    let ends = [failed(1, 1, &key("j", 0)), failed(2, 1, &key("j", 1))];
    session.report("e1", &[], &ends, 0);
    drain(&mut session, "e1");
    store_appends(&mut session);
    session.report("e1", &[], &[], 2);
    unregister(&mut session, "e1");
    store_appends(&mut session);
    assert!(!is_known(&session, "e1"));

    drain(&mut session, "e1");
    session.report("e1", &[], &ends, 0);

    assert_eq!(failures(&session, &key("j", 0)), 1);
    assert_eq!(failures(&session, &key("j", 1)), 1);
}

#[test]
fn a_count_of_an_earlier_version_stays_and_later_failures_are_added() {
    // Guards against a task that gets new attempts at an upgrade: earlier versions stored the
    // number of failures without the runs.
    let task = key("j", 0);
    let session = session_with_failure(&task, true);
    let ledger = session.scheduler.ledger();
    let submission = ledger.jobs[&task.job].submission.clone();
    let snapshot = Snapshot { counted_ends: CountedEnds::default(), ..Snapshot::of(ledger, 9) };

    let mut next = Session::without_reports(&["e1"], snapshot.restore([submission]));
    next.report("e1", &[], &[failed(2, 2, &task)], 1);

    assert_eq!(failures(&next, &task), 2);
}

#[test]
fn a_repeated_failure_is_stored_as_an_end_that_does_not_count() {
    // Guards against a daemon of an earlier version that reads the append and counts the end again.
    let task = key("j", 0);
    let mut session = session_with_failure(&task, true);
    unregister(&mut session, "e1");
    store_appends(&mut session);

    return_with_failure(&mut session, &task);
    let stored: Vec<Record> = (0..20).flat_map(|_| stored_records(&mut session)).collect();

    let ends = stored.iter().filter_map(|record| match record {
        Record::Ended { kind, .. } => Some(*kind),
        _ => None,
    });
    assert_eq!(ends.collect::<Vec<_>>(), [EndKind::Stopped]);
}

/// Stores the append that is sent within 50 ms, and returns its records.
fn stored_records(session: &mut Session) -> Vec<Record> {
    let mut stored = Vec::new();
    for effect in session.advance(50) {
        if let Effect::Append { append, records, .. } = effect {
            stored.extend(records);
            session.handle(Event::Appended { append });
        }
    }
    stored
}
