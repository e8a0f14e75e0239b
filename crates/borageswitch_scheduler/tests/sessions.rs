//! Sessions with the scheduler, driven event by event.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{
    effect::{Effect, HostOrder},
    event::{Event, HostOrderResponse, OrderResponse, PollResponse, StartResponse},
    fleet::{HostEntry, WaveRequest},
    job::Step,
    ledger::{Ledger, record::Record},
};
use borageswitch_types::{
    Time,
    names::{HostName, JobName},
};
use support::{
    fixtures::queue,
    session::{
        Session, acknowledgements, active, done, host, key, lasting, step, stop_count, wave_over,
    },
};

#[test]
fn an_end_is_acknowledged_only_after_it_is_stored() {
    // The store is slow, and an executor reports an end twice before it is stored. An executor
    // forgets acknowledged ends. If the leader crashed after an early acknowledgement, the next one
    // would run the task again.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(1), Step { after: vec![0], ..step(1) }]);
    assert_eq!(session.store_and_start().len(), 1);
    let end = done(1, &key("j", 0));
    session.report("e1", &[], std::slice::from_ref(&end), 0);
    session.advance(1_500);
    session.report("e1", &[], &[end], 0);

    let before = session.advance(1_500);

    assert!(acknowledgements(&before).iter().all(|ack| *ack == 0), "{before:?}");
}

#[test]
fn a_burst_of_cancellations_respects_the_entry_limit_of_the_store() {
    // Forty jobs are cancelled at once. The store accepts at most 32 entries in one call. A larger
    // one is always rejected and would block all later appends.
    let mut session = Session::new(&["e1"]);
    for number in 0..40 {
        session.submit(&format!("{number:016x}"), vec![step(1)]);
    }
    session.store_and_start();
    for number in 0..40 {
        session.handle(Event::Cancelled(JobName::from(format!("{number:016x}"))));
    }

    let mut forgotten = 0;
    for _ in 0..10 {
        for effect in session.advance(50) {
            if let Effect::Append { append, forget, .. } = effect {
                assert!(forget.len() * 2 + 3 <= 32, "{} jobs in one append", forget.len());
                forgotten += forget.len();
                session.handle(Event::Appended { append });
            }
        }
    }

    assert_eq!(forgotten, 40);
}

#[test]
fn a_task_on_an_unreachable_executor_does_not_count_as_available() {
    // A step has two lasting tasks, of which one may be unavailable. The executor of one stopped
    // responding; the host of the other is due for maintenance. If the first counted as available,
    // both tasks would be down.
    let mut session = Session::new(&["e1", "e2", "e3"]);
    session.submit("l", vec![lasting(2)]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 2);
    let (unreachable, due) = (started[0].0.clone(), started[1].0.clone());
    session.now += 500;
    session.report(due.as_str(), &[active(&started[1].1)], &[], 0);
    session.report(unreachable.as_str(), &[active(&started[0].1)], &[], 0);
    session.poll_answered(unreachable.as_str(), PollResponse::Lost, 0);
    let wave = WaveRequest {
        wave: 1,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::WaveRequested(wave));
    session.advance(60);
    session.list_hosts(vec![host("h", due.as_str())]);

    let effects = session.advance(60);

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}

#[test]
fn lasting_tasks_on_one_host_stay_until_there_is_another_host() {
    // Two lasting tasks, of which one may be unavailable, share the only host of their pool, which
    // is due for maintenance. If the first were stopped without another host for it, it could not
    // return to the draining host, and the second could not be stopped either: the step would have
    // one task less until another host comes.
    let mut session = Session::new(&["e1"]);
    session.submit("l", vec![Step { max_per_host: None, ..lasting(2) }]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 2);
    session.now += 500;
    session.report("e1", &[active(&started[0].1), active(&started[1].1)], &[], 0);
    session.handle(wave_over(&["h"], 1));
    session.advance(60);
    session.list_hosts(vec![host("h", "e1")]);

    let effects: Vec<Effect> = (0..10).flat_map(|_| session.advance(60)).collect();

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}

#[test]
fn a_host_without_an_executor_is_maintained_at_once() {
    // A host without an executor needs no drain. Waiting for one delayed its wave.
    let mut session = Session::new(&["e1"]);
    let off = HostEntry { executor: None, ..host("h", "none") };
    let wave = WaveRequest {
        wave: 7,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::WaveRequested(wave));
    session.advance(60);
    session.list_hosts(vec![off, host("h1", "e1")]);

    let mut orders = Vec::new();
    for _ in 0..3 {
        for effect in session.advance(60) {
            match effect {
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::OrderHost(host, order) => orders.push((host, order)),
                _ => {}
            }
        }
    }

    assert_eq!(orders, [(HostName::from("h"), HostOrder::Maintain(7))]);
}

