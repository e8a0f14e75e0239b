//! Registrations with an odd entry among them: only the executor of that entry may be affected, and
//! only until its right entry is back.

mod support;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, PollResponse, RegistrationChange},
    executor::{Registration, Report},
    incarnation,
    job::Size,
    task::TaskKey,
};
use borageswitch_types::{names::ExecutorName, time::UnixMillis};
use support::session::{Session, active, key, registration, step};

/// A start time that no executor can have.
const ODD_START: UnixMillis = UnixMillis(u64::MAX);

fn right() -> ExecutorName {
    incarnation::name("e1", Some(UnixMillis(1)))
}

fn odd() -> ExecutorName {
    incarnation::name("e1", Some(ODD_START))
}

fn entry_of(executor: &ExecutorName) -> Registration {
    registration(executor.as_str())
}

fn write_entry(session: &mut Session, executor: &ExecutorName) {
    let seen = RegistrationChange::Present(entry_of(executor));
    session.handle(Event::RegistrationChanged(seen));
}

fn list_entries(session: &mut Session, executors: &[ExecutorName]) {
    let all = executors.iter().map(entry_of).collect();
    session.handle(Event::RegistrationsListed(all));
    session.settle();
}

/// A leader with one executor, which runs two tasks.
fn running() -> Session {
    let mut session = Session::new(&["e1@1"]);
    session.submit("j", vec![step(2)]);
    session.store_and_start();
    report_runs(&mut session);
    session.settle();
    session
}

fn report_runs(session: &mut Session) {
    session.report("e1@1", &[active(&key("j", 0)), active(&key("j", 1))], &[], 0);
}

fn refute_odd_entry(session: &mut Session) {
    session.poll_answered(odd().as_str(), PollResponse::OtherIncarnation, 0);
    session.settle();
}

fn runs_on_right(session: &Session) -> usize {
    let known = session.scheduler.executors().find(|known| known.registration.executor == right());
    known.map_or(0, |known| known.runs.len())
}

/// Submits another job and returns where its task is started.
fn started_next(session: &mut Session) -> Vec<ExecutorName> {
    session.submit("next", vec![step(1)]);
    let started: Vec<(ExecutorName, TaskKey)> =
        (0..4).flat_map(|_| session.store_and_start()).collect();
    started.into_iter().map(|(executor, _)| executor).collect()
}

/// Guards against an odd start time that ends the runs of a live executor and makes all its later
/// entries count as outdated.
#[test]
fn an_odd_start_time_in_a_watch_event_has_no_lasting_effect() {
    let mut session = running();

    write_entry(&mut session, &odd());
    refute_odd_entry(&mut session);
    report_runs(&mut session);
    let while_odd = (runs_on_right(&session), started_next(&mut session));
    write_entry(&mut session, &right());
    let once_right: Vec<_> = (0..4).flat_map(|_| session.store_and_start()).collect();

    assert_eq!(while_odd, (2, Vec::new()));
    assert_eq!(runs_on_right(&session), 3);
    assert_eq!(once_right.len(), 1);
    assert_eq!(once_right[0].0, right());
}

/// Guards against a right entry that is refused while the odd one before it is unanswered.
#[test]
fn a_right_entry_replaces_an_unanswered_odd_one() {
    let mut session = running();

    write_entry(&mut session, &odd());
    write_entry(&mut session, &right());
    refute_odd_entry(&mut session);
    report_runs(&mut session);

    assert_eq!(runs_on_right(&session), 2);
    assert_eq!(started_next(&mut session), vec![right()]);
}

/// Guards against an odd start time in a complete list that ends the runs of a live executor.
#[test]
fn an_odd_start_time_in_a_complete_list_has_no_lasting_effect() {
    let mut session = running();

    for _ in 0..2 {
        list_entries(&mut session, &[odd()]);
        refute_odd_entry(&mut session);
    }
    report_runs(&mut session);
    let while_odd = runs_on_right(&session);
    list_entries(&mut session, &[right()]);

    assert_eq!(while_odd, 2);
    assert_eq!(started_next(&mut session), vec![right()]);
}

