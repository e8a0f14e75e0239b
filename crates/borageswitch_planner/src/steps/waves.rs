//! Chooses which hosts a wave takes out next.
//!
//! Load pattern: a wave touches every host of a region while callers go on as always, and a bad
//! image or firmware fails on every host of one type alike. Without canaries and a ramp the wave
//! would have a whole batch of such hosts down before the first fails.
//!
//! - Canaries go first: of each type of host at least one, spread over racks, spare hosts before
//!   serving ones. Nothing else goes until they have passed.
//! - Then at most twice as many hosts are out as have passed, up to the wave's `max_batch`; each
//!   failure halves the limit.
//! - A host goes only if its pool keeps every promise after the loss of its largest failure domain
//!   and the boot surge fits under the cap.
//! - Pools with most hosts left choose first; within a pool one of the largest domain goes, see
//!   [`Ledger::removable`](crate::capacity::Ledger::removable).

use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::{
    Fleet,
    fleet::{FleetChange, Host, Watts, Wave, WaveStatus},
    names::{HostName, PoolName, WaveName},
};

use crate::steps::Plan;

/// What makes two hosts the same for a canary: a bad image fails on both or on neither.
type HostType = (u16, u16, Watts);

fn type_of(host: &Host) -> HostType {
    (host.spec.slots, host.spec.connections, host.spec.draw.peak)
}

/// How far a wave may go at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Only hosts of types of which none has passed may go, and these alone.
    Canaries {
        /// The most hosts out at once.
        limit: usize,
    },
    /// Any host may go.
    Batches {
        /// The most hosts out at once.
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

/// Works out how far a wave may go from what it has behind it.
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
    let slowed = max_batch.checked_shr(failures).unwrap_or(0).max(1);
    Stage::Batches { limit: ramp.min(slowed) }
}

fn tried_types<'a, I>(fleet: &Fleet, hosts: I) -> BTreeSet<HostType>
where
    I: Iterator<Item = &'a HostName>,
{
    hosts.filter_map(|name| fleet.hosts.get(name)).map(type_of).collect()
}

/// Halts waves with too many failures and ends those with nothing left.
pub(crate) fn plan_endings(plan: &mut Plan<'_>) {
    for (name, wave) in &plan.fleet.waves {
        let ends = wave.pending.is_empty() && wave.out.is_empty();
        let running = wave.status == WaveStatus::Running;
        if running && wave.failed.len() > wave.settings.max_failures as usize {
            let why = format!("{} hosts failed in {name}", wave.failed.len());
            let halt = FleetChange::HaltWave { wave: name.clone(), reason: why.as_str().into() };
            plan.change(halt, why);
        } else if ends && (running || wave.status == WaveStatus::Aborting) {
            let finish = FleetChange::FinishWave { wave: name.clone() };
            plan.change(finish, format!("{name} has no host left"));
        }
    }
}

/// Whether hosts that have left for a wave may be rebooted.
pub(crate) fn may_reboot(wave: &Wave) -> bool {
    wave.status == WaveStatus::Running && wave.failed.len() <= wave.settings.max_failures as usize
}

/// Whether a wave may take hosts out in this plan.
pub(crate) fn goes_on(wave: &Wave) -> bool {
    may_reboot(wave) && !wave.pending.is_empty()
}

/// Takes hosts out for the waves that run.
pub(crate) fn plan_leaves(plan: &mut Plan<'_>) {
    // Above a lowered cap no host may draw more than before, so none may boot.
    if plan.power.excess() > 0 {
        return;
    }
    for (name, wave) in plan.fleet.waves.iter().filter(|(_, wave)| goes_on(wave)) {
        let stage = stage(plan.fleet, wave);
        let room = stage.limit().saturating_sub(wave.out.len());
        match stage {
            Stage::Canaries { .. } => take_canaries(plan, name, wave, room),
            Stage::Batches { .. } => take_batch(plan, name, wave, room),
        }
    }
}

/// The hosts of a wave that could go now as far as the wave is concerned, by pool.
fn candidates<'a>(
    plan: &Plan<'a>,
    wave: &'a Wave,
) -> BTreeMap<&'a PoolName, Vec<(&'a HostName, &'a Host)>> {
    let mut pools: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for name in &wave.pending {
        let Some(host) = plan.fleet.hosts.get(name) else { continue };
        if plan.is_free(name, host) {
            pools.entry(&host.pool).or_default().push((name, host));
        }
    }
    pools
}

