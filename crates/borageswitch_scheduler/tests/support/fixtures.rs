//! One queue, one pool, and sizes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::{Config, Pool, Queue, RequestLimits},
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
    let pool = Pool { name: queue.pool.clone(), guards_capacity: guards, standby: false };
    Arc::new(Config {
        version: 1,
        queues: BTreeMap::from([(queue.name.clone(), queue)]),
        pools: BTreeMap::from([(pool.name.clone(), pool)]),
        limits: RequestLimits {
            head_bytes: 1 << 14,
            body_bytes: 1 << 18,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

/// So many cores, with as many gigabytes.
pub fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}
