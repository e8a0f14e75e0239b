//! The capacity of every pool, updated as a plan takes hosts out.

use std::collections::{BTreeMap, BTreeSet};

use borageswitch_types::{
    Fleet,
    fleet::{FailureDomain, Host, Refusal},
    names::{HostName, PoolName, ServiceName},
};

use crate::capacity::domain_of;

type Domain<'a> = (&'a str, &'a str);

/// The slots of one pool, grouped by each kind of failure domain that one of its services must
/// survive.
#[derive(Debug, Default)]
struct PoolTotals<'a> {
    promised: u32,
    services: Vec<(&'a ServiceName, FailureDomain)>,
    kinds: Vec<(FailureDomain, BTreeMap<Domain<'a>, u32>)>,
    counted: BTreeSet<&'a HostName>,
    slots: u32,
}

impl<'a> PoolTotals<'a> {
    fn add_service(&mut self, name: &'a ServiceName, survives: FailureDomain, promised: u32) {
        self.promised += promised;
        self.services.push((name, survives));
        if !self.kinds.iter().any(|(kind, _)| *kind == survives) {
            self.kinds.push((survives, BTreeMap::new()));
        }
    }

    fn add_host(&mut self, name: &'a HostName, host: &'a Host) {
        if !self.counted.insert(name) {
            return;
        }
        let slots = u32::from(host.spec.slots);
        self.slots += slots;
        for (kind, domains) in &mut self.kinds {
            *domains.entry(domain_of(name, host, *kind)).or_default() += slots;
        }
    }

    fn remove_host(&mut self, name: &'a HostName, host: &'a Host) {
        if !self.counted.remove(name) {
            return;
        }
        let slots = u32::from(host.spec.slots);
        self.slots -= slots;
        for (kind, domains) in &mut self.kinds {
            *domains.entry(domain_of(name, host, *kind)).or_default() -= slots;
        }
    }

    /// Slots that remain after the loss of the largest failure domain of a kind, with `removed`
    /// taken out as well.
    fn surviving(&self, survives: FailureDomain, removed: Option<(&'a HostName, &'a Host)>) -> u32 {
        let removed = removed.filter(|(name, _)| self.counted.contains(name));
        let lost = removed.map_or(0, |(_, host)| u32::from(host.spec.slots));
        let total = self.slots - lost;
        if survives == FailureDomain::None {
            return total;
        }
        let Some((_, domains)) = self.kinds.iter().find(|(kind, _)| *kind == survives) else {
            return total;
        };
        let removed_domain = removed.map(|(name, host)| domain_of(name, host, survives));
        let slots_of = |(domain, slots): (&Domain<'a>, &u32)| {
            if removed_domain == Some(*domain) { slots - lost } else { *slots }
        };
        total - domains.iter().map(slots_of).max().unwrap_or(0)
    }

    fn check(&self, removed: Option<(&'a HostName, &'a Host)>) -> Result<(), Refusal> {
        for (service, survives) in &self.services {
            let left = self.surviving(*survives, removed);
            if left < self.promised {
                let service = ServiceName::clone(service);
                return Err(Refusal::BudgetBroken { service, left, promised: self.promised });
            }
        }
        Ok(())
    }

    /// Slots in the failure domain of a host, for the widest kind that a service must survive.
    fn domain_slots(&self, name: &'a HostName, host: &'a Host) -> u32 {
        let widest = self.kinds.iter().max_by_key(|(kind, _)| domain_width(*kind));
        widest.map_or(0, |(kind, domains)| {
            domains.get(&domain_of(name, host, *kind)).copied().unwrap_or(0)
        })
    }
}

fn domain_width(kind: FailureDomain) -> u8 {
    match kind {
        FailureDomain::None => 0,
        FailureDomain::Host => 1,
        FailureDomain::Rack => 2,
        FailureDomain::DataCentre => 3,
    }
}

/// The capacity of every pool without the hosts that a plan has taken out.
#[derive(Debug)]
pub struct Ledger<'a> {
    pools: BTreeMap<&'a PoolName, PoolTotals<'a>>,
}

