//! What one daemon is told of itself.

use std::{net::SocketAddr, time::Duration};

use borageswitch_types::names::RegionName;
use borageswitch_wire::peer::Member;

/// Switches of the guards on which the promises rest.
///
/// They exist for the proof alone: a randomised run with one guard off must fail, or the check
/// that stands behind the guard could not fail at all. A daemon runs with all of them on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A holder checks its lease before an effect leaves, and its writes carry its fence.
    pub fencing: bool,
    /// A host is drained only once every live daemon has confirmed it.
    pub acknowledgements: bool,
    /// A claim whose answer was lost is read back by its nonce.
    pub claim_read_back: bool,
    /// A document is adopted only if its revision is higher.
    pub adopt_only_higher: bool,
    /// A daemon stops taking work by itself when it has lost the store and the majority.
    pub self_fence: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            fencing: true,
            acknowledgements: true,
            claim_read_back: true,
            adopt_only_higher: true,
            self_fence: true,
        }
    }
}

/// What one daemon is told of itself; made by [`ControlConfig::new`] and changed field by field.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// This daemon.
    pub me: Member,
    /// Its region.
    pub region: RegionName,
    /// After this time a call to the store counts as lost.
    pub store_timeout: Duration,
    /// How long a daemon's lease lasts without being kept alive; its duties last as long.
    pub duty_ttl: Duration,
    /// How often a heartbeat goes to each neighbour in the tree.
    pub heartbeat_interval: Duration,
    /// A daemon that was not heard for this time is silent.
    pub silence_timeout: Duration,
    /// Where peers may listen, for a start while the store is down.
    pub seeds: Vec<SocketAddr>,
    /// Seeds the jitter of waits and the nonces of claims; must differ between daemons.
    pub seed: u64,
    /// Off in proofs alone.
    pub guards: Guards,
}

impl ControlConfig {
    /// The usual settings of a daemon.
    pub fn new(me: Member, region: RegionName, seed: u64) -> Self {
        Self {
            me,
            region,
            store_timeout: Duration::from_millis(1_000),
            duty_ttl: Duration::from_secs(6),
            heartbeat_interval: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(4),
            seeds: Vec::new(),
            seed,
            guards: Guards::default(),
        }
    }
}
