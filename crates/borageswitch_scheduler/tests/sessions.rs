//! Short sessions with the scheduler, event by event.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{
    effect::{Effect, HostOrder},
    event::{Event, HostAnswer, LookAnswer, OrderAnswer, StartAnswer},
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
    session::{Session, acknowledgements, active, done, host, key, lasting, step, stops},
};

#[test]
fn an_end_is_acknowledged_only_after_it_is_stored() {
    // The store is slow. An executor lists an end, and lists it once more before it is stored. Once
    // acknowledged it forgets the end; if the leader then dies, the task is run a second time.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(1), Step { after: vec![0], ..step(1) }]);
    assert_eq!(session.store_and_start().len(), 1);
    let end = done(1, &key("j", 0));
    session.report("e1", &[], std::slice::from_ref(&end), 0);
    session.pass(1_500);
    session.report("e1", &[], &[end], 0);

    let before = session.pass(1_500);

    assert!(acknowledgements(&before).iter().all(|ack| *ack == 0), "{before:?}");
}

#[test]
fn a_wave_of_cancellings_fits_the_stores_limit() {
    // Forty callers cancel in the same moment. One call to the store takes 32 entries; a larger one
    // is refused for ever, and with it everything that waits behind it.
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
        for effect in session.pass(50) {
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
fn a_task_on_a_silent_executor_does_not_count_as_at_work() {
    // Two tasks serve the same users and one may be away. The host of one has fallen silent a
    // second ago; the other's is due for maintenance. Counting on the silent one would leave the
    // users with neither.
    let mut session = Session::new(&["e1", "e2", "e3"]);
    session.submit("l", vec![lasting(2)]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 2);
    let (silent, due) = (started[0].0.clone(), started[1].0.clone());
    session.now += 500;
    session.report(due.as_str(), &[active(&started[1].1)], &[], 0);
    session.report(silent.as_str(), &[active(&started[0].1)], &[], 0);
    session.look_answered(silent.as_str(), LookAnswer::Lost, 0);
    let wave = WaveRequest {
        wave: 1,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::Wave(wave));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![host("h", due.as_str())])));

    let effects = session.pass(60);

    assert_eq!(stops(&effects), 0, "{effects:?}");
}

#[test]
fn tasks_that_may_not_leave_together_stay_until_there_is_another_host() {
    // Two tasks that serve the same users share the only host of their pool, which is due for
    // maintenance; one of them may be away. Stopped although it has nowhere to go, the first can
    // neither come back to a host that is being emptied nor let the second follow: its users have
    // one task less for the rest of the day.
    let mut session = Session::new(&["e1"]);
    session.submit("l", vec![Step { max_per_host: None, ..lasting(2) }]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 2);
    session.now += 500;
    session.report("e1", &[active(&started[0].1), active(&started[1].1)], &[], 0);
    session.handle(wave_over(&["h"], 1));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![host("h", "e1")])));

    let effects: Vec<Effect> = (0..10).flat_map(|_| session.pass(60)).collect();

    assert_eq!(stops(&effects), 0, "{effects:?}");
}

#[test]
fn a_host_that_is_off_is_maintained_at_once() {
    // A host without an executor has nothing to be emptied of. Waited for, it made its wave late.
    let mut session = Session::new(&["e1"]);
    let off = HostEntry { executor: None, ..host("h", "none") };
    let wave = WaveRequest {
        wave: 7,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::Wave(wave));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![off])));

    let mut orders = Vec::new();
    for _ in 0..3 {
        for effect in session.pass(60) {
            match effect {
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::Host(host, order) => orders.push((host, order)),
                _ => {}
            }
        }
    }

    assert_eq!(orders, [(HostName::from("h"), HostOrder::Maintain(7))]);
}

#[test]
fn a_host_that_may_not_be_ordered_yet_goes_on_working() {
    // A new leader finds that its predecessor has just ordered a host about, so it may not order it
    // for some seconds. Emptied already, the host would stand idle all that time, in the middle of
    // its pool's rush.
    let mut ledger = Ledger::default();
    ledger.apply(&Record::HostOrdered { host: HostName::from("h") });
    let mut session = Session::with_ledger(&["e1"], ledger);
    let wave = WaveRequest {
        wave: 1,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::Wave(wave));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![host("h", "e1")])));
    session.pass(60);

    session.submit("j", vec![step(1)]);

    assert_eq!(session.store_and_start().len(), 1);
}

