//! Dials other daemons, again and again where a connection is wanted.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_http::h2_stream::H2Stream;
use borageswitch_types::names::DaemonName;
use borageswitch_wire::peer::Member;
use bytes::Bytes;
use h2::client;
use http::{Method, Request};
use smol::net::TcpStream;

use crate::{
    peers::{
        Shared,
        frames::{FrameReader, FrameWriter, SMALL_FRAME_BUDGET},
        handshake::{self, HandshakeError, Role},
        link::Link,
        registry::Standing,
    },
    platform::with_deadline,
};

/// The first wait after a failed try; each further one is twice as long.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// How much later the daemon with the higher name dials, so that seldom both do.
const GRACE: Duration = Duration::from_millis(300);
/// A connection that stood this long was a good one: the waits begin anew.
const GOOD_AFTER: Duration = Duration::from_secs(5);

/// Why no connection stands.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(super) enum LinkError {
    /// The connection cannot be opened.
    #[display("{_0}")]
    Io(io::Error),
    /// It is no connection of `h2`.
    #[display("{_0}")]
    H2(h2::Error),
    /// The proof failed.
    #[display("{_0}")]
    Handshake(HandshakeError),
    /// The other end closed it.
    #[display("it ended before the proof")]
    #[from(skip)]
    Ended,
    /// The proof took too long.
    #[display("it was not proved in time")]
    #[from(skip)]
    Late,
    /// The address is this daemon's own.
    #[display("it leads to this daemon")]
    #[from(skip)]
    Myself,
    /// Another daemon listens there than the one that was dialled.
    #[display("another daemon, {_0}, listens there")]
    #[from(skip)]
    Another(DaemonName),
    /// A connection stands already and is kept.
    #[display("another connection is kept")]
    #[from(skip)]
    Duplicate,
}

impl std::error::Error for LinkError {}

/// A peer to which a connection is wanted. Dropping it ends the tries.
pub(super) struct Wanted {
    pub(super) address: SocketAddr,
    _task: smol::Task<()>,
}

/// Keeps a connection to a member.
pub(super) fn keep_connected(shared: Arc<Shared>, member: Member) -> Wanted {
    let address = member.address;
    let task = keep(shared.clone(), member);
    Wanted { address, _task: shared.ex.spawn(task) }
}

async fn keep(shared: Arc<Shared>, member: Member) {
    let mut backoff = Backoff::new(shared.cfg.max_backoff);
    loop {
        if shared.cfg.me.daemon > member.daemon {
            smol::Timer::after(GRACE).await;
        }
        let standing = match shared.registry.find(&member.daemon) {
            Some(standing) => Some(standing),
            None => match open(&shared, member.address, Some(&member.daemon)).await {
                Ok(standing) => Some(standing),
                Err(err) => {
                    log::debug!("{} cannot be reached: {err}", member.daemon);
                    None
                }
            },
        };
        if let Some(standing) = standing {
            let since = Instant::now();
            // Fails as soon as the connection has ended.
            let _ = standing.ended.recv().await;
            if since.elapsed() >= GOOD_AFTER {
                backoff.reset();
            }
        }
        smol::Timer::after(backoff.next()).await;
    }
}

/// Dials an address until a daemon has answered there once.
pub(super) async fn dial_once(shared: Arc<Shared>, address: SocketAddr) {
    let mut backoff = Backoff::new(shared.cfg.max_backoff);
    loop {
        match open(&shared, address, None).await {
            Ok(_) | Err(LinkError::Myself | LinkError::Duplicate) => return,
            Err(err) => log::debug!("{address} cannot be reached: {err}"),
        }
        smol::Timer::after(backoff.next()).await;
    }
}

async fn open(
    shared: &Arc<Shared>,
    address: SocketAddr,
    expected: Option<&DaemonName>,
) -> Result<Standing, LinkError> {
    let deadline = Instant::now() + shared.cfg.handshake_timeout;
    let proved = with_deadline(deadline, prove(shared, address)).await;
    let link = proved.unwrap_or(Err(LinkError::Late))?;
    let daemon = link.member.daemon.clone();
    if daemon == shared.cfg.me.daemon {
        return Err(LinkError::Myself);
    }
    if expected.is_some_and(|expected| *expected != daemon) {
        return Err(LinkError::Another(daemon));
    }
    let place = shared.registry.enter(&daemon, Role::Dialler).await;
    let place = place.ok_or(LinkError::Duplicate)?;
    shared.ex.spawn(link.run(shared.clone(), place)).detach();
    shared.registry.find(&daemon).ok_or(LinkError::Ended)
}

async fn prove(shared: &Arc<Shared>, address: SocketAddr) -> Result<Link, LinkError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut send, mut conn) = client::Builder::new()
        .data_frame_budget(SMALL_FRAME_BUDGET)
        .handshake::<_, Bytes>(H2Stream::new(stream, shared.counters.bytes.clone()))
        .await?;
    let ping = conn.ping_pong().ok_or(LinkError::Ended)?;
    let driver = shared.ex.spawn(async move {
        if let Err(err) = conn.await {
            log::debug!("a connection to {address} broke: {err}");
        }
    });
    let req = Request::builder().method(Method::POST).uri("http://peer/");
    let req = req.body(()).map_err(|_| LinkError::Ended)?;
    let (response, stream) = send.send_request(req, false)?;
    let mut writer = FrameWriter::new(stream);
    let mut reader = FrameReader::new(response.await?.into_body());
    let (key, me) = (&shared.cfg.key, &shared.cfg.me);
    let member = handshake::prove(Role::Dialler, key, me, &mut reader, &mut writer).await?;
    Ok(Link { member, reader, writer, ping, driver })
}

/// Waits between tries: twice as long each time, and never the same for two daemons, so that
/// daemons that lost a peer together do not come back to it together.
struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    fn new(max: Duration) -> Self {
        Self { next: FIRST_BACKOFF.min(max), max }
    }

    fn reset(&mut self) {
        self.next = FIRST_BACKOFF.min(self.max);
    }

    fn next(&mut self) -> Duration {
        let longest = self.next;
        self.next = (longest * 2).min(self.max);
        longest.mul_f64(0.5 + fastrand::f64() / 2.0)
    }
}
