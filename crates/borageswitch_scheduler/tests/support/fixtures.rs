//! A configuration with one queue and one pool, and sizes.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{Config, Pool, Queue},
    job::Size,
};
use borageswitch_types::names::{PoolName, QueueName};

/// The only queue of the default configuration.
pub fn queue() -> Queue {
    Queue {
        name: QueueName::from("runs"),
        authority: "site.example".into(),
        prefix: "/runs/".into(),
        pool: PoolName::from("payroll"),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        allowance: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        advisor: None,
    }
}

/// A configuration with [`queue`] and its pool, whose executors enforce their capacity or not.
pub fn config(enforces_capacity: bool) -> Arc<Config> {
    config_with(queue(), enforces_capacity)
}

/// A configuration with only the given queue.
pub fn config_with(queue: Queue, enforces_capacity: bool) -> Arc<Config> {
    let pool = Pool { name: queue.pool.clone(), enforces_capacity, standby: false };
    Arc::new(Config::new(1, [queue], [pool]))
}

/// A size with a number of cores and as many gigabytes of memory.
pub fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}
