//! The recent orders for hosts, and their ages.
//!
//! Two leaders must not give orders for the same host in quick succession: where the platform does
//! not check fencing tokens, a late order of the first would undo that of the second. A new leader
//! therefore gives no orders for hosts for which its predecessor has just given one. If it waited
//! for a fixed time after each change of leader, nearly all hosts would stay where they are during
//! the load peak that follows, so it counts from the time of the order instead. Wall clocks differ
//! between daemons and may jump, so ages are measured by the monotonic clock of the leader that
//! gave the order, as the time since it took over.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::names::HostName;

/// How long orders are kept: several times the pause that a new leader makes.
const RETENTION: Duration = Duration::from_secs(20);

/// The state of the last order for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
enum LastOrder {
    /// It is in flight, or may be.
    InFlight,
    /// The platform responded at this time of the current term, in milliseconds; negative in an
    /// earlier term.
    Answered(i64),
}

/// The recent orders for hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostOrders {
    /// How long the current leader has led, in milliseconds, by its last record.
    term_time: i64,
    last: BTreeMap<HostName, LastOrder>,
}

impl HostOrders {
    /// Returns whether no order is kept.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }

    /// Returns the minimum age of the last order for each host, for the next leader. The age is
    /// zero if the order may have been sent at the end of the last term.
    pub fn min_ages(&self) -> BTreeMap<HostName, Duration> {
        let age = |last: &LastOrder| match last {
            LastOrder::InFlight => Duration::ZERO,
            LastOrder::Answered(at) => {
                Duration::from_millis(self.term_time.saturating_sub(*at).max(0) as u64)
            }
        };
        self.last.iter().map(|(host, last)| (host.clone(), age(last))).collect()
    }

    pub(super) fn begin_term(&mut self) {
        for last in self.last.values_mut() {
            *last = match last {
                // An order of an earlier leader was sent before this term began.
                LastOrder::InFlight => LastOrder::Answered(0),
                LastOrder::Answered(at) => LastOrder::Answered(at.saturating_sub(self.term_time)),
            };
        }
        self.term_time = 0;
    }

    pub(super) fn set_term_time(&mut self, millis: u64) {
        self.term_time = millis as i64;
        let kept_from = self.term_time - RETENTION.as_millis() as i64;
        self.last.retain(|_, last| match last {
            LastOrder::InFlight => true,
            LastOrder::Answered(at) => *at >= kept_from,
        });
    }

    pub(super) fn ordered(&mut self, host: &HostName) {
        self.last.insert(host.clone(), LastOrder::InFlight);
    }

    pub(super) fn answered(&mut self, host: &HostName, millis: u64) {
        self.last.insert(host.clone(), LastOrder::Answered(millis as i64));
    }
}
