//! Tells the reducer what is in flight, and lets the dispatchers see time pass.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_control::{Event, event::TrafficReport};
use borageswitch_types::{
    names::HostName,
    view::{TargetState, TrafficView},
};
use smol::Timer;

use super::{core::Core, request_body::before};

/// How often dispatchers see time pass. A deadline in the queue is answered this much late at the
/// most; the whole of it costs a few microseconds a service.
const TICK: Duration = Duration::from_millis(10);
/// How often a report goes out while there is something to tell.
const REPORT_EVERY: Duration = Duration::from_millis(200);
/// How often a report goes out that says the same as the last one. The reducer counts reports that
/// came after it decided something; with none coming, a daemon that is asked to stop while nothing
/// is in flight would wait for its whole stop timeout.
const REPEAT_EVERY: Duration = Duration::from_secs(1);
/// Over how long the share of failed requests is measured.
const FAILING_EVERY: Duration = Duration::from_secs(5);

impl Core {
    /// Makes the next report go out at once if the host may just have become free.
    pub(super) fn ask_for_report_of(&self, host: &HostName) {
        let view = self.view.load();
        let Some(view) = view.as_ref() else { return };
        if !is_open(view, host) {
            self.ask_for_report();
        }
    }

    fn report(&self, failing: &BTreeMap<HostName, u16>) -> Option<TrafficReport> {
        let view = self.view.load_full()?;
        let mut in_flight = BTreeMap::new();
        for queue in self.all_queues() {
            queue.add_in_flight(&mut in_flight);
        }
        let mut draining: BTreeMap<HostName, u32> = view
            .services
            .values()
            .flat_map(|service| service.targets.values())
            .filter(|target| target.state == TargetState::Leaving)
            .map(|target| (target.host.clone(), 0))
            .collect();
        // A host that has left the view altogether may still have requests in flight.
        for (host, count) in in_flight {
            if !is_open(&view, &host) {
                draining.insert(host, count);
            }
        }
        Some(TrafficReport {
            applied: view.revision,
            draining,
            failing: failing.clone(),
            unfinished: self.stats.unfinished(),
        })
    }
}

fn is_open(view: &TrafficView, host: &HostName) -> bool {
    let targets = || view.services.values().filter_map(|service| service.targets.get(host));
    targets().next().is_some() && targets().all(|target| target.state != TargetState::Leaving)
}

/// Starts the tasks that tick and report.
pub(super) fn spawn(core: &Arc<Core>) {
    core.executor.spawn(tick_all(Arc::downgrade(core))).detach();
    let soon = core.report_soon.1.clone();
    core.executor.spawn(report_all(Arc::downgrade(core), soon)).detach();
}

async fn tick_all(core: std::sync::Weak<Core>) {
    loop {
        Timer::after(TICK).await;
        let Some(core) = core.upgrade() else { return };
        let now = core.now();
        for queue in core.all_queues() {
            queue.tick(now);
        }
    }
}

async fn report_all(core: std::sync::Weak<Core>, soon: async_channel::Receiver<()>) {
    let mut last: Option<TrafficReport> = None;
    let mut last_sent = Instant::now();
    let mut failing = BTreeMap::new();
    let mut failing_measured = Instant::now();
    loop {
        before(Instant::now() + REPORT_EVERY, soon.recv()).await;
        let Some(core) = core.upgrade() else { return };
        if failing_measured.elapsed() >= FAILING_EVERY {
            failing_measured = Instant::now();
            failing = take_failing(&core);
        }
        let Some(report) = core.report(&failing) else { continue };
        let says_the_same = report.draining.is_empty() && last.as_ref() == Some(&report);
        if says_the_same && last_sent.elapsed() < REPEAT_EVERY {
            continue;
        }
        // A report that does not fit is replaced by the next one.
        if core.events.try_send(Event::Traffic(report.clone())).is_ok() {
            last = Some(report);
            last_sent = Instant::now();
        }
    }
}

fn take_failing(core: &Core) -> BTreeMap<HostName, u16> {
    let mut failing: BTreeMap<HostName, u16> = BTreeMap::new();
    for queue in core.all_queues() {
        for (host, share) in queue.take_failing() {
            let worst = failing.entry(host).or_default();
            *worst = (*worst).max(share);
        }
    }
    failing
}
