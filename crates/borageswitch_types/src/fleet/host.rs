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
}

impl Host {
    /// A host that serves in `pool` from now on.
    pub fn serving(spec: HostSpec, pool: PoolName) -> Self {
        Self { spec, pool, epoch: 1, phase: HostPhase::Serving, power: HostPower::Full }
    }

    /// What the host may draw at the most.
    ///
    /// Readings lag, so a host counts at its highest possible draw until a lower one is confirmed.
    pub fn reserved_power(&self) -> Watts {
        if matches!(self.phase, HostPhase::Rebooting { .. }) {
            return self.spec.draw.boot.max(self.spec.draw.peak);
        }
        match self.power {
            HostPower::Full | HostPower::Throttling { .. } => self.spec.draw.peak,
            HostPower::Throttled => self.spec.draw.throttled,
            HostPower::Off => Watts(0),
        }
    }

    /// Whether the host counts towards the capacity of its pool.
    pub fn gives_capacity(&self) -> bool {
        matches!(self.phase, HostPhase::Serving) && self.power != HostPower::Off
    }
}
