//! Queues, pools and callers as the operator declares them.
//!
//! [`access`] tells who may call.

pub mod access;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_types::names::{CallerName, PoolName, QueueName};

use crate::{config::access::Access, job::Size};

/// How long advice on where a step may run takes and holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AdvisorTimes {
    /// Each call takes this long at least.
    pub decision: Duration,
    /// And so much more for each host that is asked about.
    pub per_host: Duration,
    /// How long a permission holds.
    pub validity: Duration,
}

/// Where callers hand in jobs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// The host name that requests carry.
    pub authority: Arc<str>,
    /// What the paths of its requests begin with.
    pub prefix: Arc<str>,
    /// The pool whose hosts run its tasks.
    pub pool: PoolName,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub max_attempts: u16,
    /// A job is on time within this many times its longest chain of work, ..
    pub stretch: f64,
    /// .. and so much more.
    pub allowance: Duration,
    /// Longest time for an answer.
    pub timeout: Duration,
    /// Set where a policy restricts which hosts may run a step.
    pub advisor: Option<AdvisorTimes>,
}

/// A group of hosts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Its hosts refuse what does not fit; otherwise they start whatever they are told to.
    pub guards_capacity: bool,
    /// Its hosts are off and cost nothing.
    pub standby: bool,
}

/// The most that a request may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may be unused.
    pub idle_timeout: Duration,
}

/// A head of 16 KiB within three seconds, a body of 256 KiB, and fifteen seconds of rest.
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

/// Somebody who hands in jobs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Caller {
    /// Its name.
    pub name: CallerName,
    /// How many jobs a second are its share when not all can be served.
    pub weight: f64,
    /// The most that its tasks may use at once on all hosts; 0 of a kind sets no limit to it.
    pub quota: Size,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// Rises with each change.
    pub version: u64,
    /// The queues by name.
    pub queues: BTreeMap<QueueName, Queue>,
    /// The pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Limits for requests.
    pub limits: RequestLimits,
    /// The callers by name.
    pub callers: BTreeMap<CallerName, Caller>,
    /// Who may call.
    pub access: Access,
}

impl Config {
    /// A configuration with the usual limits, in which whoever calls is served.
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

    /// The queue of a request: its host name is the queue's, and of the prefixes that the path
    /// begins with the longest wins.
    pub fn queue_of(&self, authority: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| {
            queue.authority.eq_ignore_ascii_case(authority) && path.starts_with(&*queue.prefix)
        };
        self.queues.values().filter(fits).max_by_key(|queue| queue.prefix.len())
    }

    /// The pool that is off and costs nothing, if there is one.
    pub fn standby(&self) -> Option<&PoolName> {
        self.pools.values().find(|pool| pool.standby).map(|pool| &pool.name)
    }
}
