//! One stand-in machine: a target that answers requests and an agent that obeys commands.
//!
//! [`target`] runs requests and counts what callers must never see: requests cut by a reboot and
//! requests that ran twice. [`agent`] reboots, throttles and switches off, each command once.

mod agent;
mod target;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use borageswitch_types::names::{HostName, OperationId};

use crate::{
    faults::FaultSwitch,
    serve::{self, Runner},
};

/// How the target of a host answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// As asked.
    #[default]
    Normal,
    /// Each request takes this many times as long.
    Slow(u32),
    /// Each request fails at once.
    FailAll,
    /// Requests are accepted and never answered.
    Silent,
}

/// What a stand-in machine is.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// Its name.
    pub host: HostName,
    /// Where its target listens; port 0 takes any.
    pub target: SocketAddr,
    /// Where its agent listens; port 0 takes any.
    pub agent: SocketAddr,
    /// How many requests its target runs at once; more are refused.
    pub slots: u16,
    /// How long a reboot takes.
    pub boot_time: Duration,
    /// Its draw at full load, in watts.
    pub peak_watts: u64,
    /// Its draw while it boots, in watts.
    pub boot_watts: u64,
}

/// What was counted at a stand-in machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct HostCounts {
    /// Requests that ran to their end.
    pub ran: u64,
    /// Requests refused in the documented way.
    pub refused: u64,
    /// Requests in flight when the machine went down.
    pub cut: u64,
    /// Times the machine was rebooted.
    pub reboots: u64,
    /// The most requests in flight at once.
    pub most_in_flight: u32,
}

struct Inner {
    options: HostOptions,
    behaviour: Behaviour,
    counts: HostCounts,
    in_flight: u32,
    up_at: Option<Instant>,
    off: bool,
    limit_watts: Option<u64>,
    last: Option<OperationId>,
    done: Option<OperationId>,
    runs: BTreeMap<String, u32>,
    power_on: Sender<()>,
    power: Receiver<()>,
}

/// A stand-in machine on two loopback ports.
#[derive(Clone)]
pub struct HostStandin {
    inner: Arc<Mutex<Inner>>,
    target: SocketAddr,
    agent: SocketAddr,
    /// What goes wrong between entries and the target.
    pub target_faults: FaultSwitch,
    /// What goes wrong between entries and the agent.
    pub agent_faults: FaultSwitch,
}

impl HostStandin {
    /// Starts a machine.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub fn start(ex: &Runner, options: HostOptions) -> io::Result<Self> {
        let target = serve::bind(options.target)?;
        let agent = serve::bind(options.agent)?;
        let (power_on, power) = async_channel::bounded(1);
        let inner = Inner {
            options,
            behaviour: Behaviour::Normal,
            counts: HostCounts::default(),
            in_flight: 0,
            up_at: None,
            off: false,
            limit_watts: None,
            last: None,
            done: None,
            runs: BTreeMap::new(),
            power_on,
            power,
        };
        let host = Self {
            inner: Arc::new(Mutex::new(inner)),
            target: target.get_ref().local_addr()?,
            agent: agent.get_ref().local_addr()?,
            target_faults: FaultSwitch::default(),
            agent_faults: FaultSwitch::default(),
        };
        host.serve_target(ex, target);
        host.serve_agent(ex, agent);
        Ok(host)
    }

    /// Its name.
    pub fn name(&self) -> HostName {
        self.lock().options.host.clone()
    }

    /// Where its target listens.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Where its agent listens.
    pub fn agent(&self) -> SocketAddr {
        self.agent
    }

    /// Changes how the target answers.
    pub fn behave(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// What was counted so far.
    pub fn counts(&self) -> HostCounts {
        self.lock().counts
    }

    /// How often each non-idempotent request ran.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    /// What the machine draws now, in watts: the most that its state allows.
    pub fn draw_watts(&self) -> u64 {
        self.lock().draw_watts()
    }

    /// Takes the machine down without warning, for good or until it is rebooted.
    pub fn fail(&self) {
        let mut inner = self.lock();
        inner.off = true;
        inner.go_down();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn is_up(&mut self) -> bool {
        if self.up_at.is_some_and(|at| at <= Instant::now()) {
            self.up_at = None;
            self.done = self.last.clone();
        }
        !self.off && self.up_at.is_none()
    }

    /// Ends every exchange of the target: whoever waits on the old channel sees it closed.
    fn go_down(&mut self) {
        self.counts.cut += u64::from(self.in_flight);
        let (power_on, power) = async_channel::bounded(1);
        self.power_on = power_on;
        self.power = power;
    }

    fn draw_watts(&self) -> u64 {
        if self.off {
            return 0;
        }
        if self.up_at.is_some() {
            return self.options.boot_watts;
        }
        let peak = self.options.peak_watts;
        self.limit_watts.map_or(peak, |limit| limit.min(peak))
    }
}
