//! Best-effort tasks that share a host with tasks that serve users.

mod support;

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, OrderResponse},
    executor::ActiveRun,
    job::{JobSpec, Step, Submission},
    ledger::{Ledger, record::Record},
    task::TaskKey,
};
use borageswitch_types::{
    names::{ExecutorName, JobName},
    time::UnixMillis,
};
use support::{
    fixtures::queue,
    session::{Session, key, step},
};

const SERVER: &str = "s";
const BEST_EFFORT: &str = "f";

fn serving_step() -> Step {
    Step { lasting: true, target_tail: Some(Duration::from_millis(100)), ..step(1) }
}

fn best_effort_step() -> Step {
    Step { lasting: true, best_effort: true, ..step(1) }
}

fn active_run(job: &str, recent: u64) -> ActiveRun {
    ActiveRun { task: key(job, 0), run: 1, checkpoint: None, percent: 100, recent }
}

/// A task of each kind, both active on the only host.
fn session() -> Session {
    let mut session = Session::new(&["e1"]);
    session.submit(SERVER, vec![serving_step()]);
    session.submit(BEST_EFFORT, vec![best_effort_step()]);
    assert_eq!(session.store_and_start().len(), 2);
    session.now += 100;
    session
}

/// Reports a tail response time of the serving task and returns the speed limit that is then
/// ordered, if any.
fn speed_limit_after(session: &mut Session, tail_ms: u64) -> Option<u8> {
    session.report("e1", &[active_run(SERVER, tail_ms), active_run(BEST_EFFORT, 0)], &[], 0);
    ordered_speed_limit(session)
}

fn ordered_speed_limit(session: &mut Session) -> Option<u8> {
    session.now += 100;
    let limits = session.settle().into_iter().filter_map(|effect| match effect {
        Effect::LimitSpeed(_, task, 1, percent) => {
            assert_eq!(task, key(BEST_EFFORT, 0));
            Some(percent)
        }
        _ => None,
    });
    limits.last()
}

/// The tail response time of a serving task is over its target, so the best-effort task beside it
/// is halted. Then the serving task is cancelled. If the limit remained, the best-effort task would
/// never run again although it no longer affects anyone.
#[test]
fn the_speed_limit_is_lifted_when_no_serving_task_is_left() {
    let mut session = session();
    while speed_limit_after(&mut session, 300) != Some(0) {}

    session.report("e1", &[active_run(BEST_EFFORT, 0)], &[], 0);

    assert_eq!(ordered_speed_limit(&mut session), Some(100));
}

/// An order to limit the speed gets no response, so the limit in force is unknown. If the scheduler
/// assumed full speed, it would not lift the limit, and the task might stay halted.
#[test]
fn a_speed_limit_without_a_response_is_ordered_again() {
    let mut session = session();
    while speed_limit_after(&mut session, 300) != Some(0) {}

    let response = OrderResponse::Lost;
    session.handle(Event::SpeedLimitAnswered {
        executor: ExecutorName::from("e1"),
        task: key(BEST_EFFORT, 0),
        response,
    });

    assert_eq!(speed_limit_after(&mut session, 10), Some(100));
}

fn submission(job: &str, step: Step) -> Arc<Submission> {
    Arc::new(Submission {
        job: JobName::from(job),
        queue: queue(),
        accepted: UnixMillis(999_000),
        spec: JobSpec { payload: "text".into(), steps: vec![step], schedule: None },
        caller: None,
    })
}

fn assigned(task: TaskKey) -> Record {
    Record::Assigned { task, run: 1, executor: ExecutorName::from("e1") }
}

/// The leader is replaced while a best-effort task is halted. The next leader does not know the
/// limit; if it assumed full speed, it would never lift the limit.
#[test]
fn a_new_leader_orders_the_speed_limit_again() {
    let mut ledger = Ledger::default();
    for (job, step) in [(SERVER, serving_step()), (BEST_EFFORT, best_effort_step())] {
        ledger.submit(submission(job, step));
        ledger.apply(&assigned(key(job, 0)));
    }
    let mut session = Session::with_ledger(&[], ledger);
    session.handle(Event::RegistrationsListed(vec![support::session::registration("e1")]));
    session.advance(60);

    let limit = speed_limit_after(&mut session, 10);

    assert_eq!(limit, Some(100));
}
