//! The targets of one service at one entry, and the choice among them.
//!
//! A target may be sent a request when it accepts requests and this entry has a free slot of it:
//! the slots allocated to the entry by membership, less those lent, plus those borrowed. Among
//! targets with free slots the one with the shortest expected time comes first: the smallest share
//! of its slots in use, weighted by how slow it has been.
//!
//! An ejected target (see [`health`]) is used only
//! - for a probe, one request at a time;
//! - where it is slow and the wait that it saves exceeds the time that it adds: a slow target is
//!   useful capacity in an overload, but otherwise only adds delay; or
//! - when no healthy target is left.
//!
//! The availability budget limits how many failing targets are ejected at once, so that a false
//! alarm cannot take more capacity than a failure that the budget allows for. A failing target
//! beyond that limit stays in use. It pauses after each failure for as long as a run takes, so that
//! it does not attract work by failing fast.

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

pub use self::health::{EjectionReason, HealthSignal};
use self::target::Target;
use crate::slot_allocation;

/// An attempt in flight, for [`Targets::finish`].
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The host to which the request was sent.
    pub host: HostName,
    /// When it was sent.
    pub started: Time,
    rate: f64,
}

/// The targets of one service.
#[derive(Debug, Default)]
pub struct Targets {
    targets: BTreeMap<HostName, Target>,
    promised_slots: u32,
    typical_slowness: f64,
}

