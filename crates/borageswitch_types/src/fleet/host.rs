//! A host's record: where it stands, what it does and what it may draw.

use crate::{
    fleet::{HostAddresses, Reason, Watts},
    names::{DataCentreName, OperationId, PoolName, RackName, WaveName},
    time::UnixMillis,
};

/// What a host draws at the most in each of its power states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Draw {
    /// Unthrottled, at full load.
    pub peak: Watts,
    /// Throttled, at full load.
    pub throttled: Watts,
    /// While it boots: above [`Self::peak`], since fans and disks start together.
    pub boot: Watts,
}

/// What does not change while a host is in service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostSpec {
    /// The data centre in which it stands.
    pub data_centre: DataCentreName,
    /// The rack in which it stands.
    pub rack: RackName,
    /// Where its target and its agent listen.
    pub addresses: HostAddresses,
    /// How many requests its target runs at once.
    pub slots: u16,
    /// How many connections its target takes.
    pub connections: u16,
    /// What it draws at the most.
    pub draw: Draw,
}

/// Why a host is to take no new work.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum LeaveReason {
    /// It goes to another pool.
    Move {
        /// The pool to which it goes.
        to: PoolName,
    },
    /// It is rebooted in a wave.
    Wave {
        /// The wave.
        wave: WaveName,
    },
    /// An operator takes it out of use.
    Hold {
        /// What the operator said.
        reason: Reason,
    },
    /// The power cap leaves no watts for it; it is switched off until it does.
    Power,
}

/// What a host does at the moment.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum HostPhase {
    /// It takes requests of its pool's services.
    Serving,
    /// It takes no new request; those in flight end by themselves.
    Leaving {
        /// What comes after the last request.
        why: LeaveReason,
    },
    /// Every live entry has confirmed that nothing is in flight, and a reboot was asked for.
    Rebooting {
        /// The wave that asked.
        wave: WaveName,
        /// The id of the command to the host's agent; a repeated command does nothing.
        operation: OperationId,
        /// After this time the agent refuses the command: a late one cannot reboot a host that
        /// serves again.
        not_after: UnixMillis,
    },
    /// It is back and takes few requests until the wave trusts it.
    Trial {
        /// The wave that rebooted it.
        wave: WaveName,
    },
    /// It is out of use until an operator releases it.
    Held {
        /// Why.
        reason: Reason,
    },
    /// It is kept off until the power cap leaves watts for it.
    Parked,
    /// It was asked to start and serves once its agent reports it ready.
    Starting {
        /// The id of the command to the host's agent.
        operation: OperationId,
        /// After this time the agent refuses the command.
        not_after: UnixMillis,
    },
    /// It did not come back, or failed what it started; it is out of use until it is replaced or
    /// released.
    Failed {
        /// What was seen.
        reason: Reason,
    },
}

/// How a host's draw is limited.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum HostPower {
    /// It may draw its peak.
    Full,
    /// A throttle was asked for; until the agent confirms, the host counts at its peak.
    Throttling {
        /// The id of the command to the host's agent.
        operation: OperationId,
    },
    /// The agent has confirmed the throttle and the lag of its readings has passed.
    Throttled,
    /// The peak is reserved again and the agent was asked to lift the throttle.
    Lifting {
        /// The id of the command to the host's agent.
        operation: OperationId,
    },
    /// The agent was asked to switch the host off; until it confirms, the host counts as before.
    SwitchingOff {
        /// The id of the command to the host's agent.
        operation: OperationId,
        /// What the host could draw when the agent was asked.
        reserved: Watts,
    },
    /// It failed while it booted: it counts at its boot surge, since it may still be at it.
    Surging,
    /// The agent has confirmed that the host is off.
    Off,
}

/// One host of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Host {
    /// What does not change.
    pub spec: HostSpec,
    /// The one pool to which it belongs.
    pub pool: PoolName,
    /// Counts the changes of pool and phase; what was agreed in an earlier epoch is void.
    pub epoch: u64,
    /// What it does.
    pub phase: HostPhase,
    /// How its draw is limited.
    pub power: HostPower,
    /// How often it has failed since an operator released it or a wave trusted it.
    #[serde(default)]
    pub failures: u16,
}

impl Host {
    /// A host that serves in `pool` from now on.
    pub fn serving(spec: HostSpec, pool: PoolName) -> Self {
        Self {
            spec,
            pool,
            epoch: 1,
            phase: HostPhase::Serving,
            power: HostPower::Full,
            failures: 0,
        }
    }

    /// What the host may draw at the most.
    ///
    /// Readings lag, so a host counts at its highest possible draw until a lower one is confirmed.
    pub fn reserved_power(&self) -> Watts {
        let boot = self.spec.draw.boot.max(self.spec.draw.peak);
        if matches!(self.phase, HostPhase::Rebooting { .. } | HostPhase::Starting { .. }) {
            return boot;
        }
        match self.power {
            HostPower::Full | HostPower::Throttling { .. } | HostPower::Lifting { .. } => {
                self.spec.draw.peak
            }
            HostPower::Throttled => self.spec.draw.throttled,
            HostPower::SwitchingOff { reserved, .. } => reserved,
            HostPower::Surging => boot,
            HostPower::Off => Watts(0),
        }
    }

    /// What a reboot would add to [`Self::reserved_power`].
    pub fn boot_surge(&self) -> Watts {
        let boot = self.spec.draw.boot.max(self.spec.draw.peak);
        Watts(boot.0.saturating_sub(self.reserved_power().0))
    }

    /// Whether the host counts towards the capacity of its pool.
    pub fn gives_capacity(&self) -> bool {
        self.phase == HostPhase::Serving
    }
}