fn take_canaries<'a>(plan: &mut Plan<'a>, name: &'a WaveName, wave: &'a Wave, room: usize) {
    let mut tried = tried_types(plan.fleet, wave.done.iter().chain(&wave.out));
    let mut racks: BTreeSet<_> = wave
        .out
        .iter()
        .chain(&wave.done)
        .filter_map(|host| plan.fleet.hosts.get(host))
        .map(|host| (&host.spec.data_centre, &host.spec.rack))
        .collect();
    let mut all: Vec<_> = candidates(plan, wave).into_values().flatten().collect();
    for _ in 0..room {
        let serves = |host: &Host| !plan.fleet.pools.get(&host.pool).is_some_and(|pool| pool.spare);
        all.sort_by_key(|(host_name, host)| {
            let same_rack = racks.contains(&(&host.spec.data_centre, &host.spec.rack));
            (tried.contains(&type_of(host)), serves(host), same_rack, *host_name)
        });
        let chosen = all.iter().position(|(host_name, host)| may_go(plan, host_name, host));
        let Some(at) = chosen else { return };
        let (host_name, host) = all.remove(at);
        tried.insert(type_of(host));
        racks.insert((&host.spec.data_centre, &host.spec.rack));
        let why = format!("{host_name} is a canary of {name}: {}", room_for(plan, host));
        take(plan, name, host_name, host, why);
    }
}

pub(crate) fn may_go<'a>(plan: &Plan<'a>, name: &'a HostName, host: &'a Host) -> bool {
    plan.ledger.check_without(name, host).is_ok() && plan.power.fits(host.boot_surge().0)
}

fn take_batch<'a>(plan: &mut Plan<'a>, name: &'a WaveName, wave: &'a Wave, room: usize) {
    let mut pools = candidates(plan, wave);
    for _ in 0..room {
        let Some((pool, at)) = choose(plan, &pools) else { return };
        let Some(hosts) = pools.get_mut(pool) else { return };
        let (host_name, host) = hosts.swap_remove(at);
        let why = format!("{host_name} is next in {name}: {}", room_for(plan, host));
        take(plan, name, host_name, host, why);
    }
}

/// The pool with most hosts left that can let one go, and which.
fn choose<'a>(
    plan: &Plan<'a>,
    pools: &BTreeMap<&'a PoolName, Vec<(&'a HostName, &'a Host)>>,
) -> Option<(&'a PoolName, usize)> {
    let mut order: Vec<_> = pools.iter().collect();
    order.sort_by_key(|(pool, hosts)| (std::cmp::Reverse(hosts.len()), **pool));
    order.into_iter().find_map(|(pool, hosts)| {
        let at = plan.ledger.next_out(hosts)?;
        plan.power.fits(hosts[at].1.boot_surge().0).then_some((*pool, at))
    })
}

pub(crate) fn take<'a>(
    plan: &mut Plan<'a>,
    wave: &'a WaveName,
    name: &'a HostName,
    host: &'a Host,
    why: String,
) {
    let owed = plan.power.owe_surge(host);
    debug_assert!(owed, "the surge of {name} was checked before it was chosen");
    let leave = FleetChange::BeginLeave { host: name.clone(), wave: wave.clone() };
    plan.change_host(name, host, leave, why);
}

fn room_for(plan: &Plan<'_>, host: &Host) -> String {
    if plan.fleet.services.values().any(|service| service.pool == host.pool) {
        format!("{} keeps its promises without it", host.pool)
    } else {
        format!("no service stands in {}", host.pool)
    }
}

/// The hosts of a pool that a wave still has ahead of it or out.
pub(crate) fn hosts_left(fleet: &Fleet) -> BTreeMap<&PoolName, usize> {
    let mut left = BTreeMap::new();
    for wave in fleet.waves.values().filter(|wave| wave.status == WaveStatus::Running) {
        for name in wave.pending.iter().chain(&wave.out) {
            let Some(host) = fleet.hosts.get(name) else { continue };
            *left.entry(&host.pool).or_default() += 1;
        }
    }
    left
}
