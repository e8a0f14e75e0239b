//! Two simpler ways to run a wave, against which the planner is measured.
//!
//! Both carry hosts on and keep budgets and the cap exactly as the planner does. They differ in
//! which hosts they take out: the one takes a host when the last one is back, the other keeps a
//! fixed share of every pool in reserve and takes out as many as that share. Neither moves a host
//! nor sends canaries ahead.

use std::collections::BTreeMap;

use borageswitch_types::{
    Fleet,
    fleet::{Host, Wave},
    names::{HostName, PoolName, WaveName},
};

use crate::steps::{Observed, Plan, Step, hosts, power, waves};

/// A simpler way to run a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// One host at a time in the whole region.
    OneAtATime,
    /// In every pool at most this share of its hosts at once, in hundredths.
    FixedShare {
        /// The share.
        percent: u32,
    },
}

/// Names the steps that the baseline takes now.
pub fn next_steps(fleet: &Fleet, observed: &Observed, baseline: Baseline) -> Vec<Step> {
    let mut plan = Plan::new(fleet, observed);
    hosts::plan(&mut plan);
    power::shed(&mut plan);
    waves::plan_endings(&mut plan);
    if plan.power.excess() == 0 {
        for (name, wave) in fleet.waves.iter().filter(|(_, wave)| waves::goes_on(wave)) {
            match baseline {
                Baseline::OneAtATime => take_one(&mut plan, name, wave),
                Baseline::FixedShare { percent } => take_shares(&mut plan, name, wave, percent),
            }
        }
    }
    plan.into_steps()
}

fn take_one<'a>(plan: &mut Plan<'a>, name: &'a WaveName, wave: &'a Wave) {
    if !wave.out.is_empty() {
        return;
    }
    let next = pending(plan, wave).find(|(host_name, host)| waves::may_go(plan, host_name, host));
    if let Some((host_name, host)) = next {
        waves::take(plan, name, host_name, host, format!("{host_name} is next in {name}"));
    }
}

fn take_shares<'a>(plan: &mut Plan<'a>, name: &'a WaveName, wave: &'a Wave, percent: u32) {
    let mut room: BTreeMap<&PoolName, usize> = plan
        .fleet
        .pools
        .keys()
        .map(|pool| (pool, plan.fleet.hosts_in(pool).count() * percent as usize / 100))
        .collect();
    for host in wave.out.iter().filter_map(|out| plan.fleet.hosts.get(out)) {
        if let Some(room) = room.get_mut(&host.pool) {
            *room = room.saturating_sub(1);
        }
    }
    let next: Vec<_> = pending(plan, wave).collect();
    for (host_name, host) in next {
        let Some(room) = room.get_mut(&host.pool).filter(|room| **room > 0) else { continue };
        if waves::may_go(plan, host_name, host) {
            *room -= 1;
            waves::take(plan, name, host_name, host, format!("{host_name} is next in {name}"));
        }
    }
}

fn pending<'a>(
    plan: &Plan<'a>,
    wave: &'a Wave,
) -> impl Iterator<Item = (&'a HostName, &'a Host)> + use<'a> {
    let free: Vec<_> = wave
        .pending
        .iter()
        .filter_map(|name| plan.fleet.hosts.get_key_value(name))
        .filter(|(name, host)| plan.is_free(name, host))
        .collect();
    free.into_iter()
}
