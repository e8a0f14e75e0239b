//! Keeps what is reserved under the power cap.
//!
//! Load pattern: the cap is lowered at short notice, also in the middle of a wave, while readings
//! lag and hosts that boot draw more than hosts that work. A planner that reacts to readings finds
//! out too late; this one reserves before it acts. Watts come free only once a throttle or a stop
//! is confirmed and the lag of the readings has passed, and a throttle is lifted only after its
//! watts are reserved.
//!
//! Under a lowered cap the order is: switch off what does nothing, throttle, and only if throttles
//! in force do not suffice, stop hosts by the priority of their pools, each after a drain.

use borageswitch_types::{
    Fleet,
    fleet::{FleetChange, Host, HostPhase, HostPower, LeaveReason, Watts, Wave, WaveStatus},
    names::HostName,
};

use crate::steps::{Plan, hosts::valid_until};

/// The watts that a plan may still reserve.
#[derive(Debug)]
pub(crate) struct Budget {
    cap: u64,
    reserved: u64,
    /// Boot surges of hosts that leave for a wave and will need them once they are drained.
    owed: u64,
}

impl Budget {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let leaving = |host: &&Host| {
            matches!(host.phase, HostPhase::Leaving { why: LeaveReason::Wave { .. } })
        };
        let owed = fleet.hosts.values().filter(leaving).map(|host| host.boot_surge().0).sum();
        Self { cap: fleet.power_cap.0, reserved: fleet.reserved_power().0, owed }
    }

    /// The watts above the cap, as it is reserved now.
    pub(crate) fn excess(&self) -> u64 {
        self.reserved.saturating_sub(self.cap)
    }

    /// Whether `more` watts fit beside what is reserved and owed.
    pub(crate) fn fits(&self, more: u64) -> bool {
        self.reserved + self.owed + more <= self.cap
    }

    /// Reserves the boot surge of a drained host, which was owed so far.
    pub(crate) fn spend_surge(&mut self, host: &Host) -> bool {
        let surge = host.boot_surge().0;
        if self.reserved + surge > self.cap {
            return false;
        }
        self.reserved += surge;
        self.owed = self.owed.saturating_sub(surge);
        true
    }

    /// Sets the boot surge of a host aside that begins to leave.
    pub(crate) fn owe_surge(&mut self, host: &Host) -> bool {
        let surge = host.boot_surge().0;
        if !self.fits(surge) {
            return false;
        }
        self.owed += surge;
        true
    }

    /// Reserves the start of a host that is off or failed.
    pub(crate) fn spend_start(&mut self, host: &Host) -> bool {
        let more = host.boot_surge().0;
        if !self.fits(more) {
            return false;
        }
        self.reserved += more;
        true
    }

    fn spend(&mut self, more: u64) {
        self.reserved += more;
    }
}

/// The watts that will come free by what was asked of agents already.
fn coming_free(fleet: &Fleet) -> u64 {
    let freed = |host: &Host| match (&host.phase, &host.power) {
        (HostPhase::Leaving { why: LeaveReason::Power }, _)
        | (_, HostPower::SwitchingOff { .. }) => host.reserved_power().0,
        (_, HostPower::Throttling { .. }) => throttle_gain(host),
        _ => 0,
    };
    fleet.hosts.values().map(freed).sum()
}

fn throttle_gain(host: &Host) -> u64 {
    host.spec.draw.peak.0.saturating_sub(host.spec.draw.throttled.0)
}

/// Spare hosts give way first, then pools by priority.
fn rank(fleet: &Fleet, host: &Host) -> (bool, u8) {
    let pool = fleet.pools.get(&host.pool);
    (!pool.is_some_and(|pool| pool.spare), pool.map_or(0, |pool| pool.priority))
}

fn by_rank<'a>(plan: &Plan<'a>) -> Vec<(&'a HostName, &'a Host)> {
    let mut hosts: Vec<_> = plan.fleet.hosts.iter().collect();
    hosts.sort_by_key(|(name, host)| (rank(plan.fleet, host), *name));
    hosts
}

/// Brings the reservation under a cap that was lowered.
pub(crate) fn shed(plan: &mut Plan<'_>) {
    let excess = plan.power.excess();
    if excess == 0 {
        return;
    }
    let mut missing = excess.saturating_sub(coming_free(plan.fleet));
    let hosts = by_rank(plan);
    switch_idle_off(plan, &hosts, &mut missing);
    let throttles = throttle(plan, &hosts, &mut missing, "the power cap was lowered");
    let throttling = |host: &Host| matches!(host.power, HostPower::Throttling { .. });
    let on_their_way = throttles > 0 || plan.fleet.hosts.values().any(throttling);
    if missing > 0 && !on_their_way {
        stop(plan, &hosts, missing);
    }
}

fn switch_idle_off<'a>(plan: &mut Plan<'a>, hosts: &[(&'a HostName, &'a Host)], missing: &mut u64) {
    for (name, host) in hosts {
        let idle = matches!(host.phase, HostPhase::Held { .. } | HostPhase::Failed { .. });
        let on = !matches!(host.power, HostPower::Off | HostPower::SwitchingOff { .. });
        if *missing == 0 || !idle || !on || plan.is_touched(name) {
            continue;
        }
        *missing = missing.saturating_sub(host.reserved_power().0);
        plan.touch(name);
        let why = format!("{name} does nothing and the power cap is exceeded");
        plan.change(FleetChange::SwitchOff { host: HostName::clone(name) }, why);
    }
}