#[test]
fn nothing_is_placed_beside_a_run_that_nobody_wants() {
    // After a change of leader an executor that guards nothing still runs a task of a job that has
    // ended. Its room is not known; filled up all the same, the executor would be over its capacity.
    let mut session = Session::new(&["e1"]);
    session.report("e1", &[active(&key("gone", 0))], &[], 0);

    session.submit("j", vec![step(1)]);
    let started = session.store_and_start();

    assert!(started.is_empty(), "{started:?}");
}

#[test]
fn a_start_without_an_answer_is_barred_before_the_task_runs_elsewhere() {
    // The order may be carried out seconds later. Started elsewhere at once, the task would run
    // twice.
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("j", vec![step(1)]);
    for effect in session.pass(50) {
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
        answer: StartAnswer::Lost,
    });
    session.now += 10;
    session.report(executor.as_str(), &[], &[], 0);

    let effects = session.pass(60);

    assert_eq!(stops(&effects), 1, "{effects:?}");
    assert!(session.store_and_start().is_empty());
    let answer = OrderAnswer::Done;
    session.handle(Event::StopAnswered { executor: executor.clone(), task, run: 1, answer });
    session.now += 10;
    session.report(executor.as_str(), &[], &[], 0);
    assert_eq!(session.store_and_start().len(), 1);
}

fn wave_over(hosts: &[&str], max_down: u32) -> Event {
    Event::Wave(WaveRequest {
        wave: 1,
        hosts: hosts.iter().map(|host| HostName::from(*host)).collect(),
        allowed: Duration::from_secs(20),
        max_down,
    })
}

/// Stores what there is to store, and gives the hosts that get an order, for so many milliseconds.
fn ordered_hosts(session: &mut Session, millis: u64) -> Vec<HostName> {
    let mut orders = Vec::new();
    for _ in 0..millis / 50 {
        for effect in session.pass(50) {
            match effect {
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::Host(host, _) => orders.push(host),
                _ => {}
            }
        }
    }
    orders
}

/// The ledger of a leader that had an order for `h` answered and went on for so long.
fn ledger_with_order(settled_for: u64) -> Ledger {
    let mut ledger = Ledger::default();
    let host = HostName::from("h");
    ledger.apply(&Record::HostOrdered { host: host.clone() });
    ledger.apply(&Record::HostOrderAnswered { host, millis: 7_000 });
    ledger.apply(&Record::TermTime { millis: 7_000 + settled_for });
    ledger
}

/// The hosts that a new leader sends into maintenance in its first half second.
fn ordered_at_once(ledger: Ledger) -> Vec<HostName> {
    let mut session = Session::with_ledger(&["e1"], ledger);
    session.handle(wave_over(&["h"], 1));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![host("h", "e1")])));
    ordered_hosts(&mut session, 500)
}

#[test]
fn a_new_leader_orders_hosts_whose_last_order_is_old() {
    // Daemons are restarted in turn while the load moves from pool to pool. Nearly every host was
    // moved a while ago. A leader that left them all alone for seconds after each change would keep
    // the pool that has its turn at the few hosts it has, and its callers' jobs would be late.
    let long_ago = ledger_with_order(3_600);

    let orders = ordered_at_once(long_ago);

    assert_eq!(orders, [HostName::from("h")]);
}