#[test]
fn a_host_that_may_not_be_ordered_yet_keeps_accepting_tasks() {
    // The previous leader has just sent an order for a host, so a new leader must not send another
    // for some seconds. If the host were drained already, it would be idle for that time, possibly
    // during a load peak of its pool.
    let mut ledger = Ledger::default();
    ledger.apply(&Record::HostOrdered { host: HostName::from("h") });
    let mut session = Session::with_ledger(&["e1"], ledger);
    let wave = WaveRequest {
        wave: 1,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::WaveRequested(wave));
    session.advance(60);
    session.list_hosts(vec![host("h", "e1")]);
    session.advance(60);

    session.submit("j", vec![step(1)]);

    assert_eq!(session.store_and_start().len(), 1);
}

#[test]
fn nothing_is_placed_beside_an_orphan_run() {
    // After a change of leader an executor still runs a task of a job that has ended. The size of
    // that run is unknown, so another run might exceed the capacity of the executor.
    let mut session = Session::new(&["e1"]);
    session.report("e1", &[active(&key("gone", 0))], &[], 0);

    session.submit("j", vec![step(1)]);
    let started = session.store_and_start();

    assert!(started.is_empty(), "{started:?}");
}

#[test]
fn a_start_without_a_response_is_stopped_before_the_task_runs_elsewhere() {
    // The order may be carried out seconds later. If the task were started elsewhere at once, it
    // would run twice.
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("j", vec![step(1)]);
    for effect in session.advance(50) {
        if let Effect::Append { append, .. } = effect {
            session.handle(Event::Appended { append });
        }
    }
    let task = key("j", 0);
    let sent_to = session.settle().into_iter().find_map(|effect| match effect {
        Effect::Start(to, _) => Some(to.executor),
        _ => None,
    });
    let executor = sent_to.unwrap();
    session.handle(Event::StartAnswered {
        executor: executor.clone(),
        task: task.clone(),
        run: 1,
        sent: Time::from_millis(session.now),
        clock_ms: None,
        response: StartResponse::Lost,
    });
    session.now += 10;
    session.report(executor.as_str(), &[], &[], 0);

    let effects = session.advance(60);

    assert_eq!(stop_count(&effects), 1, "{effects:?}");
    assert!(session.store_and_start().is_empty());
    let response = OrderResponse::Done;
    session.handle(Event::StopAnswered { executor: executor.clone(), task, run: 1, response });
    session.now += 10;
    session.report(executor.as_str(), &[], &[], 0);
    assert_eq!(session.store_and_start().len(), 1);
}

/// Runs the session for a number of milliseconds, stores all appends, and returns the hosts for
/// which orders were sent.
fn ordered_hosts(session: &mut Session, millis: u64) -> Vec<HostName> {
    let mut orders = Vec::new();
    for _ in 0..millis / 50 {
        for effect in session.advance(50) {
            match effect {
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::OrderHost(host, _) => orders.push(host),
                _ => {}
            }
        }
    }
    orders
}

/// The ledger of a leader that got a response to an order for `h` and led for `settled_for`
/// milliseconds after it.
fn ledger_with_order(settled_for: u64) -> Ledger {
    let mut ledger = Ledger::default();
    let host = HostName::from("h");
    ledger.apply(&Record::HostOrdered { host: host.clone() });
    ledger.apply(&Record::HostOrderAnswered { host, millis: 7_000 });
    ledger.apply(&Record::TermTime { millis: 7_000 + settled_for });
    ledger
}

/// The hosts that a new leader orders into maintenance within half a second.
fn ordered_at_once(ledger: Ledger) -> Vec<HostName> {
    let mut session = Session::with_ledger(&["e1"], ledger);
    session.handle(wave_over(&["h"], 1));
    session.advance(60);
    session.list_hosts(vec![host("h", "e1")]);
    ordered_hosts(&mut session, 500)
}

#[test]
fn a_new_leader_orders_hosts_whose_last_order_is_old() {
    // Daemons are restarted one after another while the load moves between pools, and nearly every
    // host was moved some time ago. If each new leader sent no orders for these hosts for seconds,
    // the pool with the load peak would get no hosts, and its jobs would be late.
    let long_ago = ledger_with_order(3_600);

    let orders = ordered_at_once(long_ago);

    assert_eq!(orders, [HostName::from("h")]);
}

