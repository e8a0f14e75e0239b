//! Serves the requests of other daemons.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_http::h2_stream::H2Stream;
use borageswitch_types::Time;
use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response};
use smol::{
    Timer,
    net::{TcpListener, TcpStream},
};

use super::{
    LIMITS_HEADER, MAX_MESSAGE_BYTES, PeerRequest, PeerResponse,
    known_peers::{OTHER_PEERS_HEADER, REQUESTER_HEADER},
};
use crate::{
    clock, codec,
    daemon::Shared,
    election,
    failures::Failure,
    intake,
    ports::{Platform, StoreError},
    relays::{self, RELAY_PATH},
    store_health::{OutageReport, StoreCall, monitor},
};

/// The pause after a failed accept, which mostly means that the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of other daemons until the future is dropped.
pub async fn serve<P>(listener: TcpListener, shared: Arc<Shared<P>>)
where
    P: Platform,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let own = shared.clone();
                let serving = async move {
                    if let Err(err) = serve_connection(stream, own).await {
                        log::debug!("peer connection failed: {err}");
                    }
                };
                shared.ex.spawn(serving).detach();
            }
            Err(err) => {
                log::warn!("accepting a peer connection failed: {err}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<P>(stream: TcpStream, shared: Arc<Shared<P>>) -> Result<(), h2::Error>
where
    P: Platform,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY cannot be set on a peer connection: {err}");
    }
    let mut connection =
        h2::server::handshake(H2Stream::new(stream, shared.peer_bytes.clone())).await?;
    while let Some(accepted) = connection.accept().await {
        let (req, respond) = accepted?;
        let own = shared.clone();
        let responding = async move {
            if let Err(err) = respond_to(req, respond, &own).await {
                log::debug!("responding to a peer failed: {err}");
            }
        };
        shared.ex.spawn(responding).detach();
    }
    Ok(())
}

async fn respond_to<P>(
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: &Arc<Shared<P>>,
) -> io::Result<()>
where
    P: Platform,
{
    let requester: Option<SocketAddr> =
        req.headers().get(REQUESTER_HEADER).and_then(|address| address.to_str().ok()?.parse().ok());
    requester.into_iter().for_each(|address| shared.known_peers.add(address));
    if req.uri().path() == RELAY_PATH {
        let (head, body) = req.into_parts();
        return relays::serve(&head.headers, requester, body, respond, shared).await;
    }
    let decodes_limits = req.headers().contains_key(LIMITS_HEADER);
    let bytes = read(req.into_body()).await?;
    let request: PeerRequest = codec::decode("question", &bytes).map_err(io::Error::other)?;
    let response = match request {
        PeerRequest::Submit(submission) => {
            match intake::store_submission(shared, &submission, None).await {
                Ok(()) => PeerResponse::Accepted,
                Err(Failure::StoreUnavailable) => PeerResponse::Refused,
                Err(_) => PeerResponse::Indeterminate,
            }
        }
        // A read would keep the requester waiting for the timeout.
        PeerRequest::Leader if shared.store_is_unavailable() => PeerResponse::NotLeading,
        PeerRequest::Leader => read_leader(shared).await,
        PeerRequest::RevokeLease(lease) => match shared.platform.revoke(lease).await {
            Ok(()) => PeerResponse::LeaseRevoked,
            Err(err) => {
                log::info!(reason = err.to_string().as_str(); "relief-failed");
                PeerResponse::Refused
            }
        },
        PeerRequest::StoreHealth { available, since_ms } => {
            let now = clock::time();
            let since = now.as_micros().saturating_sub(since_ms.saturating_mul(1_000));
            let report = OutageReport { available, since: Time::from_micros(since) };
            receive_report(shared, report, requester, now)
        }
        request @ PeerRequest::JobStored(_) if !decodes_limits => {
            let response = shared.send_to_control(request).await;
            response.map_or(PeerResponse::NotLeading, PeerResponse::without_admission)
        }
        request => shared.send_to_control(request).await.unwrap_or(PeerResponse::NotLeading),
    };
    let res =
        Response::builder().header(OTHER_PEERS_HEADER, shared.known_peers.to_header(requester));
    let res = res.body(()).map_err(io::Error::other)?;
    let mut stream = respond.send_response(res, false).map_err(io::Error::other)?;
    stream.send_data(Bytes::from(codec::encode(&response)), true).map_err(io::Error::other)
}

/// Reads the leader's record. The outcome also shows whether the store serves this daemon.
async fn read_leader<P>(shared: &Arc<Shared<P>>) -> PeerResponse
where
    P: Platform,
{
    let call = StoreCall::begin(&shared.store_health, clock::time());
    match election::read_leader(shared).await {
        Ok(leader) => {
            call.succeed(clock::time());
            PeerResponse::Leader(leader)
        }
        Err(err) => {
            match err {
                StoreError::Refused => call.refuse(),
                _ => call.lose(),
            }
            PeerResponse::NotLeading
        }
    }
}

/// Takes in a report on the store, and forwards it if it is new.
fn receive_report<P>(
    shared: &Arc<Shared<P>>,
    report: OutageReport,
    requester: Option<SocketAddr>,
    now: Time,
) -> PeerResponse
where
    P: Platform,
{
    if report.available && requester.is_some() && shared.remote_leader() == requester {
        shared.store_health.forget_leader();
    }
    if shared.store_health.receive(now, report) {
        monitor::report(shared, report, requester);
    }
    PeerResponse::StoreHealth { available: !shared.store_health.is_unavailable(now) }
}

async fn read(mut body: RecvStream) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(io::Error::other)?;
        body.flow_control().release_capacity(part.len()).map_err(io::Error::other)?;
        bytes.extend_from_slice(&part);
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(io::Error::other("the request of a peer is too large"));
        }
    }
    Ok(bytes)
}
