//! Sends requests to other daemons, mostly to the leader.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use borageswitch_http::h2_stream::{ByteCounter, H2Stream};
use bytes::Bytes;
use h2::{RecvStream, SendStream, client::SendRequest};
use http::{Request, StatusCode};
use smol::net::TcpStream;

use super::{
    KnownPeers, LIMITS_HEADER, MAX_MESSAGE_BYTES, PeerRequest, PeerResponse,
    known_peers::{OTHER_PEERS_HEADER, REQUESTER_HEADER},
};
use crate::{
    codec,
    orders::with_timeout,
    relays::{CORES_HEADER, RELAY_PATH},
};

/// The timeout of a request. A response that waits for the store takes some 10 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// The timeout for connecting. A kernel that has not responded by then repeats its attempt only
/// after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ExchangeError {
    /// The request was not handed to a connection completely, so it has certainly not arrived.
    #[display("not sent")]
    NotSent,
    /// The request may have arrived.
    #[display("no response")]
    NoResponse,
}

/// A connection to another daemon. Dropping it closes the connection.
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Bytes>,
    _driver: smol::Task<()>,
}

/// An accepted offer: frames can be received and sent until it is dropped.
pub struct RelaySession {
    /// Receives the leader's frames.
    pub(crate) receive: RecvStream,
    /// Sends frames to the leader.
    pub(crate) send: SendStream<Bytes>,
    /// Keeps the connection open.
    pub(crate) connection: Connection,
}

/// Sends requests to the leader over one connection, which stays open until another leader is
/// contacted, and to other daemons over a connection for each request.
pub struct Client {
    /// The address at which this daemon serves its peers.
    own_address: SocketAddr,
    known_peers: Arc<KnownPeers>,
    /// The connection to the leader. A connection that is replaced or closed here stays open for
    /// the requests that wait on it.
    connection: Mutex<Option<Arc<Connection>>>,
    /// Held while connecting to the leader, so that requests at the same time share a connection.
    connecting: smol::lock::Mutex<()>,
    bytes: ByteCounter,
    ex: Arc<smol::Executor<'static>>,
}

impl Client {
    /// Creates a client; it connects with its first request.
    pub fn new(
        own_address: SocketAddr,
        known_peers: Arc<KnownPeers>,
        ex: Arc<smol::Executor<'static>>,
        bytes: ByteCounter,
    ) -> Self {
        Self {
            own_address,
            known_peers,
            connection: Mutex::default(),
            connecting: smol::lock::Mutex::default(),
            bytes,
            ex,
        }
    }