#[test]
fn a_new_leader_does_not_order_hosts_whose_last_order_is_recent() {
    // The previous leader got a response to an order for a host and crashed within a second. With a
    // new order at once, the host would follow the orders of two leaders in turn.
    let just_now = ledger_with_order(900);

    let orders = ordered_at_once(just_now);

    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn a_task_on_a_host_with_an_inherited_order_does_not_count_as_available() {
    // A leader orders a host into maintenance and is restarted before the response. The executor of
    // the host still responds to the next leader just before it ends. If its task counted as
    // available, the leader would drain the host of the other task of the step, and both would be
    // down.
    let mut ledger = Ledger::default();
    ledger.apply(&Record::HostOrdered { host: HostName::from("h1") });
    let mut session = Session::with_ledger(&["e1", "e2", "e3"], ledger);
    session.submit("l", vec![lasting(2)]);
    let started = session.store_and_start();
    let (first, second) = (started[0].0.clone(), started[1].0.clone());
    session.handle(wave_over(&["h2"], 1));
    session.advance(60);
    let hosts = vec![host("h1", first.as_str()), host("h2", second.as_str())];
    session.list_hosts(hosts);
    let mut stops_within = |millis: u64| {
        let mut found = 0;
        for _ in 0..millis / 500 {
            session.report(first.as_str(), &[active(&started[0].1)], &[], 0);
            session.report(second.as_str(), &[active(&started[1].1)], &[], 0);
            found += stop_count(&session.advance(500));
        }
        found
    };

    assert_eq!(stops_within(3_000), 0);
    assert!(stops_within(1_500) > 0);
}

#[test]
fn the_age_of_an_order_survives_a_leader_without_orders() {
    // A leader sends an order for a host and crashes. The next one crashes a second later without
    // an order of its own. The third must not mistake that short term for the age of the order.
    let mut ledger = ledger_with_order(900);
    ledger.apply(&Record::TermBegan);
    ledger.apply(&Record::TermTime { millis: 1_000 });

    let orders = ordered_at_once(ledger);

    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn a_host_with_an_inherited_order_counts_as_down() {
    // A leader orders a host into maintenance and crashes; the order may still arrive. The next
    // leader sees the host up. If it ordered another host now, two hosts might be down where the
    // operator allows one.
    let mut ledger = Ledger::default();
    ledger.apply(&Record::HostOrdered { host: HostName::from("h1") });
    let mut session = Session::with_ledger(&["e1", "e2"], ledger);
    session.handle(wave_over(&["h1", "h2"], 1));
    session.advance(60);
    session.list_hosts(vec![host("h1", "e1"), host("h2", "e2")]);

    let orders = ordered_hosts(&mut session, 2_000);

    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn orders_for_a_busy_host_are_limited() {
    // The platform reports a host as busy until it has left. An order at each check would cost a
    // write and a call several times a second.
    let mut session = Session::new(&["e1"]);
    session.handle(wave_over(&["h"], 1));
    session.advance(60);
    session.list_hosts(vec![host("h", "e1")]);
    let mut orders = 0;
    for _ in 0..40 {
        for host in ordered_hosts(&mut session, 50) {
            orders += 1;
            session.handle(Event::HostOrderAnswered { host, response: HostOrderResponse::Busy });
        }
    }

    assert!((1..=5).contains(&orders), "{orders} orders in two seconds");
}

fn poll_count(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Poll(..))).count()
}

#[test]
fn polls_continue_while_the_store_is_slow() {
    // The store takes a third of a second for each append during a load peak. If an executor were
    // not polled until its last end is stored, it would seem full, and the tasks that wait for its
    // capacity would be late.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(2)]);
    assert_eq!(session.store_and_start().len(), 2);
    session.report("e1", &[active(&key("j", 1))], &[done(1, &key("j", 0))], 0);
    let first = session.advance(50);
    assert!(first.iter().any(|effect| matches!(effect, Effect::Append { .. })), "{first:?}");

    let effects: Vec<Effect> = (0..5).flat_map(|_| session.advance(50)).collect();

    assert_eq!(poll_count(&effects), 1, "{effects:?}");
}

#[test]
fn a_job_whose_start_was_not_sent_counts_as_pending() {
    // The term of a leader ends after it stored the assignment of a task and before it sent the
    // order. The job runs nowhere, so the queue must not be reported as empty.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(1)]);
    let records: Vec<Record> = session.advance(50).into_iter().flat_map(records_of).collect();
    let mut ledger = session.scheduler.ledger().clone();
    records.iter().for_each(|record| ledger.apply(record));
    let assigned = |record: &Record| matches!(record, Record::Assigned { .. });
    assert!(records.iter().any(assigned), "{records:?}");

    let mut successor = Session::with_ledger(&["e1"], ledger);

    assert_eq!(successor.scheduler.pending(&queue().name), 1);
    assert_eq!(successor.store_and_start().len(), 1);
    assert_eq!(successor.scheduler.pending(&queue().name), 0);
}

fn records_of(effect: Effect) -> Vec<Record> {
    match effect {
        Effect::Append { records, .. } => records,
        _ => Vec::new(),
    }
}
