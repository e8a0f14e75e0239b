//! Serves the operators' remote procedure calls.
//!
//! A call becomes one event for the reducer and waits for its answer; the fleet document and the
//! decisions are shown from what the reducer has published. [`server`] accepts connections,
//! [`calls`] keeps the calls that wait, [`watchers`] passes decisions on, [`status`] turns answers
//! into gRPC statuses, and [`service`] ties them to the schema. [`client`] is the other end, for
//! whoever asks a daemon.

mod calls;
pub mod client;
mod server;
mod service;
mod status;
mod watchers;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Sender;
use borageswitch_control::{Event, event::OperatorCallId};
use borageswitch_types::Fleet;
use borageswitch_wire::operator::{OperatorAnswer, OperatorRequest};

use self::{calls::Calls, service::Shared, watchers::Watchers};

/// The edge towards operators. Dropping it closes the listener.
pub struct Operators {
    shared: Arc<Shared>,
    local_addr: SocketAddr,
    _listener: smol::Task<()>,
}

impl Operators {
    /// Begins to serve operators at an address.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start(
        listen: SocketAddr,
        events: Sender<Event>,
        ex: Arc<smol::Executor<'static>>,
    ) -> io::Result<Operators> {
        let listener = smol::Async::<std::net::TcpListener>::bind(listen)?;
        let local_addr = listener.get_ref().local_addr()?;
        let shared = Arc::new(Shared {
            calls: Calls::new(events),
            watchers: Watchers::default(),
            fleet: arc_swap::ArcSwapOption::empty(),
        });
        let accepting = server::accept(listener.into(), shared.clone(), ex.clone());
        Ok(Operators { shared, local_addr, _listener: ex.spawn(accepting) })
    }

    /// Where operators are served.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// What asks the control thread for dumps on behalf of another edge.
    pub(crate) fn dumps(&self) -> Dumps {
        Dumps { shared: self.shared.clone() }
    }

    /// Answers a call, if its operator still waits.
    pub fn answer(&self, call: OperatorCallId, answer: OperatorAnswer) {
        self.shared.calls.answer(call, answer);
    }

    /// Shows a new fleet document from now on.
    pub fn publish_fleet(&self, fleet: Arc<Fleet>) {
        self.shared.watchers.revision(fleet.revision);
        self.shared.fleet.store(Some(fleet));
    }

    /// Keeps a decision and passes it to whoever watches.
    pub fn record(&self, decision: Arc<str>) {
        self.shared.watchers.decision(decision);
    }
}

/// Asks the control thread for dumps. Its answers come by [`Operators::answer`] too.
#[derive(Clone)]
pub(crate) struct Dumps {
    shared: Arc<Shared>,
}

impl Dumps {
    /// A dump, unless the control thread does not give one in time.
    pub(crate) async fn ask(&self, patience: Duration) -> Option<OperatorAnswer> {
        self.shared.calls.ask(OperatorRequest::Dump, patience).await.ok()
    }
}
