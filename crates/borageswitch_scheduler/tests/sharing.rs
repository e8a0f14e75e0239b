//! Tasks that fill gaps beside tasks that serve users, on one host.

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

/// Both kinds on the only host, at work.
fn session() -> Session {
    let mut session = Session::new(&["e1"]);
    session.submit(SERVER, vec![serving_step()]);
    session.submit(BEST_EFFORT, vec![best_effort_step()]);
    assert_eq!(session.store_and_start().len(), 2);
    session.now += 100;
    session
}

/// The host reports a tail of the serving task; gives the pace that is then ordered.
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

/// The tail of a serving task is over its target, so what fills gaps beside it stands still. Then
/// the serving task is cancelled. Left at its pace, the other would do nothing for ever, although
/// there is nobody left whom it could disturb.
#[test]
fn what_fills_gaps_is_let_go_when_nobody_is_served_beside_it() {
    let mut session = session();
    while speed_limit_after(&mut session, 300) != Some(0) {}

    session.report("e1", &[active_run(BEST_EFFORT, 0)], &[], 0);

    assert_eq!(ordered_speed_limit(&mut session), Some(100));
}

/// An order to go on at a pace gets no answer and was not carried out. Believed to be at full
/// speed, the task would be left where it is and its owner would see it stand still.
#[test]
fn a_pace_that_may_not_have_arrived_is_ordered_again() {
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
        spec: JobSpec { text: "text".into(), steps: vec![step], schedule: None },
        caller: None,
    })
}

fn assigned(task: TaskKey) -> Record {
    Record::Assigned { task, run: 1, executor: ExecutorName::from("e1") }
}

/// The leader is replaced while a task stands still beside one that serves. Its successor does not
/// know of the pace; taken for full speed, it would never be raised.
#[test]
fn a_new_leader_sets_the_pace_anew() {
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
