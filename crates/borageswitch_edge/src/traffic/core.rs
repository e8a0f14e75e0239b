//! What all traffic threads share.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    panic::{self, AssertUnwindSafe},
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwapOption;
use borageswitch_control::Event;
use borageswitch_policy::dispatch::Ticket;
use borageswitch_types::{
    Time,
    names::{DaemonName, ServiceName},
    slots::SlotMessage,
    view::TrafficView,
};
use serde_json::json;
use smol::Executor;

use super::{
    claims::Claims, config::TrafficConfig, pool::Pool, queue::ServiceQueue, shutdown::Shutdown,
    stats::Stats,
};

/// The slot messages that dispatchers send out.
pub(super) type SlotSender = async_channel::Sender<(DaemonName, SlotMessage)>;

/// What all traffic threads share.
pub(super) struct Core {
    pub(super) cfg: TrafficConfig,
    pub(super) local_addr: SocketAddr,
    pub(super) executor: Arc<Executor<'static>>,
    pub(super) events: async_channel::Sender<Event>,
    pub(super) view: ArcSwapOption<TrafficView>,
    pub(super) pool: Arc<Pool>,
    pub(super) claims: Claims,
    pub(super) stats: Arc<Stats>,
    pub(super) shutdown: Shutdown,
    /// A message here makes the next report go out at once.
    pub(super) report_soon: (async_channel::Sender<()>, async_channel::Receiver<()>),
    slots: SlotSender,
    queues: RwLock<BTreeMap<ServiceName, Arc<ServiceQueue>>>,
    next_ticket: AtomicU64,
    /// Microseconds on the monotonic clock until which new requests are taken.
    admit_until: AtomicU64,
    threads_end: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Core {
    /// Lets new requests in until `until` on the monotonic clock.
    pub(super) fn admit_until(&self, until: Time) {
        self.admit_until.store(until.as_micros(), Ordering::SeqCst);
    }

    /// Whether the permission to take new requests still lasts.
    ///
    /// It is checked by each request and not by a timer: a process that was paused past the end of
    /// its permission refuses the first request after the pause.
    pub(super) fn may_admit(&self) -> bool {
        self.now().as_micros() < self.admit_until.load(Ordering::SeqCst)
    }

    pub(super) fn new(
        cfg: TrafficConfig,
        local_addr: SocketAddr,
        events: async_channel::Sender<Event>,
        slots: SlotSender,
    ) -> Self {
        let stats = Arc::new(Stats::new());
        Self {
            local_addr,
            executor: Arc::new(Executor::new()),
            events,
            view: ArcSwapOption::empty(),
            pool: Arc::new(Pool::new(&cfg, Arc::clone(&stats))),
            claims: Claims::default(),
            stats,
            shutdown: Shutdown::default(),
            report_soon: async_channel::bounded(1),
            slots,
            queues: RwLock::default(),
            next_ticket: AtomicU64::new(0),
            admit_until: AtomicU64::new(u64::MAX),
            threads_end: async_channel::bounded(1),
            cfg,
        }
    }

    pub(super) fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    pub(super) fn time_of(&self, at: Instant) -> Time {
        let since = at.saturating_duration_since(self.cfg.clock_start);
        Time::from_micros(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }

    pub(super) fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Runs tasks until the last connection has ended after a shutdown.
    ///
    /// A task that finds a broken invariant panics. That must cost its own connection and nothing
    /// else, or one broken request would take the thread from all others: so the thread goes on.
    pub(super) fn run_thread(&self) {
        let end = &self.threads_end.1;
        let run = || smol::block_on(self.executor.run(async { end.recv().await.is_err() }));
        while panic::catch_unwind(AssertUnwindSafe(run)).is_err() {
            log::error!("a request broke an invariant; its connection was closed");
        }
    }

    /// Lets the threads end.
    pub(super) fn end_threads(&self) {
        self.threads_end.0.close();
    }

    pub(super) fn publish_view(&self, view: Arc<TrafficView>) {
        let now = self.now();
        self.pool.set_view(&view);
        self.view.store(Some(Arc::clone(&view)));
        let mut queues = self.queues.write().unwrap_or_else(PoisonError::into_inner);
        for service in view.services.keys() {
            if !queues.contains_key(service) {
                let seed = self.cfg.seed.wrapping_add(queues.len() as u64);
                let queue = ServiceQueue::new(service.clone(), seed, self.slots.clone());
                queues.insert(service.clone(), Arc::new(queue));
            }
        }
        for queue in queues.values() {
            queue.set_view(now, &view);
        }
        drop(queues);
        self.ask_for_report();
    }

    pub(super) fn take_slots(&self, from: DaemonName, message: SlotMessage) {
        let service = match &message {
            SlotMessage::Ask { service, .. }
            | SlotMessage::Grant { service, .. }
            | SlotMessage::Hold { service, .. }
            | SlotMessage::Return { service, .. } => service,
        };
        if let Some(queue) = self.queue(service) {
            queue.take_slots(self.now(), from, message);
        }
    }

    pub(super) fn queue(&self, service: &ServiceName) -> Option<Arc<ServiceQueue>> {
        self.queues.read().unwrap_or_else(PoisonError::into_inner).get(service).cloned()
    }

    pub(super) fn all_queues(&self) -> Vec<Arc<ServiceQueue>> {
        self.queues.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// Makes the next report go out at once.
    pub(super) fn ask_for_report(&self) {
        let _ = self.report_soon.0.try_send(());
    }

    pub(super) fn dump(&self) -> serde_json::Value {
        let stats = self.stats.snapshot();
        let errors: BTreeMap<String, u64> =
            stats.errors.iter().map(|(kind, count)| (kind.to_string(), *count)).collect();
        let services: BTreeMap<String, serde_json::Value> = self
            .all_queues()
            .iter()
            .map(|queue| (queue.service().to_string(), queue.dump()))
            .collect();
        json!({
            "listen": self.local_addr.to_string(),
            "stopping": self.shutdown.has_begun(),
            "view": self.view.load().as_ref().map(|view| view.revision),
            "open_connections": stats.open_connections,
            "refused_connections": stats.refused_connections,
            "requests": stats.requests,
            "unfinished": stats.unfinished,
            "answered": stats.answered,
            "errors": errors,
            "retries": stats.retries,
            "waiting_claims": self.claims.waiting(),
            "latency_micros": {
                "p50": stats.latency_micros.value_at_quantile(0.5),
                "p99": stats.latency_micros.value_at_quantile(0.99),
                "max": stats.latency_micros.max(),
            },
            "services": services,
            "targets": self.pool.dump(),
        })
    }
}
