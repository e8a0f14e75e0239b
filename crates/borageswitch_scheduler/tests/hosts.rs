//! How many hosts a pool gets, and when.

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

/// How many hosts are off at first.
const HOSTS: usize = 12;

fn config_with_hosts_off() -> Arc<Config> {
    let mut config = Config::clone(&config(true));
    let off = PoolName::from("off");
    config.pools.insert(off.clone(), Pool { name: off, enforces_capacity: true, standby: true });
    Arc::new(config)
}

fn host_off(number: usize) -> HostEntry {
    HostEntry { pool: PoolName::from("off"), executor: None, ..host(&format!("h{number}"), "none") }
}

/// A site whose hosts are off, and stay away once they were ordered to move.
struct Site {
    session: Session,
    hosts: Vec<HostEntry>,
    ordered: usize,
}

impl Site {
    fn new(config: Arc<Config>) -> Self {
        let session = Session::with_config(&[], Ledger::default(), config);
        Self { session, hosts: (0..HOSTS).map(host_off).collect(), ordered: 0 }
    }

    /// Lets so many milliseconds pass.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            for effect in self.session.advance(50) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ListHosts => self.session.handle(Event::HostsListed(Some(self.hosts.clone()))),
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
fn hosts_that_are_on_their_way_count_for_the_lasting_tasks_that_wait_for_them() {
    // Four lasting tasks find their pool empty, and four hosts are sent for, which take a second
    // and a half. The platform lists them in their new pool as soon as they move. Taken for hosts
    // without room, they would be sent for again with each list, and the whole site would be
    // switched on for four tasks.
    let mut site = Site::new(config_with_hosts_off());
    site.run(3_000);
    site.session.submit("j", vec![lasting(4)]);

    site.run(3_000);

    assert_eq!(site.ordered, 4);
}

#[test]
fn tasks_that_find_no_host_take_nothing_from_what_their_caller_may_start_elsewhere() {
    // A caller may use four cores. Ten of its tasks wait for a label that no host has, and two that
    // any host could run wait for one to be switched on. If all that the caller may start were kept
    // for the ten, none would be, and its second job would wait beside hosts that are off.
    let mut config = Config::clone(&config_with_hosts_off());
    let name = CallerName::from("nosipho");
    let caller = Caller { name: name.clone(), weight: 10.0, quota: cores(4) };
    config.callers.insert(name, caller);
    let mut site = Site::new(Arc::new(config));
    site.run(3_000);
    // By their estimates they are no work, so that arrivals alone send for no host.
    let any = Step { estimate: Duration::ZERO, ..step(2) };
    let labelled = Step { label: Some("x".into()), count: 10, ..any.clone() };
    site.session.submit_as("nosipho", "a", vec![labelled]);
    site.session.submit_as("nosipho", "b", vec![any]);

    site.run(1_000);

    assert!(site.ordered >= 1, "no host was sent for");
}
