//! Gangs: tasks that make progress only while all of them run.

mod support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{Config, Pool},
    effect::{Effect, HostOrder},
    event::Event,
    executor::{ActiveRun, EndKind, EndedRun},
    fleet::HostEntry,
    job::Step,
    ledger::{Ledger, record::Record},
    reducer::view::JobStatus,
    task::TaskKey,
};
use borageswitch_types::names::{ExecutorName, HostName, JobName, PoolName};
use support::{
    fixtures::{config, cores, queue},
    session::{Session, active, done, host, key, step, stop_count},
};

/// A gang whose members each need most of a host.
fn gang(count: u32) -> Step {
    Step { gang: true, size: cores(5), label: Some("a".into()), ..step(count) }
}

/// A pool of executors that are always full of small tasks. When one ends, another one waits.
struct BusyPool {
    session: Session,
    running: BTreeMap<String, Vec<TaskKey>>,
    ends: BTreeMap<String, u64>,
    jobs: u32,
}

impl BusyPool {
    fn new(executors: &[&str]) -> Self {
        let running = executors.iter().map(|name| ((*name).to_owned(), Vec::new())).collect();
        let mut busy =
            Self { session: Session::new(executors), running, ends: BTreeMap::new(), jobs: 0 };
        for _ in 0..executors.len() * 8 {
            busy.submit_small_job();
        }
        busy.start();
        busy
    }

    fn submit_small_job(&mut self) {
        self.jobs += 1;
        self.session.submit(&format!("small-{}", self.jobs), vec![step(1)]);
    }

    /// Starts the ordered runs and returns how many of them are gang members.
    fn start(&mut self) -> usize {
        let mut members = 0;
        for (executor, task) in self.session.store_and_start() {
            members += usize::from(task.job.as_str().starts_with("gang"));
            if let Some(running) = self.running.get_mut(executor.as_str()) {
                running.push(task);
            }
        }
        members
    }

    /// Ends the oldest small task of each executor and submits as many new jobs.
    fn replace_oldest_tasks(&mut self) {
        for (executor, running) in &mut self.running {
            if running.is_empty() {
                continue;
            }
            let number = self.ends.entry(executor.clone()).or_default();
            *number += 1;
            let ended = done(*number, &running.remove(0));
            let left: Vec<_> = running.iter().map(active).collect();
            self.session.report(executor, &left, &[ended], *number - 1);
        }
        for _ in 0..self.running.len() {
            self.submit_small_job();
        }
    }
}

#[test]
fn a_gang_starts_although_small_tasks_take_all_free_capacity() {
    // Two hosts are full of small tasks, and for each that ends another one waits. A gang needs
    // most of both hosts at once. Without a reservation it would never start.
    let mut busy = BusyPool::new(&["e1", "e2"]);
    busy.session.submit("gang", vec![gang(2)]);
    busy.start();

    let mut members = 0;
    for _ in 0..30 {
        busy.replace_oldest_tasks();
        members += busy.start();
    }

    assert_eq!(members, 2);
}

#[test]
fn two_gangs_do_not_each_reserve_half_of_what_they_need() {
    // Two gangs arrive together, and each needs both hosts. With one host reserved for each gang,
    // neither could start, nor could the small tasks that are kept off the hosts.
    let mut busy = BusyPool::new(&["e1", "e2"]);
    busy.session.submit("gang-1", vec![gang(2)]);
    busy.session.submit("gang-2", vec![gang(2)]);

    let mut members = 0;
    for _ in 0..60 {
        busy.replace_oldest_tasks();
        members += busy.start();
    }

    assert!(members >= 2, "{members} members were started");
}

#[test]
fn a_gang_gets_one_host_for_each_member_that_needs_its_own() {
    // A pool has four idle hosts with a label. The five members of a gang need one host each,
    // although the cores of four hosts would suffice for all five. If standby hosts were requested
    // by cores alone, none would come, and the job would wait forever beside idle hosts.
    let up = ["e1", "e2", "e3", "e4"];
    let mut session = Session::with_config(&up, Ledger::default(), config_with_standby_pool());
    session.submit("gang", vec![gang(5)]);

    let mut moved = Vec::new();
    for _ in 0..30 {
        for effect in session.advance(100) {
            match effect {
                Effect::ListHosts { .. } => {
                    let mut hosts: Vec<_> = up.iter().map(|e| host(&format!("h-{e}"), e)).collect();
                    hosts.push(standby_host("h-off"));
                    session.list_hosts(hosts);
                }
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::OrderHost(host, HostOrder::Move(pool)) => moved.push((host, pool)),
                _ => {}
            }
        }
    }

    assert_eq!(moved.first(), Some(&(HostName::from("h-off"), PoolName::from("payroll"))));
}

