//! The orders that hosts were given of late, and how old they are.
//!
//! Two leaders must not order the same host about in quick succession: where the platform does not
//! check tokens, a late order of the first would undo the second's. So a new leader leaves alone
//! what its predecessor has just ordered. Left alone for a fixed time after each change of leader,
//! nearly all hosts would stay where they are in the rush that follows: a new leader counts from
//! the order itself instead. Wall clocks differ between daemons and may jump, so ages are told by
//! the author's own steady clock, as the time since it took over.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::names::HostName;

/// How long orders are kept in mind: several times the pause that a new leader makes.
const KEEP: Duration = Duration::from_secs(20);

/// How the last order for a host stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
enum LastOrder {
    /// It is on its way, or may be.
    OnItsWay,
    /// It was answered at this time of the present term, in milliseconds; negative in an earlier
    /// term.
    Settled(i64),
}

/// The orders that hosts were given of late.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostOrders {
    /// How long the present leader has led, in milliseconds, as it last said.
    led: i64,
    last: BTreeMap<HostName, LastOrder>,
}

impl HostOrders {
    /// Whether none is kept in mind.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }

    /// For each host how old its last order is at least, for whoever leads next; zero if it may
    /// have left as late as the last leader could give any.
    pub fn ages(&self) -> BTreeMap<HostName, Duration> {
        let age = |last: &LastOrder| match last {
            LastOrder::OnItsWay => Duration::ZERO,
            LastOrder::Settled(at) => {
                Duration::from_millis(self.led.saturating_sub(*at).max(0) as u64)
            }
        };
        self.last.iter().map(|(host, last)| (host.clone(), age(last))).collect()
    }

    pub(super) fn term_began(&mut self) {
        for last in self.last.values_mut() {
            *last = match last {
                // An earlier leader's order left before this term began.
                LastOrder::OnItsWay => LastOrder::Settled(0),
                LastOrder::Settled(at) => LastOrder::Settled(at.saturating_sub(self.led)),
            };
        }
        self.led = 0;
    }

    pub(super) fn led(&mut self, millis: u64) {
        self.led = millis as i64;
        let kept_from = self.led - KEEP.as_millis() as i64;
        self.last.retain(|_, last| match last {
            LastOrder::OnItsWay => true,
            LastOrder::Settled(at) => *at >= kept_from,
        });
    }

    pub(super) fn ordered(&mut self, host: &HostName) {
        self.last.insert(host.clone(), LastOrder::OnItsWay);
    }

    pub(super) fn settled(&mut self, host: &HostName, millis: u64) {
        self.last.insert(host.clone(), LastOrder::Settled(millis as i64));
    }
}
