//! Serves callers: takes their requests in, sends each to a target, brings the answer back.
//!
//! The story of one request, each part a module of its own:
//!
//! 1. [`listener`] accepts a connection, tells HTTP/2 from HTTP/1.1 by its first bytes and keeps
//!    the number of connections and the patience with slow senders bounded.
//! 2. [`head`] reads service, caller, priority, deadline and request id from the head.
//! 3. [`request_body`] takes a small body in whole, so that the request can be tried again; a
//!    large one streams and is sent once.
//! 4. [`queue`] puts the request before the dispatcher of its service, which decides when and
//!    where it starts, or that it is refused.
//! 5. [`exchange`] carries the decisions out and tells the dispatcher how each try ended; one try
//!    is an [`attempt`]: it claims the id of a non-idempotent request, sends and waits.
//! 6. [`pool`] and [`target_conn`] keep connections to targets. A connection belongs to one
//!    exchange at a time, and is closed when that exchange is given up. [`silence`] decides when
//!    one counts as lost.
//! 7. [`answer_body`] streams a target's answer back; [`answer`] makes the answers of our own.
//!
//! [`Traffic`] is the handle by which the daemon starts all this, hands in new views of the fleet
//! and ends it. [`report`] tells the reducer what is in flight, [`stats`] counts.

mod answer;
mod answer_body;
mod attempt;
mod claims;
mod config;
mod core;
mod exchange;
mod head;
mod listener;
mod pool;
mod queue;
mod report;
mod request_body;
mod shutdown;
mod silence;
mod stats;
mod stream;
mod target_conn;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
};

use borageswitch_control::Event;
use borageswitch_types::{
    Time,
    claim::{ClaimOutcome, ClaimTicket},
    names::DaemonName,
    slots::SlotMessage,
    view::TrafficView,
};

pub use self::{
    config::{TrafficConfig, TrafficConfigBuilder},
    stats::TrafficStats,
};

/// Handle of the part of a daemon that serves callers; copies share it.
#[derive(Clone)]
pub struct Traffic {
    core: Arc<core::Core>,
}

impl Traffic {
    /// Binds the listening socket and starts the threads that serve it.
    ///
    /// Until [`Traffic::publish_view`] has been called every request is refused.
    ///
    /// # Errors
    ///
    /// Those of binding the socket and of starting threads.
    pub fn start(
        cfg: TrafficConfig,
        events: async_channel::Sender<Event>,
        slots: async_channel::Sender<(DaemonName, SlotMessage)>,
    ) -> io::Result<Traffic> {
        let socket = TcpListener::bind(cfg.listen)?;
        let local_addr = socket.local_addr()?;
        let threads = cfg.threads.max(1);
        let core = Arc::new(core::Core::new(cfg, local_addr, events, slots));
        listener::spawn(&core, socket)?;
        report::spawn(&core);
        pool::spawn_upkeep(&core);
        for index in 0..threads {
            let core = Arc::clone(&core);
            thread::Builder::new()
                .name(format!("traffic-{index}"))
                .spawn(move || core.run_thread())?;
        }
        Ok(Traffic { core })
    }

    /// Where callers connect.
    pub fn local_addr(&self) -> SocketAddr {
        self.core.local_addr
    }

    /// Makes `view` the one by which requests are sent.
    ///
    /// When this returns, no request starts any more on a target that is leaving by `view`.
    pub fn publish_view(&self, view: Arc<TrafficView>) {
        self.core.publish_view(view);
    }

    /// Lets new requests in until `until` on the clock that the configuration began, and refuses
    /// them after it.
    pub fn admit_until(&self, until: Time) {
        self.core.admit_until(until);
    }

    /// Hands a peer's message about slots to the dispatcher of its service.
    pub fn take_slots(&self, from: DaemonName, message: SlotMessage) {
        self.core.take_slots(from, message);
    }

    /// Tells the request that asked for a claim what came of it.
    pub fn answer_claim(&self, ticket: ClaimTicket, outcome: ClaimOutcome) {
        self.core.answer_claim(ticket, outcome);
    }

    /// What is waiting and in flight, for the dump of the process's state.
    pub fn stats(&self) -> serde_json::Value {
        self.core.dump()
    }

    /// Counters and latencies since the start.
    pub fn counters(&self) -> TrafficStats {
        self.core.stats.snapshot()
    }

    /// Accepts no more connections and ends each one after its request.
    ///
    /// Requests in flight end by themselves. A connection over HTTP/1.1 is told
    /// `connection: close` with its next answer, one over HTTP/2 gets a GOAWAY.
    pub fn shutdown(&self) {
        self.core.shutdown.begin();
    }

    /// Whether every request and every caller's connection has ended after [`Traffic::shutdown`].
    pub fn is_idle(&self) -> bool {
        let stats = &self.core.stats;
        let ended = stats.open_connections() == 0 && stats.unfinished() == 0;
        self.core.shutdown.has_begun() && ended
    }
}
