//! Requests of pools for hosts that are switched off.

mod support;

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{Caller, Config, Pool},
    effect::{Effect, HostOrder},
    event::{Event, HostOrderResponse},
    fleet::{HostEntry, HostState},
    job::Step,
    ledger::Ledger,
};
use borageswitch_types::names::{CallerName, PoolName};
use support::{
    fixtures::{config, cores},
    session::{Session, host, lasting, step},
};

/// The number of hosts, all switched off at first.
const HOSTS: usize = 12;

fn config_with_standby_pool() -> Arc<Config> {
    let mut config = Config::clone(&config(true));
    let off = PoolName::from("off");
    config.pools.insert(off.clone(), Pool { name: off, enforces_capacity: true, standby: true });
    Arc::new(config)
}

fn standby_host(number: usize) -> HostEntry {
    HostEntry { pool: PoolName::from("off"), executor: None, ..host(&format!("h{number}"), "none") }
}

/// A site whose hosts are switched off, and stay in the moving state after an order to move.
struct Site {
    session: Session,
    hosts: Vec<HostEntry>,
    ordered: usize,
}

impl Site {
    fn new(config: Arc<Config>) -> Self {
        let session = Session::with_config(&[], Ledger::default(), config);
        Self { session, hosts: (0..HOSTS).map(standby_host).collect(), ordered: 0 }
    }

    /// Runs the site for a number of milliseconds.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            for effect in self.session.advance(50) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ListHosts { .. } => self.session.list_hosts(self.hosts.clone()),
            Effect::Append { append, .. } => self.session.handle(Event::Appended { append }),
            Effect::OrderHost(name, HostOrder::Move(pool)) => {
                self.ordered += 1;
                let moved = self.hosts.iter_mut().find(|entry| entry.host == name).unwrap();
                (moved.pool, moved.state) = (pool, HostState::Moving);
                self.session.handle(Event::HostOrderAnswered {
                    host: name,
                    response: HostOrderResponse::Done,
                });
            }
            _ => {}
        }
    }
}

#[test]
fn moving_hosts_count_for_the_lasting_tasks_that_wait_for_them() {
    // The pool of four lasting tasks is empty, and four hosts are moved into it, which takes 1.5 s.
    // The platform lists them in their new pool as soon as they move. If they counted as hosts
    // without free capacity, each list would cause further moves until all hosts are switched on.
    let mut site = Site::new(config_with_standby_pool());
    site.run(3_000);
    site.session.submit("j", vec![lasting(4)]);

    site.run(3_000);

    assert_eq!(site.ordered, 4);
}

#[test]
fn tasks_without_a_matching_host_do_not_use_up_the_quota_of_their_caller() {
    // A caller has a quota of four cores. Ten of its tasks wait for a label that no host has, and two
    // that any host could run wait for a host to be switched on. If the quota were reserved for the
    // ten, no host would be switched on for the two.
    let mut config = Config::clone(&config_with_standby_pool());
    let name = CallerName::from("nosipho");
    let caller = Caller { name: name.clone(), weight: 10.0, quota: cores(4) };
    config.callers.insert(name, caller);
    let mut site = Site::new(Arc::new(config));
    site.run(3_000);
    // The estimates are zero, so that the arrival rate alone requests no host.
    let any = Step { estimate: Duration::ZERO, ..step(2) };
    let labelled = Step { label: Some("x".into()), count: 10, ..any.clone() };
    site.session.submit_as("nosipho", "a", vec![labelled]);
    site.session.submit_as("nosipho", "b", vec![any]);

    site.run(1_000);

    assert!(site.ordered >= 1, "no host was requested");
}
