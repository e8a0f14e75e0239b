//! Decides which hosts move to another pool.
//!
//! The load comes in bursts: for some seconds a queue requests several times the capacity of its
//! pool, then almost nothing while another queue is busy. Hosts that never move are too few during
//! the peaks of their pool and idle otherwise, and an idle host costs as much as a busy one. So
//! hosts follow the load: a pool that requests more than it has gets hosts that are off or idle
//! elsewhere, and hosts that have been idle for a while are switched off.
//!
//! A move takes a second and a half, about as long as a job has to spare. A pool therefore keeps a
//! few idle hosts for the first jobs of its next peak, and requests as many hosts as the rate of
//! its arrivals will need ([`arrivals`](super::arrivals)), not only as many as the waiting tasks
//! need.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::names::PoolName;

use crate::{
    job::Size,
    policy::label_shares::{self, PoolDemand},
};

/// How full hosts can be packed, in percent, as tasks of several cores leave gaps.
const PACKING_PERCENT: u64 = 85;
/// The idle time after which a host is switched off: one that has just become idle is likely to be
/// used by the next jobs. How many hosts a pool keeps on for longer is decided by
/// [`peaks`](super::peaks).
pub const IDLE_BEFORE_OFF: Duration = Duration::from_millis(2_000);
/// The number of idle hosts that a pool keeps once it has had short jobs.
const WARM_HOSTS: usize = 2;

/// The demand of a pool's tasks, in total or for hosts with one label.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The capacity that running and waiting tasks request.
    pub resources: Size,
    /// The number of hosts required by tasks that may not share one.
    pub separate_hosts: usize,
}

impl Demand {
    /// Returns how many hosts of size `host` the demand needs.
    pub fn hosts(&self, host: &Size) -> usize {
        let by_cpu = hosts_for(self.resources.cpu_milli, host.cpu_milli);
        let by_memory = hosts_for(self.resources.memory_mb, host.memory_mb);
        let by_accelerators = hosts_for(self.resources.accelerators, host.accelerators);
        by_cpu.max(by_memory).max(by_accelerators).max(self.separate_hosts)
    }
}

/// The demand for a label, and the hosts that have it.
#[derive(Clone, Debug, PartialEq)]
pub struct LabelDemand {
    /// The label.
    pub label: Arc<str>,
    /// The demand of the tasks waiting for it, and of all tasks running on hosts that have it.
    pub demand: Demand,
    /// The capacity that tasks waiting for it request, in thousandths of a core.
    pub waiting: u64,
    /// The number of the pool's hosts that have it, including those on their way.
    pub hosts: usize,
}

/// A host that may move to another pool.
#[derive(Clone, Debug, PartialEq)]
pub struct MovableHost<T> {
    /// The host.
    pub host: T,
    /// How long it has been idle; zero if it is busy or off.
    pub idle: Duration,
    /// Its labels.
    pub labels: Vec<Arc<str>>,
    /// Whether few hosts are of its kind: tasks that do not need it leave it to those that do.
    pub scarce: bool,
}

impl<T> MovableHost<T> {
    fn has(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }
}

/// The load and the hosts of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolLoad<T> {
    /// The pool.
    pub pool: PoolName,
    /// Whether its hosts are off and cost nothing.
    pub standby: bool,
    /// The number of its hosts, including those on their way to it.
    pub hosts: usize,
    /// Its idle hosts.
    pub idle: Vec<MovableHost<T>>,
    /// Its hosts that run only tasks that are not lasting.
    pub busy: Vec<MovableHost<T>>,
    /// The demand of its running tasks, and of waiting ones that need no label.
    pub demand: Demand,
    /// The demand of its waiting tasks that need a label.
    pub label_demands: Vec<LabelDemand>,
    /// The hosts that lasting tasks need in addition to those of the pool, each with the label that
    /// it must have.
    pub missing_for_lasting: Vec<Option<Arc<str>>>,
    /// The hosts that a gang needs in addition to those of the pool, each with the label that it
    /// must have.
    pub missing_for_gang: Vec<Option<Arc<str>>>,
    /// The number of its hosts with each label, including those on their way to it.
    pub hosts_by_label: BTreeMap<Arc<str>, usize>,
    /// The racks that hold data of waiting tasks.
    pub data_racks: BTreeSet<Arc<str>>,
    /// The number of cores that arriving work keeps busy.
    pub arriving_cores: f64,
    /// The size of one of its hosts.
    pub host_size: Size,
    /// Whether it has had short jobs.
    pub has_short_work: bool,
    /// The number of its hosts that stay powered on whatever it needs now, as its load is not known
    /// yet or its next peak is expected. They may still move to other pools.
    pub min_powered_on: usize,
}

