//! Relays: daemons that make the leader's calls to executors.
//!
//! Each task needs a call for its start, and about one poll for its end. On a large site these calls
//! take most of the leader's processor, while other daemons of the same strength are idle. Daemons
//! on strong hosts therefore offer themselves to the leader as relays. Above a rate of calls that
//! depends on the strength of its own host, the leader sends its calls to them, many in one frame,
//! and receives their outcomes in the same way.
//!
//! - A relay decides nothing. The executors of a site are divided among the relays by
//!   [rendezvous hashing](registry), so that each executor is called by one relay only.
//! - The authority of the leader travels with each frame, as a time on the clock of the relay, and is
//!   checked right before each call as it is in the leader itself: a relay that was suspended, or a
//!   frame that was held up, sends nothing after its end.
//! - A call whose outcome does not arrive in time counts as one without a response: the executor may
//!   have carried it out, or may do so later. An outcome that arrives after that is ignored.
//!
//! [`frames`] are the messages, [`registry`] is the leader's view of its relays, [`sessions`] serves
//! them, and [`worker`] is the part of the relay.

mod frames;
mod registry;
mod sessions;
mod worker;

use std::time::Duration;

pub use self::registry::Relays;
pub(crate) use self::{registry::Routed, sessions::serve, worker::run};

/// The path of the request by which a daemon offers itself as a relay.
pub(crate) const RELAY_PATH: &str = "/relay";
/// The header of that request with the processing power of the relay's host, in cores.
pub(crate) const CORES_HEADER: &str = "cores";

/// How long calls or outcomes are collected for one frame.
const FLUSH_INTERVAL: Duration = Duration::from_millis(8);
/// The interval between frames of a relay that has nothing to report.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A relay that has sent no frame for this long is given up, and so is a leader.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);
