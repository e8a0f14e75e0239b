//! Configuration of one daemon's control state.

use std::{net::SocketAddr, time::Duration};

use borageswitch_types::names::RegionName;
use borageswitch_wire::peer::Member;

/// Switches for the safety checks that the control state's guarantees depend on.
///
/// They exist for tests only: a simulation with one guard off must fail, which shows that the
/// simulation's checks detect the fault. A daemon runs with all of them on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A duty holder checks its lease before it emits an effect, and its writes carry its fencing
    /// token.
    pub fencing: bool,
    /// A host counts as drained only once every live daemon has confirmed it.
    pub acknowledgements: bool,
    /// A claim whose response was lost is read back and identified by its nonce.
    pub claim_read_back: bool,
    /// A fleet document is adopted only if its revision is higher than the known one.
    pub adopt_only_higher: bool,
    /// A daemon stops taking work when it has lost contact with both the store and the majority.
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

/// Configuration of one daemon; created by [`ControlConfig::new`], then adjusted field by field.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// This daemon's own membership record.
    pub me: Member,
    /// The region that the daemon belongs to.
    pub region: RegionName,
    /// Timeout of a call to the store.
    pub store_timeout: Duration,
    /// Time to live of the daemon's lease, and so of its duties, unless it is renewed.
    pub duty_ttl: Duration,
    /// How often a heartbeat is sent when nothing has changed.
    pub heartbeat_interval: Duration,
    /// A daemon without contact for this time counts as silent.
    pub silence_timeout: Duration,
    /// Addresses at which peers may listen, for a start while the store is down.
    pub seeds: Vec<SocketAddr>,
    /// Seeds the jitter of delays and the nonces of claims; must differ between daemons.
    pub seed: u64,
    /// Switched off in tests only.
    pub guards: Guards,
}

impl ControlConfig {
    /// Creates a configuration with the default timeouts.
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