impl<T> PoolLoad<T> {
    /// Returns how many hosts the pool needs.
    pub fn hosts_needed(&self) -> usize {
        let arriving = (self.arriving_cores * 1_000.0) as u64;
        self.demand.hosts(&self.host_size).max(hosts_for(arriving, self.host_size.cpu_milli))
    }

    /// Returns how many hosts with a label the pool is short of for tasks that are not lasting, not
    /// counting hosts that lasting tasks and a gang are about to get.
    fn label_shortage(&self, label: &LabelDemand) -> usize {
        let coming = self.missing_for_lasting.iter().chain(&self.missing_for_gang);
        let labelled = coming.filter(|own| own.as_ref() == Some(&label.label)).count();
        label.demand.hosts(&self.host_size).saturating_sub(label.hosts + labelled)
    }

    /// Returns the demand of the pool for hosts with a label.
    fn label_demand(&self, label: &str) -> PoolDemand {
        let own = self.label_demands.iter().find(|own| &*own.label == label);
        let hosts = self.hosts_by_label.get(label).copied().unwrap_or(0);
        PoolDemand { waiting: own.map_or(0, |own| own.waiting), hosts }
    }

    /// Returns whether the pool has tasks for all its hosts with a label.
    fn uses_all(&self, label: &str) -> bool {
        let mut own = self.label_demands.iter().filter(|l| &*l.label == label);
        own.any(|l| l.hosts <= l.demand.hosts(&self.host_size))
    }

    /// Returns whether the pool is short of a host with a label.
    pub fn lacks_labelled_host(&self) -> bool {
        self.missing_for_lasting.iter().chain(&self.missing_for_gang).any(Option::is_some)
            || self.label_demands.iter().any(|label| self.label_shortage(label) > 0)
    }

    /// Returns how many hosts of any kind the pool is short of, not counting those that lasting
    /// tasks and a gang are about to get.
    fn shortage(&self) -> usize {
        self.hosts_needed().saturating_sub(
            self.hosts + self.missing_for_lasting.len() + self.missing_for_gang.len(),
        )
    }

    /// Returns how many idle hosts the pool can give away.
    fn surplus_idle(&self) -> usize {
        if self.standby {
            return self.idle.len();
        }
        let busy = self.hosts.saturating_sub(self.idle.len());
        let warm = if self.has_short_work { WARM_HOSTS } else { 0 };
        let kept = self.hosts_needed().max(busy + warm);
        self.hosts.saturating_sub(kept).min(self.idle.len())
    }
}

/// Returns how many hosts that have `each` of a resource hold `requested` of it, packed to
/// [`PACKING_PERCENT`].
fn hosts_for(requested: u64, each: u64) -> usize {
    let usable = each / 100 * PACKING_PERCENT + each % 100 * PACKING_PERCENT / 100;
    if usable == 0 { 0 } else { usize::try_from(requested.div_ceil(usable)).unwrap_or(usize::MAX) }
}

/// A host that is to move to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move<T> {
    /// The host.
    pub host: T,
    /// The pool that it moves to.
    pub to: PoolName,
}

/// Decides the moves. At most `switch_off_limit` of them switch a host off. `may_move` returns
/// whether a host can be in a pool at all.
pub fn decide<T, F>(pools: &[PoolLoad<T>], switch_off_limit: usize, may_move: F) -> Vec<Move<T>>
where
    T: Clone + PartialEq,
    F: Fn(&T, &PoolName) -> bool,
{
    let mut choice =
        Choice { pools, spare: spare_hosts(pools), moves: Vec::new(), share_enforced: false };
    for request in host_requests(pools) {
        // Once a host cannot be had, no further one can: the hosts to choose from only become fewer.
        let served = (0..request.count).take_while(|_| choice.try_serve(&request, &may_move));
        served.for_each(drop);
    }
    let Choice { spare, mut moves, .. } = choice;
    if let Some(standby) = pools.iter().find(|pool| pool.standby) {
        moves.extend(hosts_to_switch_off(spare, standby, switch_off_limit, may_move));
    }
    moves
}

/// The hosts that are left to choose from, and the moves chosen so far.
struct Choice<'a, T> {
    pools: &'a [PoolLoad<T>],
    spare: Vec<SpareHost<'a, T>>,
    moves: Vec<Move<T>>,
    /// Whether a host was taken from a pool that has more than its share.
    share_enforced: bool,
}

