//! The capacity of every pool, kept up to date while a plan takes hosts out.

use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::{
    Fleet,
    fleet::{FailureDomain, Host, Refusal},
    names::{HostName, PoolName, ServiceName},
};

use crate::capacity::domain_of;

type Domain<'a> = (&'a str, &'a str);

/// The slots of one pool by each kind of failure domain that one of its services must survive.
#[derive(Debug, Default)]
struct PoolTally<'a> {
    promised: u32,
    services: Vec<(&'a ServiceName, FailureDomain)>,
    kinds: Vec<(FailureDomain, BTreeMap<Domain<'a>, u32>)>,
    counted: BTreeSet<&'a HostName>,
    slots: u32,
}

impl<'a> PoolTally<'a> {
    fn add_service(&mut self, name: &'a ServiceName, survives: FailureDomain, promised: u32) {
        self.promised += promised;
        self.services.push((name, survives));
        if !self.kinds.iter().any(|(kind, _)| *kind == survives) {
            self.kinds.push((survives, BTreeMap::new()));
        }
    }

    fn put(&mut self, name: &'a HostName, host: &'a Host) {
        if !self.counted.insert(name) {
            return;
        }
        let slots = u32::from(host.spec.slots);
        self.slots += slots;
        for (kind, domains) in &mut self.kinds {
            *domains.entry(domain_of(name, host, *kind)).or_default() += slots;
        }
    }

    fn take(&mut self, name: &'a HostName, host: &'a Host) {
        if !self.counted.remove(name) {
            return;
        }
        let slots = u32::from(host.spec.slots);
        self.slots -= slots;
        for (kind, domains) in &mut self.kinds {
            *domains.entry(domain_of(name, host, *kind)).or_default() -= slots;
        }
    }

    /// The slots left after the loss of the largest domain of a kind, without `gone` as well.
    fn surviving(&self, survives: FailureDomain, gone: Option<(&'a HostName, &'a Host)>) -> u32 {
        let gone = gone.filter(|(name, _)| self.counted.contains(name));
        let lost = gone.map_or(0, |(_, host)| u32::from(host.spec.slots));
        let all = self.slots - lost;
        if survives == FailureDomain::None {
            return all;
        }
        let Some((_, domains)) = self.kinds.iter().find(|(kind, _)| *kind == survives) else {
            return all;
        };
        let hit = gone.map(|(name, host)| domain_of(name, host, survives));
        let slots_of = |(domain, slots): (&Domain<'a>, &u32)| {
            if hit == Some(*domain) { slots - lost } else { *slots }
        };
        all - domains.iter().map(slots_of).max().unwrap_or(0)
    }

    fn check(&self, gone: Option<(&'a HostName, &'a Host)>) -> Result<(), Refusal> {
        for (service, survives) in &self.services {
            let left = self.surviving(*survives, gone);
            if left < self.promised {
                let service = ServiceName::clone(service);
                return Err(Refusal::BudgetBroken { service, left, promised: self.promised });
            }
        }
        Ok(())
    }

    /// The slots in the domain of a host, by the widest kind that a service must survive.
    fn domain_slots(&self, name: &'a HostName, host: &'a Host) -> u32 {
        let widest = self.kinds.iter().max_by_key(|(kind, _)| width(*kind));
        widest.map_or(0, |(kind, domains)| {
            domains.get(&domain_of(name, host, *kind)).copied().unwrap_or(0)
        })
    }
}

fn width(kind: FailureDomain) -> u8 {
    match kind {
        FailureDomain::None => 0,
        FailureDomain::Host => 1,
        FailureDomain::Rack => 2,
        FailureDomain::DataCentre => 3,
    }
}

/// The capacity of every pool, with hosts that a plan has taken out left out.
#[derive(Debug)]
pub struct Ledger<'a> {
    pools: BTreeMap<&'a PoolName, PoolTally<'a>>,
}

impl<'a> Ledger<'a> {
    /// Counts the hosts that give capacity and for which `usable` holds.
    pub fn new<F>(fleet: &'a Fleet, usable: F) -> Self
    where
        F: Fn(&HostName) -> bool,
    {
        let mut pools: BTreeMap<&PoolName, PoolTally<'a>> =
            fleet.pools.keys().map(|pool| (pool, PoolTally::default())).collect();
        for (name, service) in &fleet.services {
            let tally = pools.entry(&service.pool).or_default();
            tally.add_service(name, service.survives, service.promised_slots);
        }
        for (name, host) in &fleet.hosts {
            if host.gives_capacity() && usable(name) {
                pools.entry(&host.pool).or_default().put(name, host);
            }
        }
        Self { pools }
    }

    /// Checks that the host's pool would keep its promises without the host.
    ///
    /// # Errors
    ///
    /// [`Refusal::BudgetBroken`] names the first service that would not.
    pub fn check_without(&self, name: &'a HostName, host: &'a Host) -> Result<(), Refusal> {
        self.pools.get(&host.pool).map_or(Ok(()), |tally| tally.check(Some((name, host))))
    }

    /// Checks that a pool keeps its promises as it stands.
    ///
    /// # Errors
    ///
    /// [`Refusal::BudgetBroken`] names the first service that does not.
    pub fn check_pool(&self, pool: &PoolName) -> Result<(), Refusal> {
        self.pools.get(pool).map_or(Ok(()), |tally| tally.check(None))
    }

    /// Leaves a host out from now on.
    pub fn take(&mut self, name: &'a HostName, host: &'a Host) {
        if let Some(tally) = self.pools.get_mut(&host.pool) {
            tally.take(name, host);
        }
    }

    /// Counts a host in again after [`Self::take`].
    pub fn put_back(&mut self, name: &'a HostName, host: &'a Host) {
        if let Some(tally) = self.pools.get_mut(&host.pool) {
            tally.put(name, host);
        }
    }

    /// Whether a host counts.
    pub fn counts(&self, name: &HostName, host: &Host) -> bool {
        self.pools.get(&host.pool).is_some_and(|tally| tally.counted.contains(name))
    }

    /// How many slots fail together with a host, in the pool `pool`.
    pub fn domain_slots(&self, pool: &PoolName, name: &'a HostName, host: &'a Host) -> u32 {
        self.pools.get(pool).map_or(0, |tally| tally.domain_slots(name, host))
    }

    /// The hosts of `candidates` that could leave one after another without a broken promise.
    ///
    /// Each time one of the largest failure domain goes: what must survive is everything but the
    /// largest domain, so the first hosts out of it cost nothing, and no other order lets more go.
    pub fn removable(
        &mut self,
        candidates: &[(&'a HostName, &'a Host)],
    ) -> Vec<(&'a HostName, &'a Host)> {
        let mut left = candidates.to_vec();
        let mut gone = Vec::new();
        while let Some(at) = self.next_out(&left) {
            let (name, host) = left.swap_remove(at);
            self.take(name, host);
            gone.push((name, host));
        }
        for (name, host) in &gone {
            self.put_back(name, host);
        }
        gone
    }

    /// Which of `candidates`, all of one pool, should go out next, if one may.
    pub fn next_out(&self, candidates: &[(&'a HostName, &'a Host)]) -> Option<usize> {
        let may_go = candidates.iter().enumerate().filter(|(_, (name, host))| {
            self.counts(name, host) && self.check_without(name, host).is_ok()
        });
        may_go
            .max_by_key(|(_, (name, host))| {
                let slots = self.domain_slots(&host.pool, name, host);
                (slots, std::cmp::Reverse(*name))
            })
            .map(|(at, _)| at)
    }
}
