//! One entry daemon: the reducer on its control thread, and the edges around it.
//!
//! [`start`] binds every listener first and only then tells the reducer that it has started, so a
//! port that is taken ends the start and not a daemon that serves already. The control thread runs
//! the reducer and all control sockets; callers are served by the traffic threads, which know the
//! reducer only through the views that it publishes.
//!
//! - [`Daemon`] is the handle: addresses, a graceful stop, a sudden end for tests of failures.
//! - [`effects`] carries out what the reducer asks for.
//! - [`LocalCalls`] asks the reducer from within the process.

mod effects;
mod local_calls;

use std::{
    fmt, io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_channel::{Receiver, Sender};
use borageswitch_control::{Event, State, config::ControlConfig};
use borageswitch_edge::{
    observe::{self, ControlInstruments, Metrics, MetricsError, Observe},
    operators::Operators,
    peers::{KeyTooShort, Peers, PeersConfig, SiteKey},
    platform::{Platform, PlatformConfig},
    traffic::{Traffic, TrafficConfig},
};
use borageswitch_settings::daemon::DaemonSettings;
use borageswitch_types::{Time, names::DaemonName, time::UnixMillis};
use borageswitch_wire::peer::Member;
use futures_lite::future;
use smol::{Executor, Timer};

use self::effects::Edges;
pub use self::local_calls::LocalCalls;

/// How often the reducer is told that time has passed.
const TICK: Duration = Duration::from_millis(50);
/// How long callers' connections may take to close once nothing is in flight on them.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How many events may wait for the reducer; a full queue holds the senders back.
const EVENT_QUEUE: usize = 16_384;

/// Why a daemon cannot start.
#[derive(Debug)]
pub enum StartError {
    /// A listener cannot be bound, or a thread cannot be started.
    Io {
        /// The field of the settings.
        field: &'static str,
        /// What the operating system says.
        source: io::Error,
    },
    /// The site key cannot serve.
    Key(KeyTooShort),
    /// The metrics cannot be set up.
    Metrics(MetricsError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Io { field, source } => write!(f, "{field}: {source}"),
            StartError::Key(err) => write!(f, "site_key: {err}"),
            StartError::Metrics(err) => write!(f, "metrics: {err}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Where a daemon listens after its ports are bound.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For probes, metrics and dumps.
    pub observe: SocketAddr,
}

/// Asks a daemon to stop; copies share it.
#[derive(Clone, Debug)]
pub struct Stopper {
    events: Sender<Event>,
}

impl Stopper {
    /// Asks the daemon to take no new work, give its duties back, let every request finish and
    /// end. [`Daemon::wait`] returns when it has.
    pub fn stop<T>(&self, reason: T)
    where
        T: Into<Arc<str>>,
    {
        // The queue is closed once the control thread has ended: then there is nothing to stop.
        let _ = self.events.send_blocking(Event::Stop { reason: reason.into() });
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    name: DaemonName,
    addresses: Addresses,
    events: Sender<Event>,
    local: LocalCalls,
    end: Sender<()>,
    control: Option<thread::JoinHandle<()>>,
}

impl Daemon {
    /// Its name.
    pub fn name(&self) -> &DaemonName {
        &self.name
    }

    /// Where it listens.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Asks the daemon from within the process, as an operator would.
    pub fn operator(&self) -> LocalCalls {
        self.local.clone()
    }

    /// A handle by which another thread can ask the daemon to stop.
    pub fn stopper(&self) -> Stopper {
        Stopper { events: self.events.clone() }
    }

    /// Ends the control thread at once, as a crash would: duties stay claimed until their leases
    /// end, peers hear nothing more.
    pub fn vanish(mut self) {
        self.end.close();
        self.join();
    }

    /// Waits until the daemon has ended.
    pub fn wait(mut self) {
        self.join();
    }

    fn join(&mut self) {
        if let Some(control) = self.control.take()
            && control.join().is_err()
        {
            log::error!("the control thread has panicked");
        }
    }
}

/// Starts a daemon.
///
/// # Errors
///
/// Names the field of the settings whose address cannot be bound.
pub fn start(settings: &DaemonSettings) -> Result<Daemon, StartError> {
    let failed = |field| move |source| StartError::Io { field, source };
    let name = settings.name.clone().unwrap_or_else(|| make_name(settings));
    let (events, event_queue) = async_channel::bounded(EVENT_QUEUE);
    let (slots, slot_queue) = async_channel::bounded(EVENT_QUEUE);
    let (taken_slots, taken_slot_queue) = async_channel::bounded(EVENT_QUEUE);
    let ex: Arc<Executor<'static>> = Arc::new(Executor::new());

    let clock = Instant::now();
    let metrics = Metrics::new().map_err(StartError::Metrics)?;
    let traffic_cfg = TrafficConfig::builder(settings.listen.callers)
        .threads(settings.traffic_threads)
        .clock_start(clock)
        .seed(fastrand::u64(..))
        .build();
    let traffic =
        Traffic::start(traffic_cfg, events.clone(), slots).map_err(failed("listen.callers"))?;
    let me = Member {
        daemon: name.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.peers,
    };
    let key = SiteKey::new(settings.site_key.as_bytes()).map_err(StartError::Key)?;
    let peers_cfg = PeersConfig::new(settings.listen.peers, key, me.clone()).meter(metrics.meter());
    let peers = Peers::start(peers_cfg, events.clone(), taken_slots, ex.clone())
        .map_err(failed("listen.peers"))?;
    let operators = Operators::start(settings.listen.operators, events.clone(), ex.clone())
        .map_err(failed("listen.operators"))?;
    let observe = Observe::start(settings.listen.observe, metrics.clone(), &operators, ex.clone())
        .map_err(failed("listen.observe"))?;
    let platform_cfg =
        PlatformConfig::new(settings.platform.store.clone(), settings.platform.host_list)
            .call_timeout(settings.platform.call_timeout)
            .meter(metrics.meter());
    let platform = Platform::new(platform_cfg, events.clone(), ex.clone());

    let addresses = Addresses {
        callers: traffic.local_addr(),
        operators: operators.local_addr(),
        peers: peers.local_addr(),
        observe: observe.local_addr(),
    };
    let me = Member { address: addresses.peers, ..me };
    let instruments = ControlInstruments::new(&metrics.meter());
    observe::show_traffic(&metrics.meter(), &traffic);
    let state = State::new(control_config(settings, me));
    let local = LocalCalls::new(events.clone());
    let edges = Edges { platform, peers, operators, observe, traffic, local: local.clone() };
    let (end, ended) = async_channel::bounded(1);
    let run = Run {
        clock,
        instruments,
        state,
        edges,
        event_queue,
        slot_queue,
        taken_slot_queue,
        ended,
        stop_timeout: settings.stop_timeout,
    };
    let control = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || smol::block_on(ex.run(run.run())))
        .map_err(failed("control thread"))?;
    Ok(Daemon { name, addresses, events, local, end, control: Some(control) })
}

/// A host keeps nothing, so a daemon that starts again is another daemon: the name says where it
/// listens and when it began.
fn make_name(settings: &DaemonSettings) -> DaemonName {
    let port = settings.listen.callers.port();
    let ip = settings.listen.callers.ip().to_string().replace(':', "_");
    DaemonName::from(format!("{}-{ip}-{port}-{}", settings.data_centre, wall_now().0))
}

fn control_config(settings: &DaemonSettings, me: Member) -> ControlConfig {
    let seed = fastrand::u64(..);
    ControlConfig {
        store_timeout: settings.platform.call_timeout,
        duty_ttl: settings.duty_ttl,
        seeds: settings.peers.clone(),
        ..ControlConfig::new(me, settings.region.clone(), seed)
    }
}

fn wall_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(since.as_millis() as u64)
}

/// What the control thread runs.
struct Run {
    clock: Instant,
    instruments: ControlInstruments,
    state: State,
    edges: Edges,
    event_queue: Receiver<Event>,
    slot_queue: Receiver<(DaemonName, borageswitch_types::slots::SlotMessage)>,
    taken_slot_queue: Receiver<(DaemonName, borageswitch_types::slots::SlotMessage)>,
    ended: Receiver<()>,
    stop_timeout: Duration,
}

impl Run {
    async fn run(self) {
        let Self {
            clock,
            instruments,
            state,
            edges,
            event_queue,
            slot_queue,
            taken_slot_queue,
            ended,
            stop_timeout,
        } = self;
        let send_slots = async {
            while let Ok((to, message)) = slot_queue.recv().await {
                edges.send_slots(&to, message);
            }
            future::pending::<()>().await;
        };
        let take_slots = async {
            while let Ok((from, message)) = taken_slot_queue.recv().await {
                edges.traffic.take_slots(from, message);
            }
            future::pending::<()>().await;
        };
        let reduce = reduce(clock, &instruments, state, &edges, event_queue, stop_timeout);
        let end = async {
            let _ = ended.recv().await;
        };
        let reduce_and_finish = async {
            reduce.await;
            finish(&edges.traffic).await;
        };
        future::or(future::or(reduce_and_finish, end), future::or(send_slots, take_slots)).await;
        edges.local.end();
        edges.traffic.shutdown();
    }
}

/// Closes callers' connections, each after what is still written to it.
///
/// The last answer may be decided but not yet sent when the reducer sees nothing in flight any
/// more; ending the process then would cut it.
async fn finish(traffic: &Traffic) {
    traffic.shutdown();
    let until = Instant::now() + CLOSE_TIMEOUT;
    while !traffic.is_idle() && Instant::now() < until {
        Timer::after(TICK).await;
    }
}

/// Handles events until the reducer asks to end.
async fn reduce(
    started: Instant,
    instruments: &ControlInstruments,
    mut state: State,
    edges: &Edges,
    events: Receiver<Event>,
    stop_timeout: Duration,
) {
    let now = || Time::from_micros(started.elapsed().as_micros() as u64);
    let mut stop_by: Option<Instant> = None;
    let mut next_tick = Instant::now() + TICK;
    let mut event = Event::Started;
    loop {
        if matches!(event, Event::Stop { .. }) && stop_by.is_none() {
            stop_by = Some(Instant::now() + stop_timeout);
        }
        if let Event::Traffic(report) = &event {
            instruments.in_force(report.applied);
        }
        let is_tick = matches!(event, Event::Tick { .. });
        let began = Instant::now();
        let effects = state.handle(now(), event);
        instruments.handled(began.elapsed());
        if is_tick {
            instruments.note(&state);
        }
        for effect in effects {
            if edges.carry_out(effect) {
                return;
            }
        }
        if stop_by.is_some_and(|by| by <= Instant::now()) {
            log::warn!("requests were still in flight when the time to stop was over");
            return;
        }
        event = next_event(&events, &mut next_tick).await;
    }
}

/// Waits for the next event, or for the next tick if that is due first.
///
/// A tick that is due goes before all events: under a flood of them time would seem to stand
/// still, and leases would end unnoticed.
async fn next_event(events: &Receiver<Event>, next_tick: &mut Instant) -> Event {
    let due = *next_tick;
    if due > Instant::now() {
        let received = async { events.recv().await.ok() };
        let tick = async {
            Timer::at(due).await;
            None
        };
        if let Some(event) = future::or(received, tick).await {
            return event;
        }
    }
    *next_tick = Instant::now() + TICK;
    Event::Tick { wall: wall_now() }
}