    /// Sends a request to the leader at `address`.
    ///
    /// # Errors
    ///
    /// An [`ExchangeError`] without a response in time.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, ExchangeError> {
        let sent = AtomicBool::new(false);
        let attempt = async {
            let connection = self.leader_connection(address).await?;
            let response = self.exchange_over(&connection, request, &sent).await;
            Some((connection, response))
        };
        let outcome = with_timeout(REQUEST_TIMEOUT, attempt).await;
        match outcome {
            Some(Some((_, Some(response)))) => return Ok(response),
            Some(Some((connection, None))) => self.close(&connection),
            Some(None) => {}
            // Each later request over a connection that went silent would run into the timeout.
            None => self.close_all(address),
        }
        Err(error(&sent))
    }

    /// Sends a request to a daemon that is not the leader, over a connection of its own.
    ///
    /// # Errors
    ///
    /// An [`ExchangeError`] without a response in time.
    pub async fn exchange_once(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, ExchangeError> {
        let sent = AtomicBool::new(false);
        let attempt = async {
            let connection = self.connect(address).await?;
            self.exchange_over(&connection, request, &sent).await
        };
        let response = with_timeout(REQUEST_TIMEOUT, attempt).await.flatten();
        response.ok_or_else(|| error(&sent))
    }

    /// Offers this daemon, whose host has `cores`, to the leader at `address` as a relay, over a
    /// connection of its own. Gives `None` without a response: a leader of an earlier version waits
    /// for the end of the request.
    pub(crate) async fn offer_relay(
        &self,
        address: SocketAddr,
        cores: f64,
    ) -> Option<RelaySession> {
        let attempt = async {
            let connection = self.connect(address).await?;
            let mut ready = connection.sender.clone().ready().await.ok()?;
            let req = Request::post(format!("http://leader{RELAY_PATH}"))
                .header(REQUESTER_HEADER, self.own_address.to_string())
                .header(CORES_HEADER, cores.to_string())
                .body(())
                .ok()?;
            let (response, send) = ready.send_request(req, false).ok()?;
            let response = response.await.ok()?;
            (response.status() == StatusCode::OK).then(|| RelaySession {
                receive: response.into_body(),
                send,
                connection,
            })
        };
        with_timeout(REQUEST_TIMEOUT, attempt).await.flatten()
    }

    /// Sends a request over a connection. `sent` is set once the request has been handed over
    /// completely; from then on it may arrive.
    async fn exchange_over(
        &self,
        connection: &Connection,
        request: &PeerRequest,
        sent: &AtomicBool,
    ) -> Option<PeerResponse> {
        let mut ready = connection.sender.clone().ready().await.ok()?;
        let mut req = Request::post("http://leader/ask")
            .header(REQUESTER_HEADER, self.own_address.to_string());
        if matches!(request, PeerRequest::JobStored(_)) {
            req = req.header(LIMITS_HEADER, "1");
        }
        let req = req.body(()).ok()?;
        let (http_response, mut body) = ready.send_request(req, false).ok()?;
        // A peer cannot decode a request without its end.
        body.send_data(Bytes::from(codec::encode(request)), true).ok()?;
        sent.store(true, Ordering::SeqCst);
        let http_response = http_response.await.ok()?;
        if let Some(others) =
            http_response.headers().get(OTHER_PEERS_HEADER).and_then(|others| others.to_str().ok())
        {
            self.known_peers.add_from_header(others);
        }
        let mut stream = http_response.into_body();
        let mut bytes = Vec::new();
        while let Some(part) = stream.data().await {
            let part = part.ok()?;
            stream.flow_control().release_capacity(part.len()).ok()?;
            bytes.extend_from_slice(&part);
            if bytes.len() > MAX_MESSAGE_BYTES {
                return None;
            }
        }
        codec::decode("answer", &bytes).ok()
    }

    /// The connection to the leader at `address`. An open one that its peer has closed is replaced.
    async fn leader_connection(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        if let Some(open) = self.open_connection(address).await {
            return Some(open);
        }
        let _connecting = self.connecting.lock().await;
        if let Some(open) = self.open_connection(address).await {
            return Some(open);
        }
        let connection = Arc::new(self.connect(address).await?);
        *self.connection.lock().unwrap_or_else(PoisonError::into_inner) = Some(connection.clone());
        Some(connection)
    }

    async fn open_connection(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        let open = self.connection.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let connection = open.filter(|connection| connection.address == address)?;
        match connection.sender.clone().ready().await {
            Ok(_) => Some(connection),
            Err(_) => {
                self.close(&connection);
                None
            }
        }
    }

    /// Uses `connection` for no further request.
    fn close(&self, connection: &Arc<Connection>) {
        let mut open = self.connection.lock().unwrap_or_else(PoisonError::into_inner);
        open.take_if(|open| Arc::ptr_eq(open, connection));
    }

    fn close_all(&self, address: SocketAddr) {
        let mut open = self.connection.lock().unwrap_or_else(PoisonError::into_inner);
        open.take_if(|open| open.address == address);
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let connecting = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) =
            h2::client::handshake(H2Stream::new(stream, self.bytes.clone())).await.ok()?;
        let driver = self.ex.spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("the connection to a peer failed: {err}");
            }
        });
        Some(Connection { address, sender, _driver: driver })
    }
}

fn error(sent: &AtomicBool) -> ExchangeError {
    match sent.load(Ordering::SeqCst) {
        true => ExchangeError::NoResponse,
        false => ExchangeError::NotSent,
    }
}
