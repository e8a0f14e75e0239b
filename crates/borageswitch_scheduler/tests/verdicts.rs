//! What counts against a task whose executor is lost.

mod support;

use std::sync::Arc;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, PollResponse, RegistrationChange},
    fleet::{HostEntry, HostState},
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
use support::{
    fixtures::queue,
    session::{Session, active, host, key, registration, step},
};

/// The wall clock of a session at its start, in Unix milliseconds.
const SESSION_START: u64 = 1_000_000;

fn lasting_step() -> Step {
    Step { lasting: true, ..step(1) }
}

/// A ledger with a lasting job of one task.
fn ledger_with_lasting_job() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.submit(Arc::new(Submission {
        job: JobName::from("j"),
        queue: queue(),
        accepted: UnixMillis(1),
        spec: JobSpec { payload: "text".into(), steps: vec![lasting_step()], schedule: None },
        caller: None,
    }));
    ledger
}

/// A crash at most a second after the start of a task.
fn crash(executor: &str, at: u64) -> Crash {
    Crash {
        executor: ExecutorName::from(executor),
        at: UnixMillis(at),
        run: 1,
        age_ms: 1_000,
        lived_ms: 0,
        evidence: 800,
    }
}

fn record_crash(ledger: &mut Ledger, task: &TaskKey, crash: Crash) {
    let suspicions = vec![Suspicion { task: task.clone(), crash }];
    ledger.apply(&Record::Crashed { suspicions });
}

fn down(name: &str) -> HostEntry {
    HostEntry { state: HostState::Down, executor: None, ..host(name, "") }
}

fn crashes<'a>(session: &'a Session, task: &TaskKey) -> &'a [Crash] {
    session.scheduler.ledger().crashes_of(task)
}

/// Advances in steps of 50 ms; each append is stored.
fn run(session: &mut Session, millis: u64) -> Vec<Record> {
    let mut stored = Vec::new();
    for _ in 0..millis / 50 {
        for effect in session.advance(50) {
            if let Effect::Append { append, records, .. } = effect {
                stored.extend(records);
                session.handle(Event::Appended { append });
            }
        }
    }
    stored
}

/// A session in which the task of a lasting job has started on the executor `e1` of the host `h1`.
fn session_with_run(ledger: Ledger) -> Session {
    let mut session = Session::with_ledger(&["e1"], ledger);
    run(&mut session, 2_000);
    session.list_hosts(vec![host("h1", "e1"), host("h2", "e2")]);
    session.submit("j", vec![lasting_step()]);
    while session.store_and_start().is_empty() {}
    session
}

/// The host of `e1` goes down a moment after the start.
fn lose_executor(session: &mut Session, millis: u64) {
    session.now += 50;
    session.poll_answered("e1", PollResponse::Lost, 0);
    session.now += millis;
    session.settle();
    session.list_hosts(vec![down("h1"), host("h2", "e2")]);
    session.settle();
}

#[test]
fn an_executor_that_answers_again_has_not_crashed() {
    // Guards against crashes that count although their executors were only out of reach.
    let mut session = session_with_run(Ledger::default());
    let gone = RegistrationChange::Unregistered(ExecutorName::from("e1"));
    session.handle(Event::RegistrationChanged(gone));
    run(&mut session, 20_000);
    assert_eq!(crashes(&session, &key("j", 0)).len(), 1);

    let back = RegistrationChange::Present(registration("e1"));
    session.handle(Event::RegistrationChanged(back));
    session.report("e1", &[], &[], 0);

    assert!(crashes(&session, &key("j", 0)).is_empty());
}

#[test]
fn a_run_exonerates_its_task_over_several_leaders() {
    // Guards against suspicions that last because no leader stays for long enough to see the run live.
    let task = key("j", 0);
    let mut ledger = ledger_with_lasting_job();
    record_crash(&mut ledger, &task, crash("e0", SESSION_START));
    let executor = ExecutorName::from("e1");
    ledger.apply(&Record::Assigned { task: task.clone(), run: 1, executor });
    for _ in 0..2 {
        let mut session = Session::without_reports(&["e1"], ledger.clone());
        session.report("e1", &[active(&task)], &[], 0);
        run(&mut session, 1_500);
        session.report("e1", &[active(&task)], &[], 0);
        run(&mut session, 200).iter().for_each(|record| ledger.apply(record));
    }

    assert!(ledger.crashes_of(&task).is_empty(), "{:?}", ledger.crashes_of(&task));
}

