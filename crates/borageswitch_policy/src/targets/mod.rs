//! The targets of one service as one entry uses them: where a request is sent.
//!
//! A target may be given a request when it is open and this entry has a slot of it free: a slot
//! that membership deals to it, less what is lent, plus what is borrowed. Among free targets the
//! one with the shortest expected time comes first: the least part of its slots in use, weighed by
//! how slow it has been.
//!
//! A target in trouble (see [`health`]) is used otherwise only
//! - for a probe, one request at a time;
//! - where it is slow and the wait that it saves exceeds the time that it adds: a slow target is
//!   capacity in an overload, and a nuisance otherwise; or
//! - when no target without trouble is left.
//!
//! How many failing targets are set aside at once is bounded by the availability budget, so that
//! a false alarm cannot take more capacity than a failure that the budget foresees. A failing
//! target beyond that bound stays in use and runs one request at a time with a pause after each
//! failure, as long as a run takes, so that failing fast does not draw work.

mod health;
mod lending;
mod target;
mod warm_up;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use borageswitch_types::{
    Time,
    names::{DaemonName, HostName},
    view::ServiceView,
};

pub use self::health::{Trouble, Verdict};
use self::target::Target;
use crate::dealing;

/// A try in flight, for [`Targets::finish`].
#[derive(Clone, Debug)]
pub struct Try {
    /// The host on which it runs.
    pub host: HostName,
    /// When it was started.
    pub started: Time,
    rate: f64,
}

/// The targets of one service.
#[derive(Debug, Default)]
pub struct Targets {
    targets: BTreeMap<HostName, Target>,
    promised_slots: u32,
    usual_slowness: f64,
}

impl Targets {
    /// Takes a new view of the service.
    pub fn set_view(
        &mut self,
        now: Time,
        view: &ServiceView,
        me: &DaemonName,
        entries: &[DaemonName],
    ) {
        self.promised_slots = view.promised_slots;
        for target in self.targets.values_mut() {
            target.listed = false;
        }
        for seen in view.targets.values() {
            match self.targets.get_mut(&seen.host) {
                Some(target) => target.update(now, seen),
                None => {
                    self.targets.insert(seen.host.clone(), Target::new(now, seen));
                }
            }
        }
        self.targets.retain(|_, target| target.listed || target.in_flight > 0);
        for target in self.targets.values_mut().filter(|target| !target.listed) {
            (target.lent, target.borrowed) = (0, 0);
        }
        self.warm_up(now, me, entries);
    }

    /// Judges anew how slow each target is; the cost is bounded by the number of targets.
    pub fn tick(&mut self, now: Time, me: &DaemonName, entries: &[DaemonName]) {
        self.warm_up(now, me, entries);
        for target in self.targets.values_mut() {
            target.slowness = target.health.slowness(now);
        }
        self.usual_slowness = self.median_slowness();
        let most = self.targets.len() / 2;
        let mut slow = self.count_in_trouble(Trouble::Slow);
        for target in self.targets.values_mut().filter(|target| target.takes_new()) {
            if slow < most && target.health.is_slow(now, self.usual_slowness) {
                target.health.set_aside(now, Trouble::Slow);
                slow += 1;
            }
        }
    }

    /// Whether the view names a target that may take new requests.
    pub fn any_open(&self) -> bool {
        self.targets.values().any(Target::takes_new)
    }

    /// The slots of targets without trouble that this entry may use now, in use or free.
    pub fn capacity(&self) -> u32 {
        let healthy = |target: &&Target| target.health.trouble().is_none();
        self.targets.values().filter(healthy).map(Target::usable).sum()
    }

    /// Free slots of targets without trouble.
    pub fn free(&self) -> u32 {
        let healthy = |target: &&Target| target.health.trouble().is_none();
        self.targets.values().filter(healthy).map(Target::free).sum()
    }

    /// Whether a slot of any target is free, in trouble or not.
    pub fn any_free(&self) -> bool {
        self.targets.values().any(|target| target.free() > 0)
    }

    /// Where a request that is `expected` to run so long is best sent, given how long it would
    /// wait for a target without trouble.
    pub fn choose(&self, now: Time, ask: &Choice<'_>) -> Option<(HostName, SocketAddr)> {
        let avoid = ask.avoid.filter(|host| self.is_any_other_healthy(host));
        let free = || {
            let free = self.targets.iter().filter(|(_, target)| target.free() > 0);
            free.filter(|(host, target)| now >= target.paused_until && avoid != Some(*host))
        };
        let probe = free().find(|(_, target)| target.health.wants_probe(now, ask.can_try_again));
        let healthy = || {
            let healthy = free().filter(|(_, target)| target.health.trouble().is_none());
            healthy.min_by(|(_, a), (_, b)| a.compare(b))
        };
        let slow = || free().find(|(_, target)| self.saves_time(target, ask));
        let last = || if self.is_any_healthy() { None } else { free().next() };
        let (host, target) = probe.or_else(healthy).or_else(slow).or_else(last)?;
        Some((host.clone(), target.address))
    }

    /// Whether any target takes new requests and is in no trouble. When the healthy ones leave, what
    /// was set aside is all there is: better tried than left until its next probe.
    fn is_any_healthy(&self) -> bool {
        self.targets.values().any(|target| target.takes_new() && target.health.trouble().is_none())
    }

