//! Puts a daemon together.
//!
//! The control thread runs the scheduler and nothing else; all sockets are served by the traffic
//! thread. The two meet in two queues.

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
    authority::Authority,
    clock,
    control::{Control, Message, Work},
    election,
    instruments::Instruments,
    keys::LeaderRecord,
    orders::{self, Lanes},
    peers::{self, Acquaintances, Answer, Client, Question},
    ports::{Platform, Revision},
    store_health::StoreHealth,
    watching,
};

/// How many messages may wait for the control thread; a full queue holds the senders back.
const MESSAGE_QUEUE: usize = 16_384;

/// What a daemon is told at its start.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// Its name.
    pub name: Arc<str>,
    /// Where other daemons ask it.
    pub peer_address: SocketAddr,
    /// How much its host can do, in cores: the strongest daemon leads, if it can be chosen.
    pub weight: f64,
    /// What the platform promises.
    pub limits: Limits,
    /// How long a watch for the configuration waits on the store.
    pub config_wait: Duration,
    /// How old a configuration may be for its keys to be gone by; any age if not set.
    pub keys_hold: Option<Duration>,
    /// Where it counts and times.
    pub meter: Meter,
}

/// What the parts of a daemon share.
pub struct Shared<P> {
    /// How it was set up.
    pub cfg: DaemonConfig,
    /// The platform.
    pub platform: P,
    /// Where all sockets are served.
    pub ex: Arc<smol::Executor<'static>>,
    /// Whether it may give orders.
    pub authority: Authority,
    pub(crate) control: Sender<Message>,
    /// What it counts and times.
    pub instruments: Arc<Instruments>,
    pub(crate) store_health: StoreHealth,
    pub(crate) lanes: Lanes,
    client: Client,
    pub(crate) acquaintances: Arc<Acquaintances>,
    pub(crate) peer_bytes: ByteCounter,
    config: Mutex<Option<Arc<Config>>>,
    /// When the store last showed that no later configuration is there.
    config_confirmed: Mutex<Time>,
    leader: Mutex<Option<(LeaderRecord, Revision)>>,
    stopping: AtomicBool,
    stop: (Sender<()>, Receiver<()>),
}

impl<P> Shared<P>
where
    P: Platform,
{
    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes a configuration into force unless a higher version is.
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

    /// The store has shown to a call sent at this time which configuration is the last.
    pub(crate) fn confirm_config(&self, sent: Time) {
        let mut confirmed = self.config_confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        *confirmed = (*confirmed).max(sent);
    }

    /// For how long a later configuration than the one in force may have been there at most.
    pub fn config_age(&self) -> Duration {
        let confirmed = self.config_confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        clock::time().since(*confirmed)
    }

    /// Keeps in mind who leads.
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

    /// Who leads, as far as this daemon knows, and by which token.
    pub(crate) fn leader(&self) -> Option<(LeaderRecord, Revision)> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether the store is known not to answer this daemon.
    pub(crate) fn store_is_away(&self) -> bool {
        self.store_health.is_away(clock::time())
    }

    /// Whether this daemon is in the term with this token.
    pub(crate) fn leads(&self, token: Revision) -> bool {
        let known = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        let ours = known
            .as_ref()
            .is_some_and(|(record, at)| *at == token && record.address == self.cfg.peer_address);
        ours && !self.is_stopping()
    }

    /// Another leader was met: the term is over.
    pub(crate) async fn depose(&self, token: Revision) {
        log::warn!(token = token; "deposed");
        self.authority.end();
        let _ = self.control.send(Message::Deposed { token }).await;
    }

    /// Asks whoever leads; nothing if nobody is known to, or cannot be reached.
    pub(crate) async fn ask(&self, question: &Question) -> Option<Answer> {
        if let Some(address) = self.leader_elsewhere() {
            return self.ask_at(address, question).await;
        }
        self.leader.lock().unwrap_or_else(PoisonError::into_inner).as_ref()?;
        self.ask_own(question.clone()).await
    }

    /// Asks another daemon. Without an answer the question may have arrived all the same.
    pub(crate) async fn ask_at(&self, address: SocketAddr, question: &Question) -> Option<Answer> {
        self.client.ask(address, question).await
    }

    /// Asks daemons that this one has met who leads, while the store does not tell. Gives whether
    /// somebody else leads than was known.
    pub(crate) async fn find_leader(&self) -> bool {
        let known = self.leader();
        let leader = known.as_ref().map(|(record, _)| record.address);
        for other in self.acquaintances.some_but(leader) {
            let Some(Answer::Leader(Some(found))) = self.ask_at(other, &Question::Leader).await
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

    /// Asks this daemon's control thread.
    pub(crate) async fn ask_own(&self, question: Question) -> Option<Answer> {
        let (answer, answered) = async_channel::bounded(1);
        self.control.send(Message::Ask { question, answer }).await.ok()?;
        answered.recv().await.ok()
    }

    /// Where the leader is, if it is another daemon.
    pub(crate) fn leader_elsewhere(&self) -> Option<SocketAddr> {
        let known = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        let (record, _) = known.as_ref()?;
        (record.address != self.cfg.peer_address).then_some(record.address)
    }

    /// Whether the daemon is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins to end: the leadership is given up at once, callers are served on for a while.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.stop.0.close();
    }

    pub(crate) async fn stopped(&self) {
        // The channel carries nothing; closing it is the signal.
        let _ = self.stop.1.recv().await;
    }

    /// Whether callers can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config().is_some()
    }
}

/// Starts a daemon: its control thread, and its tasks on `ex`, which the caller has to run.
///
/// # Errors
///
/// When the address for other daemons cannot be bound, or no thread can be started.
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
    let (control, messages) = async_channel::bounded(MESSAGE_QUEUE);
    let (work_tx, work) = async_channel::unbounded::<Work>();
    let instruments = Arc::new(Instruments::new(&cfg.meter));
    let peer_bytes = ByteCounter::new(&cfg.meter);
    let thread = Control::new(cfg.limits.clone(), messages, work_tx, instruments.clone());
    thread::Builder::new().name("control".to_owned()).spawn(|| smol::block_on(thread.run()))?;
    let acquaintances = Arc::new(Acquaintances::default());
    let shared = Arc::new(Shared {
        platform,
        authority: Authority::default(),
        control,
        instruments,
        store_health: StoreHealth::default(),
        lanes: Lanes::default(),
        client: Client::new(
            cfg.peer_address,
            acquaintances.clone(),
            ex.clone(),
            peer_bytes.clone(),
        ),
        acquaintances,
        peer_bytes,
        config: Mutex::default(),
        config_confirmed: Mutex::new(clock::time()),
        leader: Mutex::default(),
        stopping: AtomicBool::new(false),
        stop: async_channel::bounded(1),
        ex: ex.clone(),
        cfg,
    });
    ex.spawn(peers::serve(listener.into(), shared.clone())).detach();
    ex.spawn(watching::config(shared.clone())).detach();
    ex.spawn(election::run(shared.clone())).detach();
    ex.spawn(orders::run(shared.clone(), work)).detach();
    Ok(shared)
}