impl<'a> Ledger<'a> {
    /// Counts the hosts that provide capacity and for which `usable` holds.
    pub fn new<F>(fleet: &'a Fleet, usable: F) -> Self
    where
        F: Fn(&HostName) -> bool,
    {
        let mut pools: BTreeMap<&PoolName, PoolTotals<'a>> =
            fleet.pools.keys().map(|pool| (pool, PoolTotals::default())).collect();
        for (name, service) in &fleet.services {
            let totals = pools.entry(&service.pool).or_default();
            totals.add_service(name, service.survives, service.promised_slots);
        }
        for (name, host) in &fleet.hosts {
            if host.gives_capacity() && usable(name) {
                pools.entry(&host.pool).or_default().add_host(name, host);
            }
        }
        Self { pools }
    }

    /// Checks that the host's pool would meet its budgets without the host.
    ///
    /// # Errors
    ///
    /// [`Refusal::BudgetBroken`] with the first service that would miss its budget.
    pub fn check_without(&self, name: &'a HostName, host: &'a Host) -> Result<(), Refusal> {
        self.pools.get(&host.pool).map_or(Ok(()), |totals| totals.check(Some((name, host))))
    }

    /// Checks that a pool meets its budgets with the hosts that are counted now.
    ///
    /// # Errors
    ///
    /// [`Refusal::BudgetBroken`] with the first service that misses its budget.
    pub fn check_pool(&self, pool: &PoolName) -> Result<(), Refusal> {
        self.pools.get(pool).map_or(Ok(()), |totals| totals.check(None))
    }

    /// Stops counting a host.
    pub fn remove_host(&mut self, name: &'a HostName, host: &'a Host) {
        if let Some(totals) = self.pools.get_mut(&host.pool) {
            totals.remove_host(name, host);
        }
    }

    /// Counts a host again after [`Self::remove_host`].
    pub fn restore_host(&mut self, name: &'a HostName, host: &'a Host) {
        if let Some(totals) = self.pools.get_mut(&host.pool) {
            totals.add_host(name, host);
        }
    }

    /// Whether a host is counted.
    pub fn is_counted(&self, name: &HostName, host: &Host) -> bool {
        self.pools.get(&host.pool).is_some_and(|totals| totals.counted.contains(name))
    }

    /// Returns how many slots of `pool` are in the failure domain of a host.
    pub fn domain_slots(&self, pool: &PoolName, name: &'a HostName, host: &'a Host) -> u32 {
        self.pools.get(pool).map_or(0, |totals| totals.domain_slots(name, host))
    }

    /// Returns the hosts of `candidates` that could leave one after another without violating a
    /// budget.
    ///
    /// Greedy: always removes a host of the largest failure domain. A budget must survive the loss
    /// of the largest domain, so hosts beyond the size of the next largest one cost nothing, and no
    /// other order removes more hosts.
    pub fn removable(
        &mut self,
        candidates: &[(&'a HostName, &'a Host)],
    ) -> Vec<(&'a HostName, &'a Host)> {
        let mut remaining = candidates.to_vec();
        let mut removed = Vec::new();
        while let Some(index) = self.next_removable(&remaining) {
            let (name, host) = remaining.swap_remove(index);
            self.remove_host(name, host);
            removed.push((name, host));
        }
        for (name, host) in &removed {
            self.restore_host(name, host);
        }
        removed
    }

    /// Returns the index of the host in `candidates`, all of one pool, that should leave next, if
    /// any may.
    pub fn next_removable(&self, candidates: &[(&'a HostName, &'a Host)]) -> Option<usize> {
        let eligible = candidates.iter().enumerate().filter(|(_, (name, host))| {
            self.is_counted(name, host) && self.check_without(name, host).is_ok()
        });
        eligible
            .max_by_key(|(_, (name, host))| {
                let slots = self.domain_slots(&host.pool, name, host);
                (slots, std::cmp::Reverse(*name))
            })
            .map(|(index, _)| index)
    }
}
