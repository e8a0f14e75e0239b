//! Keeps connections for the next call, for a limited time.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

/// The most unused connections that are kept for an address.
const MAX_UNUSED: usize = 8;

/// A connection to one address. Dropping it closes the connection.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) opened: Instant,
    pub(super) _driver: smol::Task<()>,
}

/// The connections that wait for their next call.
pub(super) struct Connections {
    unused: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
    max_age: Duration,
}

impl Connections {
    pub(super) fn new(max_age: Duration) -> Self {
        Self { unused: Mutex::new(BTreeMap::new()), max_age }
    }

    /// A connection that is open as far as this end can tell.
    ///
    /// What lies between the two ends can lose track of a connection without either end noticing:
    /// calls on it run out of time while new connections work. The limit of age bounds for how
    /// long such a connection can be met.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut unused = self.lock();
        let waiting = unused.get_mut(&address)?;
        let max_age = self.max_age;
        waiting.retain(|conn| conn.sender.is_ready() && conn.opened.elapsed() < max_age);
        waiting.pop()
    }

    /// Keeps a connection whose exchange has ended whole.
    pub(super) fn keep(&self, address: SocketAddr, conn: Connection) {
        if conn.sender.is_closed() || conn.opened.elapsed() >= self.max_age {
            return;
        }
        let mut unused = self.lock();
        let waiting = unused.entry(address).or_default();
        if waiting.len() < MAX_UNUSED {
            waiting.push(conn);
        }
    }

    /// Closes every unused connection to an address.
    ///
    /// Called when a call on an older connection ran out of time: whatever silenced that connection
    /// has most likely silenced those beside it, and each would cost a further call its time.
    pub(super) fn forget(&self, address: SocketAddr) {
        let forgotten = self.lock().remove(&address);
        drop(forgotten);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Connection>>> {
        self.unused.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
