//! Chooses which hosts a wave takes out next.
//!
//! A wave reboots every host of a region under normal load, and a bad image or firmware fails on
//! every host of the same type. Without canaries and a ramp, a whole batch of such hosts would be
//! down before the first failure is noticed.
//!
//! - Canaries leave first: at least one host of each type, spread over racks, spare hosts before
//!   serving ones. No other host leaves until they have passed.
//! - Then the number of hosts out is at most twice the number that have passed, up to the wave's
//!   `max_batch`. Each failure halves the limit.
//! - A host leaves only if its pool meets every budget without it, also after the loss of the
//!   pool's largest failure domain, and its boot surge fits under the cap.
//! - Pools with the most remaining hosts come first. Within a pool, a host of the largest failure
//!   domain is chosen, see [`Ledger::removable`](crate::capacity::Ledger::removable).

use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::{
    Fleet,
    fleet::{FleetChange, Host, Watts, Wave, WaveStatus},
    names::{HostName, PoolName, WaveName},
};

use crate::steps::Plan;

/// Hosts of the same type need only one canary: a bad image fails on all of them or on none.
type HostType = (u16, u16, Watts);

fn type_of(host: &Host) -> HostType {
    (host.spec.slots, host.spec.connections, host.spec.draw.peak)
}

/// The rollout stage of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Only hosts of types of which none has passed yet may leave.
    Canaries {
        /// Maximum number of hosts out at once.
        limit: usize,
    },
    /// Any host may leave.
    Batches {
        /// Maximum number of hosts out at once.
        limit: usize,
    },
}

impl Stage {
    pub(crate) fn limit(self) -> usize {
        match self {
            Stage::Canaries { limit } | Stage::Batches { limit } => limit,
        }
    }
}

/// Computes the stage of a wave from its progress.
pub(crate) fn stage(fleet: &Fleet, wave: &Wave) -> Stage {
    let tried = tried_types(fleet, wave.done.iter());
    let pending = tried_types(fleet, wave.pending.iter().chain(&wave.out));
    let untried = pending.difference(&tried).count();
    let passed = wave.done.len();
    let max_batch = wave.settings.max_batch as usize;
    let canaries = wave.settings.canaries as usize;
    if canaries > 0 && (untried > 0 || passed < canaries) {
        let limit = canaries.saturating_sub(passed).max(untried);
        return Stage::Canaries { limit: limit.min(max_batch) };
    }
    let ramp = if canaries == 0 { max_batch } else { (2 * passed).max(1) };
    let failures = u32::try_from(wave.failed.len()).unwrap_or(u32::MAX);
    let reduced = max_batch.checked_shr(failures).unwrap_or(0).max(1);
    Stage::Batches { limit: ramp.min(reduced) }
}

fn tried_types<'a, I>(fleet: &Fleet, hosts: I) -> BTreeSet<HostType>
where
    I: Iterator<Item = &'a HostName>,
{
    hosts.filter_map(|name| fleet.hosts.get(name)).map(type_of).collect()
}

/// Halts waves with too many failures and finishes those without remaining hosts.
pub(crate) fn plan_endings(plan: &mut Plan<'_>) {
    for (name, wave) in &plan.fleet.waves {
        let ends = wave.pending.is_empty() && wave.out.is_empty();
        let running = wave.status == WaveStatus::Running;
        if running && wave.failed.len() > wave.settings.max_failures as usize {
            let why = format!("{} hosts failed in {name}", wave.failed.len());
            let halt = FleetChange::HaltWave { wave: name.clone(), reason: why.as_str().into() };
            plan.add_change(halt, why);
        } else if ends && (running || wave.status == WaveStatus::Aborting) {
            let finish = FleetChange::FinishWave { wave: name.clone() };
            plan.add_change(finish, format!("{name} has no host left"));
        }
    }
}

/// Whether drained hosts of a wave may be rebooted.
pub(crate) fn may_reboot(wave: &Wave) -> bool {
    wave.status == WaveStatus::Running && wave.failed.len() <= wave.settings.max_failures as usize
}

/// Whether a wave may take hosts out in this plan.
pub(crate) fn may_take_hosts(wave: &Wave) -> bool {
    may_reboot(wave) && !wave.pending.is_empty()
}

/// Takes hosts out for the running waves.
pub(crate) fn plan_leaves(plan: &mut Plan<'_>) {
    // No host may draw more power while the reservation exceeds the cap, so none may boot.
    if plan.power.excess() > 0 {
        return;
    }
    for (name, wave) in plan.fleet.waves.iter().filter(|(_, wave)| may_take_hosts(wave)) {
        let stage = stage(plan.fleet, wave);
        let free_capacity = stage.limit().saturating_sub(wave.out.len());
        match stage {
            Stage::Canaries { .. } => plan_canaries(plan, name, wave, free_capacity),
            Stage::Batches { .. } => plan_batch(plan, name, wave, free_capacity),
        }
    }
}

