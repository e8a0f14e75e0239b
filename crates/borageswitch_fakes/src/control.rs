//! Injects faults into a site of stand-ins from outside the process.
//!
//! `POST /control` takes one [`Injection`] as JSON; `GET /counts` tells what was counted.

use std::{io, net::SocketAddr};

use borageswitch_types::names::HostName;
use http::{Method, StatusCode};

use crate::{
    faults::{FaultSwitch, Faults},
    host::Behaviour,
    serve::{self, Runner, WholeRequest, WholeResponse},
    site::SiteStandin,
};

/// Where a fault acts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// At the store.
    Store,
    /// At the list of hosts.
    HostList,
    /// Between entries and the target of a host.
    Target(HostName),
    /// Between entries and the agent of a host.
    Agent(HostName),
}

/// One thing that goes wrong from now on, or no longer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Injection {
    /// Replaces the faults of a place.
    Faults {
        /// Where.
        at: Place,
        /// What goes wrong there; nothing, if left out.
        #[serde(default)]
        faults: Faults,
    },
    /// Makes the open connections of a place silent for good.
    SilenceOpenConnections {
        /// Where.
        at: Place,
    },
    /// Changes how a target answers.
    Behave {
        /// The host.
        host: HostName,
        /// How it answers.
        behaviour: Behaviour,
    },
    /// Takes a host down without warning.
    FailHost {
        /// The host.
        host: HostName,
    },
    /// Changes what the list of hosts shows; without `leaving` the host is taken off it.
    List {
        /// The host.
        host: HostName,
        /// Whether it is shown as leaving.
        leaving: Option<bool>,
    },
}

impl SiteStandin {
    /// Lets one thing go wrong.
    ///
    /// # Errors
    ///
    /// Names the host that the site does not have.
    pub fn inject(&self, injection: &Injection) -> Result<(), String> {
        match injection {
            Injection::Faults { at, faults } => self.switch(at)?.set(*faults),
            Injection::SilenceOpenConnections { at } => self.switch(at)?.silence_open_connections(),
            Injection::Behave { host, behaviour } => self.find(host)?.behave(*behaviour),
            Injection::FailHost { host } => self.find(host)?.fail(),
            Injection::List { host, leaving } => self.host_list.set(host.clone(), *leaving),
        }
        Ok(())
    }

    fn find(&self, host: &HostName) -> Result<&crate::host::HostStandin, String> {
        self.hosts.get(host).ok_or_else(|| format!("host: '{host}' does not exist"))
    }

    fn switch(&self, at: &Place) -> Result<&FaultSwitch, String> {
        match at {
            Place::Store => Ok(&self.store.faults),
            Place::HostList => Ok(&self.host_list.faults),
            Place::Target(host) => Ok(&self.find(host)?.target_faults),
            Place::Agent(host) => Ok(&self.find(host)?.agent_faults),
        }
    }
}

/// Serves the control route at `listen` and gives the address bound.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start(ex: &Runner, listen: SocketAddr, site: SiteStandin) -> io::Result<SocketAddr> {
    let listener = serve::bind(listen)?;
    let address = listener.get_ref().local_addr()?;
    serve::serve(ex, listener, FaultSwitch::default(), move |req| {
        let res = handle(&site, &req);
        async move { Some(res) }
    });
    Ok(address)
}

fn handle(site: &SiteStandin, req: &WholeRequest) -> WholeResponse {
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/control") => inject(site, req),
        (&Method::GET, "/counts") => serve::answer_json(&serde_json::json!({
            "hosts": site.counts(),
            "doubled": site.doubled(),
            "draw_watts": site.draw_watts(),
            "store_calls": site.store.calls(),
        })),
        _ => serve::answer(StatusCode::NOT_FOUND, "POST /control or GET /counts"),
    }
}

fn inject(site: &SiteStandin, req: &WholeRequest) -> WholeResponse {
    let injection: Injection = match serde_json::from_slice(req.body()) {
        Ok(injection) => injection,
        Err(err) => return serve::answer(StatusCode::BAD_REQUEST, err.to_string()),
    };
    match site.inject(&injection) {
        Ok(()) => serve::answer_json(&injection),
        Err(err) => serve::answer(StatusCode::NOT_FOUND, err),
    }
}
