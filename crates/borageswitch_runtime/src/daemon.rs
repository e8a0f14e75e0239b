//! The parts of a daemon and their start.
//!
//! The control thread runs only the scheduler; the traffic thread serves all sockets. Two queues
//! connect them: messages to the control thread, and effects to the traffic thread.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use async_channel::{Receiver, Sender};
use borageswitch_http::h2_stream::ByteCounter;
use borageswitch_scheduler::{config::Config, reducer::Limits};
use borageswitch_types::Time;
use opentelemetry::metrics::Meter;

use crate::{
    admission_limits::KnownLimits,
    authority::Authority,
    clock,
    control::{Control, Message, PendingEffect},
    election,
    failures::{ErrorResponse, Failure},
    instruments::Instruments,
    keys::LeaderRecord,
    orders::{self, ExecutorCalls, OrderSemaphores},
    peers::{self, Client, ExchangeError, KnownPeers, PeerRequest, PeerResponse, RelaySession},
    ports::{Platform, Revision},
    relays::{self, Relays},
    resend::StoreTimes,
    snapshots::StoredSnapshot,
    store_health::{StoreHealth, monitor},
    watching,
};

/// The capacity of the queue to the control thread. A full queue applies back-pressure to the
/// senders.
const MESSAGE_QUEUE_CAPACITY: usize = 16_384;

/// The configuration of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// The daemon's name.
    pub name: Arc<str>,
    /// The address at which it serves its peers.
    pub peer_address: SocketAddr,
    /// The processing power of its host, in cores. In an election stronger daemons are preferred.
    pub weight: f64,
    /// The limits that the scheduler keeps.
    pub limits: Limits,
    /// How long a watch on the configuration waits for a change.
    pub config_watch_timeout: Duration,
    /// The maximum age of a configuration whose keys are accepted; unlimited if not set.
    pub keys_hold: Option<Duration>,
    /// The meter that creates the daemon's metrics.
    pub meter: Meter,
}

/// The state that the parts of a daemon share.
pub struct Shared<P> {
    /// The daemon's configuration.
    pub cfg: DaemonConfig,
    /// The platform adapter.
    pub platform: P,
    /// The executor of the traffic thread, which serves all sockets.
    pub ex: Arc<smol::Executor<'static>>,
    /// Whether the daemon may give orders.
    pub authority: Authority,
    pub(crate) control: Sender<Message>,
    /// The daemon's metrics.
    pub instruments: Arc<Instruments>,
    pub(crate) store_health: Arc<StoreHealth>,
    pub(crate) admission_limits: KnownLimits,
    pub(crate) order_semaphores: OrderSemaphores,
    pub(crate) executor_calls: ExecutorCalls,
    pub(crate) store_times: StoreTimes,
    pub(crate) stored_snapshot: StoredSnapshot,
    /// The daemons that make this one's calls while it leads.
    pub relays: Relays,
    client: Client,
    pub(crate) known_peers: Arc<KnownPeers>,
    pub(crate) peer_bytes: ByteCounter,
    config: Mutex<Option<Arc<Config>>>,
    /// When the call was sent that last confirmed the configuration as the latest.
    config_confirmed: Mutex<Time>,
    leader: Mutex<Option<(LeaderRecord, Revision)>>,
    stopping: AtomicBool,
    stop_signal: (Sender<()>, Receiver<()>),
}

