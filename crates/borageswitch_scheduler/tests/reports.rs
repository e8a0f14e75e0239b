//! Reports of executors that do not list all ended runs.

mod support;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, OrderResponse, PollResponse, RegistrationChange, StartResponse},
    executor::{ActiveRun, EndedRun},
    fleet::{HostEntry, HostState},
    task::TaskKey,
};
use borageswitch_types::{Time, names::ExecutorName};
use support::session::{
    Session, active, done, host, key, lasting, registration, step, stop_count, wave_over,
};

/// A session whose executor runs the tasks of a job.
fn running(tasks: u32) -> Session {
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(tasks)]);
    assert_eq!(session.store_and_start().len(), tasks as usize);
    session.now += 10;
    session
}

fn tasks(range: std::ops::Range<u32>) -> Vec<TaskKey> {
    range.map(|index| key("j", index)).collect()
}

/// The ends of the tasks with these indices, which are numbered from 1 in their order.
fn ends(range: std::ops::Range<u32>) -> Vec<EndedRun> {
    tasks(range).iter().map(|task| done(u64::from(task.index) + 1, task)).collect()
}

#[test]
fn a_run_behind_a_full_list_of_ended_runs_does_not_start_again() {
    // Guards against a second start of tasks that are done while the store is slow.
    let mut session = running(5);

    session.report_partly("e1", &[], &ends(0..3), 0);
    let started = session.store_and_start();
    session.now += 10;
    session.report("e1", &[], &ends(3..5), 3);
    let started_later = session.store_and_start();

    assert!(started.is_empty(), "{started:?}");
    assert!(started_later.is_empty(), "{started_later:?}");
    assert_eq!(session.scheduler.ledger().finished.len(), 1);
}

#[test]
fn an_inherited_run_behind_a_full_list_of_ended_runs_does_not_start_again() {
    // Guards against a second start by a new leader, which knows no end of the run either.
    let ledger = running(5).scheduler.ledger().clone();
    let mut session = Session::without_reports(&["e1"], ledger);

    session.report_partly("e1", &[], &ends(0..3), 0);
    let started = session.store_and_start();

    assert!(started.is_empty(), "{started:?}");
}

#[test]
fn a_stopped_run_behind_a_full_list_of_ended_runs_does_not_start_again() {
    // Guards against a second start after a lost response to a start that was carried out.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(5)]);
    let unanswered = key("j", 4);
    start_all_but(&mut session, &unanswered);
    session.now += 10;
    let others = [active(&key("j", 3))];
    session.report_partly("e1", &others, &ends(0..3), 0);
    session.settle();
    session.handle(Event::StopAnswered {
        executor: ExecutorName::from("e1"),
        task: unanswered,
        run: 1,
        response: OrderResponse::Done,
    });
    session.now += 10;

    session.report_partly("e1", &others, &ends(0..3), 0);
    let started = session.store_and_start();

    assert!(started.is_empty(), "{started:?}");
}

#[test]
fn a_run_that_a_complete_report_does_not_list_starts_again() {
    // Guards against runs that wait for an end that never comes.
    let mut session = running(2);

    session.report("e1", &[active(&key("j", 0))], &[], 0);
    let started = session.store_and_start();

    assert_eq!(started, [(ExecutorName::from("e1"), key("j", 1))]);
}

#[test]
fn a_run_whose_end_is_not_listed_yet_is_no_straggler() {
    // Guards against distrusting an executor for runs that have ended there.
    let mut session = running(5);
    let others = [active(&key("j", 3)), ActiveRun { percent: 10, ..active(&key("j", 4)) }];
    session.report_partly("e1", &others, &ends(0..3), 0);
    session.settle();

    session.handle(Event::RegistrationChanged(RegistrationChange::Present(registration("e2"))));
    session.report("e2", &[], &[], 0);
    let mut effects = Vec::new();
    for _ in 0..100 {
        effects.extend(session.advance(60));
        session.report_partly("e1", &[], &ends(0..3), 0);
        session.report("e2", &[], &[], 0);
    }

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}

#[test]
fn a_run_that_ended_before_its_executor_crashed_is_not_suspected() {
    // Guards against giving up jobs for crashes that happened after their tasks had ended.
    let mut session = running(5);
    session.report_partly("e1", &[active(&key("j", 3))], &ends(0..3), 0);
    session.store_and_start();

    session.poll_answered("e1", PollResponse::OtherIncarnation, 0);
    session.settle();

    let suspects: Vec<u32> =
        session.scheduler.ledger().suspects.keys().map(|task| task.index).collect();
    assert_eq!(suspects, [3]);
}

