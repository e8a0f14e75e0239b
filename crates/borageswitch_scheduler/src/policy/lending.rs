//! Which hosts change their pool.
//!
//! The load comes by turns: for some seconds a queue asks for several times what its pool holds,
//! then for almost nothing while another queue has its turn. Hosts that stay where they are are
//! too few in their pool's turn and idle in all others, and an idle host costs as much as a busy
//! one. So hosts follow the load: a pool that asks for more than it holds gets hosts that are off
//! or idle elsewhere, and what has been idle for a while is switched off.
//!
//! A move takes a second and a half, about as long as a job has to spare. A pool therefore keeps a
//! few idle hosts for the first jobs of its next turn, and asks for as many as the rate of its
//! arrivals will need ([`arrivals`](super::arrivals)), not only for what waits already.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::names::PoolName;

use crate::{
    job::Size,
    policy::label_shares::{self, Claim},
};

/// How full hosts can be packed, in percent: tasks of several cores leave gaps.
const FILL_PERCENT: u64 = 85;
/// A host is switched off after so long without work: one that has just been is missed by the next
/// jobs. How many a pool keeps on for longer, [`peaks`](super::peaks) says.
pub const IDLE_BEFORE_OFF: Duration = Duration::from_millis(2_000);
/// How many idle hosts a pool keeps that has had short work.
const KEEP_WARM: usize = 2;

/// What a pool's tasks ask for, in all or of hosts with one label.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// What runs and what waits.
    pub demand: Size,
    /// The hosts that tasks need which may not share one.
    pub apart: usize,
}

impl Need {
    /// How many hosts like `host` that takes.
    pub fn hosts(&self, host: &Size) -> usize {
        let by_cpu = share(self.demand.cpu_milli, host.cpu_milli);
        let by_memory = share(self.demand.memory_mb, host.memory_mb);
        let by_accelerators = share(self.demand.accelerators, host.accelerators);
        by_cpu.max(by_memory).max(by_accelerators).max(self.apart)
    }
}

/// Tasks that need a label, and the hosts that have it.
#[derive(Clone, Debug, PartialEq)]
pub struct LabelNeed {
    /// The label.
    pub label: Arc<str>,
    /// What waits for it, and whatever else runs on hosts that have it.
    pub need: Need,
    /// What waits for it, in thousandths of a core.
    pub waiting: u64,
    /// The pool's hosts that have it, and those on their way.
    pub hosts: usize,
}

/// A host with nothing to run.
#[derive(Clone, Debug, PartialEq)]
pub struct IdleHost<T> {
    /// Which.
    pub host: T,
    /// For how long it has been idle.
    pub idle: Duration,
    /// What it is labelled with.
    pub labels: Vec<Arc<str>>,
    /// Few hosts are of its kind: tasks that can do without leave it to those that cannot.
    pub scarce: bool,
}

impl<T> IdleHost<T> {
    fn has(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }
}

/// How a pool stands.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolLoad<T> {
    /// Which.
    pub pool: PoolName,
    /// Its hosts are off and cost nothing.
    pub standby: bool,
    /// Hosts that it has, and hosts that are on their way to it.
    pub hosts: usize,
    /// Its hosts with nothing to run.
    pub idle: Vec<IdleHost<T>>,
    /// Its hosts that run nothing but tasks that end.
    pub busy: Vec<IdleHost<T>>,
    /// What its running tasks ask for, and waiting ones that need no label.
    pub need: Need,
    /// What its waiting tasks ask for that need a label.
    pub labelled: Vec<LabelNeed>,
    /// The hosts that lasting tasks need besides those that the pool has, each with the label that
    /// it must have.
    pub lasting: Vec<Option<Arc<str>>>,
    /// The hosts that a gang needs besides those that the pool has, each with the label that it
    /// must have.
    pub gang: Vec<Option<Arc<str>>>,
    /// How many hosts with each label it has, or has on their way to it.
    pub label_hosts: BTreeMap<Arc<str>, usize>,
    /// Racks that hold data of tasks that wait.
    pub data_racks: BTreeSet<Arc<str>>,
    /// How many cores arrivals keep busy.
    pub arriving_cores: f64,
    /// What one of its hosts has.
    pub host: Size,
    /// Short work has been seen here.
    pub has_short_work: bool,
    /// So many of its hosts stay on whatever it needs now: its load is not known yet, or its next
    /// rush is expected. Other pools may have them.
    pub kept_on: usize,
}

impl<T> PoolLoad<T> {
    /// How many hosts the pool needs.
    pub fn needed(&self) -> usize {
        let arriving = (self.arriving_cores * 1_000.0) as u64;
        self.need.hosts(&self.host).max(share(arriving, self.host.cpu_milli))
    }