impl<'a, T> Choice<'a, T>
where
    T: Clone + PartialEq,
{
    /// Chooses one host for a request and returns whether there was any.
    fn try_serve<F>(&mut self, request: &HostRequest<'a, T>, may_move: &F) -> bool
    where
        F: Fn(&T, &PoolName) -> bool,
    {
        let suits = |s: &SpareHost<'_, T>| {
            s.from.pool != request.pool.pool
                && request.label.is_none_or(|label| s.host.has(label))
                && may_move(&s.host.host, &request.pool.pool)
        };
        let near = |s: &SpareHost<'_, T>| {
            s.host.labels.iter().any(|l| request.pool.data_racks.contains(l))
        };
        let candidates = self.spare.iter().enumerate().filter(|(_, s)| suits(s));
        let wasted = |s: &SpareHost<'_, T>| s.host.scarce && request.label.is_none();
        let best = candidates.min_by_key(|(position, s)| (wasted(s), !near(s), *position));
        if let Some((position, _)) = best {
            let chosen = self.spare.remove(position);
            return self.move_host(Some(chosen), request);
        }
        let moved = |s: &SpareHost<'_, T>| self.moves.iter().any(|m| m.host == s.host.host);
        let retained =
            retained_hosts(self.pools, request).into_iter().find(|s| suits(s) && !moved(s));
        if retained.is_some() {
            return self.move_host(retained, request);
        }
        // Only one per decision: the next decision counts the host in its new pool.
        if self.share_enforced {
            return false;
        }
        let mut due = hosts_over_share(self.pools, request).into_iter();
        let chosen = due.find(|s| suits(s) && !moved(s));
        self.share_enforced = chosen.is_some();
        self.move_host(chosen, request)
    }

    fn move_host(
        &mut self,
        chosen: Option<SpareHost<'a, T>>,
        request: &HostRequest<'a, T>,
    ) -> bool {
        let to = &request.pool.pool;
        let chosen = chosen.map(|s| Move { host: s.host.host.clone(), to: to.clone() });
        let found = chosen.is_some();
        self.moves.extend(chosen);
        found
    }
}

/// Selects hosts that no pool needs, those that have been idle the longest first, up to `limit`.
fn hosts_to_switch_off<'a, T, F>(
    mut spare: Vec<SpareHost<'a, T>>,
    standby: &PoolLoad<T>,
    limit: usize,
    may_move: F,
) -> Vec<Move<T>>
where
    T: Clone,
    F: Fn(&T, &PoolName) -> bool,
{
    let mut left: BTreeMap<&PoolName, usize> = BTreeMap::new();
    for s in &spare {
        left.insert(&s.from.pool, s.from.hosts);
    }
    spare.retain(|s| {
        !s.from.standby
            && s.host.idle >= IDLE_BEFORE_OFF
            && may_move(&s.host.host, &standby.pool)
            && left.get_mut(&s.from.pool).is_some_and(|left| {
                let surplus = *left > s.from.min_powered_on;
                *left -= usize::from(surplus);
                surplus
            })
    });
    let off = spare.into_iter().take(limit);
    off.map(|s| Move { host: s.host.host.clone(), to: standby.pool.clone() }).collect()
}

/// Hosts of one kind that a pool is short of.
struct HostRequest<'a, T> {
    pool: &'a PoolLoad<T>,
    label: Option<&'a str>,
    /// How many hosts are missing. It follows from what callers declare and has no bound, so no
    /// work or memory may grow with it.
    count: usize,
    /// Whether it justifies taking any host of another pool, even a busy one.
    urgent: bool,
}

/// Returns hosts that other pools keep in reserve, or use if the request is for a label.
///
/// Where few hosts have a label, the idle reserve of one pool may hold the last of them while tasks
/// of another wait for it, with dozens of other hosts at hand. For a lasting task even a busy host
/// is drained, as its users are without service until then.
///
/// A lasting task that needs no label gets an idle host that its pool does not need at present.
fn retained_hosts<'a, T>(
    pools: &'a [PoolLoad<T>],
    request: &HostRequest<'a, T>,
) -> Vec<SpareHost<'a, T>> {
    let of = |from: &'a PoolLoad<T>, hosts: &'a [MovableHost<T>]| {
        hosts.iter().map(move |host| SpareHost { host, from })
    };
    let Some(label) = request.label else {
        let in_reserve =
            pools.iter().filter(|pool| request.urgent && pool.hosts > pool.hosts_needed());
        return in_reserve.flat_map(|pool| of(pool, &pool.idle)).collect();
    };
    let satisfied = pools.iter().filter(|pool| !pool.uses_all(label));
    let mut retained: Vec<SpareHost<'a, T>> =
        satisfied.flat_map(|pool| of(pool, &pool.idle)).collect();
    if request.urgent {
        retained.extend(pools.iter().flat_map(|pool| of(pool, &pool.idle)));
        retained.extend(pools.iter().flat_map(|pool| of(pool, &pool.busy)));
    }
    retained
}