    /// Whether a request that avoids `host` has anywhere else to go. Without this a request would
    /// wait for a host that is set aside until its deadline passed, and the queue behind it.
    fn is_any_other_healthy(&self, host: &HostName) -> bool {
        self.targets.iter().any(|(other, target)| {
            other != host && target.usable() > 0 && target.health.trouble().is_none()
        })
    }

    /// Binds a slot to a request that is sent now.
    ///
    /// # Panics
    ///
    /// When the target has no free slot: a start beyond the slots would send a target more than
    /// its share, and one would notice it by the target's refusals.
    pub fn start(&mut self, now: Time, host: &HostName, expected: Option<Duration>) -> Try {
        let rate = health::rate_of(expected);
        if let Some(target) = self.targets.get_mut(host) {
            assert!(target.free() > 0, "a start without a free slot on {host}");
            target.in_flight += 1;
            target.last_start = now;
            target.health.started(now, rate);
        }
        Try { host: host.clone(), started: now, rate }
    }

    /// Frees the slot of a try that has ended.
    pub fn finish(&mut self, now: Time, ended: &Try, verdict: Verdict, pause: Duration) {
        let Some(target) = self.targets.get_mut(&ended.host) else { return };
        target.in_flight -= 1;
        target.health.ended(now, ended.started, ended.rate, verdict);
        if !target.listed && target.in_flight == 0 {
            self.targets.remove(&ended.host);
            return;
        }
        if verdict == Verdict::Bad {
            self.judge_failing(now, &ended.host, pause);
        }
    }

    /// Whether a host is used with care now, and why.
    pub fn trouble(&self, host: &HostName) -> Option<Trouble> {
        self.targets.get(host)?.health.trouble()
    }

    /// Share of failed tries of each host that had any lately, in thousandths.
    pub fn failure_permille(&mut self, now: Time) -> BTreeMap<HostName, u16> {
        let share = |(host, target): (&HostName, &mut Target)| {
            Some((host.clone(), target.health.failure_permille(now)?))
        };
        self.targets.iter_mut().filter_map(share).collect()
    }

    fn judge_failing(&mut self, now: Time, host: &HostName, pause: Duration) {
        let others = self.tries_elsewhere(host);
        let may_set_aside = self.budget_allows(host);
        let Some(target) = self.targets.get_mut(host) else { return };
        if target.health.trouble() == Some(Trouble::Failing) || !target.health.is_failing(others) {
            return;
        }
        if may_set_aside {
            target.health.set_aside(now, Trouble::Failing);
        } else {
            target.paused_until = now + pause;
        }
    }

    fn tries_elsewhere(&self, host: &HostName) -> (f64, f64) {
        let others = self.targets.iter().filter(|(other, _)| *other != host);
        others.fold((0.0, 0.0), |(failed, tried), (_, target)| {
            let (more_failed, more_tried) = target.health.tries();
            (failed + more_failed, tried + more_tried)
        })
    }

    /// One target may always be set aside when another is left; more only while the others hold
    /// the promised slots, and never more than half.
    fn budget_allows(&self, host: &HostName) -> bool {
        let listed = self.targets.iter().filter(|(_, target)| target.takes_new());
        let (mut count, mut aside, mut left) = (0, 0, 0);
        for (other, target) in listed {
            count += 1;
            if other == host || target.health.trouble() == Some(Trouble::Failing) {
                aside += 1;
            } else {
                left += u32::from(target.slots);
            }
        }
        let within_budget = left >= self.promised_slots && aside * 2 <= count;
        count > 1 && (aside == 1 || within_budget)
    }

    /// A slow target is worth its slot when the request would wait longer for another than the
    /// slow one runs beyond the usual.
    fn saves_time(&self, target: &Target, ask: &Choice<'_>) -> bool {
        let longer = (target.slowness / self.usual_slowness.max(1.0) - 1.0).max(0.0);
        let adds = ask.expected.mul_f64(longer);
        target.health.trouble() == Some(Trouble::Slow) && ask.wait > adds && ask.left > adds
    }

    fn count_in_trouble(&self, trouble: Trouble) -> usize {
        self.targets.values().filter(|target| target.health.trouble() == Some(trouble)).count()
    }

    fn median_slowness(&self) -> f64 {
        let mut all: Vec<f64> = self.targets.values().map(|target| target.slowness).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0)
    }

    fn warm_up(&mut self, now: Time, me: &DaemonName, entries: &[DaemonName]) {
        for (host, target) in &mut self.targets {
            target.open = match target.warming_since {
                Some(since) => {
                    let open = warm_up::slots_open(now, since, target.slots);
                    dealing::deal(open, host, me, entries).min(target.dealt)
                }
                None => target.dealt,
            };
        }
    }
}

/// What is to be placed.
#[derive(Clone, Debug)]
pub struct Choice<'a> {
    /// How long it is expected to run.
    pub expected: Duration,
    /// How long it would wait for a target without trouble.
    pub wait: Duration,
    /// The time until its deadline, less a run.
    pub left: Duration,
    /// Where it failed last.
    pub avoid: Option<&'a HostName>,
    /// Whether a failure could be tried again elsewhere.
    pub can_try_again: bool,
}