    /// How many hosts with a label the pool lacks for tasks that end, beyond those that lasting
    /// tasks and a gang are about to get.
    fn lacks(&self, label: &LabelNeed) -> usize {
        let coming = self.lasting.iter().chain(&self.gang);
        let labelled = coming.filter(|own| own.as_ref() == Some(&label.label)).count();
        label.need.hosts(&self.host).saturating_sub(label.hosts + labelled)
    }

    /// How much the pool lays claim to hosts with a label.
    fn claim(&self, label: &str) -> Claim {
        let own = self.labelled.iter().find(|own| &*own.label == label);
        let hosts = self.label_hosts.get(label).copied().unwrap_or(0);
        Claim { waiting: own.map_or(0, |own| own.waiting), hosts }
    }

    /// Whether the pool has tasks for all its hosts with a label.
    fn needs_all(&self, label: &str) -> bool {
        let mut own = self.labelled.iter().filter(|l| &*l.label == label);
        own.any(|l| l.hosts <= l.need.hosts(&self.host))
    }

    /// Whether the pool lacks a host with a label.
    pub fn lacks_label(&self) -> bool {
        self.lasting.iter().chain(&self.gang).any(Option::is_some)
            || self.labelled.iter().any(|label| self.lacks(label) > 0)
    }

    /// How many hosts of any kind the pool lacks, beyond those that lasting tasks and a gang are
    /// about to get.
    fn missing(&self) -> usize {
        self.needed().saturating_sub(self.hosts + self.lasting.len() + self.gang.len())
    }

    /// How many idle hosts the pool can give away.
    fn to_give(&self) -> usize {
        if self.standby {
            return self.idle.len();
        }
        let busy = self.hosts.saturating_sub(self.idle.len());
        let warm = if self.has_short_work { KEEP_WARM } else { 0 };
        let kept = self.needed().max(busy + warm);
        self.hosts.saturating_sub(kept).min(self.idle.len())
    }
}

fn share(wanted: u64, each: u64) -> usize {
    let usable = each * FILL_PERCENT / 100;
    if usable == 0 { 0 } else { wanted.div_ceil(usable) as usize }
}

/// A host to be moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move<T> {
    /// The host.
    pub host: T,
    /// Where to.
    pub to: PoolName,
}

/// Decides the moves, of which `limit` at most switch a host off. `may_move` says whether a host can
/// be in a pool at all.
pub fn decide<T, F>(pools: &[PoolLoad<T>], limit: usize, may_move: F) -> Vec<Move<T>>
where
    T: Clone + PartialEq,
    F: Fn(&T, &PoolName) -> bool,
{
    let mut spare = spare_hosts(pools);
    let mut moves: Vec<Move<T>> = Vec::new();
    let mut shared = false;
    for want in wants(pools) {
        let suits = |s: &Spare<'_, T>| {
            s.from.pool != want.pool.pool
                && want.label.is_none_or(|label| s.host.has(label))
                && may_move(&s.host.host, &want.pool.pool)
        };
        let near =
            |s: &Spare<'_, T>| s.host.labels.iter().any(|l| want.pool.data_racks.contains(l));
        let candidates = spare.iter().enumerate().filter(|(_, s)| suits(s));
        let wasted = |s: &Spare<'_, T>| s.host.scarce && want.label.is_none();
        let best = candidates.min_by_key(|(position, s)| (wasted(s), !near(s), *position));
        let to = want.pool.pool.clone();
        if let Some((position, _)) = best {
            let given = spare.remove(position);
            moves.push(Move { host: given.host.host.clone(), to });
            continue;
        }
        let moved = |s: &Spare<'_, T>| moves.iter().any(|m| m.host == s.host.host);
        let kept = kept_hosts(pools, &want).into_iter().find(|s| suits(s) && !moved(s));
        if let Some(given) = kept {
            moves.push(Move { host: given.host.host.clone(), to });
        } else if !shared {
            // One at a time: the next decision counts it where it goes.
            let mut due = hosts_over_share(pools, &want).into_iter();
            let given = due.find(|s| suits(s) && !moved(s));
            shared = given.is_some();
            moves.extend(given.map(|given| Move { host: given.host.host.clone(), to }));
        }
    }
    if let Some(standby) = pools.iter().find(|pool| pool.standby) {
        moves.extend(switched_off(spare, standby, limit, may_move));
    }
    moves
}

/// Hosts that nobody needs, those idle longest first, `limit` at most.
fn switched_off<'a, T, F>(
    mut spare: Vec<Spare<'a, T>>,
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
                let given = *left > s.from.kept_on;
                *left -= usize::from(given);
                given
            })
    });
    let off = spare.into_iter().take(limit);
    off.map(|s| Move { host: s.host.host.clone(), to: standby.pool.clone() }).collect()
}

/// One host that a pool lacks.
struct Want<'a, T> {
    pool: &'a PoolLoad<T>,
    label: Option<&'a str>,
    /// Whatever another pool's hosts do, they are given for it.
    pressing: bool,
}

