//! How many hosts a pool gets, and when.

mod support;

use std::sync::Arc;

use borageswitch_scheduler::{
    config::{Config, Pool},
    effect::{Effect, HostOrder},
    event::{Event, HostAnswer},
    fleet::{HostEntry, HostState},
    ledger::Ledger,
};
use borageswitch_types::names::PoolName;
use support::{
    fixtures::config,
    session::{Session, host, lasting},
};

/// How many hosts are off at first.
const HOSTS: usize = 12;

fn config_with_hosts_off() -> Arc<Config> {
    let mut config = Config::clone(&config(true));
    let off = PoolName::from("off");
    config.pools.insert(off.clone(), Pool { name: off, guards_capacity: true, standby: true });
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
    fn new() -> Self {
        let session = Session::with_config(&[], Ledger::default(), config_with_hosts_off());
        Self { session, hosts: (0..HOSTS).map(host_off).collect(), ordered: 0 }
    }

    /// Lets so many milliseconds pass.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            for effect in self.session.pass(50) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ListHosts => self.session.handle(Event::Hosts(Some(self.hosts.clone()))),
            Effect::Append { append, .. } => self.session.handle(Event::Appended { append }),
            Effect::Host(name, HostOrder::Move(pool)) => {
                self.ordered += 1;
                let moved = self.hosts.iter_mut().find(|entry| entry.host == name).unwrap();
                (moved.pool, moved.state) = (pool, HostState::Moving);
                self.session.handle(Event::HostAnswered { host: name, answer: HostAnswer::Done });
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
    let mut site = Site::new();
    site.run(3_000);
    site.session.submit("j", vec![lasting(4)]);

    site.run(3_000);

    assert_eq!(site.ordered, 4);
}
