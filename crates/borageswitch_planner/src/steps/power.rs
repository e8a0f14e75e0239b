//! Keeps the reserved power under the power cap.
//!
//! The cap may be lowered at short notice, also during a wave, while readings lag and booting hosts
//! draw more than working ones. A planner that reacts to readings would notice an excess too late,
//! so this one reserves power before it acts. Power is released only once a throttle or stop is
//! confirmed and the lag of the readings has passed, and a throttle is lifted only after its power
//! is reserved.
//!
//! Under a lowered cap, idle hosts are switched off first, then hosts are throttled. Only if
//! throttles in force do not suffice are hosts stopped, each after a drain, in the order of their
//! pools' priority.

use borageswitch_types::{
    Fleet,
    fleet::{FleetChange, Host, HostPhase, HostPower, LeaveReason, Watts, Wave, WaveStatus},
    names::HostName,
};

use crate::steps::{Plan, hosts::valid_until};

/// The power that a plan may still reserve, in watts.
#[derive(Debug)]
pub(crate) struct PowerBudget {
    cap: u64,
    reserved: u64,
    /// Boot surges earmarked for hosts that are leaving for a wave, which they need once they are
    /// drained.
    earmarked: u64,
}

impl PowerBudget {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let leaving = |host: &&Host| {
            matches!(host.phase, HostPhase::Leaving { why: LeaveReason::Wave { .. } })
        };
        let earmarked = fleet.hosts.values().filter(leaving).map(|host| host.boot_surge().0).sum();
        Self { cap: fleet.power_cap.0, reserved: fleet.reserved_power().0, earmarked }
    }

    /// Reserved power above the cap.
    pub(crate) fn excess(&self) -> u64 {
        self.reserved.saturating_sub(self.cap)
    }

    /// Whether `more` watts fit under the cap in addition to reserved and earmarked power.
    pub(crate) fn fits(&self, more: u64) -> bool {
        self.reserved + self.earmarked + more <= self.cap
    }

    /// Reserves the boot surge of a drained host, which was earmarked so far.
    pub(crate) fn reserve_surge(&mut self, host: &Host) -> bool {
        let surge = host.boot_surge().0;
        if self.reserved + surge > self.cap {
            return false;
        }
        self.reserved += surge;
        self.earmarked = self.earmarked.saturating_sub(surge);
        true
    }

    /// Earmarks the boot surge of a host that begins to leave.
    pub(crate) fn earmark_surge(&mut self, host: &Host) -> bool {
        let surge = host.boot_surge().0;
        if !self.fits(surge) {
            return false;
        }
        self.earmarked += surge;
        true
    }

    /// Reserves the boot surge of a host that is off or failed.
    pub(crate) fn reserve_start(&mut self, host: &Host) -> bool {
        let more = host.boot_surge().0;
        if !self.fits(more) {
            return false;
        }
        self.reserved += more;
        true
    }

    fn reserve(&mut self, more: u64) {
        self.reserved += more;
    }
}

/// Power that will be released by commands already sent to agents.
fn pending_release(fleet: &Fleet) -> u64 {
    let released = |host: &Host| match (&host.phase, &host.power) {
        (HostPhase::Leaving { why: LeaveReason::Power }, _)
        | (_, HostPower::SwitchingOff { .. }) => host.reserved_power().0,
        (_, HostPower::Throttling { .. }) => throttle_gain(host),
        _ => 0,
    };
    fleet.hosts.values().map(released).sum()
}

fn throttle_gain(host: &Host) -> u64 {
    host.spec.draw.peak.0.saturating_sub(host.spec.draw.throttled.0)
}

/// Sort key of hosts that give up power: spare hosts first, then by the priority of their pool.
fn shed_rank(fleet: &Fleet, host: &Host) -> (bool, u8) {
    let pool = fleet.pools.get(&host.pool);
    (!pool.is_some_and(|pool| pool.spare), pool.map_or(0, |pool| pool.priority))
}

fn hosts_by_rank<'a>(plan: &Plan<'a>) -> Vec<(&'a HostName, &'a Host)> {
    let mut hosts: Vec<_> = plan.fleet.hosts.iter().collect();
    hosts.sort_by_key(|(name, host)| (shed_rank(plan.fleet, host), *name));
    hosts
}

/// Reduces the reserved power below a lowered cap.
pub(crate) fn shed(plan: &mut Plan<'_>) {
    let excess = plan.power.excess();
    if excess == 0 {
        return;
    }
    let mut missing = excess.saturating_sub(pending_release(plan.fleet));
    let hosts = hosts_by_rank(plan);
    switch_off_idle(plan, &hosts, &mut missing);
    let throttles = throttle(plan, &hosts, &mut missing, "the power cap was lowered");
    let throttling = |host: &Host| matches!(host.power, HostPower::Throttling { .. });
    let throttles_pending = throttles > 0 || plan.fleet.hosts.values().any(throttling);
    if missing > 0 && !throttles_pending {
        stop(plan, &hosts, missing);
    }
}

