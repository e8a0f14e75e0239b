//! Test doubles for the randomised simulations and the golden sessions, all in virtual time.

#![allow(dead_code, unreachable_pub, reason = "each test program uses a part")]

pub mod checker;
pub mod faults;
pub mod store;
pub mod traffic;
pub mod world;

use std::{collections::BTreeMap, time::Duration};

use borageswitch_control::config::Guards;
use borageswitch_types::{
    fleet::{
        Draw, FailureDomain, HostAddresses, HostSpec, Pool, Service, ServiceLimits, SiteConfig,
        Watts,
    },
    names::{HostName, PoolName, ServiceName},
};

use self::{faults::Faults, world::World};

const RUN_TIME: Duration = Duration::from_secs(50);

/// Prints the seed to reproduce a failure when a check panics.
struct PrintSeedOnPanic(u64);

impl Drop for PrintSeedOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "seed {} violated an invariant; BORAGESWITCH_SEED={} reproduces it",
                self.0, self.0
            );
        }
    }
}

/// Simulates three to nine daemons with every kind of fault.
pub fn run(seed: u64, guards: Guards) -> World {
    let _print_seed = PrintSeedOnPanic(seed);
    let entries = 3 + (seed % 7) as u16;
    let mut world = World::new(seed, entries, Faults::many(), guards);
    world.run_until(RUN_TIME);
    world
}

/// Like [`run`], with granted requests that are not sent and are retried by their callers.
pub fn run_with_releases(seed: u64, guards: Guards) -> World {
    let _print_seed = PrintSeedOnPanic(seed);
    let entries = 3 + (seed % 7) as u16;
    let mut world = World::new(seed, entries, Faults::many(), guards);
    world.unsent_rng = Some(fastrand::Rng::with_seed(seed));
    world.run_until(RUN_TIME);
    world
}

pub const DATA_CENTRES: [&str; 3] = ["midrand", "sandton", "centurion"];
const HOSTS: usize = 12;
const POOLS: [&str; 2] = ["office", "payroll"];

/// A site with two pools of six hosts each in three data centres.
pub fn site(entries: u16) -> SiteConfig {
    let hosts = (0..HOSTS).map(|i| (host_name(i), (host_spec(i), PoolName::from(POOLS[i % 2]))));
    let services = POOLS.iter().map(|pool| (ServiceName::from(*pool), service(pool)));
    let pool = Pool { wanted_hosts: 6, ..Pool::default() };
    SiteConfig {
        entries_expected: entries,
        power_cap: Watts(100 * HOSTS as u64 + 400),
        services: services.collect(),
        pools: POOLS.iter().map(|name| (PoolName::from(*name), pool.clone())).collect(),
        hosts: hosts.collect(),
        teams: BTreeMap::new(),
        callers: BTreeMap::new(),
    }
}

pub fn host_name(i: usize) -> HostName {
    HostName::from(format!("host-{i:02}"))
}

fn host_spec(i: usize) -> HostSpec {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port + i as u16));
    HostSpec {
        data_centre: DATA_CENTRES[i % 3].into(),
        rack: format!("rack-{}", i % 6).as_str().into(),
        addresses: HostAddresses { target: address(10_000), agent: address(20_000) },
        slots: 8,
        connections: 64,
        draw: Draw { peak: Watts(100), throttled: Watts(60), boot: Watts(130) },
    }
}

fn service(pool: &str) -> Service {
    let max_deadline = Duration::from_secs(2);
    let default_deadline = Duration::from_secs(1);
    let limits = ServiceLimits { max_deadline, default_deadline, ..Default::default() };
    Service { pool: pool.into(), promised_slots: 16, survives: FailureDomain::Host, limits }
}