#[test]
fn a_new_leader_knows_that_executors_crash_all_the_time() {
    // Guards against taking a site for calm after a change of leader, so that crashes which any task
    // would have seen pass for proof.
    let mut ledger = Ledger::default();
    for number in 0..20 {
        let lost = crash(&format!("lost-{number}"), SESSION_START - 1_000);
        record_crash(&mut ledger, &key("k", number), lost);
    }
    let mut session = session_with_run(ledger);

    session.now += 1_600;
    session.settle();
    session.list_hosts(vec![down("h1"), host("h2", "e2")]);
    session.settle();

    let crashes = crashes(&session, &key("j", 0));
    assert_eq!(crashes.len(), 1);
    assert!(!crashes[0].is_attributed(), "{crashes:?}");
}

#[test]
fn a_crash_while_the_store_is_silent_is_not_attributed() {
    // Guards against crashes that are read out of an outage, in which no plan can be learned.
    let mut session = session_with_run(Ledger::default());
    session.submit("other", vec![step(1)]);
    session.advance(50);

    lose_executor(&mut session, 1_500);

    let crashes = crashes(&session, &key("j", 0));
    assert_eq!(crashes.len(), 1);
    assert!(!crashes[0].is_attributed(), "{crashes:?}");
}

#[test]
fn a_crash_that_is_noticed_just_after_an_outage_of_the_store_is_not_attributed() {
    // Guards against crashes that are read out of an outage: registrations that lapsed in it come
    // back only after it.
    let mut session = session_with_run(Ledger::default());
    session.submit("other", vec![step(1)]);
    let in_flight = session.advance(50).into_iter().find_map(|effect| match effect {
        Effect::Append { append, .. } => Some(append),
        _ => None,
    });
    session.now += 50;
    session.poll_answered("e1", PollResponse::Lost, 0);
    session.now += 1_500;
    session.settle();

    session.handle(Event::Appended { append: in_flight.unwrap() });
    session.now += 500;
    session.settle();
    session.list_hosts(vec![down("h1"), host("h2", "e2")]);
    session.settle();

    let crashes = crashes(&session, &key("j", 0));
    assert_eq!(crashes.len(), 1);
    assert!(!crashes[0].is_attributed(), "{crashes:?}");
}

/// A ledger with a lasting task that is isolated after three crashes, the last one a while before
/// the session by the wall clock.
fn ledger_with_isolated_task(millis: u64) -> Ledger {
    let mut ledger = ledger_with_lasting_job();
    for executor in ["lost-1", "lost-2", "lost-3"] {
        record_crash(&mut ledger, &key("j", 0), crash(executor, SESSION_START - millis));
    }
    ledger
}

#[test]
fn an_isolated_task_waits_for_calm_whatever_the_clock_of_a_new_leader_says() {
    // Guards against a new leader whose clock is ahead, and that starts an isolated task at once
    // without knowing whether its pool is calm.
    let mut session = Session::with_ledger(&["e1"], ledger_with_isolated_task(61_000));

    for _ in 0..20 {
        session.report("e1", &[], &[], 0);
        assert!(session.store_and_start().is_empty());
    }
}

#[test]
fn an_inherited_start_after_the_longest_wait_counts_as_one_without_calm() {
    // Guards against a crash that proves something because the pool was calm, although the start
    // did not wait for that any longer.
    let task = key("j", 0);
    for (millis, is_attributed) in [(1_000, true), (61_000, false)] {
        let mut ledger = ledger_with_isolated_task(millis);
        let executor = ExecutorName::from("e1");
        let assigned = Record::Assigned { task: task.clone(), run: 1, executor };
        ledger.apply(&assigned);
        ledger.note_sent(UnixMillis(SESSION_START - 50), &[assigned]);
        let mut session = Session::without_reports(&["e1"], ledger);
        session.report("e1", &[active(&task)], &[], 0);
        run(&mut session, 100);
        session.list_hosts(vec![host("h1", "e1"), host("h2", "e2")]);
        run(&mut session, 100);

        lose_executor(&mut session, 1_500);

        let crashes = crashes(&session, &task);
        assert_eq!(crashes.len(), 4, "{crashes:?}");
        assert_eq!(crashes[3].is_attributed(), is_attributed, "{crashes:?}");
        assert!(crashes[3].evidence > 0, "{crashes:?}");
    }
}