impl Targets {
    /// Replaces the view of the service.
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
        for target_view in view.targets.values() {
            match self.targets.get_mut(&target_view.host) {
                Some(target) => target.update(now, target_view),
                None => {
                    self.targets.insert(target_view.host.clone(), Target::new(now, target_view));
                }
            }
        }
        self.targets.retain(|_, target| target.listed || target.in_flight > 0);
        for target in self.targets.values_mut().filter(|target| !target.listed) {
            (target.lent, target.borrowed) = (0, 0);
        }
        self.warm_up(now, me, entries);
    }

    /// Updates how slow each target is; the cost is bounded by the number of targets.
    pub fn tick(&mut self, now: Time, me: &DaemonName, entries: &[DaemonName]) {
        self.warm_up(now, me, entries);
        for target in self.targets.values_mut() {
            target.slowness = target.health.slowness(now);
        }
        self.typical_slowness = self.median_slowness();
        let max_slow = self.targets.len() / 2;
        let mut slow = self.count_ejected(EjectionReason::Slow);
        for target in self.targets.values_mut().filter(|target| target.accepts_requests()) {
            if slow < max_slow && target.health.is_slow(now, self.typical_slowness) {
                target.health.eject(now, EjectionReason::Slow);
                slow += 1;
            }
        }
    }

    /// Returns whether the view names a target that accepts new requests.
    pub fn any_accepting(&self) -> bool {
        self.targets.values().any(Target::accepts_requests)
    }

    /// Returns the slots of healthy targets that this entry may use now, in use or free.
    pub fn capacity(&self) -> u32 {
        let healthy = |target: &&Target| target.health.ejection_reason().is_none();
        self.targets.values().filter(healthy).map(Target::usable).sum()
    }

    /// Returns the free slots of healthy targets.
    pub fn free(&self) -> u32 {
        let healthy = |target: &&Target| target.health.ejection_reason().is_none();
        self.targets.values().filter(healthy).map(Target::free).sum()
    }

    /// Returns whether a slot of any target is free, ejected or not.
    pub fn any_free(&self) -> bool {
        self.targets.values().any(|target| target.free() > 0)
    }

    /// Chooses the target for a request, given its expected run time and its expected wait for a
    /// healthy target.
    pub fn choose(
        &self,
        now: Time,
        request: &PlacementRequest<'_>,
    ) -> Option<(HostName, SocketAddr)> {
        let avoid = request.avoid.filter(|host| self.is_any_other_healthy(host));
        let free = || {
            let free = self.targets.iter().filter(|(_, target)| target.free() > 0);
            free.filter(|(host, target)| now >= target.paused_until && avoid != Some(*host))
        };
        let probe = free().find(|(_, target)| target.health.needs_probe(now, request.can_retry));
        let healthy = || {
            let healthy = free().filter(|(_, target)| target.health.ejection_reason().is_none());
            healthy.min_by(|(_, a), (_, b)| a.compare(b))
        };
        let slow = || free().find(|(_, target)| self.saves_time(target, request));
        let last_resort = || if self.is_any_healthy() { None } else { free().next() };
        let (host, target) = probe.or_else(healthy).or_else(slow).or_else(last_resort)?;
        Some((host.clone(), target.address))
    }

    /// Returns whether any target accepts requests and is not ejected. When the healthy targets
    /// leave, the ejected ones are all that is left, and it is better to use them than to wait for
    /// their next probes.
    fn is_any_healthy(&self) -> bool {
        self.targets
            .values()
            .any(|target| target.accepts_requests() && target.health.ejection_reason().is_none())
    }

    /// Returns whether a request that avoids `host` can go elsewhere. Without this check the
    /// request would wait for an ejected host until its deadline, and the queue behind it too.
    fn is_any_other_healthy(&self, host: &HostName) -> bool {
        self.targets.iter().any(|(other, target)| {
            other != host && target.usable() > 0 && target.health.ejection_reason().is_none()
        })
    }

    /// Takes a slot for a request that is sent now.
    ///
    /// # Panics
    ///
    /// Panics when the target has no free slot: a start beyond the slots would send a target more
    /// than its share, which would show only in the target's refusals.
    pub fn start(&mut self, now: Time, host: &HostName, expected: Option<Duration>) -> Attempt {
        let rate = health::rate_of(expected);
        if let Some(target) = self.targets.get_mut(host) {
            assert!(target.free() > 0, "a request was started without a free slot on {host}");
            target.in_flight += 1;
            target.last_start = now;
            target.health.record_start(now, rate);
        }
        Attempt { host: host.clone(), started: now, rate }
    }

    /// Frees the slot of an ended attempt.
    pub fn finish(&mut self, now: Time, ended: &Attempt, signal: HealthSignal, pause: Duration) {
        let Some(target) = self.targets.get_mut(&ended.host) else { return };
        target.in_flight -= 1;
        target.health.record_end(now, ended.started, ended.rate, signal);
        if !target.listed && target.in_flight == 0 {
            self.targets.remove(&ended.host);
            return;
        }
        if signal == HealthSignal::Negative {
            self.eject_if_failing(now, &ended.host, pause);
        }
    }

    /// Returns why a host is ejected, if it is.
    pub fn ejection_reason(&self, host: &HostName) -> Option<EjectionReason> {
        self.targets.get(host)?.health.ejection_reason()
    }

    /// Returns the share of failed attempts in thousandths for each host with recent attempts.
    pub fn failure_permille(&mut self, now: Time) -> BTreeMap<HostName, u16> {
        let share = |(host, target): (&HostName, &mut Target)| {
            Some((host.clone(), target.health.failure_permille(now)?))
        };
        self.targets.iter_mut().filter_map(share).collect()
    }

    fn eject_if_failing(&mut self, now: Time, host: &HostName, pause: Duration) {
        let others = self.attempts_elsewhere(host);
        let may_eject = self.budget_allows(host);
        let Some(target) = self.targets.get_mut(host) else { return };
        if target.health.ejection_reason() == Some(EjectionReason::Failing)
            || !target.health.is_failing(others)
        {
            return;
        }
        if may_eject {
            target.health.eject(now, EjectionReason::Failing);
        } else {
            target.paused_until = now + pause;
        }
    }

    fn attempts_elsewhere(&self, host: &HostName) -> (f64, f64) {
        let others = self.targets.iter().filter(|(other, _)| *other != host);
        others.fold((0.0, 0.0), |(failed, attempted), (_, target)| {
            let (more_failed, more_attempted) = target.health.attempts();
            (failed + more_failed, attempted + more_attempted)
        })
    }

    /// Returns whether `host` may be ejected. One target may always be ejected when another is
    /// left; more only while the others have the promised slots, and never more than half.
    fn budget_allows(&self, host: &HostName) -> bool {
        let listed = self.targets.iter().filter(|(_, target)| target.accepts_requests());
        let (mut count, mut ejected, mut left) = (0, 0, 0);
        for (other, target) in listed {
            count += 1;
            if other == host || target.health.ejection_reason() == Some(EjectionReason::Failing) {
                ejected += 1;
            } else {
                left += u32::from(target.slots);
            }
        }
        let within_budget = left >= self.promised_slots && ejected * 2 <= count;
        count > 1 && (ejected == 1 || within_budget)
    }

    /// Returns whether a slow target is worth using: the request would wait longer for another
    /// target than the slow one adds to its run time.
    fn saves_time(&self, target: &Target, request: &PlacementRequest<'_>) -> bool {
        let slowdown = (target.slowness / self.typical_slowness.max(1.0) - 1.0).max(0.0);
        let added_time = request.expected.mul_f64(slowdown);
        target.health.ejection_reason() == Some(EjectionReason::Slow)
            && request.wait > added_time
            && request.time_left > added_time
    }

    fn count_ejected(&self, reason: EjectionReason) -> usize {
        self.targets
            .values()
            .filter(|target| target.health.ejection_reason() == Some(reason))
            .count()
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
                    let open = warm_up::open_slots(now, since, target.slots);
                    slot_allocation::allocate(open, host, me, entries).min(target.allocated)
                }
                None => target.allocated,
            };
        }
    }
}

/// The request for which [`Targets::choose`] finds a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The expected run time.
    pub expected: Duration,
    /// The expected wait for a healthy target.
    pub wait: Duration,
    /// The time until its latest useful start.
    pub time_left: Duration,
    /// The host on which the last attempt failed.
    pub avoid: Option<&'a HostName>,
    /// Whether the request can be retried after a failure.
    pub can_retry: bool,
}
