//! A whole site of stand-ins on loopback ports.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use borageswitch_types::{fleet::SiteConfig, names::HostName};

use crate::{
    host::{HostCounts, HostOptions, HostStandin},
    host_list::HostListStandin,
    serve::Runner,
    store::StoreStandin,
};

/// A store, a list of hosts and the hosts of a site.
#[derive(Clone)]
pub struct SiteStandin {
    /// The platform's key-value service.
    pub store: StoreStandin,
    /// The platform's list of hosts.
    pub host_list: HostListStandin,
    /// The machines by name.
    pub hosts: BTreeMap<HostName, HostStandin>,
}

/// Any port of the loopback address.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl SiteStandin {
    /// Starts stand-ins for every host of `site` on any ports, and writes the ports into `site`.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub fn start(ex: &Runner, site: &mut SiteConfig, boot_time: Duration) -> io::Result<Self> {
        let mut hosts = BTreeMap::new();
        for (name, (spec, _)) in &mut site.hosts {
            let options = HostOptions {
                host: name.clone(),
                target: ANY_PORT,
                agent: ANY_PORT,
                slots: spec.slots,
                boot_time,
                peak_watts: spec.draw.peak.0,
                boot_watts: spec.draw.boot.0,
            };
            let host = HostStandin::start(ex, options)?;
            spec.addresses.target = host.target();
            spec.addresses.agent = host.agent();
            hosts.insert(name.clone(), host);
        }
        let store = StoreStandin::start(ex, ANY_PORT)?;
        let host_list = HostListStandin::start(ex, ANY_PORT, hosts.keys().cloned())?;
        Ok(Self { store, host_list, hosts })
    }

    /// What was counted at all machines together; the most in flight is of a single one.
    pub fn counts(&self) -> HostCounts {
        let mut sum = HostCounts::default();
        for counts in self.hosts.values().map(HostStandin::counts) {
            sum.ran += counts.ran;
            sum.refused += counts.refused;
            sum.cut += counts.cut;
            sum.reboots += counts.reboots;
            sum.most_in_flight = sum.most_in_flight.max(counts.most_in_flight);
        }
        sum
    }

    /// How many non-idempotent requests ran more than once, at any machine.
    pub fn doubled(&self) -> u64 {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for host in self.hosts.values() {
            for (id, count) in host.runs() {
                *runs.entry(id).or_default() += count;
            }
        }
        runs.values().filter(|count| **count > 1).count() as u64
    }

    /// What all machines draw now, in watts.
    pub fn draw_watts(&self) -> u64 {
        self.hosts.values().map(HostStandin::draw_watts).sum()
    }
}
