//! The operator's configuration: queues, pools, callers, request limits and access control.
//!
//! Authentication of callers is in [`access`].

pub mod access;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_types::names::{CallerName, PoolName, QueueName};

use crate::{config::access::Access, job::Size};

/// Latency and validity of the responses of a queue's advisor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AdvisorTimes {
    /// The least time that a call takes.
    pub decision: Duration,
    /// Additional time for each host in the call.
    pub per_host: Duration,
    /// How long a permission is valid.
    pub validity: Duration,
}

/// A queue to which callers submit jobs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Queue {
    /// The unique name of the queue.
    pub name: QueueName,
    /// The authority (host name) of requests for this queue.
    pub authority: Arc<str>,
    /// The path prefix of requests for this queue.
    pub prefix: Arc<str>,
    /// The pool whose hosts run the tasks of this queue.
    pub pool: PoolName,
    /// Priority among queues; 0 is the highest.
    pub priority: u32,
    /// The number of failures of a task after which its job fails.
    pub max_attempts: u16,
    /// Factor of a job's deadline: a job is on time if it takes at most `stretch` times the
    /// duration of its longest chain of steps, plus `allowance`.
    pub stretch: f64,
    /// Fixed part of a job's deadline, see `stretch`.
    pub allowance: Duration,
    /// The longest time until a request is responded to.
    pub timeout: Duration,
    /// Set if a policy restricts which hosts may run a step.
    pub advisor: Option<AdvisorTimes>,
}

/// A group of hosts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Pool {
    /// The unique name of the pool.
    pub name: PoolName,
    /// Executors of this pool reject runs that exceed their free capacity. If unset, they start
    /// every run that they are ordered to.
    pub enforces_capacity: bool,
    /// Hosts in this pool are switched off and cost nothing.
    pub standby: bool,
}

/// Limits for requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RequestLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may be idle before it is closed.
    pub idle_timeout: Duration,
}

/// A head of 16 KiB within three seconds, a body of 256 KiB, and fifteen seconds of idle time.
impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
            head_timeout: Duration::from_millis(3_000),
            idle_timeout: Duration::from_millis(15_000),
        }
    }
}

/// A client that submits jobs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Caller {
    /// The unique name of the caller.
    pub name: CallerName,
    /// The caller's share under overload, in jobs per second.
    pub weight: f64,
    /// The most that its tasks may use at once on all hosts; 0 means no limit for that resource.
    pub quota: Size,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// Increases with each change.
    pub version: u64,
    /// All queues by name.
    pub queues: BTreeMap<QueueName, Queue>,
    /// All pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Limits for requests from callers.
    pub limits: RequestLimits,
    /// All callers by name.
    pub callers: BTreeMap<CallerName, Caller>,
    /// How callers authenticate.
    pub access: Access,
}

impl Config {
    /// Creates a configuration with the default limits and without authentication.
    pub fn new<Q, P>(version: u64, queues: Q, pools: P) -> Self
    where
        Q: IntoIterator<Item = Queue>,
        P: IntoIterator<Item = Pool>,
    {
        Self {
            version,
            queues: queues.into_iter().map(|queue| (queue.name.clone(), queue)).collect(),
            pools: pools.into_iter().map(|pool| (pool.name.clone(), pool)).collect(),
            limits: RequestLimits::default(),
            callers: BTreeMap::new(),
            access: Access::Open,
        }
    }

    /// Returns the queue of a request: among the queues with its authority, the one with the
    /// longest matching path prefix.
    pub fn queue_of(&self, authority: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| {
            queue.authority.eq_ignore_ascii_case(authority) && path.starts_with(&*queue.prefix)
        };
        self.queues.values().filter(matches).max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the pool of hosts that are switched off, if there is one.
    pub fn standby(&self) -> Option<&PoolName> {
        self.pools.values().find(|pool| pool.standby).map(|pool| &pool.name)
    }
}