/// Guards against an odd start time in the list of a takeover that makes the new leader take the
/// runs of a live executor for lost.
#[test]
fn an_odd_start_time_at_a_takeover_has_no_lasting_effect() {
    let first = running();
    let ledger = first.scheduler.ledger().clone();

    let mut next = Session::without_reports(&[odd().as_str()], ledger);
    refute_odd_entry(&mut next);
    let while_odd = (runs_on_right(&next), next.store_and_start());
    write_entry(&mut next, &right());
    report_runs(&mut next);

    assert_eq!(while_odd, (2, Vec::new()));
    assert_eq!(runs_on_right(&next), 2);
    assert_eq!(started_next(&mut next), vec![right()]);
}

/// Guards against an odd start time in the first entry of an executor that blocks the right one.
#[test]
fn an_odd_start_time_under_a_new_key_has_no_lasting_effect() {
    for refuted in [false, true] {
        let mut session = Session::new(&[]);

        write_entry(&mut session, &odd());
        if refuted {
            refute_odd_entry(&mut session);
        }
        write_entry(&mut session, &right());
        session.report("e1@1", &[], &[], 0);

        assert_eq!(started_next(&mut session), vec![right()], "refuted={refuted}");
    }
}

/// Guards against a restart that goes unnoticed since the new incarnation has not answered yet.
#[test]
fn a_restart_is_noticed_by_the_answer_at_the_old_address() {
    let mut session = running();
    let later = incarnation::name("e1", Some(UnixMillis(2)));

    write_entry(&mut session, &later);
    session.poll_answered("e1@1", PollResponse::OtherIncarnation, 0);
    session.settle();
    session.report("e1@2", &[], &[], 0);
    let started: Vec<_> = (0..4).flat_map(|_| session.store_and_start()).collect();

    assert!(started.iter().all(|(executor, _)| *executor == later), "{started:?}");
    assert_eq!(started.len(), 2);
}

/// Guards against sums over a pool that overflow if its executors report impossible capacities.
#[test]
fn impossible_capacities_do_not_overflow() {
    let mut session = Session::new(&["e1", "e2", "e3"]);
    // Tasks wait for memory, so that the backlog of the pool is computed.
    let odd_size = Size { cpu_milli: u64::MAX, memory_mb: 8_000, accelerators: u64::MAX };
    for name in ["e1", "e2"] {
        let odd = Registration { capacity: odd_size, ..registration(name) };
        session.handle(Event::RegistrationChanged(RegistrationChange::Present(odd)));
    }

    session.submit("j", vec![step(100)]);
    let started: Vec<_> = (0..4).flat_map(|_| session.store_and_start()).collect();
    let moment = session.moment();
    session.scheduler.admission_limits(moment, 1);

    assert_eq!(started.len(), 24);
}

/// Guards against arithmetic on the clock of an executor that overflows near the largest reading.
#[test]
fn an_impossible_clock_does_not_overflow() {
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(2)]);
    session.store_and_start();

    let report = Report { clock_ms: u64::MAX - 1, ..Report::default() };
    session.poll_answered("e1", PollResponse::Report(report), 0);
    for _ in 0..20 {
        session.store_and_start();
    }

    assert_eq!(session.scheduler.executors().count(), 1);
}

/// Guards against a run that goes on for as long as the entry of its executor is unreadable, although
/// its job was cancelled: polls extend the lease, and a stop was not sent.
#[test]
fn a_run_on_an_executor_with_an_unreadable_entry_can_be_stopped() {
    let mut session = running();

    let unreadable = RegistrationChange::Unreadable(ExecutorName::from("e1"));
    session.handle(Event::RegistrationChanged(unreadable));
    report_runs(&mut session);
    let kept = (runs_on_right(&session), started_next(&mut session));
    session.handle(Event::Cancelled("j".into()));
    let mut stops = 0;
    for _ in 0..4 {
        for effect in session.advance(50) {
            match effect {
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::Stop(..) => stops += 1,
                _ => {}
            }
        }
    }

    assert_eq!(kept, (2, Vec::new()));
    assert_eq!(stops, 2);
}

/// Guards against an executor that is not used again after its unreadable entry was replaced.
#[test]
fn an_executor_is_used_again_once_its_entry_is_readable() {
    let mut session = running();

    let unreadable = RegistrationChange::Unreadable(ExecutorName::from("e1"));
    session.handle(Event::RegistrationChanged(unreadable));
    session.settle();
    report_runs(&mut session);
    write_entry(&mut session, &right());

    assert_eq!(runs_on_right(&session), 2);
    assert_eq!(started_next(&mut session), vec![right()]);
}
