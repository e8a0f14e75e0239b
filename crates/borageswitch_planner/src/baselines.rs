//! Two simpler rollout strategies that serve as baselines for the planner.
//!
//! Both use the planner's host lifecycle and respect budgets and the power cap as it does. They
//! differ in which hosts they take out: one takes out a single host at a time, the other keeps a
//! fixed share of every pool in reserve and takes out at most that many hosts of the pool. Neither
//! moves hosts or uses canaries.

use std::collections::BTreeMap;

use borageswitch_types::{
    Fleet,
    fleet::{Host, Wave},
    names::{HostName, PoolName, WaveName},
};

use crate::steps::{Observed, Plan, Step, hosts, power, waves};

/// A baseline rollout strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// One host at a time in the whole region.
    OneAtATime,
    /// At most a fixed share of each pool's hosts at once.
    FixedShare {
        /// The share in percent of the pool's hosts.
        percent: u32,
    },
}

/// Computes the steps that the baseline strategy takes now.
pub fn next_steps(fleet: &Fleet, observed: &Observed, baseline: Baseline) -> Vec<Step> {
    let mut plan = Plan::new(fleet, observed);
    hosts::plan(&mut plan);
    power::shed(&mut plan);
    waves::plan_endings(&mut plan);
    if plan.power.excess() == 0 {
        for (name, wave) in fleet.waves.iter().filter(|(_, wave)| waves::may_take_hosts(wave)) {
            match baseline {
                Baseline::OneAtATime => plan_one_host(&mut plan, name, wave),
                Baseline::FixedShare { percent } => {
                    plan_fixed_share(&mut plan, name, wave, percent);
                }
            }
        }
    }
    plan.into_steps()
}

fn plan_one_host<'a>(plan: &mut Plan<'a>, name: &'a WaveName, wave: &'a Wave) {
    if !wave.out.is_empty() {
        return;
    }
    let next =
        pending_hosts(plan, wave).find(|(host_name, host)| waves::may_leave(plan, host_name, host));
    if let Some((host_name, host)) = next {
        waves::plan_leave(plan, name, host_name, host, format!("{host_name} is next in {name}"));
    }
}

fn plan_fixed_share<'a>(plan: &mut Plan<'a>, name: &'a WaveName, wave: &'a Wave, percent: u32) {
    let mut free_capacity: BTreeMap<&PoolName, usize> = plan
        .fleet
        .pools
        .keys()
        .map(|pool| (pool, plan.fleet.hosts_in(pool).count() * percent as usize / 100))
        .collect();
    for host in wave.out.iter().filter_map(|out| plan.fleet.hosts.get(out)) {
        if let Some(free_capacity) = free_capacity.get_mut(&host.pool) {
            *free_capacity = free_capacity.saturating_sub(1);
        }
    }
    let next: Vec<_> = pending_hosts(plan, wave).collect();
    for (host_name, host) in next {
        let Some(free_capacity) =
            free_capacity.get_mut(&host.pool).filter(|free_capacity| **free_capacity > 0)
        else {
            continue;
        };
        if waves::may_leave(plan, host_name, host) {
            *free_capacity -= 1;
            waves::plan_leave(
                plan,
                name,
                host_name,
                host,
                format!("{host_name} is next in {name}"),
            );
        }
    }
}

fn pending_hosts<'a>(
    plan: &Plan<'a>,
    wave: &'a Wave,
) -> impl Iterator<Item = (&'a HostName, &'a Host)> + use<'a> {
    let available: Vec<_> = wave
        .pending
        .iter()
        .filter_map(|name| plan.fleet.hosts.get_key_value(name))
        .filter(|(name, host)| plan.is_available(name, host))
        .collect();
    available.into_iter()
}
