//! Pool of idle connections, which are reused up to a maximum age.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError, Weak},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use rustix::net::sockopt;
use smol::Async;

use crate::write_gate::Gate;

/// The maximum number of idle connections per address.
const MAX_IDLE: usize = 8;

/// A connection to one address. Dropping it closes the connection.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) opened: Instant,
    pub(super) gate: Gate,
    /// Does not keep the socket open: the driver closes it once the server has closed it.
    pub(super) socket: Weak<Async<TcpStream>>,
    pub(super) _driver: smol::Task<()>,
}

impl Connection {
    /// Makes the system reset the connection, and discard what the server has not acknowledged, if
    /// the connection is dropped, this process ends, or `limit` passes without an acknowledgement.
    ///
    /// The limit also holds while this process is suspended.
    pub(super) fn set_discard_unsent(&self, limit: Option<Duration>) -> io::Result<()> {
        let socket = self.socket.upgrade().ok_or(io::ErrorKind::NotConnected)?;
        sockopt::set_socket_linger(&*socket, limit.map(|_| Duration::ZERO))?;
        let limit_ms = limit.map_or(0, |limit| limit.as_millis() as u32);
        sockopt::set_tcp_user_timeout(&*socket, limit_ms)?;
        Ok(())
    }
}

/// Idle connections by address.
pub(super) struct ConnectionPool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
    max_age: Duration,
}

impl ConnectionPool {
    pub(super) fn new(max_age: Duration) -> Self {
        Self { idle: Mutex::new(BTreeMap::new()), max_age }
    }

    /// Takes an idle connection that still appears open.
    ///
    /// A network device between client and server can drop the state of a connection without
    /// either end noticing: calls on it time out while new connections work. The maximum age bounds
    /// how long such a connection can be reused.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let max_age = self.max_age;
        connections.retain(|conn| conn.sender.is_ready() && conn.opened.elapsed() < max_age);
        connections.pop()
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(super) fn put(&self, address: SocketAddr, conn: Connection) {
        if conn.sender.is_closed() || conn.opened.elapsed() >= self.max_age {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(conn);
        }
    }

    /// Closes all idle connections to an address.
    ///
    /// Used after a call has timed out: the cause has most likely broken the other connections to
    /// this address too, and each of them would make a further call time out.
    pub(super) fn close_idle(&self, address: SocketAddr) {
        let closed = self.lock().remove(&address);
        drop(closed);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
