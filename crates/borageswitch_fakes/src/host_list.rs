//! A stand-in of the platform's list of hosts, which lags behind what hosts do.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use borageswitch_types::names::HostName;

use crate::{
    faults::FaultSwitch,
    serve::{self, Runner},
};

/// A list of hosts on a loopback port.
#[derive(Clone)]
pub struct HostListStandin {
    hosts: Arc<Mutex<BTreeMap<HostName, bool>>>,
    address: SocketAddr,
    /// What goes wrong at the list.
    pub faults: FaultSwitch,
}

impl HostListStandin {
    /// Starts a list of `hosts` at `listen`, none of them leaving.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start<I>(ex: &Runner, listen: SocketAddr, hosts: I) -> io::Result<Self>
    where
        I: IntoIterator<Item = HostName>,
    {
        let listener = serve::bind(listen)?;
        let address = listener.get_ref().local_addr()?;
        let hosts = hosts.into_iter().map(|host| (host, false)).collect();
        let list =
            Self { hosts: Arc::new(Mutex::new(hosts)), address, faults: FaultSwitch::default() };
        let served = list.clone();
        serve::serve(ex, listener, list.faults.clone(), move |_| {
            let rows = served.rows();
            async move { Some(serve::answer_json(&rows)) }
        });
        Ok(list)
    }

    /// Where the list listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Marks a host as leaving, or takes it off the list.
    pub fn set(&self, host: HostName, leaving: Option<bool>) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        match leaving {
            Some(leaving) => hosts.insert(host, leaving),
            None => hosts.remove(&host),
        };
    }

    fn rows(&self) -> Vec<serde_json::Value> {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts
            .iter()
            .map(|(host, leaving)| serde_json::json!({ "host": host, "leaving": leaving }))
            .collect()
    }
}