#[test]
fn a_lasting_run_whose_end_is_not_listed_yet_does_not_count_as_available() {
    // Guards against stopping a lasting task while another one of its step has already ended.
    let mut session = Session::new(&["e1", "e2", "e3"]);
    session.submit("l", vec![lasting(2)]);
    let started = session.store_and_start();
    let (ended_on, due) = (started[0].0.clone(), started[1].0.clone());
    session.now += 500;
    session.report(due.as_str(), &[active(&started[1].1)], &[], 0);
    session.report(ended_on.as_str(), &[active(&started[0].1)], &[], 0);
    session.settle();
    session.now += 10;
    session.report_partly(ended_on.as_str(), &[], &[], 0);
    session.handle(wave_over(&["h"], 1));
    session.advance(60);
    session.list_hosts(vec![host("h", due.as_str())]);

    let effects = session.advance(60);

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}

#[test]
fn runs_on_a_host_in_an_unknown_state_do_not_start_again() {
    // Guards against ending an executor because its host is in no state that is known.
    let mut session = running(2);
    session.now += 5_000;
    session.report("e1", &[active(&key("j", 0)), active(&key("j", 1))], &[], 0);
    session.settle();
    let unknown = HostEntry { state: HostState::Unknown, ..host("h", "e1") };

    session.list_hosts(vec![unknown]);
    let started = session.store_and_start();

    assert!(started.is_empty(), "{started:?}");
    assert!(session.scheduler.ledger().suspects.is_empty());
}

#[test]
fn runs_on_a_host_whose_entry_cannot_be_decoded_do_not_start_again() {
    // Guards against ending an executor because the entry of its host has lost its name.
    let mut session = running(2);
    let all = [active(&key("j", 0)), active(&key("j", 1))];
    session.now += 5_000;
    session.report("e1", &all, &[], 0);
    session.settle();
    session.list_hosts(vec![host("h", "e1")]);
    for _ in 0..3 {
        session.advance(2_000);
        session.report("e1", &all, &[], 0);
        let unreadable =
            HostEntry { state: HostState::Unreadable, executor: None, ..host("h", "") };

        session.list_hosts(vec![unreadable]);
        session.settle();

        let known = session.scheduler.executors().next();
        assert_eq!(known.map(|known| known.runs.len()), Some(2));
    }

    session.advance(2_000);
    session.list_hosts(vec![host("h", "e2")]);
    session.settle();
    assert!(session.scheduler.executors().all(|known| known.runs.is_empty()));
}

#[test]
fn an_unregistered_executor_may_be_on_a_host_whose_entry_cannot_be_decoded() {
    // Guards against ending an executor that no list has named, and that may be on that host.
    let ledger = running(2).scheduler.ledger().clone();
    let mut session = Session::without_reports(&["e1"], ledger);
    session.handle(Event::RegistrationChanged(RegistrationChange::Unreadable("e1".into())));
    session.advance(3_000);
    let unreadable = HostEntry { state: HostState::Unreadable, executor: None, ..host("h", "") };

    session.list_hosts(vec![unreadable]);
    session.settle();
    let kept: usize = session.scheduler.executors().map(|known| known.runs.len()).sum();
    session.advance(2_000);
    session.list_hosts(vec![host("h", "e2")]);
    session.settle();

    let left: usize = session.scheduler.executors().map(|known| known.runs.len()).sum();
    assert_eq!((kept, left), (2, 0));
}

/// Starts all tasks; the start of one of them gets no response.
fn start_all_but(session: &mut Session, unanswered: &TaskKey) {
    for effect in session.advance(50) {
        if let Effect::Append { append, .. } = effect {
            session.handle(Event::Appended { append });
        }
    }
    for effect in session.settle() {
        let Effect::Start(to, order) = effect else { continue };
        let is_lost = order.task == *unanswered;
        let response = if is_lost { StartResponse::Lost } else { StartResponse::Started };
        session.handle(Event::StartAnswered {
            executor: to.executor,
            task: order.task,
            run: order.run,
            sent: Time::from_millis(session.now),
            clock_ms: (!is_lost).then_some(session.now),
            response,
        });
    }
}
