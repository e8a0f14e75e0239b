//! What other daemons report on the store.

use std::{collections::BTreeMap, mem, net::SocketAddr, time::Duration};

use borageswitch_types::Time;

use super::{StoreHealth, monitor::PROBE_INTERVAL};

/// How long a report of an outage is a hint. A daemon that receives it checks the store at once, so
/// that its own calls tell the rest.
const REPORT_VALID: Duration = Duration::from_secs(1);
/// How long job writes wait for the outcome of that check: until the call counts as slow, and for
/// delays on a busy host.
const CHECK_WINDOW: Duration = Duration::from_millis(60);
/// A response that arrived this much later than the reported beginning of an outage shows that the
/// store serves this daemon. A response just after it may have been on its way.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);
/// The least time between two reports to the same daemon.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// A report of a daemon on whether the store serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageReport {
    /// Whether the store is available to the daemon.
    pub available: bool,
    /// Since when.
    pub since: Time,
}

#[derive(Debug, Default)]
pub(super) struct Reports {
    /// Whether this daemon has learned of an outage, by itself or by a report, and not of its end.
    outage_known: bool,
    /// When the last report of an outage arrived that nothing has disproved.
    received: Option<Time>,
    /// When the check of such a report began.
    check_began: Option<Time>,
    check_due: bool,
    /// When daemons were last told.
    told: BTreeMap<SocketAddr, Time>,
    /// What a leader has last said on whether the store is available to it, and when.
    leader: Option<(SocketAddr, bool, Time)>,
    /// When a search for a newer leader last found none.
    failed_search: Option<Time>,
}

impl Reports {
    /// Whether other daemons report an outage, and no call of this daemon has disproved it.
    pub(super) fn tell_of_outage(&self, now: Time) -> bool {
        self.received.is_some_and(|at| now.since(at) < REPORT_VALID)
    }

    /// When the last report of an outage arrived that no call has disproved.
    pub(super) fn outage_reported(&self) -> Option<Time> {
        self.received
    }

    /// Whether a check of a report is under way whose outcome is to be waited for.
    pub(super) fn are_being_checked(&self, now: Time) -> bool {
        self.check_began.is_some_and(|at| now.since(at) < CHECK_WINDOW)
    }

    /// Discards reports of an outage, as the store has just responded. Gives whether there were any.
    pub(super) fn disprove(&mut self) -> bool {
        self.check_began = None;
        self.received.take().is_some()
    }
}

impl StoreHealth {
    /// Takes in a report that arrived at `now`. Gives whether it is new to this daemon.
    pub fn receive(&self, now: Time, report: OutageReport) -> bool {
        let mut state = self.lock();
        let unavailable = state.is_unavailable(now);
        let served = state.last_success.is_some_and(|at| at > report.since + RESPONSE_MARGIN);
        if !report.available && state.failing_since.is_none() && served {
            return false;
        }
        let reports = &mut state.reports;
        let new = mem::replace(&mut reports.outage_known, !report.available) == report.available;
        if report.available {
            reports.received = None;
            reports.check_due |= unavailable;
        } else {
            reports.received = Some(now);
            if new && !unavailable {
                reports.check_due = true;
                reports.check_began = Some(now);
            }
        }
        drop(state);
        self.wake_monitor();
        new
    }

    /// Records what this daemon found out by itself. Gives whether it is new to it.
    pub(super) fn learn(&self, available: bool) -> bool {
        mem::replace(&mut self.lock().reports.outage_known, !available) == available
    }

    /// Forgets that there was an outage once this daemon's own calls have disproved the reports.
    pub(super) fn settle(&self, now: Time) {
        let mut state = self.lock();
        state.reports.outage_known &= state.reports.tell_of_outage(now);
    }

    /// Whether the store has to be read because of a report. The next call gives `false`.
    pub(super) fn take_due_check(&self) -> bool {
        mem::take(&mut self.lock().reports.check_due)
    }

    /// Whether a daemon may be told now. It then counts as told.
    pub(super) fn may_tell(&self, peer: SocketAddr, now: Time) -> bool {
        let mut state = self.lock();
        state.reports.told.retain(|_, at| now.since(*at) < REPORT_INTERVAL);
        let free = !state.reports.told.contains_key(&peer);
        if free {
            state.reports.told.insert(peer, now);
        }
        free
    }

    /// Records what a leader said on whether the store is available to it.
    pub fn record_leader(&self, leader: SocketAddr, available: bool, now: Time) {
        self.lock().reports.leader = Some((leader, available, now));
    }

    /// Forgets what a leader said, as the store may be available to it again.
    pub fn forget_leader(&self) {
        self.lock().reports.leader = None;
    }

    /// Whether the store is available to a leader, by what it said. After the interval at which it
    /// checks the store, it is worth asking again.
    pub fn leader_has_store(&self, leader: SocketAddr, now: Time) -> Option<bool> {
        let (said_by, available, at) = self.lock().reports.leader?;
        (said_by == leader && now.since(at) < PROBE_INTERVAL).then_some(available)
    }

    /// Whether a search for a newer leader may find one: none has failed just now.
    pub fn may_search_leader(&self, now: Time) -> bool {
        let failed = self.lock().reports.failed_search;
        failed.is_none_or(|at| now.since(at) >= PROBE_INTERVAL)
    }

    /// Records that no newer leader was found.
    pub fn record_failed_search(&self, now: Time) {
        self.lock().reports.failed_search = Some(now);
    }
}