/// The pending hosts of a wave that the plan may still use, by pool.
fn candidates<'a>(
    plan: &Plan<'a>,
    wave: &'a Wave,
) -> BTreeMap<&'a PoolName, Vec<(&'a HostName, &'a Host)>> {
    let mut pools: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for name in &wave.pending {
        let Some(host) = plan.fleet.hosts.get(name) else { continue };
        if plan.is_available(name, host) {
            pools.entry(&host.pool).or_default().push((name, host));
        }
    }
    pools
}

fn plan_canaries<'a>(
    plan: &mut Plan<'a>,
    name: &'a WaveName,
    wave: &'a Wave,
    free_capacity: usize,
) {
    let mut tried = tried_types(plan.fleet, wave.done.iter().chain(&wave.out));
    let mut racks: BTreeSet<_> = wave
        .out
        .iter()
        .chain(&wave.done)
        .filter_map(|host| plan.fleet.hosts.get(host))
        .map(|host| (&host.spec.data_centre, &host.spec.rack))
        .collect();
    let mut all: Vec<_> = candidates(plan, wave).into_values().flatten().collect();
    for _ in 0..free_capacity {
        let serves = |host: &Host| !plan.fleet.pools.get(&host.pool).is_some_and(|pool| pool.spare);
        all.sort_by_key(|(host_name, host)| {
            let same_rack = racks.contains(&(&host.spec.data_centre, &host.spec.rack));
            (tried.contains(&type_of(host)), serves(host), same_rack, *host_name)
        });
        let chosen = all.iter().position(|(host_name, host)| may_leave(plan, host_name, host));
        let Some(index) = chosen else { return };
        let (host_name, host) = all.remove(index);
        tried.insert(type_of(host));
        racks.insert((&host.spec.data_centre, &host.spec.rack));
        let why = format!("{host_name} is a canary of {name}: {}", capacity_reason(plan, host));
        plan_leave(plan, name, host_name, host, why);
    }
}

pub(crate) fn may_leave<'a>(plan: &Plan<'a>, name: &'a HostName, host: &'a Host) -> bool {
    plan.ledger.check_without(name, host).is_ok() && plan.power.fits(host.boot_surge().0)
}

fn plan_batch<'a>(plan: &mut Plan<'a>, name: &'a WaveName, wave: &'a Wave, free_capacity: usize) {
    let mut pools = candidates(plan, wave);
    for _ in 0..free_capacity {
        let Some((pool, index)) = choose_host(plan, &pools) else { return };
        let Some(hosts) = pools.get_mut(pool) else { return };
        let (host_name, host) = hosts.swap_remove(index);
        let why = format!("{host_name} is next in {name}: {}", capacity_reason(plan, host));
        plan_leave(plan, name, host_name, host, why);
    }
}

/// Chooses the pool with the most remaining hosts that can spare one, and the index of that host.
fn choose_host<'a>(
    plan: &Plan<'a>,
    pools: &BTreeMap<&'a PoolName, Vec<(&'a HostName, &'a Host)>>,
) -> Option<(&'a PoolName, usize)> {
    let mut order: Vec<_> = pools.iter().collect();
    order.sort_by_key(|(pool, hosts)| (std::cmp::Reverse(hosts.len()), **pool));
    order.into_iter().find_map(|(pool, hosts)| {
        let index = plan.ledger.next_removable(hosts)?;
        plan.power.fits(hosts[index].1.boot_surge().0).then_some((*pool, index))
    })
}

pub(crate) fn plan_leave<'a>(
    plan: &mut Plan<'a>,
    wave: &'a WaveName,
    name: &'a HostName,
    host: &'a Host,
    why: String,
) {
    let earmarked = plan.power.earmark_surge(host);
    debug_assert!(earmarked, "the surge of {name} was checked before it was chosen");
    let leave = FleetChange::BeginLeave { host: name.clone(), wave: wave.clone() };
    plan.change_host(name, host, leave, why);
}

fn capacity_reason(plan: &Plan<'_>, host: &Host) -> String {
    if plan.fleet.services.values().any(|service| service.pool == host.pool) {
        format!("{} keeps its promises without it", host.pool)
    } else {
        format!("no service stands in {}", host.pool)
    }
}

/// The number of hosts of each pool that are pending in or out for a running wave.
pub(crate) fn remaining_hosts(fleet: &Fleet) -> BTreeMap<&PoolName, usize> {
    let mut remaining = BTreeMap::new();
    for wave in fleet.waves.values().filter(|wave| wave.status == WaveStatus::Running) {
        for name in wave.pending.iter().chain(&wave.out) {
            let Some(host) = fleet.hosts.get(name) else { continue };
            *remaining.entry(&host.pool).or_default() += 1;
        }
    }
    remaining
}