#[test]
fn an_incomplete_gang_is_stopped_although_its_pool_is_full() {
    // One member of a gang fails to start while small tasks fill the pool and more of them wait.
    // If the other member were left running, it would waste its capacity until it times out.
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("gang", vec![gang(2)]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 2);
    // Short tasks have earlier deadlines than the gang, so they start first.
    let short = Step { estimate: Duration::from_millis(10), ..step(1) };
    for job in 0..40 {
        session.submit(&format!("small-{job}"), vec![short.clone()]);
    }
    session.store_and_start();
    let (executor, lost) = &started[1];
    let failed = EndedRun { how: EndKind::Failed, ..done(1, lost) };
    session.report(executor.as_str(), &[], &[failed], 0);

    let effects = session.settle();

    assert!(stop_count(&effects) >= 1, "{effects:?}");
}

/// A lasting gang of two members, each on an executor of its own, that runs.
fn running_lasting_gang() -> Session {
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("gang", vec![Step { lasting: true, ..gang(2) }]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 2);
    for (executor, task) in &started {
        session.report(executor.as_str(), &[active(task)], &[], 0);
    }
    session
}

fn executor_of(session: &Session, index: u32) -> String {
    let state = session.scheduler.ledger().task(&key("gang", index)).unwrap();
    state.assigned.as_ref().unwrap().executor.as_str().to_owned()
}

#[test]
fn a_lasting_gang_starts_again_after_its_runs_are_done() {
    // Guards against a lasting job that is shown as completed and never started again.
    let mut session = running_lasting_gang();
    let executors = [executor_of(&session, 0), executor_of(&session, 1)];

    let mut started = Vec::new();
    for (index, executor) in (0..).zip(&executors) {
        session.report(executor, &[], &[done(1, &key("gang", index))], 0);
        started.extend(session.store_and_start());
    }
    for _ in 0..4 {
        started.extend(session.store_and_start());
    }

    assert_eq!(started.len(), 2, "{started:?}");
    let status = session.scheduler.status(&queue().name, &JobName::from("gang"));
    assert_eq!(status, Some(JobStatus::Running));
}

#[test]
fn a_lasting_gang_starts_again_under_the_next_leader() {
    // Guards against a new leader that completes a lasting gang by an end that its predecessor stored.
    let mut session = running_lasting_gang();
    let executors = [executor_of(&session, 0), executor_of(&session, 1)];
    session.report(&executors[0], &[], &[done(1, &key("gang", 0))], 0);
    session.advance(20);
    let ledger = session.scheduler.ledger().clone();
    let mut next = Session::without_reports(&["e1", "e2"], ledger);
    next.report(&executors[0], &[], &[], 1);
    next.report(&executors[1], &[], &[done(1, &key("gang", 1))], 0);

    let mut started = Vec::new();
    for _ in 0..4 {
        started.extend(next.store_and_start());
    }

    assert_eq!(started.len(), 2, "{started:?}");
}

#[test]
fn a_late_end_of_an_earlier_run_stops_no_lasting_task() {
    // Guards against stopping a lasting task because an earlier run of it is listed as done.
    let task = key("l", 0);
    let (e1, e2) = (ExecutorName::from("e1"), ExecutorName::from("e2"));
    let lasting = Step { lasting: true, ..step(1) };
    let mut session = Session::without_reports(&[], Ledger::default());
    session.submit("l", vec![lasting]);
    let mut ledger = session.scheduler.ledger().clone();
    ledger.apply(&Record::Assigned { task: task.clone(), run: 1, executor: e1 });
    ledger.apply(&Record::Released { task: task.clone(), run: 1 });
    ledger.apply(&Record::Assigned { task: task.clone(), run: 2, executor: e2 });
    let mut session = Session::without_reports(&["e1", "e2"], ledger);
    session.report("e2", &[ActiveRun { run: 2, ..active(&task) }], &[], 0);

    session.report("e1", &[], &[done(1, &task)], 0);
    let effects = session.advance(60);

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}

fn config_with_standby_pool() -> Arc<Config> {
    let mut config = (*config(true)).clone();
    let off = PoolName::from("off");
    let pool = Pool { name: off.clone(), enforces_capacity: true, standby: true };
    config.pools.insert(off, pool);
    Arc::new(config)
}

fn standby_host(name: &str) -> HostEntry {
    HostEntry { pool: PoolName::from("off"), executor: None, ..host(name, "none") }
}