fn switch_off_idle<'a>(plan: &mut Plan<'a>, hosts: &[(&'a HostName, &'a Host)], missing: &mut u64) {
    for (name, host) in hosts {
        let idle = matches!(host.phase, HostPhase::Held { .. } | HostPhase::Failed { .. });
        let on = !matches!(host.power, HostPower::Off | HostPower::SwitchingOff { .. });
        if *missing == 0 || !idle || !on || plan.is_changed(name) {
            continue;
        }
        *missing = missing.saturating_sub(host.reserved_power().0);
        plan.mark_changed(name);
        let why = format!("{name} does nothing and the power cap is exceeded");
        plan.add_change(FleetChange::SwitchOff { host: HostName::clone(name) }, why);
    }
}

/// Throttles hosts until `missing` watts are covered, and returns their number.
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
        if *missing == 0 || !running || !full || gain == 0 || plan.is_changed(name) {
            continue;
        }
        *missing = missing.saturating_sub(gain);
        throttles += 1;
        let why = format!("{name} is throttled: {why}");
        plan.add_change(FleetChange::BeginThrottle { host: HostName::clone(name) }, why);
    }
    throttles
}

/// Stops hosts by the priority of their pools, first those that no availability budget needs.
///
/// The cap is a physical limit: when no such host is left, it takes precedence over budgets, in the
/// same order.
fn stop<'a>(plan: &mut Plan<'a>, hosts: &[(&'a HostName, &'a Host)], mut missing: u64) {
    for keep_budgets in [true, false] {
        for (name, host) in hosts {
            let stoppable = host.phase == HostPhase::Serving && !plan.is_changed(name);
            let allowed = !keep_budgets || plan.ledger.check_without(name, host).is_ok();
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

fn running_waves(fleet: &Fleet) -> impl Iterator<Item = &Wave> {
    fleet.waves.values().filter(|wave| wave.status == WaveStatus::Running)
}

/// The largest boot surge that the next host of a running wave may need.
fn next_surge(fleet: &Fleet) -> u64 {
    let hosts = running_waves(fleet).flat_map(|wave| wave.pending.iter().chain(&wave.out));
    let surge = |host: &Host| match host.phase {
        HostPhase::Rebooting { .. } => 0,
        _ => host.boot_surge().0,
    };
    hosts.filter_map(|name| fleet.hosts.get(name)).map(surge).max().unwrap_or(0)
}

/// Throttles hosts to cover the boot surge of a wave that would otherwise wait for power.
///
/// Does nothing while a host reboots, because its surge will be released without a throttle.
pub(crate) fn throttle_for_boot_surge(plan: &mut Plan<'_>) {
    let booting = |host: &Host| {
        matches!(host.phase, HostPhase::Rebooting { .. } | HostPhase::Starting { .. })
    };
    if plan.power.excess() > 0 || plan.fleet.hosts.values().any(booting) {
        return;
    }
    let surge = next_surge(plan.fleet);
    let leaving = plan.power.earmarked;
    let needed = if leaving > 0 { 0 } else { surge };
    let unreserved = plan.power.cap - plan.power.reserved;
    let missing = (leaving.min(surge) + needed).saturating_sub(unreserved);
    let mut missing = missing.saturating_sub(pending_release(plan.fleet));
    if missing > 0 {
        let hosts = hosts_by_rank(plan);
        throttle(plan, &hosts, &mut missing, "a reboot needs its watts");
    }
}

/// Starts parked hosts and lifts throttles as far as the power cap allows, the highest priority
/// first.
///
/// Keeps the next boot surge of a running wave free, since otherwise each reboot would find its
/// power spent and throttle the same hosts again.
pub(crate) fn restore(plan: &mut Plan<'_>) {
    let is_reduced =
        |host: &Host| host.power == HostPower::Throttled || host.phase == HostPhase::Parked;
    if plan.power.excess() > 0 || !plan.fleet.hosts.values().any(is_reduced) {
        return;
    }
    let headroom = next_surge(plan.fleet);
    let mut hosts = hosts_by_rank(plan);
    hosts.reverse();
    for (name, host) in &hosts {
        let parked = host.phase == HostPhase::Parked && host.power == HostPower::Off;
        let surge = host.boot_surge().0;
        if parked && !plan.is_changed(name) && plan.power.fits(surge + headroom) {
            plan.power.reserve(surge);
            plan.mark_changed(name);
            let not_after = valid_until(plan.observed.wall);
            let start = FleetChange::StartHost { host: HostName::clone(name), not_after };
            plan.add_change(start, format!("the power cap leaves {} for {name}", Watts(surge)));
        }
    }
    for (name, host) in &hosts {
        let gain = throttle_gain(host);
        let throttled = host.power == HostPower::Throttled;
        if throttled && !plan.is_changed(name) && plan.power.fits(gain + headroom) {
            plan.power.reserve(gain);
            plan.mark_changed(name);
            let lift = FleetChange::LiftThrottle { host: HostName::clone(name) };
            plan.add_change(lift, format!("the power cap leaves {} for {name}", Watts(gain)));
        }
    }
}
