//! Starts that come to nothing are not repeated without a bound.

mod support;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, OrderResponse, StartResponse},
    job::Step,
};
use borageswitch_types::Time;
use support::session::{Session, step};

/// For how long starts are answered, in milliseconds.
const TEST_DURATION: u64 = 10_000;
/// How many starts of one task that is for ten seconds at the most: two at once, five with growing
/// pauses, and one a second.
const MAX_STARTS: usize = 2 + 5 + 10;

/// How often the tasks of a job are started while each start is answered like this.
fn count_starts(response: StartResponse, steps: Vec<Step>) -> usize {
    let mut session = Session::new(&["e1", "e2", "e3"]);
    session.submit("j", steps);
    let mut starts = 0;
    for _ in 0..TEST_DURATION / 20 {
        for effect in session.advance(20) {
            match effect {
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::Start(to, order) => {
                    starts += 1;
                    let clock_ms = (response != StartResponse::Lost).then_some(session.now);
                    session.handle(Event::StartAnswered {
                        executor: to.executor,
                        task: order.task,
                        run: order.run,
                        sent: Time::from_millis(session.now),
                        clock_ms,
                        response,
                    });
                }
                Effect::Stop(to, task, run) => session.handle(Event::StopAnswered {
                    executor: to.executor,
                    task,
                    run,
                    response: OrderResponse::Done,
                }),
                Effect::Poll(to, _) => session.report(to.executor.as_str(), &[], &[], 0),
                _ => {}
            }
        }
    }
    starts
}

#[test]
fn a_start_that_every_executor_refuses_is_repeated_with_pauses() {
    // Guards against one order that nobody can carry out and that fills the store and all executors.
    let refusals = [
        StartResponse::Malformed,
        StartResponse::Outdated,
        StartResponse::Late,
        StartResponse::NoRoom,
        StartResponse::Unhealthy,
        StartResponse::NotSent,
        StartResponse::Lost,
    ];
    for refusal in refusals {
        let starts = count_starts(refusal, vec![step(1)]);

        assert!((2..=MAX_STARTS).contains(&starts), "{refusal}: {starts} starts");
    }
}

#[test]
fn a_gang_that_is_refused_is_repeated_with_pauses() {
    let gang = Step { gang: true, ..step(3) };

    let starts = count_starts(StartResponse::Outdated, vec![gang]);

    assert!((6..=3 * MAX_STARTS).contains(&starts), "{starts} starts");
}
