//! Sends requests to other daemons, mostly to the leader.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use borageswitch_http::h2_stream::{ByteCounter, H2Stream};
use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use smol::net::TcpStream;

use super::{
    KnownPeers, LIMITS_HEADER, MAX_MESSAGE_BYTES, PeerRequest, PeerResponse,
    known_peers::{OTHER_PEERS_HEADER, REQUESTER_HEADER},
};
use crate::{codec, orders::with_timeout};

/// The timeout of a request. A response that waits for the store takes some 10 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

struct Connection {
    address: SocketAddr,
    sender: SendRequest<Bytes>,
    _driver: smol::Task<()>,
}

/// Sends requests over one connection, which stays open until another daemon is contacted.
pub struct Client {
    /// The address at which this daemon serves its peers.
    own_address: SocketAddr,
    known_peers: Arc<KnownPeers>,
    connection: Mutex<Option<Connection>>,
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
        Self { own_address, known_peers, connection: Mutex::default(), bytes, ex }
    }

    /// Sends a request to the daemon at `address`. Gives `None` without a response in time; the
    /// request may have arrived all the same.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Option<PeerResponse> {
        let response =
            with_timeout(REQUEST_TIMEOUT, self.try_exchange(address, request)).await.flatten();
        if response.is_none() {
            // Each later request over a connection that went silent would run into the timeout.
            self.close(address);
        }
        response
    }

    async fn try_exchange(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Option<PeerResponse> {
        let sender = match self.open_connection(address) {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        let mut ready = sender.ready().await.ok()?;
        let mut req = Request::post("http://leader/ask")
            .header(REQUESTER_HEADER, self.own_address.to_string());
        if matches!(request, PeerRequest::JobStored(_)) {
            req = req.header(LIMITS_HEADER, "1");
        }
        let req = req.body(()).ok()?;
        let (http_response, mut body) = ready.send_request(req, false).ok()?;
        body.send_data(Bytes::from(codec::encode(request)), true).ok()?;
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

    fn open_connection(&self, address: SocketAddr) -> Option<SendRequest<Bytes>> {
        let open = self.connection.lock().unwrap_or_else(PoisonError::into_inner);
        let connection = open.as_ref().filter(|connection| connection.address == address)?;
        Some(connection.sender.clone())
    }

    fn close(&self, address: SocketAddr) {
        let mut open = self.connection.lock().unwrap_or_else(PoisonError::into_inner);
        if open.as_ref().is_some_and(|connection| connection.address == address) {
            *open = None;
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<SendRequest<Bytes>> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) =
            h2::client::handshake(H2Stream::new(stream, self.bytes.clone())).await.ok()?;
        let driver = self.ex.spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("the connection to a peer failed: {err}");
            }
        });
        let mut open = self.connection.lock().unwrap_or_else(PoisonError::into_inner);
        *open = Some(Connection { address, sender: sender.clone(), _driver: driver });
        Some(sender)
    }
}