#[test]
fn a_new_leader_leaves_alone_what_was_ordered_of_late() {
    // The last leader had an order for a host answered and died within the second. Ordered about
    // again at once, the host would follow two leaders in turn.
    let just_now = ledger_with_order(900);

    let orders = ordered_at_once(just_now);

    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn a_task_on_a_host_that_the_last_leader_ordered_about_does_not_count_as_at_work() {
    // A leader has sent a host into maintenance and is restarted before the answer comes. Its
    // successor hears from the host's executor just before it ends, and empties the host of the
    // other task of the same step: both are away, and the users of the two are without service.
    let mut ledger = Ledger::default();
    ledger.apply(&Record::HostOrdered { host: HostName::from("h1") });
    let mut session = Session::with_ledger(&["e1", "e2", "e3"], ledger);
    session.submit("l", vec![lasting(2)]);
    let started = session.store_and_start();
    let (first, second) = (started[0].0.clone(), started[1].0.clone());
    session.handle(wave_over(&["h2"], 1));
    session.pass(60);
    let hosts = vec![host("h1", first.as_str()), host("h2", second.as_str())];
    session.handle(Event::Hosts(Some(hosts)));
    let mut stops_within = |millis: u64| {
        let mut found = 0;
        for _ in 0..millis / 500 {
            session.report(first.as_str(), &[active(&started[0].1)], &[], 0);
            session.report(second.as_str(), &[active(&started[1].1)], &[], 0);
            found += stops(&session.pass(500));
        }
        found
    };

    assert_eq!(stops_within(3_000), 0);
    assert!(stops_within(1_500) > 0);
}

#[test]
fn the_age_of_an_order_outlives_a_leader_without_any() {
    // One leader orders a host about and dies; the next one dies a second later, without an order of
    // its own. The third must not take the second's short term for the age of the order.
    let mut ledger = ledger_with_order(900);
    ledger.apply(&Record::TermBegan);
    ledger.apply(&Record::TermTime { millis: 1_000 });

    let orders = ordered_at_once(ledger);

    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn a_host_that_the_last_leader_ordered_about_counts_as_away() {
    // A leader has ordered a host into maintenance and died; the order may still be on its way. Its
    // successor sees the host up. Sending another one now, there would be two away where the
    // operator allows one.
    let mut ledger = Ledger::default();
    ledger.apply(&Record::HostOrdered { host: HostName::from("h1") });
    let mut session = Session::with_ledger(&["e1", "e2"], ledger);
    session.handle(wave_over(&["h1", "h2"], 1));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![host("h1", "e1"), host("h2", "e2")])));

    let orders = ordered_hosts(&mut session, 2_000);

    assert!(orders.is_empty(), "{orders:?}");
}

#[test]
fn a_host_that_is_busy_is_not_ordered_all_the_time() {
    // The platform calls a host busy that is about to leave, for as long as it takes. An order at
    // every look would cost a write and a call each, several times a second.
    let mut session = Session::new(&["e1"]);
    session.handle(wave_over(&["h"], 1));
    session.pass(60);
    session.handle(Event::Hosts(Some(vec![host("h", "e1")])));
    let mut orders = 0;
    for _ in 0..40 {
        for host in ordered_hosts(&mut session, 50) {
            orders += 1;
            session.handle(Event::HostAnswered { host, answer: HostAnswer::Busy });
        }
    }

    assert!((1..=5).contains(&orders), "{orders} orders in two seconds");
}

fn looks(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Look(..))).count()
}

#[test]
fn a_slow_store_does_not_hide_what_ends_meanwhile() {
    // The store takes a third of a second for each append while a pool is in its rush. An executor
    // that is not looked at until its last end is stored seems as full as before, and the tasks that
    // wait for its room are late.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(2)]);
    assert_eq!(session.store_and_start().len(), 2);
    session.report("e1", &[active(&key("j", 1))], &[done(1, &key("j", 0))], 0);
    let first = session.pass(50);
    assert!(first.iter().any(|effect| matches!(effect, Effect::Append { .. })), "{first:?}");

    let effects: Vec<Effect> = (0..5).flat_map(|_| session.pass(50)).collect();

    assert_eq!(looks(&effects), 1, "{effects:?}");
}

#[test]
fn a_job_whose_order_never_left_still_waits() {
    // A leader stores where it will start a job and is deposed before the order leaves. Whoever
    // watches the queue must not be told that nothing waits in it: the job runs nowhere.
    let mut session = Session::new(&["e1"]);
    session.submit("j", vec![step(1)]);
    let records: Vec<Record> = session.pass(50).into_iter().flat_map(records_of).collect();
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