/// Throttles hosts until `missing` watts are found, and says how many.
fn throttle<'a>(
    plan: &mut Plan<'a>,
    hosts: &[(&'a HostName, &'a Host)],
    missing: &mut u64,
    why: &str,
) -> usize {
    let mut throttles = 0;
    for (name, host) in hosts {
        let running = matches!(
            host.phase,
            HostPhase::Serving | HostPhase::Trial { .. } | HostPhase::Leaving { .. }
        );
        let full = matches!(host.power, HostPower::Full | HostPower::Lifting { .. });
        let gain = throttle_gain(host);
        if *missing == 0 || !running || !full || gain == 0 || plan.is_touched(name) {
            continue;
        }
        *missing = missing.saturating_sub(gain);
        throttles += 1;
        let why = format!("{name} is throttled: {why}");
        plan.change(FleetChange::BeginThrottle { host: HostName::clone(name) }, why);
    }
    throttles
}

/// Stops hosts by the priority of their pools: first those without which all promises are kept.
///
/// The cap is physical: when no such host is left it goes before a promise, in the same order.
fn stop<'a>(plan: &mut Plan<'a>, hosts: &[(&'a HostName, &'a Host)], mut missing: u64) {
    for keeps_promises in [true, false] {
        for (name, host) in hosts {
            let stoppable = host.phase == HostPhase::Serving && !plan.is_touched(name);
            let allowed = !keeps_promises || plan.ledger.check_without(name, host).is_ok();
            if missing == 0 || !stoppable || !allowed {
                continue;
            }
            missing = missing.saturating_sub(host.reserved_power().0);
            let why = format!("{name} is stopped: every throttle is in force and the cap is lower");
            plan.change_host(
                name,
                host,
                FleetChange::ParkHost { host: HostName::clone(name) },
                why,
            );
        }
    }
}

fn active_waves(fleet: &Fleet) -> impl Iterator<Item = &Wave> {
    fleet.waves.values().filter(|wave| wave.status == WaveStatus::Running)
}

/// The largest boot surge that a running wave still needs at once.
fn next_surge(fleet: &Fleet) -> u64 {
    let hosts = active_waves(fleet).flat_map(|wave| wave.pending.iter().chain(&wave.out));
    let surge = |host: &Host| match host.phase {
        HostPhase::Rebooting { .. } => 0,
        _ => host.boot_surge().0,
    };
    hosts.filter_map(|name| fleet.hosts.get(name)).map(surge).max().unwrap_or(0)
}

/// Throttles hosts for the boot surge of a wave that could not go on for want of watts.
///
/// While a host reboots nothing is done: its surge comes free by itself.
pub(crate) fn make_room(plan: &mut Plan<'_>) {
    let booting = |host: &Host| {
        matches!(host.phase, HostPhase::Rebooting { .. } | HostPhase::Starting { .. })
    };
    if plan.power.excess() > 0 || plan.fleet.hosts.values().any(booting) {
        return;
    }
    let surge = next_surge(plan.fleet);
    let leaving = plan.power.owed;
    let needed = if leaving > 0 { 0 } else { surge };
    let room = plan.power.cap - plan.power.reserved;
    let missing = (leaving.min(surge) + needed).saturating_sub(room);
    let mut missing = missing.saturating_sub(coming_free(plan.fleet));
    if missing > 0 {
        let hosts = by_rank(plan);
        throttle(plan, &hosts, &mut missing, "a reboot needs its watts");
    }
}

/// Starts parked hosts and lifts throttles, the highest priority first, as far as watts allow.
///
/// The next boot surge of a running wave is kept free, or each reboot would find its watts spent
/// and throttle the same hosts again.
pub(crate) fn give_back(plan: &mut Plan<'_>) {
    let limited =
        |host: &Host| host.power == HostPower::Throttled || host.phase == HostPhase::Parked;
    if plan.power.excess() > 0 || !plan.fleet.hosts.values().any(limited) {
        return;
    }
    let kept = next_surge(plan.fleet);
    let mut hosts = by_rank(plan);
    hosts.reverse();
    for (name, host) in &hosts {
        let parked = host.phase == HostPhase::Parked && host.power == HostPower::Off;
        let surge = host.boot_surge().0;
        if parked && !plan.is_touched(name) && plan.power.fits(surge + kept) {
            plan.power.spend(surge);
            plan.touch(name);
            let not_after = valid_until(plan.observed.wall);
            let start = FleetChange::StartHost { host: HostName::clone(name), not_after };
            plan.change(start, format!("the power cap leaves {} for {name}", Watts(surge)));
        }
    }
    for (name, host) in &hosts {
        let gain = throttle_gain(host);
        let throttled = host.power == HostPower::Throttled;
        if throttled && !plan.is_touched(name) && plan.power.fits(gain + kept) {
            plan.power.spend(gain);
            plan.touch(name);
            let lift = FleetChange::LiftThrottle { host: HostName::clone(name) };
            plan.change(lift, format!("the power cap leaves {} for {name}", Watts(gain)));
        }
    }
}