/// Returns hosts with the requested label from pools that have more than their share of them, idle
/// ones first, if the requesting pool has none and is entitled to one.
fn hosts_over_share<'a, T>(
    pools: &'a [PoolLoad<T>],
    request: &HostRequest<'a, T>,
) -> Vec<SpareHost<'a, T>> {
    let Some(label) = request.label else { return Vec::new() };
    let demands: Vec<PoolDemand> = pools.iter().map(|pool| pool.label_demand(label)).collect();
    let shares = label_shares::shares(&demands);
    let own = pools.iter().position(|pool| pool.pool == request.pool.pool);
    // A pool that has such a host serves its tasks in the end. Moving a busy host to give it more
    // of them costs more than it gains.
    if own.is_none_or(|own| demands[own].hosts > 0 || shares[own] == 0) {
        return Vec::new();
    }
    let over = pools.iter().zip(demands.iter().zip(&shares));
    let over = over.filter(|(_, (pool_demand, share))| pool_demand.hosts > **share);
    let hosts = over.flat_map(|(from, _)| {
        from.idle.iter().chain(&from.busy).map(move |host| SpareHost { host, from })
    });
    hosts.collect()
}

/// Returns the hosts that pools are short of, in order of precedence: hosts for lasting tasks,
/// whose users are without service until then; hosts for a gang that no pool can hold yet; hosts
/// with labels, as few have them; and then the hosts of the pool with the smallest shortage, as it
/// can be met in full.
fn host_requests<T>(pools: &[PoolLoad<T>]) -> Vec<HostRequest<'_, T>> {
    let mut requests = Vec::new();
    let mut short: Vec<(usize, &PoolLoad<T>)> = Vec::new();
    for pool in pools.iter().filter(|pool| !pool.standby) {
        let labels = pool.missing_for_lasting.iter().map(Option::as_deref);
        requests.extend(labels.map(|label| HostRequest { pool, label, count: 1, urgent: true }));
    }
    for pool in pools.iter().filter(|pool| !pool.standby) {
        let labels = pool.missing_for_gang.iter().map(Option::as_deref);
        requests.extend(labels.map(|label| HostRequest { pool, label, count: 1, urgent: false }));
    }
    for pool in pools.iter().filter(|pool| !pool.standby) {
        for label in &pool.label_demands {
            let count = pool.label_shortage(label);
            let label = Some(&*label.label);
            requests.push(HostRequest { pool, label, count, urgent: false });
        }
        short.push((pool.shortage(), pool));
    }
    short.sort_by_key(|(shortage, _)| *shortage);
    for (count, pool) in short {
        requests.push(HostRequest { pool, label: None, count, urgent: false });
    }
    requests
}

/// A host that may be given away, with its pool.
struct SpareHost<'a, T> {
    host: &'a MovableHost<T>,
    from: &'a PoolLoad<T>,
}

/// Returns the hosts that their pools can give away: those that are off, then those that have been
/// idle the longest.
fn spare_hosts<T>(pools: &[PoolLoad<T>]) -> Vec<SpareHost<'_, T>> {
    let mut spare = Vec::new();
    for pool in pools {
        let mut labelled = pool.label_demands.clone();
        let mut left = pool.surplus_idle();
        let mut idle: Vec<&MovableHost<T>> = pool.idle.iter().collect();
        idle.sort_by_key(|host| std::cmp::Reverse(host.idle));
        for host in idle {
            let mut own = labelled.iter_mut().filter(|label| host.has(&label.label));
            let in_use = own.any(|l| l.hosts <= l.demand.hosts(&pool.host_size));
            if left == 0 || in_use {
                continue;
            }
            labelled.iter_mut().filter(|l| host.has(&l.label)).for_each(|l| l.hosts -= 1);
            left -= 1;
            spare.push(SpareHost { host, from: pool });
        }
    }
    spare.sort_by_key(|s| (!s.from.standby, std::cmp::Reverse(s.host.idle)));
    spare
}

#[cfg(test)]
mod tests;
