//! Accepts connections from other daemons.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use h2::server;
use http::Response;
use smol::net::{TcpListener, TcpStream};

use crate::{
    peers::{
        Shared,
        dial::LinkError,
        frames::{FrameReader, FrameWriter, SMALL_FRAME_BUDGET},
        handshake::{self, Role},
        link::Link,
    },
    platform::with_deadline,
};
use borageswitch_http::h2_stream::H2Stream;

/// The most connections that have not proved themselves yet; further ones are closed at once.
const MAX_UNPROVED: usize = 32;
/// The largest head before the proof, in bytes.
const MAX_HEAD: u32 = 4 << 10;
/// How long to wait after a connection could not be accepted: the process has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until it is dropped.
pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let unproved = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("a peer's connection cannot be accepted: {err}");
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if unproved.fetch_add(1, Ordering::Relaxed) >= MAX_UNPROVED {
            unproved.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let task = admit(stream, shared.clone(), unproved.clone());
        shared.ex.spawn(task).detach();
    }
}

async fn admit(stream: TcpStream, shared: Arc<Shared>, unproved: Arc<AtomicUsize>) {
    let deadline = Instant::now() + shared.cfg.handshake_timeout;
    let proved =
        with_deadline(deadline, prove(stream, &shared)).await.unwrap_or(Err(LinkError::Late));
    unproved.fetch_sub(1, Ordering::Relaxed);
    let link = match proved {
        Ok(link) => link,
        Err(err) => {
            log::warn!("a connection to the peers' port is closed: {err}");
            return;
        }
    };
    match shared.registry.enter(&link.member.daemon, Role::Acceptor).await {
        Some(place) => link.run(shared, place).await,
        None => let_dialler_close(link, shared.cfg.handshake_timeout).await,
    }
}

/// Leaves a connection that is not kept for the dialler to close.
///
/// Closed here at once, it would take this end's proof with it that is not sent yet. The dialler
/// would see a failure instead of a duplicate, and dial again and again.
async fn let_dialler_close(link: Link, patience: Duration) {
    let Link { reader, writer, driver, .. } = link;
    with_deadline(Instant::now() + patience, driver).await;
    drop((reader, writer));
}

async fn prove(stream: TcpStream, shared: &Arc<Shared>) -> Result<Link, LinkError> {
    stream.set_nodelay(true)?;
    let mut conn = server::Builder::new()
        .max_concurrent_streams(1)
        .max_header_list_size(MAX_HEAD)
        .data_frame_budget(SMALL_FRAME_BUDGET)
        .handshake::<_, Bytes>(H2Stream::new(stream, shared.counters.bytes.clone()))
        .await?;
    let (req, mut respond) = conn.accept().await.ok_or(LinkError::Ended)??;
    let ping = conn.ping_pong().ok_or(LinkError::Ended)?;
    let driver = shared.ex.spawn(async move {
        // A connection has one stream: whatever asks for a second one is no daemon of ours.
        if conn.accept().await.is_some_and(|more| more.is_ok()) {
            log::warn!("a peer has opened a second stream");
        }
    });
    let mut writer = FrameWriter::new(respond.send_response(Response::new(()), false)?);
    let mut reader = FrameReader::new(req.into_body());
    let (key, me) = (&shared.cfg.key, &shared.cfg.me);
    let member = handshake::prove(Role::Acceptor, key, me, &mut reader, &mut writer).await?;
    if member.daemon == me.daemon {
        return Err(LinkError::Myself);
    }
    Ok(Link { member, reader, writer, ping, driver })
}
