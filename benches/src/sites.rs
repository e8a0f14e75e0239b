//! Sites of any size, in the proportions of the two-year target.

use std::{collections::BTreeMap, net::SocketAddr};

use borageswitch_types::{
    Fleet,
    fleet::{
        Draw, FailureDomain, Host, HostAddresses, HostSpec, Pool, Service, ServiceLimits,
        SiteConfig, Team, Watts,
    },
    names::{HostName, PoolName, RegionName, ServiceName, TeamName},
};

/// Hosts of the two-year target, in all regions.
pub(crate) const TARGET_HOSTS: usize = 1_700;
/// Regions of the two-year target; each has a fleet document of its own.
pub(crate) const TARGET_REGIONS: usize = 8;
/// Pools of the two-year target.
pub(crate) const TARGET_POOLS: usize = 301;
/// Teams with quotas of the two-year target; every region knows all of them.
pub(crate) const TARGET_TEAMS: usize = 260;
/// Hosts of one region at the two-year target.
pub(crate) const REGION_HOSTS: usize = TARGET_HOSTS.div_ceil(TARGET_REGIONS);

const HOSTS_A_RACK: usize = 4;
const DATA_CENTRES: usize = 4;
const SLOTS: u16 = 8;

/// A site of so many hosts, with pools and teams in proportion; ports are 0.
pub(crate) fn make_site(hosts: usize) -> SiteConfig {
    let pools = (hosts * TARGET_POOLS).div_ceil(TARGET_HOSTS).max(1);
    let teams = (hosts * TARGET_TEAMS).div_ceil(REGION_HOSTS).clamp(1, TARGET_TEAMS);
    let per_pool = hosts / pools;
    let pool_name = |i: usize| PoolName::from(format!("pool-{i:03}"));
    let service = |i: usize| Service {
        pool: pool_name(i),
        promised_slots: (per_pool as u32).saturating_sub(2).max(1) * u32::from(SLOTS) / 2,
        survives: FailureDomain::Host,
        limits: ServiceLimits::default(),
    };
    SiteConfig {
        entries_expected: 9,
        power_cap: Watts(hosts as u64 * 310),
        services: (0..pools)
            .map(|i| (ServiceName::from(format!("service-{i:03}")), service(i)))
            .collect(),
        pools: (0..pools)
            .map(|i| (pool_name(i), Pool { wanted_hosts: per_pool as u32, ..Pool::default() }))
            .collect(),
        hosts: (0..hosts)
            .map(|i| (HostName::from(format!("host-{i:04}")), (make_host(i), pool_name(i % pools))))
            .collect(),
        teams: (0..teams)
            .map(|i| (TeamName::from(format!("team-{i:03}")), Team { weight: 1, slot_quota: 64 }))
            .collect(),
        callers: BTreeMap::new(),
    }
}

fn make_host(number: usize) -> HostSpec {
    let rack = number / HOSTS_A_RACK;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    HostSpec {
        data_centre: format!("dc-{}", rack % DATA_CENTRES).into(),
        rack: format!("rack-{rack:03}").into(),
        addresses: HostAddresses { target: any, agent: any },
        slots: SLOTS,
        connections: 64,
        draw: Draw { peak: Watts(300), throttled: Watts(180), boot: Watts(360) },
    }
}

/// The fleet document of a site of so many hosts, all serving.
pub(crate) fn make_fleet(hosts: usize) -> Fleet {
    let site = make_site(hosts);
    let mut fleet = Fleet::empty(RegionName::from("bench"));
    fleet.entries_expected = site.entries_expected;
    fleet.power_cap = site.power_cap;
    fleet.services = site.services;
    fleet.pools = site.pools;
    fleet.teams = site.teams;
    fleet.hosts = site
        .hosts
        .into_iter()
        .map(|(name, (spec, pool))| (name, Host::serving(spec, pool)))
        .collect();
    fleet
}
