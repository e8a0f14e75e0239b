//! One queue, one pool, and sizes.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{Config, Pool, Queue},
    job::Size,
};
use borageswitch_types::names::{PoolName, QueueName};

/// The only queue.
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

/// A configuration with the queue and its pool, whose executors guard their capacity or not.
pub fn config(guards: bool) -> Arc<Config> {
    config_with(queue(), guards)
}

/// A configuration with this queue alone.
pub fn config_with(queue: Queue, guards: bool) -> Arc<Config> {
    let pool = Pool { name: queue.pool.clone(), enforces_capacity: guards, standby: false };
    Arc::new(Config::new(1, [queue], [pool]))
}

/// So many cores, with as many gigabytes.
pub fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}
