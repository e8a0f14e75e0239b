//! Queues and a configuration for tests and examples, where nothing depends on their figures.

use std::time::Duration;

use borageswitch_scheduler::{
    config::{Config, Pool, Queue},
    job::Size,
};
use borageswitch_types::names::{PoolName, QueueName};

/// The host name under which callers reach the queues.
pub const AUTHORITY: &str = "site.example";

/// A queue whose tasks may fail once, with jobs that have three seconds.
pub fn queue(name: &str, prefix: &str, pool: &str) -> Queue {
    Queue {
        name: QueueName::from(name),
        authority: AUTHORITY.into(),
        prefix: prefix.into(),
        pool: PoolName::from(pool),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        allowance: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        advisor: None,
    }
}

/// A pool that serves, whose executors guard their capacity.
pub fn pool(name: &str) -> Pool {
    Pool { name: PoolName::from(name), enforces_capacity: true, standby: false }
}

/// The first version of a configuration.
pub fn config<Q, P>(queues: Q, pools: P) -> Config
where
    Q: IntoIterator<Item = Queue>,
    P: IntoIterator<Item = Pool>,
{
    Config::new(1, queues, pools)
}

/// So many cores, with as many gigabytes.
pub fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}
