//! Tasks that work only together, among others.

mod support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{Config, Pool},
    effect::{Effect, HostOrder},
    event::Event,
    executor::{EndKind, EndedRun},
    fleet::HostEntry,
    job::Step,
    ledger::Ledger,
    task::TaskKey,
};
use borageswitch_types::names::{HostName, PoolName};
use support::{
    fixtures::{config, cores},
    session::{Session, active, done, host, step, stops},
};

/// A gang whose members take most of a host each.
fn gang(count: u32) -> Step {
    Step { gang: true, size: cores(5), label: Some("a".into()), ..step(count) }
}

/// Small tasks that take each other's places on executors that are always full.
struct Rush {
    session: Session,
    running: BTreeMap<String, Vec<TaskKey>>,
    ends: BTreeMap<String, u64>,
    jobs: u32,
}

impl Rush {
    fn new(executors: &[&str]) -> Self {
        let running = executors.iter().map(|name| ((*name).to_owned(), Vec::new())).collect();
        let mut rush =
            Self { session: Session::new(executors), running, ends: BTreeMap::new(), jobs: 0 };
        for _ in 0..executors.len() * 8 {
            rush.hand_in();
        }
        rush.start();
        rush
    }

    fn hand_in(&mut self) {
        self.jobs += 1;
        self.session.submit(&format!("small-{}", self.jobs), vec![step(1)]);
    }

    /// Starts what is ordered; gives how many members of a gang are among that.
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

    /// The oldest small task of each executor ends, and as many jobs come in.
    fn turn_over(&mut self) {
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
            self.hand_in();
        }
    }
}

#[test]
fn a_gang_starts_although_small_tasks_take_each_bit_of_room() {
    // Two hosts are full of small tasks, and for each that ends another one waits. A gang needs the
    // larger part of both at once. Nobody keeps room for it, and its caller sees a job that was
    // accepted and never starts.
    let mut rush = Rush::new(&["e1", "e2"]);
    rush.session.submit("gang", vec![gang(2)]);
    rush.start();

    let mut members = 0;
    for _ in 0..30 {
        rush.turn_over();
        members += rush.start();
    }

    assert_eq!(members, 2);
}

#[test]
fn two_gangs_do_not_each_hold_half_of_what_they_need() {
    // Two gangs come together, and each needs both hosts. If each were given one, neither could
    // start, nor could the small tasks that the hosts are kept from.
    let mut rush = Rush::new(&["e1", "e2"]);
    rush.session.submit("gang-1", vec![gang(2)]);
    rush.session.submit("gang-2", vec![gang(2)]);

    let mut members = 0;
    for _ in 0..60 {
        rush.turn_over();
        members += rush.start();
    }

    assert!(members >= 2, "{members} members were started");
}

#[test]
fn a_gang_gets_as_many_hosts_as_it_has_members_that_share_none() {
    // A pool has four hosts with a label and nothing else to do. Five members of a gang need one
    // host each, though the cores of four would be enough for all five. Hosts that are off are
    // fetched by cores alone, so none comes, and the job waits beside idle hosts for ever.
    let up = ["e1", "e2", "e3", "e4"];
    let mut session = Session::with_config(&up, Ledger::default(), with_hosts_off());
    session.submit("gang", vec![gang(5)]);

    let mut moved = Vec::new();
    for _ in 0..30 {
        for effect in session.pass(100) {
            match effect {
                Effect::ListHosts => {
                    let mut hosts: Vec<_> = up.iter().map(|e| host(&format!("h-{e}"), e)).collect();
                    hosts.push(host_off("h-off"));
                    session.handle(Event::HostsListed(Some(hosts)));
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
fn a_gang_that_lacks_a_member_is_stopped_although_its_pool_is_full() {
    // One member of a gang fails to start while small tasks fill the pool and more of them wait.
    // Left running, the other member holds its room in vain until it gives up by itself.
    let mut session = Session::new(&["e1", "e2"]);
    session.submit("gang", vec![gang(2)]);
    let started = session.store_and_start();
    assert_eq!(started.len(), 2);
    // Short ones are due before the gang, so they come first.
    let short = Step { estimate: Duration::from_millis(10), ..step(1) };
    for job in 0..40 {
        session.submit(&format!("small-{job}"), vec![short.clone()]);
    }
    session.store_and_start();
    let (executor, lost) = &started[1];
    let failed = EndedRun { how: EndKind::Failed, ..done(1, lost) };
    session.report(executor.as_str(), &[], &[failed], 0);

    let effects = session.settle();

    assert!(stops(&effects) >= 1, "{effects:?}");
}

fn with_hosts_off() -> Arc<Config> {
    let mut config = (*config(true)).clone();
    let off = PoolName::from("off");
    let pool = Pool { name: off.clone(), enforces_capacity: true, standby: true };
    config.pools.insert(off, pool);
    Arc::new(config)
}

fn host_off(name: &str) -> HostEntry {
    HostEntry { pool: PoolName::from("off"), executor: None, ..host(name, "none") }
}
