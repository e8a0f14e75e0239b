//! Fleet documents of the users' sites, and regions of any size for scaling measurements.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use borageswitch_types::{
    Fleet,
    fleet::{
        Author, ChangeRequest, Draw, FailureDomain, FleetChange, HostAddresses, HostSpec, Pool,
        Service, ServiceLimits, SiteConfig, Watts, WaveSettings, WaveWeights,
    },
    names::{DataCentreName, HostName, OperationId, PoolName, RackName, RegionName, ServiceName},
};

use crate::changes;

/// Hosts per rack.
const HOSTS_PER_RACK: usize = 4;
/// Concurrent requests per host.
const SLOTS_PER_HOST: u16 = 8;
/// Maximum number of connections per host.
const CONNECTIONS_PER_HOST: u16 = 64;
/// Name of the pool of spare hosts.
pub const SPARE_POOL: &str = "spare";

/// Parameters of a simulated site.
#[derive(Clone, Debug)]
pub struct SiteShape {
    /// The region's name.
    pub region: &'static str,
    /// The data centres.
    pub data_centres: Vec<String>,
    /// The pools, each with one service of the same name.
    pub pools: Vec<String>,
    /// Hosts that a pool needs to meet its availability budget after the loss of a rack.
    pub needed: usize,
    /// Additional hosts in each pool.
    pub reserve: usize,
    /// Hosts in the spare pool.
    pub spare: usize,
    /// Power draw of a host.
    pub draw: Draw,
    /// Hosts that can boot at once under the power cap.
    pub concurrent_boots: u64,
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Spotless Ridge: large hosts, five services.
pub fn spotless_ridge(reserve: usize, spare: usize) -> SiteShape {
    SiteShape {
        region: "gauteng",
        data_centres: names(&["midrand", "sandton", "centurion"]),
        pools: names(&["rostering", "quoting", "payroll", "billing", "back-office"]),
        needed: 8,
        reserve,
        spare,
        draw: Draw { peak: Watts(1_800), throttled: Watts(1_100), boot: Watts(2_200) },
        concurrent_boots: 12,
    }
}

/// The Association: smaller hosts, five services.
pub fn association(reserve: usize, spare: usize) -> SiteShape {
    SiteShape {
        region: "great-lakes",
        data_centres: names(&["detroit", "chicago", "toronto"]),
        pools: names(&["pricing", "auction", "docks", "inspection", "member-portal"]),
        needed: 8,
        reserve,
        spare,
        draw: Draw { peak: Watts(450), throttled: Watts(280), boot: Watts(550) },
        concurrent_boots: 12,
    }
}

/// A region with the given number of hosts and pools, for scaling measurements.
pub fn region_of(hosts: usize, pools: usize) -> SiteShape {
    let needed = (hosts / pools).saturating_sub(1).max(2);
    SiteShape {
        region: "large",
        data_centres: (0..4).map(|n| format!("dc-{n}")).collect(),
        pools: (0..pools).map(|n| format!("pool-{n:03}")).collect(),
        needed,
        reserve: 1,
        spare: hosts.saturating_sub((needed + 1) * pools),
        draw: Draw { peak: Watts(900), throttled: Watts(600), boot: Watts(1_100) },
        concurrent_boots: 64,
    }
}

/// Planner weights for buffer cost, rollout time and moves.
pub fn weights(buffer_cost: u32, roll_out_time: u32, moves: u32) -> WaveWeights {
    WaveWeights { buffer_cost, roll_out_time, moves }
}

/// The wave settings that both sites use.
pub fn wave_settings(weights: WaveWeights) -> WaveSettings {
    WaveSettings {
        canaries: 1,
        max_batch: 16,
        max_failures: 2,
        trial: Duration::from_secs(30),
        reboot_timeout: Duration::from_secs(900),
        weights,
    }
}

impl SiteShape {
    fn hosts(&self) -> usize {
        self.pools.len() * (self.needed + self.reserve) + self.spare
    }

    /// Builds the fleet document of the site.
    ///
    /// # Panics
    ///
    /// If the site that results from the shape is refused.
    pub fn fleet(&self) -> Fleet {
        let mut fleet = Fleet::empty(RegionName::from(self.region));
        let req = ChangeRequest {
            operation: OperationId::from("declare"),
            expected: None,
            author: Author::Operator { name: "operator".into() },
            reason: "the site is declared".into(),
            change: FleetChange::ApplySite(Box::new(self.config())),
        };
        if let Err(refusal) = changes::apply(&mut fleet, &req) {
            panic!("the site is refused: {refusal}");
        }
        fleet
    }

    /// The site configuration that operators would declare.
    pub fn config(&self) -> SiteConfig {
        let hosts = self.hosts();
        let surge = self.draw.boot.0 - self.draw.peak.0;
        let mut site = SiteConfig {
            entries_expected: 9,
            power_cap: Watts(hosts as u64 * self.draw.peak.0 + self.concurrent_boots * surge),
            ..SiteConfig::default()
        };
        for (index, name) in self.pools.iter().enumerate() {
            let pool = PoolName::from(name.as_str());
            let spec = Pool {
                wanted_hosts: (self.needed + self.reserve) as u32,
                spare: false,
                priority: (self.pools.len() - index).min(200) as u8,
            };
            site.pools.insert(pool.clone(), spec);
            site.services.insert(ServiceName::from(name.as_str()), self.service(pool));
        }
        let spares = Pool { wanted_hosts: self.spare as u32, spare: true, priority: 0 };
        site.pools.insert(PoolName::from(SPARE_POOL), spares);
        for index in 0..hosts {
            let (name, spec) = self.host(index);
            site.hosts.insert(name, (spec, self.pool_of(index)));
        }
        site
    }

    fn service(&self, pool: PoolName) -> Service {
        Service {
            pool,
            promised_slots: (self.needed as u32 - 1) * u32::from(SLOTS_PER_HOST),
            survives: FailureDomain::Rack,
            limits: ServiceLimits::default(),
        }
    }

    /// Assigns hosts to pools round-robin, so that a rack holds at most one host of a pool as long
    /// as there are at least as many pools as hosts in a rack.
    fn pool_of(&self, index: usize) -> PoolName {
        let serving = self.pools.len() * (self.needed + self.reserve);
        if index >= serving {
            return PoolName::from(SPARE_POOL);
        }
        PoolName::from(self.pools[index % self.pools.len()].as_str())
    }

    fn host(&self, index: usize) -> (HostName, HostSpec) {
        let rack = index / HOSTS_PER_RACK;
        let data_centre = &self.data_centres[rack % self.data_centres.len()];
        let address = Ipv4Addr::from(0x0a00_0000 + index as u32 + 1);
        let spec = HostSpec {
            data_centre: DataCentreName::from(data_centre.as_str()),
            rack: RackName::from(format!("r{rack:02}")),
            addresses: HostAddresses {
                target: SocketAddr::from((address, 8_000)),
                agent: SocketAddr::from((address, 9_000)),
            },
            slots: SLOTS_PER_HOST,
            connections: CONNECTIONS_PER_HOST,
            draw: self.draw,
        };
        (HostName::from(format!("h{index:04}")), spec)
    }
}
