//! Answers the balancer's probes and shows metrics and state over HTTP.
//!
//! | call | answer |
//! |---|---|
//! | `GET /live` | 200 while the process runs |
//! | `GET /ready` | 200 while new connections are welcome, otherwise 503 |
//! | `GET /metrics` | the metrics as Prometheus text |
//! | `GET /dump` | the daemon's whole state as JSON, asked of the control thread |

mod instruments;
mod metrics;
mod server;

#[cfg(test)]
mod tests;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

pub use self::{
    instruments::{ControlInstruments, show_traffic},
    metrics::{Metrics, MetricsError},
};
use crate::operators::Operators;

/// The edge towards the balancer and whoever watches the daemon. Dropping it closes the listener.
pub struct Observe {
    ready: Arc<AtomicBool>,
    local_addr: SocketAddr,
    _listener: smol::Task<()>,
}

impl Observe {
    /// Begins to answer at an address; the daemon is not ready until it says so.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start(
        listen: SocketAddr,
        metrics: Metrics,
        operators: &Operators,
        ex: Arc<smol::Executor<'static>>,
    ) -> io::Result<Observe> {
        let listener = smol::Async::<std::net::TcpListener>::bind(listen)?;
        let local_addr = listener.get_ref().local_addr()?;
        let ready = Arc::new(AtomicBool::new(false));
        let pages = server::Pages::new(ready.clone(), metrics, operators.dumps());
        let accepting = server::accept(listener.into(), pages, ex.clone());
        Ok(Observe { ready, local_addr, _listener: ex.spawn(accepting) })
    }

    /// Where the answers are given.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Tells the balancer from now on whether to send new connections.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }
}