impl<P> Shared<P>
where
    P: Platform,
{
    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force if its version is higher than that of the current one.
    pub(crate) fn adopt_config(&self, config: Arc<Config>) {
        {
            let mut known = self.config.lock().unwrap_or_else(PoisonError::into_inner);
            if known.as_ref().is_some_and(|known| known.version >= config.version) {
                return;
            }
            *known = Some(config.clone());
        }
        log::info!(
            version = config.version, queues = config.queues.len(),
            callers = config.callers.len();
            "config-in-force"
        );
        // The queue is closed only when the process ends.
        let _ = self.control.try_send(Message::Configured(config));
    }

    /// Records that a call to the store sent at `sent` has shown the latest configuration.
    pub(crate) fn confirm_config(&self, sent: Time) {
        let mut confirmed = self.config_confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        *confirmed = (*confirmed).max(sent);
    }

    /// The time since the configuration was last confirmed: a later one is at most this old.
    pub fn config_age(&self) -> Duration {
        let confirmed = self.config_confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        clock::time().since(*confirmed)
    }

    /// Records the leader and logs a change.
    pub(crate) fn set_leader(&self, leader: Option<(LeaderRecord, Revision)>) {
        let mut known = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        let name = |leader: &Option<(LeaderRecord, Revision)>| {
            leader.as_ref().map(|(record, _)| record.name.clone())
        };
        if name(&known) != name(&leader) {
            let name = name(&leader);
            log::info!(name = name.as_deref().unwrap_or("nobody"); "leader-known");
        }
        *known = leader;
    }

    /// The leader that this daemon knows, and its fencing token.
    pub(crate) fn leader(&self) -> Option<(LeaderRecord, Revision)> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether the store is known to be unavailable to this daemon.
    pub(crate) fn store_is_unavailable(&self) -> bool {
        self.store_health.is_unavailable(clock::time())
    }

    /// The HTTP response to a failed request. While the store is unavailable, the time to retry
    /// depends on how long it has been so.
    pub fn error_response(&self, failure: &Failure) -> ErrorResponse {
        let mut error = failure.error_response();
        if *failure == Failure::StoreUnavailable {
            error.retry_after = Some(self.store_health.retry_after(clock::time()));
        }
        error
    }

    /// Whether this daemon leads in the term of `token`.
    pub(crate) fn leads(&self, token: Revision) -> bool {
        let known = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        let ours = known
            .as_ref()
            .is_some_and(|(record, at)| *at == token && record.address == self.cfg.peer_address);
        ours && !self.is_stopping()
    }

    /// Ends a term because another daemon leads.
    pub(crate) async fn depose(&self, token: Revision) {
        log::warn!(token = token; "deposed");
        self.authority.end();
        let _ = self.control.send(Message::Deposed { token }).await;
    }

    /// Sends a request to the leader. Gives `None` if no leader is known or it cannot be reached.
    pub(crate) async fn send_to_leader(&self, request: &PeerRequest) -> Option<PeerResponse> {
        if let Some(address) = self.remote_leader() {
            return self.send_to_peer(address, request).await;
        }
        self.leader.lock().unwrap_or_else(PoisonError::into_inner).as_ref()?;
        self.send_to_control(request.clone()).await
    }

    /// Sends a request to another daemon. Without a response it may have arrived all the same.
    pub(crate) async fn send_to_peer(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Option<PeerResponse> {
        self.exchange(address, request).await.ok()
    }

    /// Sends a request to another daemon. The error says whether it may have arrived.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, ExchangeError> {
        if self.remote_leader() == Some(address) {
            return self.client.exchange(address, request).await;
        }
        self.client.exchange_once(address, request).await
    }

    /// Offers this daemon to the leader at `address` as a relay. Gives `None` without a response.
    pub(crate) async fn offer_relay(&self, address: SocketAddr) -> Option<RelaySession> {
        self.client.offer_relay(address, self.cfg.weight).await
    }

    /// Requests the leader's record from known peers, while the store is unavailable to this
    /// daemon. Gives whether a newer leader was found.
    pub(crate) async fn find_leader(&self) -> bool {
        let known = self.leader();
        let leader = known.as_ref().map(|(record, _)| record.address);
        for other in self.known_peers.sample_except(leader) {
            let Some(PeerResponse::Leader(Some(found))) =
                self.send_to_peer(other, &PeerRequest::Leader).await
            else {
                continue;
            };
            if known.as_ref().is_none_or(|(_, token)| found.1 > *token) {
                self.set_leader(Some(found));
                return true;
            }
            return false;
        }
        false
    }

    /// Sends a request to this daemon's control thread.
    pub(crate) async fn send_to_control(&self, request: PeerRequest) -> Option<PeerResponse> {
        let (response, received) = async_channel::bounded(1);
        self.control.send(Message::Request { request, response }).await.ok()?;
        let response = received.recv().await.ok()?;
        Some(if self.authority.is_current() { response } else { response.without_admission() })
    }

    /// The address of the leader, if another daemon leads.
    pub(crate) fn remote_leader(&self) -> Option<SocketAddr> {
        let known = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        let (record, _) = known.as_ref()?;
        (record.address != self.cfg.peer_address).then_some(record.address)
    }

    /// Whether the daemon is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins the shutdown: leadership is given up at once, callers are served for a while longer.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.stop_signal.0.close();
    }

    pub(crate) async fn wait_for_stop(&self) {
        // Nothing is sent; closing the channel is the signal.
        let _ = self.stop_signal.1.recv().await;
    }

    /// Whether the daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config().is_some()
    }
}

/// Starts a daemon: its control thread, and its tasks on `ex`, which the caller must run.
///
/// # Errors
///
/// When the peer address cannot be bound, or the control thread cannot be started.
pub fn start<P>(
    mut cfg: DaemonConfig,
    platform: P,
    ex: Arc<smol::Executor<'static>>,
) -> io::Result<Arc<Shared<P>>>
where
    P: Platform,
{
    let listener = smol::Async::<std::net::TcpListener>::bind(cfg.peer_address)?;
    cfg.peer_address = listener.get_ref().local_addr()?;
    let (control, messages) = async_channel::bounded(MESSAGE_QUEUE_CAPACITY);
    let (effects_tx, effects) = async_channel::unbounded::<PendingEffect>();
    let instruments = Arc::new(Instruments::new(&cfg.meter));
    let peer_bytes = ByteCounter::new(&cfg.meter);
    let thread = Control::new(cfg.limits.clone(), messages, effects_tx, instruments.clone());
    thread::Builder::new().name("control".to_owned()).spawn(|| smol::block_on(thread.run()))?;
    let known_peers = Arc::new(KnownPeers::default());
    let shared = Arc::new(Shared {
        platform,
        authority: Authority::default(),
        control,
        instruments,
        store_health: Arc::default(),
        admission_limits: KnownLimits::default(),
        order_semaphores: OrderSemaphores::default(),
        executor_calls: ExecutorCalls::default(),
        store_times: StoreTimes::default(),
        stored_snapshot: StoredSnapshot::default(),
        relays: Relays::default(),
        client: Client::new(cfg.peer_address, known_peers.clone(), ex.clone(), peer_bytes.clone()),
        known_peers,
        peer_bytes,
        config: Mutex::default(),
        config_confirmed: Mutex::new(clock::time()),
        leader: Mutex::default(),
        stopping: AtomicBool::new(false),
        stop_signal: async_channel::bounded(1),
        ex: ex.clone(),
        cfg,
    });
    ex.spawn(peers::serve(listener.into(), shared.clone())).detach();
    ex.spawn(watching::config(shared.clone())).detach();
    ex.spawn(monitor::run(shared.clone())).detach();
    ex.spawn(election::run(shared.clone())).detach();
    ex.spawn(orders::run(shared.clone(), effects)).detach();
    ex.spawn(relays::run(shared.clone())).detach();
    Ok(shared)
}