/// Hosts with a wanted label that pools would rather keep.
///
/// Where few hosts have a label, one pool's idle reserve may hold the last of them while tasks of
/// another wait for it beside dozens of others; for a lasting task even a busy one is emptied, as
/// its users are without service until then.
fn kept_hosts<'a, T>(pools: &'a [PoolLoad<T>], want: &Want<'a, T>) -> Vec<Spare<'a, T>> {
    let Some(label) = want.label else { return Vec::new() };
    let of = |from: &'a PoolLoad<T>, hosts: &'a [IdleHost<T>]| {
        hosts.iter().map(move |host| Spare { host, from })
    };
    let content = pools.iter().filter(|pool| !pool.needs_all(label));
    let mut kept: Vec<Spare<'a, T>> = content.flat_map(|pool| of(pool, &pool.idle)).collect();
    if want.pressing {
        kept.extend(pools.iter().flat_map(|pool| of(pool, &pool.idle)));
        kept.extend(pools.iter().flat_map(|pool| of(pool, &pool.busy)));
    }
    kept
}

/// Hosts with a wanted label of pools that have more than their share of them, idle ones first,
/// while the pool that wants one has none.
fn hosts_over_share<'a, T>(pools: &'a [PoolLoad<T>], want: &Want<'a, T>) -> Vec<Spare<'a, T>> {
    let Some(label) = want.label else { return Vec::new() };
    let claims: Vec<Claim> = pools.iter().map(|pool| pool.claim(label)).collect();
    let shares = label_shares::shares(&claims);
    let own = pools.iter().position(|pool| pool.pool == want.pool.pool);
    // A pool that has one serves its tasks in the end; to move a busy host for more of them costs
    // more than it brings.
    if own.is_none_or(|own| claims[own].hosts > 0 || shares[own] == 0) {
        return Vec::new();
    }
    let over = pools.iter().zip(claims.iter().zip(&shares));
    let over = over.filter(|(_, (claim, share))| claim.hosts > **share);
    let hosts = over.flat_map(|(from, _)| {
        from.idle.iter().chain(&from.busy).map(move |host| Spare { host, from })
    });
    hosts.collect()
}

/// The hosts that pools lack. Those for lasting tasks come first, whose users are without service
/// until then; then those of a gang that no pool can hold yet; then labels, as few hosts have them; then the pool that lacks least, as it can be
/// helped whole.
fn wants<T>(pools: &[PoolLoad<T>]) -> Vec<Want<'_, T>> {
    let mut wants = Vec::new();
    let mut short: Vec<(usize, &PoolLoad<T>)> = Vec::new();
    for pool in pools.iter().filter(|pool| !pool.standby) {
        let labels = pool.lasting.iter().map(Option::as_deref);
        wants.extend(labels.map(|label| Want { pool, label, pressing: true }));
    }
    for pool in pools.iter().filter(|pool| !pool.standby) {
        let labels = pool.gang.iter().map(Option::as_deref);
        wants.extend(labels.map(|label| Want { pool, label, pressing: false }));
    }
    for pool in pools.iter().filter(|pool| !pool.standby) {
        for label in &pool.labelled {
            let lacks = pool.lacks(label);
            let one = |_| Want { pool, label: Some(&*label.label), pressing: false };
            wants.extend((0..lacks).map(one));
        }
        short.push((pool.missing(), pool));
    }
    short.sort_by_key(|(missing, _)| *missing);
    for (missing, pool) in short {
        wants.extend((0..missing).map(|_| Want { pool, label: None, pressing: false }));
    }
    wants
}

struct Spare<'a, T> {
    host: &'a IdleHost<T>,
    from: &'a PoolLoad<T>,
}

/// Hosts that can be given away: those that are off first, then those idle longest.
fn spare_hosts<T>(pools: &[PoolLoad<T>]) -> Vec<Spare<'_, T>> {
    let mut spare = Vec::new();
    for pool in pools {
        let mut labelled = pool.labelled.clone();
        let mut left = pool.to_give();
        let mut idle: Vec<&IdleHost<T>> = pool.idle.iter().collect();
        idle.sort_by_key(|host| std::cmp::Reverse(host.idle));
        for host in idle {
            let mut own = labelled.iter_mut().filter(|label| host.has(&label.label));
            let needed = own.any(|l| l.hosts <= l.need.hosts(&pool.host));
            if left == 0 || needed {
                continue;
            }
            labelled.iter_mut().filter(|l| host.has(&l.label)).for_each(|l| l.hosts -= 1);
            left -= 1;
            spare.push(Spare { host, from: pool });
        }
    }
    spare.sort_by_key(|s| (!s.from.standby, std::cmp::Reverse(s.host.idle)));
    spare
}

#[cfg(test)]
mod tests;
