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
//! arrivals will need, not only for what waits already.

use std::time::Duration;

use borageswitch_types::{Time, names::PoolName};

use crate::job::Size;

/// How full hosts can be packed, in percent: tasks of several cores leave gaps.
const FILL_PERCENT: u64 = 85;
/// A host is switched off after so long without work. A move back costs about as much as the host
/// does in this time, so at worst twice the least possible is paid.
pub const IDLE_BEFORE_OFF: Duration = Duration::from_millis(1_200);
/// How many idle hosts a pool keeps that has had short work.
const KEEP_WARM: usize = 2;
/// The time over which arrivals are averaged: shorter, and a single large job would move hosts;
/// longer, and a turn would be half over before enough are there.
const RATE_WINDOW: Duration = Duration::from_millis(1_500);

/// How much work arrives, as a moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    cores: f64,
    at: Time,
}

impl ArrivalRate {
    /// So many core-seconds of work have arrived.
    pub fn arrived(&mut self, now: Time, core_seconds: f64) {
        self.cores = self.cores(now) + core_seconds / RATE_WINDOW.as_secs_f64();
        self.at = now;
    }

    /// How many cores the arrivals keep busy.
    pub fn cores(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.cores * (-age / RATE_WINDOW.as_secs_f64()).exp()
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
    /// Its hosts with nothing to run, those idle longest first, with how long they have been.
    pub idle: Vec<(T, Duration)>,
    /// What runs and what waits.
    pub demand: Size,
    /// How many cores arrivals keep busy.
    pub arriving_cores: f64,
    /// The hosts that tasks need which may not share one.
    pub apart: usize,
    /// What one of its hosts has.
    pub host: Size,
    /// Short work has been seen here.
    pub has_short_work: bool,
}

impl<T> PoolLoad<T> {
    /// How many hosts the pool needs.
    pub fn needed(&self) -> usize {
        let by_cpu = share(self.demand.cpu_milli, self.host.cpu_milli);
        let by_memory = share(self.demand.memory_mb, self.host.memory_mb);
        let by_accelerators = share(self.demand.accelerators, self.host.accelerators);
        let arriving = (self.arriving_cores * 1_000.0) as u64;
        let by_rate = share(arriving, self.host.cpu_milli);
        by_cpu.max(by_memory).max(by_accelerators).max(by_rate).max(self.apart)
    }

    fn kept(&self) -> usize {
        let busy = self.hosts.saturating_sub(self.idle.len());
        let warm = if self.has_short_work { KEEP_WARM } else { 0 };
        self.needed().max(busy + warm)
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

/// Decides the moves. `may_move` says whether a host can be in a pool at all.
pub fn decide<T, F>(pools: &[PoolLoad<T>], may_move: F) -> Vec<Move<T>>
where
    T: Clone + PartialEq,
    F: Fn(&T, &PoolName) -> bool,
{
    let mut moves: Vec<Move<T>> = Vec::new();
    let mut spare = spare_hosts(pools);
    let mut short: Vec<(usize, &PoolLoad<T>)> = pools
        .iter()
        .filter(|pool| !pool.standby)
        .map(|pool| (pool.needed().saturating_sub(pool.hosts), pool))
        .filter(|(missing, _)| *missing > 0)
        .collect();
    // The pool that lacks least is served first: it can be helped whole.
    short.sort_by_key(|(missing, _)| *missing);
    for (missing, pool) in short {
        for _ in 0..missing {
            let found =
                spare.iter().position(|s| s.from != &pool.pool && may_move(&s.host, &pool.pool));
            let Some(found) = found else { break };
            let host = spare.remove(found).host;
            moves.push(Move { host, to: pool.pool.clone() });
        }
    }
    if let Some(standby) = pools.iter().find(|pool| pool.standby) {
        let off = spare
            .into_iter()
            .filter(|s| !s.is_off && s.idle >= IDLE_BEFORE_OFF && may_move(&s.host, &standby.pool));
        moves.extend(off.map(|s| Move { host: s.host, to: standby.pool.clone() }));
    }
    moves
}

struct Spare<'a, T> {
    host: T,
    from: &'a PoolName,
    is_off: bool,
    idle: Duration,
}

/// Hosts that can be given away: those that are off first, then those idle longest.
fn spare_hosts<T>(pools: &[PoolLoad<T>]) -> Vec<Spare<'_, T>>
where
    T: Clone,
{
    let mut spare = Vec::new();
    for pool in pools {
        let to_give = if pool.standby {
            pool.idle.len()
        } else {
            pool.hosts.saturating_sub(pool.kept()).min(pool.idle.len())
        };
        let given = pool.idle.iter().take(to_give);
        spare.extend(given.map(|(host, idle)| Spare {
            host: host.clone(),
            from: &pool.pool,
            is_off: pool.standby,
            idle: *idle,
        }));
    }
    spare.sort_by_key(|s| (!s.is_off, std::cmp::Reverse(s.idle)));
    spare
}
