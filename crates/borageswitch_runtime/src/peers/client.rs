//! Asks the leader.

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
    Acquaintances, Answer, MAX_MESSAGE, Question,
    acquaintances::{ASKER, OTHERS},
};
use crate::{codec, orders::within};

/// How long a question may take; an answer that waits for the store takes some 10 ms.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);

/// A connection to the daemon that leads.
struct Connection {
    address: SocketAddr,
    sender: SendRequest<Bytes>,
    _driver: smol::Task<()>,
}

/// Asks the daemon that leads, over one connection that is kept.
pub struct Client {
    /// Where this daemon answers others.
    own: SocketAddr,
    acquaintances: Arc<Acquaintances>,
    connection: Mutex<Option<Connection>>,
    bytes: ByteCounter,
    ex: Arc<smol::Executor<'static>>,
}

impl Client {
    /// A client without a connection.
    pub fn new(
        own: SocketAddr,
        acquaintances: Arc<Acquaintances>,
        ex: Arc<smol::Executor<'static>>,
        bytes: ByteCounter,
    ) -> Self {
        Self { own, acquaintances, connection: Mutex::default(), bytes, ex }
    }

    /// Asks the daemon at an address. Nothing is answered if it cannot be reached in time.
    pub async fn ask(&self, address: SocketAddr, question: &Question) -> Option<Answer> {
        let answer = within(ASK_TIMEOUT, self.exchange(address, question)).await.flatten();
        if answer.is_none() {
            // A connection that went silent would cost every later question its time.
            self.forget(address);
        }
        answer
    }

    async fn exchange(&self, address: SocketAddr, question: &Question) -> Option<Answer> {
        let sender = match self.kept(address) {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        let mut ready = sender.ready().await.ok()?;
        let req = Request::post("http://leader/ask").header(ASKER, self.own.to_string());
        let req = req.body(()).ok()?;
        let (response, mut body) = ready.send_request(req, false).ok()?;
        body.send_data(Bytes::from(codec::encode(question)), true).ok()?;
        let response = response.await.ok()?;
        if let Some(told) = response.headers().get(OTHERS).and_then(|told| told.to_str().ok()) {
            self.acquaintances.take_told(told);
        }
        let mut stream = response.into_body();
        let mut bytes = Vec::new();
        while let Some(part) = stream.data().await {
            let part = part.ok()?;
            stream.flow_control().release_capacity(part.len()).ok()?;
            bytes.extend_from_slice(&part);
            if bytes.len() > MAX_MESSAGE {
                return None;
            }
        }
        codec::decode("answer", &bytes).ok()
    }

    fn kept(&self, address: SocketAddr) -> Option<SendRequest<Bytes>> {
        let kept = self.connection.lock().unwrap_or_else(PoisonError::into_inner);
        let connection = kept.as_ref().filter(|connection| connection.address == address)?;
        Some(connection.sender.clone())
    }

    fn forget(&self, address: SocketAddr) {
        let mut kept = self.connection.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.as_ref().is_some_and(|connection| connection.address == address) {
            *kept = None;
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<SendRequest<Bytes>> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) =
            h2::client::handshake(H2Stream::new(stream, self.bytes.clone())).await.ok()?;
        let driver = self.ex.spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("the connection to the leader ended: {err}");
            }
        });
        let mut kept = self.connection.lock().unwrap_or_else(PoisonError::into_inner);
        *kept = Some(Connection { address, sender: sender.clone(), _driver: driver });
        Some(sender)
    }
}
